//! All topics.

use super::partition::{Condition, Outcome, Partition};
use std::collections::HashMap;

/// Topics are created on first use, at most so many.
const TOPICS: usize = 100;

/// The beginning of the names of topics that keep the newest record of each key.
const KEYED: &str = "keyed.";

/// The partitions by topic and number.
#[derive(Debug, Default)]
pub struct Store {
    partitions: HashMap<(String, u32), Partition>,
}

impl Store {
    /// A partition, if the topic can be had.
    pub fn partition(&mut self, topic: &str, part: u32) -> Option<&mut Partition> {
        let key = (topic.to_owned(), part);
        if self.partitions.len() >= TOPICS && !self.partitions.contains_key(&key) {
            return None;
        }
        Some(self.partitions.entry(key).or_default())
    }

    /// Adds records on a condition.
    pub fn add(
        &mut self,
        topic: &str,
        part: u32,
        records: Vec<Vec<u8>>,
        condition: &Condition,
    ) -> Option<Outcome> {
        let keyed = topic.starts_with(KEYED);
        let partition = self.partition(topic, part)?;
        Some(partition.add(records, condition, keyed))
    }
}
