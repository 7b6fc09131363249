//! Shares the freshness of the operators' orders between an entry's actor, which exchanges it with
//! other entries, and its reads of the store.

use cassiarock_adapter::Store;
use cassiarock_process::Clock;
use cassiarock_transient::freshness::{Freshness, Report};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// The pause between two checks of whether an overdue read is still receiving its answer.
pub(crate) const RECEIVING_CHECK: Duration = Duration::from_millis(100);

/// A freshness that clones share.
#[derive(Clone, Debug)]
pub(crate) struct SharedFreshness {
    state: watch::Sender<Freshness>,
    clock: Clock,
}

impl SharedFreshness {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            state: watch::Sender::new(Freshness::new()),
            clock,
        }
    }

    /// What to report to other entries.
    pub(crate) fn report(&self) -> Option<Report> {
        self.state.borrow().report(self.now())
    }

    /// The age of the newest proof.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.state.borrow().age(self.now())
    }

    /// Records the report of another entry that has the same orders in force.
    pub(crate) fn record_report(&self, report: Report, now: Duration) {
        self.state.send_if_modified(|state| {
            let before = state.clone();
            state.record_report(report, now);
            *state != before
        });
    }

    /// Records that the store sent an answer `age` ago or later.
    pub(crate) fn record_answer(&self, age: Duration) {
        let at = self.now().saturating_sub(age);
        self.state.send_modify(|state| state.record_answer(at));
    }

    pub(crate) fn record_failure(&self) {
        self.state.send_modify(Freshness::record_failure);
    }

    pub(crate) fn record_missed(&self) {
        self.state.send_modify(Freshness::record_missed);
    }

    /// How long the next read is to wait for a record.
    pub(crate) fn read_wait(&self) -> Duration {
        self.state.borrow().read_wait(rand::random())
    }

    /// Waits until a read that started now has to be given up, and returns the age of the newest
    /// proof.
    pub(crate) async fn overdue(&self, store: &Store) -> Duration {
        let mut changes = self.state.subscribe();
        let draw = rand::random();
        loop {
            let now = self.now();
            let (due_at, age) = {
                let state = changes.borrow_and_update();
                (state.overdue_at(draw), state.age(now).unwrap_or_default())
            };
            let pause = match due_at {
                None => Duration::MAX,
                Some(due_at) if due_at > now => due_at - now,
                // An answer is arriving, so that the connection is alive.
                Some(_) if store.is_receiving() => RECEIVING_CHECK,
                Some(_) => return age,
            };
            tokio::select! {
                () = sleep(pause) => {}
                // Fails only if the senders are gone, of which this is one.
                _ = changes.changed() => {}
            }
        }
    }

    fn now(&self) -> Duration {
        self.clock.now().up
    }
}
