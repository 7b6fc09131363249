//! One connection, from its first request to its close.

use super::input::{Input, Tracked};
use super::stream::Stream;
use axum::Router;
use axum::http::HeaderValue;
use axum::http::header::CONNECTION;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// How long a caller that has only connected may take after the shutdown to send the first
/// bytes of a request.
const FIRST_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a caller may take after the shutdown to send the rest of a request.
const REST_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a connection until it ends. Once `closing` is set, what has arrived is still
/// answered, and the connection is closed when there is nothing more to read.
pub(super) async fn serve(
    http: http1::Builder,
    router: Router,
    socket: TcpStream,
    mut closing: watch::Receiver<bool>,
) -> hyper::Result<()> {
    let input = Arc::<Input>::default();
    let router = TowerToHyperService::new(router);
    let is_closing = closing.clone();
    let service = service_fn(|request: Request<Incoming>| {
        let request = request.map(|body| Tracked::new(body, input.clone()));
        let response = router.call(request);
        let (is_closing, input) = (is_closing.clone(), input.clone());
        async move {
            let mut response = response.await?;
            // After a body that is only read in part, no next request can be read.
            if *is_closing.borrow() || input.is_discarded() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let stream = Stream::new(socket, input.clone());
    let mut connection = pin!(http.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        biased;
        ended = connection.as_mut() => return ended,
        // An error means that the server has been dropped.
        _ = closing.wait_for(|is_closing| *is_closing) => {}
    }
    input.close();
    let mut drain = pin!(poll_fn(|context| {
        let ended = connection.as_mut().poll(context);
        if ended.is_pending() && input.is_idle() {
            connection.as_mut().graceful_shutdown();
            return connection.as_mut().poll(context);
        }
        ended
    }));
    tokio::select! {
        biased;
        ended = drain.as_mut() => return ended,
        () = tokio::time::sleep(FIRST_TIMEOUT) => input.expect_none(),
    }
    tokio::select! {
        biased;
        ended = drain.as_mut() => return ended,
        () = tokio::time::sleep(REST_TIMEOUT) => input.expire(),
    }
    drain.await
}
