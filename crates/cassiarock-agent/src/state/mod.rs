//! The agent's decisions: frames and events in, actions out, without I/O or clock.

mod action;
mod claims;
mod tasks;

pub(crate) use action::{Action, Work};

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

/// How often the memories forget what is too old: far below the time that is kept, and
/// rare enough to cost nothing.
const EVICT_EVERY: Duration = Duration::from_secs(1);

/// All that one agent knows.
#[derive(Debug)]
pub(crate) struct State {
    me: Process,
    pub(crate) ledger: Ledger,
    pub(crate) keeper: Keeper,
    pub(crate) pool: SlotScheduler,
    pub(crate) view: View,
    adopted: Duration,
    evicted: Duration,
    leaving: bool,
    healthy: bool,
    /// Tasks that wait for a slot.
    queued: HashMap<TaskKey, Work>,
    /// Tasks at the worker.
    running: HashMap<TaskKey, Work>,
    /// The linked entries.
    entries: HashMap<Process, Entry>,
    /// The log's state, as this agent knows it.
    rules: Arc<rule::State>,
    behind: Behind,
}

/// What an agent knows of a linked entry.
#[derive(Debug)]
struct Entry {
    /// Where it takes links itself.
    address: Name,
    /// When it sent its last ping, by its own clock.
    pinged: Wall,
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
            pool: SlotScheduler::new(slots),
            view: View::new(0, []),
            adopted: Duration::ZERO,
            evicted: Duration::ZERO,
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

    /// An entry opened a link. What it counted on the last one begins anew. All entries
    /// are told of each other: nothing else tells them.
    pub(crate) fn link(&mut self, entry: Process, address: Name) -> Vec<Action> {
        self.pool.disconnect(&entry);
        let pinged = Wall::default();
        self.entries.insert(entry, Entry { address, pinged });
        let known = self.entries.iter();
        let known: Vec<(Process, Name)> = known
            .map(|(entry, known)| (entry.clone(), known.address.clone()))
            .collect();
        self.entries
            .keys()
            .map(|entry| Action::Send(entry.clone(), Frame::Entries(known.clone())))
            .collect()
    }

    /// The last link with an entry is gone.
    pub(crate) fn unlink(&mut self, entry: &Process) {
        self.entries.remove(entry);
        self.pool.disconnect(entry);
    }

    /// The log's state moved on. The entries are told at once: until a majority of the
    /// agents has confirmed a new view, they place nothing.
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
        // The ledger takes its first version for the one at which this agent joined.
        if !view.contains(&self.me) && self.view.version == 0 {
            return Vec::new();
        }
        self.ledger.set_view(view.version);
        self.view = view;
        self.adopted = now.up;
        let entries: Vec<(Process, Wall)> = self
            .entries
            .iter()
            .map(|(entry, known)| (entry.clone(), known.pinged))
            .collect();
        entries
            .into_iter()
            .map(|(entry, pinged)| self.pong(&entry, pinged, now))
            .collect()
    }

    /// Takes in one frame from a linked entry.
    pub(crate) fn frame(&mut self, entry: &Process, frame: Frame, now: Now) -> Vec<Action> {
        match frame {
            Frame::Ping(ping) => self.ping(entry, &ping, now),
            Frame::Run { runs, ask } => self.run(entry, runs, &ask, now),
            Frame::Demand(ask) => {
                self.pool.set_demand(entry, &ask, now.up);
                Vec::new()
            }
            Frame::Cancel(cancel) => self.cancel(entry, &cancel, now),
            Frame::Ask(ask) => self.ask(entry, &ask, now),
            Frame::Fence(fence) => self.fence(entry, &fence, now),
            Frame::Find(job) => self.find(entry, job),
            Frame::AskState => {
                let state = Frame::State(Arc::clone(&self.rules));
                vec![Action::Send(entry.clone(), state)]
            }
            Frame::State(state) => vec![Action::Offer(state)],
            Frame::HandOver(records) => self.take(entry, records),
            other => {
                log::warn!(from:% = entry; "a frame that agents do not take: {other:?}");
                Vec::new()
            }
        }
    }

    /// What is due: queued tasks to run, grants to send, old records to forget.
    pub(crate) fn poll(&mut self, now: Now) -> Vec<Action> {
        if now.up.saturating_sub(self.evicted) >= EVICT_EVERY {
            self.evicted = now.up;
            self.ledger.evict(now.wall);
            self.keeper.evict(now.wall);
        }
        self.serve_pool(now)
    }

    /// From now on nothing new starts here.
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

    /// Takes new work again. The entries learn it from the membership.
    pub(crate) const fn stay(&mut self) {
        self.leaving = false;
        self.ledger.cancel_leave();
    }

    /// How many tasks wait and how many run.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.queued.len(), self.running.len())
    }

    /// When `poll` has to be called at the latest.
    pub(crate) fn wake(&self) -> Option<Duration> {
        self.pool.next_poll()
    }

    /// The worker's health changed. An unhealthy worker's slots are not offered, and
    /// starts that come all the same are proved not started.
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

    fn ping(&mut self, entry: &Process, ping: &Ping, now: Now) -> Vec<Action> {
        if let Some(known) = self.entries.get_mut(entry) {
            known.pinged = ping.sent;
        }
        let mut actions = vec![self.pong(entry, ping.sent, now)];
        if self.behind.asks(self.rules.next, ping.next_offset, now.up) {
            actions.push(Action::Send(entry.clone(), Frame::AskState));
        }
        actions
    }

    /// `sent` is when the entry sent its last ping: an unasked pong proves no more than
    /// the answer to that ping did, but for the view.
    fn pong(&mut self, entry: &Process, sent: Wall, now: Now) -> Action {
        let adopted = now.up.saturating_sub(self.adopted);
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

    /// What an entry is told of the slots.
    fn load_for(&mut self, entry: &Process, now: Now) -> LoadReport {
        let load = self.pool.load_report(entry, now.up);
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
