//! The slot scheduler of one upstream, event by event.

use cassiarock_id::{Job, Process, Task, Wall};
use cassiarock_policy::load::SlotDemand;
use cassiarock_policy::place::{PlacedTask, TaskKey};
use cassiarock_policy::slot::{Action, Settings, SlotScheduler, Verdict};
use std::time::Duration;

fn key(task: u16) -> TaskKey {
    TaskKey::new(Job::with_bits(Wall::from_millis(1), 1), Task(task))
}

fn placed(task: u16) -> PlacedTask {
    PlacedTask::new(key(task), 0)
}

fn entry(name: &str) -> Process {
    Process::new(name, 1)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn demand(waiting: u16, lateness: i32) -> SlotDemand {
    SlotDemand {
        waiting,
        lateness,
        ..SlotDemand::default()
    }
}

fn full_scheduler() -> SlotScheduler {
    let mut scheduler = SlotScheduler::new(Settings::new(8));
    let tasks: Vec<PlacedTask> = (0..8).map(placed).collect();
    let verdicts = scheduler.start(&entry("a"), &tasks, &SlotDemand::default(), ms(0));
    assert_eq!(verdicts, [Verdict::Run; 8]);
    scheduler
}

#[test]
fn a_start_beyond_the_slots_is_rejected_as_full() {
    let mut scheduler = full_scheduler();
    let verdicts = scheduler.start(&entry("b"), &[placed(9)], &SlotDemand::default(), ms(1));
    assert_eq!(verdicts, [Verdict::Full]);
    assert_eq!(scheduler.running(), 8);
}

#[test]
fn a_start_that_may_queue_runs_when_a_slot_frees() {
    let mut scheduler = full_scheduler();
    let verdicts = scheduler.start(
        &entry("b"),
        &[placed(9).with_wait()],
        &SlotDemand::default(),
        ms(1),
    );
    assert_eq!(verdicts, [Verdict::Queued]);
    let finish = scheduler.finish(&key(0), ms(2));
    assert_eq!(finish.next, Some((entry("b"), key(9))));
}

#[test]
fn the_next_slot_goes_to_the_work_that_is_due_first() {
    let mut scheduler = full_scheduler();
    scheduler.set_demand(&entry("b"), &demand(1, 50), ms(1));
    scheduler.set_demand(&entry("c"), &demand(1, 400), ms(1));
    assert_eq!(scheduler.finish(&key(0), ms(2)).load.credit, 0);
    let actions = scheduler.poll(ms(2));
    assert!(
        matches!(&actions[..], [Action::Grant { entry, .. }] if entry.name.as_ref() == "c"),
        "{actions:?}"
    );
}

#[test]
fn an_outcome_carries_a_credit_if_no_other_entry_is_due_much_earlier() {
    let mut scheduler = full_scheduler();
    scheduler.set_demand(&entry("a"), &demand(1, 100), ms(1));
    scheduler.set_demand(&entry("b"), &demand(1, 110), ms(1));
    assert_eq!(scheduler.finish(&key(0), ms(2)).load.credit, 1);
    assert_eq!(scheduler.poll(ms(2)), []);
}

// Guards against a slot that stays idle forever. An entry gets a credit, and its process stops
// without closing the connection, so that the credit is never used or returned.
#[test]
fn a_credit_that_is_not_used_expires_and_the_slot_is_open_again() {
    let mut scheduler = full_scheduler();
    scheduler.set_demand(&entry("a"), &demand(1, 0), ms(1));
    assert_eq!(scheduler.finish(&key(0), ms(2)).load.credit, 1);
    let poll_at = scheduler.next_poll().expect("an expiry is pending");
    scheduler.poll(poll_at);
    let verdicts = scheduler.start(&entry("b"), &[placed(9)], &SlotDemand::default(), poll_at);
    assert_eq!(verdicts, [Verdict::Run]);
}

#[test]
fn a_cancelled_job_leaves_the_queue_and_never_runs() {
    let mut scheduler = full_scheduler();
    scheduler.start(
        &entry("b"),
        &[placed(9).with_wait()],
        &SlotDemand::default(),
        ms(1),
    );
    assert_eq!(scheduler.cancel_job(key(9).job), [key(9)]);
    assert_eq!(scheduler.finish(&key(0), ms(2)).next, None);
}
