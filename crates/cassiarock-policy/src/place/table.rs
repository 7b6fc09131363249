//! The upstreams that an entry knows, and the choice of one for a task.

use super::candidates::Candidates;
use super::settings::Settings;
use super::upstream::Upstream;
use super::view::View;
use crate::load::LoadReport;
use crate::{Due, PlacementPolicy};
use cassiarock_id::Process;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::time::Duration;

/// Random draws for one task. Only a task that must avoid nearly all candidates needs
/// more; for it, the candidates with room are then searched in order.
const MAX_DRAWS: usize = 6;

/// Cap on the room by which upstreams are ranked, so that ranks fit an `i32`. More room
/// makes no difference.
const MAX_ROOM: i64 = 1 << 20;

/// The known upstreams. Those with room form a set of their own, so that a placement
/// costs the same with thousands of upstreams as with a few.
#[derive(Debug)]
pub(super) struct UpstreamTable {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    views: Vec<Option<View>>,
    indices: HashMap<Process, u32>,
    free_indices: Vec<u32>,
    /// What [`Self::better_of`] compares, by index. At four bytes per upstream they stay in
    /// the processor's cache, which the views do not.
    ranks: Vec<i32>,
    /// Upstreams that may get tasks.
    usable: Candidates,
    /// Upstreams that seem to have room for a task.
    available: Candidates,
    /// Upstreams that may have unused credits, with duplicates.
    with_credits: Vec<u32>,
}

