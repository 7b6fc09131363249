//! Tasks that run on the upstream without an order of this agent's.
//!
//! They were left by an earlier incarnation of the agent, or are orders that were carried out late. No
//! entry waits for them, and their entries may start them elsewhere.

use super::run::{Snapshot, Task};
use super::{Action, Host};
use crate::Decision;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Stops of strays that are under way at a time. More would only queue for connections, ahead of
/// the starts of other tasks.
const MAX_STOPS: usize = 8;

/// How long an ordered stop counts as under way; it takes up to 50 ms at the upstream.
const STOP_TIME: Duration = Duration::from_millis(100);

/// A task that runs unasked.
#[derive(Clone, Copy, Debug, Default)]
struct Stray {
    /// When the latest poll that lists it was sent.
    listed_at: Duration,
    /// When its stop was last ordered.
    stop_ordered_at: Option<Duration>,
}

impl Stray {
    fn is_being_stopped(&self, now: Duration) -> bool {
        self.stop_ordered_at.is_some_and(|at| now < at + STOP_TIME)
    }
}

/// The tasks that run unasked on the present incarnation of the upstream.
#[derive(Debug, Default)]
pub(super) struct Strays {
    tasks: BTreeMap<Task, Stray>,
}

impl Strays {
    pub(super) fn first(&self) -> Option<&Task> {
        self.tasks.keys().next()
    }

    /// Takes over what a poll lists beside the known tasks. Answers to polls may overtake each other.
    fn update(&mut self, listed: &BTreeSet<Task>, asked: Duration) {
        let is_kept = |task: &Task, stray: &Stray| stray.listed_at > asked || listed.contains(task);
        self.tasks.retain(|task, stray| is_kept(task, stray));
        for task in listed {
            let stray = self.tasks.entry(task.clone()).or_default();
            stray.listed_at = stray.listed_at.max(asked);
        }
    }

    /// The strays to stop now, and whether each is stopped for the first time.
    fn next_stops(&mut self, now: Duration) -> Vec<(Task, bool)> {
        let under_way = self.tasks.values();
        let under_way = under_way
            .filter(|stray| stray.is_being_stopped(now))
            .count();
        let mut waiting: Vec<(&Task, &mut Stray)> = self
            .tasks
            .iter_mut()
            .filter(|(_, stray)| !stray.is_being_stopped(now))
            .collect();
        waiting.sort_by_key(|(_, stray)| stray.stop_ordered_at);
        let next = waiting
            .into_iter()
            .take(MAX_STOPS.saturating_sub(under_way));
        next.map(|(task, stray)| {
            let is_first = stray.stop_ordered_at.replace(now).is_none();
            (task.clone(), is_first)
        })
        .collect()
    }
}

impl Host {
    /// Stops the tasks that a poll lists beside the known ones, a few at a time. Leases are not
    /// renewed meanwhile, so that all of them end in time.
    pub(super) fn stop_strays(
        &mut self,
        unknown: &BTreeSet<Task>,
        snapshot: &Snapshot,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.strays.update(unknown, snapshot.asked);
        for (task, is_first) in self.strays.next_stops(now) {
            if is_first {
                let decision = Decision::new("stop", "", task.job.clone())
                    .with("task", &task)
                    .with("reason", "it runs unasked")
                    .failed();
                actions.push(Action::Log(decision));
            }
            actions.push(Action::Stop(task));
        }
    }
}
