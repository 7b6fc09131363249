//! Sets up an agent, runs it and shuts it down.

use super::share::Share;
use super::{FLUSH_DELAY, GRACE_RESERVE, KEY, bind, identity, monitor, seed, serve};
use crate::agent::{Agent, Batch, Input};
use crate::mesh::Mesh;
use crate::orders::UpstreamOrders;
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
use tokio::time::{Instant, sleep_until};

/// Runs an agent until `asked` requests its end, and shuts it down within the grace period.
///
/// # Errors
/// If a listener or a client cannot be set up, or a vital part of the process has ended.
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
    let asked_at = Instant::now();
    log::info!("leaving");
    tokio::select! {
        () = running.finish_tasks() => {}
        () = until(&mut asked, Stage::Stop) => {}
        () = sleep_until(asked_at + grace.saturating_sub(GRACE_RESERVE)) => {}
    }
    let tasks = running.statuses.borrow().running;
    log::info!(tasks = tasks; "stopped");
    Ok(Report { jobs: 0, tasks })
}

/// A running agent. Its parts end when it is dropped.
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
        let address = settings.reports.ok_or(Error::MissingAddress("reports"))?;
        let listener = bind(address).await?;
        let process = Process::new(settings.name.clone(), Wall::now().as_millis());
        let identity = identity(&settings, &process, Role::Agent);
        let store = Store::new(settings.store.to_string())?;
        let (inputs, received) = mpsc::channel(BACKLOG);
        let (events, received_events) = mpsc::channel(BACKLOG);
        let (reports, received_reports) = mpsc::channel(BACKLOG);
        let (addresses, received_addresses) = mpsc::channel(BACKLOG);
        let first = Status::new(process, "agent", settings.data_centre.clone());
        let (status, statuses) = watch::channel(first);
        let orders = UpstreamOrders::new(UpstreamClient::new(upstream)?, inputs.clone());
        let roster = Roster::new(identity.process.name.clone());
        let mesh = Mesh::new(roster, identity, Key::new(KEY), events);
        let actor = Agent::spawn(create_actor(mesh, orders.clone(), status));

        let mut parts = Parts::default();
        parts.spawn_vital(
            "the actor",
            Pump::new(received).drive(move |batch| {
                let actor = actor.clone();
                async move { actor.ask(Batch(batch)).await.ok() }
            }),
        );
        parts.spawn(
            "link events",
            forward(received_events, inputs.clone(), Input::Link),
        );
        parts.spawn(
            "reports",
            forward(received_reports, inputs.clone(), Input::Report),
        );
        parts.spawn(
            "addresses",
            forward(received_addresses, inputs.clone(), Input::EntryAddress),
        );
        parts.spawn_vital("polls of the upstream", orders.run_polls());
        parts.spawn("seeds", seed(settings.seeds.clone(), addresses.clone()));
        parts.spawn(
            "the reload of settings",
            reload(file, settings.clone(), addresses),
        );
        parts.spawn_vital(
            "the directory of entries",
            directory::bootstrap(store, inputs.clone(), statuses.clone()),
        );
        parts.spawn_vital(
            "the server for reports",
            serve(
                listener,
                reports::router(reports),
                Share::new(&settings).reports(),
            ),
        );
        monitor(&settings, &statuses, &mut parts).await?;
        Ok(Self {
            inputs,
            statuses,
            parts,
        })
    }

    /// Accepts no new tasks, and waits until none is left and the last results have been sent.
    async fn finish_tasks(&self) {
        // Fails only if the actor has ended.
        let _ = self.inputs.send(Input::Leave).await;
        let mut statuses = self.statuses.clone();
        // Orders that the actor receives before `Leave` start tasks, so an earlier status does not
        // tell whether any are left.
        let idle = statuses.wait_for(|status| status.leaving && status.running == 0);
        // Fails only if the actor has ended.
        let _ = idle.await;
        tokio::time::sleep(FLUSH_DELAY).await;
    }
}

fn create_actor(mesh: Mesh, orders: UpstreamOrders, status: watch::Sender<Status>) -> Agent {
    Agent {
        host: Host::new(),
        clock: Clock::new(),
        links: Links::new(),
        mesh,
        orders,
        status,
        newer_directory: None,
        directory_asked_at: None,
        evacuations: evacuation::State::default(),
    }
}
