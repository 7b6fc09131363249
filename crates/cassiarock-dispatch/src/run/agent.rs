//! An agent from its settings to its end.

use super::{FLUSH, KEY, bind, identity, leave, monitor, seed, serve};
use crate::agent::{Agent, Batch, Input};
use crate::mesh::Mesh;
use crate::orders::Orders;
use crate::reload::reload;
use crate::{Error, directory};
use cassiarock_adapter::{Settings, Store, UpstreamClient, reports};
use cassiarock_id::{Process, Wall};
use cassiarock_peer::{Key, Links};
use cassiarock_process::{BACKLOG, Clock, Parts, Pump, Report, Stage, Status, forward, until};
use cassiarock_transient::roster::Roster;
use cassiarock_transient::{Host, evacuation};
use cassiarock_wire::Role;
use kameo::actor::Spawn;
use std::path::PathBuf;
use tokio::sync::{mpsc, watch};

/// Runs an agent until `asked` says that it shall end.
///
/// # Errors
/// If a listener or a client cannot be set up.
pub async fn run_agent(
    file: PathBuf,
    settings: Settings,
    mut asked: watch::Receiver<Stage>,
) -> Result<Report, Error> {
    let grace = settings.grace;
    let mut running = Running::start(file, settings).await?;
    tokio::select! {
        () = until(&mut asked, Stage::Drain) => {}
        fault = running.parts.fault() => return Err(fault.into()),
    }
    log::info!("leaving");
    // The actor takes inputs as long as its task runs.
    let _ = running.inputs.send(Input::Leave).await;
    leave(running.idle(), &mut asked, grace).await;
    let tasks = running.statuses.borrow().running;
    log::info!(tasks = tasks; "stopped");
    Ok(Report { jobs: 0, tasks })
}

/// An agent that serves; its parts end when it is dropped.
struct Running {
    inputs: mpsc::Sender<Input>,
    statuses: watch::Receiver<Status>,
    parts: Parts,
}

impl Running {
    async fn start(file: PathBuf, settings: Settings) -> Result<Self, Error> {
        let upstream = settings
            .upstream
            .ok_or(Error::MissingAddress("the upstream"))?;
        let at = settings.reports.ok_or(Error::MissingAddress("reports"))?;
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
        let orders = Orders::new(UpstreamClient::new(upstream)?, inputs.clone());
        let roster = Roster::new(identity.process.name.clone());
        let mesh = Mesh::new(roster, identity, Key::new(KEY), events);
        let actor = Agent::spawn(new(mesh, orders.clone(), status));

        let mut parts = Parts::default();
        parts.spawn_vital(
            "the actor",
            Pump::new(received).drive(move |batch| {
                let actor = actor.clone();
                async move { actor.ask(Batch(batch)).await.ok() }
            }),
        );
        parts.spawn("news of links", forward(seen, inputs.clone(), Input::Link));
        parts.spawn("reports", forward(reported, inputs.clone(), Input::Report));
        parts.spawn(
            "addresses",
            forward(addresses, inputs.clone(), Input::Entry),
        );
        parts.spawn_vital("polls of the upstream", orders.poll());
        parts.spawn("seeds", seed(settings.seeds.clone(), found.clone()));
        parts.spawn(
            "changes of the settings",
            reload(file, settings.clone(), found),
        );
        parts.spawn_vital(
            "the directory of entries",
            directory::bootstrap(store, inputs.clone(), statuses.clone()),
        );
        parts.spawn_vital(
            "the server for reports",
            serve(listener, reports::router(reporting)),
        );
        monitor(&settings, &statuses, &mut parts).await?;
        Ok(Self {
            inputs,
            statuses,
            parts,
        })
    }

    /// Waits until no task is left, and its end has gone out.
    async fn idle(&self) {
        let mut statuses = self.statuses.clone();
        // An error means that the actor is gone.
        let _ = statuses.wait_for(|status| status.running == 0).await;
        tokio::time::sleep(FLUSH).await;
    }
}

fn new(mesh: Mesh, orders: Orders, status: watch::Sender<Status>) -> Agent {
    Agent {
        host: Host::new(),
        clock: Clock::new(),
        links: Links::new(),
        mesh,
        orders,
        status,
        ahead: None,
        asked: None,
        evacuations: evacuation::State::default(),
    }
}
