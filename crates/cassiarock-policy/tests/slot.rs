//! The slots of one upstream, event by event.

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

fn ask(waiting: u16, lateness: i32) -> SlotDemand {
    SlotDemand {
        waiting,
        lateness,
        ..SlotDemand::default()
    }
}

fn full_pool() -> SlotScheduler {
    let mut pool = SlotScheduler::new(Settings::new(8));
    let tasks: Vec<PlacedTask> = (0..8).map(placed).collect();
    let verdicts = pool.start(&entry("a"), &tasks, &SlotDemand::default(), ms(0));
    assert_eq!(verdicts, [Verdict::Run; 8]);
    pool
}

#[test]
fn a_start_beyond_the_slots_is_rejected_as_full() {
    let mut pool = full_pool();
    let verdicts = pool.start(&entry("b"), &[placed(9)], &SlotDemand::default(), ms(1));
    assert_eq!(verdicts, [Verdict::Full]);
    assert_eq!(pool.running(), 8);
}

#[test]
fn a_start_that_may_queue_runs_when_a_slot_frees() {
    let mut pool = full_pool();
    let verdicts = pool.start(
        &entry("b"),
        &[placed(9).with_wait()],
        &SlotDemand::default(),
        ms(1),
    );
    assert_eq!(verdicts, [Verdict::Queued]);
    let finish = pool.finish(&key(0), ms(2));
    assert_eq!(finish.next, Some((entry("b"), key(9))));
}

#[test]
fn the_next_slot_goes_to_the_work_that_is_due_first() {
    let mut pool = full_pool();
    pool.set_demand(&entry("b"), &ask(1, 50), ms(1));
    pool.set_demand(&entry("c"), &ask(1, 400), ms(1));
    assert_eq!(pool.finish(&key(0), ms(2)).load.credit, 0);
    let actions = pool.poll(ms(2));
    assert!(
        matches!(&actions[..], [Action::Grant { entry, .. }] if entry.name.as_ref() == "c"),
        "{actions:?}"
    );
}

#[test]
fn a_slot_rides_on_the_outcome_when_nobody_is_due_much_earlier() {
    let mut pool = full_pool();
    pool.set_demand(&entry("a"), &ask(1, 100), ms(1));
    pool.set_demand(&entry("b"), &ask(1, 110), ms(1));
    assert_eq!(pool.finish(&key(0), ms(2)).load.credit, 1);
    assert_eq!(pool.poll(ms(2)), []);
}

// A slot stays idle for good: an entry is given a credit, then its process stops
// without closing the connection, and nothing ever uses or returns the credit.
#[test]
fn a_credit_that_is_not_used_expires_and_the_slot_is_open_again() {
    let mut pool = full_pool();
    pool.set_demand(&entry("a"), &ask(1, 0), ms(1));
    assert_eq!(pool.finish(&key(0), ms(2)).load.credit, 1);
    let wake = pool.next_poll().expect("an expiry is pending");
    pool.poll(wake);
    let verdicts = pool.start(&entry("b"), &[placed(9)], &SlotDemand::default(), wake);
    assert_eq!(verdicts, [Verdict::Run]);
}

#[test]
fn a_cancelled_job_leaves_the_queue_and_never_runs() {
    let mut pool = full_pool();
    pool.start(
        &entry("b"),
        &[placed(9).with_wait()],
        &SlotDemand::default(),
        ms(1),
    );
    assert_eq!(pool.cancel_job(key(9).job), [key(9)]);
    assert_eq!(pool.finish(&key(0), ms(2)).next, None);
}
