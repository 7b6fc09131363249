//! A listener at its bounds.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use axum::Router;
use axum::body::Body;
use axum::http::StatusCode;
use axum::routing::{get, post};
use cassiarock_server::{Bound, Intake, Terms, serve};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use yare::parameterized;

const TERMS: Terms = Terms {
    bytes: 48 << 10,
    idle: Duration::from_secs(30),
    whole: Duration::from_secs(60),
};

/// Longer than a connection keeps its place that keeps the listener waiting.
const WAITED: Duration = Duration::from_millis(1_100);

/// Serves `/size`, which answers the size of the body, and `/gate`, which answers once the semaphore has
/// a permit.
async fn start(bound: Bound) -> (SocketAddr, Arc<Semaphore>) {
    let gate = Arc::new(Semaphore::new(0));
    let opened = gate.clone();
    let size = async |intake: Intake, body: Body| match intake.receive(body, &TERMS).await {
        Ok(content) => Ok(content.len().to_string()),
        Err(error) => Err((StatusCode::SERVICE_UNAVAILABLE, error.to_string())),
    };
    let wait = async move || {
        opened.acquire().await.unwrap().forget();
        "opened"
    };
    let router = Router::new()
        .route("/size", post(size))
        .route("/gate", get(wait));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { serve(listener, router, &bound, std::future::pending()).await });
    (address, gate)
}

async fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// What the peer sends next.
async fn receive(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 4_096];
    let length = stream.read(&mut buffer).await.unwrap();
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

fn sized(length: usize, sent: usize) -> Vec<u8> {
    let head = format!("POST /size HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    [head.into_bytes(), vec![b' '; sent]].concat()
}

// Guards against newcomers that are refused while other connections keep the listener waiting.
#[parameterized(
    silent = { b"".to_vec() },
    half_a_head = { b"POST /size HTTP/1.1\r\nhos".to_vec() },
    half_a_body = { sized(100, 50) },
)]
#[test_macro(tokio::test)]
async fn a_connection_that_keeps_the_listener_waiting_gives_its_place_to_a_new_one(sent: Vec<u8>) {
    let (address, _) = start(Bound::new("test").with_connections(2)).await;
    let _first = send(address, &sent).await;
    let _second = send(address, &sent).await;
    tokio::time::sleep(WAITED).await;
    let mut third = send(address, &sized(3, 3)).await;
    assert!(receive(&mut third).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn a_request_that_was_read_in_part_is_refused_when_it_loses_its_place() {
    let (address, _) = start(Bound::new("test").with_connections(1)).await;
    let mut first = send(address, &sized(100, 50)).await;
    tokio::time::sleep(WAITED).await;
    let mut second = send(address, &sized(3, 3)).await;
    assert!(receive(&mut first).await.starts_with("HTTP/1.1 503"));
    assert!(receive(&mut second).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn a_request_that_is_being_answered_keeps_its_place() {
    let (address, gate) = start(Bound::new("test").with_connections(1)).await;
    let mut first = send(address, b"GET /gate HTTP/1.1\r\nhost: x\r\n\r\n").await;
    tokio::time::sleep(WAITED).await;
    let mut second = send(address, &sized(3, 3)).await;
    assert!(receive(&mut second).await.starts_with("HTTP/1.1 429"));
    gate.add_permits(1);
    assert!(receive(&mut first).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn an_unfinished_request_loses_its_place_before_an_idle_connection() {
    let (address, _) = start(Bound::new("test").with_connections(2)).await;
    let mut idle = send(address, &sized(3, 3)).await;
    assert!(receive(&mut idle).await.starts_with("HTTP/1.1 200"));
    let _unfinished = send(address, &sized(100, 50)).await;
    tokio::time::sleep(WAITED).await;
    let mut third = send(address, &sized(3, 3)).await;
    assert!(receive(&mut third).await.starts_with("HTTP/1.1 200"));
    idle.write_all(&sized(4, 4)).await.unwrap();
    assert!(receive(&mut idle).await.starts_with("HTTP/1.1 200"));
}

// Guards against large bodies that leave ordinary ones no memory.
#[tokio::test]
async fn a_small_body_is_received_while_large_ones_hold_their_memory() {
    let (address, _) = start(Bound::new("test").with_bodies(128 << 10)).await;
    let (mut large, mut refused) = (Vec::new(), 0);
    for _ in 0..4 {
        large.push(send(address, &sized(48 << 10, (48 << 10) - 1)).await);
    }
    for stream in &mut large {
        let answer = tokio::time::timeout(2 * WAITED, receive(stream)).await;
        refused += usize::from(answer.is_ok_and(|text| text.starts_with("HTTP/1.1 503")));
    }
    assert!(refused > 0, "the memory was not used up");
    let mut small = send(address, &sized(900, 900)).await;
    assert!(receive(&mut small).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn a_body_of_the_largest_size_is_received_in_single_bytes() {
    let (address, _) = start(Bound::new("test").with_bodies(128 << 10)).await;
    let head = b"POST /size HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let body = b"1\r\n \r\n".repeat(TERMS.bytes);
    let mut stream = send(address, &[head, body, b"0\r\n\r\n".to_vec()].concat()).await;
    let answer = receive(&mut stream).await;
    assert!(answer.ends_with(&TERMS.bytes.to_string()), "{answer}");
}
