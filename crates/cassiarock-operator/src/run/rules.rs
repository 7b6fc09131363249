//! `rules`.

use super::platform::Platform;
use super::rollout;
use crate::progress::with_progress;
use crate::{Error, Report, Rules, Table, document};
use cassiarock_rule::{Action, Configuration, Edit, RuleSet, State, source};
use cassiarock_settings::Client;
use serde_json::json;
use std::path::Path;

const STEP: &str = "change the rules";

/// Shows or changes the rules.
pub async fn run(settings: &Client, rules: &Rules) -> Result<Report, Error> {
    let mut platform = Platform::new(settings)?;
    let state = platform.state().await?;
    let edit = match rules {
        Rules::List => return Ok(list(&state)),
        Rules::Check { file, .. } => return check(file, &state.configuration),
        Rules::Publish { file, .. } => Edit::Publish {
            set: read(file, &state.configuration)?,
        },
        Rules::Insert { at, file, .. } => Edit::Insert {
            at: at.map_or(state.rules.rules.len(), index),
            rule: document::read_as(file)?,
        },
        Rules::Move { to, rule, .. } => Edit::Move {
            name: rule.clone(),
            to: index(*to),
        },
        Rules::Delete { rule, .. } => Edit::Delete { name: rule.clone() },
    };
    let based_on = based_on(rules).unwrap_or(state.version);
    let answer = with_progress(STEP, platform.publisher().edit(based_on, vec![edit])).await;
    let change = platform.change_outcome(STEP, answer)?;
    rollout::report_change(settings, &mut platform, change, waits(rules)).await
}

/// Checks a file against a configuration file, without reading the log.
pub fn check_alone(file: &Path, config: &Path) -> Result<Report, Error> {
    check(file, &document::read_as(config)?)
}

fn check(file: &Path, configuration: &Configuration) -> Result<Report, Error> {
    let count = read(file, configuration)?.rules.len();
    let text = format!("{count} rules, ok");
    Ok(Report::new(&json!({ "rules": count }), text))
}

/// Reads and checks a file of rules.
pub fn read(file: &Path, configuration: &Configuration) -> Result<RuleSet, Error> {
    let set = source::read(&document::read_text(file)?, configuration);
    set.map_err(|error| document::input_error(file, error.to_string()))
}

/// Converts a place, which counts from 1, to an index of the rule list.
const fn index(place: usize) -> usize {
    place.saturating_sub(1)
}

const fn based_on(rules: &Rules) -> Option<u64> {
    match rules {
        Rules::Publish { based_on, .. } => *based_on,
        _ => None,
    }
}

const fn waits(rules: &Rules) -> bool {
    match rules {
        Rules::List | Rules::Check { .. } => false,
        Rules::Publish { wait, .. }
        | Rules::Insert { wait, .. }
        | Rules::Move { wait, .. }
        | Rules::Delete { wait, .. } => *wait,
    }
}

fn list(state: &State) -> Report {
    let rules = &state.rules.rules;
    let head = Table::new(["place", "rule", "when", "then"]);
    let table = rules.iter().enumerate().fold(head, |table, (place, rule)| {
        table.with_row([
            (place + 1).to_string(),
            rule.name.to_string(),
            json!(rule.when).to_string(),
            action(&rule.then),
        ])
    });
    let json = json!({ "version": state.version, "change": state.change, "rules": rules });
    Report::new(&json, format!("{}\n\n{table}", super::version(state)))
}

/// Describes the action of a rule.
pub fn action(action: &Action) -> String {
    match action {
        Action::Run(run) => format!("run in {}", run.pool),
        Action::Refuse { reason } => format!("refuse: {reason}"),
    }
}
