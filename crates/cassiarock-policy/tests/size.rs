//! Learned run times and the check of resource needs.

use cassiarock_id::{Name, Process};
use cassiarock_policy::size::{Capacities, Estimator, Feasibility, ResourceKind, Resources};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn learned(declared: impl Fn(u64) -> Duration, ran: impl Fn(u64) -> Duration) -> Estimator {
    let mut estimate = Estimator::default();
    for index in 0..60 {
        estimate.learn(&Name::from("k"), Some(declared(index)), ran(index));
    }
    estimate
}

fn within(actual: Duration, expected: Duration) {
    let ratio = actual.as_secs_f64() / expected.as_secs_f64();
    assert!((0.8..1.25).contains(&ratio), "{actual:?} {expected:?}");
}

#[test]
fn one_task_of_a_minute_does_not_raise_the_estimate_of_its_kind() {
    let mut estimate = learned(|_| ms(100), |_| ms(100));
    estimate.learn(&Name::from("k"), Some(ms(100)), ms(60_000));
    within(estimate.run_time(&Name::from("k"), None), ms(100));
}

#[test]
fn declared_values_that_are_ten_times_too_long_are_corrected() {
    let estimate = learned(
        |index| ms(10_000 + 1000 * (index % 10)),
        |index| ms(1000 + 100 * (index % 10)),
    );
    let expected = estimate.run_time(&Name::from("k"), Some(ms(19_000)));
    within(expected, ms(1900));
}

#[test]
fn declared_values_that_scatter_are_ignored() {
    let wild = |index| if index % 2 == 0 { ms(20) } else { ms(4000) };
    let estimate = learned(wild, |_| ms(200));
    within(estimate.run_time(&Name::from("k"), Some(ms(4000))), ms(200));
}

#[test]
fn kinds_beyond_the_limit_share_one_estimate() {
    let mut estimate = Estimator::default();
    for index in 0..5000 {
        estimate.learn(&Name::from(format!("k{index}")), None, ms(300));
    }
    within(estimate.run_time(&Name::from("never seen"), None), ms(300));
}

#[yare::parameterized(
    modest = { Resources::new(1000, 512, 0), Feasibility::Fits },
    declared_ten_times_too_large = { Resources::new(600_000, 512, 0), Feasibility::Fits },
    far_too_much_memory = { Resources::new(1000, 20 << 20, 0), Feasibility::Impossible(ResourceKind::Memory) },
    an_accelerator = { Resources::new(1000, 512, 1), Feasibility::Impossible(ResourceKind::Accelerator) },
)]
fn a_task_is_refused_only_if_no_upstream_can_run_it(declared: Resources, verdict: Feasibility) {
    let mut fit = Capacities::default();
    assert_eq!(
        fit.check(&declared, &Resources::default()),
        Feasibility::Unknown
    );
    fit.add(
        Process::new("agent-1", 1),
        Resources::new(64_000, 128 << 10, 0),
    );
    assert_eq!(fit.check(&declared, &Resources::default()), verdict);
}
