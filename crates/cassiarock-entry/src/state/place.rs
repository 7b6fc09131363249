//! Sends the starts and demands that the pools' dispatchers decide.

use super::pending::Plan;
use super::{Action, State};
use cassiarock_claim::message::Start;
use cassiarock_id::{Job, Name, Process, Task};
use cassiarock_policy::place::{self, PlacedTask, TaskKey};
use cassiarock_process::Now;
use cassiarock_wire::{Frame, Run, TaskStart};
use std::collections::BTreeMap;

impl State {
    /// Queues tasks of a job that may start.
    pub(super) fn release(&mut self, job: Job, tasks: Vec<Task>, now: Now) {
        let Some(pending) = self.pending_jobs.get(&job) else {
            return;
        };
        let avoid = match &pending.plan {
            Plan::AtMostOnce(owner) => owner.keeper().cloned(),
            Plan::Repeatable(_) => None,
        };
        let pool = pending.pool.clone();
        self.pool(&pool).release(job, tasks, avoid, now.up);
    }

    /// Sends the starts and demands that are due.
    pub(super) fn place(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        let pools: Vec<Name> = self.pools.keys().cloned().collect();
        for pool in pools {
            for action in self.pool(&pool).poll(now.up) {
                actions.extend(self.send(&pool, action, now));
            }
        }
        actions
    }

    fn send(&mut self, pool: &Name, action: place::Action, now: Now) -> Option<Action> {
        match action {
            place::Action::Demand { agent, ask } => Some(Action::Send(agent, Frame::Demand(ask))),
            place::Action::Start { agent, tasks, ask } => {
                let runs = self.start_tasks(pool, &agent, &tasks, now);
                Some(Action::Send(agent, Frame::Run { runs, ask }))
            }
        }
    }

    fn start_tasks(
        &mut self,
        pool: &Name,
        agent: &Process,
        tasks: &[PlacedTask],
        now: Now,
    ) -> Vec<Run> {
        let mut runs: BTreeMap<Job, Run> = BTreeMap::new();
        for placed in tasks {
            let key = placed.key;
            match self.start_task(key, agent, now) {
                Some(start) => self.add_to_run(&mut runs, start, placed, now),
                // The owner does not allow this agent: the task is placed at another one.
                None => {
                    let wanted = self.pending_jobs.contains_key(&key.job);
                    self.pool(pool).undo_start(agent, &key, wanted);
                }
            }
        }
        runs.into_values().collect()
    }

    fn start_task(&mut self, key: TaskKey, agent: &Process, now: Now) -> Option<Start> {
        let pending = self.pending_jobs.get_mut(&key.job)?;
        let deadline = now.wall.plus(pending.expires.saturating_sub(now.up));
        let start = match &mut pending.plan {
            Plan::AtMostOnce(owner) => owner.place(key.task, agent, deadline, &self.views)?,
            Plan::Repeatable(repeat) => Start {
                job: key.job,
                digest: pending.submission.digest,
                ballot: repeat.ballot.clone(),
                keeper: None,
                view: self.views.version().unwrap_or_default(),
                task: key.task,
                placement: repeat.place(key.task, agent),
                start_by: deadline,
            },
        };
        log::info!(
            job:% = key.job, task:% = key.task, rule:% = pending.rule, upstream:% = agent,
            waited_ms = u64::try_from(now.up.saturating_sub(pending.arrived).as_millis()).unwrap_or(u64::MAX);
            "place"
        );
        metrics::counter!("cassiarock_entry_placed_tasks_total").increment(1);
        Some(start)
    }

    fn add_to_run(
        &self,
        runs: &mut BTreeMap<Job, Run>,
        start: Start,
        placed: &PlacedTask,
        now: Now,
    ) {
        let Some(pending) = self.pending_jobs.get(&start.job) else {
            return;
        };
        let left = pending.expires.saturating_sub(now.up);
        let item = TaskStart {
            task: start.task,
            placement: start.placement,
            lateness: placed.lateness,
            may_wait: placed.may_wait,
            payload: pending.submission.tasks[start.task.index()]
                .payload
                .to_vec(),
        };
        let run = runs.entry(start.job).or_insert_with(|| Run {
            job: start.job,
            digest: start.digest,
            ballot: start.ballot,
            keeper: start.keeper,
            view: start.view,
            start_by: start.start_by,
            kind: pending.submission.kind.clone(),
            limit_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            tasks: Vec::new(),
        });
        run.tasks.push(item);
    }
}
