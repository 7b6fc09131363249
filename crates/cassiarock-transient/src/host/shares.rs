//! Deals the free room out to the linked entries, for entries that place at the same time.

use super::Host;
use super::entry_state::EntryState;
use crate::Resources;
use cassiarock_id::Process;
use std::time::Duration;

/// The time constant of the decay of the demand.
const WINDOW: Duration = Duration::from_millis(200);

/// What an entry has ordered, and what part of the free room it was told to use.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    /// Room that it was told to use and has not ordered.
    pub(super) told: Resources,
    pub(super) told_at: Duration,
    /// Ordered tasks, decayed up to `updated`.
    pub(super) tasks: f64,
    pub(super) updated: Duration,
}

impl Share {
    pub(super) fn tasks(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.tasks * (-age / WINDOW.as_secs_f64()).exp()
    }

    pub(super) fn order(&mut self, now: Duration) {
        self.tasks = self.tasks(now) + 1.0;
        self.updated = now;
    }

    pub(super) fn take(&mut self, demand: &Resources) {
        self.told = self.told.saturating_sub(demand);
    }
}

pub(super) fn knob(name: &str, default: f64) -> f64 {
    use std::collections::HashMap;
    use std::sync::Mutex;
    static KNOBS: Mutex<Option<HashMap<String, f64>>> = Mutex::new(None);
    thread_local!(static LOCAL: std::cell::RefCell<HashMap<String, f64>> = std::cell::RefCell::new(HashMap::new()));
    let _ = &KNOBS;
    LOCAL.with(|map| {
        if let Some(v) = map.borrow().get(name) {
            return *v;
        }
        let v = std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
        map.borrow_mut().insert(name.to_string(), v);
        v
    })
}

/// Trial switch.
pub fn trial_knob(name: &str, default: f64) -> f64 {
    knob(name, default)
}

impl Host {
    pub(super) fn record_demand(&mut self, demand: &Resources) {
        let mean = &mut self.mean_demand;
        if *mean == Resources::default() {
            *mean = *demand;
            return;
        }
        let mix = |mean: u64, new: u64| (mean * 15 + new + 8) / 16;
        mean.cpu = mix(mean.cpu, demand.cpu);
        mean.memory = mix(mean.memory, demand.memory);
        mean.accelerators = mix(mean.accelerators, demand.accelerators);
    }

    /// Room told to others than `entry`.
    pub(super) fn told_to_others(&self, entry: &Process, now: Duration) -> Resources {
        self.told_within(entry, knob("TOLD_MS", 150.0), now)
    }

    pub(super) fn told_within(&self, entry: &Process, ms: f64, now: Duration) -> Resources {
        let hold = Duration::from_secs_f64(ms / 1000.0);
        let others = self.entries.iter().filter(|(other, _)| *other != entry);
        let others = others.filter(|(_, state)| state.is_linked && now < state.share.told_at + hold);
        others.fold(Resources::default(), |sum, (_, state)| sum.saturating_add(&state.share.told))
    }

    /// The part of the free room that `entry` may count as its own.
    pub(super) fn deal(&mut self, entry: &Process, now: Duration) -> Resources {
        let free = self.free_for(entry, now);
        if knob("SHARES", 1.0) == 0.0 {
            return free;
        }
        let share = self.share_of(entry, &free, now);
        if let Some(state) = self.entries.get_mut(entry) {
            state.share.told = share;
            state.share.told_at = now;
        }
        share
    }

    fn share_of(&self, entry: &Process, free: &Resources, now: Duration) -> Resources {
        let pool = free.saturating_sub(&self.told_to_others(entry, now));
        if self.is_offered(entry, now) {
            return if knob("OFFER", 1.0) > 0.0 { free.saturating_sub(&self.told_within(entry, knob("STEAL_MS", 3.0), now)) } else { *free };
        }
        let linked = self.entries.iter().filter(|(_, state)| state.is_linked);
        let total: f64 = linked.clone().map(|(_, state)| state.share.tasks(now)).sum();
        let entries = linked.count();
        let own = self.entries.get(entry).map_or(0.0, |state: &EntryState| state.share.tasks(now));
        let mean = self.mean_demand;
        if entries <= 1 || total < 0.1 || mean.cpu == 0 {
            return pool;
        }
        let scale = knob("SIZE", 1.2);
        let quantum = Resources::new((mean.cpu as f64 * scale) as u64, (mean.memory as f64 * scale) as u64, (mean.accelerators as f64 * scale).ceil() as u64);
        let count = free.cpu as f64 / quantum.cpu as f64;
        let want = (count * own / total).ceil();
        let want = if own < 0.2 && count < entries as f64 { 0.0 } else { want.max(1.0) };
        if pool.cpu < (mean.cpu as f64 * knob("LEAST", 0.75)) as u64 {
            return Resources::default();
        }
        let want = want as u64;
        let times = |n: u64, of: &Resources| Resources::new(of.cpu * n, of.memory * n, of.accelerators * n);
        let wanted = times(want, &quantum);
        let share = Resources::new(pool.cpu.min(wanted.cpu), pool.memory.min(wanted.memory), pool.accelerators.min(wanted.accelerators));
        if want > 0 { share } else { Resources::default() }
    }
}

impl Host {
    pub(super) fn revoke(&mut self, to: &Process, room: Resources, now: Duration, actions: &mut Vec<super::Action>) {
        let mut victims: Vec<(Duration, Process)> = self.entries.iter()
            .filter(|(entry, state)| *entry != to && state.is_linked && state.share.told.cpu > 0)
            .map(|(entry, state)| (state.share.told_at, entry.clone())).collect();
        victims.sort();
        for (_, victim) in victims {
            let told = self.told_within(to, 150.0, now);
            if room.fits_in(&self.free().saturating_sub(&told)) {
                return;
            }
            if let Some(state) = self.entries.get_mut(&victim) {
                state.share.told = Resources::default();
            }
            self.send_heartbeat(&victim, now, actions);
        }
    }
}
