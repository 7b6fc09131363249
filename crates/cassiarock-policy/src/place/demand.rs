//! The entry's demands for slots at upstreams.

use super::placer::Action;
use super::queue::Queue;
use super::settings::Settings;
use super::table::UpstreamTable;
use super::view::View;
use crate::load::SlotDemand;
use crate::{Due, PlacementPolicy};
use std::time::Duration;

/// Random draws in search of an upstream that has not been asked in this round.
const MAX_DRAWS: usize = 8;

/// A new round starts early if the first waiting job is due this much earlier than what
/// the upstreams were told. A difference below a typical run time hardly changes the
/// order in which they serve entries.
const MIN_DUE_ADVANCE: Duration = Duration::from_millis(200);

/// The demands of one entry that has more waiting tasks than known free slots.
///
/// Each waiting task asks a few upstreams, not all: any demand may bring a grant after the
/// task has found another slot, and with thousands of upstreams a demand to each would
/// cost more than the tasks. A new round, in which all upstreams may be asked again,
/// starts after `demand_interval`, or as soon as nothing or more urgent work waits.
#[derive(Debug, Default)]
pub(super) struct Demands {
    round: u64,
    /// Slots demanded in this round and not granted yet.
    outstanding: usize,
    /// When the work is due that the upstreams were told of in this round.
    told_due: Option<Due>,
    started_at: Duration,
}

impl Demands {
    pub(super) fn next_round(&self, settings: &Settings) -> Duration {
        self.started_at + settings.demand_interval
    }

    /// Counts credits from an upstream against what was demanded of it.
    pub(super) fn record_credits(&mut self, table: &mut UpstreamTable, index: u32, credit: u16) {
        let round = self.round;
        let taken = table.change(index, |view| settle(view, round, credit));
        self.outstanding -= usize::from(taken.unwrap_or(0)).min(self.outstanding);
    }

    /// The next upstream to ask for slots, if the round needs more demands.
    pub(super) fn next_upstream(
        &mut self,
        table: &mut UpstreamTable,
        queue: &Queue,
        now: Duration,
    ) -> Option<u32> {
        self.start_round_if_due(queue, &table.settings, now);
        let demanding = if table.settings.prefetch > 0 {
            queue.waiting_in_small_jobs(table.settings.small_job_tasks)
        } else {
            queue.len()
        };
        let target = demanding * usize::from(table.settings.demands_per_task);
        if self.outstanding >= target {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let index = table.draw_usable()?;
            if !self.has_demanded(table, index) {
                return Some(index);
            }
        }
        None
    }

    /// The demand for a frame that is sent to `index` only to carry it.
    pub(super) fn demand_for(
        &mut self,
        table: &mut UpstreamTable,
        queue: &Queue,
        index: u32,
        now: Duration,
    ) -> SlotDemand {
        let want = if table.settings.prefetch > 0 {
            1
        } else {
            slots_to_demand(table, queue, index)
        };
        self.record_demand(table, queue, index, want, now)
    }

    /// The demand carried by a start frame. It costs no frame, so each start renews it, or
    /// withdraws it when nothing waits.
    pub(super) fn demand_with_start(
        &mut self,
        table: &mut UpstreamTable,
        queue: &Queue,
        index: u32,
        now: Duration,
    ) -> SlotDemand {
        if table.settings.policy.queues_at_upstream() {
            return SlotDemand::default();
        }
        self.start_round_if_due(queue, &table.settings, now);
        let mut want = if self.has_demanded(table, index) {
            table.get(index).map_or(0, |view| view.asked)
        } else {
            0
        };
        if table.settings.policy == PlacementPolicy::Credits {
            want = want.max(slots_to_demand(table, queue, index));
        }
        if queue.len() == 0 {
            want = 0;
        }
        self.record_demand(table, queue, index, want, now)
    }

    /// Returns unused credits to contended upstreams if no task waits here and the policy
    /// is [`PlacementPolicy::Probes`]. All other credits expire at the agent.
    pub(super) fn return_credits(
        &mut self,
        table: &mut UpstreamTable,
        queue: &Queue,
    ) -> Vec<Action> {
        if queue.len() > 0 {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for index in table.take_credited() {
            let contended = table.get(index).is_some_and(|view| view.load.contended);
            if !contended || table.settings.policy != PlacementPolicy::Probes {
                table.keep_credited(index);
                continue;
            }
            let returned = table.change(index, |view| std::mem::take(&mut view.credit));
            let Some(view) = table.get(index) else {
                continue;
            };
            let demand = SlotDemand {
                returned: returned.unwrap_or(0),
                ..SlotDemand::default()
            };
            let agent = view.upstream.agent.clone();
            actions.push(Action::Demand { agent, ask: demand });
        }
        actions
    }

    fn start_round_if_due(&mut self, queue: &Queue, settings: &Settings, now: Duration) {
        let first = queue.first_due();
        let is_sooner = match (first, self.told_due) {
            (Some(first), Some(told)) => first.plus(MIN_DUE_ADVANCE) < told,
            _ => true,
        };
        let is_old = now.saturating_sub(self.started_at) >= settings.demand_interval;
        if is_sooner || is_old {
            self.round += 1;
            self.outstanding = 0;
            self.told_due = first;
            self.started_at = now;
        }
    }

    fn has_demanded(&self, table: &UpstreamTable, index: u32) -> bool {
        table
            .get(index)
            .is_some_and(|view| view.round == self.round && view.asked > 0)
    }

    fn record_demand(
        &mut self,
        table: &mut UpstreamTable,
        queue: &Queue,
        index: u32,
        want: u16,
        now: Duration,
    ) -> SlotDemand {
        let round = self.round;
        let before = table.change(index, |view| {
            let before = if view.round == round { view.asked } else { 0 };
            view.round = round;
            view.asked = want;
            before
        });
        let before = usize::from(before.unwrap_or(0)).min(self.outstanding);
        self.outstanding = self.outstanding - before + usize::from(want);
        SlotDemand {
            waiting: want,
            lateness: lateness(queue, now),
            ..SlotDemand::default()
        }
    }
}

/// Reduces what was demanded of an upstream in `round` by the credits it granted; returns
/// by how much.
fn settle(view: &mut View, round: u64, credit: u16) -> u16 {
    if view.round != round {
        return 0;
    }
    let taken = view.asked.min(credit);
    view.asked -= taken;
    taken
}

/// How many slots to demand of one upstream: its part of the waiting tasks, times
/// `demands_per_task`, and at most all its slots.
fn slots_to_demand(table: &UpstreamTable, queue: &Queue, index: u32) -> u16 {
    let wanted = queue.len() * usize::from(table.settings.demands_per_task.max(1));
    let each = wanted.div_ceil(table.usable().len().max(1));
    let slots = table.get(index).map_or(0, |view| view.upstream.slots);
    u16::try_from(each).unwrap_or(u16::MAX).min(slots)
}

fn lateness(queue: &Queue, now: Duration) -> i32 {
    queue.first_due().map_or(0, |due| due.lateness(now))
}
