//! A task that follows the log for as long as the process runs.

mod backoff;
mod pace;
mod status;
mod task;

pub use backoff::Backoff;
pub use pace::pace;
pub use status::Status;

use crate::neighbour::Asker;
use crate::{Log, snapshot};
use cassiarock_id::Name;
use cassiarock_rule::State;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// How many offers of peers are queued; more are dropped, since peers offer again.
const OFFERS: usize = 64;

/// Follows a log and takes states from peers; stopped on drop. Its state never goes back: a
/// state is replaced only by one with a higher `next`.
#[derive(Debug)]
pub struct Follower {
    status: watch::Receiver<Status>,
    offers: mpsc::Sender<Arc<State>>,
    task: JoinHandle<()>,
    snapshots: Option<snapshot::Writer>,
    polling: Option<JoinHandle<()>>,
}

impl Follower {
    /// Starts to follow `log` from its newest usable snapshot, or its start.
    ///
    /// ```
    /// # use cassiarock_platform::{Follower, Log};
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// # let stand = cassiarock_test_support::log::Stand::start().await?;
    /// let follower = Follower::start(Log::new(stand.url())?);
    /// let mut status = follower.subscribe();
    /// let state = status.wait_for(|status| status.state.is_some()).await?.state.clone();
    /// assert_eq!(state.map(|state| state.version), Some(0));
    /// # Ok::<_, Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<_, Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn start(log: Log) -> Self {
        let (sender, status) = watch::channel(Status::default());
        let (offers, offered) = mpsc::channel(OFFERS);
        let task = tokio::spawn(task::run(log, sender, offered));
        Self {
            status,
            offers,
            task,
            snapshots: None,
            polling: None,
        }
    }

    /// The same, with this process's part in writing snapshots in the name of `by`, onto a log
    /// that keeps its records for `retention`.
    #[must_use]
    pub fn with_snapshots(mut self, log: &Log, by: impl Into<Name>, retention: Duration) -> Self {
        let writer = snapshot::Writer::start(log.clone(), self.subscribe(), by, retention);
        self.snapshots = Some(writer);
        self
    }

    pub(crate) fn asker(&self) -> Asker {
        Asker {
            status: self.subscribe(),
            offers: self.offers.clone(),
        }
    }

    pub(crate) fn with_polling(mut self, polling: JoinHandle<()>) -> Self {
        self.polling = Some(polling);
        self
    }

    /// A receiver of the status and its changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// The current status.
    #[must_use]
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Offers the state of a peer, which is taken if it is newer.
    pub fn offer(&self, state: Arc<State>) {
        // Each offer interrupts the read under way, so one that is not newer is discarded here:
        // peers that repeat theirs would keep this process from ever reading the log.
        let known = self.status.borrow().state.as_ref().map(|known| known.next);
        if known.is_some_and(|next| next >= state.next) {
            return;
        }
        if self.offers.try_send(state).is_err() {
            log::debug!("offer dropped");
        }
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
        if let Some(polling) = &self.polling {
            polling.abort();
        }
    }
}
