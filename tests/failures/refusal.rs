//! Refusals and cancellations tell the truth, also afterwards.

use crate::cluster::Cluster;
use crate::job::{Job, Reply};
use crate::node::until;
use cassiarock_test_support::proxy::Fault;
use std::time::Duration;

/// The wind closes all lifts and every class is cancelled at once, some at an entry that
/// never saw them. Each cancellation says of each task whether it ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_of_cancellations_tells_what_ran() {
    let cluster = Cluster::start(2, 4).await;
    let jobs: Vec<_> = (0..10).map(|_| Job::new(24, 400)).collect();
    let flights: Vec<_> = jobs.iter().map(|job| cluster.submit(0, job)).collect();
    until("starts", || cluster.started(&jobs[0]) > 0).await;
    let cancels: Vec<_> = jobs
        .iter()
        .enumerate()
        .map(|(at, job)| cluster.cancel(at % 2, job))
        .collect();
    let mut outcomes = Vec::new();
    for reply in cancels.into_iter().chain(flights) {
        let reply = reply.await.unwrap();
        assert_ne!(reply.outcome, "none", "{reply:?}");
        outcomes.push(reply.outcome);
    }
    assert!(
        outcomes.iter().any(|one| one == "cancelled"),
        "{outcomes:?}"
    );
    cluster.verdict().await;
}

/// A job is cancelled when all of its tasks run already. They are stopped, and the caller
/// is told that it is cancelled and that all of them ran, not that something went wrong.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_cancelled_while_all_its_tasks_run_is_told_as_cancelled() {
    let cluster = Cluster::start(1, 3).await;
    let job = Job::new(8, 5000);
    let flight = cluster.submit(0, &job);
    until("all starts", || cluster.started(&job) == 8).await;
    let cancelled = cluster.cancel(0, &job).await.unwrap();
    assert_eq!(cancelled.outcome, "cancelled", "{cancelled:?}");
    assert_eq!(cancelled.body["ran"].as_array().map(Vec::len), Some(8));
    flight.await.unwrap();
    cluster.verdict().await;
}

/// A cancelled job is submitted again by a client that did not hear of it. It stays
/// cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_does_not_start_again() {
    let cluster = Cluster::start(2, 3).await;
    let job = Job::new(40, 300);
    let flight = cluster.submit(0, &job);
    until("a start", || cluster.started(&job) > 0).await;
    let cancelled = cluster.cancel(0, &job).await.unwrap();
    assert_eq!(cancelled.outcome, "cancelled", "{cancelled:?}");
    flight.await.unwrap();
    for entry in [0, 1] {
        let again = cluster.submit(entry, &job).await.unwrap();
        assert_ne!(again.outcome, "complete", "{again:?}");
    }
    cluster.verdict().await;
}

/// A cancelled job's entry dies after it has told what did not run, and the client submits
/// the job again at another entry. What was told as not run must not start there.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stays_so_when_its_entry_dies() {
    let mut cluster = Cluster::settled(2, 3).await;
    let job = Job::new(40, 300);
    let flight = cluster.submit(0, &job);
    until("a start", || cluster.started(&job) > 0).await;
    let cancelled = cluster.cancel(0, &job).await.unwrap();
    assert_eq!(cancelled.outcome, "cancelled", "{cancelled:?}");
    flight.await.unwrap();
    cluster.entries[0].child.kill();
    cluster.submit(1, &job).await.unwrap();
    cluster.verdict().await;
}

/// A dawn rush meets too few slots and the deadlines pass. Whoever is told "not run" may
/// pay elsewhere: nothing of the job runs later, also not when it is submitted again.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_refused_in_a_rush_stays_unstarted() {
    let cluster = Cluster::start(2, 3).await;
    let jobs: Vec<_> = (0..60)
        .map(|_| Job::new(10, 200).with_deadline_ms(700))
        .collect();
    let flights = cluster.submit_all(&jobs);
    let mut refused = Vec::new();
    for flight in flights {
        let reply = flight.await.unwrap();
        assert_ne!(reply.outcome, "none", "{reply:?}");
        if reply.outcome == "refused_not_run" {
            refused.push(reply);
        }
    }
    assert!(!refused.is_empty(), "nothing was refused at all");
    for (at, reply) in refused.iter().enumerate() {
        let again = again(&cluster, at % 2, reply).await;
        assert_ne!(again.outcome, "complete", "{again:?}");
    }
    cluster.verdict().await;
}

/// Start messages hang in the network until the deadline has passed and the caller has
/// been told the outcome; then they arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_arrives_after_the_answer_changes_nothing() {
    let cluster = Cluster::start(1, 3).await;
    cluster
        .agents
        .iter()
        .for_each(|agent| agent.door.set_all(Fault::Silent));
    let job = Job::new(6, 20).with_deadline_ms(1500);
    let reply = cluster.submit(0, &job).await.unwrap();
    assert_ne!(reply.outcome, "complete", "{reply:?}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.verdict().await;
}

async fn again(cluster: &Cluster, entry: usize, reply: &Reply) -> Reply {
    cluster.submit(entry, &reply.job).await.unwrap()
}
