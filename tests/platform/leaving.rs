//! Processes that are stopped, restarted or told of new settings.

use crate::job::{PATIENCE, Reply, completed, hand_in, submit};
use crate::site::{Site, body};
use cassiarock_test_support::process::Child;
use nix::sys::signal::Signal;
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use yare::parameterized;

/// The pause between the first signal that ends a process and the next one.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(300);

/// How long a process may take until it handles signals, on a busy machine.
const START: Duration = Duration::from_secs(20);

/// How often the start of a process is watched.
const STARTS: usize = 10;

/// The grace period of all processes.
const GRACE: Duration = Duration::from_secs(6);

/// The part of the grace period that is left when an entry gives its last jobs up.
const ANSWER_TIME: Duration = Duration::from_millis(600);

/// Waits until so many tasks have begun.
async fn begun(site: &Site, tasks: usize) {
    while site.witness.runs().len() < tasks {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends SIGTERM twice.
async fn terminate_twice(process: &Child) {
    process.terminate();
    tokio::time::sleep(BETWEEN_SIGNALS).await;
    process.terminate();
}

// A process took SIGHUP, which says that its settings have changed, for the order to end.
#[tokio::test]
async fn new_settings_end_no_process() {
    let mut site = Site::start(1, 1).await;
    site.entries[0].process.hang_up();
    site.agents[0].process.hang_up();
    let limit = Duration::from_millis(300);
    assert_eq!(site.entries[0].process.ended(limit).await.unwrap(), None);
    assert_eq!(site.agents[0].process.ended(limit).await.unwrap(), None);
    let id = "00000000000000b0";
    let reply = submit(&site.entries[0], id, &body(2, 20), PATIENCE).await;
    assert_eq!(reply, completed());
}

/// Fails if the process handles SIGTERM before it handles SIGHUP.
fn assert_handles_hangup_first(process: &Child) {
    let until = Instant::now() + START;
    loop {
        // In this order: a process handles a signal for good once it does.
        let handles_terminate = process.handles(Signal::SIGTERM).unwrap();
        let handles_hangup = process.handles(Signal::SIGHUP).unwrap();
        assert!(handles_hangup || !handles_terminate);
        if handles_hangup {
            return;
        }
        assert!(Instant::now() < until, "it handles no signals");
    }
}

// A process that had just started was killed by SIGHUP, which says that its settings have changed.
#[tokio::test]
async fn new_settings_do_not_kill_a_process_that_starts() {
    let mut site = Site::start_unlinked(1, 1).await;
    for _ in 0..STARTS {
        site.entries[0].process.kill();
        site.entries[0].restart();
        assert_handles_hangup_first(&site.entries[0].process);
        site.agents[0].process.kill();
        site.agents[0].restart();
        assert_handles_hangup_first(&site.agents[0].process);
    }
}

// SIGHUP came before the reload of settings was ready for it, and the new settings were not read.
#[tokio::test]
async fn new_settings_at_the_start_are_read() {
    let mut site = Site::start_unlinked(1, 0).await;
    let entry = &mut site.entries[0];
    entry.process.kill();
    entry.restart();
    let until = Instant::now() + START;
    while !entry.process.handles(Signal::SIGTERM).unwrap() {
        assert!(Instant::now() < until, "it handles no signals");
    }
    entry.change_settings("graceS = 6", "graceS = 5");
    entry.process.hang_up();
    // The settings are also read at intervals, which must not be what finds the change.
    let until = Instant::now() + Duration::from_secs(1);
    while !entry.process.output().contains("\"changed\":\"grace\"") {
        assert!(Instant::now() < until, "{}", entry.process.output());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn an_entry_that_is_told_to_end_answers_what_it_has_taken() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000b1";
    let job = hand_in(&site.entries[0], id, body(4, 800), PATIENCE);
    while !site.witness.has_begun(id) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.entries[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ready = reqwest::get(site.entries[0].readiness()).await.unwrap();
    assert_eq!(ready.status(), 503);
    assert_eq!(job.await.unwrap(), completed());
    let status = site.entries[0].process.ended(Duration::from_secs(7)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

#[tokio::test]
async fn an_agent_that_is_told_to_end_finishes_its_tasks_and_takes_no_more() {
    let mut site = Site::start(1, 2).await;
    let id = "00000000000000b2";
    let job = hand_in(&site.entries[0], id, body(8, 800), PATIENCE);
    while site.witness.runs().len() < 8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.agents[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = site.witness.runs().len();
    let next = "00000000000000b3";
    let next = submit(&site.entries[0], next, &body(4, 50), PATIENCE).await;
    assert_eq!(next, completed());
    let later = site.witness.runs().split_off(before);
    assert!(
        later.iter().all(|run| run.upstream.starts_with("u-1")),
        "{later:?}"
    );
    assert_eq!(job.await.unwrap(), completed());
    let runs = site.witness.runs();
    let runs = runs.iter().filter(|run| run.job == id);
    assert_eq!(runs.count(), 8, "none was broken off");
    let status = site.agents[0].process.ended(Duration::from_secs(7)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

// The grace period ran out, and the caller's connection was closed without an answer.
#[tokio::test]
async fn a_job_that_outlasts_the_grace_period_is_answered_before_the_entry_ends() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000b7";
    let job = hand_in(&site.entries[0], id, body(2, 9_000), PATIENCE * 4);
    while !site.witness.has_begun(id) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let terminated_at = Instant::now();
    site.entries[0].process.terminate();
    assert_eq!(job.await.unwrap(), Reply::Status(504));
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < GRACE - ANSWER_TIME, "{elapsed:?}");
    let status = site.entries[0].process.ended(Duration::from_secs(2)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

// A job that nothing had run of was held until the grace period ran out, and then cut off.
#[tokio::test]
async fn a_waiting_job_that_cannot_end_within_the_grace_period_is_refused() {
    let site = Site::start(1, 1).await;
    let first = "00000000000000b8";
    let running = hand_in(&site.entries[0], first, body(16, 9_000), PATIENCE * 4);
    while site.witness.runs().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let second = "00000000000000b9";
    let waiting = hand_in(&site.entries[0], second, body(1, 2_000), PATIENCE * 4);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished(), "it was answered before the signal");
    site.entries[0].process.terminate();
    let has_retry_after = true;
    assert_eq!(waiting.await.unwrap(), Reply::Refused { has_retry_after });
    assert_eq!(running.await.unwrap(), Reply::Status(504));
    assert!(!site.witness.has_begun(second));
}

// A second SIGTERM ended a leaving entry at once, and its callers got no answer.
#[tokio::test]
async fn an_entry_that_is_told_to_end_twice_answers_what_it_has_taken() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000b4";
    let job = hand_in(&site.entries[0], id, body(4, 1_500), PATIENCE);
    begun(&site, 4).await;
    terminate_twice(&site.entries[0].process).await;
    assert_eq!(job.await.unwrap(), completed());
    let status = site.entries[0].process.ended(Duration::from_secs(7)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
    let output = site.entries[0].process.output();
    assert!(output.contains("SIGTERM: already leaving"), "{output}");
}

// A second SIGTERM ended a leaving agent at once, and its tasks were broken off.
#[tokio::test]
async fn an_agent_that_is_told_to_end_twice_finishes_its_tasks() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000b5";
    let job = hand_in(&site.entries[0], id, body(8, 1_500), PATIENCE);
    begun(&site, 8).await;
    terminate_twice(&site.agents[0].process).await;
    assert_eq!(job.await.unwrap(), completed());
    assert_eq!(site.witness.runs().len(), 8, "none was broken off");
    let status = site.agents[0].process.ended(Duration::from_secs(7)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

// SIGINT ended a leaving entry at once, and its callers got no answer.
#[tokio::test]
async fn an_entry_that_an_operator_ends_at_once_answers_its_callers_first() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000b6";
    let job = hand_in(&site.entries[0], id, body(4, 4_000), PATIENCE * 2);
    begun(&site, 4).await;
    site.entries[0].process.terminate();
    tokio::time::sleep(BETWEEN_SIGNALS).await;
    site.entries[0].process.interrupt();
    assert_eq!(job.await.unwrap(), Reply::Status(504));
    let status = site.entries[0].process.ended(Duration::from_secs(2)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

// A leaving entry refused connections while it finished its jobs, also if it was the only one.
#[tokio::test]
async fn an_entry_that_finishes_its_jobs_takes_new_connections_until_it_ends() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000ba";
    let job = hand_in(&site.entries[0], id, body(1, 4_500), PATIENCE * 2);
    begun(&site, 1).await;
    site.entries[0].process.terminate();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let next = "00000000000000bb";
    let reply = submit(&site.entries[0], next, &body(2, 50), PATIENCE).await;
    assert_eq!(reply, completed());
    assert_eq!(job.await.unwrap(), completed());
    let status = site.entries[0].process.ended(Duration::from_secs(2)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

/// The statuses that a caller gets who submits brief jobs, until connections are refused.
async fn submit_until_refused(url: String, caller: usize) -> Vec<u16> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0);
    let client = client.build().unwrap();
    let mut statuses = Vec::new();
    loop {
        let id = format!("{caller:08x}{:08x}", statuses.len());
        let call = client
            .post(format!("{url}{id}"))
            .header("host", "queue.example")
            .header("request-id", format!("request-{id}"))
            .header("deadline-ms", PATIENCE.as_millis().to_string())
            .json(&body(1, 20));
        match call.send().await {
            Ok(answer) => statuses.push(answer.status().as_u16()),
            Err(error) if error.is_connect() => return statuses,
            Err(error) => panic!("caller {caller}: {error:?} after {statuses:?}"),
        }
    }
}

// The grace period ended before connections were closed, and those that were open got no answer.
#[parameterized(two_seconds = { "2" }, half_a_second = { "0.5" })]
#[test_macro(tokio::test)]
async fn an_entry_with_a_short_grace_period_answers_all_that_it_takes(grace: &str) {
    let mut site = Site::start(1, 1).await;
    let entry = &mut site.entries[0];
    entry.change_settings("graceS = 6", &format!("graceS = {grace}"));
    entry.process.kill();
    entry.restart();
    entry.linked(1, START).await;
    let url = entry.job("");
    let callers = (0..16).map(|caller| tokio::spawn(submit_until_refused(url.clone(), caller)));
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    entry.process.terminate();
    for caller in callers {
        let statuses = caller.await.unwrap();
        assert!(statuses.contains(&200), "{statuses:?}");
    }
    let status = entry.process.ended(Duration::from_secs(2)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

// An entry ended while a caller was still sending its job, and called the job too large.
#[tokio::test]
async fn a_job_that_is_still_being_sent_when_the_entry_ends_is_refused() {
    let site = Site::start(1, 1).await;
    let id = "00000000000000bc";
    let url = reqwest::Url::parse(&site.entries[0].job(id)).unwrap();
    let mut caller = std::net::TcpStream::connect(&*url.socket_addrs(|| None).unwrap()).unwrap();
    let body = body(1, 50).to_string();
    let (path, length) = (url.path(), body.len());
    let head = format!("POST {path} HTTP/1.1\r\nhost: queue.example\r\n");
    let request = format!("{head}content-length: {length}\r\n\r\n{}", &body[1..]);
    caller.write_all(request.as_bytes()).unwrap();
    tokio::time::sleep(BETWEEN_SIGNALS).await;
    site.entries[0].process.terminate();
    let receive = move || {
        let mut response = String::new();
        caller.read_to_string(&mut response).map(|_| response)
    };
    let response = tokio::task::spawn_blocking(receive).await.unwrap().unwrap();
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(!site.witness.has_begun(id));
}
