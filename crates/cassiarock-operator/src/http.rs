//! HTTP requests to entries and agents.

use crate::Error;
use reqwest::{Client, Method, RequestBuilder};
use serde_json::Value;
use std::time::Duration;

/// An HTTP client with a timeout on every request.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    timeout: Duration,
}

/// The response of a peer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Value,
}

/// The failure of a request that got no usable response.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether the peer may have received the request all the same.
    pub sent: bool,
    /// The error for the operator.
    pub error: Error,
}

impl Http {
    /// Creates a client whose requests take at most `timeout`. It connects directly to the
    /// address in the settings and ignores proxies set in the environment.
    pub fn new(timeout: Duration) -> Result<Self, Error> {
        let client = Client::builder().no_proxy().build();
        let client = client.map_err(|error| Error::HttpClient {
            reason: error.to_string(),
        })?;
        Ok(Self { client, timeout })
    }

    /// Sends GET to `base` + `path`. The peer may delay its response by `wait`, which extends
    /// the timeout.
    pub async fn get(
        &self,
        step: &'static str,
        base: &str,
        path: &str,
        wait: Duration,
    ) -> Result<Reply, ExchangeError> {
        let request = self.request(Method::GET, base, path, wait);
        exchange(step, base, request).await
    }

    /// Sends POST with `body` to `base` + `path`. The peer may delay its response by `wait`,
    /// which extends the timeout.
    pub async fn post(
        &self,
        step: &'static str,
        base: &str,
        path: &str,
        body: &Value,
        wait: Duration,
    ) -> Result<Reply, ExchangeError> {
        let request = self.request(Method::POST, base, path, wait).json(body);
        exchange(step, base, request).await
    }

    /// Sends DELETE to `base` + `path`.
    pub async fn delete(
        &self,
        step: &'static str,
        base: &str,
        path: &str,
    ) -> Result<Reply, ExchangeError> {
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

async fn exchange(
    step: &'static str,
    peer: &str,
    request: RequestBuilder,
) -> Result<Reply, ExchangeError> {
    let response = request
        .send()
        .await
        .map_err(|error| connection_error(step, peer, &error))?;
    let status = response.status().as_u16();
    let bytes = response
        .bytes()
        .await
        .map_err(|error| connection_error(step, peer, &error))?;
    let body = serde_json::from_slice(&bytes).map_err(|error| ExchangeError {
        sent: true,
        error: Error::InvalidResponse {
            step,
            peer: peer.to_owned(),
            reason: format!("status {status}, body is not JSON: {error}"),
        },
    })?;
    Ok(Reply { status, body })
}

fn connection_error(step: &'static str, peer: &str, error: &reqwest::Error) -> ExchangeError {
    ExchangeError {
        sent: !error.is_connect() && !error.is_builder(),
        error: Error::Unreachable {
            step,
            peer: peer.to_owned(),
            reason: root_cause(error),
        },
    }
}

/// Returns the text of the innermost cause; the outer ones only repeat the address.
fn root_cause(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
