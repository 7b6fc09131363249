//! Starts, runs and stops an entry.

use crate::actor::{Batch, Entry, Input};
use crate::state::{Settings, State};
use crate::{Error, explain};
use cassiarock_caller::{self as caller, Call};
use cassiarock_id::{Process, Wall};
use cassiarock_peer::{Identity, Key, LinkTiming, Links, Listener};
use cassiarock_platform::neighbour::Neighbours;
use cassiarock_platform::{Follower, Log};
use cassiarock_policy::dispatch;
use cassiarock_process::{
    BACKLOG, Clock, Fault, Monitor, Parts, Pump, Report, Stage, Status, forward, forward_latest,
    until,
};
use cassiarock_settings as settings;
use cassiarock_wire::Role;
use kameo::actor::Spawn;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// How long to wait for the last answers to be written to the sockets.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// How long the callers of unfinished jobs may take to receive their answers when the entry
/// has to end.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The addresses on which a running entry listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other processes of the system.
    pub peers: SocketAddr,
    /// For status and metrics.
    pub monitor: SocketAddr,
}

/// A running entry.
#[derive(Debug)]
pub struct Running {
    process: Process,
    addresses: Addresses,
    inputs: mpsc::Sender<Input>,
    status: watch::Receiver<Status>,
    drain_limit: Duration,
    _follower: Arc<Follower>,
    /// Tells the callers' server to finish open requests and stop.
    close: watch::Sender<Stage>,
    server: JoinHandle<()>,
    parts: Parts,
}

impl Running {
    /// Binds the listeners and starts all tasks.
    ///
    /// # Errors
    /// Returns an error if a listener or a client cannot be set up.
    pub async fn start(settings: settings::Entry) -> Result<Self, Error> {
        let process = Process::new(settings.name.clone(), Wall::now().as_millis());
        let callers = bind(settings.callers).await?;
        let listener = Listener::bind(settings.peers).await?;
        let monitor = Monitor::bind(settings.metrics).await?;
        let addresses = Addresses {
            callers: callers.local_addr().map_err(|source| Error::Callers {
                address: settings.callers,
                source,
            })?,
            peers: listener.address(),
            monitor: monitor.address(),
        };
        let log = Log::new(&settings.log)?;
        let follower = Follower::start(log.clone());
        let follower = follower.with_snapshots(&log, settings.name.clone(), settings.log_retention);
        let follower = follower.with_neighbours(Neighbours::new(&settings.neighbours)?);
        let follower = Arc::new(follower);
        let address = settings.peers_public.unwrap_or(addresses.peers);
        let identity = Identity {
            process: process.clone(),
            role: Role::Entry,
            data_centre: settings.data_centre.clone(),
            address: address.to_string().into(),
            timing: LinkTiming::default(),
        };
        let key = Key::new(settings.key.as_str());
        let (inputs, received) = mpsc::channel(BACKLOG);
        let (events, seen) = mpsc::channel(BACKLOG);
        let (calls, asked) = mpsc::channel(BACKLOG);
        let first = Status::new(process.clone(), "entry", settings.data_centre.clone());
        let (status, statuses) = watch::channel(first);
        let clock = Clock::new();
        let entry = Entry {
            state: State::new(state_settings(&settings, &process), clock.now()),
            clock,
            identity: identity.clone(),
            key: key.clone(),
            links: Links::new(),
            entries: HashMap::new(),
            follower: follower.clone(),
            log,
            dialers: HashMap::new(),
            events: events.clone(),
            callers: HashMap::new(),
            last_ticket: 0,
            next_heartbeat: Duration::ZERO,
            status,
        };

        let known = follower.subscribe();
        let known = cassiarock_process::state(move || known.borrow().state.clone());
        let mut parts = Parts::default();
        parts.spawn_vital("the actor", act(entry, received));
        parts.spawn_vital(
            "the listener for links",
            listener.run(identity, key, events),
        );
        parts.spawn("news of links", forward(seen, inputs.clone(), Input::Link));
        parts.spawn("calls", forward(asked, inputs.clone(), Input::Call));
        parts.spawn(
            "changes of the state",
            forward_latest(follower.subscribe(), inputs.clone(), Input::Adopt),
        );
        parts.spawn(
            "the monitor",
            monitor.run(
                statuses.clone(),
                explain::router(inputs.clone()).merge(known),
            ),
        );
        let (close, closing) = watch::channel(Stage::Run);
        let server = tokio::spawn(serve(callers, limit(&settings.limits), calls, closing));
        Ok(Self {
            process,
            addresses,
            inputs,
            status: statuses,
            drain_limit: settings.drain_limit,
            _follower: follower,
            close,
            server,
            parts,
        })
    }

