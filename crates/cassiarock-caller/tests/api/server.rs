//! The limits on connections, headers and bodies, and the shutdown.

use crate::support::{Api, job, read, reply};
use cassiarock_caller::{Answer, Call, Limit};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use tokio::sync::mpsc;

fn quick() -> Limit {
    Limit {
        receive: Duration::from_millis(200),
        ..Limit::default()
    }
}

/// Returns what the server sends until it closes the connection.
async fn exchange(api: &Api, sent: &'static [u8]) -> String {
    let address = api.address;
    let exchange = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream.write_all(sent).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    });
    exchange.await.unwrap()
}

#[tokio::test]
async fn an_oversized_body_is_rejected() {
    let limit = Limit {
        body: 1000,
        ..Limit::default()
    };
    let api = Api::answering(limit, Answer::Running).await;
    let body = " ".repeat(1001);
    let response = api.post("/v1/jobs").body(body).send().await.unwrap();
    let (status, body) = read(response).await;
    assert_eq!(status, 413);
    assert_eq!(body["field"], "body");
    assert_eq!(api.calls(), 0);
}

/// Guards against a response that is lost because the server closes the connection, which
/// resets it, while the caller still sends the body.
#[yare::parameterized(
    unknown_path = { "/unknown", "HTTP/1.1 404 " },
    oversized_body = { "/v1/jobs", "HTTP/1.1 413 " },
)]
#[test_macro(tokio::test)]
async fn a_response_before_the_end_of_the_body_arrives(path: &'static str, answer: &str) {
    let limit = Limit {
        body: 1000,
        ..Limit::default()
    };
    let api = Api::answering(limit, Answer::Running).await;
    let address = api.address;
    let exchange = move || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let part = " ".repeat(64 << 10);
        let length = part.len() * 4;
        write!(stream, "POST {path} HTTP/1.1\r\nhost: x\r\n")?;
        write!(stream, "content-length: {length}\r\n\r\n")?;
        for _ in 0..4 {
            stream.write_all(part.as_bytes())?;
            std::thread::sleep(Duration::from_millis(20));
        }
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = tokio::task::spawn_blocking(exchange).await.unwrap();
    assert!(
        text.as_ref().is_ok_and(|text| text.starts_with(answer)),
        "{text:?}"
    );
}

#[tokio::test]
async fn oversized_headers_are_rejected() {
    let api = Api::answering(Limit::default(), Answer::Running).await;
    let request = api.post("/v1/jobs").header("x-long", "x".repeat(17 << 10));
    let response = request.json(&job()).send().await.unwrap();
    assert_eq!(response.status(), 431);
    assert_eq!(api.calls(), 0);
}

/// Guards against slow clients that send their requests byte by byte and hold their
/// connections without limit, so that other callers get none.
#[tokio::test]
async fn an_incomplete_body_times_out() {
    let api = Api::answering(quick(), Answer::Running).await;
    let head = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{";
    let text = exchange(&api, head).await;
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
    assert_eq!(api.calls(), 0);
}

/// Guards against a malformed request that is told to come again.
#[tokio::test]
async fn a_body_with_a_malformed_encoding_is_invalid() {
    let api = Api::answering(quick(), Answer::Running).await;
    let request = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nz\r\n";
    let text = exchange(&api, request).await;
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    assert_eq!(api.calls(), 0);
}

#[tokio::test]
async fn incomplete_headers_time_out() {
    let api = Api::answering(quick(), Answer::Running).await;
    let text = exchange(&api, b"POST /v1/jobs HTTP/1.1\r\nhost:").await;
    assert!(!text.starts_with("HTTP/1.1 2"), "{text}");
    assert_eq!(api.calls(), 0);
}

#[tokio::test]
async fn a_connection_over_the_limit_is_rejected() {
    let limit = Limit {
        connections: 1,
        ..Limit::default()
    };
    let (hold, mut held) = mpsc::unbounded_channel();
    let api = Api::new(limit, move |call| hold.send(call).unwrap()).await;
    let first = tokio::spawn(api.post("/v1/jobs").json(&job()).send());
    let call = held.recv().await.unwrap();
    let second = api.post("/v1/jobs").json(&job()).send().await.unwrap();
    let (status, body) = read(second).await;
    assert_eq!(status, 429);
    assert_eq!(body["outcome"], "unavailable");
    reply(call, Answer::Running);
    assert_eq!(first.await.unwrap().unwrap().status(), 202);
}

/// Guards against a request cut off when its entry is replaced: the process closed its
/// connections before it had sent the answers.
#[tokio::test]
async fn shutdown_completes_requests_in_flight() {
    let (hold, mut held) = mpsc::unbounded_channel();
    let mut api = Api::new(Limit::default(), move |call| hold.send(call).unwrap()).await;
    let request = tokio::spawn(api.post("/v1/jobs").json(&job()).send());
    let call: Call = held.recv().await.unwrap();
    api.stop();
    while TcpStream::connect(api.address).is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!api.server.is_finished());
    reply(call, Answer::Running);
    assert_eq!(request.await.unwrap().unwrap().status(), 202);
    api.server.await.unwrap();
}
