//! The upstreams that an entry knows, and the draw of one for a task.

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

/// How many draws are made for one task before its turn passes. An upstream that may
/// not run the task is drawn again only if nearly all candidates are such.
const DRAWS: usize = 6;

/// More room than this makes no difference.
const MOST_ROOM: i64 = 1 << 20;

/// The known upstreams. Those with room are kept in a set of their own, so that a
/// placement costs the same at thousands of upstreams as at a few.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    views: Vec<Option<View>>,
    index: HashMap<Process, u32>,
    vacant: Vec<u32>,
    /// What [`Self::better`] compares, by index: four bytes per upstream stay in the
    /// processor's cache where the views do not.
    ranks: Vec<i32>,
    usable: Candidates,
    roomy: Candidates,
    /// Upstreams whose credits may be unused.
    credited: Vec<u32>,
}

impl Pool {
    pub(super) fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: StdRng::seed_from_u64(seed),
            views: Vec::new(),
            index: HashMap::new(),
            vacant: Vec::new(),
            ranks: Vec::new(),
            usable: Candidates::default(),
            roomy: Candidates::default(),
            credited: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, upstream: Upstream) {
        self.remove(&upstream.agent);
        let near = upstream.data_centre == self.settings.data_centre;
        let agent = upstream.agent.clone();
        let view = Some(View::new(upstream, near));
        let index = match self.vacant.pop() {
            Some(index) => index,
            None => {
                self.views.push(None);
                self.ranks.push(0);
                u32::try_from(self.views.len() - 1).unwrap_or(u32::MAX)
            }
        };
        self.views[index as usize] = view;
        self.index.insert(agent, index);
        self.refresh(index);
    }

    pub(super) fn remove(&mut self, agent: &Process) {
        let Some(index) = self.index.remove(agent) else {
            return;
        };
        self.views[index as usize] = None;
        self.usable.set(index, false);
        self.roomy.set(index, false);
        self.vacant.push(index);
    }

    pub(super) fn get(&self, index: u32) -> Option<&View> {
        self.views.get(index as usize)?.as_ref()
    }

    /// All slots, and those that were open by the loads last heard.
    pub(super) fn count_slots(&self) -> (u64, u64) {
        let views = self.views.iter().flatten();
        let counts = views.map(|view| (view.upstream.slots, view.load.open));
        counts.fold((0, 0), |(slots, open), (all, free)| {
            (slots + u64::from(all), open + u64::from(free))
        })
    }

    pub(super) fn index(&self, agent: &Process) -> Option<u32> {
        self.index.get(agent).copied()
    }

    /// Changes a view and brings the sets in line with it.
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

    pub(super) fn hear(&mut self, agent: &Process, load: LoadReport, now: Duration) -> Option<u32> {
        let index = self.index(agent)?;
        self.change(index, |view| view.hear(load, now));
        if load.credit > 0 {
            self.credited.push(index);
        }
        Some(index)
    }

    /// The upstreams that gave credits since the last call and still have some unused.
    pub(super) fn take_credited(&mut self) -> Vec<u32> {
        let mut credited = std::mem::take(&mut self.credited);
        credited.sort_unstable();
        credited.dedup();
        credited.retain(|index| self.get(*index).is_some_and(|view| view.credit > 0));
        credited
    }

    pub(super) fn keep_credited(&mut self, index: u32) {
        self.credited.push(index);
    }

    /// Forgets credits that the agents have let expire.
    pub(super) fn expire_credits(&mut self, now: Duration) {
        let hold = self.settings.credit_lifetime;
        for index in self.take_credited() {
            let expired = self.change(index, |view| {
                let expired = now.saturating_sub(view.credit_at) >= hold;
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

    /// An upstream with room that is not `avoid`.
    pub(super) fn pick(&mut self, avoid: Option<u32>) -> Option<u32> {
        if self.settings.policy == PlacementPolicy::Random {
            return self.draw(avoid);
        }
        let first = self.draw(avoid)?;
        let second = self.draw(avoid)?;
        Some(self.better(first, second))
    }

    /// An upstream where a task due at `due` may wait ahead of this entry's other tasks:
    /// of a few drawn, the one with the fewest own tasks before it, then the least loaded.
    pub(super) fn pick_ahead(&mut self, due: Due, avoid: Option<u32>) -> Option<u32> {
        if self.settings.policy != PlacementPolicy::Credits || self.settings.prefetch == 0 {
            return None;
        }
        let mut best: Option<((i64, i64), u32)> = None;
        for _ in 0..DRAWS {
            let index = self.usable.draw(&mut self.rng)?;
            let Some(view) = self.get(index) else {
                continue;
            };
            let room = view.room_before(due, self.settings.prefetch);
            let rank = (room, -view.believed());
            let is_better = best.is_none_or(|(most, _)| rank > most);
            if room > 0 && is_better && Some(index) != avoid {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn draw(&mut self, avoid: Option<u32>) -> Option<u32> {
        for _ in 0..DRAWS {
            let index = self.roomy.draw(&mut self.rng)?;
            if Some(index) != avoid {
                return Some(index);
            }
        }
        let others = self.roomy.members().iter();
        others.copied().find(|index| Some(*index) != avoid)
    }

    /// The one with more room; the nearer one between equals.
    fn better(&self, first: u32, second: u32) -> u32 {
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

    fn refresh(&mut self, index: u32) {
        let Some(view) = self.get(index) else {
            return;
        };
        let (usable, room, near) = (view.usable(), self.room(view), view.near);
        let room = i32::try_from(room.clamp(-MOST_ROOM, MOST_ROOM)).unwrap_or(0);
        self.ranks[index as usize] = room * 2 + i32::from(near);
        self.usable.set(index, usable);
        self.roomy.set(index, room > 0);
    }
}
