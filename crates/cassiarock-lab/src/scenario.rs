//! What is played: a deployment, its callers and what happens to it.

use crate::Error;
use cassiarock_id::Name;
use cassiarock_settings::check::{Check, Problem};
use cassiarock_settings::read;
use cassiarock_settings::units::Time;
use serde::Deserialize;
use serde_with::serde_as;
use std::path::Path;
use std::time::Duration;

/// A scenario, as its file gives it. Commented examples stand in `settings/lab`.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long callers come.
    #[serde_as(as = "Time")]
    pub length: Duration,
    /// Each seed is one run.
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    /// One way, between processes of different data centres; 0.1 ms within one.
    #[serde(default = "Scenario::cross_data_centre_latency")]
    #[serde_as(as = "Time")]
    #[serde(rename = "across")]
    pub cross_data_centre_latency: Duration,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The upstreams, each with its agent.
    pub upstreams: Vec<UpstreamGroup>,
    /// The kinds of jobs.
    pub kinds: Vec<JobKind>,
    /// What happens.
    #[serde(default)]
    pub disturbances: Vec<Disturbance>,
    /// What users weigh.
    #[serde(default)]
    pub weights: Weights,
}

/// How users weigh what callers get.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// What was earned over the whole run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The share served at all, counted in nines.
    pub served: f64,
    /// What was earned in the worst seconds.
    #[serde(rename = "windows")]
    pub worst_windows: f64,
    /// What was earned by the worst-served kind.
    pub worst_kind: f64,
    /// The share not served that counts as none.
    #[serde(rename = "served_best")]
    pub unserved_floor: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            overall: 0.4,
            served: 0.35,
            worst_windows: 0.15,
            worst_kind: 0.1,
            unserved_floor: 0.001,
        }
    }
}

/// An entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Where it is.
    pub data_centre: Name,
    /// Its part of the callers, in terms of the others'.
    #[serde(default = "one")]
    pub share: f64,
}

/// Upstreams that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamGroup {
    /// Where they are.
    pub data_centre: Name,
    /// How many.
    pub count: usize,
    /// Their cores.
    pub cores: f64,
    /// Their memory.
    pub memory_mib: u64,
    /// How fast they work; tasks take this many times less.
    #[serde(default = "one")]
    pub speed: f64,
}

/// Jobs of one queue.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobKind {
    /// The queue's name.
    pub name: Name,
    /// Jobs a second.
    pub rate: f64,
    /// Tasks of a job.
    #[serde(rename = "tasks")]
    pub task_count: ValueDistribution,
    /// How long a task runs.
    pub run_time: DurationDistribution,
    /// Cores of a task.
    pub cores: ValueDistribution,
    /// Memory of a task.
    #[serde(default = "JobKind::memory_mib")]
    pub memory_mib: u64,
    /// How far callers' estimates of run times are off, as a share.
    #[serde(default)]
    #[serde(rename = "estimate_off")]
    pub estimate_error: f64,
    /// An answer is in time up to this many times the job's longest task, ...
    #[serde(rename = "slack")]
    pub slack_factor: f64,
    /// ... and this much more.
    #[serde_as(as = "Time")]
    #[serde(rename = "target")]
    pub target_latency: Duration,
    /// 0 goes first.
    #[serde(default)]
    pub priority: u32,
    /// How often a task may fail.
    /// The share of its jobs of which one task crashes each upstream that starts it.
    #[serde(default)]
    #[serde(rename = "crashing")]
    pub crash_share: f64,
    #[serde(default = "JobKind::max_attempts")]
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Callers wait three times as long as an answer is in time, and this much more.
    #[serde(default = "JobKind::extra_patience")]
    #[serde_as(as = "Time")]
    #[serde(rename = "patience")]
    pub extra_patience: Duration,
    /// What an answer in time is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// What a later one is worth.
    #[serde(default = "JobKind::late_worth")]
    pub late_worth: f64,
}

