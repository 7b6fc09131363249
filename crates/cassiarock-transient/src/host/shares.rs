//! Deals free room out to entries, for more callers than room at several entries that each place
//! alone.
//!
//! If all entries count the same free room as theirs, they order it several times over, and the
//! losers lose a round trip each. An agent therefore tells each entry a share of its free room, and
//! shares do not overlap. They follow the recent orders of each entry and go with messages that are
//! sent anyway. Room that an entry was told and has not ordered is withdrawn for a request.

use super::{Action, Host};
use crate::{Decision, Resources};
use cassiarock_id::Process;
use std::time::Duration;

/// The time constant of the decay of the orders that are counted: several tasks of short kinds.
const DEMAND_WINDOW: Duration = Duration::from_millis(200);

/// A share that was not renewed for this long is void. Each heartbeat, every 100 ms, renews it.
const SHARE_LIFETIME: Duration = Duration::from_millis(150);

/// A share is not withdrawn within this time: orders for it may be on their way.
const MIN_HOLD_TIME: Duration = Duration::from_millis(1);

/// Room for a task is taken as this many times the mean size, as tasks of a kind differ in size.
const SIZE_MARGIN: f64 = 1.2;

/// The weight of one ordered task in the mean size: the last sixteen make up two thirds.
const SIZE_WEIGHT: f64 = 1.0 / 16.0;

/// An entry with fewer ordered tasks, after decay, counts as idle.
const MIN_TASKS: f64 = 0.2;

/// What an entry has ordered recently, and the part of the free room that it was told to use.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    /// The room that it was told to use and has not ordered since.
    room: Resources,
    told_at: Duration,
    /// Until when it is not withdrawn.
    held_until: Duration,
    /// The number of ordered tasks, decayed up to `updated`.
    tasks: f64,
    updated: Duration,
}

impl Share {
    /// Voids the room; the demand stays known.
    pub(super) const fn withdraw(&mut self) {
        self.room = Resources::new(0, 0, 0);
    }

    /// Lets the room be withdrawn at once: the entry has nothing to place.
    pub(super) const fn release(&mut self) {
        self.held_until = Duration::ZERO;
    }

    /// Counts an ordered task.
    pub(super) fn record_order(&mut self, now: Duration) {
        self.tasks = self.tasks(now) + 1.0;
        self.updated = now;
    }

    /// Takes the room of a task that was accepted.
    pub(super) const fn take(&mut self, demand: &Resources) {
        self.room = self.room.saturating_sub(demand);
    }

    fn tasks(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.tasks * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

/// The mean size of recently ordered tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TaskSize {
    cpu: f64,
    memory: f64,
    accelerators: f64,
}

impl TaskSize {
    /// Adds an ordered task to the mean.
    pub(super) fn observe(&mut self, demand: &Resources) {
        let is_first = self.cpu == 0.0;
        let weight = if is_first { 1.0 } else { SIZE_WEIGHT };
        let add = |mean: &mut f64, amount: u64| *mean += weight * (amount as f64 - *mean);
        add(&mut self.cpu, demand.cpu);
        add(&mut self.memory, demand.memory);
        add(&mut self.accelerators, demand.accelerators);
    }

    /// Room for so many tasks.
    fn room_for(&self, tasks: f64) -> Resources {
        let amount = |mean: f64| (mean * SIZE_MARGIN * tasks).ceil() as u64;
        Resources::new(
            amount(self.cpu),
            amount(self.memory),
            amount(self.accelerators),
        )
    }
}

impl Host {
    /// The part of `free` that `entry` may place on, recorded as told to it. `None` if it may use
    /// all of it: it is the only entry, or nothing was ordered recently.
    pub(super) fn deal(
        &mut self,
        entry: &Process,
        free: &Resources,
        now: Duration,
    ) -> Option<Resources> {
        let share = self.share_of(entry, free, now);
        let state = self.entries.get_mut(entry)?;
        state.share.room = share.unwrap_or_default();
        state.share.told_at = now;
        state.share.held_until = now + MIN_HOLD_TIME;
        share.filter(|share| share != free)
    }

    fn share_of(&self, entry: &Process, free: &Resources, now: Duration) -> Option<Resources> {
        if self.is_offered(entry, now) {
            return Some(free.saturating_sub(&self.held_for_others(entry, now)));
        }
        let linked = self.entries.values().filter(|state| state.is_linked);
        let tasks = linked.clone().map(|state| state.share.tasks(now));
        let (entries, tasks) = (linked.count(), tasks.sum::<f64>());
        if entries <= 1 || tasks < MIN_TASKS || self.task_size.cpu == 0.0 {
            return None;
        }
        let state = self.entries.get(entry)?;
        let pool = free.saturating_sub(&self.told_to_others(entry, now));
        // Less than a task's room is left together, or else no task fits any share.
        if state.is_silent(now) || (pool.cpu as f64) < self.task_size.cpu {
            return Some(Resources::default());
        }
        let own = state.share.tasks(now);
        let places = free.cpu as f64 / (self.task_size.cpu * SIZE_MARGIN);
        let wanted = if own < MIN_TASKS && places < entries as f64 {
            0.0
        } else {
            (places * own / tasks).ceil().max(1.0)
        };
        Some(pool.min(&self.task_size.room_for(wanted)))
    }

    /// The room that other entries were told.
    fn told_to_others(&self, entry: &Process, now: Duration) -> Resources {
        self.sum_of_others(entry, |share| now < share.told_at + SHARE_LIFETIME)
    }

    /// The room that other entries were told and that may not be withdrawn yet.
    fn held_for_others(&self, entry: &Process, now: Duration) -> Resources {
        self.sum_of_others(entry, |share| now < share.held_until)
    }

    fn sum_of_others(&self, entry: &Process, counts: impl Fn(&Share) -> bool) -> Resources {
        let others = self.entries.iter().filter(|(other, _)| *other != entry);
        let shares = others
            .filter(|(_, state)| state.is_linked && counts(&state.share))
            .map(|(_, state)| state.share.room);
        shares.fold(Resources::default(), |sum, room| sum.saturating_add(&room))
    }

    /// The free room that may be offered to `entry`.
    pub(super) fn offerable_to(&self, entry: &Process, now: Duration) -> Resources {
        let held = self.held_for_others(entry, now);
        self.free().saturating_sub(&held)
    }

    /// Withdraws shares of other entries, the oldest first, until `room` is free for `to`, and tells
    /// those entries.
    pub(super) fn withdraw_shares(
        &mut self,
        to: &Process,
        room: &Resources,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let others = self.entries.iter().filter(|(entry, state)| {
            *entry != to && state.is_linked && state.share.room != Resources::default()
        });
        let mut others: Vec<(Duration, Process)> = others
            .map(|(entry, state)| (state.share.told_at, entry.clone()))
            .collect();
        others.sort();
        for (told_at, entry) in others {
            let told = self.told_to_others(to, now);
            if room.fits_in(&self.free().saturating_sub(&told)) {
                return;
            }
            let Some(state) = self.entries.get_mut(&entry) else {
                continue;
            };
            let decision = Decision::new("share withdrawn", "", "")
                .with("from", &entry)
                .with("to", to)
                .with("cpu", state.share.room.cpu)
                .with("age_ms", now.saturating_sub(told_at).as_millis());
            state.share.withdraw();
            actions.push(Action::Log(decision));
            self.send_heartbeat(&entry, now, actions);
        }
    }
}
