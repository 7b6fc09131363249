//! Waiting until a change is in force everywhere.

use super::platform::{Change, Platform};
use super::probe::{self, ProbeResult};
use crate::http::Http;
use crate::progress::Progress;
use crate::{Error, Exit, Report};
use cassiarock_settings::Client;
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Delay between two rounds of status queries.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Reports a change, after waiting until it is in force if `wait` is set.
pub async fn report_change(
    settings: &Client,
    platform: &mut Platform,
    change: Change,
    wait: bool,
) -> Result<Report, Error> {
    let Change::Accepted(version) = change else {
        return Ok(Report::new(
            &json!({ "changed": false }),
            "nothing to change",
        ));
    };
    if !wait {
        let text = format!("version {version} accepted");
        return Ok(Report::new(
            &json!({ "changed": true, "version": version }),
            text,
        ));
    }
    // The published record itself may have changed the membership, so it is read again.
    let state = platform.state().await?;
    let targets = probe::targets(settings, Some(&state.membership));
    let total = targets.len();
    let started_at = Instant::now();
    let lagging = wait_for_version(settings, &targets, version).await?;
    Ok(result(version, total, &lagging, started_at.elapsed()))
}

/// Polls until every target has the version in force or the wait is over, and returns the
/// targets that still lag.
async fn wait_for_version(
    settings: &Client,
    targets: &[probe::Target],
    version: u64,
) -> Result<Vec<String>, Error> {
    let http = Http::new(settings.timeout)?;
    let deadline = Instant::now() + settings.wait;
    let mut progress = Progress::new();
    let mut remaining = targets.to_vec();
    loop {
        let results = probe::query_all(&http, &remaining).await;
        let lagging: Vec<ProbeResult> = results
            .into_iter()
            .filter(|one| is_lagging(one, version))
            .collect();
        let names: Vec<String> = lagging.iter().map(describe).collect();
        if lagging.is_empty() || Instant::now() >= deadline {
            return Ok(names);
        }
        progress.report(|| format!("version {version} not yet in force at {}", names.join(", ")));
        remaining = lagging.into_iter().map(|result| result.target).collect();
        sleep(POLL_INTERVAL).await;
    }
}

fn is_lagging(result: &ProbeResult, version: u64) -> bool {
    result
        .status
        .as_ref()
        .map_or(true, |status| status.next < version)
}

fn describe(result: &ProbeResult) -> String {
    match &result.status {
        Ok(status) => format!("{} (at {})", status.process.name, status.next),
        Err(reason) => format!("{} ({reason})", result.target.name),
    }
}

fn result(version: u64, total: usize, lagging: &[String], waited: Duration) -> Report {
    let json = json!({
        "changed": true,
        "version": version,
        "processes": total,
        "lagging": lagging,
        "waited_ms": u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
    });
    if lagging.is_empty() {
        let waited = waited.as_secs_f64();
        let text = format!("version {version} in force at {total} processes after {waited:.1} s");
        return Report::new(&json, text);
    }
    let text = format!(
        "version {version} accepted, but not in force at:\n{}",
        lagging.join("\n")
    );
    Report::new(&json, text).with_exit(Exit::Pending)
}
