//! The room that an entry which has just started may expect of agents that it has not linked yet.
//!
//! After a loss of all vms or a rolling restart, callers come at once to entries that have linked
//! a few of their agents. Judged by the room of these alone, most of them would be refused, though
//! room for them appears within some hundred milliseconds.

use super::admit::sum;
use crate::roster::LINKS_PER_AGENT;
use cassiarock_id::{Name, Process};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long after its start an entry expects further agents. Callers that can spare more are rare,
/// and a vm that takes longer to start is not back with the others.
const START: Duration = Duration::from_secs(1);

/// Agents link within this time. The expectation fades to nothing while so much time passes
/// without a new agent.
const QUIET: Duration = Duration::from_millis(300);

/// A record that the linked agents exceed by more than this factor is too old to be believed.
const EXCEEDED: f64 = 1.25;

/// Without a record, as much room is expected as was linked within this time.
const RECENT: Duration = Duration::from_millis(100);

/// An agent that reports no room for this long after its link is full; before that, it may not have
/// polled its upstream yet.
const UNPOLLED: Duration = Duration::from_millis(50);

/// The time between two observations of the usual room.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// The part of the difference by which the usual room falls with each observation: upstreams that
/// are lost for some seconds are soon back.
const FALL: f64 = 1.0 / 64.0;

/// After this time an entry has linked its agents, and what it has seen replaces the record.
const SETTLED: Duration = Duration::from_secs(10);

/// The most services that are remembered.
const MAX_SERVICES: usize = 64;

/// The most agents that are counted at a start; an entry has some fifty.
const MAX_AGENTS: usize = 4_096;

/// The upstreams that an entry usually has for a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct UsualRoom {
    /// Their number.
    pub upstreams: u64,
    /// Their capacity, in thousandths of a core.
    pub cpu: u64,
    /// The number of entries that share them.
    pub entries: u64,
}

/// What is expected beyond the room of the open agents.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::scheduler) struct Expected {
    /// Capacity of agents that are not linked yet, in thousandths of a core.
    pub(in crate::scheduler) cpu: u64,
    /// Free room that no agent has reported yet, in thousandths of a core.
    pub(in crate::scheduler) free_cpu: u64,
    /// How sure that is, from 0 to 1.
    pub(in crate::scheduler) certainty: f64,
    /// The number of entries that usually share the room; 0 if not known.
    pub(in crate::scheduler) entries: u64,
}

/// An agent that was linked during the start.
#[derive(Clone, Debug)]
struct Arrival {
    service: Name,
    at: Duration,
    cpu: u64,
    /// The free room that it reported first.
    free_cpu: u64,
}

impl Arrival {
    const fn has_reported(&self, now: Duration) -> bool {
        self.free_cpu > 0 || now.saturating_sub(self.at).as_nanos() >= UNPOLLED.as_nanos()
    }
}

/// The agents linked since the start, and the room that is usual.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct Expectation {
    arrivals: BTreeMap<Process, Arrival>,
    /// When an agent last opened or first reported room.
    last_news: Duration,
    /// The room on record, from before the start.
    recorded: BTreeMap<Name, UsualRoom>,
    /// The usual room that this process has seen.
    seen: BTreeMap<Name, UsualRoom>,
    last_observation: Duration,
    /// The jobs that were admitted for room that had not shown yet.
    held: BTreeSet<u64>,
    /// When the first agent, half and all of the recorded room were open.
    milestones: [Option<Duration>; 3],
}

impl Expectation {
    /// Takes over the usual room on record. It only counts while the process starts.
    pub(in crate::scheduler) fn adopt(&mut self, service: &Name, room: UsualRoom) {
        if self.recorded.len() < MAX_SERVICES || self.recorded.contains_key(service) {
            self.recorded.insert(service.clone(), room);
        }
    }

    /// Whether the process is starting.
    pub(in crate::scheduler) const fn is_starting(now: Duration) -> bool {
        now.as_nanos() < START.as_nanos()
    }

    /// Records what an open agent reports while the process starts.
    pub(in crate::scheduler) fn record(
        &mut self,
        agent: &Process,
        service: &Name,
        cpu: u64,
        free_cpu: u64,
        now: Duration,
    ) {
        if let Some(arrival) = self.arrivals.get_mut(agent) {
            if !arrival.has_reported(now) && free_cpu > 0 {
                arrival.free_cpu = free_cpu;
                self.last_news = now;
            }
        } else if self.arrivals.len() < MAX_AGENTS {
            let service = service.clone();
            let arrival = Arrival {
                service,
                at: now,
                cpu,
                free_cpu,
            };
            self.arrivals.insert(agent.clone(), arrival);
            self.last_news = now;
        }
    }

