//! Serves the API within its limits.

use crate::Limit;
use axum::Router;
use cassiarock_server::Bound;
use std::future::Future;
use tokio::net::TcpListener;

/// Serves `router` until `shutdown` is ready, then takes no more connections, answers every
/// request that has arrived, and returns.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use cassiarock_caller::{Limit, router, serve};
/// let (sender, _calls) = tokio::sync::mpsc::channel(64);
/// let limit = Limit::default();
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let routes = router(limit.clone(), sender);
/// serve(listener, routes, &limit, std::future::ready(())).await;
/// # Ok(())
/// # }
/// ```
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limit: &Limit,
    shutdown: impl Future<Output = ()>,
) {
    let bound = Bound::new("callers")
        .with_connections(limit.connections)
        .with_headers(limit.headers)
        .with_bodies(limit.bodies)
        .with_receive(limit.receive);
    cassiarock_server::serve(listener, router, &bound, shutdown).await;
}
