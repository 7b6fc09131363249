//! The upstream's reports to its agent.

use super::state::State;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The pause between two reports.
const PAUSE: Duration = Duration::from_millis(200);

pub async fn run(name: String, address: SocketAddr, reports: SocketAddr, state: Arc<Mutex<State>>) {
    for sequence in 1_u64.. {
        let (clock, born, cpu, fault) = {
            let state = state.lock().unwrap_or_else(PoisonError::into_inner);
            (state.clock(), state.born, state.cpu(), state.fault)
        };
        let body = json!({
            "service": "tasks",
            "address": address.to_string(),
            "zone": "dc-1",
            "version": "v1",
            "slots": 16,
            "state": if fault.is_leaving { "draining" } else { "ready" },
            "remainingMs": fault.notice.map(|notice| notice.as_millis()),
            "coldRemainingMs": fault.cold.as_millis(),
            "capacity": { "cpu": cpu, "memMb": 16_384, "gpu": 0 },
            "labels": ["a", "r1-1"],
            "clockMs": clock,
            "sequence": sequence,
            "born": born,
        });
        if !fault.is_mute {
            // An agent that is away is told again.
            let _ = timeout(PAUSE, put(&name, reports, &body.to_string())).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn put(name: &str, reports: SocketAddr, body: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(reports).await?;
    let length = body.len();
    let head = format!(
        "PUT /v1/instances/{name} HTTP/1.1\r\nhost: agent\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(())
}
