//! `settings check`.

use crate::{Check, Exit, Report, Role, Table};
use cassiarock_settings::{Agent, Client, Entry};
use serde_json::json;
use std::path::Path;

/// Checks every file, so that one run shows the faults of all files.
pub fn settings(check: &Check) -> Report {
    let mut table = Table::new(["file", "finding"]);
    let mut results = Vec::new();
    let mut has_errors = false;
    for file in &check.files {
        let result = check_file(check.role, file)
            .err()
            .map(|error| error.to_string());
        has_errors |= result.is_some();
        let cell = result.clone().unwrap_or_else(|| "ok".to_owned());
        table.push([file.display().to_string(), cell]);
        results.push(json!({ "file": file, "error": result }));
    }
    let report = Report::new(&results, table);
    if has_errors {
        return report.with_exit(Exit::Usage);
    }
    report
}

fn check_file(role: Role, file: &Path) -> Result<(), cassiarock_settings::Error> {
    match role {
        Role::Entry => Entry::load(file).map(drop),
        Role::Agent => Agent::load(file).map(drop),
        Role::Client => Client::load(file).map(drop),
    }
}