/// A quantity: its mean, its deviation as a share of the mean, and its bound.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ValueDistribution {
    /// The mean.
    pub mean: f64,
    /// The standard deviation, in terms of the mean.
    #[serde(default)]
    #[serde(rename = "spread")]
    pub relative_deviation: f64,
    /// No more than this.
    #[serde(default = "unbounded")]
    #[serde(rename = "most")]
    pub max: f64,
}

/// A duration: its mean and its deviation as a share of the mean.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DurationDistribution {
    /// The mean.
    #[serde_as(as = "Time")]
    pub mean: Duration,
    /// The standard deviation, in terms of the mean.
    #[serde(default)]
    #[serde(rename = "spread")]
    pub relative_deviation: f64,
}

/// What happens.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// When, from the first caller.
    #[serde_as(as = "Time")]
    #[serde(rename = "at")]
    pub start: Duration,
    /// For how long.
    #[serde(rename = "for")]
    #[serde_as(as = "Time")]
    pub duration: Duration,
    /// What.
    #[serde(rename = "what")]
    pub kind: DisturbanceKind,
    /// Which upstreams, counted from 0; all of them if none is named.
    #[serde(default)]
    pub upstreams: Vec<usize>,
    /// How much: times the rate, times the run time, or the share.
    #[serde(default = "one")]
    pub factor: f64,
    /// Which kind of jobs; all of them if none is named.
    #[serde(default)]
    #[serde(rename = "kind")]
    pub job_kind: Option<Name>,
    /// Which data centre is emptied.
    #[serde(default)]
    pub data_centre: Option<Name>,
}

/// What can happen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum DisturbanceKind {
    /// More callers come.
    Burst,
    /// Upstreams work slower.
    Slow,
    /// Upstreams fail a share of what they start, fast.
    Failing,
    /// Tasks that start on the upstreams stand still.
    Hanging,
    /// Upstreams and their agents lose power.
    Lost,
    /// All entries, agents and upstreams lose power.
    AllLost,
    /// A share of the callers leaves within their objective.
    Leaving,
    /// Operators empty a data centre, and take that back at the end.
    Emptied,
}

impl Scenario {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// With file, field and remedy.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(&read::text(path)?, &path.display().to_string())
    }

    /// Parses and checks a text; `file` is named in errors.
    ///
    /// ```
    /// use cassiarock_lab::Scenario;
    /// let error = Scenario::parse(r#"{ "lenght": "2s" }"#, "a.jsonc").unwrap_err();
    /// assert!(error.to_string().contains("did you mean `length`"));
    /// ```
    ///
    /// # Errors
    /// With file, field and remedy.
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let scenario: Self = read::parse(text, file)?;
        scenario
            .check()
            .map_err(|problem| problem.in_file(file))
            .map_err(Error::from)?;
        Ok(scenario)
    }

    /// How many upstreams there are.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.upstreams.iter().map(|group| group.count).sum()
    }

    fn check(&self) -> Check {
        some("seeds", &self.seeds)?;
        some("entries", &self.entries)?;
        some("upstreams", &self.upstreams)?;
        some("kinds", &self.kinds)?;
        positive("length", self.length.as_secs_f64())?;
        for entry in &self.entries {
            not_negative("entries.share", entry.share)?;
        }
        let shares: f64 = self.entries.iter().map(|entry| entry.share).sum();
        positive("entries.share", shares)?;
        for group in &self.upstreams {
            positive("upstreams.count", group.count as f64)?;
            positive("upstreams.cores", group.cores)?;
            positive("upstreams.speed", group.speed)?;
        }
        self.kinds.iter().try_for_each(JobKind::check)?;
        self.weights.check()?;
        self.disturbances
            .iter()
            .try_for_each(|disturbance| disturbance.check(self))
    }

    const fn cross_data_centre_latency() -> Duration {
        Duration::from_millis(1)
    }
}

