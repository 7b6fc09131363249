//! The count of starts, which decides whether a test passed.

use cassiarock_id::{Job, Task};
use std::collections::BTreeMap;

/// One task of one job.
pub type Key = (Job, Task);

/// Starts by job and task. Add up the tallies of all workers before judging: the second
/// start of a task may be on another one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    starts: BTreeMap<Key, usize>,
    claimed: BTreeMap<Key, usize>,
    rounds: BTreeMap<Key, u32>,
}

impl Tally {
    /// Counts a start; those of round 0 belong to repeatable requests.
    ///
    /// ```
    /// use cassiarock_id::{Job, Task, Wall};
    /// use cassiarock_test_support::worker::Tally;
    /// let mut tally = Tally::default();
    /// let key = (Job::new(Wall::now()), Task(0));
    /// tally.count(key, 1);
    /// assert!(tally.doubled().is_empty());
    /// tally.count(key, 2);
    /// assert_eq!(tally.doubled(), [key]);
    /// ```
    pub fn count(&mut self, key: Key, round: u32) {
        *self.starts.entry(key).or_default() += 1;
        self.rounds.insert(key, round);
        if round > 0 {
            *self.claimed.entry(key).or_default() += 1;
        }
    }

    /// Adds another worker's counts.
    ///
    /// ```
    /// use cassiarock_id::{Job, Task, Wall};
    /// use cassiarock_test_support::worker::Tally;
    /// let key = (Job::new(Wall::now()), Task(0));
    /// let (mut one, mut other) = (Tally::default(), Tally::default());
    /// one.count(key, 1);
    /// other.count(key, 1);
    /// one.add(&other);
    /// assert_eq!(one.doubled(), [key]);
    /// ```
    pub fn add(&mut self, other: &Self) {
        add(&mut self.starts, &other.starts);
        add(&mut self.claimed, &other.claimed);
        self.rounds.extend(&other.rounds);
    }

    /// Starts by job and task.
    #[must_use]
    pub const fn starts(&self) -> &BTreeMap<Key, usize> {
        &self.starts
    }

    /// The tasks of a job that were started.
    #[must_use]
    pub fn of(&self, job: Job) -> Vec<Task> {
        let of_job = self.starts.keys().filter(|(its, _)| *its == job);
        of_job.map(|(_, task)| *task).collect()
    }

    /// The round by which a task was last started.
    #[must_use]
    pub fn round(&self, key: Key) -> Option<u32> {
        self.rounds.get(&key).copied()
    }

    /// The tasks that were started more than once, other than by repeatable requests.
    #[must_use]
    pub fn doubled(&self) -> Vec<Key> {
        let many = self.claimed.iter().filter(|(_, count)| **count > 1);
        many.map(|(key, _)| *key).collect()
    }

    /// All starts.
    #[must_use]
    pub fn total(&self) -> usize {
        self.starts.values().sum()
    }
}

fn add(to: &mut BTreeMap<Key, usize>, from: &BTreeMap<Key, usize>) {
    for (key, count) in from {
        *to.entry(*key).or_default() += count;
    }
}
