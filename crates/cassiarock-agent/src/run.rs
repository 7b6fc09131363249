//! Starts, runs and stops an agent.

use crate::actor::{Agent, Batch, Input};
use crate::state::State;
use crate::{Error, announce, health, leave};
use axum::Router;
use cassiarock_claim::RetentionLimit;
use cassiarock_id::{Process, Wall};
use cassiarock_peer::{Identity, Key, LinkTiming, Links, Listener};
use cassiarock_platform::neighbour::Neighbours;
use cassiarock_platform::{Follower, Log};
use cassiarock_policy::slot;
use cassiarock_process::{
    BACKLOG, Clock, Fault, Monitor, Parts, Pump, Report, Stage, Status, forward, forward_latest,
    until,
};
use cassiarock_rule::Member;
use cassiarock_rule::request::Resources;
use cassiarock_settings as settings;
use cassiarock_upstream::UpstreamClient;
use cassiarock_wire::Role;
use kameo::actor::Spawn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Announcements count memory in megabytes of 2^20 bytes, as callers declare it.
const MEGABYTE: usize = 1 << 20;

/// An agent that listens and has begun to announce itself.
#[derive(Debug)]
pub struct Running {
    identity: Identity,
    key: Key,
    log: Log,
    follower: Arc<Follower>,
    inputs: mpsc::Sender<Input>,
    status: watch::Receiver<Status>,
    peers: SocketAddr,
    monitor: SocketAddr,
    drain_limit: Duration,
    /// Whether the upstream has reported that it is about to shut down.
    worker_leaving: watch::Receiver<bool>,
    parts: Parts,
}

impl Running {
    /// Binds the listeners and starts all tasks.
    ///
    /// # Errors
    /// Returns an error if a listener or a client cannot be set up.
    pub async fn start(settings: settings::Agent) -> Result<Self, Error> {
        let process = Process::new(settings.name.clone(), Wall::now().as_millis());
        let listener = Listener::bind(settings.peers).await?;
        let monitor = Monitor::bind(settings.metrics).await?;
        let monitor_address = monitor.address();
        let log = Log::new(&settings.log)?;
        let worker = UpstreamClient::new(settings.worker.as_str(), settings.connections)?;
        let follower = Follower::start(log.clone());
        let follower = follower.with_snapshots(&log, settings.name.clone(), settings.log_retention);
        let follower = follower.with_neighbours(Neighbours::new(&settings.neighbours)?);
        let follower = Arc::new(follower);
        let peers = listener.address();
        let address = settings.peers_public.unwrap_or(peers);
        let identity = Identity {
            process: process.clone(),
            role: Role::Agent,
            data_centre: settings.data_centre.clone(),
            address: address.to_string().into(),
            timing: LinkTiming::default(),
        };
        let key = Key::new(settings.key.as_str());
        let (inputs, received) = mpsc::channel(BACKLOG);
        let first = Status::new(process.clone(), "agent", settings.data_centre.clone());
        let (status, statuses) = watch::channel(first);

        let (notice, worker_leaving) = watch::channel(false);
        let mut parts = Parts::default();
        parts.spawn_vital(
            "the actor",
            act(
                &settings,
                &process,
                (worker.clone(), follower.clone()),
                &inputs,
                status,
                received,
            ),
        );
        parts.spawn_vital(
            "the listener for links",
            listen(listener, identity.clone(), key.clone(), inputs.clone()),
        );
        parts.spawn(
            "changes of the state",
            forward_latest(follower.subscribe(), inputs.clone(), Input::Adopt),
        );
        parts.spawn(
            "health checks",
            health::watch(worker, settings.health.clone(), inputs.clone(), notice),
        );
        parts.spawn(
            "the monitor",
            monitor.run(statuses.clone(), state_of(&follower)),
        );
        let monitored = settings.metrics_public.unwrap_or(monitor_address);
        let member = member(&settings, process, address).with_status(monitored);
        parts.spawn("the announcement", {
            let (log, follower) = (log.clone(), follower.clone());
            async move { announce::join(log, &follower, member).await }
        });
        Ok(Self {
            identity,
            key,
            log,
            follower,
            inputs,
            status: statuses,
            peers,
            monitor: monitor_address,
            drain_limit: settings.drain_limit,
            worker_leaving,
            parts,
        })
    }

    /// The address to which other processes of the system connect.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// The address on which status and metrics are served.
    #[must_use]
    pub const fn monitor(&self) -> SocketAddr {
        self.monitor
    }

