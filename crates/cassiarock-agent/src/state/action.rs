//! The actions that the agent's state returns.

use cassiarock_id::{Process, Task};
use cassiarock_policy::place::TaskKey;
use cassiarock_rule as rule;
use cassiarock_wire::{Frame, Run, TaskStart};
use std::sync::Arc;

/// A side effect for the actor to carry out.
#[derive(Debug)]
pub(crate) enum Action {
    /// Send a frame to a linked entry. If the link is closed the frame is dropped, because the
    /// entry asks again over the next link.
    Send(Process, Frame),
    /// Run a task at the upstream.
    RunTask(Box<AssignedTask>),
    /// Ask the upstream to stop a task. Its answer to the run is still the outcome.
    Stop(TaskKey),
    /// Give the follower of the log this state from a peer, to use it if it is newer.
    Offer(Arc<rule::State>),
}

/// A task that an entry sent to this agent.
#[derive(Clone, Debug)]
pub(crate) struct AssignedTask {
    /// What the tasks of the run have in common; its list of tasks is empty.
    pub(crate) run: Run,
    /// The task.
    pub(crate) item: TaskStart,
    /// The entry that sent it.
    pub(crate) entry: Process,
}

impl AssignedTask {
    pub(crate) const fn task(&self) -> Task {
        self.item.task
    }

    pub(crate) const fn key(&self) -> TaskKey {
        TaskKey::new(self.run.job, self.item.task)
    }
}
