//! Links to entries, and the messages sent to them.

use super::entry_state::EntryState;
use super::{Action, Host, millis};
use crate::message::{Attempt, AttemptResult, Message};
use crate::timing::HEARTBEAT_INTERVAL;
use cassiarock_id::Process;
use std::time::Duration;

/// A heartbeat that is due within this time is sent together with one that is due now.
const HEARTBEAT_COALESCING: Duration = Duration::from_millis(30);

/// An entry that was sent the load within this time is not notified again.
const RECENTLY_NOTIFIED: Duration = Duration::from_millis(10);

impl Host {
    /// Handles a new link to `entry`: sends the upstream, the entry's attempts here, its retained
    /// results and the load.
    pub fn link(&mut self, entry: &Process, now: Duration) -> Vec<Action> {
        let state = self.entries.entry(entry.clone()).or_default();
        state.link();
        let mut held: Vec<Attempt> = self.runs.attempts_of(entry).collect();
        held.extend(self.parked.iter().filter(|parked| parked.entry == *entry).map(|parked| parked.task.attempt));
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

    /// Handles a message from an entry; messages that do not concern the host are ignored.
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

    /// Handles the loss of the link to `entry`. Its attempts continue for a while: the link may
    /// come back.
    pub fn unlink(&mut self, entry: &Process) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.is_linked = false;
        }
    }

    /// Tells `entry` to place no more tasks here because its link is about to be closed, or that it
    /// may do so again.
    pub fn set_retired(&mut self, entry: &Process, is_retired: bool) -> Vec<Action> {
        let Some(state) = self.entries.get_mut(entry) else {
            return Vec::new();
        };
        state.is_retired = is_retired;
        let message = Message::Upstream(self.upstream_for(entry));
        vec![Action::Send(entry.clone(), message)]
    }

    /// Whether `entry` has tasks here.
    #[must_use]
    pub fn has_tasks(&self, entry: &Process) -> bool {
        self.runs.has_entry(entry)
    }

    /// Records the clock that a heartbeat of an entry echoes.
    pub fn record_echo(&mut self, entry: &Process, echo: Duration) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.record_echo(echo);
        }
    }

    /// Sends a heartbeat to each entry that has been sent nothing for a while. Results carry the
    /// same load, so that few heartbeats are needed while tasks end.
    ///
    /// Heartbeats that are due at about the same time are sent together: with a separate time for
    /// each quiet link, an agent woke up for every heartbeat that it sent.
    pub(super) fn send_due_heartbeats(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let linked = self.entries.iter().filter(|(_, state)| state.is_linked);
        let silent = |state: &EntryState| now.saturating_sub(state.last_load_sent);
        if linked
            .clone()
            .all(|(_, state)| silent(state) < HEARTBEAT_INTERVAL)
        {
            return;
        }
        let due =
            linked.filter(|(_, state)| silent(state) + HEARTBEAT_COALESCING >= HEARTBEAT_INTERVAL);
        let due: Vec<Process> = due.map(|(entry, _)| entry.clone()).collect();
        for entry in due {
            self.send_heartbeat(&entry, now, actions);
        }
    }

    /// Notifies one entry other than `excluded` of the capacity that a result has freed: the one that
    /// was last sent the load longest ago.
    ///
    /// This matters in a nearly full system. The entry whose task ended may have nothing to place,
    /// and the others would learn of the free capacity only with the next heartbeat, up to 100 ms
    /// later, while their jobs wait.
    pub(super) fn notify_another_entry(
        &mut self,
        excluded: &Process,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let others = self.entries.iter().filter(|(entry, _)| *entry != excluded);
        let others = others.filter(|(_, other)| {
            other.is_linked && now >= other.last_load_sent + RECENTLY_NOTIFIED
        });
        let longest = others.min_by_key(|(_, other)| other.last_load_sent);
        if let Some(entry) = longest.map(|(entry, _)| entry.clone()) {
            self.send_heartbeat(&entry, now, actions);
        }
    }

    /// Sends a heartbeat to each linked entry at once, after the free capacity changed without a
    /// result.
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

    pub(super) fn heartbeat_for(&mut self, entry: &Process, now: Duration) -> Action {
        let message = Message::AgentHeartbeat {
            clock: millis(now),
            load: self.load(entry, now),
        };
        Action::Send(entry.clone(), message)
    }
}
