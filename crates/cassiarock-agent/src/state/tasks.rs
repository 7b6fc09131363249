//! Starts, ends and cancellations of tasks.

use super::{Action, State, Work};
use cassiarock_claim::Ballot;
use cassiarock_claim::ledger::{CancelDecision, StartDecision};
use cassiarock_claim::message::{Cancel, Outcome, Reject};
use cassiarock_id::Process;
use cassiarock_policy::load::{LoadReport, SlotDemand};
use cassiarock_policy::place::{PlacedTask, TaskKey};
use cassiarock_policy::slot;
use cassiarock_process::Now;
use cassiarock_wire::{Ended, Frame, Rejected, Run};

impl State {
    pub(super) fn run(
        &mut self,
        entry: &Process,
        runs: Vec<Run>,
        ask: &SlotDemand,
        now: Now,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut accepted = Vec::new();
        let mut refused = Vec::new();
        for mut run in runs {
            for item in std::mem::take(&mut run.tasks) {
                let work = Work {
                    run: run.clone(),
                    item,
                    entry: entry.clone(),
                };
                self.admit(work, now, &mut accepted, &mut refused, &mut actions);
            }
        }
        let settled = u32::try_from(refused.len()).unwrap_or(u32::MAX);
        self.pool.count_skipped(entry, settled, now.up);
        let placed: Vec<PlacedTask> = accepted.iter().map(placed).collect();
        let verdicts = self.pool.start(entry, &placed, ask, now.up);
        for (work, verdict) in accepted.into_iter().zip(verdicts) {
            self.bind(work, verdict, &mut refused, &mut actions);
        }
        let load = self.load_for(entry, now);
        for (work, reject) in refused {
            actions.extend(reject.map(|reject| rejected(&work, reject, load)));
        }
        actions
    }

    /// Asks the ledger, before the slots: a repeat must not take a second slot.
    fn admit(
        &mut self,
        work: Work,
        now: Now,
        accepted: &mut Vec<Work>,
        refused: &mut Vec<(Work, Option<Reject>)>,
        actions: &mut Vec<Action>,
    ) {
        let start = work.run.start(&work.item);
        match self.ledger.start(&start, now.wall) {
            // Only after the ledger was asked: a repeat of a task that runs here must not be
            // told that it has not started, and a refused start must stay refused.
            StartDecision::Run if !self.healthy => {
                self.ledger.withdraw_start(&start);
                refused.push((work, Some(Reject::Full)));
            }
            StartDecision::Run => accepted.push(work),
            StartDecision::Attached => refused.push((work, None)),
            StartDecision::Ended(outcome) => {
                actions.push(ended(&work, &work.run.ballot, outcome, 0, None));
                refused.push((work, None));
            }
            StartDecision::Rejected(reject) => refused.push((work, Some(reject))),
        }
    }

    fn bind(
        &mut self,
        work: Work,
        verdict: slot::Verdict,
        refused: &mut Vec<(Work, Option<Reject>)>,
        actions: &mut Vec<Action>,
    ) {
        match verdict {
            slot::Verdict::Run => actions.extend(self.begin(work)),
            slot::Verdict::Queued => {
                self.queued.insert(work.key(), work);
            }
            slot::Verdict::Full => {
                self.ledger.withdraw_start(&work.run.start(&work.item));
                refused.push((work, Some(Reject::Full)));
            }
        }
    }

    fn begin(&mut self, work: Work) -> Option<Action> {
        let guarded = work.run.ballot.round != Ballot::UNCLAIMED;
        if guarded && !self.ledger.begin(work.run.job, work.task()) {
            return None;
        }
        log::info!(
            job:% = work.run.job, task:% = work.task(), entry:% = work.entry,
            round = work.run.ballot.round;
            "start"
        );
        metrics::counter!("cassiarock_agent_started_tasks_total").increment(1);
        self.running.insert(work.key(), work.clone());
        Some(Action::Work(Box::new(work)))
    }

    /// The worker's end of a task.
    pub(crate) fn end(
        &mut self,
        key: TaskKey,
        outcome: Outcome,
        ran_ms: u64,
        now: Now,
    ) -> Vec<Action> {
        let Some(work) = self.running.remove(&key) else {
            return Vec::new();
        };
        let finish = self.pool.finish(&key, now.up);
        let mut told = self.ledger.end(key.job, key.task, outcome.clone());
        if work.run.ballot.round == Ballot::UNCLAIMED {
            told.push(work.run.ballot.clone());
        }
        let mut actions = Vec::new();
        let mut load = Some(finish.load);
        for ballot in told {
            let own = if ballot.entry == work.entry {
                load.take()
            } else {
                None
            };
            actions.push(ended(&work, &ballot, outcome.clone(), ran_ms, own));
        }
        if let Some((_, key)) = finish.next {
            actions.extend(self.begin_queued(key));
        }
        actions
    }

