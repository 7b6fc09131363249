//! Tests of the owner's decisions, with agents that are lost, late or leaving.

use cassiarock_claim::Ballot;
use cassiarock_claim::message::{
    ClaimReply, FenceReport, Outcome, Purpose, Reject, Start, TaskState,
};
use cassiarock_claim::owner::{Action, Event, FailureReason, JobOutcome, Owner};
use cassiarock_claim::view::{Timing, View, ViewHistory};
use cassiarock_id::{Job, Process, Task, Wall};
use std::time::Duration;

const NOW: Wall = Wall::from_millis(1_000_000);
const LEASE: Duration = Duration::from_secs(2);

fn agent(n: u64) -> Process {
    Process::new(format!("agent-{n}"), 1)
}

fn ballot(entry: u64) -> Ballot {
    Ballot::new(Ballot::FRESH, Process::new(format!("entry-{entry}"), 1)).with_serial(1)
}

fn done() -> Outcome {
    Outcome::Done(b"ok".to_vec())
}

fn ended(ballot: Ballot, task: u16) -> Event {
    Event::Ended {
        ballot,
        task: Task(task),
        outcome: done(),
    }
}

/// An owner that was granted a job of two tasks, and a settled view of four agents.
struct Fixture {
    owner: Owner,
    views: ViewHistory,
}

impl Fixture {
    fn new() -> Self {
        let timing = Timing::new(LEASE, Duration::ZERO, Duration::from_secs(600));
        let mut views = ViewHistory::new(timing, NOW);
        views.adopt(View::new(1, (0..4).map(agent)));
        for n in 0..4 {
            views.confirm(&agent(n), 1, LEASE, NOW, NOW);
        }
        let owner = Owner::new(Job::with_bits(NOW, 1), 9, 2, ballot(1));
        let mut fixture = Self { owner, views };
        fixture.step(Event::Submitted);
        let granted = fixture.step(Event::ClaimReply {
            view: 1,
            reply: ClaimReply::Granted(ballot(1)),
        });
        assert_eq!(granted, [Action::Place]);
        fixture
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        self.owner.step(event, &self.views, NOW)
    }

    /// Places a task at the first agent that may run it.
    fn place(&mut self, task: u16) -> (Process, Start) {
        let mut agents = (0..4).map(agent);
        let agent = agents.find(|agent| self.owner.may_place_at(agent, &self.views));
        let agent = agent.expect("an agent that is not the keeper");
        let start_by = NOW.plus(LEASE);
        let start = self.owner.place(Task(task), &agent, start_by, &self.views);
        (agent, start.expect("a task that may be placed"))
    }

    fn reject(&mut self, start: &Start, reject: Reject) -> Vec<Action> {
        self.step(Event::Rejected {
            ballot: start.ballot.clone(),
            task: start.task,
            placement: start.placement,
            reject,
        })
    }
}

// A connection stalls after a start was sent. Whether the start arrived is unknown, so the
// task is not placed elsewhere; once the agent is reachable again, the same message is resent.
#[test]
fn a_start_that_may_have_arrived_is_repeated_and_not_placed_elsewhere() {
    let mut fixture = Fixture::new();
    let (agent, start) = fixture.place(0);
    assert_eq!(fixture.step(Event::AgentUnreachable(agent.clone())), []);
    let open: Vec<_> = fixture.owner.startable_tasks().collect();
    assert_eq!(open, [Task(1)]);
    let again = fixture.step(Event::AgentReachable(agent.clone()));
    assert_eq!(again, [Action::Start { agent, start }]);
}

#[test]
fn a_rejected_task_is_placed_again_under_the_next_number() {
    let mut fixture = Fixture::new();
    let (_, first) = fixture.place(0);
    assert_eq!(fixture.reject(&first, Reject::Full), [Action::Place]);
    let (_, second) = fixture.place(0);
    assert_eq!((first.placement, second.placement), (1, 2));
    // A second copy of the first reject says nothing about the second placement.
    assert_eq!(fixture.reject(&first, Reject::Full), []);
    assert!(!fixture.owner.startable_tasks().any(|task| task == Task(0)));
}

#[test]
fn a_fenced_owner_attaches_to_the_one_that_fenced_it() {
    let mut fixture = Fixture::new();
    let (_, start) = fixture.place(0);
    let higher = ballot(2).with_round(2);
    let attached = fixture.reject(&start, Reject::Fenced(higher.clone()));
    assert_eq!(attached, [Action::Attach(higher)]);
    assert!(fixture.owner.startable_tasks().next().is_none());
    let replaced = fixture.step(Event::OwnerLost);
    let over = Purpose::TakeOver { over: 2 };
    assert!(
        matches!(&replaced[..], [Action::RequestClaim { request, .. }] if request.purpose == over)
    );
}

