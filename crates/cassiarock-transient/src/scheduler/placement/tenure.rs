//! How long an upstream stays, and how long it is slow after its start, for upstreams that are
//! replaced at short notice.

use crate::message::Upstream;
use crate::scheduler::Scheduler;
use crate::scheduler::active_job::ActiveJob;
use crate::scheduler::agent::Agent;
use crate::timing::MAX_NOTICE;
use std::time::Duration;

/// The weight of one task in the pace of cold upstreams: the last ten make up two thirds.
const WEIGHT: f64 = 0.1;

/// The ratio of one task is limited to these bounds, so that no single one distorts the mean.
const BOUNDS: (f64, f64) = (1.0, 8.0);

/// The slowdown in percent that an agent reports as long as no task has shown another.
const UNKNOWN_SLOWDOWN: u16 = 100;

/// The announced end of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::scheduler) struct Notice {
    /// When everything on the upstream terminates at the earliest, on the entry's clock.
    pub(in crate::scheduler) ends_at: Duration,
    pub(in crate::scheduler) heard_at: Duration,
    /// Whether the tasks there have been judged since it was heard.
    pub(in crate::scheduler) is_judged: bool,
}

impl Notice {
    /// The least time left until the end.
    pub(in crate::scheduler) const fn left(&self, now: Duration) -> Duration {
        self.ends_at.saturating_sub(now)
    }

    pub(in crate::scheduler) const fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at)
    }
}

/// The time for which an upstream is slow after its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Cold {
    /// When it is warm, on the entry's clock.
    warm_at: Duration,
    /// The longest time that was told to be left.
    total: Duration,
}

/// What is known of the time of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct Tenure {
    /// Its announced end, while it leaves.
    pub(in crate::scheduler) notice: Option<Notice>,
    cold: Option<Cold>,
}

impl Tenure {
    /// The tenure after the agent has described its upstream. `is_same` tells whether that is the
    /// incarnation that was known before: another one has announced nothing yet.
    pub(in crate::scheduler) fn after(self, told: &Upstream, is_same: bool, now: Duration) -> Self {
        let before = if is_same { self } else { Self::default() };
        let at = |left: Duration| now + left.min(MAX_NOTICE);
        let notice = told.remaining.map(|left| Notice {
            ends_at: at(left),
            heard_at: now,
            is_judged: false,
        });
        let cold = told.cold_remaining.map(|left| Cold {
            warm_at: at(left),
            total: left.max(before.cold.map_or(Duration::ZERO, |cold| cold.total)),
        });
        Self {
            notice: notice.or(before.notice).filter(|_| told.is_leaving),
            cold: cold.or(before.cold),
        }
    }

    pub(in crate::scheduler) fn is_cold(&self, now: Duration) -> bool {
        self.cold.is_some_and(|cold| now < cold.warm_at)
    }

    /// The share of its capacity that a cold upstream should use: none at its start, all when it is
    /// warm.
    fn warm_share(&self, now: Duration) -> f64 {
        self.cold.map_or(1.0, |cold| {
            let left = cold.warm_at.saturating_sub(now);
            1.0 - left.as_secs_f64() / cold.total.as_secs_f64().max(0.001)
        })
    }
}

/// How many times as long as expected tasks take on cold upstreams, from those that have ended
/// there.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct ColdPace(Option<f64>);

impl ColdPace {
    pub(in crate::scheduler) fn observe(&mut self, ratio: f64) {
        let ratio = ratio.clamp(BOUNDS.0, BOUNDS.1);
        let mean = self.0.get_or_insert(ratio);
        *mean += WEIGHT * (ratio - *mean);
    }
}

impl Scheduler {
    /// How long tasks run on the agent's upstream relative to the median of its kind. Of a cold one that has
    /// shown nothing yet, it is what others were while cold.
    pub(in crate::scheduler) fn pace_of(&self, agent: &Agent, now: Duration) -> f64 {
        let pace = agent.pace();
        let is_unknown = agent.load.slowdown_percent == UNKNOWN_SLOWDOWN;
        match self.cold_pace.0 {
            Some(cold_pace) if is_unknown && self.is_cold(agent, now) => cold_pace.max(pace),
            _ => pace,
        }
    }

    fn is_cold(&self, agent: &Agent, now: Duration) -> bool {
        self.mechanisms.warming && agent.tenure.is_cold(now)
    }

    /// Whether a task of the job may be placed on the agent's upstream as far as its start goes: a
    /// cold one gets what ends in time there, up to a share of its capacity that grows as it warms.
    /// Each entry may have one task there at any time, which shows how slow it is.
    pub(in crate::scheduler) fn is_warm_enough(
        &self,
        active: &ActiveJob,
        stage: usize,
        agent: &Agent,
        now: Duration,
    ) -> bool {
        if !self.is_cold(agent, now) {
            return true;
        }
        let expected = active.expected[stage];
        let can_be_on_time = now + expected <= active.on_time_until;
        let limit = if can_be_on_time {
            active.on_time_until
        } else {
            active.useful_until
        };
        let there = self.expected_on(active, stage, agent);
        if now + there.mul_f64(self.pace_of(agent, now)) > limit {
            return false;
        }
        let capacity = agent.capacity().cpu;
        let used = capacity.saturating_sub(agent.free().cpu);
        let used = used.saturating_add(active.job.stages[stage].demand.cpu);
        agent.placed == 0 || used as f64 <= capacity as f64 * agent.tenure.warm_share(now)
    }
}
