//! Shutdown while requests are on their way.

use crate::support::{Api, job};
use cassiarock_caller::{Answer, Limit};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECTIONS: usize = 64;
const TIMEOUT: Duration = Duration::from_secs(10);

/// A connection that is written to without waiting for the runtime, which runs on the same
/// thread as the test: nothing happens in the server until the next `await`.
struct Caller(BufReader<TcpStream>);

impl Caller {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    fn send(&mut self, bytes: &str) {
        self.0.get_mut().write_all(bytes.as_bytes()).unwrap();
    }

    /// Returns the head of the next response, or an empty string if the connection ended.
    fn receive(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.0.read_line(&mut head).unwrap_or(0) == 0 {
                return String::new();
            }
        }
        let (_, length) = head.split_once("content-length: ").unwrap();
        let length = length.split("\r\n").next().unwrap().parse().unwrap();
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        head
    }
}

fn submission() -> String {
    let body = job().to_string();
    let length = body.len();
    format!("POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn callers(api: &Api) -> Vec<Caller> {
    let connect = |_| Caller::connect(api.address);
    (0..CONNECTIONS).map(connect).collect()
}

/// Receives a response on each connection, on another thread.
async fn receive(mut callers: Vec<Caller>) -> (Vec<Caller>, Vec<String>) {
    let receive = move || {
        let heads = callers.iter_mut().map(Caller::receive).collect();
        (callers, heads)
    };
    tokio::task::spawn_blocking(receive).await.unwrap()
}

async fn stopped(api: &mut Api, within: Duration) {
    let server = tokio::time::timeout(within, &mut api.server).await;
    server.unwrap().unwrap();
}

/// Guards against an idle connection closed at shutdown although its next request had
/// already arrived.
#[tokio::test]
async fn requests_in_the_sockets_of_idle_connections_are_answered() {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    let mut callers = callers(&api);
    callers
        .iter_mut()
        .for_each(|caller| caller.send(&submission()));
    let (mut callers, _) = receive(callers).await;
    callers
        .iter_mut()
        .for_each(|caller| caller.send(&submission()));
    api.stop();
    let (_callers, heads) = receive(callers).await;
    let answered = heads.iter().filter(|head| head.starts_with("HTTP/1.1 "));
    assert_eq!(answered.count(), CONNECTIONS);
    stopped(&mut api, TIMEOUT).await;
}

/// Guards against a request cut off because the server had not accepted its connection yet.
#[tokio::test]
async fn requests_on_queued_connections_are_answered() {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    tokio::task::yield_now().await;
    let mut callers = callers(&api);
    callers
        .iter_mut()
        .for_each(|caller| caller.send(&submission()));
    api.stop();
    let (_callers, heads) = receive(callers).await;
    let answered = heads.iter().filter(|head| head.starts_with("HTTP/1.1 "));
    assert_eq!(answered.count(), CONNECTIONS);
    stopped(&mut api, TIMEOUT).await;
}

/// Guards against a request cut off because its connection was new at shutdown and the
/// request still on its way.
#[tokio::test]
async fn the_first_request_of_a_new_connection_is_answered() {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    let mut caller = Caller::connect(api.address);
    api.stop();
    tokio::time::sleep(Duration::from_millis(10)).await;
    caller.send(&submission());
    let (_callers, heads) = receive(vec![caller]).await;
    assert!(heads[0].starts_with("HTTP/1.1 202 "), "{heads:?}");
    stopped(&mut api, TIMEOUT).await;
}

/// Guards against a request cut off because only the first bytes of its head had arrived
/// at shutdown, and against a response without `connection: close`, on which the caller
/// sends its next request to a connection that is being closed.
#[yare::parameterized(
    answered_later = { &submission(), "HTTP/1.1 202 " },
    answered_at_once = { "GET /unknown HTTP/1.1\r\nhost: x\r\n\r\n", "HTTP/1.1 404 " },
)]
#[test_macro(tokio::test)]
async fn a_request_that_has_begun_is_the_last_one_answered(request: &str, answer: &str) {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    let mut caller = Caller::connect(api.address);
    caller.send(&submission());
    let (mut callers, _) = receive(vec![caller]).await;
    let (begin, rest) = request.split_at(10);
    callers[0].send(begin);
    tokio::time::sleep(Duration::from_millis(50)).await;
    api.stop();
    tokio::time::sleep(Duration::from_millis(50)).await;
    callers[0].send(rest);
    let (_callers, heads) = receive(callers).await;
    assert!(heads[0].starts_with(answer), "{heads:?}");
    assert!(heads[0].contains("connection: close"), "{heads:?}");
    stopped(&mut api, TIMEOUT).await;
}