// An entry answers a job, forgets it, and gets other tasks under the same id. A late outcome
// of the first submission must not count for the second one.
#[test]
fn a_late_outcome_for_an_earlier_owner_is_ignored() {
    let mut fixture = Fixture::new();
    let earlier = ballot(1).with_serial(0);
    assert_eq!(fixture.step(ended(earlier.clone(), 0)), []);
    assert_eq!(fixture.step(ended(earlier, 1)), []);
    fixture.step(ended(ballot(1), 0));
    let finished = Action::Finish(JobOutcome::Complete(vec![done(), done()]));
    assert_eq!(fixture.step(ended(ballot(1), 1)), [finished]);
}

#[test]
fn a_cancelled_job_is_refused_only_with_a_witness() {
    let mut fixture = Fixture::new();
    let asked = fixture.step(Event::Cancelled);
    assert!(
        matches!(&asked[..], [Action::RequestClaim { request, .. }] if request.purpose == Purpose::Refuse)
    );
    let closed = Event::ClaimReply {
        view: 1,
        reply: ClaimReply::Closed,
    };
    let fenced = fixture.step(closed);
    let [Action::Fence { agent, fence }] = &fenced[..] else {
        panic!("one witness expected: {fenced:?}");
    };
    assert!(fence.close);
    let report = FenceReport {
        job: fence.job,
        ballot: fence.ballot.clone(),
        view: 1,
        closed: true,
        tasks: Vec::new(),
    };
    let agent = agent.clone();
    let refused = fixture.step(Event::Report { agent, report });
    assert_eq!(refused, [Action::Finish(JobOutcome::Refused)]);
}

// A job is cancelled after one of its tasks has run, and its entry dies after it has told the
// caller that the other one did not. A second submission would find that task unstarted and
// start it, so an agent that ran a task must close the job before the caller is answered.
#[test]
fn a_job_cancelled_after_a_task_ended_is_closed_before_the_answer() {
    let mut fixture = Fixture::new();
    let (ran, _) = fixture.place(0);
    let (agent, start) = fixture.place(1);
    fixture.step(ended(ballot(1), 0));
    let cancels = fixture.step(Event::Cancelled);
    assert!(matches!(&cancels[..], [Action::Cancel { agent: to, .. }] if *to == agent));
    let closing = fixture.reject(&start, Reject::Cancelled);
    let [
        Action::Fence {
            agent: witness,
            fence,
        },
    ] = &closing[..]
    else {
        panic!("one witness expected: {closing:?}");
    };
    assert_eq!((witness, fence.close), (&ran, true));
    let report = FenceReport {
        job: fence.job,
        ballot: fence.ballot.clone(),
        view: 1,
        closed: true,
        tasks: vec![(Task(0), TaskState::Ended(done()))],
    };
    let failed = JobOutcome::Failed {
        reason: FailureReason::Cancelled,
        outcomes: vec![Some(done()), None],
    };
    let finished = fixture.step(Event::Report { agent: ran, report });
    assert_eq!(finished, [Action::Finish(failed)]);
}

// An agent is restarted under its name while it runs a task. Its ledger is lost, so how the
// task ended can't be known any more, and the job must not wait for its deadline.
#[test]
fn a_task_at_a_restarted_agent_fails_the_job_at_once() {
    let mut fixture = Fixture::new();
    let (gone, _) = fixture.place(0);
    fixture.step(ended(ballot(1), 1));
    let again = Process::new(gone.name.clone(), 2);
    let rest = (0..4).map(agent).filter(|agent| *agent != gone);
    fixture.views.adopt(View::new(2, rest.chain([again])));
    let failed = fixture.step(Event::ViewChanged);
    let [Action::Finish(JobOutcome::Failed { reason, .. })] = &failed[..] else {
        panic!("a failure expected: {failed:?}");
    };
    assert_eq!(*reason, FailureReason::Lost);
}

// Guards against cancelling all pending tasks again on every answer to a cancellation. With
// half of all jobs cancelled, a job of 500 tasks cost more than 100,000 frames, and the
// processors were busy for seconds.
#[test]
fn a_stopped_job_cancels_each_task_once_until_the_timer_repeats_it() {
    let mut fixture = Fixture::new();
    fixture.place(0);
    fixture.place(1);
    assert_eq!(fixture.step(Event::Cancelled).len(), 2);
    assert_eq!(fixture.step(ended(ballot(1), 0)), []);
    let repeated = fixture.step(Event::Retry);
    assert!(
        matches!(&repeated[..], [Action::Cancel { cancel, .. }] if cancel.task == Task(1)),
        "{repeated:?}"
    );
}
