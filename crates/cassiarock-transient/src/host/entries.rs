//! Entries: their links, and what they are told.

use super::entry_state::EntryState;
use super::{Action, Host, millis};
use crate::message::{Attempt, AttemptResult, Message};
use crate::timing::HEARTBEAT_INTERVAL;
use cassiarock_id::Process;
use std::time::Duration;

/// A heartbeat that is due within this time goes along with one that is due now.
const HEARTBEAT_COALESCING: Duration = Duration::from_millis(30);

/// An entry that has been told of the room within this time knows enough of it.
const RECENTLY_NOTIFIED: Duration = Duration::from_millis(10);

impl Host {
    /// A link to `entry` opened: tell it all it needs, and which of its attempts are here.
    pub fn link(&mut self, entry: &Process, now: Duration) -> Vec<Action> {
        let state = self.entries.entry(entry.clone()).or_default();
        state.link();
        let mut held: Vec<Attempt> = self.runs.attempts_of(entry).collect();
        held.extend(state.retained.iter().map(|(_, result)| result.attempt));
        let retained: Vec<AttemptResult> =
            state.retained.iter().map(|(_, result)| *result).collect();
        let upstream = self.upstream_for(entry);
        let mut actions = vec![
            Action::Send(entry.clone(), Message::Upstream(upstream)),
            Action::Send(entry.clone(), Message::Held(held)),
        ];
        if !retained.is_empty() {
            let message = self.ended_message(entry, retained, now);
            actions.push(Action::Send(entry.clone(), message));
        }
        actions.push(self.heartbeat_for(entry, now));
        actions
    }

    /// A message of an entry; those that are not for an agent's host are left out.
    pub fn handle_message(
        &mut self,
        entry: &Process,
        message: Message,
        now: Duration,
    ) -> Vec<Action> {
        match message {
            Message::Orders {
                serial,
                echo,
                orders,
                ask,
            } => {
                let echo = Duration::from_millis(echo);
                let mut actions = self.handle_orders(entry, serial, echo, orders, now);
                self.record_request(entry, ask, now);
                self.offer(now, &mut actions);
                actions
            }
            Message::Halt(attempts) => self.handle_halt(entry, &attempts, now),
            Message::EntryHeartbeat { echo, ask, .. } => {
                self.record_echo(entry, Duration::from_millis(echo));
                self.record_request(entry, ask, now);
                let mut actions = Vec::new();
                self.offer(now, &mut actions);
                actions
            }
            _ => Vec::new(),
        }
    }

    /// The link to `entry` is gone. Its attempts go on for a while: it may come back.
    pub fn unlink(&mut self, entry: &Process) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.is_linked = false;
        }
    }

    /// The link to `entry` is to be closed, or is to be kept after all: the entry places
    /// nothing here meanwhile.
    pub fn set_retired(&mut self, entry: &Process, is_retired: bool) -> Vec<Action> {
        let Some(state) = self.entries.get_mut(entry) else {
            return Vec::new();
        };
        state.is_retired = is_retired;
        let message = Message::Upstream(self.upstream_for(entry));
        vec![Action::Send(entry.clone(), message)]
    }

    /// Whether tasks of `entry` are here.
    #[must_use]
    pub fn has_tasks(&self, entry: &Process) -> bool {
        self.runs.has_entry(entry)
    }

    /// An entry's heartbeat.
    pub fn record_echo(&mut self, entry: &Process, echo: Duration) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.record_echo(echo);
        }
    }

    /// A heartbeat to each entry that has been told nothing for a while. Ends carry the same,
    /// so that under load few are needed.
    ///
    /// The load that this answers is that of quiet links: with a time of its own for each, an
    /// agent woke up for every heartbeat that it sent.
    pub(super) fn send_due_heartbeats(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let linked = self.entries.iter().filter(|(_, state)| state.is_linked);
        let silent = |state: &EntryState| now.saturating_sub(state.last_load_sent);
        if linked
            .clone()
            .all(|(_, state)| silent(state) < HEARTBEAT_INTERVAL)
        {
            return;
        }
        let due = linked.filter(|(_, state)| silent(state) + HEARTBEAT_COALESCING >= HEARTBEAT_INTERVAL);
        let due: Vec<Process> = due.map(|(entry, _)| entry.clone()).collect();
        for entry in due {
            self.send_heartbeat(&entry, now, actions);
        }
    }

    /// Tells one entry more than `owner` of the room that an end has freed: the one that has
    /// been told longest ago.
    ///
    /// The load that this answers is a nearly full system. An end is told to the entry whose
    /// task it was, which may have nothing to place, and to others with the next heartbeat only,
    /// up to a tenth of a second later, while their jobs wait.
    pub(super) fn notify_another_entry(
        &mut self,
        state: &Process,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let others = self.entries.iter().filter(|(entry, _)| *entry != state);
        let others = others.filter(|(_, other)| {
            other.is_linked && now >= other.last_load_sent + RECENTLY_NOTIFIED
        });
        let longest = others.min_by_key(|(_, other)| other.last_load_sent);
        if let Some(entry) = longest.map(|(entry, _)| entry.clone()) {
            self.send_heartbeat(&entry, now, actions);
        }
    }

    /// A heartbeat to each linked entry at once: its room has changed by no task's end.
    pub(super) fn send_heartbeat_to_all(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let linked = self.entries.iter().filter(|(_, state)| state.is_linked);
        let linked: Vec<Process> = linked.map(|(entry, _)| entry.clone()).collect();
        for entry in linked {
            self.send_heartbeat(&entry, now, actions);
        }
    }

    pub(super) fn send_heartbeat(
        &mut self,
        entry: &Process,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        actions.push(self.heartbeat_for(entry, now));
        if let Some(state) = self.entries.get_mut(entry) {
            state.last_load_sent = now;
        }
    }

    pub(super) fn heartbeat_for(&self, entry: &Process, now: Duration) -> Action {
        let message = Message::AgentHeartbeat {
            clock: millis(now),
            load: self.load(entry, now),
        };
        Action::Send(entry.clone(), message)
    }
}
