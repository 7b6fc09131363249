//! Fault detection by outcomes.

use cassiarock_id::Process;
use cassiarock_policy::health::{Monitor, Outcome, Settings};
use std::time::Duration;

const GOOD: Outcome = Outcome::Done { slowness: 1.0 };

fn agent(index: usize) -> Process {
    Process::new(format!("agent-{index:02}"), 1)
}

/// Records twenty outcomes a second for each of eleven upstreams, as `outcome` returns them, for
/// `seconds` from second `from`. Upstreams without a share have none.
fn run(monitor: &mut Monitor, from: u64, seconds: u64, outcome: impl Fn(usize) -> Outcome) {
    for tick in 0..seconds * 10 {
        for index in 0..11 {
            let runs = monitor.share(&agent(index)) > 0.0;
            for _ in 0..if runs { 2 } else { 0 } {
                monitor.record(&agent(index), outcome(index));
            }
        }
        monitor.evaluate(Duration::from_secs(from) + Duration::from_millis(100 * tick));
    }
}

fn monitor() -> Monitor {
    let mut monitor = Monitor::new(Settings::default());
    (0..11).for_each(|index| monitor.add(agent(index)));
    monitor
}

fn withheld(monitor: &Monitor) -> f64 {
    (0..11)
        .map(|index| 1.0 - monitor.share(&agent(index)))
        .sum()
}

#[yare::parameterized(
    fails_everything = { Outcome::Failed },
    loses_every_outcome = { Outcome::Lost },
    is_four_times_slower = { Outcome::Done { slowness: 4.0 } },
)]
fn a_faulty_upstream_loses_its_share_and_no_other_does(outcome: Outcome) {
    let mut monitor = monitor();
    run(
        &mut monitor,
        0,
        4,
        |index| if index == 3 { outcome } else { GOOD },
    );
    assert!(monitor.share(&agent(3)) < 0.2);
    assert_eq!(withheld(&monitor), 1.0 - monitor.share(&agent(3)));
}

#[test]
fn a_repaired_upstream_has_its_full_share_again_within_half_a_minute() {
    let mut monitor = monitor();
    run(&mut monitor, 0, 3, |index| {
        if index == 3 { Outcome::Failed } else { GOOD }
    });
    run(&mut monitor, 3, 27, |_| GOOD);
    assert_eq!(withheld(&monitor), 0.0);
}

// Guards against fault detection withholding most of the pool. When a kind of task starts to
// fail at most upstreams, these seem faulty, and the rest could not carry the load.
#[yare::parameterized(two = { 2 }, five = { 5 }, eight = { 8 }, all = { 11 })]
fn at_most_the_bound_is_withheld(faulty: usize) {
    let mut monitor = monitor();
    run(&mut monitor, 0, 60, |index| {
        if index < faulty {
            Outcome::Failed
        } else {
            GOOD
        }
    });
    assert!(withheld(&monitor) <= 0.3 * 11.0, "{}", withheld(&monitor));
}

// Guards against an upstream that alternately fails for one second and works for ten. Each time
// it gets its full share back it fails some tasks, unless it is tried less and less often.
#[test]
fn a_flapping_upstream_is_tried_less_and_less_often() {
    let mut monitor = monitor();
    let mut shares = Vec::new();
    for round in 0..12 {
        run(&mut monitor, 11 * round, 1, |index| {
            if index == 3 { Outcome::Failed } else { GOOD }
        });
        shares.push(monitor.share(&agent(3)));
        run(&mut monitor, 11 * round + 1, 10, |_| GOOD);
    }
    assert!(shares.iter().all(|share| *share < 0.2), "{shares:?}");
}

// All agents but one had just been replaced when the run times of a kind of task changed. The only one
// with outcomes was taken for slow and not used for seconds, though it was idle.
#[test]
fn an_upstream_is_not_slow_compared_with_upstreams_that_have_run_nothing() {
    let mut monitor = monitor();
    for second in 0..4 {
        for _ in 0..20 {
            monitor.record(&agent(3), Outcome::Done { slowness: 8.0 });
        }
        monitor.evaluate(Duration::from_secs(second));
    }
    assert_eq!(withheld(&monitor), 0.0);
}
