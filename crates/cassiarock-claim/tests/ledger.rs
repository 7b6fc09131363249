//! Tests of the start ledger's decisions.

use cassiarock_claim::ledger::{CancelDecision, Ledger, StartDecision};
use cassiarock_claim::message::{Cancel, Fence, Outcome, Reject, Start, TaskState};
use cassiarock_claim::view::View;
use cassiarock_claim::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Task, Wall};
use std::time::Duration;

const NOW: Wall = Wall::from_millis(1_000_000);
const RETENTION: Duration = Duration::from_secs(600);

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(agent(1), RetentionLimit::new(RETENTION, 4_000));
    ledger.set_view(5);
    ledger
}

fn agent(n: u64) -> Process {
    Process::new(format!("agent-{n}"), 1)
}

fn ballot(round: u32, entry: u64) -> Ballot {
    Ballot::new(round, Process::new(format!("entry-{entry}"), 1))
}

fn start(bits: u64, ballot: Ballot) -> Start {
    Start {
        job: Job::with_bits(NOW, bits),
        digest: 9,
        ballot,
        keeper: Some(agent(9)),
        view: 5,
        task: Task(0),
        placement: 1,
        start_by: NOW.plus(Duration::from_secs(1)),
    }
}

fn fence(start: &Start, ballot: Ballot, close: bool) -> Fence {
    Fence {
        job: start.job,
        digest: start.digest,
        ballot,
        view: start.view,
        close,
    }
}

fn done() -> Outcome {
    Outcome::Done(vec![7; 100])
}

#[yare::parameterized(
    after_its_time = { Start { start_by: NOW.minus(Duration::from_millis(1)), ..start(1, ballot(1, 1)) }, Reject::Expired },
    at_its_keeper = { Start { keeper: Some(agent(1)), ..start(1, ballot(1, 1)) }, Reject::Keeper },
    from_a_view_without_this_agent = { Start { view: 4, ..start(1, ballot(1, 1)) }, Reject::View(5) },
    of_a_job_older_than_the_retention = { Start { job: Job::with_bits(NOW.minus(RETENTION), 1), ..start(1, ballot(1, 1)) }, Reject::Forgotten },
)]
fn a_start_is_rejected(start: Start, reason: Reject) {
    assert_eq!(ledger().start(&start, NOW), StartDecision::Rejected(reason));
}

// A start message is sent twice because its first connection stalls. The agent rejects the
// second copy as full, and the entry places the task elsewhere. When the first copy arrives
// later, it must not start the task a second time.
#[test]
fn a_rejected_placement_stays_rejected_and_the_next_one_passes() {
    let mut ledger = ledger();
    let first = start(1, ballot(1, 1));
    assert_eq!(ledger.start(&first, NOW), StartDecision::Run);
    ledger.withdraw_start(&first);
    assert!(!ledger.begin(first.job, first.task));
    let again = ledger.start(&first, NOW);
    assert_eq!(again, StartDecision::Rejected(Reject::Cancelled));
    let second = Start {
        placement: 2,
        ..first
    };
    assert_eq!(ledger.start(&second, NOW), StartDecision::Run);
}

#[test]
fn a_cancelled_placement_never_begins_even_if_it_arrives_later() {
    let mut ledger = ledger();
    let start = start(1, ballot(1, 1));
    let cancel = Cancel {
        job: start.job,
        digest: start.digest,
        ballot: start.ballot.clone(),
        task: start.task,
        placement: 1,
    };
    assert_eq!(ledger.cancel(&cancel), CancelDecision::Never);
    let late = ledger.start(&start, NOW);
    assert_eq!(late, StartDecision::Rejected(Reject::Cancelled));
    let next = Start {
        placement: 2,
        ..start
    };
    assert_eq!(ledger.start(&next, NOW), StartDecision::Run);
    assert_eq!(ledger.cancel(&cancel), CancelDecision::Never);
    assert!(ledger.begin(next.job, next.task));
}

#[test]
fn a_fence_withdraws_what_waits_reports_what_runs_and_rejects_lower_starts() {
    let mut ledger = ledger();
    let waiting = start(1, ballot(1, 1));
    let running = Start {
        task: Task(1),
        ..waiting.clone()
    };
    ledger.start(&waiting, NOW);
    ledger.start(&running, NOW);
    assert!(ledger.begin(running.job, running.task));
    let high = ballot(2, 2);
    let fenced = ledger.fence(&fence(&waiting, high.clone(), false), NOW);
    let fenced = fenced.unwrap();
    assert_eq!(fenced.withdrawn, [Task(0)]);
    assert_eq!(fenced.report.tasks, [(Task(1), TaskState::Running)]);
    assert!(!ledger.begin(waiting.job, waiting.task));
    let notified = ledger.end(running.job, running.task, done());
    assert_eq!(notified, [ballot(1, 1), high.clone()]);
    let low = Start {
        task: Task(2),
        ..waiting
    };
    let rejected = StartDecision::Rejected(Reject::Fenced(high));
    assert_eq!(ledger.start(&low, NOW), rejected);
}

