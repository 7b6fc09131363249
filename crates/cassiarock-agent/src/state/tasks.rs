//! Starts, outcomes and cancellations of tasks.

use super::{Action, AssignedTask, State};
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
    pub(super) fn handle_run(
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
                let assigned = AssignedTask {
                    run: run.clone(),
                    item,
                    entry: entry.clone(),
                };
                self.admit(assigned, now, &mut accepted, &mut refused, &mut actions);
            }
        }
        let settled = u32::try_from(refused.len()).unwrap_or(u32::MAX);
        self.slots.count_skipped(entry, settled, now.up);
        let placed: Vec<PlacedTask> = accepted.iter().map(placed).collect();
        let verdicts = self.slots.start(entry, &placed, ask, now.up);
        for (assigned, verdict) in accepted.into_iter().zip(verdicts) {
            self.apply_verdict(assigned, verdict, &mut refused, &mut actions);
        }
        let load = self.load_for(entry, now);
        for (assigned, reject) in refused {
            actions.extend(reject.map(|reject| rejected(&assigned, reject, load)));
        }
        actions
    }

    /// Asks the ledger before the slots, so that a repeated start does not take a second slot.
    fn admit(
        &mut self,
        assigned: AssignedTask,
        now: Now,
        accepted: &mut Vec<AssignedTask>,
        refused: &mut Vec<(AssignedTask, Option<Reject>)>,
        actions: &mut Vec<Action>,
    ) {
        let start = assigned.run.start(&assigned.item);
        match self.ledger.start(&start, now.wall) {
            // Health is checked only after the ledger: a repeated start of a task that runs here
            // must not be reported as not started, and a refused start must stay refused.
            StartDecision::Run if !self.healthy => {
                self.ledger.withdraw_start(&start);
                refused.push((assigned, Some(Reject::Full)));
            }
            StartDecision::Run => accepted.push(assigned),
            StartDecision::Attached => refused.push((assigned, None)),
            StartDecision::Ended(outcome) => {
                actions.push(ended(&assigned, &assigned.run.ballot, outcome, 0, None));
                refused.push((assigned, None));
            }
            StartDecision::Rejected(reject) => refused.push((assigned, Some(reject))),
        }
    }

    fn apply_verdict(
        &mut self,
        assigned: AssignedTask,
        verdict: slot::Verdict,
        refused: &mut Vec<(AssignedTask, Option<Reject>)>,
        actions: &mut Vec<Action>,
    ) {
        match verdict {
            slot::Verdict::Run => actions.extend(self.begin(assigned)),
            slot::Verdict::Queued => {
                self.queued.insert(assigned.key(), assigned);
            }
            slot::Verdict::Full => {
                self.ledger
                    .withdraw_start(&assigned.run.start(&assigned.item));
                refused.push((assigned, Some(Reject::Full)));
            }
        }
    }

    fn begin(&mut self, assigned: AssignedTask) -> Option<Action> {
        let claimed = assigned.run.ballot.round != Ballot::UNCLAIMED;
        if claimed && !self.ledger.begin(assigned.run.job, assigned.task()) {
            return None;
        }
        log::info!(
            job:% = assigned.run.job, task:% = assigned.task(), entry:% = assigned.entry,
            round = assigned.run.ballot.round;
            "start"
        );
        metrics::counter!("cassiarock_agent_started_tasks_total").increment(1);
        self.running.insert(assigned.key(), assigned.clone());
        Some(Action::RunTask(Box::new(assigned)))
    }

    /// Handles the outcome of a task that ended at the upstream.
    pub(crate) fn handle_outcome(
        &mut self,
        key: TaskKey,
        outcome: Outcome,
        ran_ms: u64,
        now: Now,
    ) -> Vec<Action> {
        let Some(assigned) = self.running.remove(&key) else {
            return Vec::new();
        };
        let finish = self.slots.finish(&key, now.up);
        let mut ballots = self.ledger.end(key.job, key.task, outcome.clone());
        if assigned.run.ballot.round == Ballot::UNCLAIMED {
            ballots.push(assigned.run.ballot.clone());
        }
        let mut actions = Vec::new();
        let mut load = Some(finish.load);
        for ballot in ballots {
            let own = if ballot.entry == assigned.entry {
                load.take()
            } else {
                None
            };
            actions.push(ended(&assigned, &ballot, outcome.clone(), ran_ms, own));
        }
        if let Some((_, key)) = finish.next {
            actions.extend(self.begin_queued(key));
        }
        actions
    }

    /// The connection to the upstream could not be opened: the task has not started, and the
    /// entry may place it elsewhere.
    pub(crate) fn handle_not_started(&mut self, key: TaskKey, now: Now) -> Vec<Action> {
        let Some(assigned) = self.running.remove(&key) else {
            return Vec::new();
        };
        let ballots = self.ledger.revert_begin(key.job, key.task);
        let finish = self.slots.finish(&key, now.up);
        let mut actions = vec![rejected(&assigned, Reject::Full, finish.load)];
        // An attempt that took the job over waits for the task as well.
        for (ballot, placement) in ballots {
            if ballot == assigned.run.ballot {
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

    pub(super) fn handle_cancel(
        &mut self,
        entry: &Process,
        cancel: &Cancel,
        now: Now,
    ) -> Vec<Action> {
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
                self.slots.cancel(&key);
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

    pub(super) fn poll_slots(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in self.slots.poll(now.up) {
            match action {
                slot::Action::Run { key, .. } => actions.extend(self.begin_queued(key)),
                slot::Action::Grant { entry, load } => {
                    actions.push(Action::Send(entry, Frame::Grant(load)));
                }
            }
        }
        actions
    }

    /// Returns the tasks that wait for a slot to their entries. Otherwise they would start at a
    /// leaving upstream seconds later, when its slots become free.
    pub(super) fn return_queued(&mut self, now: Now) -> Vec<Action> {
        let queued: Vec<AssignedTask> = self.queued.drain().map(|(_, assigned)| assigned).collect();
        let mut actions = Vec::new();
        for assigned in queued {
            self.slots.cancel(&assigned.key());
            self.ledger
                .withdraw_start(&assigned.run.start(&assigned.item));
            let load = self.load_for(&assigned.entry, now);
            actions.push(rejected(&assigned, Reject::Leaving, load));
        }
        actions
    }

    fn begin_queued(&mut self, key: TaskKey) -> Option<Action> {
        let assigned = self.queued.remove(&key)?;
        self.begin(assigned)
    }
}

fn ended(
    assigned: &AssignedTask,
    ballot: &Ballot,
    outcome: Outcome,
    ran_ms: u64,
    load: Option<LoadReport>,
) -> Action {
    let frame = Frame::Ended(Ended {
        job: assigned.run.job,
        ballot: ballot.clone(),
        task: assigned.task(),
        outcome,
        ran_ms,
        load,
    });
    Action::Send(ballot.entry.clone(), frame)
}

const fn placed(assigned: &AssignedTask) -> PlacedTask {
    PlacedTask {
        key: assigned.key(),
        lateness: assigned.item.lateness,
        may_wait: assigned.item.may_wait,
    }
}

pub(super) fn rejected(assigned: &AssignedTask, reject: Reject, load: LoadReport) -> Action {
    let frame = Frame::Rejected(Rejected {
        job: assigned.run.job,
        ballot: assigned.run.ballot.clone(),
        task: assigned.task(),
        placement: assigned.item.placement,
        reject,
        load,
    });
    Action::Send(assigned.entry.clone(), frame)
}
