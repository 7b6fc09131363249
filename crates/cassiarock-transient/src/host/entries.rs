//! Entries: their links, and what they are told.

use super::owner::Owner;
use super::{Action, Host, millis};
use crate::message::{Attempt, Ending, Message};
use crate::timing::BEAT;
use cassiarock_id::Process;
use std::time::Duration;

impl Host {
    /// A link to `entry` opened: tell it all it needs, and which of its attempts are here.
    pub fn link(&mut self, entry: &Process, now: Duration) -> Vec<Action> {
        let owner = self.owners.entry(entry.clone()).or_default();
        owner.link();
        let mut held: Vec<Attempt> = self.runs.of(entry).collect();
        held.extend(owner.kept.iter().map(|(_, ending)| ending.attempt));
        let kept: Vec<Ending> = owner.kept.iter().map(|(_, ending)| *ending).collect();
        let upstream = self.upstream_for(entry);
        let mut actions = vec![
            Action::Send(entry.clone(), Message::Upstream(upstream)),
            Action::Send(entry.clone(), Message::Held(held)),
        ];
        if !kept.is_empty() {
            let message = self.ended(entry, kept, now);
            actions.push(Action::Send(entry.clone(), message));
        }
        actions.push(self.beat_for(entry, now));
        actions
    }

    /// The link to `entry` is gone. Its attempts go on for a while: it may come back.
    pub fn unlink(&mut self, entry: &Process) {
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.is_linked = false;
        }
    }

    /// The link to `entry` is to be closed, or is to be kept after all: the entry places
    /// nothing here meanwhile.
    pub fn retire(&mut self, entry: &Process, is_retired: bool) -> Vec<Action> {
        let Some(owner) = self.owners.get_mut(entry) else {
            return Vec::new();
        };
        owner.is_retired = is_retired;
        let message = Message::Upstream(self.upstream_for(entry));
        vec![Action::Send(entry.clone(), message)]
    }

    /// Whether tasks of `entry` are here.
    #[must_use]
    pub fn has_tasks(&self, entry: &Process) -> bool {
        self.runs.has(entry)
    }

    /// A frame of an entry: `echo` is this agent's clock as the entry last heard it, `waiting`
    /// what its waiting tasks want, in thousandths of a core.
    pub fn heard(&mut self, entry: &Process, echo: Duration, waiting: u64) {
        let owner = self.owners.entry(entry.clone()).or_default();
        owner.heard(echo, waiting);
    }

    /// Tells the entry with the most waiting tasks of room that has become free.
    ///
    /// The load that this answers is a burst. An end is told to the entry whose task it was; an
    /// entry with few tasks here heard of the room with the next heartbeat, when others had
    /// taken it: of eight entries with like callers some had 50 jobs waiting and refused one
    /// in ten, others none.
    pub(super) fn offer(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let free = self.free().cpu;
        let owners = self.owners.iter_mut();
        let waiting =
            owners.filter(|(_, owner)| owner.is_linked && !owner.is_retired && owner.waiting > 0);
        let Some((entry, owner)) = waiting.max_by_key(|(_, owner)| owner.waiting) else {
            return;
        };
        // The next room goes to another one, unless this one says again that it needs more.
        owner.waiting = owner.waiting.saturating_sub(free);
        if owner.told == now {
            return;
        }
        owner.told = now;
        let entry = entry.clone();
        actions.push(self.beat_for(&entry, now));
    }

    /// A heartbeat to each entry that has been told nothing for a while. Ends carry the same,
    /// so that under load few are needed: at 52 agents and 8 entries they were half of all
    /// messages.
    pub(super) fn broadcast(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due = |owner: &Owner| owner.is_linked && now >= owner.told + BEAT;
        let due: Vec<Process> = self
            .owners
            .iter()
            .filter(|(_, owner)| due(owner))
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in due {
            actions.push(self.beat_for(&entry, now));
            if let Some(owner) = self.owners.get_mut(&entry) {
                owner.told = now;
            }
        }
    }

    pub(super) fn beat_for(&self, entry: &Process, now: Duration) -> Action {
        let message = Message::AgentBeat {
            clock: millis(now),
            load: self.load(entry, now),
        };
        Action::Send(entry.clone(), message)
    }
}
