//! Which entries wait for slots of an upstream, and which hold credits.

use super::Settings;
use crate::Due;
use crate::load::SlotDemand;
use cassiarock_id::Process;
use std::collections::HashMap;
use std::time::Duration;

/// The demand and the credits of one entry.
#[derive(Debug)]
pub(super) struct EntryDemand {
    /// Slots that the entry wants.
    pub(super) waiting: u16,
    /// When the most urgent work is due that it wants them for.
    pub(super) due: Due,
    /// When the demand was last renewed.
    pub(super) asked_at: Duration,
    /// Slots kept free for the entry.
    pub(super) credit: u16,
    pub(super) credit_until: Duration,
    /// Tasks received from the entry, modulo 2^32.
    pub(super) seen: u32,
}

impl EntryDemand {
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

    pub(super) fn grant_credit(&mut self, now: Duration, hold: Duration) {
        self.waiting = self.waiting.saturating_sub(1);
        self.credit = self.credit.saturating_add(1);
        self.credit_until = now + hold;
    }
}

/// The demands of all entries. A pool has few entries (three at present), so linear scans
/// are the cheapest search.
#[derive(Debug, Default)]
pub(super) struct Demands {
    entries: HashMap<Process, EntryDemand>,
}

impl Demands {
    pub(super) fn get_or_insert(&mut self, entry: &Process, now: Duration) -> &mut EntryDemand {
        self.entries
            .entry(entry.clone())
            .or_insert_with(|| EntryDemand::new(now))
    }

    pub(super) fn set(&mut self, entry: &Process, slot_demand: &SlotDemand, now: Duration) {
        let demand = self.get_or_insert(entry, now);
        demand.waiting = slot_demand.waiting;
        demand.due = Due::from_lateness(now, slot_demand.lateness);
        demand.asked_at = now;
        demand.credit = demand.credit.saturating_sub(slot_demand.returned);
    }

    pub(super) fn remove(&mut self, entry: &Process) {
        self.entries.remove(entry);
    }

    pub(super) fn credits(&self) -> u16 {
        self.entries.values().map(|demand| demand.credit).sum()
    }

    pub(super) fn others_waiting(&self, entry: &Process) -> bool {
        self.entries
            .iter()
            .any(|(other, demand)| demand.waiting > 0 && other != entry)
    }

    /// The entry whose work is due first. Ties are resolved by name, so that the choice does
    /// not depend on the hash map's order.
    pub(super) fn earliest_due(&self) -> Option<(&Process, &EntryDemand)> {
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
