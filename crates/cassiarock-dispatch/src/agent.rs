//! The agent's actor: a host with its links and its upstream.

use crate::line::tell;
use crate::links::send;
use crate::orders::Orders;
use cassiarock_adapter::reports::Report;
use cassiarock_adapter::worker::Target;
use cassiarock_id::Process;
use cassiarock_peer::{Dialer, Event, Identity, Key, Links};
use cassiarock_process::{Clock, Status};
use cassiarock_transient::directory::{Place, Taken};
use cassiarock_transient::host::{Action, Answer, Look, Task};
use cassiarock_transient::roster::{Roster, Step};
use cassiarock_transient::{Host, Life, Message, directory, evacuation};
use cassiarock_wire::{Frame, Hello};
use kameo::Actor;
use kameo::message::{Context, Message as Handle};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// An entry that was asked for the directory has answered within this time.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// What a look asks for.
#[derive(Clone, Debug)]
pub(crate) struct Glance {
    /// The life of the upstream to look at.
    pub(crate) target: Target,
    /// The last end taken.
    pub(crate) seen: u64,
    /// Until when to renew the leases.
    pub(crate) until: Option<u64>,
    /// How long it waits for an end.
    pub(crate) wait: Duration,
    /// The agent's clock.
    pub(crate) asked: Duration,
}

impl Glance {
    /// The same, for an upstream that has left an answer out: it may have started again under its
    /// id. A lease by the clock of its former life would reach far too long in the new one, and
    /// the number of an end there says nothing of the new one's.
    pub(crate) fn without_renewal(self) -> Self {
        Self {
            seen: 0,
            until: None,
            wait: Duration::ZERO,
            ..self
        }
    }

    /// The same without a wait.
    pub(crate) fn without_wait(self) -> Self {
        Self {
            wait: Duration::ZERO,
            ..self
        }
    }
}

/// What happens to an agent.
#[derive(Debug)]
pub(crate) enum Input {
    /// The upstream reports.
    Report(Report),
    /// Something on a link.
    Link(Event),
    /// An entry takes links there.
    Entry(SocketAddr),
    /// What the directory of entries holds.
    Directory(directory::Update),
    /// A life of the upstream answered a start.
    Started(Life, Task, Answer, Option<u64>),
    /// A life of the upstream answered a stop.
    Stopped(Life, Task, Option<u64>),
    /// What shall the next look ask for? None without an upstream.
    Glance(oneshot::Sender<Option<Glance>>),
    /// What a look showed.
    Look(Look),
    /// This life of the upstream is gone; another one answers.
    Gone(Life),
    /// This life of the upstream has seen a higher fence than this agent's.
    Fenced(Life),
    /// Take no new tasks.
    Leave,
}

/// Inputs handed to the actor at once. The reply is how long nothing is due.
pub(crate) struct Batch(pub(crate) Vec<Input>);

/// The shell around the host.
#[derive(Actor)]
pub(crate) struct Agent {
    pub(crate) host: Host,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) roster: Roster,
    pub(crate) dialers: HashMap<SocketAddr, Dialer>,
    pub(crate) identity: Identity,
    pub(crate) key: Key,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) orders: Orders,
    pub(crate) status: watch::Sender<Status>,
    /// Where entries take links, as they have announced.
    pub(crate) directory: directory::State,
    /// The entry that said last that it knows more of the directory, and up to where.
    pub(crate) ahead: Option<(Process, u64)>,
    /// When an entry was last asked for the whole directory.
    pub(crate) asked: Option<Duration>,
    /// Which data centres operators are emptying, as entries say.
    pub(crate) evacuations: evacuation::State,
}

impl Handle<Batch> for Agent {
    type Reply = Result<Duration, Infallible>;

    async fn handle(&mut self, batch: Batch, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now().up;
        for input in batch.0 {
            let actions = self.take(input, now);
            self.carry_out(actions);
        }
        let actions = self.host.poll(now);
        self.carry_out(actions);
        self.ask_directory(now);
        self.keep_links(now);
        self.report();
        Ok(self.host.wake(now).saturating_sub(now))
    }
}