    /// The current status, with later updates.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// Serves until `shutdown` asks it to end, and reports the tasks that were cut off.
    ///
    /// # Errors
    /// Returns an error if one of its tasks ends before that.
    pub async fn until(mut self, mut shutdown: watch::Receiver<Stage>) -> Result<Report, Fault> {
        let mut parts = std::mem::take(&mut self.parts);
        tokio::select! {
            () = self.serve(&mut shutdown) => {}
            fault = parts.fault() => return Err(fault),
        }
        tokio::select! {
            () = self.drain() => {}
            () = until(&mut shutdown, Stage::Stop) => {}
            () = tokio::time::sleep(self.drain_limit) => {}
        }
        parts.shutdown().await;
        let status = self.status.borrow();
        Ok(Report {
            jobs: 0,
            tasks: status.waiting + status.running,
        })
    }

    /// Serves until the agent has to leave: by a signal, by a notice of its upstream or by an
    /// operator's order. An order can be cancelled for a while, in which the agent accepts no
    /// new tasks.
    async fn serve(&self, shutdown: &mut watch::Receiver<Stage>) {
        let me = &self.identity.process;
        loop {
            tokio::select! {
                () = until(shutdown, Stage::Drain) => return,
                () = leave::upstream_leaving(self.worker_leaving.clone()) => return,
                () = leave::ordered_to_leave(&self.follower, me) => {}
            }
            // The actor accepts inputs as long as its task runs.
            let _ = self.inputs.send(Input::Leave).await;
            tokio::select! {
                () = until(shutdown, Stage::Drain) => return,
                () = leave::order_is_final(&self.follower, me, self.status.clone()) => return,
                () = leave::order_cancelled(&self.follower, me) => {}
            }
            log::info!(agent:% = me; "staying");
            let _ = self.inputs.send(Input::Stay).await;
        }
    }

    async fn drain(&self) {
        log::info!(agent:% = self.identity.process; "leaving");
        // The actor accepts inputs as long as its task runs.
        let _ = self.inputs.send(Input::Leave).await;
        leave::wait_until_idle(self.status.clone()).await;
        let handover = leave::HandoverContext {
            inputs: &self.inputs,
            log: &self.log,
            follower: &self.follower,
            me: &self.identity,
            key: &self.key,
        };
        handover.hand_over().await;
    }
}

fn state_of(follower: &Arc<Follower>) -> Router {
    let status = follower.subscribe();
    cassiarock_process::state(move || status.borrow().state.clone())
}

fn member(settings: &settings::Agent, process: Process, address: SocketAddr) -> Member {
    let slots = u32::try_from(settings.slots).unwrap_or(u32::MAX);
    let connections = u32::try_from(settings.connections).unwrap_or(u32::MAX);
    Member::new(process, address)
        .with_place(settings.data_centre.clone(), settings.rack.clone())
        .with_pool(settings.pool.clone())
        .with_capacity(slots, connections)
        .with_resources(resources(&settings.capacity))
}

fn resources(capacity: &settings::Capacity) -> Resources {
    let memory = capacity.memory / MEGABYTE;
    Resources {
        cores: capacity.cores,
        memory: u32::try_from(memory).unwrap_or(u32::MAX),
        accelerators: capacity.accelerators,
    }
}

fn act(
    settings: &settings::Agent,
    process: &Process,
    (worker, follower): (UpstreamClient, Arc<Follower>),
    inputs: &mpsc::Sender<Input>,
    status: watch::Sender<Status>,
    received: mpsc::Receiver<Input>,
) -> impl Future<Output = ()> + use<> {
    let limit = RetentionLimit::new(settings.ledger.age, settings.ledger.bytes);
    let slots = u16::try_from(settings.slots).unwrap_or(u16::MAX);
    let slots = slot::Settings::new(slots).with_objective(settings.weight);
    let agent = Agent {
        state: State::new(process.clone(), slots, limit),
        clock: Clock::new(),
        links: Links::new(),
        worker,
        follower,
        inputs: inputs.clone(),
        status,
    };
    async move {
        let actor = Agent::spawn(agent);
        let ask = |batch| async { actor.ask(Batch(batch)).await.ok() };
        Pump::new(received).drive(ask).await;
    }
}

async fn listen(listener: Listener, me: Identity, key: Key, inputs: mpsc::Sender<Input>) {
    let (events, seen) = mpsc::channel(BACKLOG);
    tokio::join!(
        listener.run(me, key, events),
        forward(seen, inputs, Input::Link)
    );
}
