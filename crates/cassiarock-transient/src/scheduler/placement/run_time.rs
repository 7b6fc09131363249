//! The ratio of actual run times to the callers' estimates, by route and kind of upstream, for
//! deployments whose upstreams are of several speeds.

use super::kind::{MAX_KINDS, is_of_service};
use crate::JobClass;
use crate::scheduler::Scheduler;
use crate::scheduler::active_job::ActiveJob;
use crate::scheduler::agent::Agent;
use crate::scheduler::fault::pace::KindSize;
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The weight of one task in the moving mean: the last twenty tasks make up two thirds.
const WEIGHT: f64 = 0.05;

/// What was assumed before the first task counts as much as this many tasks.
const PRIOR_TASKS: u32 = 4;

/// The ratio of one task is clamped to these bounds, so that no single task distorts the mean.
const BOUNDS: (f64, f64) = (0.2, 5.0);

/// The quantile of the ratio that is tracked as the upper one.
const UPPER_QUANTILE: f64 = 0.9;

/// The upper quantile before the first task, relative to the mean. Estimates are off by 40%.
const UPPER_PRIOR: f64 = 1.3;

/// How far one task moves the upper quantile, relative to its value.
const UPPER_STEP: f64 = 0.05;

/// The number of tasks after which a process relies on what it has seen itself.
const ENOUGH_TASKS: u32 = 20;

/// The most routes that are remembered; a configuration has some hundreds.
const MAX_ROUTES: usize = 1024;

/// The ratio of run times to the callers' estimates.
///
/// ```
/// use cassiarock_transient::scheduler::RunTime;
/// assert!(!RunTime { mean: f64::NAN, upper: 2.0, count: 9 }.is_plausible());
/// ```
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunTime {
    /// The mean.
    pub mean: f64,
    /// The ratio that nine tasks in ten stay below.
    pub upper: f64,
    /// The number of tasks that it was learned from; it tells how much the ratio is worth.
    pub count: u32,
}

impl RunTime {
    const UNKNOWN: Self = Self {
        mean: 1.0,
        upper: UPPER_PRIOR,
        count: 0,
    };

    /// Whether tasks may have such run times.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let is_bounded = |ratio: f64| (BOUNDS.0..=BOUNDS.1).contains(&ratio);
        is_bounded(self.mean) && is_bounded(self.upper) && self.upper >= self.mean
    }

    fn observe(&mut self, ratio: f64) {
        let ratio = ratio.clamp(BOUNDS.0, BOUNDS.1);
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count.saturating_add(PRIOR_TASKS)));
        self.mean += weight * (ratio - self.mean);
        let step = if ratio > self.upper {
            1.0 + UPPER_STEP * UPPER_QUANTILE
        } else {
            1.0 - UPPER_STEP * (1.0 - UPPER_QUANTILE)
        };
        self.upper = (self.upper * step).clamp(self.mean, BOUNDS.1);
    }
}

/// The learned ratios.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct RunTimes {
    routes: HashMap<Name, BTreeMap<Name, RunTime>>,
    /// The ratios of each kind over all routes, for routes that it has not run yet.
    kinds: BTreeMap<Name, RunTime>,
}

impl RunTimes {
    /// The ratio of a route's tasks on a kind of upstream; as on other routes if it has run none.
    pub(in crate::scheduler) fn of(&self, route: &str, kind: &str) -> RunTime {
        let known = self.routes.get(route).and_then(|kinds| kinds.get(kind));
        known.copied().unwrap_or_else(|| self.of_kind(kind))
    }

    /// The ratio of all routes' tasks on a kind of upstream.
    pub(in crate::scheduler) fn of_kind(&self, kind: &str) -> RunTime {
        self.kinds.get(kind).copied().unwrap_or(RunTime::UNKNOWN)
    }

    /// Adds the ratio of a task that is done.
    pub(in crate::scheduler) fn observe(&mut self, route: &Name, kind: &Name, ratio: f64) {
        let prior = RunTime {
            count: 0,
            ..self.of(route, kind)
        };
        if let Some(known) = entry(self.kinds_of(route), kind, prior) {
            known.observe(ratio);
        }
        if let Some(known) = entry(&mut self.kinds, kind, RunTime::UNKNOWN) {
            known.observe(ratio);
        }
    }