    /// The connection to the worker did not come about: the task has not started, and the
    /// entry may place it elsewhere.
    pub(crate) fn revert(&mut self, key: TaskKey, now: Now) -> Vec<Action> {
        let Some(work) = self.running.remove(&key) else {
            return Vec::new();
        };
        let told = self.ledger.revert_begin(key.job, key.task);
        let finish = self.pool.finish(&key, now.up);
        let mut actions = vec![rejected(&work, Reject::Full, finish.load)];
        // An attempt that took the job over waits for the task, too.
        for (ballot, placement) in told {
            if ballot == work.run.ballot {
                continue;
            }
            let load = self.load_for(&ballot.entry, now);
            let reject = Frame::Rejected(Rejected {
                job: key.job,
                task: key.task,
                placement,
                reject: Reject::Full,
                load,
                ballot: ballot.clone(),
            });
            actions.push(Action::Send(ballot.entry, reject));
        }
        if let Some((_, key)) = finish.next {
            actions.extend(self.begin_queued(key));
        }
        actions
    }

    pub(super) fn cancel(&mut self, entry: &Process, cancel: &Cancel, now: Now) -> Vec<Action> {
        let key = TaskKey::new(cancel.job, cancel.task);
        let cancelled = self.ledger.cancel(cancel);
        log::info!(job:% = cancel.job, task:% = cancel.task, entry:% = entry; "cancel: {cancelled:?}");
        let reject = match cancelled {
            CancelDecision::Running => return vec![Action::Stop(key)],
            CancelDecision::Ended(outcome) => {
                let ended = Ended {
                    job: cancel.job,
                    ballot: cancel.ballot.clone(),
                    task: cancel.task,
                    outcome,
                    ran_ms: 0,
                    load: None,
                };
                return vec![Action::Send(entry.clone(), Frame::Ended(ended))];
            }
            CancelDecision::Never => {
                self.pool.cancel(&key);
                self.queued.remove(&key);
                Reject::Cancelled
            }
            CancelDecision::Rejected(reject) => reject,
        };
        let rejected = Rejected {
            job: cancel.job,
            ballot: cancel.ballot.clone(),
            task: cancel.task,
            placement: cancel.placement,
            reject,
            load: self.load_for(entry, now),
        };
        vec![Action::Send(entry.clone(), Frame::Rejected(rejected))]
    }

    pub(super) fn serve_pool(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in self.pool.poll(now.up) {
            match action {
                slot::Action::Run { key, .. } => actions.extend(self.begin_queued(key)),
                slot::Action::Grant { entry, load } => {
                    actions.push(Action::Send(entry, Frame::Grant(load)));
                }
            }
        }
        actions
    }

    /// Gives the tasks that wait for a slot back to their entries. Left here they would
    /// start at a leaving upstream as its slots come free, seconds later.
    pub(super) fn return_queued(&mut self, now: Now) -> Vec<Action> {
        let queued: Vec<Work> = self.queued.drain().map(|(_, work)| work).collect();
        let mut actions = Vec::new();
        for work in queued {
            self.pool.cancel(&work.key());
            self.ledger.withdraw_start(&work.run.start(&work.item));
            let load = self.load_for(&work.entry, now);
            actions.push(rejected(&work, Reject::Leaving, load));
        }
        actions
    }

    fn begin_queued(&mut self, key: TaskKey) -> Option<Action> {
        let work = self.queued.remove(&key)?;
        self.begin(work)
    }
}

fn ended(
    work: &Work,
    ballot: &Ballot,
    outcome: Outcome,
    ran_ms: u64,
    load: Option<LoadReport>,
) -> Action {
    let frame = Frame::Ended(Ended {
        job: work.run.job,
        ballot: ballot.clone(),
        task: work.task(),
        outcome,
        ran_ms,
        load,
    });
    Action::Send(ballot.entry.clone(), frame)
}

const fn placed(work: &Work) -> PlacedTask {
    PlacedTask {
        key: work.key(),
        lateness: work.item.lateness,
        may_wait: work.item.may_wait,
    }
}

pub(super) fn rejected(work: &Work, reject: Reject, load: LoadReport) -> Action {
    let frame = Frame::Rejected(Rejected {
        job: work.run.job,
        ballot: work.run.ballot.clone(),
        task: work.task(),
        placement: work.item.placement,
        reject,
        load,
    });
    Action::Send(work.entry.clone(), frame)
}
