//! The client of a worker against a stand-in with injected faults.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::{Job, Task, Wall};
use cassiarock_test_support::worker::{self, Fault};
use cassiarock_upstream::{Outcome, Run, UpstreamClient};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};
use yare::parameterized;

fn run(payload: &str) -> Run {
    Run {
        job: Job::new(Wall::now()),
        task: Task(3),
        round: 1,
        kind: "seat-check".into(),
        payload: payload.as_bytes().into(),
        limit: Duration::from_millis(400),
    }
}

fn client(standin: &worker::Worker) -> UpstreamClient {
    UpstreamClient::new(standin.url(), 64).unwrap()
}

fn kind(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done(_) => "done",
        Outcome::Failed(_) => "failed",
        Outcome::Lost(_) => "lost",
        Outcome::NotStarted(_) => "not started",
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "the condition never held");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a task reported as not started after the worker took the request and then
/// failed: the caller tries again, and a booking is paid twice.
#[parameterized(
    a_hang = { Fault::Hang },
    a_crash = { Fault::Crash },
    garbage = { Fault::Garbage },
    a_truncated_answer = { Fault::Truncate },
    the_answer_of_another_run = { Fault::Cross },
    a_run_past_its_limit = { Fault::Slow(100.0) },
)]
#[test_macro(tokio::test)]
async fn once_the_request_is_sent_anything_but_a_valid_answer_is_lost(fault: Fault) {
    let standin = worker::Worker::new().unwrap();
    standin.set_fault(fault);
    let outcome = client(&standin)
        .run(&run(r#"{"run_ms": 10, "echo": 1}"#))
        .await;
    assert_eq!(kind(&outcome), "lost", "{outcome:?}");
    assert_eq!(standin.total(), 1);
}

#[parameterized(
    a_number = { "7.50" },
    an_object = { r#"{"b":1,"a":[null]}"# },
    null = { "null" },
)]
#[test_macro(tokio::test)]
async fn a_result_comes_back_as_the_worker_wrote_it(echo: &str) {
    let standin = worker::Worker::new().unwrap();
    let outcome = client(&standin)
        .run(&run(&format!(r#"{{"echo": {echo}}}"#)))
        .await;
    assert_eq!(outcome, Outcome::Done(echo.as_bytes().to_vec()));
}

#[tokio::test]
async fn a_failure_is_distinguished_from_a_lost_answer() {
    let standin = worker::Worker::new().unwrap();
    let outcome = client(&standin).run(&run(r#"{"fail": "no seat"}"#)).await;
    assert_eq!(outcome, Outcome::Failed("no seat".to_owned()));
    standin.set_fault(Fault::FailFast);
    let outcome = client(&standin).run(&run(r#"{"run_ms": 9000}"#)).await;
    assert_eq!(kind(&outcome), "failed");
}

#[tokio::test]
async fn a_refused_connection_started_nothing() {
    let standin = worker::Worker::new().unwrap();
    let client = client(&standin);
    drop(standin);
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let outcome = client.run(&run("{}")).await;
        if kind(&outcome) == "not started" {
            break;
        }
        assert!(Instant::now() < deadline, "{outcome:?}");
    }
}

#[tokio::test]
async fn a_payload_that_is_no_json_is_not_sent() {
    let standin = worker::Worker::new().unwrap();
    let outcome = client(&standin).run(&run("{")).await;
    assert_eq!(kind(&outcome), "not started");
    assert_eq!(standin.total(), 0);
}

/// Guards against a task that runs twice (a sign-off counted twice in an audit): the worker
/// closed a keep-alive connection just as the next request was sent on it, and the HTTP library
/// sent the request again.
#[tokio::test]
async fn a_request_cut_on_a_reused_connection_is_not_sent_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let first = run("{}");
    let answer = format!(r#"{{"job":"{}","task":3,"round":1,"result":1}}"#, first.job);
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        assert!(stream.read(&mut buffer).unwrap() > 0);
        let length = answer.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{answer}"
        )
        .unwrap();
        // The second request arrives, and the connection is closed without an answer.
        assert!(stream.read(&mut buffer).unwrap() > 0);
        drop(stream);
        listener.set_nonblocking(true).unwrap();
        std::thread::sleep(Duration::from_millis(300));
        listener.accept().is_ok()
    });
    let client = UpstreamClient::new(url, 64).unwrap();
    assert_eq!(client.run(&first).await, Outcome::Done(b"1".to_vec()));
    let outcome = client.run(&run("{}")).await;
    assert_eq!(kind(&outcome), "lost");
    assert!(!server.join().unwrap(), "the request was sent again");
}

// Guards against an answer to a health check that is read into memory without a bound.
#[tokio::test]
async fn a_health_answer_over_the_limit_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n";
        let body = format!(
            r#"{{"healthy":true,"leaving":false,"x":"{}"}}"#,
            "x".repeat(199_900)
        );
        // The client may have closed the connection.
        let _ = write!(stream, "{head}{body}");
        while matches!(stream.read(&mut [0; 4_096]), Ok(1..)) {}
    });
    let health = UpstreamClient::new(url, 64).unwrap().health().await;
    let error = health.unwrap_err().to_string();
    assert!(error.contains("over 65536 bytes"), "{error}");
}

#[tokio::test]
async fn an_answer_over_the_limit_is_lost() {
    let standin = worker::Worker::new().unwrap();
    let client = client(&standin).with_answer_limit(200);
    let payload = format!(r#"{{"echo": "{}"}}"#, "x".repeat(200));
    let outcome = client.run(&run(&payload)).await;
    assert_eq!(kind(&outcome), "lost");
}

#[tokio::test]
async fn a_running_task_can_be_stopped_once() {
    let standin = worker::Worker::new().unwrap();
    let client = client(&standin);
    let order = Run {
        limit: Duration::from_secs(60),
        ..run(r#"{"run_ms": 60000}"#)
    };
    let running = tokio::spawn({
        let (client, order) = (client.clone(), order.clone());
        async move { client.run(&order).await }
    });
    wait_until(|| standin.running() == 1).await;
    assert!(client.stop(order.job, order.task).await.unwrap());
    assert_eq!(kind(&running.await.unwrap()), "failed");
    assert!(!client.stop(order.job, order.task).await.unwrap());
}

/// Guards against starts that wait although slots are free: a worker that hung held all
/// connections, and they were never released.
#[tokio::test]
async fn connections_are_free_again_after_a_hang() {
    let standin = worker::Worker::new().unwrap();
    let client = UpstreamClient::new(standin.url(), 1).unwrap();
    standin.set_fault(Fault::Hang);
    let outcome = client.run(&run("{}")).await;
    assert_eq!(kind(&outcome), "lost");
    standin.set_fault(Fault::None);
    let outcome = client.run(&run("{}")).await;
    assert_eq!(kind(&outcome), "done");
}

#[tokio::test]
async fn no_more_connections_are_used_than_allowed() {
    let standin = worker::Worker::new().unwrap();
    let client = UpstreamClient::new(standin.url(), 2).unwrap();
    let runs = (0..6).map(|index| {
        let client = client.clone();
        let order = Run {
            task: Task(index),
            ..run(r#"{"run_ms": 30}"#)
        };
        tokio::spawn(async move { client.run(&order).await })
    });
    for run in runs.collect::<Vec<_>>() {
        assert_eq!(kind(&run.await.unwrap()), "done");
    }
    assert_eq!(standin.peak(), 2);
}

#[tokio::test]
async fn usage_lags_behind_and_health_does_not_wait_for_it() {
    let standin = worker::Worker::new().unwrap();
    let client = client(&standin);
    let running = tokio::spawn({
        let client = client.clone();
        let order = Run {
            limit: Duration::from_secs(60),
            ..run(r#"{"run_ms": 60000}"#)
        };
        async move { client.run(&order).await }
    });
    wait_until(|| standin.running() == 1).await;
    assert!(client.health().await.unwrap().healthy);
    let deadline = Instant::now() + Duration::from_secs(10);
    while client.usage().await.unwrap().running == 0 {
        assert!(Instant::now() < deadline, "the usage never showed the task");
    }
    running.abort();
}

#[tokio::test]
async fn a_hung_worker_fails_its_health_check() {
    let standin = worker::Worker::new().unwrap();
    standin.set_fault(Fault::Hang);
    let error = client(&standin).health().await.unwrap_err();
    assert!(error.to_string().contains("health"), "{error}");
}
