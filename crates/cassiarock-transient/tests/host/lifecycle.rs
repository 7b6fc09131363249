//! Restarts, loss and health of the upstream, and entries that come and go.

use crate::harness::{Harness, entry, ms};
use cassiarock_transient::Message;
use cassiarock_transient::host::{Action, StartResponse, Worker};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::timing::{CONTACT_TIMEOUT, LEASE};

fn running(harness: &mut Harness) {
    harness.order(1, "j", 1);
    let (task, _) = harness.starts[0].clone();
    harness.respond_to_start(&task, StartResponse::Started);
}

// An upstream that crashed was back at the same address within a second. The agent waited for its
// tasks until their time was over, although nothing of the previous incarnation was left.
#[test]
fn tasks_are_lost_as_soon_as_their_upstream_restarts() {
    let mut harness = Harness::new();
    running(&mut harness);
    harness.report("u-2", 1);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Crashed));
}

// A partition delayed a report. Its sender had crashed meanwhile and its successor had reported.
// The agent took the old report for a third incarnation and gave up all running tasks.
#[test]
fn a_report_of_a_previous_incarnation_is_ignored() {
    let mut harness = Harness::new();
    harness.report("u-2", 1);
    harness.observe(&[], &[]);
    running(&mut harness);
    harness.report("u-1", 9);
    assert_eq!(harness.host.worker().map(|worker| &*worker.id), Some("u-2"));
    assert_eq!(harness.outcome_of(1), None);
}

// A restarted agent started tasks on an upstream that still ran those of the agent's previous
// incarnation, which it did not know of.
#[test]
fn a_restarted_agent_starts_nothing_until_leftover_tasks_have_ended() {
    let mut harness = Harness::new();
    harness.leftover = vec![("left", 1)];
    harness.report("u-2", 1);
    assert_eq!(harness.stops.len(), 1);
    harness.order(1, "j", 1);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Closed));
    harness.observe(&[], &[]);
    harness.order(1, "j", 2);
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn a_leaving_upstream_gets_no_new_tasks_and_finishes_running_ones() {
    let mut harness = Harness::new();
    running(&mut harness);
    let actions = harness.host.leave();
    harness.apply(actions);
    harness.order(1, "k", 5);
    assert_eq!(harness.outcome_of(5), Some(Outcome::Closed));
    assert!(harness.stops.is_empty());
    harness.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Done));
}

// An entry died. Its callers sent their jobs to another entry 1.3 s later, and the tasks of the
// first submission were still running.
#[test]
fn tasks_of_an_unreachable_entry_are_stopped() {
    let mut harness = Harness::new();
    running(&mut harness);
    harness.host.record_echo(&entry(1), harness.now);
    harness.host.unlink(&entry(1));
    harness.now += CONTACT_TIMEOUT - ms(10);
    harness.poll();
    assert!(
        harness.stops.is_empty(),
        "a reset connection stops no tasks"
    );
    harness.now += ms(10);
    harness.poll();
    assert_eq!(harness.stops.len(), 1);
}

// The network carried messages from the entry to the agent but none back. The entry gave the agent
// up and started its tasks elsewhere, while the agent heard the entry and kept running them.
#[test]
fn tasks_of_an_entry_that_does_not_hear_the_agent_are_stopped() {
    let mut harness = Harness::new();
    running(&mut harness);
    let last = harness.now;
    for _ in 0..60 {
        harness.now += ms(10);
        harness.host.record_echo(&entry(1), last);
        harness.poll();
        let is_over = harness.now >= last + CONTACT_TIMEOUT;
        assert_eq!(!harness.stops.is_empty(), is_over, "at {:?}", harness.now);
    }
}

// The upstream's VM was cut off from its agent alone: the upstream neither answered nor ended. Its
// tasks are over once its lease has expired, and not before.
#[test]
fn tasks_of_a_silent_upstream_are_lost_once_their_leases_have_expired() {
    let mut harness = Harness::new();
    running(&mut harness);
    harness.observe(&[("j", 1)], &[]);
    let renewed = harness.now;
    while harness.outcome_of(1).is_none() {
        harness.now += ms(10);
        harness.host.record_echo(&entry(1), harness.now);
        harness.host.renew_leases(harness.now);
        harness.poll();
        assert!(harness.now < renewed + ms(2_000));
    }
    assert_eq!(harness.outcome_of(1), Some(Outcome::Crashed));
    assert!(harness.now >= renewed + LEASE);
}

