//! The routes.

mod job;
mod request;
mod state;

use crate::{Call, Limit};
use axum::Router;
use axum::routing::{get, post};
use state::ApiState;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The API's routes, to be served by [`serve`](crate::serve). Checked requests go to
/// `calls`.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use cassiarock_caller::{Answer, Call, Limit, router, serve};
/// let (sender, mut calls) = tokio::sync::mpsc::channel(64);
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let address = listener.local_addr()?;
/// let limit = Limit::default();
/// let routes = router(limit.clone(), sender);
/// tokio::spawn(async move { serve(listener, routes, &limit, std::future::pending()).await });
/// tokio::spawn(async move {
///     while let Some(Call::Find(_, _, answer)) = calls.recv().await {
///         let _ = answer.send(Answer::Unknown);
///     }
/// });
/// let job = cassiarock_id::Job::new(cassiarock_id::Wall::now());
/// let response = reqwest::get(format!("http://{address}/v1/jobs/{job}")).await?;
/// assert_eq!(response.status(), 404);
/// # Ok(())
/// # }
/// ```
pub fn router(limit: Limit, calls: mpsc::Sender<Call>) -> Router {
    let state = ApiState {
        limit: Arc::new(limit),
        calls,
    };
    Router::new()
        .route("/v1/jobs", post(job::submit))
        .route("/v1/jobs/{id}", get(job::find).delete(job::cancel))
        .route("/v1/requests", post(request::submit))
        .with_state(state)
}
