//! The actor that owns the agent's state and carries out its actions.

use crate::state::{Action, State};
use crate::work;
use cassiarock_claim::message::Outcome;
use cassiarock_id::Process;
use cassiarock_peer::{Event, Links};
use cassiarock_platform::{Follower, follow};
use cassiarock_policy::place::TaskKey;
use cassiarock_process::{Clock, Now, Status};
use cassiarock_upstream::UpstreamClient;
use cassiarock_wire::{HandOver, Role};
use kameo::Actor;
use kameo::message::{Context, Message};
use std::collections::{BTreeSet, HashMap};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// An input of the agent's actor.
#[derive(Debug)]
pub(crate) enum Input {
    /// A link opened or closed, or a frame arrived on it.
    Link(Event),
    /// A task ended at the upstream; the number is its run time in milliseconds.
    Ended(TaskKey, Outcome, u64),
    /// The connection to the upstream could not be opened, so the task did not start.
    NotStarted(TaskKey),
    /// The upstream's health changed.
    Health(bool),
    /// The state folded from the log changed.
    Adopt(follow::Status),
    /// Accept no new tasks.
    Leave,
    /// Accept new tasks again: the order to leave was cancelled.
    Stay,
    /// Return the records that other agents, except these, must hold before this one leaves.
    HandOver(BTreeSet<Process>, oneshot::Sender<Handover>),
}

/// The records that other agents must hold before this one leaves.
#[derive(Debug)]
pub(crate) struct Handover {
    /// The membership version by which the agents were chosen.
    pub(crate) version: u64,
    /// The records for each agent.
    pub(crate) records: HashMap<Process, HandOver>,
}

/// Inputs handed to the actor at once. The reply is the time until the next poll is due.
pub(crate) struct Batch(pub(crate) Vec<Input>);

/// Performs I/O for the state: links, upstream and status.
#[derive(Actor)]
pub(crate) struct Agent {
    pub(crate) state: State,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) worker: UpstreamClient,
    pub(crate) follower: Arc<Follower>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) status: watch::Sender<Status>,
}

impl Message<Batch> for Agent {
    type Reply = Result<Duration, Infallible>;

    async fn handle(&mut self, batch: Batch, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        for input in batch.0 {
            let actions = self.handle_input(input, now);
            self.carry_out(actions);
        }
        let actions = self.state.poll(now);
        self.carry_out(actions);
        self.update_status();
        let next_poll = self.state.next_poll();
        Ok(next_poll.map_or(Duration::MAX, |at| at.saturating_sub(now.up)))
    }
}

impl Agent {
    fn handle_input(&mut self, input: Input, now: Now) -> Vec<Action> {
        match input {
            Input::Link(event) => self.handle_link_event(event, now),
            Input::Ended(key, outcome, ran_ms) => {
                self.state.handle_outcome(key, outcome, ran_ms, now)
            }
            Input::NotStarted(key) => self.state.handle_not_started(key, now),
            Input::Health(healthy) => {
                self.state.set_healthy(healthy);
                Vec::new()
            }
            Input::Adopt(status) => self.adopt(&status, now),
            Input::Leave => self.state.leave(now),
            Input::Stay => {
                self.state.cancel_leave();
                Vec::new()
            }
            Input::HandOver(excluded, reply) => {
                // The receiver is dropped when the process is being shut down.
                let _ = reply.send(self.state.hand_over(&excluded));
                Vec::new()
            }
        }
    }

    fn handle_link_event(&mut self, event: Event, now: Now) -> Vec<Action> {
        match event {
            Event::Up(link) => {
                let peer = link.peer.clone();
                self.links.open(link);
                if peer.role == Role::Agent {
                    return Vec::new();
                }
                self.state.link(peer.process.clone(), peer.address.clone())
            }
            Event::Frame(peer, frame) => self.state.handle_frame(&peer.process, frame, now),
            Event::Down(peer, serial) => {
                if self.links.close(&peer.process, serial) {
                    self.state.unlink(&peer.process);
                }
                Vec::new()
            }
        }
    }

    fn adopt(&mut self, status: &follow::Status, now: Now) -> Vec<Action> {
        let Some(state) = &status.state else {
            return Vec::new();
        };
        self.status
            .send_modify(|now| now.adopt(state, status.reachable));
        self.state.adopt(state.clone(), now)
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, frame) => self.send(&to, frame),
                Action::RunTask(assigned) => {
                    work::spawn(&self.worker, *assigned, self.inputs.clone())
                }
                Action::Stop(key) => work::stop(&self.worker, key),
                Action::Offer(state) => self.follower.offer(state),
            }
        }
    }

    fn send(&self, to: &Process, frame: cassiarock_wire::Frame) {
        if !self.links.send(to, frame) {
            metrics::counter!("cassiarock_agent_unsent_frames_total").increment(1);
        }
    }

    fn update_status(&self) {
        let (waiting, running) = self.state.load();
        let (leaving, ready) = (self.state.is_leaving(), self.state.is_ready());
        let links = self.links.len();
        self.status.send_if_modified(|status| {
            let before = status.clone();
            status.waiting = waiting;
            status.running = running;
            status.leaving = leaving;
            status.ready = ready;
            status.links = links;
            *status != before
        });
    }
}
