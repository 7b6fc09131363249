//! The retry budget.

use cassiarock_policy::retry::{Budget, RetrySafety, Settings};
use std::time::Duration;

// Guards against retries that prevent recovery. When a store that all upstreams use fails, every
// task fails, and the load of unbounded retries would keep the upstreams from recovering.
#[test]
fn a_total_failure_adds_at_most_a_tenth_of_load() {
    let setting = Settings::default();
    let mut budget = Budget::new(setting, 1);
    (0..10_000).for_each(|_| budget.record_success());
    let retries = (0..10_000).filter(|_| budget.take(RetrySafety::Idempotent, 0).is_some());
    assert!(retries.count() as f64 <= setting.reserve);
    (0..100).for_each(|_| budget.record_success());
    let retries = (0..10_000).filter(|_| budget.take(RetrySafety::NotStarted, 0).is_some());
    assert!((9..=11).contains(&retries.count()));
}

#[test]
fn a_task_that_may_have_run_is_never_retried() {
    let mut budget = Budget::new(Settings::default(), 1);
    assert!((0..100).all(|_| budget.take(RetrySafety::Unproven, 0).is_none()));
}

#[test]
fn retries_spread_and_back_off() {
    let setting = Settings {
        reserve: 2000.0,
        ..Settings::default()
    };
    let mut budget = Budget::new(setting, 1);
    let mut waits = |retry| -> Vec<Duration> {
        (0..200)
            .filter_map(|_| budget.take(RetrySafety::NotStarted, retry))
            .collect()
    };
    let (first, fifth) = (waits(0), waits(4));
    let early = first
        .iter()
        .filter(|wait| **wait < setting.base_delay / 2)
        .count();
    assert!((70..130).contains(&early), "{early}");
    let sum = |waits: &[Duration]| waits.iter().sum::<Duration>();
    assert!(sum(&fifth) > 10 * sum(&first));
    assert!(waits(40).iter().all(|wait| *wait <= setting.max_delay));
}
