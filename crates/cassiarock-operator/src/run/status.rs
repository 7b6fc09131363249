//! `status`.

use super::platform::Platform;
use super::probe::{self, ProbeResult};
use crate::http::Http;
use crate::{Error, Exit, Report, Table};
use cassiarock_id::{Name, Wall};
use cassiarock_process::Status;
use cassiarock_settings::Client;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Shows the status of every process. During an outage of the log the agents cannot be
/// listed, but the entries are still shown.
pub async fn run(settings: &Client) -> Result<Report, Error> {
    let state = match Platform::new(settings) {
        Ok(mut platform) => platform.state().await,
        Err(error) => Err(error),
    };
    let membership = state.as_ref().ok().map(|state| &*state.membership);
    let targets = probe::targets(settings, membership);
    let http = Http::new(settings.timeout)?;
    let results = probe::query_all(&http, &targets).await;
    let log = state.as_ref().map_or_else(ToString::to_string, |state| {
        format!("ends at {}, {}", state.next, super::version(state))
    });
    let complete = state.is_ok() && results.iter().all(|result| result.status.is_ok());
    let report = Report::new(
        &to_json(&log, &results),
        format!("log: {log}\n\n{}{}", table(&results), evacuations(&results)),
    );
    Ok(if complete {
        report
    } else {
        report.with_exit(Exit::Unreachable)
    })
}

fn to_json(log: &str, results: &[ProbeResult]) -> Value {
    let processes: Vec<Value> = results
        .iter()
        .map(|result| match &result.status {
            Ok(status) => json!({ "name": result.target.name, "status": status }),
            Err(reason) => json!({ "name": result.target.name, "error": reason }),
        })
        .collect();
    json!({ "log": log, "processes": processes })
}

fn table(results: &[ProbeResult]) -> Table {
    let head = Table::new([
        "process",
        "role",
        "data_centre",
        "version",
        "members",
        "read",
        "jobs",
        "waiting",
        "running",
        "links",
        "state",
    ]);
    results
        .iter()
        .fold(head, |table, result| match &result.status {
            Ok(status) => table.with_row(row(status)),
            Err(reason) => table.with_row(unreachable_row(&result.target.name, reason)),
        })
}

/// Formats the data centres under evacuation, with the tasks that all entries still have
/// there.
fn evacuations(results: &[ProbeResult]) -> String {
    let mut evacuated: BTreeMap<&Name, (Wall, usize)> = BTreeMap::new();
    let statuses = results
        .iter()
        .filter_map(|result| result.status.as_ref().ok());
    for evacuation in statuses.flat_map(|status| &status.evacuations) {
        let first = (evacuation.since, 0);
        let (since, tasks) = evacuated.entry(&evacuation.data_centre).or_insert(first);
        *since = evacuation.since.min(*since);
        *tasks += evacuation.tasks;
    }
    if evacuated.is_empty() {
        return String::new();
    }
    let now = Wall::now();
    let head = Table::new(["emptied", "for", "tasks left"]);
    let table = evacuated
        .into_iter()
        .fold(head, |table, (data_centre, (since, tasks))| {
            let seconds = now.since(since).as_secs();
            table.with_row([
                data_centre.to_string(),
                format!("{seconds} s"),
                tasks.to_string(),
            ])
        });
    format!("\n{table}")
}

fn row(status: &Status) -> [String; 11] {
    [
        status.process.name.to_string(),
        status.role.to_string(),
        status.data_centre.to_string(),
        status.version.to_string(),
        status.membership.to_string(),
        status.next.to_string(),
        status.jobs.to_string(),
        status.waiting.to_string(),
        status.running.to_string(),
        status.links.to_string(),
        state(status),
    ]
}

fn unreachable_row(name: &str, reason: &str) -> [String; 11] {
    let blank = || "-".to_owned();
    [
        name.to_owned(),
        blank(),
        blank(),
        blank(),
        blank(),
        blank(),
        blank(),
        blank(),
        blank(),
        blank(),
        reason.to_owned(),
    ]
}

fn state(status: &Status) -> String {
    let mut words = Vec::new();
    if status.leaving {
        words.push("leaving");
    }
    if !status.ready {
        words.push("not ready");
    }
    if !status.log_reachable {
        words.push("log out of reach");
    }
    if words.is_empty() {
        words.push("ok");
    }
    words.join(", ")
}
