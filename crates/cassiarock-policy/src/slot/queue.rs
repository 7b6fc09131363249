//! Starts that wait at the upstream.

use crate::Due;
use crate::place::TaskKey;
use cassiarock_id::{Job, Process};
use std::collections::{BTreeMap, HashMap};

/// A queue of starts, the earliest due first. The scheduler bounds its length.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Breaks ties between starts that are due at the same time, by arrival.
    next: u64,
    order: BTreeMap<(Due, u64), (Process, TaskKey)>,
    /// The key of each task in `order`.
    positions: HashMap<TaskKey, (Due, u64)>,
    by_entry: HashMap<Process, usize>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn push(&mut self, entry: &Process, key: TaskKey, due: Due) {
        let position = (due, self.next);
        self.next += 1;
        self.positions.insert(key, position);
        *self.by_entry.entry(entry.clone()).or_default() += 1;
        self.order.insert(position, (entry.clone(), key));
    }

    pub(super) fn first_due(&self) -> Option<Due> {
        self.order.keys().next().map(|(due, _)| *due)
    }

    /// How many of the starts came from `entry`.
    pub(super) fn count_of(&self, entry: &Process) -> usize {
        self.by_entry.get(entry).copied().unwrap_or(0)
    }

    pub(super) fn pop(&mut self) -> Option<(Process, TaskKey)> {
        let (_, (entry, key)) = self.order.pop_first()?;
        self.positions.remove(&key);
        self.decrement_count(&entry);
        Some((entry, key))
    }

    pub(super) fn remove(&mut self, key: &TaskKey) -> bool {
        let Some(position) = self.positions.remove(key) else {
            return false;
        };
        if let Some((entry, _)) = self.order.remove(&position) {
            self.decrement_count(&entry);
        }
        true
    }

    fn decrement_count(&mut self, entry: &Process) {
        let Some(count) = self.by_entry.get_mut(entry) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.by_entry.remove(entry);
        }
    }

    pub(super) fn remove_job(&mut self, job: Job) -> Vec<TaskKey> {
        let mut keys: Vec<TaskKey> = self
            .positions
            .keys()
            .filter(|key| key.job == job)
            .copied()
            .collect();
        keys.sort();
        for key in &keys {
            self.remove(key);
        }
        keys
    }
}
