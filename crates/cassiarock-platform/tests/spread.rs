//! The load on the log when many processes return at once. Virtual time, fixed seed.

use cassiarock_platform::follow::Backoff;
use cassiarock_rule::jitter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use yare::parameterized;

/// How many calls the log takes in a second.
const LOG_RATE: usize = 300;

fn busiest(mut calls: Vec<Duration>) -> usize {
    calls.sort();
    let within = |(index, first): (usize, &Duration)| {
        let second = *first + Duration::from_secs(1);
        calls[index..].partition_point(|call| *call < second)
    };
    calls.iter().enumerate().map(within).max().unwrap_or(0)
}

// A data centre returns, and all its agents announce themselves.
#[parameterized(
    today = { 11, 11 },
    a_thousand = { 1_000, LOG_RATE },
    all = { 2_900, LOG_RATE },
)]
fn returning_agents_announce_themselves_at_a_rate_the_log_takes(agents: usize, limit: usize) {
    let mut random = StdRng::seed_from_u64(7);
    let calls = (0..agents).map(|_| jitter::delay(agents, random.random()));
    let found = busiest(calls.collect());
    assert!(found <= limit, "{found} in a second");
}

/// The calls of processes that all lose the log at the same moment, until it is back.
fn calls(processes: usize, back: Duration) -> Vec<Vec<Duration>> {
    let mut random = StdRng::seed_from_u64(7);
    let one = |_| {
        let mut backoff = Backoff::new(processes);
        let mut calls = vec![backoff.record_failure(random.random())];
        while let Some(last) = calls.last().filter(|last| **last < back) {
            calls.push(*last + backoff.record_failure(random.random()));
        }
        calls
    };
    (0..processes).map(one).collect()
}

// The log is down for ten minutes, and every process goes on trying. Neither the calls during
// the outage nor those that succeed when it is over come at a rate that would overload it.
#[parameterized(a_thousand = { 1_000, LOG_RATE }, all = { 2_900, 2 * LOG_RATE })]
fn an_outage_and_its_end_are_spread(processes: usize, limit: usize) {
    let calls = calls(processes, Duration::from_secs(600));
    let last = calls.iter().filter_map(|calls| calls.last().copied());
    let returning = busiest(last.collect());
    assert!(
        returning <= LOG_RATE + LOG_RATE / 2,
        "{returning} in a second"
    );
    let found = busiest(calls.into_iter().flatten().collect());
    assert!(found <= limit, "{found} in a second");
}