/// Guards against a connection over the limit that is closed at shutdown without the
/// rejection that was owed to it.
#[tokio::test]
async fn requests_over_the_limit_are_rejected_at_shutdown() {
    let limit = Limit {
        connections: 0,
        ..Limit::default()
    };
    let mut api = Api::answering(limit, Answer::Running).await;
    tokio::task::yield_now().await;
    let mut callers = callers(&api);
    callers
        .iter_mut()
        .for_each(|caller| caller.send(&submission()));
    api.stop();
    stopped(&mut api, TIMEOUT).await;
    // Nothing runs while the test reads: a response that is not there yet never comes.
    let mut heads = callers.iter_mut().map(Caller::receive);
    assert!(heads.all(|head| head.starts_with("HTTP/1.1 429 ")));
}

/// Guards against a caller that holds the shutdown by not completing its request.
#[yare::parameterized(
    head = { 10 },
    body = { 120 },
)]
#[test_macro(tokio::test)]
async fn an_incomplete_request_does_not_hold_the_shutdown(sent: usize) {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    let mut caller = Caller::connect(api.address);
    caller.send(&submission());
    let (mut callers, _) = receive(vec![caller]).await;
    callers[0].send(&submission()[..sent]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    api.stop();
    stopped(&mut api, Duration::from_secs(3)).await;
    assert_eq!(api.calls(), 1);
}

/// Guards against a caller that holds the shutdown by sending nothing.
#[tokio::test]
async fn an_idle_connection_does_not_hold_the_shutdown() {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    let unused = Caller::connect(api.address);
    let mut idle = Caller::connect(api.address);
    idle.send(&submission());
    let (callers, _) = receive(vec![idle]).await;
    let stop = Instant::now();
    api.stop();
    stopped(&mut api, TIMEOUT).await;
    assert!(stop.elapsed() < Duration::from_millis(500));
    drop((unused, callers));
}

/// Guards against a sound request that is told it is invalid because the shutdown cut it off.
#[tokio::test]
async fn a_request_that_is_still_sent_at_shutdown_is_told_that_it_has_not_started() {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    let mut caller = Caller::connect(api.address);
    caller.send(&submission()[..120]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    api.stop();
    let receive = move || {
        let mut response = String::new();
        caller.0.read_to_string(&mut response).map(|_| response)
    };
    let response = tokio::task::spawn_blocking(receive).await.unwrap().unwrap();
    assert!(response.starts_with("HTTP/1.1 429 "), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(response.contains("\"unavailable\""), "{response}");
    assert!(response.contains("not started"), "{response}");
    assert_eq!(api.calls(), 0);
}

const UNKNOWN: &str = "POST /unknown HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello";

/// Guards against a request that has begun and is not answered because the body before it was
/// not wanted.
#[tokio::test]
async fn a_request_that_has_begun_after_an_unwanted_body_is_answered() {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    let mut caller = Caller::connect(api.address);
    caller.send(UNKNOWN);
    let (mut callers, _) = receive(vec![caller]).await;
    let request = submission();
    let (begin, rest) = request.split_at(10);
    callers[0].send(begin);
    tokio::time::sleep(Duration::from_millis(50)).await;
    api.stop();
    tokio::time::sleep(Duration::from_millis(50)).await;
    callers[0].send(rest);
    let (_callers, heads) = receive(callers).await;
    assert!(heads[0].starts_with("HTTP/1.1 202 "), "{heads:?}");
    stopped(&mut api, TIMEOUT).await;
}

/// Guards against an idle connection that holds the shutdown because its last body was not
/// wanted.
#[tokio::test]
async fn an_idle_connection_after_an_unwanted_body_does_not_hold_the_shutdown() {
    let mut api = Api::answering(Limit::default(), Answer::Running).await;
    let mut caller = Caller::connect(api.address);
    caller.send(UNKNOWN);
    let (callers, _) = receive(vec![caller]).await;
    let stop = Instant::now();
    api.stop();
    stopped(&mut api, TIMEOUT).await;
    assert!(stop.elapsed() < Duration::from_millis(500));
    drop(callers);
}

/// Guards against a caller that is not told that its connection closes before it has sent its
/// whole request.
#[tokio::test]
async fn a_response_before_the_end_of_its_request_announces_the_close() {
    let api = Api::answering(Limit::default(), Answer::Running).await;
    let mut caller = Caller::connect(api.address);
    caller.send(&UNKNOWN[..UNKNOWN.len() - 1]);
    let (_callers, heads) = receive(vec![caller]).await;
    assert!(heads[0].starts_with("HTTP/1.1 404 "), "{heads:?}");
    assert!(heads[0].contains("connection: close"), "{heads:?}");
}
