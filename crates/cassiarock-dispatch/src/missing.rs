//! Shares what an entry knows of configurations that it lacks between its actor, which hears of
//! them, and the callers' server.

use cassiarock_id::Process;
use cassiarock_transient::missing::MissingVersions;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// The configurations that an entry lacks.
#[derive(Debug)]
pub(crate) struct Missing {
    /// The highest version that this entry has been told of, for requests that match no route.
    newest: Arc<AtomicU64>,
    /// Whether a version has been missing for longer than `limit`.
    is_outdated: Arc<AtomicBool>,
    versions: MissingVersions,
    /// The time that operators allow for a configuration to be in force.
    limit: Duration,
}

impl Missing {
    pub(crate) fn new(limit: Duration) -> Self {
        Self {
            newest: Arc::default(),
            is_outdated: Arc::default(),
            versions: MissingVersions::new(),
            limit,
        }
    }

    pub(crate) fn newest(&self) -> Arc<AtomicU64> {
        self.newest.clone()
    }

    pub(crate) fn is_outdated(&self) -> Arc<AtomicBool> {
        self.is_outdated.clone()
    }

    /// Records that another entry has `version` in force and this one `in_force`.
    pub(crate) fn record(&mut self, other: &Process, version: u64, in_force: u64, now: Duration) {
        let newest = self.newest.fetch_max(version, Ordering::Relaxed);
        if version > newest.max(in_force) {
            log::info!(dependency:% = other, version = version, before = in_force; "newer configuration heard of");
        }
        self.versions.record(version, in_force, now);
    }

    /// Tells the callers' server whether a newer version has been missing for too long.
    pub(crate) fn publish(&self, in_force: u64, now: Duration) {
        let known_for = self.versions.known_for(in_force, now).unwrap_or_default();
        metrics::gauge!("cassiarock_configuration_missing_seconds").set(known_for);
        let is_outdated = known_for > self.limit;
        if self.is_outdated.swap(is_outdated, Ordering::Relaxed) == is_outdated {
            return;
        }
        let newest = self.newest.load(Ordering::Relaxed);
        if is_outdated {
            let known_ms = known_for.as_millis() as u64;
            log::warn!(version = in_force, newest = newest, known_ms = known_ms; "configuration outdated");
        } else {
            log::info!(version = in_force, newest = newest; "configuration outdated no more");
        }
    }
}
