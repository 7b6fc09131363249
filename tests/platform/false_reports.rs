//! Reports that are not from the upstream, with real processes.

use crate::failures::begun;
use crate::job::{PATIENCE, completed, hand_in, submit};
use crate::site::{Site, body};
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How long an agent, which may be down, has to answer a report.
const ANSWER: Duration = Duration::from_millis(100);

/// A report with all its fields.
fn report() -> Value {
    json!({
        "service": "tasks", "address": "10.1.0.9:9000", "zone": "dc-1", "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "clockMs": 482_113, "sequence": 4,
        "capacity": { "cpu": 16_000, "memMb": 16_384, "gpu": 0 }, "labels": ["a", "r9-9"],
    })
}

/// Sends every agent a report and returns once each has acknowledged it.
async fn report_to_all(site: &Site, id: impl Fn(usize) -> String, report: &Value) {
    for (number, agent) in site.agents.iter().enumerate() {
        let call = site.client.put(agent.reports(&id(number))).json(report);
        assert_eq!(call.send().await.unwrap().status(), 200);
    }
}

/// Sends an agent a report or a deregistration that is not from its upstream. Says which.
pub async fn send_one(site: &Site, rng: &mut StdRng) -> String {
    let number = rng.random_range(0..site.agents.len());
    let agent = &site.agents[number];
    let kind = rng.random_range(0..5);
    let mut false_report = report();
    false_report["clockMs"] = json!(rng.random_range(0..20_000));
    false_report["sequence"] = json!(rng.random_range(0..1_000_000));
    let id = match kind {
        0 => format!("stranger-{}", rng.random_range(0..3)),
        1 => format!("u-{number}-{}", rng.random_range(0..4)),
        _ => agent.upstream_id(),
    };
    match kind {
        2 => false_report["service"] = json!("other-tasks"),
        3 => false_report["born"] = json!(rng.random_range(0..4_000_000_000_000_u64)),
        _ => {}
    }
    let url = agent.reports(&id);
    let call = if kind == 4 {
        site.client.delete(url)
    } else {
        site.client.put(url).json(&false_report)
    };
    let answer = call.timeout(ANSWER).send().await;
    let status = answer.map(|answer| answer.status().as_u16());
    format!("false report {kind} of {id} at agent {number}: {status:?}")
}

/// Accepts connections and never answers on them.
struct Hanging {
    accepted: Arc<Mutex<Vec<TcpStream>>>,
    accepting: JoinHandle<()>,
}

impl Hanging {
    /// Accepts no more connections. Returns those that are open.
    async fn stop(self) -> Vec<TcpStream> {
        self.accepting.abort();
        assert!(self.accepting.await.is_err(), "it ends by being aborted");
        std::mem::take(&mut *self.accepted.lock().unwrap())
    }
}

async fn hang_at(address: SocketAddr) -> Hanging {
    let until = Instant::now() + PATIENCE;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            // The former listener is being closed.
            Err(error) => assert!(Instant::now() < until, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    let accepted = Arc::<Mutex<Vec<TcpStream>>>::default();
    let streams = accepted.clone();
    let accepting = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            streams.lock().unwrap().push(stream);
        }
    });
    Hanging {
        accepted,
        accepting,
    }
}

/// Waits until the job runs, so that its agents know that its tasks have started.
async fn until_running(site: &Site, id: &str) {
    begun(site, id).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
}

// A delayed report of a former sender, with no start time and under an id that the agent had never
// heard of, ended all tasks of the upstream that ran on.
#[tokio::test]
async fn a_report_of_an_unknown_sender_starts_no_running_task_again() {
    let site = Site::start(1, 3).await;
    let id = "00000000000000f8";
    let job = hand_in(&site.entries[0], id, body(12, 900), PATIENCE);
    until_running(&site, id).await;
    report_to_all(&site, |_| "i-0fe1d3c2".to_owned(), &report()).await;
    assert_eq!(job.await.unwrap(), completed());
    assert_eq!(site.witness.runs().len(), 12, "{:?}", site.witness.runs());
}

