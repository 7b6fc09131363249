//! The status that a process reports on `GET /status`.

use cassiarock_id::{Name, Process, Wall};
use cassiarock_rule::State;
use serde::{Deserialize, Serialize};

/// A data centre that operators are emptying, as an entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: Name,
    /// When the entry learned of it.
    pub since: Wall,
    /// Tasks of the entry that are still there.
    pub tasks: usize,
}

/// The state of one process, for operators and their tools.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The process.
    pub process: Process,
    /// `entry` or `agent`.
    pub role: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The version of rules and configuration that is in force here.
    pub version: u64,
    /// The membership version that is in force here.
    pub membership: u64,
    /// The log offset up to which records have been folded in.
    pub next: u64,
    /// Whether the log answers.
    pub log_reachable: bool,
    /// Whether the process takes no new work.
    pub leaving: bool,
    /// Whether it can do its work: an agent, that its worker is healthy; an entry, that
    /// it is linked to an agent.
    pub ready: bool,
    /// Jobs without a final answer.
    pub jobs: usize,
    /// Tasks that wait here.
    pub waiting: usize,
    /// Tasks at the worker, or placed on agents.
    pub running: usize,
    /// Links with other processes.
    pub links: usize,
    /// Data centres that operators are emptying, with what an entry still has there.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
}

impl Status {
    /// The status of a process that has just started.
    ///
    /// ```
    /// use cassiarock_id::Process;
    /// use cassiarock_process::Status;
    /// let status = Status::new(Process::new("entry-1", 1), "entry", "dc-1");
    /// assert!(!status.ready);
    /// ```
    pub fn new(process: Process, role: impl Into<Name>, data_centre: impl Into<Name>) -> Self {
        Self {
            process,
            role: role.into(),
            data_centre: data_centre.into(),
            version: 0,
            membership: 0,
            next: 0,
            log_reachable: false,
            leaving: false,
            ready: false,
            jobs: 0,
            waiting: 0,
            running: 0,
            links: 0,
            evacuations: Vec::new(),
        }
    }

    /// Updates the status after a change of the log's state or of its reachability.
    ///
    /// ```
    /// use cassiarock_id::Process;
    /// use cassiarock_process::Status;
    /// let mut status = Status::new(Process::new("entry-1", 1), "entry", "dc-1");
    /// status.adopt(&cassiarock_rule::State::default(), true);
    /// assert!(status.log_reachable);
    /// ```
    pub fn adopt(&mut self, state: &State, log_reachable: bool) {
        self.version = state.version;
        self.membership = state.membership.version;
        self.next = state.next;
        self.log_reachable = log_reachable;
    }
}
