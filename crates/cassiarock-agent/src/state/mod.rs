//! The agent's decisions: takes frames and events and returns actions, without I/O or a clock
//! of its own.

mod action;
mod claims;
mod tasks;

pub(crate) use action::{Action, AssignedTask};

use cassiarock_claim::keeper::Keeper;
use cassiarock_claim::ledger::Ledger;
use cassiarock_claim::view::View;
use cassiarock_id::{Name, Process, Wall};
use cassiarock_policy::load::LoadReport;
use cassiarock_policy::place::TaskKey;
use cassiarock_policy::slot::{Settings, SlotScheduler};
use cassiarock_process::{Behind, Now};
use cassiarock_rule as rule;
use cassiarock_wire::{Frame, Ping, Pong};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often old records are removed from ledger and keeper: far shorter than the retention
/// time, and rare enough that the cost is negligible.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// The state of an agent.
#[derive(Debug)]
pub(crate) struct State {
    me: Process,
    pub(crate) ledger: Ledger,
    pub(crate) keeper: Keeper,
    pub(crate) slots: SlotScheduler,
    pub(crate) view: View,
    view_adopted_at: Duration,
    last_eviction: Duration,
    leaving: bool,
    healthy: bool,
    /// Tasks that wait for a slot.
    queued: HashMap<TaskKey, AssignedTask>,
    /// Tasks that run at the upstream.
    running: HashMap<TaskKey, AssignedTask>,
    /// The linked entries.
    entries: HashMap<Process, Entry>,
    /// The newest state of the log that this agent knows.
    rules: Arc<rule::State>,
    behind: Behind,
}

/// What an agent knows of a linked entry.
#[derive(Debug)]
struct Entry {
    /// The address at which it accepts links.
    address: Name,
    /// When it sent its last ping, by the entry's clock.
    last_ping_sent: Wall,
}

impl State {
    pub(crate) fn new(
        me: Process,
        slots: Settings,
        limit: cassiarock_claim::RetentionLimit,
    ) -> Self {
        Self {
            ledger: Ledger::new(me.clone(), limit),
            keeper: Keeper::new(me.clone(), limit),
            slots: SlotScheduler::new(slots),
            view: View::new(0, []),
            view_adopted_at: Duration::ZERO,
            last_eviction: Duration::ZERO,
            leaving: false,
            healthy: false,
            queued: HashMap::new(),
            running: HashMap::new(),
            entries: HashMap::new(),
            rules: Arc::default(),
            behind: Behind::default(),
            me,
        }
    }

    /// An entry opened a link. Its counts of the previous link are reset. Sends all linked
    /// entries the list of entries, which is their only way to learn of each other.
    pub(crate) fn link(&mut self, entry: Process, address: Name) -> Vec<Action> {
        self.slots.disconnect(&entry);
        let last_ping_sent = Wall::default();
        self.entries.insert(
            entry,
            Entry {
                address,
                last_ping_sent,
            },
        );
        let known = self.entries.iter();
        let known: Vec<(Process, Name)> = known
            .map(|(entry, known)| (entry.clone(), known.address.clone()))
            .collect();
        self.entries
            .keys()
            .map(|entry| Action::Send(entry.clone(), Frame::Entries(known.clone())))
            .collect()
    }

    /// The last link with an entry closed.
    pub(crate) fn unlink(&mut self, entry: &Process) {
        self.entries.remove(entry);
        self.slots.disconnect(entry);
    }

    /// Adopts a newer state of the log. Sends the entries a pong at once, because they place
    /// nothing until a majority of the agents has confirmed a new view.
    pub(crate) fn adopt(&mut self, rules: Arc<rule::State>, now: Now) -> Vec<Action> {
        self.rules = rules;
        let membership = &self.rules.membership;
        let members = membership.members.values();
        let view = View::new(
            membership.version,
            members.map(|member| member.process.clone()),
        );
        if view.version <= self.view.version {
            return Vec::new();
        }
        // The ledger treats the first version set as the one at which this agent joined.
        if !view.contains(&self.me) && self.view.version == 0 {
            return Vec::new();
        }
        self.ledger.set_view(view.version);
        self.view = view;
        self.view_adopted_at = now.up;
        let entries: Vec<(Process, Wall)> = self
            .entries
            .iter()
            .map(|(entry, known)| (entry.clone(), known.last_ping_sent))
            .collect();
        entries
            .into_iter()
            .map(|(entry, last_ping_sent)| self.pong(&entry, last_ping_sent, now))
            .collect()
    }

