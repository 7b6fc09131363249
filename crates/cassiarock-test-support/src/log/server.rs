//! The HTTP side of the stand-in.

use super::Fault;
use super::partition::{Condition, Outcome};
use super::store::Store;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::json;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

const BODY_LIMIT: usize = 8 * 1024 * 1024;
const READ_LIMIT: usize = 1024 * 1024;

/// Records of one page of newest ones.
const PAGE: usize = 500;

/// Topics that only the operator writes to.
const OPERATOR: [&str; 2] = ["keyed.op", "keyed.servers"];

/// What the server and its handle share.
#[derive(Debug)]
pub struct Shared {
    store: Mutex<Store>,
    /// Changed after each append, so that waiting reads look again.
    pub appended: watch::Sender<u64>,
    pub appends: AtomicU64,
    pub reads: AtomicU64,
    pub bytes_read: AtomicU64,
}

impl Shared {
    pub fn new() -> Self {
        Self {
            store: Mutex::default(),
            appended: watch::Sender::new(0),
            appends: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            bytes_read: AtomicU64::new(0),
        }
    }

    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends and wakes the waiting reads.
    pub fn append(
        &self,
        topic: &str,
        part: u32,
        records: Vec<Vec<u8>>,
        condition: &Condition,
    ) -> Option<Outcome> {
        let outcome = self.store().add(topic, part, records, condition);
        self.appends.fetch_add(1, Ordering::Relaxed);
        self.appended.send_modify(|count| *count += 1);
        outcome
    }
}

/// One way in, with faults of its own: callers behind different doors meet different faults.
#[derive(Clone, Debug)]
pub struct Entrance {
    pub shared: Arc<Shared>,
    pub faults: Arc<Mutex<Fault>>,
}

