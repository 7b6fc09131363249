//! `explain`.

use crate::http::{Http, Reply};
use crate::{Error, Explain, Report, Table};
use cassiarock_rule::Explanation;
use cassiarock_settings::Client;
use serde::Deserialize;
use serde_json::json;
use std::time::Duration;

const STEP: &str = "explain the request";

/// HTTP status of a successful explanation.
const OK: u16 = 200;

/// Asks the first entry that answers. It evaluates the request with its own rules, pool
/// loads and data centre.
pub async fn run(settings: &Client, explain: &Explain) -> Result<Report, Error> {
    let http = Http::new(settings.timeout)?;
    let body = json!({
        "kind": explain.kind,
        "team": explain.team,
        "tasks": explain.tasks,
        "cores": explain.cores,
        "memory_mb": explain.memory_mb,
        "accelerators": explain.accelerators,
        "repeatable": explain.repeatable,
    });
    let mut last = Error::NotFound {
        step: STEP,
        what: "entry in the settings".to_owned(),
    };
    for entry in &settings.status {
        match http
            .post(STEP, entry, "/explain", &body, Duration::ZERO)
            .await
        {
            Ok(reply) if reply.status == OK => return to_report(entry, reply),
            Ok(reply) => {
                return Err(Error::Refused {
                    step: STEP,
                    reason: format!("{entry}: status {}: {}", reply.status, reply.body),
                });
            }
            Err(failure) => last = failure.error,
        }
    }
    Err(last)
}

fn to_report(entry: &str, reply: Reply) -> Result<Report, Error> {
    let explanation =
        Explanation::deserialize(reply.body).map_err(|error| Error::InvalidResponse {
            step: STEP,
            peer: entry.to_owned(),
            reason: error.to_string(),
        })?;
    let head = Table::new(["rule", "decides", "why"]);
    let table = explanation.passed.iter().fold(head, |table, passed| {
        table.with_row([&*passed.rule, "no", &passed.reason])
    });
    let what = super::rules::action(&explanation.action);
    let table = table.with_row([&*explanation.rule, "yes", &what]);
    let text = format!(
        "version {}, asked at {entry}\n\n{table}",
        explanation.version
    );
    Ok(Report::new(&explanation, text))
}
