//! One connection, from its first request to its close.

use crate::Intake;
use crate::read_state::{ReadState, Tracked};
use crate::room::SeatGuard;
use crate::seat::Stage;
use crate::stream::Stream;
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
use tokio::time::timeout;

/// How long a caller that has only connected may take after the shutdown to send the first
/// bytes of a request.
const FIRST_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a caller may take after the shutdown to send the rest of a request.
const REST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection that is closed to make room may take to receive its response. It is reset
/// then.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves a connection until it ends. Once `closing` is set, what has arrived is still
/// answered, and the connection is closed when there is nothing more to read. If it is evicted, a
/// request that has not arrived whole is no longer waited for.
pub(crate) async fn serve(
    http: http1::Builder,
    router: Router,
    socket: TcpStream,
    place: SeatGuard,
    mut closing: watch::Receiver<bool>,
) -> hyper::Result<()> {
    let state = Arc::new(ReadState::new(place.seat.clone()));
    let intake = Intake::new(place.room.clone(), place.seat.clone());
    let router = TowerToHyperService::new(router);
    let is_closing = closing.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(intake.clone());
        let request = request.map(|body| Tracked::new(body, state.clone()));
        let response = router.call(request);
        let (is_closing, state) = (is_closing.clone(), state.clone());
        async move {
            let mut response = response.await?;
            state.respond();
            // After a body that is only read in part, no next request can be read.
            if *is_closing.borrow() || state.is_discarded() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let stream = Stream::new(socket, state.clone());
    let mut connection = pin!(http.serve_connection(TokioIo::new(stream), service));
    let mut is_evicted = false;
    tokio::select! {
        biased;
        ended = connection.as_mut() => return ended,
        // An error means that the server has been dropped.
        _ = closing.wait_for(|is_closing| *is_closing) => {}
        () = place.seat.evicted() => is_evicted = true,
    }
    state.close();
    let mut drain = pin!(poll_fn(|context| {
        let ended = connection.as_mut().poll(context);
        if ended.is_pending() && state.is_idle() {
            connection.as_mut().graceful_shutdown();
            return connection.as_mut().poll(context);
        }
        ended
    }));
    if is_evicted {
        state.expect_none();
        state.expire();
        loop {
            if let Ok(ended) = timeout(EVICTION_TIMEOUT, drain.as_mut()).await {
                return ended;
            }
            // The request may have arrived whole before the connection was evicted.
            if place.seat.stage() != Stage::Serving {
                return Ok(());
            }
        }
    }
    tokio::select! {
        biased;
        ended = drain.as_mut() => return ended,
        () = tokio::time::sleep(FIRST_TIMEOUT) => state.expect_none(),
    }
    tokio::select! {
        biased;
        ended = drain.as_mut() => return ended,
        () = tokio::time::sleep(REST_TIMEOUT) => state.expire(),
    }
    drain.await
}
