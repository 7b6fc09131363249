//! The listener for operators: `GET /status` and `GET /metrics`.

use crate::Status;
use axum::Json;
use axum::Router;
use axum::routing::get;
use cassiarock_server::Bound;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use std::net::SocketAddr;
use std::sync::OnceLock;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Histogram buckets in seconds, from one round trip to the longest tasks.
const DURATION_BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Open connections by default: operators, a collector of metrics, and processes that ask for the
/// state.
const CONNECTIONS: usize = 256;

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Why the listener could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address is taken or not this VM's: correct `metrics` in the settings.
    #[error("listen on {address} for operators: {source}")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
}

/// The bound listener for operators.
#[derive(Debug)]
pub struct Monitor {
    listener: TcpListener,
    address: SocketAddr,
    bound: Bound,
}

impl Monitor {
    /// Binds `address`; port 0 lets the system choose.
    ///
    /// # Errors
    /// `Error::Bind` if the address is taken or not this VM's.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let failed = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self {
            listener,
            address,
            bound: Bound::new("monitor")
                .with_connections(CONNECTIONS)
                .with_bodies(0),
        })
    }

    /// Sets what its clients may take.
    #[must_use]
    pub fn with_bound(self, bound: Bound) -> Self {
        Self { bound, ..self }
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the process ends, `more` routes included.
    pub async fn run(self, status: watch::Receiver<Status>, more: Router) {
        let recorder = recorder();
        let router = Router::new()
            .route(
                "/status",
                get(move || async move { Json(status.borrow().clone()) }),
            )
            .route("/metrics", get(move || async move { scrape(recorder) }))
            .merge(more);
        // Serving ends only with the process.
        cassiarock_server::serve(self.listener, router, &self.bound, std::future::pending()).await;
    }
}

/// Returns the recorder of the whole program; the first process in the program installs it.
fn recorder() -> Option<&'static PrometheusHandle> {
    if RECORDER.get().is_none()
        && let Ok(builder) = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &DURATION_BUCKETS)
        && let Ok(handle) = builder.install_recorder()
    {
        let _ = RECORDER.set(handle);
    }
    RECORDER.get()
}

fn scrape(recorder: Option<&'static PrometheusHandle>) -> String {
    let Some(recorder) = recorder else {
        return String::new();
    };
    recorder.run_upkeep();
    recorder.render()
}
