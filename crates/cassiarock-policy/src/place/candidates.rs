//! A set of upstream indices that is sampled at constant cost.

use rand::RngExt;
use rand::rngs::StdRng;

/// A set of small integers with uniform random draws. Insert, remove and draw take
/// constant time, whatever the number of upstreams.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    members: Vec<u32>,
    /// By index: its position in `members` plus one, or 0 if it is not a member.
    positions: Vec<u32>,
}

impl Candidates {
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn members(&self) -> &[u32] {
        &self.members
    }

    pub(super) fn set(&mut self, index: u32, member: bool) {
        if member {
            self.insert(index);
        } else {
            self.remove(index);
        }
    }

    pub(super) fn draw(&self, rng: &mut StdRng) -> Option<u32> {
        if self.members.is_empty() {
            return None;
        }
        Some(self.members[rng.random_range(0..self.members.len())])
    }

    fn insert(&mut self, index: u32) {
        let at = index as usize;
        if self.positions.len() <= at {
            self.positions.resize(at + 1, 0);
        }
        if self.positions[at] != 0 {
            return;
        }
        self.members.push(index);
        self.positions[at] = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
    }

    fn remove(&mut self, index: u32) {
        let Some(position) = self.positions.get_mut(index as usize) else {
            return;
        };
        let at = std::mem::take(position);
        if at == 0 {
            return;
        }
        self.members.swap_remove(at as usize - 1);
        if let Some(moved) = self.members.get(at as usize - 1) {
            self.positions[*moved as usize] = at;
        }
    }
}
