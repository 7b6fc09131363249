//! Statistics of one run.

use super::load::Job;
use super::reference;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default)]
pub struct Distribution {
    pub mean: f64,
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
}

impl Distribution {
    pub fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let index = (values.len() as f64 * share) as usize;
            values
                .get(index.min(values.len().max(1) - 1))
                .copied()
                .unwrap_or(0.0)
        };
        Self {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
        }
    }
}

/// The distribution of the completed jobs' response times divided by a reference's.
pub fn over(response: &[Option<Duration>], reference: &[Duration]) -> Distribution {
    let ratios = response
        .iter()
        .zip(reference)
        .filter_map(|(response, reference)| {
            Some(response.as_ref()?.as_secs_f64() / reference.as_secs_f64())
        });
    Distribution::new(ratios.collect())
}

/// The mean response time of the completed jobs in seconds, and the reference's mean for the
/// same jobs.
pub fn means(response: &[Option<Duration>], reference: &[Duration]) -> (f64, f64) {
    let both = response.iter().zip(reference);
    let pairs: Vec<(f64, f64)> = both
        .filter_map(|(response, other)| {
            Some((response.as_ref()?.as_secs_f64(), other.as_secs_f64()))
        })
        .collect();
    let count = pairs.len().max(1) as f64;
    let sum = pairs
        .iter()
        .fold((0.0, 0.0), |sum, pair| (sum.0 + pair.0, sum.1 + pair.1));
    (sum.0 / count, sum.1 / count)
}

/// The work of the jobs completed in a time span, divided by the capacity of all slots in it.
pub fn goodput(
    jobs: &[Job],
    response: &[Option<Duration>],
    slots: usize,
    (from, until): (Duration, Duration),
) -> f64 {
    let ends = jobs.iter().zip(response);
    let done = ends.filter_map(|(job, response)| {
        let end = job.at + (*response)?;
        (end >= from && end < until).then(|| job.work().as_secs_f64())
    });
    done.sum::<f64>() / (slots as f64 * (until - from).as_secs_f64())
}

/// The ideal response time of each job.
pub fn ideals(jobs: &[Job], slots: usize) -> Vec<Duration> {
    jobs.iter()
        .map(|job| reference::ideal(job, slots))
        .collect()
}
