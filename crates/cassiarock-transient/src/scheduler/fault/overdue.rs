//! Moving of overdue tasks away from slow upstreams.

use crate::message::{Attempt, Message};
use crate::scheduler::active_job::Phase;
use crate::scheduler::placement::choose::SLOW_PACE;
use crate::scheduler::{Action, Scheduler, job_decision};
use cassiarock_id::Process;
use std::time::Duration;

/// A task on a slow upstream is overdue if it runs this many times its expected run time, ...
const OVERDUE_FACTOR: f64 = 3.0;

/// ... and at least this much longer than expected.
const MIN_OVERDUE: Duration = Duration::from_millis(150);

/// The most moves of a task. A task that is slow by itself gains nothing by another.
const MAX_MOVES: u32 = 2;

impl Scheduler {
    /// Moves overdue tasks away from slow upstreams. Either the upstream has become slow, or its
    /// tasks stand still while it reports that it is healthy.
    pub(in crate::scheduler) fn move_overdue_tasks(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if !self.mechanisms.moving {
            return;
        }
        let slow: Vec<Process> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.pace() > SLOW_PACE && agent.placed > 0)
            .map(|(process, _)| process.clone())
            .collect();
        for process in slow {
            let mut moved = Vec::new();
            for attempt in self.placed_at(&process) {
                if self.is_overdue(&attempt, now) {
                    moved.push(attempt);
                }
            }
            for attempt in &moved {
                self.move_away(&process, attempt, now, actions);
            }
            if !moved.is_empty() {
                actions.push(Action::Send(process, Message::Halt(moved)));
            }
        }
    }

    /// Whether a task has run far longer than expected, and there is time for another attempt.
    fn is_overdue(&self, attempt: &Attempt, now: Duration) -> bool {
        let Some(active) = self.jobs.get(&attempt.number) else {
            return false;
        };
        let (stage, index) = (attempt.stage as usize, attempt.index as usize);
        let task = &active.tasks[stage][index];
        let Phase::Placed(task_agent, since) = &task.phase else {
            return false;
        };
        let agent = self.agents.get(task_agent);
        let here = agent.map_or(active.expected[stage], |agent| {
            self.expected_on(active, stage, agent)
        });
        let bound = here.mul_f64(OVERDUE_FACTOR).max(here + MIN_OVERDUE);
        let next_end = now + active.expected[stage];
        task.moves < MAX_MOVES
            && now >= *since + bound
            && next_end < active.useful_until
            && !self.ends_before(next_end)
    }

    /// Marks a task as being moved. The caller sends the order to stop it.
    fn move_away(
        &mut self,
        from: &Process,
        attempt: &Attempt,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.jobs.get_mut(&attempt.number) else {
            return;
        };
        let decision = job_decision("moved", active, now)
            .with("agent", from)
            .with("reason", "it runs too long there");
        actions.push(Action::Log(decision.failed()));
        if let Some(task) = active.current_task(from, attempt) {
            task.moves += 1;
            task.phase = Phase::Moving(from.clone(), now);
        }
    }
}
