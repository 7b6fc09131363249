//! The owner's decisions, with an agent lost, late or leaving.

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

fn end(ballot: Ballot, task: u16) -> Event {
    Event::Ended {
        ballot,
        task: Task(task),
        outcome: done(),
    }
}

/// An owner of two tasks that was granted its job, with four agents settled.
struct Bench {
    owner: Owner,
    views: ViewHistory,
}

impl Bench {
    fn new() -> Self {
        let timing = Timing::new(LEASE, Duration::ZERO, Duration::from_secs(600));
        let mut views = ViewHistory::new(timing, NOW);
        views.adopt(View::new(1, (0..4).map(agent)));
        for n in 0..4 {
            views.confirm(&agent(n), 1, LEASE, NOW, NOW);
        }
        let owner = Owner::new(Job::with_bits(NOW, 1), 9, 2, ballot(1));
        let mut bench = Self { owner, views };
        bench.step(Event::Submitted);
        let granted = bench.step(Event::ClaimReply {
            view: 1,
            reply: ClaimReply::Granted(ballot(1)),
        });
        assert_eq!(granted, [Action::Place]);
        bench
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

// A connection goes silent after a start was sent. Whether it arrived is unknown, so the
// task is placed nowhere else; once the agent answers again it is asked by the same message.
#[test]
fn a_start_of_unknown_fate_is_repeated_and_not_placed_elsewhere() {
    let mut bench = Bench::new();
    let (agent, start) = bench.place(0);
    assert_eq!(bench.step(Event::AgentUnreachable(agent.clone())), []);
    let open: Vec<_> = bench.owner.startable_tasks().collect();
    assert_eq!(open, [Task(1)]);
    let again = bench.step(Event::AgentReachable(agent.clone()));
    assert_eq!(again, [Action::Start { agent, start }]);
}

#[test]
fn a_rejected_task_is_placed_again_under_the_next_number() {
    let mut bench = Bench::new();
    let (_, first) = bench.place(0);
    assert_eq!(bench.reject(&first, Reject::Full), [Action::Place]);
    let (_, second) = bench.place(0);
    assert_eq!((first.placement, second.placement), (1, 2));
    // A second copy of the first reject says nothing about the second placement.
    assert_eq!(bench.reject(&first, Reject::Full), []);
    assert!(!bench.owner.startable_tasks().any(|task| task == Task(0)));
}

#[test]
fn a_fenced_owner_attaches_to_the_one_that_fenced_it() {
    let mut bench = Bench::new();
    let (_, start) = bench.place(0);
    let higher = ballot(2).with_round(2);
    let attached = bench.reject(&start, Reject::Fenced(higher.clone()));
    assert_eq!(attached, [Action::Attach(higher)]);
    assert!(bench.owner.startable_tasks().next().is_none());
    let replaced = bench.step(Event::OwnerLost);
    let over = Purpose::TakeOver { over: 2 };
    assert!(
        matches!(&replaced[..], [Action::RequestClaim { request, .. }] if request.purpose == over)
    );
}

// An entry answers a job, forgets it, and gets other tasks under the same id. The end of a
// task of the first submission arrives late: it is no answer to the second one.
#[test]
fn a_late_end_of_an_earlier_owner_is_dropped() {
    let mut bench = Bench::new();
    let earlier = ballot(1).with_serial(0);
    assert_eq!(bench.step(end(earlier.clone(), 0)), []);
    assert_eq!(bench.step(end(earlier, 1)), []);
    bench.step(end(ballot(1), 0));
    let whole = Action::Finish(JobOutcome::Complete(vec![done(), done()]));
    assert_eq!(bench.step(end(ballot(1), 1)), [whole]);
}

#[test]
fn a_cancelled_job_is_refused_only_with_a_witness() {
    let mut bench = Bench::new();
    let asked = bench.step(Event::Cancelled);
    assert!(
        matches!(&asked[..], [Action::RequestClaim { request, .. }] if request.purpose == Purpose::Refuse)
    );
    let closed = Event::ClaimReply {
        view: 1,
        reply: ClaimReply::Closed,
    };
    let fenced = bench.step(closed);
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
    let refused = bench.step(Event::Report { agent, report });
    assert_eq!(refused, [Action::Finish(JobOutcome::Refused)]);
}

// A job is cancelled when one of its tasks has run, and its entry dies after it has told
// the caller that the other did not. A second submission would find that one unstarted;
// so an agent that ran a task is told to close the job before the caller is answered.
#[test]
fn a_job_cancelled_after_a_task_ended_is_closed_before_it_says_which_ran() {
    let mut bench = Bench::new();
    let (ran, _) = bench.place(0);
    let (agent, start) = bench.place(1);
    bench.step(end(ballot(1), 0));
    let cancels = bench.step(Event::Cancelled);
    assert!(matches!(&cancels[..], [Action::Cancel { agent: to, .. }] if *to == agent));
    let closing = bench.reject(&start, Reject::Cancelled);
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
    let answered = bench.step(Event::Report { agent: ran, report });
    assert_eq!(answered, [Action::Finish(failed)]);
}

// An agent is restarted under its name while it runs a task. Its ledger is gone, so the
// task's end can't be known any more, and nothing is gained by waiting for the deadline.
#[test]
fn a_task_at_a_restarted_agent_fails_the_job_at_once() {
    let mut bench = Bench::new();
    let (gone, _) = bench.place(0);
    bench.step(end(ballot(1), 1));
    let again = Process::new(gone.name.clone(), 2);
    let rest = (0..4).map(agent).filter(|agent| *agent != gone);
    bench.views.adopt(View::new(2, rest.chain([again])));
    let failed = bench.step(Event::ViewChanged);
    let [Action::Finish(JobOutcome::Failed { reason, .. })] = &failed[..] else {
        panic!("a failure expected: {failed:?}");
    };
    assert_eq!(*reason, FailureReason::Lost);
}

// Half of all jobs are cancelled and the processors are busy for seconds. Each answer to a
// cancel cancelled all other pending tasks of the job again, and each of those was answered:
// a job of 500 tasks cost more than 100,000 frames.
#[test]
fn a_stopped_job_cancels_each_task_once_until_the_timer_repeats_it() {
    let mut bench = Bench::new();
    bench.place(0);
    bench.place(1);
    assert_eq!(bench.step(Event::Cancelled).len(), 2);
    assert_eq!(bench.step(end(ballot(1), 0)), []);
    let repeated = bench.step(Event::Retry);
    assert!(
        matches!(&repeated[..], [Action::Cancel { cancel, .. }] if cancel.task == Task(1)),
        "{repeated:?}"
    );
}
