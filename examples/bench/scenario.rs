//! Scenarios of a run: steady load, or one kind of disturbance.

use crate::cluster::Cluster;
use crate::load::Job;
use cassiarock_test_support::worker::Fault;
use std::str::FromStr;
use std::time::Duration;

/// What, if anything, is disturbed during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// No disturbance.
    Steady,
    /// Nine of ten jobs are sent to the first entry.
    Skew,
    /// The jobs of each five seconds arrive at once.
    Burst,
    /// One worker takes five times as long for each task.
    Slow,
    /// One worker fails every task immediately.
    Hole,
    /// Every second job is cancelled 300 ms after it was submitted.
    Cancel,
    /// Declared run times are ten times too long.
    Wrong,
}

/// The time between two bursts.
const BURST_INTERVAL: Duration = Duration::from_secs(5);

/// The time from a job's submission to its cancellation.
const CANCEL_AFTER: Duration = Duration::from_millis(300);

impl Scenario {
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Skew => "skew",
            Self::Burst => "burst",
            Self::Slow => "slow",
            Self::Hole => "hole",
            Self::Cancel => "cancel",
            Self::Wrong => "wrong",
        }
    }

    /// Applies the disturbances of arrivals and declared run times to the jobs.
    pub fn adjust(self, jobs: &mut [Job]) {
        for (index, job) in jobs.iter_mut().enumerate() {
            match self {
                Self::Skew if index % 10 != 0 => job.entry = 0,
                Self::Burst => {
                    job.at = BURST_INTERVAL * (job.at.as_secs() / BURST_INTERVAL.as_secs()) as u32
                }
                Self::Wrong => job.declared *= 10,
                _ => {}
            }
        }
    }

    /// Sets the scenario's fault, if it has one, at the first worker.
    pub fn inject_fault(self, cluster: &Cluster) {
        let fault = match self {
            Self::Slow => Fault::Slow(5.0),
            Self::Hole => Fault::FailFast,
            _ => return,
        };
        if let Some(worker) = cluster.workers.first() {
            worker.set_fault(fault);
        }
    }

    /// How long after its submission the job with this index is cancelled, if at all.
    pub const fn cancel_after(self, index: usize) -> Option<Duration> {
        match self {
            Self::Cancel if index.is_multiple_of(2) => Some(CANCEL_AFTER),
            _ => None,
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [
            Self::Steady,
            Self::Skew,
            Self::Burst,
            Self::Slow,
            Self::Hole,
            Self::Cancel,
            Self::Wrong,
        ];
        let found = all.into_iter().find(|scenario| scenario.as_str() == text);
        found.ok_or_else(|| format!("no scenario {text}"))
    }
}
