//! The scenario to simulate: a deployment, its callers and its disturbances.

use crate::Error;
use cassiarock_id::Name;
use cassiarock_settings::check::{Check, Problem};
use cassiarock_settings::read;
use cassiarock_settings::units::Time;
use serde::Deserialize;
use serde_with::serde_as;
use std::path::Path;
use std::time::Duration;

/// A scenario as read from its file. `settings/lab` holds commented examples.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long callers arrive.
    #[serde_as(as = "Time")]
    pub length: Duration,
    /// Seeds; each is one run.
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    /// One-way latency between processes of different data centres; within one it is 0.1 ms.
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
    /// Faults and load changes during the run.
    #[serde(default)]
    pub disturbances: Vec<Disturbance>,
    /// Weights of the score.
    #[serde(default)]
    pub weights: Weights,
}

/// Weights of the parts of a run's score (`worth`).
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of the share of worth earned over the whole run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Weight of the share served at all, on a logarithmic scale (number of nines).
    pub served: f64,
    /// Weight of the share of worth earned in the worst time windows.
    #[serde(rename = "windows")]
    pub worst_windows: f64,
    /// Weight of the share of worth earned by the worst-served kind.
    pub worst_kind: f64,
    /// Unserved share at or below which the `served` part is complete.
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

/// An entry, the process that accepts callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Data centre of the entry.
    pub data_centre: Name,
    /// Its share of the callers, relative to the other entries' shares.
    #[serde(default = "one")]
    pub share: f64,
}

/// A group of identical upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamGroup {
    /// Data centre of the upstreams.
    pub data_centre: Name,
    /// Number of upstreams.
    pub count: usize,
    /// Cores of each upstream.
    pub cores: f64,
    /// Memory of each upstream.
    pub memory_mib: u64,
    /// Speed factor: run times are divided by it.
    #[serde(default = "one")]
    pub speed: f64,
}

/// Load and requirements of the jobs of one queue.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobKind {
    /// Name of the queue.
    pub name: Name,
    /// Jobs per second.
    pub rate: f64,
    /// Tasks per job.
    #[serde(rename = "tasks")]
    pub task_count: ValueDistribution,
    /// Run time of a task on an upstream of speed 1.
    pub run_time: DurationDistribution,
    /// Cores per task.
    pub cores: ValueDistribution,
    /// Memory per task.
    #[serde(default = "JobKind::memory_mib")]
    pub memory_mib: u64,
    /// Maximum relative error of callers' run time estimates.
    #[serde(default)]
    #[serde(rename = "estimate_off")]
    pub estimate_error: f64,
    /// An answer is in time within this multiple of the job's longest task plus
    /// `target_latency`.
    #[serde(rename = "slack")]
    pub slack_factor: f64,
    /// Time added to the multiple of the longest task, see `slack_factor`.
    #[serde_as(as = "Time")]
    #[serde(rename = "target")]
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Share of jobs with one task that crashes each upstream that starts it.
    #[serde(default)]
    #[serde(rename = "crashing")]
    pub crash_share: f64,
    /// Maximum number of attempts per task.
    #[serde(default = "JobKind::max_attempts")]
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Callers wait for three times the objective plus this time.
    #[serde(default = "JobKind::extra_patience")]
    #[serde_as(as = "Time")]
    #[serde(rename = "patience")]
    pub extra_patience: Duration,
    /// Worth of an answer in time.
    #[serde(default = "one")]
    pub worth: f64,
    /// Worth of a late answer.
    #[serde(default = "JobKind::late_worth")]
    pub late_worth: f64,
}

/// Log-normal distribution of a quantity, cut off at a maximum.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ValueDistribution {
    /// Mean of the distribution before the cut-off.
    pub mean: f64,
    /// Standard deviation relative to the mean.
    #[serde(default)]
    #[serde(rename = "spread")]
    pub relative_deviation: f64,
    /// Upper limit of samples.
    #[serde(default = "unbounded")]
    #[serde(rename = "most")]
    pub max: f64,
}

/// Log-normal distribution of a duration. Samples are limited to 1 ms to 1 h.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DurationDistribution {
    /// Mean of the distribution before the cut-off.
    #[serde_as(as = "Time")]
    pub mean: Duration,
    /// Standard deviation relative to the mean.
    #[serde(default)]
    #[serde(rename = "spread")]
    pub relative_deviation: f64,
}