// An upstream failed all tasks for some seconds and then recovered. If the agent never forgot the
// failures, the upstream would get no work and could never show that it has recovered.
#[test]
fn failures_are_forgotten_after_three_seconds() {
    let mut harness = Harness::new();
    for number in 1..=6 {
        let job = format!("j-{number}");
        harness.order(1, &job, 1);
        harness.observe(&[], &[(number, &job, 1, Outcome::Failed)]);
    }
    assert_eq!(harness.load.failure_percent, 100);
    harness.advance(3_200);
    assert_eq!(harness.load.failure_percent, 0);
}

// One job could never succeed and failed on every upstream. Each of these upstreams was taken for
// faulty.
#[test]
fn repeated_failures_of_one_job_do_not_count_against_the_upstream() {
    let mut harness = Harness::new();
    for number in 1..=6 {
        let attempt = u32::try_from(number).unwrap();
        harness.order(1, "poison", attempt);
        harness.observe(&[], &[(number, "poison", attempt, Outcome::Failed)]);
    }
    assert_eq!(harness.load.failure_percent, 0);
}

#[test]
fn results_that_a_broken_link_may_have_lost_are_sent_again() {
    let mut harness = Harness::new();
    running(&mut harness);
    harness.host.unlink(&entry(1));
    harness.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    assert_eq!(harness.outcome_of(1), None);
    harness.link(1);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Done));
}

// All tasks on an upstream hung while it still reported and answered polls. As no task ended,
// nothing showed, and its entries kept giving it work.
#[test]
fn an_upstream_on_which_tasks_hang_is_reported_as_slow() {
    let mut harness = Harness::new();
    for number in 0..4 {
        harness.order(1, &format!("j-{number}"), 1);
    }
    let names = ["j-0", "j-1", "j-2", "j-3"].map(|job| (job, 1));
    harness.observe(&names, &[]);
    harness.advance(100);
    assert_eq!(
        harness.load.slowdown_percent, 100,
        "within what was expected"
    );
    for _ in 0..4 {
        harness.advance(100);
        harness.observe(&names, &[]);
    }
    assert!(
        harness.load.slowdown_percent >= 300,
        "{}",
        harness.load.slowdown_percent
    );
}

// The link to one entry of many is about to be closed. Only that entry must place nothing more
// here: what is in flight when the link closes would be lost for more than a second.
#[test]
fn a_retired_entry_is_told_to_place_nothing_here() {
    let mut harness = Harness::new();
    harness.link(2);
    let told = |actions: &[Action]| match actions {
        [Action::Send(to, Message::Upstream(Some(upstream)))] => (to.clone(), upstream.is_leaving),
        other => panic!("{other:?}"),
    };
    let actions = harness.host.set_retired(&entry(1), true);
    assert_eq!(told(&actions), (entry(1), true));
    let actions = harness.host.set_retired(&entry(1), false);
    assert_eq!(told(&actions), (entry(1), false));
}

#[test]
fn a_retired_entry_stays_retired_when_the_upstream_changes() {
    let mut harness = Harness::new();
    harness.host.set_retired(&entry(1), true);
    let mut actions = harness.host.deregister("u-1");
    let incarnation = harness.incarnation();
    let ended = harness
        .host
        .handle_refused_connection(&incarnation, harness.now);
    actions.extend(ended);
    harness.apply(actions);
    let worker = Worker {
        id: "u-2".into(),
        service: "s".into(),
        clock: harness.clock(),
        sequence: 1,
        ..Worker::default()
    };
    let actions = harness.host.handle_report(worker, harness.now);
    let is_leaving = actions.iter().find_map(|action| match action {
        Action::Send(_, Message::Upstream(Some(upstream))) => Some(upstream.is_leaving),
        _ => None,
    });
    assert_eq!(is_leaving, Some(true));
}