impl Agent {
    fn take(&mut self, input: Input, now: Duration) -> Vec<Action> {
        match input {
            Input::Report(Report::Here(worker)) => self.host.report(worker, now),
            Input::Report(Report::Gone(id)) => self.host.deregister(&id, now),
            Input::Gone(life) => self.host.replaced(&life, now),
            Input::Fenced(life) => self.host.fenced(&life),
            Input::Link(event) => self.event(event, now),
            Input::Entry(address) => {
                // Where it is comes with the directory.
                self.meet(address, false);
                Vec::new()
            }
            Input::Directory(update) => {
                self.direct(&update);
                Vec::new()
            }
            Input::Started(life, task, answer, clock) => {
                self.host.started(&life, &task, answer, clock, now)
            }
            Input::Stopped(life, task, clock) => self.host.stopped(&life, &task, clock, now),
            Input::Glance(reply) => {
                // The looks end with the process.
                let _ = reply.send(self.glance(now));
                Vec::new()
            }
            Input::Look(look) => self.host.look(&look, now),
            Input::Leave => {
                self.status.send_modify(|status| status.leaving = true);
                self.host.leave()
            }
        }
    }

    fn glance(&mut self, now: Duration) -> Option<Glance> {
        let target = self.target().filter(|_| !self.is_upstream_gone())?;
        Some(Glance {
            target,
            seen: self.host.seen(now),
            until: self.host.renew(now),
            wait: self.host.wait(),
            asked: now,
        })
    }

    fn target(&self) -> Option<Target> {
        let worker = self.host.worker()?;
        Some(Target {
            life: worker.life(),
            fence: self.host.fence(),
        })
    }

    fn is_upstream_gone(&self) -> bool {
        self.host.worker().is_none_or(|worker| worker.is_gone)
    }

    fn event(&mut self, event: Event, now: Duration) -> Vec<Action> {
        match event {
            Event::Up(link) => {
                let peer = link.peer.clone();
                log::info!(dependency:% = peer.process; "link opened");
                if let Some(address) = link.dialled {
                    self.roster.up(address, peer.process.clone(), link.serial);
                }
                self.links.open(link);
                self.host.link(&peer.process, now)
            }
            Event::Frame(peer, Frame::Transient(message)) if self.links.is_newest(&peer) => {
                self.message(&peer, message, now)
            }
            Event::Frame(..) => Vec::new(),
            Event::Down(peer, serial) => {
                self.roster.down(serial, now);
                if self.links.close(&peer.process, serial) {
                    log::warn!(dependency:% = peer.process; "link lost");
                    self.host.unlink(&peer.process);
                }
                Vec::new()
            }
        }
    }

    fn message(&mut self, peer: &Hello, message: Message, now: Duration) -> Vec<Action> {
        match message {
            Message::Entries(entries) => {
                let known: Vec<_> = entries.iter().filter_map(|at| self.locate(at)).collect();
                for (address, is_near) in known {
                    self.roster.tell(address, is_near);
                }
                Vec::new()
            }
            Message::Directory(update) => {
                if self.direct(&update) == Taken::Gap {
                    self.ahead = Some((peer.process.clone(), update.next));
                }
                Vec::new()
            }
            Message::Evacuations(state) => self.evacuate(&state, &peer.process),
            message => self.host.message(&peer.process, message, now),
        }
    }

    /// Takes what has changed in the directory of entries.
    fn direct(&mut self, update: &directory::Update) -> Taken {
        let taken = self.directory.take(update);
        if let Taken::Changed { added, removed } = &taken {
            log::info!(added = added, removed = removed.len(), offset = update.next; "directory of entries");
            // Each present one, known or not: it may have started again.
            let present: Vec<_> = update
                .present
                .iter()
                .filter_map(|at| self.locate(at))
                .collect();
            for (address, is_near) in present {
                self.meet(address, is_near);
            }
            let gone = removed.iter().filter_map(|address| address.parse().ok());
            let steps: Vec<Step> = gone.filter_map(|at| self.roster.forget(at)).collect();
            steps.into_iter().for_each(|step| self.step(step));
        }
        taken
    }