    /// What is expected for a service beyond what its open agents report.
    pub(in crate::scheduler) fn expected(&self, service: &str, now: Duration) -> Expected {
        if !Self::is_starting(now) {
            return Expected::default();
        }
        let quiet = now.saturating_sub(self.last_news).as_secs_f64();
        let certainty = (1.0 - quiet / QUIET.as_secs_f64()).max(0.0);
        let mut linked = 0_u64;
        let mut recent = 0_u64;
        let (mut reported, mut free) = (0_u64, 0_u64);
        let arrivals = self.arrivals.values();
        for arrival in arrivals.filter(|arrival| &*arrival.service == service) {
            linked = linked.saturating_add(arrival.cpu);
            if now.saturating_sub(arrival.at) < RECENT {
                recent = recent.saturating_add(arrival.cpu);
            }
            if arrival.has_reported(now) {
                reported = reported.saturating_add(arrival.cpu);
                free = free.saturating_add(arrival.free_cpu);
            }
        }
        let is_believed = |room: &UsualRoom| linked as f64 <= room.cpu as f64 * EXCEEDED;
        let recorded = self.recorded.get(service).copied().filter(is_believed);
        let total = recorded.map_or_else(|| linked.saturating_add(recent), |room| room.cpu);
        // Agents that come later are as free as those before them were when they came.
        let free_share = if reported == 0 {
            1.0
        } else {
            free as f64 / reported as f64
        };
        let part = |cpu: u64| (cpu as f64 * certainty) as u64;
        let unreported = total.max(linked).saturating_sub(reported);
        Expected {
            cpu: part(total.saturating_sub(linked)),
            free_cpu: (part(unreported) as f64 * free_share) as u64,
            certainty,
            entries: recorded.map_or(0, |room| room.entries.min(LINKS_PER_AGENT as u64)),
        }
    }

    /// Notes that the job with this number was admitted for room that has not shown yet.
    pub(in crate::scheduler) fn hold(&mut self, number: u64) {
        self.held.insert(number);
    }

    /// The jobs that were held for room, once no more room is expected.
    pub(in crate::scheduler) fn take_held(&mut self, now: Duration) -> BTreeSet<u64> {
        if self.held.is_empty() {
            return BTreeSet::new();
        }
        let services: BTreeSet<&Name> = self
            .recorded
            .keys()
            .chain(self.arrivals.values().map(|arrival| &arrival.service))
            .collect();
        let mut services = services.into_iter();
        let is_over = !Self::is_starting(now)
            || !self.arrivals.is_empty()
                && services.all(|service| self.expected(service, now).free_cpu == 0);
        if is_over {
            std::mem::take(&mut self.held)
        } else {
            BTreeSet::new()
        }
    }

    /// Notes the first agent, half and all of the room on record, of all services together.
    /// Returns the names of those just reached.
    pub(in crate::scheduler) fn pass_milestones(&mut self, now: Duration) -> Vec<&'static str> {
        let linked = sum(self.arrivals.values().map(|arrival| arrival.cpu));
        let recorded = sum(self.recorded.values().map(|room| room.cpu));
        let is_known = recorded > 0;
        let reached = [
            linked > 0,
            is_known && linked >= recorded / 2,
            is_known && linked >= recorded,
        ];
        let mut passed = Vec::new();
        for ((name, is_reached), at) in ["first", "half", "all"]
            .into_iter()
            .zip(reached)
            .zip(&mut self.milestones)
        {
            if is_reached && at.is_none() {
                *at = Some(now);
                passed.push(name);
            }
        }
        passed
    }

    /// When the first agent, half and all of the room on record were open.
    pub(in crate::scheduler) const fn milestones(&self) -> [Option<Duration>; 3] {
        self.milestones
    }

    /// Whether the usual room is to be observed now.
    pub(in crate::scheduler) fn is_observation_due(&self, now: Duration) -> bool {
        now >= self.last_observation + OBSERVATION_INTERVAL
    }

    /// Observes the open agents of each service.
    pub(in crate::scheduler) fn observe(
        &mut self,
        open: &BTreeMap<Name, UsualRoom>,
        now: Duration,
    ) {
        self.last_observation = now;
        if !Self::is_starting(now) {
            self.arrivals.clear();
        }
        for (service, open) in open {
            if self.seen.len() < MAX_SERVICES || self.seen.contains_key(service) {
                self.seen.entry(service.clone()).or_insert(*open);
            }
        }
        for (service, usual) in &mut self.seen {
            let open = open.get(service).copied().unwrap_or_default();
            *usual = UsualRoom {
                upstreams: follow(usual.upstreams, open.upstreams),
                cpu: follow(usual.cpu, open.cpu),
                entries: follow(usual.entries, open.entries),
            };
        }
    }

    /// The usual room that this process has seen, once it has linked its agents.
    pub(in crate::scheduler) fn seen(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&Name, UsualRoom)> {
        let is_settled = now >= SETTLED;
        let seen = self.seen.iter().filter(move |_| is_settled);
        seen.map(|(service, room)| (service, *room))
    }
}

/// Rises at once and falls slowly.
fn follow(usual: u64, open: u64) -> u64 {
    if open >= usual {
        open
    } else {
        open + ((usual - open) as f64 * (1.0 - FALL)) as u64
    }
}
