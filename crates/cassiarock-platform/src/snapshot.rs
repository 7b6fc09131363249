//! A task that appends snapshots of the state to the log.

use crate::Log;
use crate::follow::Status;
use cassiarock_id::{Name, Wall};
use cassiarock_rule::record::Body;
use cassiarock_rule::snapshot::Schedule;
use cassiarock_rule::{Record, State};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How often the schedule is checked.
const PERIOD: Duration = Duration::from_secs(1);

/// Writes snapshots until dropped.
#[derive(Debug)]
pub struct Writer {
    task: JoinHandle<()>,
}

impl Writer {
    /// Starts to write snapshots of the follower's state, in the name of the process `by`,
    /// onto a log that keeps its records for `retention`.
    ///
    /// ```
    /// # use cassiarock_platform::{Follower, Log, snapshot::Writer};
    /// # use std::time::Duration;
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// # let stand = cassiarock_test_support::log::Stand::start().await?;
    /// let log = Log::new(stand.url())?;
    /// let follower = Follower::start(log.clone());
    /// let day = Duration::from_secs(86_400);
    /// let _writer = Writer::start(log, follower.subscribe(), "entry-1", day);
    /// # Ok::<_, Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<_, Box<dyn std::error::Error>>(())
    /// ```
    pub fn start(
        log: Log,
        status: watch::Receiver<Status>,
        by: impl Into<Name>,
        retention: Duration,
    ) -> Self {
        let schedule = Schedule::new(retention, rand::random());
        let task = tokio::spawn(run(log, status, by.into(), schedule));
        Self { task }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(log: Log, status: watch::Receiver<Status>, by: Name, mut schedule: Schedule) {
    let mut period = tokio::time::interval(PERIOD);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        let known = status.borrow().clone();
        let state = known.state.filter(|_| known.reachable && known.current);
        let Some(state) = state else {
            schedule.reset();
            continue;
        };
        if schedule.is_due(&state, Wall::now()) {
            schedule.reset();
            append(&log, &by, &state).await;
        }
    }
}

/// Appends once, without a retry: another process or the next period replaces a lost snapshot.
async fn append(log: &Log, by: &Name, state: &Arc<State>) {
    let covers = state.next;
    let state = Box::new(State::clone(state));
    let record = Record::new(Wall::now(), by.clone(), Body::Snapshot { state });
    let bytes = match record.encode() {
        Ok(bytes) => bytes,
        Err(error) => return log::error!("snapshot: {error}"),
    };
    match log.append(bytes).await {
        Ok(offset) => log::info!(offset = offset, covers = covers; "snapshot"),
        Err(error) => log::warn!(covers = covers; "snapshot: {error}"),
    }
}
