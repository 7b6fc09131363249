//! Sets up an entry, runs it and shuts it down.

use super::share::Share;
use super::{FLUSH_DELAY, GRACE_RESERVE, KEY, bind, identity, monitor, seed};
use crate::entry::{Batch, Entry, Input};
use crate::freshness::SharedFreshness;
use crate::mesh::Mesh;
use crate::missing::Missing;
use crate::reload::reload;
use crate::route_table::SharedTable;
use crate::{Error, directory, learned, operator};
use cassiarock_adapter::callers::{self, RouterState};
use cassiarock_adapter::{Settings, Store};
use cassiarock_id::{Process, Wall};
use cassiarock_peer::{Key, Links, Listener};
use cassiarock_process::{
    BACKLOG, Clock, Fault, Parts, Pump, Report, Stage, Status, forward, until,
};
use cassiarock_server::Bound;
use cassiarock_transient::Scheduler;
use cassiarock_transient::directory::Endpoint;
use cassiarock_transient::freshness::Clocks;
use cassiarock_transient::lag::ConfigurationLag;
use cassiarock_transient::roster::{LINKS_PER_ENTRY, Roster};
use cassiarock_wire::Role;
use kameo::actor::Spawn;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The least time for which a leaving entry accepts connections: the load balancer checks readiness
/// once a second and removes an entry after two negative answers.
const REMOVAL_DELAY: Duration = Duration::from_millis(2_500);

/// How long requests wait for the first configuration after a start. It arrives within 300 ms if
/// the store or another entry answers.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// How many updates of the operators' orders wait for the actor; later ones replace each other.
const ORDER_BACKLOG: usize = 2;

/// How long the last answers may take to reach their callers, whose links may be slow.
const ANSWER_TIME: Duration = Duration::from_millis(600);

/// The part of the grace period that is left when the last jobs are given up.
const ANSWER_RESERVE: Duration = ANSWER_TIME.saturating_add(GRACE_RESERVE);

/// Runs an entry until `asked` requests its end, and shuts it down within the grace period.
///
/// # Errors
/// If a listener or a client cannot be set up, or a vital part of the process has ended.
pub async fn run_entry(
    file: PathBuf,
    settings: Settings,
    mut asked: watch::Receiver<Stage>,
) -> Result<Report, Error> {
    let grace = settings.grace;
    let mut running = Running::start(file, settings).await?;
    tokio::select! {
        () = until(&mut asked, Stage::Drain) => {}
        fault = running.fault() => return Err(fault.into()),
    }
    let asked_at = Instant::now();
    let answer_deadline = asked_at + grace.saturating_sub(ANSWER_RESERVE);
    log::info!(grace_ms = grace.as_millis(), jobs = running.statuses.borrow().jobs; "leaving");
    running.is_leaving.store(true, Ordering::Relaxed);
    let statuses = running.statuses.clone();
    let stop = stop_early(running.inputs.clone(), running.close.clone(), asked);
    tokio::select! {
        () = running.answer_all(answer_deadline) => {}
        () = stop => {}
        () = sleep_until(asked_at + grace.saturating_sub(GRACE_RESERVE)) => {}
    }
    let jobs = statuses.borrow().jobs;
    log::info!(jobs = jobs; "stopped");
    Ok(Report { jobs, tasks: 0 })
}

/// A running entry. Its parts end when it is dropped.
struct Running {
    inputs: mpsc::Sender<Input>,
    statuses: watch::Receiver<Status>,
    is_leaving: Arc<AtomicBool>,
    /// Makes the callers' server stop once its requests have been answered.
    close: watch::Sender<Stage>,
    server: JoinHandle<()>,
    parts: Parts,
}

