//! Samples from probability distributions.

use crate::scenario::{DurationDistribution, ValueDistribution};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::time::Duration;

/// A log-normal sample; `spread` is the standard deviation relative to the mean.
fn log_normal(mean: f64, spread: f64, random: &mut ChaCha12Rng) -> f64 {
    let variance = (1.0 + spread * spread).ln();
    let centre = mean.ln() - variance / 2.0;
    // Mean and spread were validated as finite; without spread the sample is the mean.
    LogNormal::new(centre, variance.sqrt()).map_or(mean, |distribution| distribution.sample(random))
}

pub(crate) fn amount(amount: &ValueDistribution, random: &mut ChaCha12Rng) -> f64 {
    log_normal(amount.mean, amount.relative_deviation, random).min(amount.max)
}

pub(crate) fn length(length: &DurationDistribution, random: &mut ChaCha12Rng) -> Duration {
    let seconds = log_normal(length.mean.as_secs_f64(), length.relative_deviation, random);
    Duration::from_secs_f64(seconds.clamp(0.001, 3_600.0))
}

/// The time in seconds to the next event of a Poisson process of this rate.
pub(crate) fn interval(rate: f64, random: &mut ChaCha12Rng) -> f64 {
    // At rate 0 no event ever comes.
    Exp::new(rate).map_or(f64::INFINITY, |distribution| distribution.sample(random))
}

/// A factor uniform within this share of 1, but at least 0.05.
pub(crate) fn error_factor(share: f64, random: &mut ChaCha12Rng) -> f64 {
    (1.0 + random.random_range(-1.0..1.0) * share).max(0.05)
}
