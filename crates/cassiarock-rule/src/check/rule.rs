//! The faults of one rule.

use super::Fault;
use crate::action::Run;
use crate::{Action, Condition, Configuration, Rule};
use cassiarock_id::Name;
use std::time::Duration;

/// The longest deadline: tasks take seconds at most, and no caller waits ten minutes.
const LONGEST: Duration = Duration::from_secs(600);
/// Retries may double a load at most.
const RETRY_PERCENT: u32 = 100;

/// What is wrong with the rule itself.
pub fn faults(rule: &Rule, configuration: &Configuration) -> Vec<Fault> {
    let name = rule.name.is_empty().then_some(Fault::EmptyName);
    let mut faults: Vec<_> = name.into_iter().collect();
    faults.extend(condition(&rule.when, configuration));
    match &rule.then {
        Action::Run(run) => faults.extend(limits(run, configuration)),
        Action::Refuse { reason } if reason.is_empty() => faults.push(Fault::EmptyReason),
        Action::Refuse { .. } => {}
    }
    faults
}

/// Whether an earlier rule has its name, or takes all that it could decide.
pub fn shadow(rule: &Rule, earlier: &[Rule]) -> Vec<Fault> {
    let same = earlier.iter().position(|other| other.name == rule.name);
    let over = earlier
        .iter()
        .position(|other| other.when.covers(&rule.when));
    let unreachable = over.and_then(|position| {
        let by = earlier.get(position)?.name.clone();
        Some(Fault::Unreachable { by, position })
    });
    same.map(Fault::Duplicate)
        .into_iter()
        .chain(unreachable)
        .collect()
}

fn condition(when: &Condition, configuration: &Configuration) -> Vec<Fault> {
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
        .and_then(|load| unknown(&load.pool, configuration));
    empty.chain(pool).collect()
}

fn limits(run: &Run, configuration: &Configuration) -> Vec<Fault> {
    let zeros = [
        ("deadline_ms", run.deadline.is_zero()),
        ("queue", run.queue == 0),
        ("slots", run.slots == Some(0)),
    ];
    let zeros = zeros.into_iter().filter(|(_, zero)| *zero);
    let mut faults: Vec<_> = zeros.map(|(limit, _)| Fault::Zero(limit)).collect();
    faults.extend(unknown(&run.pool, configuration));
    if run.deadline > LONGEST {
        let limit_s = LONGEST.as_secs();
        faults.push(Fault::DeadlineTooLong { limit_s });
    }
    if run.retry_percent > RETRY_PERCENT {
        faults.push(Fault::TooManyRetries);
    }
    faults
}

fn unknown(pool: &Name, configuration: &Configuration) -> Option<Fault> {
    (!configuration.pools.contains_key(pool)).then(|| Fault::UnknownPool(pool.clone()))
}
