//! Sets the processes up, runs them, and takes them down.

mod agent;
mod entry;

pub use agent::run_agent;
pub use entry::run_entry;

use crate::Error;
use crate::links::tempo;
use cassiarock_adapter::{Settings, reports};
use cassiarock_id::Process;
use cassiarock_peer::Identity;
use cassiarock_process::{Monitor, Parts, Stage, Status, until};
use cassiarock_wire::Role;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// The platform's settings hold no secret. The key keeps processes of other systems apart
/// that dial by mistake; it is no protection against an attacker on the platform's network.
const KEY: &str = "cassiarock on the platform";

/// What is kept of the time to leave for the last answers to go out.
const LAST: Duration = Duration::from_millis(300);

/// How long a process that starts waits for the directory of entries before it dials its seeds.
const DIRECTED: Duration = Duration::from_millis(300);

/// How long answers and ends that have been decided take to leave the sockets.
const FLUSH: Duration = Duration::from_millis(100);

fn identity(settings: &Settings, process: &Process, role: Role) -> Identity {
    Identity {
        process: process.clone(),
        role,
        data_centre: settings.data_centre.clone(),
        address: settings.peers.to_string().into(),
        tempo: tempo(),
    }
}

/// Waits for `leaving`, but no longer than the platform lets the process live, and not if it is
/// told to end at once.
async fn leave(
    leaving: impl Future<Output = ()>,
    asked: &mut watch::Receiver<Stage>,
    grace: Duration,
) {
    tokio::select! {
        () = leaving => {}
        () = until(asked, Stage::Stop) => {}
        () = tokio::time::sleep(grace.saturating_sub(LAST)) => {}
    }
}

/// Tells the seeds, once the directory has had time to tell all entries. Those that dial seeds
/// keep the links for a while: at the start of many processes the few seeds would carry a link
/// with each.
async fn seed(seeds: Vec<SocketAddr>, found: mpsc::Sender<SocketAddr>) {
    tokio::time::sleep(DIRECTED).await;
    for seed in seeds {
        // The process may be ending.
        let _ = found.send(seed).await;
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
    parts: &mut Parts,
) -> Result<(), Error> {
    if let Some(address) = settings.readiness {
        let known = statuses.clone();
        let is_ready = move || known.borrow().ready;
        let listener = bind(address).await?;
        parts.spawn("readiness", serve(listener, reports::readiness(is_ready)));
    }
    // Jobs are served also without metrics.
    match Monitor::bind(settings.monitor).await {
        Ok(monitor) => {
            parts.spawn(
                "metrics",
                monitor.run(statuses.clone(), axum::Router::new()),
            );
        }
        Err(error) => log::warn!("no metrics: {error}"),
    }
    Ok(())
}

async fn serve(listener: TcpListener, router: axum::Router) {
    // Serving ends only with the process.
    let _ = axum::serve(listener, router).await;
}
