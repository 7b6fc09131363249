//! The agent's actor: connects a host with its links and its upstream.

use crate::decision_log::log_decision;
use crate::links::{count_orders, send};
use crate::mesh::{Mesh, Retirement};
use crate::orders::UpstreamOrders;
use cassiarock_adapter::reports::Report;
use cassiarock_adapter::worker::Target;
use cassiarock_id::Process;
use cassiarock_peer::{Event, Links};
use cassiarock_process::{Clock, Status};
use cassiarock_transient::directory::ApplyResult;
use cassiarock_transient::host::{Action, Snapshot, StartResponse, Task};
use cassiarock_transient::{Host, Incarnation, Message, directory, evacuation};
use cassiarock_wire::{Frame, Hello};
use kameo::Actor;
use kameo::message::{Context, Message as Handle};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Time after which an entry that has not answered is asked for the directory again.
const DIRECTORY_RETRY: Duration = Duration::from_millis(300);

/// A poll of the upstream.
#[derive(Clone, Debug)]
pub(crate) struct PollRequest {
    /// The incarnation of the upstream to poll.
    pub(crate) target: Target,
    /// Number of the last end of a task that the host has seen.
    pub(crate) seen: u64,
    /// Time until which to renew the leases, if at all.
    pub(crate) until: Option<u64>,
    /// How long the upstream waits for the end of a task before it answers.
    pub(crate) wait: Duration,
    /// The agent's clock when the poll was made.
    pub(crate) asked: Duration,
}

impl PollRequest {
    /// The same poll for an upstream that has not answered, because it may have restarted under
    /// the same id. A lease by the clock of the previous incarnation would last far too long in the
    /// new one, and the numbers of the previous incarnation's ends are not valid in the new one.
    pub(crate) fn without_renewal(self) -> Self {
        Self {
            seen: 0,
            until: None,
            wait: Duration::ZERO,
            ..self
        }
    }

    /// The same poll without a wait, which is answered at once.
    pub(crate) fn without_wait(self) -> Self {
        Self {
            wait: Duration::ZERO,
            ..self
        }
    }
}

/// An input of the agent's actor.
#[derive(Debug)]
pub(crate) enum Input {
    /// A report of the upstream.
    Report(Report),
    /// An event of a link.
    Link(Event),
    /// The address of an entry.
    EntryAddress(SocketAddr),
    /// The contents of the directory of entries.
    Directory(directory::Update),
    /// The answer of an incarnation of the upstream to a start.
    Started(Incarnation, Task, StartResponse, Option<u64>),
    /// The answer of an incarnation of the upstream to a stop.
    Stopped(Incarnation, Task, Option<u64>),
    /// Asks for the next poll of the upstream; `None` without an upstream.
    NextPoll(oneshot::Sender<Option<PollRequest>>),
    /// The result of a poll.
    Snapshot(Snapshot),
    /// Another incarnation of the upstream has answered in place of this one.
    Replaced(Incarnation),
    /// No connection could be opened for a poll of this incarnation.
    Unreachable(Incarnation),
    /// This incarnation of the upstream has seen a higher fencing token than this agent's.
    Fenced(Incarnation),
    /// Accept no new tasks.
    Leave,
}

/// Inputs passed to the actor at once. The reply is the time until it has to run again.
pub(crate) struct Batch(pub(crate) Vec<Input>);

/// The agent's actor, which performs the actions of its host.
#[derive(Actor)]
pub(crate) struct Agent {
    pub(crate) host: Host,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) mesh: Mesh,
    pub(crate) orders: UpstreamOrders,
    pub(crate) status: watch::Sender<Status>,
    /// The entry that last announced a newer version of the directory, and its version.
    pub(crate) newer_directory: Option<(Process, u64)>,
    /// When an entry was last asked for the whole directory.
    pub(crate) directory_asked_at: Option<Duration>,
    /// The data centres that operators are evacuating, as announced by entries.
    pub(crate) evacuations: evacuation::State,
}

impl Handle<Batch> for Agent {
    type Reply = Result<Duration, Infallible>;

    async fn handle(&mut self, batch: Batch, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now().up;
        for input in batch.0 {
            let actions = self.handle_input(input, now);
            self.execute(actions);
        }
        let actions = self.host.poll(now);
        self.execute(actions);
        self.ask_directory(now);
        self.update_links(now);
        self.publish_status();
        Ok(self.host.next_poll(now).saturating_sub(now))
    }
}

impl Agent {
    fn handle_input(&mut self, input: Input, now: Duration) -> Vec<Action> {
        match input {
            Input::Report(Report::Heartbeat(worker)) => self.host.handle_report(worker, now),
            Input::Report(Report::Deregistered(id)) => self.host.deregister(&id),
            Input::Replaced(incarnation) => self.host.handle_replacement(&incarnation, now),
            Input::Unreachable(incarnation) => {
                self.host.handle_refused_connection(&incarnation, now)
            }
            Input::Fenced(incarnation) => self.host.raise_fence(&incarnation),
            Input::Link(event) => self.handle_event(event, now),
            Input::EntryAddress(address) => {
                self.mesh.add_seed(address);
                Vec::new()
            }
            Input::Directory(update) => {
                self.mesh.apply_update(&update);
                Vec::new()
            }
            Input::Started(incarnation, task, answer, clock) => {
                self.host
                    .handle_start_response(&incarnation, &task, answer, clock, now)
            }
            Input::Stopped(incarnation, task, clock) => {
                self.host
                    .handle_stop_response(&incarnation, &task, clock, now)
            }
            Input::NextPoll(reply) => {
                // Fails only if the process is ending, and the polls with it.
                let _ = reply.send(self.next_poll(now));
                Vec::new()
            }
            Input::Snapshot(snapshot) => self.host.handle_snapshot(&snapshot, now),
            Input::Leave => {
                // Published together: orders earlier in the batch may have started tasks.
                let running = self.host.attempt_count();
                self.status.send_modify(|status| {
                    status.leaving = true;
                    status.running = running;
                });
                self.host.leave()
            }
        }
    }

