//! Exchanges with entries and agents over HTTP.

use crate::Error;
use reqwest::{Client, Method, RequestBuilder};
use serde_json::Value;
use std::time::Duration;

/// An HTTP client whose every exchange ends within a set time.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    timeout: Duration,
}

/// What a peer answered.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Value,
}

/// Why there is no reply.
#[derive(Debug)]
pub struct Loss {
    /// Whether the peer may have received the request all the same.
    pub sent: bool,
    /// The error for the operator.
    pub error: Error,
}

impl Http {
    /// A client whose exchanges take at most `timeout`. It goes straight to the IP number
    /// that the settings name, whatever proxy the operator's shell is set up for.
    pub fn new(timeout: Duration) -> Result<Self, Error> {
        let client = Client::builder().no_proxy().build();
        let client = client.map_err(|error| Error::HttpClient {
            reason: error.to_string(),
        })?;
        Ok(Self { client, timeout })
    }

    /// Gets `base` + `path`, which the peer may hold back for `wait`.
    pub async fn get(
        &self,
        step: &'static str,
        base: &str,
        path: &str,
        wait: Duration,
    ) -> Result<Reply, Loss> {
        let request = self.request(Method::GET, base, path, wait);
        exchange(step, base, request).await
    }

    /// Posts `body` to `base` + `path`, which the peer may hold back for `wait`.
    pub async fn post(
        &self,
        step: &'static str,
        base: &str,
        path: &str,
        body: &Value,
        wait: Duration,
    ) -> Result<Reply, Loss> {
        let request = self.request(Method::POST, base, path, wait).json(body);
        exchange(step, base, request).await
    }

    /// Deletes `base` + `path`.
    pub async fn delete(&self, step: &'static str, base: &str, path: &str) -> Result<Reply, Loss> {
        let request = self.request(Method::DELETE, base, path, Duration::ZERO);
        exchange(step, base, request).await
    }

    fn request(&self, method: Method, base: &str, path: &str, wait: Duration) -> RequestBuilder {
        let url = format!("{}{path}", base.trim_end_matches('/'));
        self.client
            .request(method, url)
            .timeout(self.timeout.saturating_add(wait))
    }
}

async fn exchange(step: &'static str, peer: &str, request: RequestBuilder) -> Result<Reply, Loss> {
    let response = request
        .send()
        .await
        .map_err(|error| lost(step, peer, &error))?;
    let status = response.status().as_u16();
    let bytes = response
        .bytes()
        .await
        .map_err(|error| lost(step, peer, &error))?;
    let body = serde_json::from_slice(&bytes).map_err(|error| Loss {
        sent: true,
        error: Error::InvalidResponse {
            step,
            peer: peer.to_owned(),
            reason: format!("status {status}, body is not JSON: {error}"),
        },
    })?;
    Ok(Reply { status, body })
}

fn lost(step: &'static str, peer: &str, error: &reqwest::Error) -> Loss {
    Loss {
        sent: !error.is_connect() && !error.is_builder(),
        error: Error::Unreachable {
            step,
            peer: peer.to_owned(),
            reason: root(error),
        },
    }
}

/// The innermost cause: the outer texts only repeat the address.
fn root(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
