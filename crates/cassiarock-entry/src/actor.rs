//! The actor that owns the entry's state and carries out its actions.

use crate::remove;
use crate::state::{Action, State, Ticket};
use cassiarock_caller::{Answer, Call};
use cassiarock_id::{Process, Wall};
use cassiarock_peer::{Dialer, Event, Identity, Key, Links};
use cassiarock_platform::{Follower, Log, follow};
use cassiarock_process::{Clock, Now, Status};
use cassiarock_rule::{Explanation, Membership, Request};
use cassiarock_wire::{Frame, Ping, Role};
use kameo::Actor;
use kameo::message::{Context, Message};
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// The interval between heartbeats on a link. Three fit into the timeout after which a link
/// counts as dead, so that one or two may be late.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);

/// How long to try to open a link to another entry.
const DIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// An input of the entry's actor.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call of a caller.
    Call(Call),
    /// A link opened or closed, or a frame arrived on it.
    Link(Event),
    /// The state folded from the log changed.
    Adopt(follow::Status),
    /// An operator asks which rule would decide a request.
    Explain(Request, oneshot::Sender<Explanation>),
    /// Accept no new jobs from now on.
    Leave,
}

/// Inputs handed to the actor at once. The reply is the time until the next poll is due.
pub(crate) struct Batch(pub(crate) Vec<Input>);

/// Performs I/O for the state: links, callers and status.
#[derive(Actor)]
pub(crate) struct Entry {
    pub(crate) state: State,
    pub(crate) clock: Clock,
    pub(crate) identity: Identity,
    pub(crate) key: Key,
    pub(crate) links: Links,
    pub(crate) dialers: HashMap<Process, Dialer>,
    /// The dialers of links with other entries, with the time when each was requested.
    pub(crate) entries: HashMap<Process, (Dialer, Duration)>,
    pub(crate) follower: Arc<Follower>,
    pub(crate) log: Log,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) callers: HashMap<Ticket, oneshot::Sender<Answer>>,
    pub(crate) last_ticket: u64,
    pub(crate) next_heartbeat: Duration,
    pub(crate) status: watch::Sender<Status>,
}

impl Message<Batch> for Entry {
    type Reply = Result<Duration, Infallible>;

    async fn handle(&mut self, batch: Batch, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        for input in batch.0 {
            let actions = self.handle_input(input, now);
            self.carry_out(actions, now);
        }
        let actions = self.state.poll(now);
        self.carry_out(actions, now);
        self.send_heartbeats(now);
        self.update_status();
        let next_poll = self.state.next_poll();
        Ok(next_poll.map_or(Duration::MAX, |at| at.saturating_sub(now.up)))
    }
}

impl Entry {
    fn handle_input(&mut self, input: Input, now: Now) -> Vec<Action> {
        match input {
            Input::Call(call) => self.handle_call(call, now),
            Input::Link(event) => self.handle_link_event(event, now),
            Input::Adopt(status) => self.adopt(&status, now),
            Input::Explain(request, reply) => {
                // The operator may have disconnected.
                let _ = reply.send(self.state.explain(request, now));
                Vec::new()
            }
            Input::Leave => {
                self.state.leave();
                Vec::new()
            }
        }
    }

    fn handle_call(&mut self, call: Call, now: Now) -> Vec<Action> {
        match call {
            Call::Submit(submission, reply) => {
                let ticket = self.new_ticket(reply);
                self.state.submit(submission, ticket, now)
            }
            Call::Find(job, wait, reply) => {
                let ticket = self.new_ticket(reply);
                self.state.find(job, wait, ticket, now)
            }
            Call::Cancel(job, reply) => {
                let ticket = self.new_ticket(reply);
                self.state.cancel(job, ticket, now)
            }
        }
    }

