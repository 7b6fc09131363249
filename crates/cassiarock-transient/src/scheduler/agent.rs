//! What an entry knows of an agent and its upstream.

use crate::Resources;
use crate::message::{Load, Upstream};
use crate::timing::{QUIET_TIMEOUT, RECLAIM_DELAY};
use cassiarock_id::Name;
use std::collections::VecDeque;
use std::time::Duration;

/// The entry's view of one life of an agent.
#[derive(Clone, Debug)]
pub(super) struct Agent {
    pub(super) upstream: Option<Upstream>,
    pub(super) load: Load,
    pub(super) is_linked: bool,
    pub(super) data_centre: Name,
    /// Whether operators are emptying its data centre.
    pub(super) is_evacuated: bool,
    /// When the last message came.
    pub(super) heard: Duration,
    /// The agent's own clock in milliseconds, from its last heartbeat.
    pub(super) clock: u64,
    /// The number of the last orders sent.
    pub(super) serial: u64,
    /// What was ordered and may not be counted in the load yet.
    sent: VecDeque<(u64, Resources)>,
    /// Tasks placed there that have not ended.
    pub(super) placed: usize,
    /// Whether it is kept out of placing for what its latest tasks showed.
    pub(super) is_ejected: bool,
    /// Whether it holds room for this entry for a moment.
    pub(super) is_offered: bool,
    /// When it was last sent its own clock.
    pub(super) echoed: Duration,
    /// Room for new tasks: as told, less what is on its way.
    free: Resources,
}

impl Agent {
    pub(super) fn new(data_centre: Name, now: Duration) -> Self {
        Self {
            upstream: None,
            load: Load::default(),
            is_linked: true,
            data_centre,
            is_evacuated: false,
            heard: now,
            clock: 0,
            serial: 0,
            sent: VecDeque::new(),
            placed: 0,
            is_ejected: false,
            is_offered: false,
            echoed: Duration::ZERO,
            free: Resources::default(),
        }
    }

    /// A new link: numbers of orders begin anew.
    pub(super) fn link(&mut self, now: Duration) {
        self.is_linked = true;
        self.heard = now;
        self.serial = 0;
        self.sent.clear();
        self.load = Load::default();
        self.free = Resources::default();
    }

    pub(super) fn update(&mut self, load: Load) {
        self.load = load;
        self.is_offered = load.is_offered;
        while self
            .sent
            .front()
            .is_some_and(|(serial, _)| *serial <= load.last_serial)
        {
            self.sent.pop_front();
        }
        let sent = self.sent.iter();
        self.free = sent.fold(load.free, |free, (_, demand)| free.saturating_sub(demand));
    }

    /// Tasks of this demand go into the next orders.
    pub(super) fn order(&mut self, demand: Resources) {
        self.sent.push_back((self.serial + 1, demand));
        self.free = self.free.saturating_sub(&demand);
        self.placed += 1;
    }

    /// The next orders go out.
    pub(super) const fn send(&mut self, now: Duration) -> u64 {
        self.serial += 1;
        self.echoed = now;
        self.serial
    }

    /// Room for new tasks: as told, less what is on its way.
    pub(super) const fn free(&self) -> &Resources {
        &self.free
    }

    /// Whether tasks may be placed there at all.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        self.is_linked
            && !self.is_evacuated
            && self.clock > 0
            && now.saturating_sub(self.heard) < QUIET_TIMEOUT
            && self
                .upstream
                .as_ref()
                .is_some_and(|upstream| !upstream.is_leaving)
    }

    /// Whether its tasks must have ended: it has not been heard for too long.
    pub(super) fn is_lost(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) >= RECLAIM_DELAY
    }

    /// How long its tasks run in terms of the median upstream.
    pub(super) fn pace(&self, median: f64) -> f64 {
        f64::from(self.load.slowdown_percent.max(1)) / median.max(1.0)
    }

    pub(super) fn serves(&self, service: &str) -> bool {
        let upstream = self.upstream.as_ref();
        upstream.is_some_and(|upstream| &*upstream.service == service)
    }

    pub(super) fn capacity(&self) -> Resources {
        let upstream = self.upstream.as_ref();
        upstream
            .map(|upstream| upstream.capacity)
            .unwrap_or_default()
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        let upstream = self.upstream.as_ref();
        upstream.is_some_and(|upstream| upstream.labels.iter().any(|own| &**own == label))
    }
}
