//! What the agent's state wants done.

use cassiarock_id::{Process, Task};
use cassiarock_policy::place::TaskKey;
use cassiarock_rule as rule;
use cassiarock_wire::{Frame, Run, TaskStart};
use std::sync::Arc;

/// A side effect for the shell to carry out.
#[derive(Debug)]
pub(crate) enum Action {
    /// Send a frame to a linked entry; dropped if the link is gone, because the entry
    /// asks again over the next one.
    Send(Process, Frame),
    /// Hand a task to the worker.
    Work(Box<Work>),
    /// Ask the worker to stop a task. What it answers then is still the outcome.
    Stop(TaskKey),
    /// Take this state, which a peer knew, if it is newer than the log's.
    Offer(Arc<rule::State>),
}

/// A task on its way to the worker.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    /// The task's run, without its list of tasks.
    pub(crate) run: Run,
    /// The task.
    pub(crate) item: TaskStart,
    /// Who sent it.
    pub(crate) entry: Process,
}

impl Work {
    pub(crate) const fn task(&self) -> Task {
        self.item.task
    }

    pub(crate) const fn key(&self) -> TaskKey {
        TaskKey::new(self.run.job, self.item.task)
    }
}