#[test]
fn a_fence_of_an_older_view_is_rejected() {
    let mut ledger = ledger();
    let start = start(1, ballot(1, 1));
    let newer = Fence {
        view: 8,
        ..fence(&start, ballot(2, 1), false)
    };
    assert!(ledger.fence(&newer, NOW).is_ok());
    let older = Fence {
        view: 7,
        ..fence(&start, ballot(3, 1), false)
    };
    assert_eq!(ledger.fence(&older, NOW), Err(Reject::View(8)));
}

#[test]
fn a_job_is_closed_only_where_no_task_and_no_other_attempt_is_known() {
    let mut ledger = ledger();
    let unknown = start(1, ballot(1, 1));
    let closed = ledger.fence(&fence(&unknown, ballot(1, 1), true), NOW);
    assert!(closed.unwrap().report.closed);
    let late = ledger.start(&unknown, NOW);
    assert_eq!(late, StartDecision::Rejected(Reject::Closed));

    let started = start(2, ballot(1, 1));
    ledger.start(&started, NOW);
    let open = ledger.fence(&fence(&started, ballot(2, 1), true), NOW);
    assert!(!open.unwrap().report.closed);

    let fenced = start(3, ballot(2, 1));
    ledger
        .fence(&fence(&fenced, ballot(2, 1), false), NOW)
        .unwrap();
    let open = ledger.fence(&fence(&fenced, ballot(1, 2), true), NOW);
    assert!(!open.unwrap().report.closed);
}

#[test]
fn eviction_stays_within_the_limit_keeps_running_tasks_and_treats_no_evicted_id_as_new() {
    let mut ledger = ledger();
    let running = start(0, ballot(1, 1));
    ledger.start(&running, NOW);
    ledger.begin(running.job, running.task);
    for n in 1..100 {
        let issued = NOW.plus(Duration::from_millis(n));
        let start = Start {
            job: Job::with_bits(issued, n),
            ..start(n, ballot(1, 1))
        };
        assert_eq!(ledger.start(&start, NOW), StartDecision::Run);
        ledger.begin(start.job, start.task);
        ledger.end(start.job, start.task, done());
    }
    ledger.evict(NOW);
    assert!(ledger.bytes() <= 4_000);
    assert_eq!(ledger.start(&running, NOW), StartDecision::Attached);
    let evicted = Start {
        job: Job::with_bits(NOW.plus(Duration::from_millis(1)), 1),
        ..start(1, ballot(1, 1))
    };
    let forgotten = StartDecision::Rejected(Reject::Forgotten);
    assert_eq!(ledger.start(&evicted, NOW), forgotten);
    let fenced = ledger.fence(&fence(&evicted, ballot(2, 1), false), NOW);
    assert_eq!(fenced, Err(Reject::Forgotten));
}

#[test]
fn a_leaving_agent_hands_its_outcomes_to_two_others() {
    let mut leaving = ledger();
    let start = start(1, ballot(1, 1));
    leaving.start(&start, NOW);
    leaving.begin(start.job, start.task);
    leaving.end(start.job, start.task, done());
    leaving.leave();
    let other = Start {
        task: Task(1),
        ..start.clone()
    };
    let rejected = StartDecision::Rejected(Reject::Leaving);
    assert_eq!(leaving.start(&other, NOW), rejected);
    let later = fence(&start, ballot(2, 1), false);
    let mut sent = leaving.hand_over(&View::new(5, (1..5).map(agent)));
    assert_eq!(leaving.fence(&later, NOW), Err(Reject::Leaving));
    // Further agents get only the floor.
    sent.retain(|(_, records)| !records.is_empty());
    assert_eq!(sent.len(), 2);
    for (to, records) in sent {
        assert_ne!(to, agent(1));
        let mut next = Ledger::new(to, RetentionLimit::new(RETENTION, 4_000));
        next.accept_handover(records, leaving.floor());
        let fenced = next.fence(&later, NOW);
        let tasks = fenced.unwrap().report.tasks;
        assert_eq!(tasks, [(Task(0), TaskState::Ended(done()))]);
    }
}

// An agent that has evicted a job leaves, and another entry takes the job over. The agent's
// successors must not report that no task of the job had run.
#[test]
fn a_job_evicted_by_a_leaving_agent_is_not_reported_as_unstarted() {
    let mut leaving = ledger();
    leaving.evict(NOW.plus(RETENTION));
    let old = start(1, ballot(1, 1));
    let sent = leaving.hand_over(&View::new(5, (1..5).map(agent)));
    assert_eq!(sent.len(), 2);
    for (to, records) in sent {
        let mut next = Ledger::new(to, RetentionLimit::new(RETENTION, 4_000));
        let before = next.fence(&fence(&old, ballot(2, 1), false), NOW);
        assert!(before.is_ok());
        next.accept_handover(records, leaving.floor());
        let after = next.fence(&fence(&old, ballot(3, 1), false), NOW);
        assert_eq!(after, Err(Reject::Forgotten));
    }
}

#[test]
fn repeatable_starts_are_not_recorded() {
    let mut ledger = ledger();
    let start = start(1, ballot(Ballot::UNCLAIMED, 1));
    assert_eq!(ledger.start(&start, NOW), StartDecision::Run);
    assert_eq!(ledger.start(&start, NOW), StartDecision::Run);
    assert_eq!(ledger.bytes(), 0);
}
