//! Supervises the long-running tasks of a process.

use std::collections::HashMap;
use tokio::task::{Id, JoinSet};

/// A part of the process has ended that the others depend on. The state that it left cannot be
/// trusted, so the process has to end and be restarted. If the part panicked, the log has the
/// panic message before this error.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{part} ended before the process did; restart the process and report its last lines")]
pub struct Fault {
    /// The part.
    pub part: &'static str,
}

/// Tasks that run until the process ends. Dropping it aborts them.
///
/// It guards against a process that listens but serves nothing: a panic ends only the task in
/// which it happens, and callers would then wait for an actor that is gone. [`Self::fault`]
/// observes the end of every task.
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
    /// Starts a part that may end before the process does.
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

    /// Starts a part without which the process cannot work.
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

    /// Waits until a part has panicked or a vital one has ended; never returns if none does.
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

    /// Aborts all parts and waits until they have ended.
    pub async fn shutdown(&mut self) {
        self.tasks.shutdown().await;
        self.parts.clear();
    }
}
