//! The stages of a process's shutdown.

use tokio::sync::watch;

/// The stage that an operator requests of a process, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Serve normally.
    #[default]
    Run,
    /// Take nothing new, finish what is in flight, then end.
    Drain,
    /// End now and report what was interrupted.
    Stop,
}

/// The unfinished work of a process when it ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Jobs without a final answer.
    pub jobs: usize,
    /// Tasks that were waiting or running.
    pub tasks: usize,
}

impl Report {
    /// Whether nothing was interrupted.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.jobs == 0 && self.tasks == 0
    }
}

/// Waits until `stage` or a later one is requested, or until the sender is gone.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use cassiarock_process::{Stage, until};
/// let (ask, mut asked) = tokio::sync::watch::channel(Stage::Run);
/// ask.send_replace(Stage::Stop);
/// until(&mut asked, Stage::Drain).await;
/// # }
/// ```
pub async fn until(asked: &mut watch::Receiver<Stage>, stage: Stage) {
    // An error means that the sender is gone: the program is ending.
    let _ = asked.wait_for(|now| *now >= stage).await;
}
