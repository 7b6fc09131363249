//! Status queries to all processes.

use crate::http::Http;
use cassiarock_process::Status;
use cassiarock_rule::Membership;
use cassiarock_settings::Client;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

const STEP: &str = "ask for the status";

/// Limit of concurrent requests: thousands of agents answer within a few seconds, and the
/// client does not run out of sockets.
const MAX_CONCURRENT_REQUESTS: usize = 128;

/// A process to query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its name, or its URL if the name is not known.
    pub name: String,
    /// The base URL of its metrics listener; none if it announced none.
    pub url: Option<String>,
}

/// The result of querying one process.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// The process that was queried.
    pub target: Target,
    /// Its status, or why there is none.
    pub status: Result<Status, String>,
}

/// Lists the entries of the settings and the agents of the membership.
pub fn targets(settings: &Client, membership: Option<&Membership>) -> Vec<Target> {
    let entries = settings.status.iter().map(|url| Target {
        name: url.clone(),
        url: Some(url.clone()),
    });
    let members = membership.into_iter().flat_map(|all| all.members.values());
    let agents = members.map(|member| Target {
        name: member.process.name.to_string(),
        url: member.status.map(|address| format!("http://{address}")),
    });
    entries.chain(agents).collect()
}

/// Queries all targets concurrently and returns the results in the order of the targets.
pub async fn query_all(http: &Http, targets: &[Target]) -> Vec<ProbeResult> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    let mut queries = JoinSet::new();
    for (index, target) in targets.iter().cloned().enumerate() {
        let (http, permits) = (http.clone(), Arc::clone(&permits));
        queries.spawn(async move {
            let _permit = permits.acquire_owned().await;
            (index, query(&http, target).await)
        });
    }
    let mut results = queries.join_all().await;
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

async fn query(http: &Http, target: Target) -> ProbeResult {
    let Some(url) = target.url.clone() else {
        let status = Err("announced no status address".to_owned());
        return ProbeResult { target, status };
    };
    let reply = http.get(STEP, &url, "/status", Duration::ZERO).await;
    let status = reply
        .map_err(|failure| failure.error.to_string())
        .and_then(|reply| {
            Status::deserialize(reply.body).map_err(|error| format!("answered no status: {error}"))
        });
    ProbeResult { target, status }
}
