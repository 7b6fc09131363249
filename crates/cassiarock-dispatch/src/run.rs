//! Sets the processes up, runs them, and takes them down.

use crate::agent::{self, Agent};
use crate::entry::{self, Entry};
use crate::links::{Links, tempo};
use crate::orders::Orders;
use crate::reload::reload;
use crate::{Error, directory, follow};
use cassiarock_adapter::callers::{self, Door};
use cassiarock_adapter::{Settings, Store, Worker, configuration, reports};
use cassiarock_caller::{Limit, serve};
use cassiarock_id::{Process, Wall};
use cassiarock_peer::{Dialer, Identity, Key, Listener};
use cassiarock_process::{BACKLOG, Clock, Monitor, Pump, Report, Stage, Status, forward, until};
use cassiarock_transient::{Host, Scheduler};
use cassiarock_wire::Role;
use kameo::actor::Spawn;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// The platform's settings hold no secret. The key keeps processes of other systems apart
/// that dial by mistake; it is no protection against an attacker on the platform's network.
const KEY: &str = "cassiarock on the platform";

/// How long a leaving entry still takes connections: the balancer asks once a second and
/// needs two answers to take it out.
const LISTEN_ON: Duration = Duration::from_millis(2_500);

/// How long requests wait for the first configuration after a start. It is there within
/// 300 ms if the store or another entry answers.
const CONFIGURED: Duration = Duration::from_secs(1);

/// What is kept of the time to leave for the last answers to go out.
const LAST: Duration = Duration::from_millis(300);

/// How often a leaving process looks whether it is done.
const LOOK: Duration = Duration::from_millis(20);

/// Runs an entry until `asked` says that it shall end.
///
/// # Errors
/// If a listener or a client cannot be set up.
pub async fn entry(
    file: PathBuf,
    settings: Settings,
    mut asked: watch::Receiver<Stage>,
) -> Result<Report, Error> {
    let callers = settings.callers.ok_or(Error::Address("callers"))?;
    let callers = bind(callers).await?;
    let process = Process::new(settings.name.clone(), Wall::now().as_millis());
    let identity = identity(&settings, &process, Role::Entry);
    let listener = Listener::bind(settings.peers).await?;
    let store = Store::new(settings.store.to_string())?;
    let (inputs, received) = mpsc::channel(BACKLOG);
    let (events, seen) = mpsc::channel(BACKLOG);
    let (calls, mut asking) = mpsc::unbounded_channel();
    let first = Status::new(process.clone(), "entry", settings.data_centre.clone());
    let (status, statuses) = watch::channel(first);
    let (table, tables) = watch::channel(None);
    let entry = Entry {
        scheduler: Scheduler::new(),
        clock: Clock::new(),
        links: Links::default(),
        callers: HashMap::new(),
        text: None,
        table,
        status,
        entries: BTreeSet::new(),
        beat: Duration::ZERO,
    };
    let mut tasks = JoinSet::new();
    let actor = Entry::spawn(entry);
    tasks.spawn(drive(received, move |batch| {
        let actor = actor.clone();
        async move { actor.ask(entry::Batch(batch)).await.ok() }
    }));
    tasks.spawn(listener.run(identity.clone(), Key::new(KEY), events.clone()));
    tasks.spawn(forward(seen, inputs.clone(), entry::Input::Link));
    let to = inputs.clone();
    tasks.spawn(async move {
        while let Some(call) = asking.recv().await {
            if to.send(entry::Input::Call(call)).await.is_err() {
                return;
            }
        }
    });
    let own = settings.peers;
    let (seeds, seeded) = mpsc::channel(BACKLOG);
    for seed in &settings.seeds {
        // Its receiver is held below.
        let _ = seeds.try_send(*seed);
    }
    tasks.spawn(reload(file, settings.clone(), seeds));
    tasks.spawn(dial(seeded, identity, events));
    tasks.spawn(directory::announce(store.clone(), own, process));
    tasks.spawn(configurations(store, inputs.clone()));
    monitor(&settings, &statuses, &mut tasks).await?;
    let configured_by = tokio::time::Instant::now() + CONFIGURED;
    let is_leaving = Arc::new(AtomicBool::new(false));
    let router = callers::router(Door::new(calls, tables, is_leaving.clone(), configured_by));
    let (close, closing) = watch::channel(Stage::Run);
    let server = tokio::spawn(serve_callers(callers, router, closing));

    until(&mut asked, Stage::Drain).await;
    log::info!("leaving");
    is_leaving.store(true, Ordering::Relaxed);
    // The actor takes inputs as long as its task runs.
    let _ = inputs.send(entry::Input::Leave).await;
    tokio::select! {
        () = leave_callers(close, server, statuses.clone()) => {}
        () = until(&mut asked, Stage::Stop) => {}
        () = tokio::time::sleep(settings.grace.saturating_sub(LAST)) => {}
    }
    let jobs = statuses.borrow().jobs;
    log::info!(jobs = jobs; "stopped");
    Ok(Report { jobs, tasks: 0 })
}

