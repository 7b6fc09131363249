//! One partition of a topic.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Appends of a producer whose first answer is given again when they are repeated.
const REPEATS: usize = 5;

/// Records in offset order, of which the oldest can be cut. Of a keyed topic the newest record
/// of each key stays.
#[derive(Debug, Default)]
pub struct Partition {
    earliest: u64,
    records: VecDeque<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

/// What is known of a producer.
#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    /// The last sequence numbers, with the offset and the end that they were answered with.
    last: VecDeque<(u64, u64, u64)>,
}

/// An append that has been done, or why it was not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The offset of the first record and the end after the last.
    Done(u64, u64),
    /// The partition ends elsewhere.
    Moved(u64),
    /// A higher epoch of the producer has been seen.
    Fenced,
    /// This sequence number was expected.
    Sequence(u64),
}

/// Under which condition records are added.
#[derive(Clone, Debug, Default)]
pub struct Condition {
    /// The partition ends there.
    pub at: Option<u64>,
    /// The producer, its epoch and its sequence number.
    pub producer: Option<(String, u64, u64)>,
}

impl Partition {
    /// Adds records on a condition, all or none. Of a keyed topic, the newest records follow.
    pub fn add(&mut self, records: Vec<Vec<u8>>, condition: &Condition, keyed: bool) -> Outcome {
        if let Some(outcome) = self.obstacle(condition) {
            return outcome;
        }
        let offset = self.end();
        for record in records {
            let at = self.append(record.clone());
            if keyed {
                self.keep(at, &record);
            }
        }
        let end = self.end();
        if let Some((name, epoch, sequence)) = &condition.producer {
            let producer = self.producers.entry(name.clone()).or_default();
            if *epoch > producer.epoch {
                producer.last.clear();
            }
            producer.epoch = *epoch;
            if end > offset {
                producer.last.push_back((*sequence, offset, end));
            }
            if producer.last.len() > REPEATS {
                producer.last.pop_front();
            }
        }
        Outcome::Done(offset, end)
    }

    fn obstacle(&self, condition: &Condition) -> Option<Outcome> {
        if let Some((name, epoch, sequence)) = &condition.producer
            && let Some(producer) = self.producers.get(name)
        {
            if *epoch < producer.epoch {
                return Some(Outcome::Fenced);
            }
            if *epoch == producer.epoch
                && let Some((last, ..)) = producer.last.back()
            {
                let repeat = producer.last.iter().find(|(known, ..)| known == sequence);
                if let Some((_, offset, end)) = repeat {
                    return Some(Outcome::Done(*offset, *end));
                }
                if *sequence != last + 1 {
                    return Some(Outcome::Sequence(last + 1));
                }
            }
        }
        let end = self.end();
        condition
            .at
            .filter(|at| *at != end)
            .map(|_| Outcome::Moved(end))
    }

    /// The newest record of a key; without a value the key goes.
    fn keep(&mut self, offset: u64, record: &[u8]) {
        let Some((length, rest)) = record.split_first() else {
            return;
        };
        let Some((key, value)) = rest.split_at_checked(usize::from(*length)) else {
            return;
        };
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, value.to_vec()));
        }
    }

    /// The newest record of each key after `after`.
    pub fn newest(&self, after: Option<&str>) -> Vec<(&str, u64, &[u8])> {
        let newest = self.newest.iter();
        newest
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .map(|(key, (offset, value))| (key.as_str(), *offset, value.as_slice()))
            .collect()
    }

    /// The offset of the first kept record; equal to the end when none is kept.
    pub fn earliest(&self) -> u64 {
        self.earliest
    }

    /// The offset that the next append gets.
    pub fn end(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    /// Adds a record and gives its offset.
    pub fn append(&mut self, bytes: Vec<u8>) -> u64 {
        let offset = self.end();
        self.records.push_back(bytes);
        offset
    }

    /// Drops every record below `before`.
    pub fn cut(&mut self, before: u64) {
        while self.earliest < before && self.records.pop_front().is_some() {
            self.earliest += 1;
        }
    }

    /// The records from `from` on, at least one if there is any, else at most `limit` bytes.
    pub fn read(&self, from: u64, limit: usize) -> Vec<(u64, &[u8])> {
        if from >= self.end() {
            return Vec::new();
        }
        let first = from.max(self.earliest);
        let skip = usize::try_from(first - self.earliest).unwrap_or(usize::MAX);
        let mut budget = limit;
        let mut taken = Vec::new();
        for (offset, bytes) in (first..).zip(self.records.iter().skip(skip)) {
            if !taken.is_empty() && bytes.len() > budget {
                break;
            }
            budget = budget.saturating_sub(bytes.len());
            taken.push((offset, bytes.as_slice()));
        }
        taken
    }
}
