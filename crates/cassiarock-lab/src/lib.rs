//! Discrete-event simulation of a deployment under load and disturbances, in virtual time.
//!
//! Entries and agents are the types that the daemons run; links, upstreams and callers are
//! modelled. A scenario and a seed always give the same result.

mod bound;
mod caller;
mod error;
mod event;
mod invariants;
mod result;
mod sample;
mod scenario;
mod score;
mod simulation;
mod upstream;

pub use error::Error;
pub use result::{KindResult, ScenarioResult, SeedResult};
pub use scenario::Scenario;

use cassiarock_transient::scheduler::Mechanisms;
use rayon::prelude::*;

/// Simulates the scenario once per seed with the given mechanisms, seeds in parallel.
///
/// ```
/// use cassiarock_lab::{Scenario, simulate};
/// use cassiarock_transient::scheduler::Mechanisms;
/// let text = r#"{
///     "length": "2s",
///     "entries": [{ "data_centre": "a" }],
///     "upstreams": [{ "data_centre": "a", "count": 2, "cores": 64, "memory_mib": 1024 }],
///     "kinds": [{ "name": "k", "rate": 20, "tasks": { "mean": 2 }, "run_time": { "mean": "100ms" },
///         "cores": { "mean": 6 }, "slack": 1.6, "target": "60ms" }],
/// }"#;
/// let scenario = Scenario::parse(text, "small.jsonc").map_err(std::io::Error::other)?;
/// let result = simulate(&scenario, Mechanisms::default());
/// assert!(result.violations.is_empty());
/// assert!(result.in_time > 0.9);
/// # std::io::Result::Ok(())
/// ```
#[must_use]
pub fn simulate(scenario: &Scenario, mechanisms: Mechanisms) -> ScenarioResult {
    let seeds: Vec<SeedResult> = scenario
        .seeds
        .par_iter()
        .map(|seed| simulation::run_seed(scenario, mechanisms, *seed))
        .collect();
    ScenarioResult::new(seeds)
}