    /// Handles one frame from a linked entry.
    pub(crate) fn handle_frame(&mut self, entry: &Process, frame: Frame, now: Now) -> Vec<Action> {
        match frame {
            Frame::Ping(ping) => self.handle_ping(entry, &ping, now),
            Frame::Run { runs, ask } => self.handle_run(entry, runs, &ask, now),
            Frame::Demand(ask) => {
                self.slots.set_demand(entry, &ask, now.up);
                Vec::new()
            }
            Frame::Cancel(cancel) => self.handle_cancel(entry, &cancel, now),
            Frame::Ask(ask) => self.handle_claim(entry, &ask, now),
            Frame::Fence(fence) => self.handle_fence(entry, &fence, now),
            Frame::Find(job) => self.handle_find(entry, job),
            Frame::AskState => {
                let state = Frame::State(Arc::clone(&self.rules));
                vec![Action::Send(entry.clone(), state)]
            }
            Frame::State(state) => vec![Action::Offer(state)],
            Frame::HandOver(records) => self.accept_handover(entry, records),
            other => {
                log::warn!(from:% = entry; "unexpected frame: {other:?}");
                Vec::new()
            }
        }
    }

    /// Does what is due: runs queued tasks, sends grants and removes old records.
    pub(crate) fn poll(&mut self, now: Now) -> Vec<Action> {
        if now.up.saturating_sub(self.last_eviction) >= EVICTION_INTERVAL {
            self.last_eviction = now.up;
            self.ledger.evict(now.wall);
            self.keeper.evict(now.wall);
        }
        self.poll_slots(now)
    }

    /// Starts no new tasks from now on, and returns the queued ones.
    pub(crate) fn leave(&mut self, now: Now) -> Vec<Action> {
        self.leaving = true;
        self.ledger.leave();
        let entries = self.entries.keys();
        let mut actions: Vec<Action> = entries
            .map(|entry| Action::Send(entry.clone(), Frame::Leaving))
            .collect();
        actions.extend(self.return_queued(now));
        actions
    }

    /// Accepts new tasks again. The entries learn it from the membership.
    pub(crate) const fn cancel_leave(&mut self) {
        self.leaving = false;
        self.ledger.cancel_leave();
    }

    /// The numbers of waiting and of running tasks.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.queued.len(), self.running.len())
    }

    /// The latest time for the next call of `poll`.
    pub(crate) fn next_poll(&self) -> Option<Duration> {
        self.slots.next_poll()
    }

    /// The upstream's health changed. Slots of an unhealthy upstream are not offered, and starts
    /// that arrive anyway are rejected as not started.
    pub(crate) const fn set_healthy(&mut self, healthy: bool) {
        self.healthy = healthy;
    }

    /// Whether tasks can start here.
    pub(crate) fn is_ready(&self) -> bool {
        self.healthy && !self.leaving && self.view.contains(&self.me)
    }

    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn handle_ping(&mut self, entry: &Process, ping: &Ping, now: Now) -> Vec<Action> {
        if let Some(known) = self.entries.get_mut(entry) {
            known.last_ping_sent = ping.sent;
        }
        let mut actions = vec![self.pong(entry, ping.sent, now)];
        if self.behind.asks(self.rules.next, ping.next_offset, now.up) {
            actions.push(Action::Send(entry.clone(), Frame::AskState));
        }
        actions
    }

    /// Answers a ping that the entry sent at `sent`. A pong sent without a new ping repeats the
    /// time of the last one: apart from the view it proves no more than the answer to that ping.
    fn pong(&mut self, entry: &Process, sent: Wall, now: Now) -> Action {
        let adopted = now.up.saturating_sub(self.view_adopted_at);
        let pong = Pong {
            sent,
            view: self.view.version,
            next_offset: self.rules.next,
            adopted_ms: u64::try_from(adopted.as_millis()).unwrap_or(u64::MAX),
            load: self.load_for(entry, now),
            leaving: self.leaving,
        };
        Action::Send(entry.clone(), Frame::Pong(pong))
    }

    /// The load report for an entry. It offers no slots while the upstream is unhealthy.
    fn load_for(&mut self, entry: &Process, now: Now) -> LoadReport {
        let load = self.slots.load_report(entry, now.up);
        if self.healthy {
            return load;
        }
        LoadReport {
            open: 0,
            credit: 0,
            ..load
        }
    }
}