impl Entrance {
    pub fn fault(&self) -> MutexGuard<'_, Fault> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the faults that come before any effect.
    async fn suffer(&self, topic: &str) -> Option<Response> {
        let fault = *self.fault();
        if fault.silent {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(fault.slow).await;
        let status = fault.refusal(topic)?;
        Some(StatusCode::from_u16(status).ok()?.into_response())
    }

    /// Whether this append is one whose answer is to be lost.
    fn loses_answer(&self) -> bool {
        let mut fault = self.fault();
        let loses = fault.lost_answers > 0;
        fault.lost_answers = fault.lost_answers.saturating_sub(1);
        loses
    }

    /// How much later this append is to take effect, if so.
    fn delay(&self) -> Option<Duration> {
        let mut fault = self.fault();
        let is_late = fault.late_appends > 0;
        fault.late_appends = fault.late_appends.saturating_sub(1);
        is_late.then_some(fault.late)
    }
}

pub fn router(entrance: Entrance) -> Router {
    Router::new()
        .route("/v1/log-append", post(append))
        .route("/v1/log-read", get(read))
        .route("/v1/log-newest", get(newest))
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(entrance)
}

#[derive(Deserialize)]
struct Append {
    topic: String,
    part: u32,
    at: Option<u64>,
    producer: Option<String>,
    epoch: Option<u64>,
    sequence: Option<u64>,
}

impl Append {
    fn condition(&self) -> Condition {
        let producer = match (&self.producer, self.epoch, self.sequence) {
            (Some(name), Some(epoch), Some(sequence)) => Some((name.clone(), epoch, sequence)),
            _ => None,
        };
        Condition {
            at: self.at,
            producer,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Range {
    topic: String,
    part: u32,
    source: u64,
    #[serde(default)]
    wait_ms: u64,
    max_kb: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Keys {
    topic: String,
    part: u32,
    /// Continue after this key.
    depends_on: Option<String>,
}

async fn append(
    State(entrance): State<Entrance>,
    Query(to): Query<Append>,
    body: Bytes,
) -> Response {
    if let Some(refusal) = entrance.suffer(&to.topic).await {
        return refusal;
    }
    if OPERATOR.contains(&to.topic.as_str()) {
        return StatusCode::FORBIDDEN.into_response();
    }
    let Some(records) = records(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let condition = to.condition();
    if let Some(delay) = entrance.delay() {
        let shared = entrance.shared.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            shared.append(&to.topic, to.part, records, &condition);
        });
        return std::future::pending().await;
    }
    let loses = entrance.loses_answer();
    let shared = &entrance.shared;
    let outcome = shared.append(&to.topic, to.part, records, &condition);
    if loses {
        std::future::pending::<()>().await;
    }
    outcome.map_or_else(|| StatusCode::INSUFFICIENT_STORAGE.into_response(), answer)
}

fn answer(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Done(offset, end) => {
            Json(json!({ "offset": offset, "endOffset": end })).into_response()
        }
        Outcome::Moved(end) => {
            let body = Json(json!({ "endOffset": end }));
            (StatusCode::PRECONDITION_FAILED, body).into_response()
        }
        Outcome::Fenced => {
            (StatusCode::CONFLICT, Json(json!({ "reason": "fenced" }))).into_response()
        }
        Outcome::Sequence(expected) => {
            let body = Json(json!({ "reason": "seq", "sequence": expected }));
            (StatusCode::CONFLICT, body).into_response()
        }
    }
}

/// Records, each behind its length.
fn records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut found = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
        let (record, rest) = rest.split_at_checked(length)?;
        found.push(record.to_vec());
        body = rest;
    }
    Some(found)
}

async fn read(State(entrance): State<Entrance>, Query(range): Query<Range>) -> Response {
    if let Some(refusal) = entrance.suffer(&range.topic).await {
        return refusal;
    }
    let shared = &entrance.shared;
    shared.reads.fetch_add(1, Ordering::Relaxed);
    wait(shared, &range).await;
    if entrance.fault().silent {
        std::future::pending::<()>().await;
    }
    batch(shared, &range)
}

async fn wait(shared: &Shared, range: &Range) {
    let mut appended = shared.appended.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(range.wait_ms);
    while end(shared, range) <= range.source {
        let changed = tokio::time::timeout_at(deadline, appended.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return;
        }
    }
}

fn end(shared: &Shared, range: &Range) -> u64 {
    let mut store = shared.store();
    let partition = store.partition(&range.topic, range.part);
    partition.map_or(0, |partition| partition.end())
}

fn batch(shared: &Shared, range: &Range) -> Response {
    let mut store = shared.store();
    let Some(partition) = store.partition(&range.topic, range.part) else {
        return StatusCode::INSUFFICIENT_STORAGE.into_response();
    };
    if range.source < partition.earliest() {
        let body = Json(json!({ "firstOffset": partition.earliest() }));
        return (StatusCode::GONE, body).into_response();
    }
    let limit = range.max_kb.map_or(READ_LIMIT, |kb| kb * 1024);
    let mut body = Vec::new();
    body.extend_from_slice(&partition.end().to_be_bytes());
    body.extend_from_slice(&partition.earliest().to_be_bytes());
    for (_, bytes) in partition.read(range.source, limit.min(READ_LIMIT)) {
        body.extend_from_slice(&u32::try_from(bytes.len()).unwrap_or(0).to_be_bytes());
        body.extend_from_slice(bytes);
    }
    let bytes = body.len() as u64;
    shared.bytes_read.fetch_add(bytes, Ordering::Relaxed);
    body.into_response()
}

async fn newest(State(entrance): State<Entrance>, Query(keys): Query<Keys>) -> Response {
    if let Some(refusal) = entrance.suffer(&keys.topic).await {
        return refusal;
    }
    entrance.shared.reads.fetch_add(1, Ordering::Relaxed);
    let mut store = entrance.shared.store();
    let Some(partition) = store.partition(&keys.topic, keys.part) else {
        return StatusCode::INSUFFICIENT_STORAGE.into_response();
    };
    let end = partition.end();
    let mut newest = partition.newest(keys.depends_on.as_deref());
    let has_more = newest.len() > PAGE;
    newest.truncate(PAGE);
    let items = newest.iter().map(|(key, offset, value)| {
        json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
    });
    let items: Vec<_> = items.collect();
    Json(json!({ "items": items, "hasMore": has_more, "endOffset": end })).into_response()
}