/// Runs an agent until `asked` says that it shall end.
///
/// # Errors
/// If a listener or a client cannot be set up.
pub async fn agent(
    file: PathBuf,
    settings: Settings,
    mut asked: watch::Receiver<Stage>,
) -> Result<Report, Error> {
    let upstream = settings.upstream.ok_or(Error::Address("the upstream"))?;
    let at = settings.reports.ok_or(Error::Address("reports"))?;
    let listener = bind(at).await?;
    let process = Process::new(settings.name.clone(), Wall::now().as_millis());
    let identity = identity(&settings, &process, Role::Agent);
    let store = Store::new(settings.store.to_string())?;
    let (inputs, received) = mpsc::channel(BACKLOG);
    let (events, seen) = mpsc::channel(BACKLOG);
    let (reporting, reported) = mpsc::channel(BACKLOG);
    let (found, addresses) = mpsc::channel(BACKLOG);
    let first = Status::new(process, "agent", settings.data_centre.clone());
    let (status, statuses) = watch::channel(first);
    let orders = Orders::new(Worker::new(upstream)?, inputs.clone());
    let agent = Agent {
        host: Host::new(),
        clock: Clock::new(),
        links: Links::default(),
        dialers: HashMap::new(),
        identity,
        key: Key::new(KEY),
        events,
        orders: orders.clone(),
        status,
    };
    let mut tasks = JoinSet::new();
    let actor = Agent::spawn(agent);
    tasks.spawn(drive(received, move |batch| {
        let actor = actor.clone();
        async move { actor.ask(agent::Batch(batch)).await.ok() }
    }));
    tasks.spawn(forward(seen, inputs.clone(), agent::Input::Link));
    tasks.spawn(forward(reported, inputs.clone(), agent::Input::Report));
    tasks.spawn(forward(addresses, inputs.clone(), agent::Input::Entry));
    tasks.spawn(orders.look());
    for seed in &settings.seeds {
        // The actor takes inputs as long as its task runs.
        let _ = inputs.send(agent::Input::Entry(*seed)).await;
    }
    tasks.spawn(reload(file, settings.clone(), found.clone()));
    tasks.spawn(directory::addresses(store, found));
    tasks.spawn(serve_plain(listener, reports::router(reporting)));
    monitor(&settings, &statuses, &mut tasks).await?;

    until(&mut asked, Stage::Drain).await;
    log::info!("leaving");
    // The actor takes inputs as long as its task runs.
    let _ = inputs.send(agent::Input::Leave).await;
    tokio::select! {
        () = idle(&statuses) => {}
        () = until(&mut asked, Stage::Stop) => {}
        () = tokio::time::sleep(settings.grace.saturating_sub(LAST)) => {}
    }
    let tasks = statuses.borrow().running;
    log::info!(tasks = tasks; "stopped");
    Ok(Report { jobs: 0, tasks })
}

fn identity(settings: &Settings, process: &Process, role: Role) -> Identity {
    Identity {
        process: process.clone(),
        role,
        data_centre: settings.data_centre.clone(),
        address: settings.peers.to_string().into(),
        tempo: tempo(),
    }
}