    /// The addresses on which it listens.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The current status, with later updates.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// Serves until `shutdown` asks it to end, and reports the jobs and tasks that were cut off.
    ///
    /// # Errors
    /// Returns an error if one of its tasks ends before that.
    pub async fn until(mut self, mut shutdown: watch::Receiver<Stage>) -> Result<Report, Fault> {
        tokio::select! {
            () = until(&mut shutdown, Stage::Drain) => {}
            fault = self.parts.fault() => return Err(fault),
            _ = &mut self.server => return Err(Fault { part: "the server for callers" }),
        }
        let limit = self.drain_limit;
        tokio::select! {
            () = self.drain() => {}
            () = until(&mut shutdown, Stage::Stop) => {}
            () = tokio::time::sleep(limit) => {}
        }
        self.parts.shutdown().await;
        self.answer_rest().await;
        let status = self.status.borrow();
        Ok(Report {
            jobs: status.jobs,
            tasks: status.waiting + status.running,
        })
    }

    /// Waits until the callers of unfinished jobs are told that these may have run: the API
    /// says so once the actor, which would have answered them, has ended.
    async fn answer_rest(&mut self) {
        if self.server.is_finished() {
            return;
        }
        self.close.send_replace(Stage::Drain);
        // An error means that some callers did not take their answers in time.
        let _ = tokio::time::timeout(ANSWER_TIMEOUT, &mut self.server).await;
        self.server.abort();
    }

    async fn drain(&mut self) {
        log::info!(entry:% = self.process; "leaving");
        // The actor accepts inputs as long as its task runs.
        let _ = self.inputs.send(Input::Leave).await;
        let mut status = self.status.clone();
        // An error means that the actor has ended, and all jobs with it.
        let _ = status.wait_for(|now| now.leaving && now.jobs == 0).await;
        self.close.send_replace(Stage::Drain);
        // An error means that the server panicked: nothing is left to wait for.
        let _ = (&mut self.server).await;
        tokio::time::sleep(FLUSH_TIME).await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Callers { address, source })
}

fn state_settings(settings: &settings::Entry, process: &Process) -> Settings {
    let policy = &settings.policy;
    let mut dispatch = dispatch::Settings::new(policy.placement, policy.weight);
    dispatch.place = dispatch
        .place
        .with_data_centre(settings.data_centre.clone());
    dispatch.admission = dispatch
        .admission
        .with_max_tasks(policy.tasks)
        .with_default_deadline(policy.patience);
    dispatch.admission.max_jobs = policy.jobs;
    dispatch.health.max_withheld_share = policy.withheld_share;
    dispatch.retry.retries_per_success = policy.retry_share;
    Settings {
        me: process.clone(),
        data_centre: settings.data_centre.clone(),
        dispatch,
        seed: rand::random(),
        clock_skew: settings.clock_skew,
        remembered: settings.remembered,
    }
}

fn limit(limits: &settings::Limits) -> caller::Limit {
    caller::Limit {
        body: limits.body,
        bodies: limits.bodies,
        headers: limits.headers,
        receive: limits.receive,
        connections: limits.connections,
        tasks: limits.tasks,
        name: limits.name,
        deadline: limits.deadline,
    }
}

async fn act(entry: Entry, received: mpsc::Receiver<Input>) {
    let actor = Entry::spawn(entry);
    let ask = |batch| async { actor.ask(Batch(batch)).await.ok() };
    Pump::new(received).drive(ask).await;
}

async fn serve(
    listener: TcpListener,
    limit: caller::Limit,
    calls: mpsc::Sender<Call>,
    mut closing: watch::Receiver<Stage>,
) {
    let router = caller::router(limit.clone(), calls);
    caller::serve(listener, router, &limit, until(&mut closing, Stage::Drain)).await;
}