    fn next_poll(&mut self, now: Duration) -> Option<PollRequest> {
        let target = self.target().filter(|_| !self.is_upstream_gone())?;
        Some(PollRequest {
            target,
            seen: self.host.last_seen_end(now),
            until: self.host.renew_leases(now),
            wait: self.host.poll_wait(),
            asked: now,
        })
    }

    fn verify(&self, incarnation: Incarnation) {
        let fence = self.host.fence();
        let target = Target { incarnation, fence };
        self.orders.verify(target, self.clock.now().up);
    }

    fn target(&self) -> Option<Target> {
        let worker = self.host.worker()?;
        Some(Target {
            incarnation: worker.incarnation(),
            fence: self.host.fence(),
        })
    }

    fn is_upstream_gone(&self) -> bool {
        self.host.worker().is_none_or(|worker| worker.is_gone)
    }

    fn handle_event(&mut self, event: Event, now: Duration) -> Vec<Action> {
        match event {
            Event::Up(link) => {
                let peer = link.peer.clone();
                log::info!(dependency:% = peer.process; "link opened");
                self.mesh.link_opened(&link);
                self.links.open(link);
                self.host.link(&peer.process, now)
            }
            Event::Frame(peer, Frame::Transient(message)) if self.links.is_newest(&peer) => {
                count_orders(&message);
                self.handle_message(&peer, message, now)
            }
            Event::Frame(..) => Vec::new(),
            Event::Down(peer, serial) => {
                self.mesh.link_closed(serial, now);
                if self.links.close(&peer.process, serial) {
                    log::warn!(dependency:% = peer.process; "link lost");
                    self.host.unlink(&peer.process);
                }
                Vec::new()
            }
        }
    }

    fn handle_message(&mut self, peer: &Hello, message: Message, now: Duration) -> Vec<Action> {
        match message {
            Message::Entries(entries) => {
                entries.iter().for_each(|place| self.mesh.add_entry(place));
                Vec::new()
            }
            Message::Directory(update) => {
                if self.mesh.apply_update(&update) == ApplyResult::Gap {
                    self.newer_directory = Some((peer.process.clone(), update.next));
                }
                Vec::new()
            }
            Message::Evacuations(state) => self.apply_evacuations(&state, &peer.process),
            message => self.host.handle_message(&peer.process, message, now),
        }
    }

    /// Asks the entry with the newer directory for the whole directory, repeatedly until it has
    /// arrived. If the link is lost, the next entry that links announces its version.
    fn ask_directory(&mut self, now: Duration) {
        let Some((entry, next)) = &self.newer_directory else {
            return;
        };
        if *next <= self.mesh.directory().next_offset() {
            self.newer_directory = None;
            return;
        }
        if self
            .directory_asked_at
            .is_some_and(|at| now < at + DIRECTORY_RETRY)
        {
            return;
        }
        self.directory_asked_at = Some(now);
        send(&self.links, entry, Message::AskDirectory);
    }

    /// Applies the operators' evacuations if they are newer than the known ones.
    fn apply_evacuations(&mut self, state: &evacuation::State, from: &Process) -> Vec<Action> {
        if self.evacuations.adopt(state).is_none() {
            return Vec::new();
        }
        let is_evacuated = self.evacuations.contains(&self.mesh.identity().data_centre);
        if is_evacuated != self.host.is_evacuated() {
            log::info!(evacuated = is_evacuated, offset = state.next_offset(), from:% = from, running = self.host.attempt_count(); "evacuation");
        }
        metrics::gauge!("cassiarock_evacuated").set(f64::from(u8::from(is_evacuated)));
        self.host.set_evacuated(is_evacuated)
    }

    /// Opens and drops links as the roster decides.
    fn update_links(&mut self, now: Duration) {
        let host = &self.host;
        let retired = self.mesh.poll(now, |entry| host.has_tasks(entry));
        for Retirement { entry, is_retired } in retired {
            self.set_retired(&entry, is_retired);
        }
    }

    fn set_retired(&mut self, entry: &Process, is_retired: bool) {
        log::info!(dependency:% = entry, retired = is_retired; "link is one too many");
        let actions = self.host.set_retired(entry, is_retired);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
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
                Action::Verify(incarnation) => self.verify(incarnation),
                Action::Log(decision) => log_decision(&decision),
            }
        }
    }

    fn publish_status(&self) {
        let (running, links) = (self.host.attempt_count(), self.links.len());
        let ready = !self.is_upstream_gone();
        metrics::gauge!("cassiarock_tasks_running").set(running as f64);
        let is_withheld = self.host.is_renewal_withheld();
        metrics::gauge!("cassiarock_renewal_withheld").set(f64::from(u8::from(is_withheld)));
        self.status.send_if_modified(|status| {
            let before = status.clone();
            status.ready = ready;
            status.running = running;
            status.links = links;
            *status != before
        });
    }
}
