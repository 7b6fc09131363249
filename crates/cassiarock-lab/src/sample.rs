//! Draws from distributions.

use crate::scenario::{DurationDistribution, ValueDistribution};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::time::Duration;

/// A log-normal draw with this mean and this deviation in terms of it.
fn log_normal(mean: f64, spread: f64, random: &mut ChaCha12Rng) -> f64 {
    let variance = (1.0 + spread * spread).ln();
    let centre = mean.ln() - variance / 2.0;
    // Mean and spread have been checked to be finite; without spread it is the mean.
    LogNormal::new(centre, variance.sqrt()).map_or(mean, |distribution| distribution.sample(random))
}

pub(crate) fn amount(amount: &ValueDistribution, random: &mut ChaCha12Rng) -> f64 {
    log_normal(amount.mean, amount.relative_deviation, random).min(amount.max)
}

pub(crate) fn length(length: &DurationDistribution, random: &mut ChaCha12Rng) -> Duration {
    let seconds = log_normal(length.mean.as_secs_f64(), length.relative_deviation, random);
    Duration::from_secs_f64(seconds.clamp(0.001, 3_600.0))
}

/// The pause until the next of events that come at this rate, in seconds.
pub(crate) fn interval(rate: f64, random: &mut ChaCha12Rng) -> f64 {
    // A rate of nothing brings nothing.
    Exp::new(rate).map_or(f64::INFINITY, |distribution| distribution.sample(random))
}

/// A factor that is off 1 by up to this share, either way.
pub(crate) fn error_factor(share: f64, random: &mut ChaCha12Rng) -> f64 {
    (1.0 + random.random_range(-1.0..1.0) * share).max(0.05)
}
