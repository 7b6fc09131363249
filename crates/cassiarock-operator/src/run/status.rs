//! `status`.

use super::census::{self, Finding};
use super::platform::Platform;
use crate::http::Http;
use crate::{Error, Exit, Report, Table};
use cassiarock_id::{Name, Wall};
use cassiarock_process::Status;
use cassiarock_settings::Client;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Shows every process. In an outage of the log the agents cannot be listed; the entries
/// are shown all the same, since that is when an operator looks.
pub async fn run(settings: &Client) -> Result<Report, Error> {
    let state = match Platform::new(settings) {
        Ok(mut platform) => platform.state().await,
        Err(error) => Err(error),
    };
    let membership = state.as_ref().ok().map(|state| &*state.membership);
    let targets = census::targets(settings, membership);
    let http = Http::new(settings.timeout)?;
    let findings = census::ask(&http, &targets).await;
    let log = state.as_ref().map_or_else(ToString::to_string, |state| {
        format!("ends at {}, {}", state.next, super::version(state))
    });
    let complete = state.is_ok() && findings.iter().all(|finding| finding.status.is_ok());
    let report = Report::new(
        &machine(&log, &findings),
        format!(
            "log: {log}\n\n{}{}",
            table(&findings),
            evacuations(&findings)
        ),
    );
    Ok(if complete {
        report
    } else {
        report.with_exit(Exit::Unreachable)
    })
}

fn machine(log: &str, findings: &[Finding]) -> Value {
    let processes: Vec<Value> = findings
        .iter()
        .map(|finding| match &finding.status {
            Ok(status) => json!({ "name": finding.target.name, "status": status }),
            Err(reason) => json!({ "name": finding.target.name, "error": reason }),
        })
        .collect();
    json!({ "log": log, "processes": processes })
}

fn table(findings: &[Finding]) -> Table {
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
    findings
        .iter()
        .fold(head, |table, finding| match &finding.status {
            Ok(status) => table.with_row(row(status)),
            Err(reason) => table.with_row(unknown(&finding.target.name, reason)),
        })
}

/// The data centres that operators are emptying, with what all entries still have there.
fn evacuations(findings: &[Finding]) -> String {
    let mut emptied: BTreeMap<&Name, (Wall, usize)> = BTreeMap::new();
    let statuses = findings
        .iter()
        .filter_map(|found| found.status.as_ref().ok());
    for evacuation in statuses.flat_map(|status| &status.evacuations) {
        let first = (evacuation.since, 0);
        let (since, tasks) = emptied.entry(&evacuation.data_centre).or_insert(first);
        *since = evacuation.since.min(*since);
        *tasks += evacuation.tasks;
    }
    if emptied.is_empty() {
        return String::new();
    }
    let now = Wall::now();
    let head = Table::new(["emptied", "for", "tasks left"]);
    let table = emptied
        .into_iter()
        .fold(head, |table, (place, (since, tasks))| {
            let seconds = now.since(since).as_secs();
            table.with_row([place.to_string(), format!("{seconds} s"), tasks.to_string()])
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

fn unknown(name: &str, reason: &str) -> [String; 11] {
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
