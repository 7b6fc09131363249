//! Starts that wait at the upstream.

use crate::Due;
use crate::place::TaskKey;
use cassiarock_id::{Job, Process};
use std::collections::{BTreeMap, HashMap};

/// A bounded queue of starts, the earliest due first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    next: u64,
    order: BTreeMap<(Due, u64), (Process, TaskKey)>,
    place: HashMap<TaskKey, (Due, u64)>,
    by_entry: HashMap<Process, usize>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn push(&mut self, entry: &Process, key: TaskKey, due: Due) {
        let at = (due, self.next);
        self.next += 1;
        self.place.insert(key, at);
        *self.by_entry.entry(entry.clone()).or_default() += 1;
        self.order.insert(at, (entry.clone(), key));
    }

    pub(super) fn first_due(&self) -> Option<Due> {
        self.order.keys().next().map(|(due, _)| *due)
    }

    /// How many of the starts are `entry`'s.
    pub(super) fn of(&self, entry: &Process) -> usize {
        self.by_entry.get(entry).copied().unwrap_or(0)
    }

    pub(super) fn pop(&mut self) -> Option<(Process, TaskKey)> {
        let (_, (entry, key)) = self.order.pop_first()?;
        self.place.remove(&key);
        self.count_out(&entry);
        Some((entry, key))
    }

    pub(super) fn remove(&mut self, key: &TaskKey) -> bool {
        let Some(at) = self.place.remove(key) else {
            return false;
        };
        if let Some((entry, _)) = self.order.remove(&at) {
            self.count_out(&entry);
        }
        true
    }

    fn count_out(&mut self, entry: &Process) {
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
            .place
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
