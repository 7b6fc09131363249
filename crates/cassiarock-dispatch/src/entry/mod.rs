//! The entry's actor: connects a scheduler with its links and callers.

mod calls;
mod links;
mod orders;
mod report;

use crate::freshness::SharedFreshness;
use crate::learned::Learned;
use crate::mesh::Mesh;
use crate::missing::Missing;
use crate::operator::Update;
use crate::route_table::SharedTable;
use cassiarock_adapter::Store;
use cassiarock_adapter::callers::Call;
use cassiarock_id::{Name, Wall};
use cassiarock_peer::{Event, Links};
use cassiarock_process::{Clock, Status};
use cassiarock_transient::directory::Endpoint;
use cassiarock_transient::freshness::Clocks;
use cassiarock_transient::lag::ConfigurationLag;
use cassiarock_transient::scheduler::{Action, Answer};
use cassiarock_transient::{Scheduler, directory};
use kameo::Actor;
use kameo::message::{Context, Message as Handle};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

pub(crate) use orders::Configuration;

/// An input of the entry's actor.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call of a caller.
    Call(Call),
    /// An event of a link.
    Link(Event),
    /// An update of the operators' orders, from the store.
    Operator(Update),
    /// The address of another entry.
    EntryAddress(SocketAddr),
    /// An update of the directory of entries, from the store.
    Directory(directory::Update),
    /// What is on record about callers and upstreams; asks for what is to be stored.
    Learned(Learned, oneshot::Sender<Learned>),
    /// Report not ready, and answer all jobs by this time.
    Leave(Instant),
}

/// Inputs passed to the actor at once. The reply is the time until it has to run again.
pub(crate) struct Batch(pub(crate) Vec<Input>);

/// The entry's actor, which performs the actions of its scheduler.
#[derive(Actor)]
pub(crate) struct Entry {
    pub(crate) scheduler: Scheduler,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    /// Receivers of the answers to jobs, by the number of the submission.
    pub(crate) callers: HashMap<u64, oneshot::Sender<Answer>>,
    /// The configuration in force, to send to other entries.
    pub(crate) configuration: Option<Configuration>,
    /// Decides when to ask which entry for a newer configuration.
    pub(crate) lag: ConfigurationLag,
    /// When the operators' orders were last known to be complete.
    pub(crate) freshness: SharedFreshness,
    /// The clocks of the other entries, which reports of freshness echo.
    pub(crate) clocks: Clocks,
    /// The client that reads the operators' configuration.
    pub(crate) store: Store,
    pub(crate) table: SharedTable,
    /// The configurations that other entries have and this one lacks.
    pub(crate) missing: Missing,
    pub(crate) status: watch::Sender<Status>,
    /// Link addresses of the other entries, as announced on their links.
    pub(crate) entries: BTreeSet<Endpoint>,
    /// Links with other entries.
    pub(crate) mesh: Mesh,
    /// When the last heartbeat was sent to other entries.
    pub(crate) last_heartbeat: Duration,
    /// The data centres being evacuated, and since when this entry knows it.
    pub(crate) evacuated_since: BTreeMap<Name, Wall>,
}

impl Handle<Batch> for Entry {
    type Reply = Result<Duration, Infallible>;

    async fn handle(&mut self, batch: Batch, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now().up;
        for input in batch.0 {
            let actions = self.handle_input(input, now);
            self.execute(actions);
        }
        let actions = self.scheduler.poll(now);
        self.execute(actions);
        // Links between entries carry no tasks, so that other entries need not be told that their
        // link is surplus.
        self.mesh.poll(now, |_| false);
        self.send_heartbeats(now);
        self.missing.publish(self.table.version(), now);
        self.publish_status(now);
        Ok(self.scheduler.next_poll(now).saturating_sub(now))
    }
}

impl Entry {
    fn handle_input(&mut self, input: Input, now: Duration) -> Vec<Action> {
        match input {
            Input::Call(call) => self.handle_call(call, now),
            Input::Link(event) => self.handle_event(event, now),
            Input::Operator(update) => {
                self.handle_update(&update);
                Vec::new()
            }
            Input::EntryAddress(address) => {
                self.mesh.add_seed(address);
                Vec::new()
            }
            Input::Directory(update) => {
                self.update_directory(&update);
                Vec::new()
            }
            Input::Learned(known, reply) => {
                // Fails only if the process is ending.
                let _ = reply.send(self.merge_learned(&known, now));
                Vec::new()
            }
            Input::Leave(deadline) => {
                let left = deadline.saturating_duration_since(Instant::now());
                self.scheduler.shut_down(now + left);
                self.status.send_modify(|status| status.leaving = true);
                Vec::new()
            }
        }
    }
}
