//! From a request's id to its cause, as docs/OPERATIONS.md describes it.

use crate::job::{PATIENCE, Reply, hand_in, submit, submit_at};
use crate::site::{Site, body};
use std::process::Command;
use std::time::Duration;

const CLIENT: &str = env!("CARGO_BIN_EXE_cassiarock");

/// Lines are written at most this long after their decision.
const WRITTEN: Duration = Duration::from_millis(300);

/// The story of a request by the logs of all processes.
async fn why(site: &Site, id: &str) -> String {
    tokio::time::sleep(WRITTEN).await;
    let entries = site.entries.iter().map(|entry| entry.process.output());
    let agents = site.agents.iter().map(|agent| agent.process.output());
    let logs: Vec<String> = entries.chain(agents).collect();
    let file = std::env::temp_dir().join(format!("cassiarock-why-{id}.log"));
    std::fs::write(&file, logs.concat()).unwrap();
    let output = Command::new(CLIENT).args(["why", id]).arg(&file).output();
    std::fs::remove_file(&file).unwrap();
    let output = output.unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

fn cause(story: &str) -> &str {
    story.lines().last().unwrap()
}

#[tokio::test]
async fn a_refused_request_leads_to_the_room_and_the_queue_that_decided() {
    let site = Site::start(1, 1).await;
    let url = site.entries[0].job("");
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..30 {
        let (url, id) = (url.clone(), format!("{number:014x}e0"));
        callers.spawn(async move {
            let reply = submit_at(&format!("{url}{id}"), &id, &body(8, 200), PATIENCE).await;
            (id, reply)
        });
    }
    let replies = callers.join_all().await;
    let refused = replies
        .iter()
        .find(|(_, reply)| matches!(reply, Reply::Refused { .. }));
    let (id, _) = refused.expect("more work than room");
    let story = why(&site, &format!("request-{id}")).await;
    let cause = cause(&story);
    assert!(cause.contains("refused at entry-0"), "{story}");
    assert!(
        cause.contains("queue") || cause.contains("overload"),
        "{story}"
    );
}

#[tokio::test]
async fn a_request_that_timed_out_leads_to_the_upstream_that_kept_it() {
    let site = Site::start(1, 1).await;
    let upstream = site.agents[0].upstream.as_ref().unwrap();
    upstream.with_fault(|fault| fault.hangs = true);
    let id = "00000000000000e1";
    let reply = submit(
        &site.entries[0],
        id,
        &body(1, 100),
        Duration::from_millis(900),
    )
    .await;
    assert!(
        matches!(reply, Reply::Status(504) | Reply::Nothing),
        "{reply:?}"
    );
    let story = why(&site, &format!("request-{id}")).await;
    assert!(story.contains("agent-0 order"), "{story}");
    let cause = cause(&story);
    let is_named = cause.contains("out of time") || cause.contains("its caller left");
    assert!(is_named, "{story}");
    assert!(cause.contains("ended as Stopped at agent-0"), "{story}");
}

#[tokio::test]
async fn a_request_of_a_process_that_died_leads_to_that_process() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000e2";
    let job = hand_in(&site.entries[0], id, body(2, 3_000), PATIENCE * 2);
    while site.witness.runs().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(WRITTEN).await;
    site.entries[0].process.kill();
    assert_eq!(job.await.unwrap(), Reply::Nothing);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let story = why(&site, &format!("request-{id}")).await;
    assert!(
        story.contains("agent-0 link lost dependency=entry-0"),
        "{story}"
    );
    let cause = cause(&story);
    assert!(cause.contains("no outcome is logged"), "{story}");
    assert!(cause.contains("its entry is out of reach"), "{story}");
}

// A line named its process twice. Readers that take the first of two like keys and readers that
// take the last saw different lines.
#[tokio::test]
async fn each_line_says_once_when_who_and_what() {
    let site = Site::start(1, 1).await;
    let id = "00000000000000e7";
    submit(&site.entries[0], id, &body(2, 20), PATIENCE).await;
    let outputs = [
        site.entries[0].process.output(),
        site.agents[0].process.output(),
    ];
    let mut lines = outputs.iter().flat_map(|output| output.lines()).peekable();
    assert!(lines.peek().is_some());
    for line in lines {
        for key in ["at", "level", "process", "what"] {
            let times = line.matches(&format!("\"{key}\":")).count();
            assert_eq!(times, 1, "{key} in {line}");
        }
    }
}