    /// Asks the entry that knows more than this agent for the whole directory, again if no answer
    /// comes. Once its link is gone, another one tells with its own link how far it knows.
    fn ask_directory(&mut self, now: Duration) {
        let Some((entry, next)) = &self.ahead else {
            return;
        };
        if *next <= self.directory.next() {
            self.ahead = None;
            return;
        }
        if self.asked.is_some_and(|at| now < at + ASK_AGAIN) {
            return;
        }
        self.asked = Some(now);
        send(&self.links, entry, Message::AskDirectory);
    }

    /// The address of a place, and whether it is in this agent's data centre. A record of another
    /// writer may name none.
    fn locate(&self, place: &Place) -> Option<(SocketAddr, bool)> {
        let is_near = place.data_centre == self.identity.data_centre;
        Some((place.address.parse().ok()?, is_near))
    }

    /// An entry takes links there, perhaps since a moment.
    fn meet(&mut self, address: SocketAddr, is_near: bool) {
        self.roster.tell(address, is_near);
        if let Some(dialer) = self.dialers.get(&address) {
            dialer.nudge();
        }
    }

    fn evacuate(&mut self, state: &evacuation::State, from: &Process) -> Vec<Action> {
        if self.evacuations.adopt(state).is_none() {
            return Vec::new();
        }
        let is_evacuated = self.evacuations.covers(&self.identity.data_centre);
        if is_evacuated != self.host.is_evacuated() {
            log::info!(evacuated = is_evacuated, offset = state.next(), from:% = from, running = self.host.running(); "evacuation");
        }
        metrics::gauge!("cassiarock_evacuated").set(f64::from(u8::from(is_evacuated)));
        self.host.evacuate(is_evacuated)
    }

    /// Links to the entries that the roster wants, and to no others.
    fn keep_links(&mut self, now: Duration) {
        let host = &self.host;
        let steps = self.roster.poll(now, |entry| host.has_tasks(entry));
        for step in steps {
            self.step(step);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Dial(address) => {
                let (me, key) = (self.identity.clone(), self.key.clone());
                let dialer = Dialer::new(address, None, me, key, self.events.clone());
                self.dialers.insert(address, dialer);
            }
            Step::Drop(address) => {
                log::info!(address:% = address; "not linked any more");
                self.dialers.remove(&address);
            }
            Step::Retire(entry) => self.retire(&entry, true),
            Step::Resume(entry) => self.retire(&entry, false),
        }
    }

    fn retire(&mut self, entry: &Process, is_retired: bool) {
        log::info!(dependency:% = entry, retired = is_retired; "link is one too many");
        let actions = self.host.retire(entry, is_retired);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => send(&self.links, &to, message),
                Action::Start { task, spec, until } => {
                    if let Some(target) = self.target() {
                        self.orders.start(target, task, spec, until);
                    }
                }
                Action::Stop(task) => {
                    if let Some(target) = self.target() {
                        self.orders.stop(target, task);
                    }
                }
                Action::Look => {
                    let now = self.clock.now().up;
                    if let Some(glance) = self.glance(now) {
                        self.orders.look_now(glance);
                    }
                }
                Action::Tell(decision) => tell(&decision),
            }
        }
    }

    fn report(&self) {
        let (running, links) = (self.host.running(), self.links.len());
        let ready = !self.is_upstream_gone();
        metrics::gauge!("cassiarock_tasks_running").set(running as f64);
        self.status.send_if_modified(|status| {
            let before = status.clone();
            status.ready = ready;
            status.running = running;
            status.links = links;
            *status != before
        });
    }
}