impl Running {
    async fn start(file: PathBuf, settings: Settings) -> Result<Self, Error> {
        let listener = bind(settings.callers.ok_or(Error::MissingAddress("callers"))?).await?;
        let process = Process::new(settings.name.clone(), Wall::now().as_millis());
        let identity = identity(&settings, &process, Role::Entry);
        let share = Share::new(&settings);
        let links = Listener::bind(settings.peers).await?;
        let links = links.with_max_unproven(share.unproven_links());
        let store = Store::new(settings.store.to_string())?;
        let orders_store = store.clone().with_own_progress();
        let (inputs, received) = mpsc::channel(BACKLOG);
        let (events, received_events) = mpsc::channel(BACKLOG);
        // The number of calls is bounded by the callers' connections, each of which has one request
        // at a time.
        let (calls, received_calls) = mpsc::unbounded_channel();
        let (addresses, received_addresses) = mpsc::channel(BACKLOG);
        let first = Status::new(process.clone(), "entry", settings.data_centre.clone());
        let (status, statuses) = watch::channel(first);
        let table = SharedTable::new();
        let received_table = table.subscribe();
        let roster = Roster::new(process.name.clone()).with_links(LINKS_PER_ENTRY);
        let mesh = Mesh::new(roster, identity.clone(), Key::new(KEY), events.clone());
        let missing = Missing::new(settings.apply_limit);
        let (newest_version, is_outdated) = (missing.newest(), missing.is_outdated());
        let clock = Clock::new();
        let freshness = SharedFreshness::new(clock);
        let entry = create_actor(
            mesh,
            table.clone(),
            missing,
            status,
            orders_store.clone(),
            clock,
            freshness.clone(),
        );
        let actor = Entry::spawn(Entry {
            scheduler: Scheduler::new().with_remote_factor(settings.remote_factor),
            ..entry
        });

        let mut parts = Parts::default();
        parts.spawn_vital(
            "the actor",
            Pump::new(received).drive(move |batch| {
                let actor = actor.clone();
                async move { actor.ask(Batch(batch)).await.ok() }
            }),
        );
        let key = Key::new(KEY);
        parts.spawn_vital("the listener for links", links.run(identity, key, events));
        parts.spawn(
            "link events",
            forward(received_events, inputs.clone(), Input::Link),
        );
        parts.spawn(
            "calls",
            forward_unbounded(received_calls, inputs.clone(), Input::Call),
        );
        parts.spawn("seeds", seed(settings.seeds.clone(), addresses.clone()));
        parts.spawn(
            "the reload of settings",
            reload(file, settings.clone(), addresses),
        );
        parts.spawn(
            "addresses",
            forward(received_addresses, inputs.clone(), Input::EntryAddress),
        );
        let place = Endpoint::new(settings.peers.to_string(), settings.data_centre.clone());
        let (updates, received_updates) = mpsc::unbounded_channel();
        parts.spawn_vital(
            "the directory of entries",
            directory::follow_updates(store.clone(), updates),
        );
        parts.spawn(
            "updates of the directory",
            forward_unbounded(received_updates, inputs.clone(), Input::Directory),
        );
        parts.spawn(
            "the announcement",
            directory::announce(store.clone(), place, process),
        );
        parts.spawn(
            "the exchange of what entries have learned",
            learned::sync(store, inputs.clone()),
        );
        let (orders, received_orders) = mpsc::channel(ORDER_BACKLOG);
        parts.spawn(
            "the operators' orders to the actor",
            forward(received_orders, inputs.clone(), Input::Operator),
        );
        parts.spawn_vital(
            "the operators' orders",
            operator::follow_orders(orders_store, freshness, table, orders),
        );
        monitor(&settings, &statuses, &mut parts).await?;
        let is_leaving = Arc::new(AtomicBool::new(false));
        let configuration_deadline = Instant::now() + CONFIGURATION_WAIT;
        let state = RouterState::new(
            calls,
            received_table,
            is_leaving.clone(),
            configuration_deadline,
        )
        .with_newest_version(newest_version)
        .with_is_outdated(is_outdated);
        let (close, closing) = watch::channel(Stage::Run);
        let bound = share.callers();
        let server = tokio::spawn(serve(listener, callers::router(state), bound, closing));
        Ok(Self {
            inputs,
            statuses,
            is_leaving,
            close,
            server,
            parts,
        })
    }

    /// Waits until a vital part of the process has ended.
    async fn fault(&mut self) -> Fault {
        let part = "the server for callers";
        tokio::select! {
            fault = self.parts.fault() => fault,
            _ = &mut self.server => Fault { part },
        }
    }

    /// Has all jobs answered by `deadline`. Takes connections until the load balancer has removed
    /// the entry and no job is left, then closes idle connections and waits for the others.
    async fn answer_all(mut self, deadline: Instant) {
        // Fails only if the actor has ended.
        let _ = self.inputs.send(Input::Leave(deadline)).await;
        sleep_until(deadline.min(Instant::now() + REMOVAL_DELAY)).await;
        // With too few other entries, the load balancer goes on sending callers to this one.
        let idle = self.statuses.wait_for(|status| status.jobs == 0);
        // Fails only if jobs are left at the deadline, which are being given up, or if the actor has
        // ended.
        let _ = timeout_at(deadline, idle).await;
        self.close.send_replace(Stage::Drain);
        // Fails only if the server has panicked; nothing is left to wait for then.
        let _ = self.server.await;
        // Fails only if the actor has ended, and all jobs with it.
        let _ = self.statuses.wait_for(|status| status.jobs == 0).await;
        tokio::time::sleep(FLUSH_DELAY).await;
    }
}

/// Waits until the process is requested to end at once, then answers all callers.
async fn stop_early(
    inputs: mpsc::Sender<Input>,
    close: watch::Sender<Stage>,
    mut asked: watch::Receiver<Stage>,
) {
    until(&mut asked, Stage::Stop).await;
    // Fails only if the actor has ended, and all jobs with it.
    let _ = inputs.send(Input::Leave(Instant::now())).await;
    close.send_replace(Stage::Drain);
    tokio::time::sleep(ANSWER_TIME).await;
}

fn create_actor(
    mesh: Mesh,
    table: SharedTable,
    missing: Missing,
    status: watch::Sender<Status>,
    store: Store,
    clock: Clock,
    freshness: SharedFreshness,
) -> Entry {
    Entry {
        scheduler: Scheduler::new(),
        clock,
        links: Links::new(),
        callers: HashMap::new(),
        configuration: None,
        lag: ConfigurationLag::new(),
        freshness,
        clocks: Clocks::new(),
        store,
        table,
        missing,
        status,
        entries: BTreeSet::new(),
        mesh,
        last_heartbeat: Duration::ZERO,
        evacuated_since: BTreeMap::new(),
    }
}

/// Forwards items from an unbounded channel, whose length the sender bounds by other means.
async fn forward_unbounded<T>(
    mut from: mpsc::UnboundedReceiver<T>,
    inputs: mpsc::Sender<Input>,
    wrap: impl Fn(T) -> Input,
) {
    while let Some(item) = from.recv().await {
        if inputs.send(wrap(item)).await.is_err() {
            return;
        }
    }
}

async fn serve(
    listener: TcpListener,
    router: axum::Router,
    bound: Bound,
    mut closing: watch::Receiver<Stage>,
) {
    let closing = until(&mut closing, Stage::Drain);
    cassiarock_server::serve(listener, router, &bound, closing).await;
}