/// A fault or load change during part of the run.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// Start, counted from the first arrival.
    #[serde_as(as = "Time")]
    #[serde(rename = "at")]
    pub start: Duration,
    /// How long it lasts.
    #[serde(rename = "for")]
    #[serde_as(as = "Time")]
    pub duration: Duration,
    /// The type of disturbance.
    #[serde(rename = "what")]
    pub kind: DisturbanceKind,
    /// Indices of the affected upstreams, from 0; empty means all.
    #[serde(default)]
    pub upstreams: Vec<usize>,
    /// Strength: multiplier of the arrival rate or the run time, or affected share.
    #[serde(default = "one")]
    pub factor: f64,
    /// The affected kind of jobs; all kinds if absent.
    #[serde(default)]
    #[serde(rename = "kind")]
    pub job_kind: Option<Name>,
    /// The data centre that is evacuated.
    #[serde(default)]
    pub data_centre: Option<Name>,
    /// Processes that come back after a loss start within this time, spread evenly.
    #[serde(default)]
    #[serde_as(as = "Time")]
    #[serde(rename = "starts_within")]
    pub start_spread: Duration,
    /// Links of processes that come back open within this time, spread evenly.
    #[serde(default)]
    #[serde_as(as = "Time")]
    #[serde(rename = "links_within")]
    pub link_spread: Duration,
    /// How long before their end upstreams that are replaced announce it.
    #[serde(default)]
    #[serde_as(as = "Time")]
    pub notice: Duration,
    /// How long replaced upstreams are cold: their run times are multiplied by the factor.
    #[serde(default)]
    #[serde_as(as = "Time")]
    pub cold: Duration,
}

/// Types of disturbances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum DisturbanceKind {
    /// The arrival rate is multiplied by the factor.
    Burst,
    /// Run times on the upstreams are multiplied by the factor.
    Slow,
    /// Upstreams fail a share of the tasks that they start, in a fraction of the run time.
    Failing,
    /// Tasks that start on the upstreams hang.
    Hanging,
    /// Upstreams and their agents lose power.
    Lost,
    /// All entries, agents and upstreams lose power.
    AllLost,
    /// A share of the callers disconnects before the end of their objective.
    Leaving,
    /// Operators evacuate a data centre and revoke the evacuation at the end.
    Emptied,
    /// Upstreams announce their end, terminate after the notice with all that runs there, and come
    /// back empty, and cold for a while, at the end.
    Replaced,
}

impl Scenario {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// If the scenario is invalid; the message names file, field and remedy.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(&read::text(path)?, &path.display().to_string())
    }

    /// Parses and validates a text; errors name `file`.
    ///
    /// ```
    /// use cassiarock_lab::Scenario;
    /// let error = Scenario::parse(r#"{ "lenght": "2s" }"#, "a.jsonc").unwrap_err();
    /// assert!(error.to_string().contains("did you mean `length`"));
    /// ```
    ///
    /// # Errors
    /// If the scenario is invalid; the message names file, field and remedy.
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let scenario: Self = read::parse(text, file)?;
        scenario
            .check()
            .map_err(|problem| problem.in_file(file))
            .map_err(Error::from)?;
        Ok(scenario)
    }

    /// Number of upstreams in all groups.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.upstreams.iter().map(|group| group.count).sum()
    }

    fn check(&self) -> Check {
        non_empty("seeds", &self.seeds)?;
        non_empty("entries", &self.entries)?;
        non_empty("upstreams", &self.upstreams)?;
        non_empty("kinds", &self.kinds)?;
        positive("length", self.length.as_secs_f64())?;
        for entry in &self.entries {
            non_negative("entries.share", entry.share)?;
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
        non_negative("weights.whole", self.overall)?;
        non_negative("weights.served", self.served)?;
        non_negative("weights.windows", self.worst_windows)?;
        non_negative("weights.worst_kind", self.worst_kind)?;
        positive("weights.served_best", self.unserved_floor)
    }
}

impl JobKind {
    fn check(&self) -> Check {
        non_negative("kinds.rate", self.rate)?;
        positive("kinds.tasks.mean", self.task_count.mean)?;
        non_negative("kinds.tasks.spread", self.task_count.relative_deviation)?;
        positive("kinds.cores.mean", self.cores.mean)?;
        non_negative("kinds.cores.spread", self.cores.relative_deviation)?;
        positive("kinds.run_time.mean", self.run_time.mean.as_secs_f64())?;
        non_negative("kinds.run_time.spread", self.run_time.relative_deviation)?;
        non_negative("kinds.estimate_off", self.estimate_error)?;
        non_negative("kinds.crashing", self.crash_share)?;
        positive("kinds.slack", self.slack_factor)?;
        non_negative("kinds.worth", self.worth)?;
        non_negative("kinds.late_worth", self.late_worth)
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
        non_negative("disturbances.factor", self.factor)?;
        if let Some(unknown) = self
            .upstreams
            .iter()
            .find(|at| **at >= scenario.upstream_count())
        {
            return Err(Problem::new(
                "disturbances.upstreams",
                format!("there is no upstream {unknown}"),
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

    /// Whether the disturbance is in effect at this time since the first arrival.
    pub(crate) fn is_active(&self, at: Duration) -> bool {
        (self.start..self.start + self.duration).contains(&at)
    }

    /// Whether the disturbance affects this upstream.
    pub(crate) fn affects_upstream(&self, upstream: usize) -> bool {
        self.upstreams.is_empty() || self.upstreams.contains(&upstream)
    }

    /// Whether the disturbance affects jobs of this kind.
    pub(crate) fn affects_kind(&self, kind: &Name) -> bool {
        self.job_kind.as_ref().is_none_or(|name| name == kind)
    }
}

fn non_empty<T>(field: &'static str, values: &[T]) -> Check {
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

fn non_negative(field: &'static str, value: f64) -> Check {
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
