//! The entry's actor: a scheduler with its links and callers.

mod calls;
mod links;
mod orders;
mod report;

use crate::learned::RoutePatience;
use crate::mesh::Mesh;
use cassiarock_adapter::Store;
use cassiarock_adapter::callers::Call;
use cassiarock_id::{Name, Wall};
use cassiarock_peer::{Event, Links};
use cassiarock_process::{Clock, Status};
use cassiarock_transient::directory::Place;
use cassiarock_transient::lag::Lag;
use cassiarock_transient::scheduler::{Action, Answer};
use cassiarock_transient::{Scheduler, Table, directory, evacuation};
use kameo::Actor;
use kameo::message::{Context, Message as Handle};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

pub(crate) use orders::Configuration;

/// What happens to an entry.
#[derive(Debug)]
pub(crate) enum Input {
    /// A caller asks.
    Call(Call),
    /// Something on a link.
    Link(Event),
    /// A configuration from the store.
    Configuration(Name),
    /// The data centres to empty, from the store.
    Evacuations(evacuation::State),
    /// Another entry takes links there.
    Entry(SocketAddr),
    /// What has changed in the directory of entries, from the store.
    Directory(directory::Update),
    /// What is on record of callers; asks for what this entry knows.
    Learned(RoutePatience, oneshot::Sender<RoutePatience>),
    /// Take no new jobs.
    Leave,
}

/// Inputs handed to the actor at once. The reply is how long nothing is due.
pub(crate) struct Batch(pub(crate) Vec<Input>);

/// The shell around the scheduler.
#[derive(Actor)]
pub(crate) struct Entry {
    pub(crate) scheduler: Scheduler,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) callers: HashMap<u64, oneshot::Sender<Answer>>,
    /// The configuration in force, to pass on.
    pub(crate) configuration: Option<Configuration>,
    /// How far the configuration in force is behind that of others.
    pub(crate) lag: Lag,
    /// The client that follows the operators' configuration.
    pub(crate) store: Store,
    pub(crate) table: watch::Sender<Option<Arc<Table>>>,
    pub(crate) status: watch::Sender<Status>,
    /// Where other entries take links, as they said.
    pub(crate) entries: BTreeSet<Place>,
    /// Links to other entries.
    pub(crate) mesh: Mesh,
    pub(crate) beat: Duration,
    /// Since when data centres are known to be emptied.
    pub(crate) evacuated: BTreeMap<Name, Wall>,
}

impl Handle<Batch> for Entry {
    type Reply = Result<Duration, Infallible>;

    async fn handle(&mut self, batch: Batch, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now().up;
        for input in batch.0 {
            let actions = self.take(input, now);
            self.carry_out(actions);
        }
        let actions = self.scheduler.poll(now);
        self.carry_out(actions);
        // Tasks go over links with agents alone, so that an entry is told of no end of its links.
        self.mesh.poll(now, |_| false);
        self.beat_entries(now);
        self.report(now);
        Ok(self.scheduler.wake(now).saturating_sub(now))
    }
}

impl Entry {
    fn take(&mut self, input: Input, now: Duration) -> Vec<Action> {
        match input {
            Input::Call(call) => self.call(call, now),
            Input::Link(event) => self.event(event, now),
            Input::Configuration(text) => {
                self.configure(&text, "the store");
                Vec::new()
            }
            Input::Evacuations(state) => {
                self.evacuate(&state, "the store");
                Vec::new()
            }
            Input::Entry(address) => {
                self.mesh.meet_seed(address);
                Vec::new()
            }
            Input::Directory(update) => {
                self.direct(&update);
                Vec::new()
            }
            Input::Learned(known, reply) => {
                // Who asks may have ended.
                let _ = reply.send(self.learned(&known));
                Vec::new()
            }
            Input::Leave => {
                self.status.send_modify(|status| status.leaving = true);
                Vec::new()
            }
        }
    }
}
