//! Failures, and what callers see of them.

use crate::job::{PATIENCE, Reply, completed, hand_in, submit};
use crate::site::{Site, body};
use cassiarock_test_support::proxy::Fault;
use std::time::{Duration, Instant};

/// A caller submits again this long after its connection broke.
const AGAIN: Duration = Duration::from_millis(1_300);

/// Waits until some task of the job has begun.
pub async fn begun(site: &Site, id: &str) {
    let until = Instant::now() + PATIENCE;
    while !site.witness.has_begun(id) {
        assert!(Instant::now() < until);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

// An entry dies with a job in hand. Its caller sends the job to another entry 1.3 s later, as
// it may. By then nothing of the first submission may run any more.
#[tokio::test]
async fn a_job_of_an_entry_that_died_runs_again_elsewhere_and_never_twice_at_once() {
    let mut site = Site::start(2, 2).await;
    let id = "00000000000000c0";
    let first = hand_in(&site.entries[0], id, body(6, 2_500), PATIENCE);
    begun(&site, id).await;
    site.entries[0].process.kill();
    assert_eq!(first.await.unwrap(), Reply::Nothing);
    tokio::time::sleep(AGAIN).await;
    let again = submit(&site.entries[1], id, &body(6, 300), PATIENCE).await;
    assert_eq!(again, completed());
    site.assert_never_twice();
}

// An agent freezes with tasks on its upstream, and wakes when they run elsewhere.
#[tokio::test]
async fn the_tasks_of_a_frozen_agent_run_elsewhere_and_never_twice_at_once() {
    let site = Site::start(1, 2).await;
    let id = "00000000000000c1";
    let patience = Duration::from_secs(12);
    let job = hand_in(&site.entries[0], id, body(8, 2_000), patience);
    begun(&site, id).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.agents[0].process.pause();
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.agents[0].process.resume();
    assert_eq!(job.await.unwrap(), completed());
    site.assert_never_twice();
}

// The links to the only entry are reset, and open again at once. Nothing is lost by it.
#[tokio::test]
async fn reset_links_cost_no_run() {
    let site = Site::start(1, 2).await;
    let id = "00000000000000c2";
    let job = hand_in(&site.entries[0], id, body(6, 900), PATIENCE);
    begun(&site, id).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.entries[0].proxy.set_all(Fault::Reset);
    site.entries[0].proxy.set_all(Fault::None);
    assert_eq!(job.await.unwrap(), completed());
    assert_eq!(site.witness.runs().len(), 6, "{:?}", site.witness.runs());
}

// Links go silent for good, while new ones work.
#[tokio::test]
async fn silent_links_are_found_and_replaced() {
    let site = Site::start(1, 2).await;
    let id = "00000000000000c3";
    let patience = Duration::from_secs(12);
    let job = hand_in(&site.entries[0], id, body(6, 600), patience);
    begun(&site, id).await;
    use cassiarock_test_support::proxy::{Direction, Scope};
    let proxy = &site.entries[0].proxy;
    proxy.set(Scope::Existing, Direction::Both, Fault::Silent);
    assert_eq!(job.await.unwrap(), completed());
    site.assert_never_twice();
}

#[tokio::test]
async fn the_tasks_of_an_upstream_that_restarted_run_again_at_once() {
    let mut site = Site::start(1, 2).await;
    let id = "00000000000000c4";
    let job = hand_in(&site.entries[0], id, body(6, 700), PATIENCE);
    begun(&site, id).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let witness = site.witness.clone();
    site.agents[0].revive(witness);
    assert_eq!(job.await.unwrap(), completed());
    site.assert_never_twice();
}

// An upstream restarts under its id, and counts its reports and ends anew. Its agent took all it
// said for old, and used it no more for as long as the former life had lasted.
#[tokio::test]
async fn an_upstream_that_restarted_under_its_id_is_used_again_within_two_seconds() {
    let mut site = Site::start(1, 1).await;
    let entry = &site.entries[0];
    for number in 0..20 {
        let id = format!("{number:016x}");
        assert_eq!(
            submit(entry, &id, &body(8, 20), PATIENCE).await,
            completed()
        );
    }
    let id = "00000000000000c9";
    let job = hand_in(entry, id, body(6, 700), PATIENCE);
    begun(&site, id).await;
    let witness = site.witness.clone();
    site.agents[0].revive_under_its_id(witness);
    let began = Instant::now();
    assert_eq!(job.await.unwrap(), completed());
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
    site.assert_never_twice();
}

// Orders are left unanswered and carried out seconds later.
#[tokio::test]
async fn orders_that_are_carried_out_late_start_nothing() {
    let site = Site::start(1, 2).await;
    for agent in &site.agents {
        let upstream = agent.upstream.as_ref().unwrap();
        upstream.with_fault(|fault| {
            fault.unanswered = 3;
            fault.late = Duration::from_secs(1);
        });
    }
    let id = "00000000000000c5";
    let began = Instant::now();
    assert_eq!(
        submit(&site.entries[0], id, &body(8, 100), PATIENCE).await,
        completed()
    );
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.assert_never_twice();
    assert_eq!(site.witness.done(id), 8);
}

// One upstream of three fails all that it starts, with good reports.
#[tokio::test]
async fn an_upstream_that_fails_everything_fails_few_jobs() {
    let site = Site::start(1, 3).await;
    let bad = site.agents[0].upstream.as_ref().unwrap();
    bad.with_fault(|fault| fault.fails = true);
    let mut failed = 0;
    for number in 0..40 {
        let id = format!("{number:014x}d0");
        let reply = submit(&site.entries[0], &id, &body(4, 30), PATIENCE).await;
        failed += u32::from(reply != completed());
    }
    assert!(failed <= 1, "{failed} of 40");
}

// The store turns an entry away from its first moment on. It learns from the others.
#[tokio::test]
async fn an_entry_without_the_store_is_not_ready_and_refuses() {
    let mut site = Site::start(1, 1).await;
    site.entries[0].process.kill();
    site.entries[0].door.with_fault(|fault| fault.down = true);
    site.entries[0].restart();
    site.entries[0].linked(1, PATIENCE * 4).await;
    let ready = reqwest::get(site.entries[0].readiness()).await.unwrap();
    assert_eq!(ready.status(), 503);
    let id = "00000000000000c6";
    let reply = submit(&site.entries[0], id, &body(1, 20), PATIENCE).await;
    assert_eq!(
        reply,
        Reply::Refused {
            has_retry_after: true
        }
    );
    site.entries[0].door.with_fault(|fault| fault.down = false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let reply = submit(&site.entries[0], id, &body(1, 20), PATIENCE).await;
    assert_eq!(reply, completed());
}
