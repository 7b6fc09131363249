//! Validation of single rules.

use super::Fault;
use crate::action::Run;
use crate::{Action, Condition, Configuration, Rule};
use cassiarock_id::Name;
use std::time::Duration;

/// The maximum deadline: tasks take seconds at most, and no caller waits ten minutes.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// The maximum share of retries, which may at most double the load.
const MAX_RETRY_PERCENT: u32 = 100;

/// The faults of a rule by itself.
pub fn faults(rule: &Rule, configuration: &Configuration) -> Vec<Fault> {
    let name = rule.name.is_empty().then_some(Fault::EmptyName);
    let mut faults: Vec<_> = name.into_iter().collect();
    faults.extend(condition_faults(&rule.when, configuration));
    match &rule.then {
        Action::Run(run) => faults.extend(limit_faults(run, configuration)),
        Action::Refuse { reason } if reason.is_empty() => faults.push(Fault::EmptyReason),
        Action::Refuse { .. } => {}
    }
    faults
}

/// The conflicts with earlier rules: one has the same name, or matches all that the rule matches.
pub fn conflicts(rule: &Rule, earlier: &[Rule]) -> Vec<Fault> {
    let same = earlier.iter().position(|other| other.name == rule.name);
    let covering = earlier
        .iter()
        .position(|other| other.when.covers(&rule.when));
    let unreachable = covering.and_then(|position| {
        let by = earlier.get(position)?.name.clone();
        Some(Fault::Unreachable { by, position })
    });
    same.map(Fault::Duplicate)
        .into_iter()
        .chain(unreachable)
        .collect()
}

fn condition_faults(when: &Condition, configuration: &Configuration) -> Vec<Fault> {
    let spans = [
        ("tasks", when.tasks.is_empty() || when.tasks.max == 0),
        ("cores", when.cores.is_empty()),
        ("memory_mb", when.memory.is_empty()),
        ("accelerators", when.accelerators.is_empty()),
        ("hours", when.hours.is_some_and(|hours| hours.is_empty())),
        (
            "load",
            when.load
                .as_ref()
                .is_some_and(|load| load.percent.is_empty()),
        ),
    ];
    let empty = spans.into_iter().filter(|(_, empty)| *empty);
    let empty = empty.map(|(part, _)| Fault::EmptyRange(part));
    let pool = when
        .load
        .as_ref()
        .and_then(|load| unknown_pool(&load.pool, configuration));
    empty.chain(pool).collect()
}

fn limit_faults(run: &Run, configuration: &Configuration) -> Vec<Fault> {
    let zeros = [
        ("deadline_ms", run.deadline.is_zero()),
        ("queue", run.queue == 0),
        ("slots", run.slots == Some(0)),
    ];
    let zeros = zeros.into_iter().filter(|(_, zero)| *zero);
    let mut faults: Vec<_> = zeros.map(|(limit, _)| Fault::Zero(limit)).collect();
    faults.extend(unknown_pool(&run.pool, configuration));
    if run.deadline > MAX_DEADLINE {
        let limit_s = MAX_DEADLINE.as_secs();
        faults.push(Fault::DeadlineTooLong { limit_s });
    }
    if run.retry_percent > MAX_RETRY_PERCENT {
        faults.push(Fault::TooManyRetries);
    }
    faults
}

fn unknown_pool(pool: &Name, configuration: &Configuration) -> Option<Fault> {
    (!configuration.pools.contains_key(pool)).then(|| Fault::UnknownPool(pool.clone()))
}