impl UpstreamTable {
    pub(super) fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: StdRng::seed_from_u64(seed),
            views: Vec::new(),
            indices: HashMap::new(),
            free_indices: Vec::new(),
            ranks: Vec::new(),
            usable: Candidates::default(),
            available: Candidates::default(),
            with_credits: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, upstream: Upstream) {
        self.remove(&upstream.agent);
        let is_local = upstream.data_centre == self.settings.data_centre;
        let agent = upstream.agent.clone();
        let view = Some(View::new(upstream, is_local));
        let index = match self.free_indices.pop() {
            Some(index) => index,
            None => {
                self.views.push(None);
                self.ranks.push(0);
                u32::try_from(self.views.len() - 1).unwrap_or(u32::MAX)
            }
        };
        self.views[index as usize] = view;
        self.indices.insert(agent, index);
        self.refresh(index);
    }

    pub(super) fn remove(&mut self, agent: &Process) {
        let Some(index) = self.indices.remove(agent) else {
            return;
        };
        self.views[index as usize] = None;
        self.usable.set(index, false);
        self.available.set(index, false);
        self.free_indices.push(index);
    }

    pub(super) fn get(&self, index: u32) -> Option<&View> {
        self.views.get(index as usize)?.as_ref()
    }

    /// The slots of all upstreams, and those that are open by the last load reports.
    pub(super) fn count_slots(&self) -> (u64, u64) {
        let views = self.views.iter().flatten();
        let counts = views.map(|view| (view.upstream.slots, view.load.open));
        counts.fold((0, 0), |(slots, open), (all, free)| {
            (slots + u64::from(all), open + u64::from(free))
        })
    }

    pub(super) fn index(&self, agent: &Process) -> Option<u32> {
        self.indices.get(agent).copied()
    }

    /// Changes a view and updates its rank and the sets.
    pub(super) fn change<T>(
        &mut self,
        index: u32,
        change: impl FnOnce(&mut View) -> T,
    ) -> Option<T> {
        let view = self.views.get_mut(index as usize)?.as_mut()?;
        let result = change(view);
        self.refresh(index);
        Some(result)
    }

    pub(super) fn apply_report(
        &mut self,
        agent: &Process,
        load: LoadReport,
        now: Duration,
    ) -> Option<u32> {
        let index = self.index(agent)?;
        self.change(index, |view| view.apply_report(load, now));
        if load.credit > 0 {
            self.with_credits.push(index);
        }
        Some(index)
    }

    /// Takes the upstreams that granted credits of which some are still unused. Each must
    /// be kept with [`Self::keep_credited`] as long as its credits are valid.
    pub(super) fn take_credited(&mut self) -> Vec<u32> {
        let mut credited = std::mem::take(&mut self.with_credits);
        credited.sort_unstable();
        credited.dedup();
        credited.retain(|index| self.get(*index).is_some_and(|view| view.credit > 0));
        credited
    }

    pub(super) fn keep_credited(&mut self, index: u32) {
        self.with_credits.push(index);
    }

    /// Drops the credits that are about to expire at the agents.
    pub(super) fn expire_credits(&mut self, now: Duration) {
        let lifetime = self.settings.credit_lifetime;
        for index in self.take_credited() {
            let expired = self.change(index, |view| {
                let expired = now.saturating_sub(view.credit_at) >= lifetime;
                if expired {
                    view.credit = 0;
                }
                expired
            });
            if expired == Some(false) {
                self.keep_credited(index);
            }
        }
    }

    pub(super) fn usable(&self) -> &Candidates {
        &self.usable
    }

    pub(super) fn draw_usable(&mut self) -> Option<u32> {
        self.usable.draw(&mut self.rng)
    }

    /// An upstream other than `avoid` that seems to have room: one drawn at random under
    /// [`PlacementPolicy::Random`], else the better of two.
    pub(super) fn pick_available(&mut self, avoid: Option<u32>) -> Option<u32> {
        if self.settings.policy == PlacementPolicy::Random {
            return self.draw_available(avoid);
        }
        let first = self.draw_available(avoid)?;
        let second = self.draw_available(avoid)?;
        Some(self.better_of(first, second))
    }

    /// An upstream to which a task due at `due` may be sent ahead of a free slot: of a few
    /// drawn at random, the one with the fewest own tasks before it, then the least loaded.
    pub(super) fn pick_for_prefetch(&mut self, due: Due, avoid: Option<u32>) -> Option<u32> {
        if self.settings.policy != PlacementPolicy::Credits || self.settings.prefetch == 0 {
            return None;
        }
        let mut best: Option<((i64, i64), u32)> = None;
        for _ in 0..MAX_DRAWS {
            let index = self.usable.draw(&mut self.rng)?;
            let Some(view) = self.get(index) else {
                continue;
            };
            let room = view.prefetch_room(due, self.settings.prefetch);
            let rank = (room, -view.estimated_load());
            let is_better = best.is_none_or(|(most, _)| rank > most);
            if room > 0 && is_better && Some(index) != avoid {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn draw_available(&mut self, avoid: Option<u32>) -> Option<u32> {
        for _ in 0..MAX_DRAWS {
            let index = self.available.draw(&mut self.rng)?;
            if Some(index) != avoid {
                return Some(index);
            }
        }
        let others = self.available.members().iter();
        others.copied().find(|index| Some(*index) != avoid)
    }

    /// The one with more room; between equals, one in the entry's data centre.
    fn better_of(&self, first: u32, second: u32) -> u32 {
        let rank = |index: u32| self.ranks.get(index as usize);
        if rank(second) > rank(first) {
            second
        } else {
            first
        }
    }

    fn room(&self, view: &View) -> i64 {
        view.room(self.settings.policy, self.settings.max_outstanding)
    }

    /// Updates the rank of an upstream and its membership of the sets.
    fn refresh(&mut self, index: u32) {
        let Some(view) = self.get(index) else {
            return;
        };
        let (usable, room, is_local) = (view.is_usable(), self.room(view), view.is_local);
        let room = i32::try_from(room.clamp(-MAX_ROOM, MAX_ROOM)).unwrap_or(0);
        self.ranks[index as usize] = room * 2 + i32::from(is_local);
        self.usable.set(index, usable);
        self.available.set(index, room > 0);
    }
}