impl Weights {
    fn check(&self) -> Check {
        not_negative("weights.whole", self.overall)?;
        not_negative("weights.served", self.served)?;
        not_negative("weights.windows", self.worst_windows)?;
        not_negative("weights.worst_kind", self.worst_kind)?;
        positive("weights.served_best", self.unserved_floor)
    }
}

impl JobKind {
    fn check(&self) -> Check {
        not_negative("kinds.rate", self.rate)?;
        positive("kinds.tasks.mean", self.task_count.mean)?;
        not_negative("kinds.tasks.spread", self.task_count.relative_deviation)?;
        positive("kinds.cores.mean", self.cores.mean)?;
        not_negative("kinds.cores.spread", self.cores.relative_deviation)?;
        positive("kinds.run_time.mean", self.run_time.mean.as_secs_f64())?;
        not_negative("kinds.run_time.spread", self.run_time.relative_deviation)?;
        not_negative("kinds.estimate_off", self.estimate_error)?;
        not_negative("kinds.crashing", self.crash_share)?;
        positive("kinds.slack", self.slack_factor)?;
        not_negative("kinds.worth", self.worth)?;
        not_negative("kinds.late_worth", self.late_worth)
    }

    const fn late_worth() -> f64 {
        0.2
    }

    const fn memory_mib() -> u64 {
        64
    }

    const fn max_attempts() -> u32 {
        3
    }

    const fn extra_patience() -> Duration {
        Duration::from_millis(1_500)
    }
}

impl Disturbance {
    fn check(&self, scenario: &Scenario) -> Check {
        not_negative("disturbances.factor", self.factor)?;
        if let Some(away) = self
            .upstreams
            .iter()
            .find(|at| **at >= scenario.upstream_count())
        {
            return Err(Problem::new(
                "disturbances.upstreams",
                format!("there is no upstream {away}"),
                format!("give numbers from 0 to {}", scenario.upstream_count() - 1),
            ));
        }
        let is_group = |name: &Name| {
            let mut groups = scenario.upstreams.iter();
            groups.any(|group| group.data_centre == *name)
        };
        if self.kind == DisturbanceKind::Emptied && !self.data_centre.as_ref().is_some_and(is_group)
        {
            return Err(Problem::new(
                "disturbances.data_centre",
                "there is no such data centre to empty",
                "name one of `upstreams.data_centre`",
            ));
        }
        let is_known = |name: &Name| scenario.kinds.iter().any(|kind| kind.name == *name);
        if let Some(name) = self.job_kind.as_ref().filter(|name| !is_known(name)) {
            return Err(Problem::new(
                "disturbances.kind",
                format!("there is no kind {name:?}"),
                "name one of `kinds`",
            ));
        }
        Ok(())
    }

    /// Whether it goes on at this time.
    pub(crate) fn is_active(&self, at: Duration) -> bool {
        (self.start..self.start + self.duration).contains(&at)
    }

    /// Whether it concerns this upstream.
    pub(crate) fn affects_upstream(&self, upstream: usize) -> bool {
        self.upstreams.is_empty() || self.upstreams.contains(&upstream)
    }

    /// Whether it concerns jobs of this kind.
    pub(crate) fn affects_kind(&self, kind: &Name) -> bool {
        self.job_kind.as_ref().is_none_or(|name| name == kind)
    }
}

fn some<T>(field: &'static str, values: &[T]) -> Check {
    if values.is_empty() {
        return Err(Problem::new(field, "is empty", "give at least one"));
    }
    Ok(())
}

fn positive(field: &'static str, value: f64) -> Check {
    if value > 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{value} is too small"),
        "give more than 0",
    ))
}

fn not_negative(field: &'static str, value: f64) -> Check {
    if value >= 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{value} is negative"),
        "give 0 or more",
    ))
}

const fn one() -> f64 {
    1.0
}

const fn unbounded() -> f64 {
    f64::INFINITY
}

fn one_seed() -> Vec<u64> {
    vec![1]
}