    fn new_ticket(&mut self, reply: oneshot::Sender<Answer>) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.callers.insert(ticket, reply);
        ticket
    }

    fn handle_link_event(&mut self, event: Event, now: Now) -> Vec<Action> {
        match event {
            Event::Up(link) => {
                let peer = link.peer.clone();
                self.links.open(link);
                self.ping(&peer.process, now.wall);
                match peer.role {
                    Role::Agent => self.state.link_agent(&peer.process, now),
                    Role::Entry => self.state.link_entry(&peer.process),
                }
            }
            Event::Frame(peer, frame) => self.state.handle_frame(&peer.process, frame, now),
            Event::Down(peer, serial) => {
                if !self.links.close(&peer.process, serial) {
                    return Vec::new();
                }
                match peer.role {
                    Role::Agent => self.state.unlink_agent(&peer.process, now),
                    Role::Entry => self.state.unlink_entry(&peer.process, now),
                }
            }
        }
    }

    fn adopt(&mut self, status: &follow::Status, now: Now) -> Vec<Action> {
        let Some(state) = &status.state else {
            return Vec::new();
        };
        self.dial_members(&state.membership);
        self.status
            .send_modify(|now| now.adopt(state, status.reachable));
        self.state.adopt(state.clone(), now)
    }

    /// Keeps one link to each member. Closes the links to former members; the state learns of
    /// that as of any closed link.
    fn dial_members(&mut self, membership: &Membership) {
        let members = membership.members.values();
        self.dialers
            .retain(|process, _| is_member(membership, process));
        for member in members {
            if self.dialers.contains_key(&member.process) {
                continue;
            }
            let dialer = Dialer::new(
                member.address,
                Some(member.process.clone()),
                self.identity.clone(),
                self.key.clone(),
                self.events.clone(),
            );
            self.dialers.insert(member.process.clone(), dialer);
        }
    }

    fn send_heartbeats(&mut self, now: Now) {
        if now.up < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now.up + HEARTBEAT_INTERVAL;
        for process in self.links.peers() {
            self.ping(process, now.wall);
        }
        // An entry that cannot be reached has ended: a restarted one has another identity.
        let links = &self.links;
        self.entries.retain(|process, (_, asked)| {
            links.contains(process) || now.up < *asked + DIAL_TIMEOUT
        });
    }

    fn ping(&self, to: &Process, now: Wall) {
        let ping = Ping {
            sent: now,
            view: self.state.membership(),
            next_offset: self.state.next(),
        };
        self.send(to, Frame::Ping(ping));
    }

    fn carry_out(&mut self, actions: Vec<Action>, now: Now) {
        for action in actions {
            match action {
                Action::Remove(agent) => self.remove(agent),
                Action::Offer(state) => self.follower.offer(state),
                Action::Dial(entry, address) => self.dial_entry(entry, &address, now),
                Action::Send(to, frame) => self.send(&to, frame),
                Action::Answer(ticket, answer) => self.answer(ticket, answer),
            }
        }
    }

    /// Announces that an agent has left, once the log answers and it is this process's turn.
    fn remove(&self, agent: Process) {
        let (log, follower) = (self.log.clone(), self.follower.clone());
        let by = self.identity.process.name.clone();
        tokio::spawn(async move {
            if let Err(error) = remove::announce(&log, &follower, by, &agent).await {
                log::warn!(agent:% = agent; "cannot announce that the agent has left: {error}");
            }
        });
    }

    fn dial_entry(&mut self, entry: Process, address: &str, now: Now) {
        let Ok(address) = address.parse() else {
            log::warn!(entry:% = entry; "invalid address of an entry: {address}");
            return;
        };
        let dialer = Dialer::new(
            address,
            Some(entry.clone()),
            self.identity.clone(),
            self.key.clone(),
            self.events.clone(),
        );
        self.entries.entry(entry).or_insert((dialer, now.up));
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        if let Some(caller) = self.callers.remove(&ticket) {
            // The caller may have disconnected; the answer is kept for its next call.
            let _ = caller.send(answer);
        }
    }

    fn send(&self, to: &Process, frame: Frame) {
        if !self.links.send(to, frame) {
            metrics::counter!("cassiarock_entry_unsent_frames_total").increment(1);
        }
    }

    fn update_status(&self) {
        let (jobs, waiting, running) = self.state.load();
        let (leaving, ready) = (self.state.is_leaving(), self.state.agents() > 0);
        let links = self.links.len();
        self.status.send_if_modified(|status| {
            let before = status.clone();
            status.jobs = jobs;
            status.waiting = waiting;
            status.running = running;
            status.leaving = leaving;
            status.ready = ready;
            status.links = links;
            *status != before
        });
    }
}

fn is_member(membership: &Membership, process: &Process) -> bool {
    let member = membership.members.get(&process.name);
    member.is_some_and(|member| member.process == *process)
}