// The former incarnation hung with its connections open, and calls to the new one waited behind
// those to the former.
#[tokio::test]
async fn an_upstream_that_replaces_a_hanging_one_is_used_at_once() {
    let mut site = Site::start(1, 1).await;
    let first = submit(&site.entries[0], "00000000000000f9", &body(4, 20), PATIENCE).await;
    assert_eq!(first, completed());
    let address = site.agents[0].upstream.take().unwrap().address();
    let hanging = hang_at(address).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let connections = hanging.stop().await;
    assert!(!connections.is_empty());
    let witness = site.witness.clone();
    site.agents[0].revive(witness);
    let revived = Instant::now();
    let id = "00000000000000fa";
    let second = submit(&site.entries[0], id, &body(4, 20), PATIENCE).await;
    assert_eq!(second, completed());
    let runs = site.witness.runs();
    let used = runs
        .iter()
        .find(|run| run.job == id)
        .map(|run| run.began - revived);
    assert!(
        used.is_some_and(|used| used < Duration::from_millis(500)),
        "{used:?}"
    );
}

// Another sender's report named another service under the id of the upstream, with a sequence number
// far ahead. The upstream's own reports counted as older ones, and nothing was placed there.
#[tokio::test]
async fn a_contradicting_report_under_the_id_of_an_upstream_does_not_exclude_it() {
    let site = Site::start(1, 1).await;
    let mut false_report = report();
    false_report["service"] = json!("other-tasks");
    false_report["sequence"] = json!(1_000_000);
    for id in ["00000000000000fb", "00000000000000fc"] {
        report_to_all(&site, |number| format!("u-{number}-0"), &false_report).await;
        let began = Instant::now();
        let reply = submit(&site.entries[0], id, &body(4, 20), PATIENCE).await;
        assert_eq!(reply, completed());
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "{:?}",
            began.elapsed()
        );
        false_report["service"] = json!("tasks");
        false_report["capacity"]["cpu"] = json!(0);
    }
}

// Another sender's deregistration, under the id of an upstream that had said that it leaves, ended all
// tasks there, which ran on.
#[tokio::test]
async fn a_false_deregistration_starts_no_running_task_again() {
    let site = Site::start(1, 3).await;
    let id = "00000000000000fd";
    let job = hand_in(&site.entries[0], id, body(12, 900), PATIENCE);
    until_running(&site, id).await;
    for agent in &site.agents {
        let upstream = agent.upstream.as_ref().unwrap();
        upstream.with_fault(|fault| fault.is_leaving = true);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for (number, agent) in site.agents.iter().enumerate() {
        let call = site.client.delete(agent.reports(&format!("u-{number}-0")));
        assert_eq!(call.send().await.unwrap().status(), 200);
    }
    assert_eq!(job.await.unwrap(), completed());
    assert_eq!(site.witness.runs().len(), 12, "{:?}", site.witness.runs());
}

#[tokio::test]
async fn the_tasks_of_an_upstream_that_deregisters_and_ends_start_elsewhere_at_once() {
    let mut site = Site::start(1, 2).await;
    let id = "00000000000000fe";
    let job = hand_in(&site.entries[0], id, body(8, 900), PATIENCE);
    until_running(&site, id).await;
    let leaving = site.agents[0].upstream.as_ref().unwrap();
    leaving.with_fault(|fault| fault.is_leaving = true);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let call = site.client.delete(site.agents[0].reports("u-0-0"));
    assert_eq!(call.send().await.unwrap().status(), 200);
    site.agents[0].upstream = None;
    let ended = Instant::now();
    assert_eq!(job.await.unwrap(), completed());
    let runs = site.witness.runs();
    let again = runs.iter().filter(|run| run.began > ended);
    let last = again.map(|run| run.began - ended).max();
    assert!(
        last.is_some_and(|last| last < Duration::from_millis(400)),
        "{last:?}"
    );
    site.assert_never_twice();
}
