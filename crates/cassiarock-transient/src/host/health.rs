//! Health of an upstream, from the results of its latest tasks.

use crate::message::Outcome;
use cassiarock_id::Name;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of results that count: those of a fifth of a second, at 45 a second per upstream.
const MAX_RESULTS: usize = 12;

/// How long a result counts. An upstream that got no work for this long is tried again.
const WINDOW: Duration = Duration::from_secs(3);

/// The weight of one result in the moving average: the last ten make up two thirds of it.
const SLOWDOWN_WEIGHT: f64 = 0.1;

/// The weight of one result of a cold upstream, which becomes faster with each task.
const COLD_WEIGHT: f64 = 0.25;

/// The slowdown of one task is limited to these bounds, so that no single one distorts the average.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.2, 8.0);

/// Recent results and the average slowdown of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// The time, the job and whether the task failed.
    results: VecDeque<(Duration, Name, bool)>,
    slowdown: f64,
    /// The number of run times seen, while the upstream is cold.
    cold_results: Option<u32>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            results: VecDeque::new(),
            slowdown: 1.0,
            cold_results: None,
        }
    }
}

impl Health {
    /// Sets whether the upstream is cold. Its slowdown is forgotten when it is warm.
    pub(super) const fn set_cold(&mut self, is_cold: bool) {
        match (is_cold, self.cold_results) {
            (true, None) => self.cold_results = Some(0),
            (false, Some(_)) => {
                self.cold_results = None;
                self.slowdown = 1.0;
            }
            _ => {}
        }
    }

    /// The weight of the next run time: a cold upstream shows with its first tasks how slow it is.
    fn next_weight(&mut self) -> f64 {
        match &mut self.cold_results {
            Some(results) => {
                *results = results.saturating_add(1);
                COLD_WEIGHT.max(1.0 / f64::from(*results))
            }
            None => SLOWDOWN_WEIGHT,
        }
    }

    pub(super) fn record(
        &mut self,
        job: &Name,
        outcome: Outcome,
        ran: Duration,
        expected: Duration,
        now: Duration,
    ) {
        let failed = match outcome {
            Outcome::Done => false,
            Outcome::Failed => true,
            _ => return,
        };
        while self.results.front().is_some_and(|(at, ..)| {
            now.saturating_sub(*at) > WINDOW || self.results.len() >= MAX_RESULTS
        }) {
            self.results.pop_front();
        }
        self.results.push_back((now, job.clone(), failed));
        if !failed && !expected.is_zero() {
            let slowdown = ran.as_secs_f64() / expected.as_secs_f64();
            let weight = self.next_weight();
            self.slowdown +=
                weight * (slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1) - self.slowdown);
        }
    }

    /// The percentage of recent tasks that failed. Failures of one job count once, as a job that
    /// can never succeed fails on any upstream, and fewer than two failed jobs count as none.
    pub(super) fn failure_percent(&self, now: Duration) -> u8 {
        let mut failed: Vec<&Name> = Vec::new();
        let mut done = 0_usize;
        let recent = self.results.iter();
        let recent = recent.filter(|(at, ..)| now.saturating_sub(*at) <= WINDOW);
        for (_, job, is_failure) in recent {
            if !is_failure {
                done += 1;
            } else if !failed.contains(&job) {
                failed.push(job);
            }
        }
        if failed.len() < 2 {
            return 0;
        }
        u8::try_from(failed.len() * 100 / (failed.len() + done)).unwrap_or(100)
    }

    /// The average run time as a percentage of the expected run time.
    pub(super) fn slowdown_percent(&self) -> u16 {
        (self.slowdown * 100.0)
            .round()
            .clamp(1.0, f64::from(u16::MAX)) as u16
    }
}
