//! Sets up the processes, runs them and shuts them down.

mod agent;
mod entry;
mod share;

pub use agent::run_agent;
pub use entry::run_entry;

use crate::Error;
use crate::links::link_timing;
use cassiarock_adapter::{Settings, reports};
use cassiarock_id::Process;
use cassiarock_peer::Identity;
use cassiarock_process::{Monitor, Parts, Status};
use cassiarock_server::Bound;
use cassiarock_wire::Role;
use share::Share;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// The key of the link handshake. The platform's settings contain no secret, so the key only rejects
/// processes of other systems that dial by mistake. It does not protect against an attacker on the
/// platform's network.
const KEY: &str = "cassiarock on the platform";

/// The part of the grace period that is reserved for sending the last answers.
const GRACE_RESERVE: Duration = Duration::from_millis(300);

/// How long a starting process waits for the directory of entries before it dials its seeds.
const SEED_DELAY: Duration = Duration::from_millis(300);

/// Time for answers and results to leave the sockets.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

fn identity(settings: &Settings, process: &Process, role: Role) -> Identity {
    Identity {
        process: process.clone(),
        role,
        data_centre: settings.data_centre.clone(),
        address: settings.peers.to_string().into(),
        timing: link_timing(),
    }
}

/// Sends the addresses of the seeds after a delay in which the directory can supply all entries.
/// Links with seeds are kept for a while, so without the delay the few seeds would have a link with
/// each process when many start at once.
async fn seed(seeds: Vec<SocketAddr>, addresses: mpsc::Sender<SocketAddr>) {
    tokio::time::sleep(SEED_DELAY).await;
    for seed in seeds {
        // Fails only if the process is ending.
        let _ = addresses.send(seed).await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    let bound = bound.map_err(|source| cassiarock_adapter::Error::Bind { address, source });
    Ok(bound?)
}

/// Opens the listeners for the load balancer's readiness checks and for metrics and status.
async fn monitor(
    settings: &Settings,
    statuses: &watch::Receiver<Status>,
    parts: &mut Parts,
) -> Result<(), Error> {
    let share = Share::new(settings);
    if let Some(address) = settings.readiness {
        let known = statuses.clone();
        let is_ready = move || known.borrow().ready;
        let listener = bind(address).await?;
        let bound = share.readiness();
        parts.spawn(
            "readiness",
            serve(listener, reports::readiness(is_ready), bound),
        );
    }
    // Jobs are served even without metrics.
    match Monitor::bind(settings.monitor).await {
        Ok(monitor) => {
            let monitor = monitor.with_bound(share.monitor());
            parts.spawn(
                "metrics",
                monitor.run(statuses.clone(), axum::Router::new()),
            );
        }
        Err(error) => log::warn!("metrics and status are not served: {error}"),
    }
    Ok(())
}

/// Serves until the process ends.
async fn serve(listener: TcpListener, router: axum::Router, bound: Bound) {
    cassiarock_server::serve(listener, router, &bound, std::future::pending()).await;
}
