//! The records of a job's tasks at one agent, in a sorted vector. Most jobs have few tasks
//! at one agent, and a single B-tree node would take a kilobyte.

use super::record::TaskRecord;
use cassiarock_id::Task;

#[derive(Debug)]
pub(super) struct TaskRecords(Vec<(Task, TaskRecord)>);

impl TaskRecords {
    pub(super) const fn new() -> Self {
        Self(Vec::new())
    }

    pub(super) fn get(&self, task: Task) -> Option<&TaskRecord> {
        let at = self.find(task).ok()?;
        Some(&self.0[at].1)
    }

    pub(super) fn get_mut(&mut self, task: Task) -> Option<&mut TaskRecord> {
        let at = self.find(task).ok()?;
        Some(&mut self.0[at].1)
    }

    pub(super) fn insert(&mut self, task: Task, record: TaskRecord) {
        match self.find(task) {
            Ok(at) => self.0[at].1 = record,
            Err(at) => {
                self.grow();
                self.0.insert(at, (task, record));
            }
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Task, &TaskRecord)> {
        self.0.iter().map(|(task, record)| (*task, record))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (Task, &mut TaskRecord)> {
        self.0.iter_mut().map(|(task, record)| (*task, record))
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &TaskRecord> {
        self.0.iter().map(|(_, record)| record)
    }

    /// The number of records for which memory is allocated.
    pub(super) fn capacity(&self) -> usize {
        self.0.capacity()
    }

    fn find(&self, task: Task) -> Result<usize, usize> {
        self.0.binary_search_by_key(&task, |(task, _)| *task)
    }

    /// Grows by half, because the standard growth starts at four records and doubles them.
    fn grow(&mut self) {
        if self.0.len() == self.0.capacity() {
            let more = (self.0.len() / 2).max(1);
            self.0.reserve_exact(more);
        }
    }
}
