//! The agent's actor: a host with its links and its upstream.

use crate::decision_log::log_decision;
use crate::links::send;
use crate::mesh::{Mesh, Retired};
use crate::orders::Orders;
use cassiarock_adapter::reports::Report;
use cassiarock_adapter::worker::Target;
use cassiarock_id::Process;
use cassiarock_peer::{Event, Links};
use cassiarock_process::{Clock, Status};
use cassiarock_transient::directory::Taken;
use cassiarock_transient::host::{Action, Answer, Snapshot, Task};
use cassiarock_transient::{Host, Life, Message, directory, evacuation};
use cassiarock_wire::{Frame, Hello};
use kameo::Actor;
use kameo::message::{Context, Message as Handle};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// An entry that was asked for the directory has answered within this time.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// What a poll asks for.
#[derive(Clone, Debug)]
pub(crate) struct Poll {
    /// The life of the upstream to poll.
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

impl Poll {
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
    /// What shall the next poll ask for? None without an upstream.
    Poll(oneshot::Sender<Option<Poll>>),
    /// What a poll showed.
    Snapshot(Snapshot),
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
    pub(crate) mesh: Mesh,
    pub(crate) orders: Orders,
    pub(crate) status: watch::Sender<Status>,
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
            Input::Report(Report::Heartbeat(worker)) => self.host.report(worker, now),
            Input::Report(Report::Deregistered(id)) => self.host.deregister(&id, now),
            Input::Gone(life) => self.host.replaced(&life, now),
            Input::Fenced(life) => self.host.fenced(&life),
            Input::Link(event) => self.event(event, now),
            Input::Entry(address) => {
                self.mesh.meet_seed(address);
                Vec::new()
            }
            Input::Directory(update) => {
                self.mesh.direct(&update);
                Vec::new()
            }
            Input::Started(life, task, answer, clock) => {
                self.host.started(&life, &task, answer, clock, now)
            }
            Input::Stopped(life, task, clock) => self.host.stopped(&life, &task, clock, now),
            Input::Poll(reply) => {
                // The polls end with the process.
                let _ = reply.send(self.next_poll(now));
                Vec::new()
            }
            Input::Snapshot(snapshot) => self.host.observe(&snapshot, now),
            Input::Leave => {
                self.status.send_modify(|status| status.leaving = true);
                self.host.leave()
            }
        }
    }

    fn next_poll(&mut self, now: Duration) -> Option<Poll> {
        let target = self.target().filter(|_| !self.is_upstream_gone())?;
        Some(Poll {
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
            incarnation: worker.life(),
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
                self.mesh.up(&link);
                self.links.open(link);
                self.host.link(&peer.process, now)
            }
            Event::Frame(peer, Frame::Transient(message)) if self.links.is_newest(&peer) => {
                self.message(&peer, message, now)
            }
            Event::Frame(..) => Vec::new(),
            Event::Down(peer, serial) => {
                self.mesh.down(serial, now);
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
                entries.iter().for_each(|place| self.mesh.meet(place));
                Vec::new()
            }
            Message::Directory(update) => {
                if self.mesh.direct(&update) == Taken::Gap {
                    self.ahead = Some((peer.process.clone(), update.next));
                }
                Vec::new()
            }
            Message::Evacuations(state) => self.evacuate(&state, &peer.process),
            message => self.host.message(&peer.process, message, now),
        }
    }

    /// Asks the entry that knows more than this agent for the whole directory, again if no answer
    /// comes. Once its link is gone, another one tells with its own link how far it knows.
    fn ask_directory(&mut self, now: Duration) {
        let Some((entry, next)) = &self.ahead else {
            return;
        };
        if *next <= self.mesh.directory().next() {
            self.ahead = None;
            return;
        }
        if self.asked.is_some_and(|at| now < at + ASK_AGAIN) {
            return;
        }
        self.asked = Some(now);
        send(&self.links, entry, Message::AskDirectory);
    }

    fn evacuate(&mut self, state: &evacuation::State, from: &Process) -> Vec<Action> {
        if self.evacuations.adopt(state).is_none() {
            return Vec::new();
        }
        let is_evacuated = self.evacuations.covers(&self.mesh.identity().data_centre);
        if is_evacuated != self.host.is_evacuated() {
            log::info!(evacuated = is_evacuated, offset = state.next(), from:% = from, running = self.host.running(); "evacuation");
        }
        metrics::gauge!("cassiarock_evacuated").set(f64::from(u8::from(is_evacuated)));
        self.host.evacuate(is_evacuated)
    }

    /// Links to the entries that the roster wants, and to no others.
    fn keep_links(&mut self, now: Duration) {
        let host = &self.host;
        let retired = self.mesh.poll(now, |entry| host.has_tasks(entry));
        for Retired { entry, is_retired } in retired {
            self.retire(&entry, is_retired);
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
                Action::Poll => {
                    let now = self.clock.now().up;
                    if let Some(poll) = self.next_poll(now) {
                        self.orders.poll_now(poll);
                    }
                }
                Action::Tell(decision) => log_decision(&decision),
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
