//! Which upstreams an entry has asked for slots.

use super::placer::Action;
use super::pool::Pool;
use super::queue::Queue;
use super::settings::Settings;
use super::view::View;
use crate::Due;
use crate::load::SlotDemand;
use std::time::Duration;

/// How many upstreams are drawn in search of one that has not been asked yet.
const DRAWS: usize = 8;

/// How much earlier the first waiting job must be due than what the upstreams were told,
/// before they are told again. Below a typical run time the order hardly changes.
const SOONER: Duration = Duration::from_millis(200);

/// The demands of one entry.
///
/// Made for an entry that has more tasks than it knows slots. It asks a few upstreams per
/// waiting task, not all: each demand may bring a grant after the task has found
/// another slot, and at thousands of upstreams a demand to each would cost more than the
/// tasks. The book closes a round when nothing waits, or when more urgent work came.
#[derive(Debug, Default)]
pub(super) struct Book {
    round: u64,
    asked: usize,
    due: Option<Due>,
    started_at: Duration,
}

impl Book {
    pub(super) fn wake(&self, settings: &Settings) -> Duration {
        self.started_at + settings.demand_interval
    }

    /// Credits arrived from an upstream that was asked.
    pub(super) fn given(&mut self, pool: &mut Pool, index: u32, credit: u16) {
        let round = self.round;
        let taken = pool.change(index, |view| take(view, round, credit));
        self.asked -= usize::from(taken.unwrap_or(0)).min(self.asked);
    }

    /// The next upstream to ask, if the round's demands are too few.
    pub(super) fn next(&mut self, pool: &mut Pool, queue: &Queue, now: Duration) -> Option<u32> {
        self.open_round(queue, &pool.settings, now);
        let seekers = if pool.settings.prefetch > 0 {
            queue.seekers(pool.settings.small_job_tasks)
        } else {
            queue.len()
        };
        let target = seekers * usize::from(pool.settings.demands_per_task);
        if self.asked >= target {
            return None;
        }
        for _ in 0..DRAWS {
            let index = pool.draw_usable()?;
            if !self.has_asked(pool, index) {
                return Some(index);
            }
        }
        None
    }

    /// The demand for a frame that goes to `index` because of it.
    pub(super) fn ask(
        &mut self,
        pool: &mut Pool,
        queue: &Queue,
        index: u32,
        now: Duration,
    ) -> SlotDemand {
        let want = if pool.settings.prefetch > 0 {
            1
        } else {
            share(pool, queue, index)
        };
        self.write(pool, queue, index, want, now)
    }

    /// The demand that rides on a start frame: it costs nothing, so it is renewed, and
    /// withdrawn when nothing waits.
    pub(super) fn ask_with_start(
        &mut self,
        pool: &mut Pool,
        queue: &Queue,
        index: u32,
        now: Duration,
    ) -> SlotDemand {
        if pool.settings.policy.queues_at_upstream() {
            return SlotDemand::default();
        }
        self.open_round(queue, &pool.settings, now);
        let mut want = if self.has_asked(pool, index) {
            pool.get(index).map_or(0, |view| view.asked)
        } else {
            0
        };
        if pool.settings.policy == crate::PlacementPolicy::Credits {
            want = want.max(share(pool, queue, index));
        }
        if queue.len() == 0 {
            want = 0;
        }
        self.write(pool, queue, index, want, now)
    }

    /// Hands back credits that nothing here can use, if others wait for them. All other
    /// credits simply expire at the agent.
    pub(super) fn give_back(&mut self, pool: &mut Pool, queue: &Queue) -> Vec<Action> {
        if queue.len() > 0 {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for index in pool.take_credited() {
            let contended = pool.get(index).is_some_and(|view| view.load.contended);
            if !contended || pool.settings.policy != crate::PlacementPolicy::Probes {
                pool.keep_credited(index);
                continue;
            }
            let returned = pool.change(index, |view| std::mem::take(&mut view.credit));
            let Some(view) = pool.get(index) else {
                continue;
            };
            let ask = SlotDemand {
                returned: returned.unwrap_or(0),
                ..SlotDemand::default()
            };
            let agent = view.upstream.agent.clone();
            actions.push(Action::Demand { agent, ask });
        }
        actions
    }

    fn open_round(&mut self, queue: &Queue, settings: &Settings, now: Duration) {
        let first = queue.first_due();
        let sooner = match (first, self.due) {
            (Some(first), Some(told)) => first.plus(SOONER) < told,
            _ => true,
        };
        let old = now.saturating_sub(self.started_at) >= settings.demand_interval;
        if sooner || old {
            self.round += 1;
            self.asked = 0;
            self.due = first;
            self.started_at = now;
        }
    }

    fn has_asked(&self, pool: &Pool, index: u32) -> bool {
        pool.get(index)
            .is_some_and(|view| view.round == self.round && view.asked > 0)
    }

    fn write(
        &mut self,
        pool: &mut Pool,
        queue: &Queue,
        index: u32,
        want: u16,
        now: Duration,
    ) -> SlotDemand {
        let round = self.round;
        let before = pool.change(index, |view| {
            let before = if view.round == round { view.asked } else { 0 };
            view.round = round;
            view.asked = want;
            before
        });
        let before = usize::from(before.unwrap_or(0)).min(self.asked);
        self.asked = self.asked - before + usize::from(want);
        SlotDemand {
            waiting: want,
            lateness: lateness(queue, now),
            ..SlotDemand::default()
        }
    }
}

fn take(view: &mut View, round: u64, credit: u16) -> u16 {
    if view.round != round {
        return 0;
    }
    let taken = view.asked.min(credit);
    view.asked -= taken;
    taken
}

/// How many slots to ask of one upstream: the waiting tasks spread over those usable,
/// `reach` times over, at most all its slots.
fn share(pool: &Pool, queue: &Queue, index: u32) -> u16 {
    let wanted = queue.len() * usize::from(pool.settings.demands_per_task.max(1));
    let each = wanted.div_ceil(pool.usable().len().max(1));
    let slots = pool.get(index).map_or(0, |view| view.upstream.slots);
    u16::try_from(each).unwrap_or(u16::MAX).min(slots)
}

fn lateness(queue: &Queue, now: Duration) -> i32 {
    queue.first_due().map_or(0, |due| due.lateness(now))
}
