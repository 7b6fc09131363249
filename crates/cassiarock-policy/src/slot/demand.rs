//! Who waits for slots here, and who holds credits.

use super::Settings;
use crate::Due;
use crate::load::SlotDemand;
use cassiarock_id::Process;
use std::collections::HashMap;
use std::time::Duration;

/// What one entry wants and holds.
#[derive(Debug)]
pub(super) struct Demand {
    pub(super) waiting: u16,
    pub(super) due: Due,
    pub(super) asked_at: Duration,
    pub(super) credit: u16,
    pub(super) credit_until: Duration,
    pub(super) seen: u32,
}

impl Demand {
    fn new(now: Duration) -> Self {
        Self {
            waiting: 0,
            due: Due::new(now, Duration::ZERO),
            asked_at: now,
            credit: 0,
            credit_until: now,
            seen: 0,
        }
    }

    pub(super) fn give(&mut self, now: Duration, hold: Duration) {
        self.waiting = self.waiting.saturating_sub(1);
        self.credit = self.credit.saturating_add(1);
        self.credit_until = now + hold;
    }
}

/// The demand of all entries. A pool has a few entries (three today), so plain scans
/// are the cheapest search.
#[derive(Debug, Default)]
pub(super) struct Register {
    entries: HashMap<Process, Demand>,
}

impl Register {
    pub(super) fn of(&mut self, entry: &Process, now: Duration) -> &mut Demand {
        self.entries
            .entry(entry.clone())
            .or_insert_with(|| Demand::new(now))
    }

    pub(super) fn ask(&mut self, entry: &Process, ask: &SlotDemand, now: Duration) {
        let demand = self.of(entry, now);
        demand.waiting = ask.waiting;
        demand.due = Due::from_lateness(now, ask.lateness);
        demand.asked_at = now;
        demand.credit = demand.credit.saturating_sub(ask.returned);
    }

    pub(super) fn remove(&mut self, entry: &Process) {
        self.entries.remove(entry);
    }

    pub(super) fn credits(&self) -> u16 {
        self.entries.values().map(|demand| demand.credit).sum()
    }

    pub(super) fn others_wait(&self, entry: &Process) -> bool {
        self.entries
            .iter()
            .any(|(other, demand)| demand.waiting > 0 && other != entry)
    }

    /// The entry whose work is due first. Ties go by name, so that the choice does not
    /// depend on hashing.
    pub(super) fn first(&self) -> Option<(&Process, &Demand)> {
        self.entries
            .iter()
            .filter(|(_, demand)| demand.waiting > 0)
            .min_by_key(|(entry, demand)| (demand.due, *entry))
    }

    pub(super) fn expire(&mut self, settings: &Settings, now: Duration) {
        for demand in self.entries.values_mut() {
            if demand.credit > 0 && now >= demand.credit_until {
                demand.credit = 0;
            }
            if now.saturating_sub(demand.asked_at) >= settings.demand_lifetime {
                demand.waiting = 0;
            }
        }
    }

    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.entries
            .values()
            .filter(|demand| demand.credit > 0)
            .map(|demand| demand.credit_until)
            .min()
    }
}
