//! Orders, and the reasons to reject or stop them.

use crate::harness::{Harness, attempt_id, entry, ms};
use cassiarock_transient::Message;
use cassiarock_transient::host::{Action, StartResponse};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::timing::CONTACT_TIMEOUT;

#[test]
fn a_result_is_sent_to_its_entry_with_the_free_capacity() {
    let mut harness = Harness::new();
    harness.order(1, "j", 1);
    let (task, _) = harness.starts[0].clone();
    harness.respond_to_start(&task, StartResponse::Started);
    assert_eq!(harness.host.attempt_count(), 1);
    harness.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Done));
    assert_eq!(harness.load.free.cpu, 10_000);
}

#[test]
fn tasks_that_do_not_fit_are_rejected() {
    let mut harness = Harness::new();
    for number in 0..11 {
        harness.order(1, &format!("j-{number}"), 1);
    }
    assert_eq!(harness.starts.len(), 10);
    let full = harness.results.iter();
    let full = full.filter(|(_, result)| result.outcome == Outcome::Full);
    assert_eq!(full.count(), 1);
}

// An agent froze with an unread order in its socket. When it woke up seconds later it carried the
// order out, although the entry had started the task elsewhere long before: the task ran twice.
#[test]
fn an_order_that_waited_while_the_agent_was_frozen_is_rejected() {
    let mut harness = Harness::new();
    let before = harness.now;
    harness.now += CONTACT_TIMEOUT;
    harness.order_with_echo(1, "j", 1, before);
    assert!(harness.starts.is_empty());
    assert_eq!(harness.outcome_of(1), Some(Outcome::Stale));
}

// The upstream left an order unanswered and carried it out four seconds later, when the task ran
// elsewhere. So an order carries a time after which it is void, and an unanswered one is stopped at
// once, which prevents its start: then its entry need not wait.
#[test]
fn an_unanswered_order_is_stopped_and_reported_as_never_started() {
    let mut harness = Harness::new();
    harness.order(1, "j", 1);
    let (task, until) = harness.starts[0].clone();
    assert!(until <= harness.clock() + 1_000, "void within a lease");
    harness.now += ms(40);
    harness.respond_to_start(&task, StartResponse::NoResponse);
    assert_eq!(harness.stops, std::slice::from_ref(&task));
    assert_eq!(harness.outcome_of(1), None, "it may run yet");
    let actions = harness.confirm_stop(&task);
    assert_eq!(actions, [Action::Poll]);
    harness.observe(&[], &[]);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Refused));
    assert_eq!(harness.host.attempt_count(), 0);
}

#[test]
fn a_stop_that_is_not_confirmed_is_ordered_again() {
    let mut harness = Harness::new();
    harness.order(1, "j", 1);
    let (task, _) = harness.starts[0].clone();
    harness.respond_to_start(&task, StartResponse::NoResponse);
    harness.advance(250);
    assert!(harness.stops.len() >= 2, "{:?}", harness.stops.len());
    assert_eq!(harness.outcome_of(1), None);
}

// A caller's connection broke, and the caller sent its job to another entry while the first entry's
// task was still running here: the task ran twice, and a parent was charged twice.
#[test]
fn a_task_of_a_resubmitted_job_waits_for_the_earlier_attempt_to_end() {
    let mut harness = Harness::new();
    harness.link(2);
    harness.order(1, "j", 1);
    let (task, _) = harness.starts[0].clone();
    harness.respond_to_start(&task, StartResponse::Started);
    harness.order(2, "j", 1);
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.stops, [task]);
    let (to, result) = harness.results[0].clone();
    assert_eq!((to, result.outcome), (entry(2), Outcome::Busy));
}

#[test]
fn a_halted_task_is_stopped_once() {
    let mut harness = Harness::new();
    harness.order(1, "j", 1);
    let actions = harness
        .host
        .handle_halt(&entry(1), &[attempt_id(1)], harness.now);
    harness.apply(actions);
    assert_eq!(harness.stops.len(), 1);
    let actions = harness
        .host
        .handle_halt(&entry(1), &[attempt_id(1)], harness.now);
    harness.apply(actions);
    assert_eq!(harness.stops.len(), 1, "once");
}

// An order was carried out late, after the agent had given it up: the task ran although no entry
// expected it.
#[test]
fn a_task_that_was_not_ordered_is_stopped() {
    let mut harness = Harness::new();
    harness.observe(&[("stranger", 3)], &[]);
    assert_eq!(harness.stops.len(), 1);
    assert_eq!(&*harness.stops[0].job, "stranger");
}

// An order from an entry that did not know of the evacuation was in flight when it began. Its tasks
// were started in the evacuated data centre.
#[test]
fn an_evacuated_data_centre_starts_nothing_and_lets_running_tasks_finish() {
    let mut harness = Harness::new();
    harness.order(1, "running", 1);
    let actions = harness.host.set_evacuated(true);
    let told = actions.iter().any(|action| {
        matches!(action, Action::Send(_, Message::Upstream(Some(upstream))) if upstream.is_leaving)
    });
    assert!(told, "{actions:?}");
    harness.order(1, "late", 2);
    assert_eq!(harness.outcome_of(2), Some(Outcome::Closed));
    assert_eq!(harness.starts.len(), 1);
    assert!(harness.stops.is_empty());
    harness.host.set_evacuated(false);
    harness.order(1, "later", 3);
    assert_eq!(harness.starts.len(), 2);
}

// Ten tasks of several entries were lost with one upstream. Each entry sent its tasks to the
// upstream with the most free capacity, which was the same one for all. The task that had crashed
// the first upstream crashed them all again, and all were given up.
#[test]
fn suspects_of_one_loss_from_different_entries_do_not_run_together() {
    let mut harness = Harness::new();
    harness.link(2);
    harness.suspect = Some("agent-7".into());
    harness.order(1, "j", 1);
    harness.order(2, "k", 2);
    assert_eq!(harness.outcome_of(2), Some(Outcome::Refused));
    harness.suspect = Some("agent-8".into());
    harness.order(2, "l", 3);
    harness.suspect = None;
    harness.order(2, "m", 4);
    assert_eq!(harness.starts.len(), 3, "others run there");
    harness.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    harness.suspect = Some("agent-7".into());
    harness.order(2, "k", 5);
    assert_eq!(harness.starts.len(), 4);
}
