//! The parts that a process consists of.

use std::collections::HashMap;
use tokio::task::{Id, JoinSet};

/// A part of the process is gone that the others cannot do without. What it left of its state
/// is not to be trusted, so the process has to end and to be started anew; the line of the
/// panic, if there was one, stands in the log before.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{part} ended before the process did; restart the process and report its last lines")]
pub struct Fault {
    /// The part.
    pub part: &'static str,
}

/// Tasks that run until the process ends. Dropping it ends them.
///
/// It guards against a process that listens and serves nothing: a panic ends only the task
/// that it happens in, and callers then wait for an actor that is gone. [`Self::fault`] sees
/// the end of every task.
#[derive(Debug, Default)]
pub struct Parts {
    tasks: JoinSet<()>,
    parts: HashMap<Id, Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    name: &'static str,
    is_vital: bool,
}

impl Parts {
    /// Starts a part that may come to its end before the process does.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let mut parts = cassiarock_process::Parts::default();
    /// parts.spawn("the announcement", async {});
    /// # }
    /// ```
    pub fn spawn(&mut self, name: &'static str, part: impl Future<Output = ()> + Send + 'static) {
        let is_vital = false;
        self.add(Part { name, is_vital }, part);
    }

    /// Starts a part whose end leaves the process useless.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let mut parts = cassiarock_process::Parts::default();
    /// parts.spawn_vital("the actor", async {});
    /// assert_eq!(parts.fault().await.part, "the actor");
    /// # }
    /// ```
    pub fn spawn_vital(
        &mut self,
        name: &'static str,
        part: impl Future<Output = ()> + Send + 'static,
    ) {
        let is_vital = true;
        self.add(Part { name, is_vital }, part);
    }

    fn add(&mut self, part: Part, task: impl Future<Output = ()> + Send + 'static) {
        let id = self.tasks.spawn(task).id();
        self.parts.insert(id, part);
    }

    /// Waits until a part has panicked or a vital one has ended; for ever if none does.
    pub async fn fault(&mut self) -> Fault {
        while let Some(ended) = self.tasks.join_next_with_id().await {
            let (id, has_panicked) = match ended {
                Ok((id, ())) => (id, false),
                Err(error) => (error.id(), error.is_panic()),
            };
            let Some(part) = self.parts.remove(&id) else {
                continue;
            };
            if has_panicked || part.is_vital {
                return Fault { part: part.name };
            }
        }
        std::future::pending().await
    }

    /// Ends all parts, and waits until they have.
    pub async fn shutdown(&mut self) {
        self.tasks.shutdown().await;
        self.parts.clear();
    }
}
