//! Threads for the stand-ins.

use std::future::Future;
use std::io;
use tokio::runtime::{Builder, Runtime};

/// A runtime of its own, so that a stand-in works in and out of async tests, also while
/// the test blocks. Dropping it ends all that runs on it, without waiting.
#[derive(Debug)]
pub(crate) struct Background {
    runtime: Option<Runtime>,
}

impl Background {
    /// # Errors
    /// If no thread is to be had.
    pub(crate) fn new() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    pub(crate) fn spawn<F>(&self, task: F)
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(task);
        }
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
