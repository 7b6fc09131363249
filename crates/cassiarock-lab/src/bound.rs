//! A bound on what any scheduler can answer in time.
//!
//! In a span of arrivals, what is answered in time is done between the first arrival and the
//! last one's objective. The upstreams can do so much work in that time; the smallest jobs fill
//! it with the most answers. Leaving out delays, whole tasks, widths and who comes when within
//! the span only allows more. So the sum over spans that cover a run can't be exceeded, and
//! the least such sum over several lengths of span is given; jobs with long objectives, which
//! would lengthen each span, are also tried as answered without any work. It is loose: in a
//! burst that is shorter than the objectives by nearly all of what the burst exceeds.

use crate::caller::{Caller, FIRST};
use crate::scenario::{Disturbance, DisturbanceKind, Scenario};
use std::time::Duration;

/// Lengths of spans, in seconds; the whole run is one more.
const SPANS: [f64; 5] = [0.5, 1.0, 2.0, 5.0, 10.0];

/// Objectives, in seconds, beyond which jobs count as answered without work; or none.
const CUTS: [f64; 4] = [0.25, 0.5, 1.0, f64::INFINITY];

/// The share of owed callers that could be answered in time.
pub(crate) fn bound(scenario: &Scenario, callers: &[Caller]) -> f64 {
    let owed: Vec<&Caller> = callers
        .iter()
        .filter(|caller| caller.leaves.is_none())
        .collect();
    if owed.is_empty() {
        return 1.0;
    }
    let whole = scenario.length.as_secs_f64();
    let spans = SPANS.iter().copied().filter(|span| *span < whole);
    let spans: Vec<f64> = spans.chain([whole + 1.0]).collect();
    let cuts = CUTS.iter().map(|cut| {
        let is_short = |caller: &&Caller| caller.objective.as_secs_f64() <= *cut;
        let (short, long): (Vec<_>, Vec<_>) = owed.iter().copied().partition(is_short);
        let most = spans.iter().map(|span| answered(scenario, &short, *span));
        most.min().unwrap_or(short.len()) + long.len()
    });
    cuts.min().unwrap_or(owed.len()) as f64 / owed.len() as f64
}

fn answered(scenario: &Scenario, owed: &[&Caller], span: f64) -> usize {
    let number = |caller: &Caller| ((caller.at - FIRST).as_secs_f64() / span) as u64;
    owed.chunk_by(|a, b| number(a) == number(b))
        .map(|callers| in_span(scenario, callers))
        .sum()
}

fn in_span(scenario: &Scenario, callers: &[&Caller]) -> usize {
    let begin = callers.first().map_or(FIRST, |caller| caller.at);
    let end = callers.iter().map(|caller| caller.at + caller.objective);
    let end = end.max().unwrap_or(begin);
    let mut room = room(scenario, begin, end);
    let mut works: Vec<f64> = callers.iter().map(|caller| caller.work()).collect();
    works.sort_by(f64::total_cmp);
    let fit = works.iter().take_while(|work| {
        room -= **work;
        room >= 0.0
    });
    fit.count()
}

/// The time steps in which lost upstreams are left out, in seconds.
const STEP: f64 = 0.05;

/// Core-seconds, in terms of an upstream of speed 1, between two times.
fn room(scenario: &Scenario, begin: Duration, end: Duration) -> f64 {
    let mut room = 0.0;
    let mut at = begin.as_secs_f64();
    while at < end.as_secs_f64() {
        let step = STEP.min(end.as_secs_f64() - at);
        let since = Duration::from_secs_f64((at - FIRST.as_secs_f64()).max(0.0));
        room += step * cores(scenario, since);
        at += STEP;
    }
    room
}

fn cores(scenario: &Scenario, at: Duration) -> f64 {
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
