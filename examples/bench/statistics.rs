//! Summary statistics of the measured values.

use serde::Serialize;

/// The mean and some percentiles of a set of values.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Distribution {
    pub mean: f64,
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
}

impl Distribution {
    pub fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let last = values.len().saturating_sub(1);
        let at = |share: f64| {
            let index = (values.len() as f64 * share) as usize;
            values.get(index.min(last)).copied().unwrap_or(0.0)
        };
        Self {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
        }
    }

    /// Each figure divided by that of `other`, or 0 where the latter is not positive.
    pub fn over(&self, other: &Self) -> Self {
        let ratio = |ours: f64, theirs: f64| if theirs > 0.0 { ours / theirs } else { 0.0 };
        Self {
            mean: ratio(self.mean, other.mean),
            p50: ratio(self.p50, other.p50),
            p99: ratio(self.p99, other.p99),
            p999: ratio(self.p999, other.p999),
        }
    }
}

/// The smallest and the largest of some values.
pub fn min_and_max(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| {
        (low.min(value), high.max(value))
    })
}
