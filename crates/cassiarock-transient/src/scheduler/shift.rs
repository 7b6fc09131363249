//! Tasks that are moved away from upstreams that keep them too long.

use super::choose::SLOW;
use super::work::Phase;
use super::{Action, Scheduler, told};
use crate::message::{Attempt, Message};
use cassiarock_id::Process;
use std::time::Duration;

/// A task is moved if it runs longer than this many times what was expected of it, ...
const OVERDUE: f64 = 3.0;

/// ... and this much longer, on an upstream that is slow.
const OVERDUE_LEAST: Duration = Duration::from_millis(150);

/// A task is moved at most this often: a task that is slow by itself gains nothing.
const MOVES: u32 = 2;

impl Scheduler {
    /// Moves tasks away from upstreams that keep them too long: the upstream has become slow,
    /// or what was started there stands still while its reports are good.
    pub(super) fn shift(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.mechanisms.moving {
            return;
        }
        let median = self.median;
        let slow: Vec<Process> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.pace(median) > SLOW && agent.placed > 0)
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

    /// Whether a task has run far longer than expected, and there is time for another try.
    fn is_overdue(&self, attempt: &Attempt, now: Duration) -> bool {
        let Some(work) = self.works.get(&attempt.number) else {
            return false;
        };
        let (stage, index) = (attempt.stage as usize, attempt.index as usize);
        let task = &work.tasks[stage][index];
        let Phase::Placed(_, since) = &task.phase else {
            return false;
        };
        let expected = work.expected[stage];
        let bound = expected.mul_f64(OVERDUE).max(expected + OVERDUE_LEAST);
        task.moves < MOVES && now >= *since + bound && now + expected < work.limit
    }

    fn move_away(
        &mut self,
        from: &Process,
        attempt: &Attempt,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(work) = self.works.get_mut(&attempt.number) else {
            return;
        };
        let line = told("moved", work, now).with("agent", from);
        actions.push(Action::Log(
            line.with("reason", "it runs too long there").failed(),
        ));
        if let Some(task) = work.present(from, attempt) {
            task.moves += 1;
            task.phase = Phase::Moving(from.clone(), now);
        }
    }
}