/// Hands inputs to an actor in batches, until it or all senders are gone. The actor answers
/// for how long nothing is due.
async fn drive<T, F>(received: mpsc::Receiver<T>, mut handle: impl FnMut(Vec<T>) -> F)
where
    F: Future<Output = Option<Duration>>,
{
    let mut pump = Pump::new(received);
    let mut idle = Duration::ZERO;
    while let Some(batch) = pump.next(idle).await {
        let Some(next) = handle(batch).await else {
            return;
        };
        idle = next;
    }
}

/// Keeps a link to each other entry that is told.
async fn dial(
    mut seeds: mpsc::Receiver<SocketAddr>,
    identity: Identity,
    events: mpsc::Sender<cassiarock_peer::Event>,
) {
    let mut dialers: HashMap<SocketAddr, Dialer> = HashMap::new();
    while let Some(seed) = seeds.recv().await {
        if *identity.address != *seed.to_string() {
            dialers.entry(seed).or_insert_with(|| {
                Dialer::new(seed, None, identity.clone(), Key::new(KEY), events.clone())
            });
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    let bound = bound.map_err(|source| cassiarock_adapter::Error::Bind { address, source });
    Ok(bound?)
}

/// Opens the listeners for the platform's balancer and for operators.
async fn monitor(
    settings: &Settings,
    statuses: &watch::Receiver<Status>,
    tasks: &mut JoinSet<()>,
) -> Result<(), Error> {
    if let Some(address) = settings.readiness {
        let known = statuses.clone();
        let is_ready = move || known.borrow().ready;
        let listener = bind(address).await?;
        tasks.spawn(serve_plain(listener, reports::readiness(is_ready)));
    }
    // Jobs are served also without metrics.
    match Monitor::bind(settings.monitor).await {
        Ok(monitor) => {
            tasks.spawn(monitor.run(statuses.clone(), axum::Router::new()));
        }
        Err(error) => log::warn!("no metrics: {error}"),
    }
    Ok(())
}

async fn configurations(store: Store, inputs: mpsc::Sender<entry::Input>) {
    follow::follow(store, configuration::TOPIC, |key, value| {
        if key != configuration::KEY {
            return;
        }
        let Ok(text) = std::str::from_utf8(value) else {
            log::warn!("configuration left out: not UTF-8");
            return;
        };
        if inputs
            .try_send(entry::Input::Configuration(text.into()))
            .is_err()
        {
            log::warn!("configuration left out: the entry is too far behind");
        }
    })
    .await;
}

async fn serve_plain(listener: TcpListener, router: axum::Router) {
    // Serving ends only with the process.
    let _ = axum::serve(listener, router).await;
}

async fn serve_callers(
    listener: TcpListener,
    router: axum::Router,
    mut closing: watch::Receiver<Stage>,
) {
    let limit = Limit {
        receive: Duration::from_secs(15),
        connections: 3_000,
        ..Limit::default()
    };
    serve(listener, router, &limit, until(&mut closing, Stage::Drain)).await;
}

/// Lets the balancer take the entry out, then ends idle connections and waits for the others.
async fn leave_callers(
    close: watch::Sender<Stage>,
    server: tokio::task::JoinHandle<()>,
    mut statuses: watch::Receiver<Status>,
) {
    tokio::time::sleep(LISTEN_ON).await;
    close.send_replace(Stage::Drain);
    // It has panicked otherwise, and nothing is left to wait for.
    let _ = server.await;
    // An error means that the actor is gone, and so are all jobs.
    let _ = statuses.wait_for(|status| status.jobs == 0).await;
    tokio::time::sleep(LOOK).await;
}

/// Waits until no task is left, and its end has gone out.
async fn idle(statuses: &watch::Receiver<Status>) {
    let mut statuses = statuses.clone();
    // An error means that the actor is gone.
    let _ = statuses.wait_for(|status| status.running == 0).await;
    tokio::time::sleep(LOOK * 5).await;
}
