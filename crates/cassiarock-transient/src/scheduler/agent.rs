//! An entry's view of an agent and its upstream.

use super::placement::tenure::Tenure;
use crate::Resources;
use crate::message::{Load, Upstream};
use crate::timing::{QUIET_TIMEOUT, RECLAIM_DELAY};
use cassiarock_id::Name;
use std::collections::VecDeque;
use std::time::Duration;

/// The entry's view of one process of an agent.
#[derive(Clone, Debug)]
pub(super) struct Agent {
    /// The upstream; absent while it is away. Set by [`Self::set_upstream`].
    pub(super) upstream: Option<Upstream>,
    /// The newest incarnation of the upstream, also while it is away, and since when it is known.
    newest: Option<(Upstream, Duration)>,
    /// The incarnation before the newest one.
    previous: Option<Upstream>,
    /// How long the newest incarnation stays.
    pub(super) tenure: Tenure,
    pub(super) load: Load,
    pub(super) is_linked: bool,
    /// Whether it has told over its present link which tasks it holds.
    has_told_tasks: bool,
    pub(super) data_centre: Name,
    /// Whether operators are evacuating its data centre.
    pub(super) is_evacuated: bool,
    /// When the last message arrived.
    pub(super) last_heard: Duration,
    /// The agent's own clock in milliseconds, from its last heartbeat.
    pub(super) clock: u64,
    /// The serial number of the last orders sent.
    pub(super) serial: u64,
    /// The demands of ordered tasks that the reported load may not include yet, with the serial
    /// numbers of their orders.
    unacknowledged: VecDeque<(u64, Resources)>,
    /// The number of tasks placed there that have not ended.
    pub(super) placed: usize,
    /// The kind of its upstream; empty while none is known.
    pub(super) kind: Name,
    /// The median slowdown of its kind, in hundredths.
    pub(super) median: f64,
    /// Whether it gets no tasks because too many of its recent tasks failed.
    pub(super) is_ejected: bool,
    /// Whether it holds room for this entry for a short time.
    pub(super) is_offered: bool,
    /// When its clock was last echoed to it.
    pub(super) last_echo: Duration,
    /// The reported free room less the unacknowledged orders.
    free: Resources,
}

impl Agent {
    pub(super) fn new(data_centre: Name, now: Duration) -> Self {
        Self {
            upstream: None,
            newest: None,
            previous: None,
            tenure: Tenure::default(),
            load: Load::default(),
            is_linked: true,
            has_told_tasks: false,
            data_centre,
            is_evacuated: false,
            last_heard: now,
            clock: 0,
            serial: 0,
            unacknowledged: VecDeque::new(),
            placed: 0,
            kind: Name::from(""),
            median: 100.0,
            is_ejected: false,
            is_offered: false,
            last_echo: Duration::ZERO,
            free: Resources::default(),
        }
    }

    /// Resets what belongs to a link when a new one opens. Serial numbers of orders start over.
    pub(super) fn link(&mut self, now: Duration) {
        self.is_linked = true;
        self.has_told_tasks = false;
        self.last_heard = now;
        self.serial = 0;
        self.unacknowledged.clear();
        self.load = Load::default();
        self.free = Resources::default();
    }

    /// Records that it has told over its present link which tasks it holds.
    pub(super) const fn record_told_tasks(&mut self) {
        self.has_told_tasks = true;
    }

    /// Takes over what the agent says about its upstream.
    pub(super) fn set_upstream(&mut self, upstream: Option<Upstream>, now: Duration) {
        if let Some(present) = &upstream {
            let known = self.newest.take();
            let is_same = known.as_ref().is_some_and(|(newest, _)| {
                !present.incarnation().differs_from(&newest.incarnation())
            });
            let known_since = match known {
                Some((_, since)) if is_same => since,
                Some((newest, _)) => {
                    self.previous = Some(newest);
                    now
                }
                None => now,
            };
            self.tenure = self.tenure.after(present, is_same, now);
            self.newest = Some((present.clone(), known_since));
        }
        self.upstream = upstream;
    }

    /// The incarnation of the upstream that ran a task which began at `began`. Its loss may be
    /// reported after the next incarnation, if the link was replaced meanwhile.
    pub(super) fn upstream_at(&self, began: Duration) -> Option<&Upstream> {
        let is_before = |(_, since): &(Upstream, Duration)| began < *since;
        if self.newest.as_ref().is_some_and(is_before) && self.previous.is_some() {
            return self.previous.as_ref();
        }
        self.upstream.as_ref()
    }

    /// Takes over a reported load.
    pub(super) fn update(&mut self, load: Load) {
        self.load = load;
        self.is_offered = load.is_offered;
        while self
            .unacknowledged
            .front()
            .is_some_and(|(serial, _)| *serial <= load.last_serial)
        {
            self.unacknowledged.pop_front();
        }
        let pending = self.unacknowledged.iter();
        self.free = pending.fold(load.free, |free, (_, demand)| free.saturating_sub(demand));
    }

    /// Counts a task that goes into the next orders.
    pub(super) fn add_order(&mut self, demand: Resources) {
        self.unacknowledged.push_back((self.serial + 1, demand));
        self.free = self.free.saturating_sub(&demand);
        self.placed += 1;
    }

    /// The serial number of the orders that are sent now. Orders also echo the agent's clock.
    pub(super) const fn next_serial(&mut self, now: Duration) -> u64 {
        self.serial += 1;
        self.last_echo = now;
        self.serial
    }

    /// The room for new tasks: the reported free room less the unacknowledged orders.
    pub(super) const fn free(&self) -> &Resources {
        &self.free
    }

    /// Whether orders may be sent to the agent. One that crosses the agent's list of what it holds
    /// would be missing there, and count as lost, while it is carried out.
    pub(super) const fn may_be_ordered(&self) -> bool {
        self.has_told_tasks
    }

    /// Whether the agent accepts tasks, whatever room it has.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        self.is_linked
            && !self.is_evacuated
            && self.clock > 0
            && now.saturating_sub(self.last_heard) < QUIET_TIMEOUT
            && self
                .upstream
                .as_ref()
                .is_some_and(|upstream| !upstream.is_leaving)
    }

    /// Whether the agent has been silent for so long that its tasks must have ended.
    pub(super) fn is_lost(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_heard) >= RECLAIM_DELAY
    }

    /// How long its tasks run relative to the median upstream of its kind.
    pub(super) fn pace(&self) -> f64 {
        f64::from(self.load.slowdown_percent.max(1)) / self.median
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
