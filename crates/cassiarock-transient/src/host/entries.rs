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

    /// An entry's heartbeat.
    pub fn heard(&mut self, entry: &Process, echo: Duration) {
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.heard(echo);
        }
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