    /// The ratios that were learned from enough tasks to be told to other processes.
    pub(in crate::scheduler) fn iter(&self) -> impl Iterator<Item = (&Name, &Name, RunTime)> {
        let routes = self.routes.iter();
        let all = routes.flat_map(|(route, kinds)| {
            let kinds = kinds.iter();
            kinds.map(move |(kind, known)| (route, kind, *known))
        });
        all.filter(|(.., known)| known.count >= ENOUGH_TASKS)
    }

    /// Takes over what another process has learned, unless it is implausible or this process has
    /// seen enough tasks itself. Tasks seen from now on outweigh it as they do its own.
    pub(in crate::scheduler) fn adopt(&mut self, route: &Name, kind: &Name, learned: RunTime) {
        if !learned.is_plausible() {
            return;
        }
        let learned = RunTime {
            count: learned.count.min(ENOUGH_TASKS),
            ..learned
        };
        if let Some(known) = entry(self.kinds_of(route), kind, learned)
            && known.count < ENOUGH_TASKS
        {
            *known = learned;
        }
        if let Some(known) = entry(&mut self.kinds, kind, learned)
            && known.count == 0
        {
            *known = learned;
        }
    }

    fn kinds_of(&mut self, route: &Name) -> &mut BTreeMap<Name, RunTime> {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        self.routes.entry(route.clone()).or_default()
    }
}

/// The figures of `kind`; a new kind replaces the one with the fewest tasks if there are too many.
fn entry<'a>(
    kinds: &'a mut BTreeMap<Name, RunTime>,
    kind: &Name,
    prior: RunTime,
) -> Option<&'a mut RunTime> {
    if kinds.len() >= MAX_KINDS && !kinds.contains_key(kind) {
        let least = kinds.iter().min_by_key(|(_, known)| known.count);
        let least = least.map(|(kind, _)| kind.clone())?;
        kinds.remove(&least);
    }
    Some(kinds.entry(kind.clone()).or_insert(prior))
}

impl Scheduler {
    /// The ratio of a route on upstreams of usual speed, from which objectives follow, since they are
    /// the same whatever the upstream. It is that of the median upstream or of the mean core,
    /// whichever is faster, so that no job is taken to have more time than it has.
    pub(in crate::scheduler) fn reference_ratio(&self, class: &JobClass) -> f64 {
        let kinds = self.kind_sizes.iter();
        let mut ratios: Vec<(f64, KindSize)> = kinds
            .filter(|(kind, _)| is_of_service(kind, &class.service))
            .map(|(kind, size)| (self.run_times.of(&class.route, kind).mean, *size))
            .collect();
        ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
        let upstreams: usize = ratios.iter().map(|(_, size)| size.upstreams).sum();
        let mut counted = 0;
        let median = ratios.iter().find(|(_, size)| {
            counted += size.upstreams;
            counted * 2 > upstreams
        });
        let cores: f64 = ratios.iter().map(|(_, size)| size.cores).sum();
        let speed: f64 = ratios.iter().map(|(ratio, size)| size.cores / ratio).sum();
        let mean = if speed > 0.0 { cores / speed } else { 1.0 };
        median.map_or(mean, |(ratio, _)| ratio.min(mean))
    }

    /// The expected run time of a task on an agent's kind of upstream.
    pub(in crate::scheduler) fn expected_on(
        &self,
        active: &ActiveJob,
        stage: usize,
        agent: &Agent,
    ) -> Duration {
        active.expected[stage].mul_f64(self.kind_ratio(active, agent))
    }

    /// How long the tasks of a job run on the agent's kind of upstream, relative to the expected
    /// run time.
    pub(in crate::scheduler) fn kind_ratio(&self, active: &ActiveJob, agent: &Agent) -> f64 {
        self.run_times.of(&active.class.route, &agent.kind).mean / active.ratio
    }
}
