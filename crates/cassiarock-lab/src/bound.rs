//! An upper bound on the share of callers that any scheduler can answer in time.
//!
//! Jobs that arrive within a span and are answered in time run between the first arrival and the
//! last objective. The upstreams' capacity in that interval limits their total work, and taking
//! the smallest jobs first gives the most answers. Ignoring delays, indivisible tasks, the cores
//! that a task needs at once and the order of arrivals within the span can only raise the count.
//! So the sum over spans that cover a run can't be exceeded. The bound is the least such sum over
//! several span lengths; since jobs with long objectives lengthen each span, it is also computed
//! with them counted as answered without any work. The bound is loose: in a burst shorter than
//! the objectives, by nearly all of the load beyond capacity.

use crate::caller::{Caller, FIRST_ARRIVAL};
use crate::scenario::{Disturbance, DisturbanceKind, Scenario};
use std::time::Duration;

/// Span lengths to try, beside the whole run.
const SPAN_SECONDS: [f64; 5] = [0.5, 1.0, 2.0, 5.0, 10.0];

/// Objectives beyond which jobs count as answered without work; infinity exempts no job.
const OBJECTIVE_LIMITS_SECONDS: [f64; 4] = [0.25, 0.5, 1.0, f64::INFINITY];

/// The largest possible share of callers answered in time, among those who don't leave early.
pub(crate) fn in_time_bound(scenario: &Scenario, callers: &[Caller]) -> f64 {
    let counted: Vec<&Caller> = callers
        .iter()
        .filter(|caller| caller.leaves_after.is_none())
        .collect();
    if counted.is_empty() {
        return 1.0;
    }
    let run = scenario.length.as_secs_f64();
    let spans = SPAN_SECONDS.iter().copied().filter(|span| *span < run);
    let spans: Vec<f64> = spans.chain([run + 1.0]).collect();
    let limits = OBJECTIVE_LIMITS_SECONDS.iter().map(|limit| {
        let is_short = |caller: &&Caller| caller.objective.as_secs_f64() <= *limit;
        let (short, long): (Vec<_>, Vec<_>) = counted.iter().copied().partition(is_short);
        let answered = spans
            .iter()
            .map(|span| max_answered(scenario, &short, *span));
        answered.min().unwrap_or(short.len()) + long.len()
    });
    limits.min().unwrap_or(counted.len()) as f64 / counted.len() as f64
}

fn max_answered(scenario: &Scenario, counted: &[&Caller], span: f64) -> usize {
    let number = |caller: &Caller| ((caller.at - FIRST_ARRIVAL).as_secs_f64() / span) as u64;
    counted
        .chunk_by(|a, b| number(a) == number(b))
        .map(|callers| max_answered_in_span(scenario, callers))
        .sum()
}

fn max_answered_in_span(scenario: &Scenario, callers: &[&Caller]) -> usize {
    let begin = callers.first().map_or(FIRST_ARRIVAL, |caller| caller.at);
    let end = callers.iter().map(|caller| caller.at + caller.objective);
    let end = end.max().unwrap_or(begin);
    let mut remaining = capacity(scenario, begin, end);
    let mut works: Vec<f64> = callers.iter().map(|caller| caller.work()).collect();
    works.sort_by(f64::total_cmp);
    let fit = works.iter().take_while(|work| {
        remaining -= **work;
        remaining >= 0.0
    });
    fit.count()
}

/// Resolution at which upstreams without power are subtracted from the capacity.
const STEP_SECONDS: f64 = 0.05;

/// Core-seconds available between two times, scaled to an upstream of speed 1.
fn capacity(scenario: &Scenario, begin: Duration, end: Duration) -> f64 {
    let mut core_seconds = 0.0;
    let mut at = begin.as_secs_f64();
    while at < end.as_secs_f64() {
        let step = STEP_SECONDS.min(end.as_secs_f64() - at);
        let elapsed = Duration::from_secs_f64((at - FIRST_ARRIVAL.as_secs_f64()).max(0.0));
        core_seconds += step * available_cores(scenario, elapsed);
        at += STEP_SECONDS;
    }
    core_seconds
}

fn available_cores(scenario: &Scenario, at: Duration) -> f64 {
    let lost: Vec<&Disturbance> = scenario
        .disturbances
        .iter()
        .filter(|disturbance| {
            matches!(
                disturbance.kind,
                DisturbanceKind::Lost | DisturbanceKind::AllLost
            ) && disturbance.is_active(at)
        })
        .collect();
    let mut number = 0;
    let mut cores = 0.0;
    for group in &scenario.upstreams {
        for _ in 0..group.count {
            if !lost
                .iter()
                .any(|disturbance| disturbance.affects_upstream(number))
            {
                cores += group.cores * group.speed;
            }
            number += 1;
        }
    }
    cores
}
