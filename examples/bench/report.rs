//! The figures of a run, as JSON and as a table.

use crate::args::{Args, Variant};
use crate::round::RoundResult;
use crate::statistics::{Distribution, min_and_max};
use serde::Serialize;

/// The number of nodes in a run: 3 entries and 11 agents.
const NODE_COUNT: f64 = 14.0;

/// One policy's figures over all rounds.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyFigures {
    pub name: &'static str,
    pub default: bool,
    pub over_ideal: Distribution,
    pub over_omniscient: Distribution,
    pub wasted_per_task: f64,
    pub started: usize,
    pub doubled: usize,
    pub partial: usize,
    pub refused: usize,
    pub failed: usize,
    pub goodput_share: f64,
    pub control_bytes_per_node_s: f64,
    pub cpu_us_per_task: f64,
    #[serde(skip)]
    pub table: TableFigures,
}

/// Figures that only the table shows, beside those in the JSON.
#[derive(Clone, Debug)]
pub struct TableFigures {
    pub jobs: usize,
    pub over_arrival: f64,
    pub claims_per_task: f64,
    pub slowest_refusal: f64,
    /// The lowest and the highest of the means of single rounds.
    pub mean_over_ideal: (f64, f64),
    /// The lowest and the highest of the means of single rounds.
    pub mean_over_omniscient: (f64, f64),
}

/// The figures of a run under all policies.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub deployment: &'static str,
    pub load: f64,
    pub scenario: &'static str,
    pub seed: u64,
    pub policies: Vec<PolicyFigures>,
}

impl Report {
    pub fn new(args: &Args, rounds: &[Vec<RoundResult>]) -> Self {
        let variants = args.variants();
        let policies = variants.iter().zip(rounds);
        Self {
            deployment: args.deployment.as_str(),
            load: args.load,
            scenario: args.scenario.as_str(),
            seed: args.seed,
            policies: policies
                .map(|(variant, rounds)| PolicyFigures::new(variant, rounds))
                .collect(),
        }
    }

    pub fn print(&self) {
        println!(
            "{} at load {}, scenario {}, seed {}",
            self.deployment, self.load, self.scenario, self.seed
        );
        println!(
            "| policy | over ideal: mean (rounds) | p50 | p99 | p99.9 | mean over omniscient (rounds) | over arrival order | wasted per task | of these claims | jobs | refused | slowest refusal ms | failed | doubled | partial | goodput | control B/node/s | cpu us/task |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        self.policies.iter().for_each(PolicyFigures::print);
    }
}

impl PolicyFigures {
    fn new(variant: &Variant, rounds: &[RoundResult]) -> Self {
        let sum = |value: fn(&RoundResult) -> f64| rounds.iter().map(value).sum::<f64>();
        let count = |value: fn(&RoundResult) -> usize| rounds.iter().map(value).sum::<usize>();
        let started = sum(|round| round.started as f64).max(1.0);
        let round_count = rounds.len().max(1) as f64;
        Self {
            name: variant.name,
            default: variant.is_default(),
            over_ideal: Distribution::new(rounds.iter().flat_map(ratios_to_ideal).collect()),
            over_omniscient: response_distribution(rounds)
                .over(&distribution(rounds, |round| &round.omniscient)),
            wasted_per_task: sum(|round| round.wasted) / started,
            started: count(|round| round.started),
            doubled: count(|round| round.doubled),
            partial: count(|round| round.partial),
            refused: count(|round| round.refused),
            failed: count(|round| round.failed),
            goodput_share: sum(|round| round.goodput) / round_count,
            control_bytes_per_node_s: sum(|round| round.control_bytes)
                / sum(|round| round.seconds)
                / NODE_COUNT,
            cpu_us_per_task: sum(|round| round.cpu) * 1e6 / started,
            table: TableFigures::new(rounds, started),
        }
    }

    fn print(&self) {
        let table = &self.table;
        let mark = if self.default { " (default)" } else { "" };
        let ideal = &self.over_ideal;
        println!(
            "| {}{mark} | {:.3} ({:.3} to {:.3}) | {:.3} | {:.2} | {:.2} | {:.3} ({:.3} to {:.3}) | {:.3} | {:.3} | {:.3} | {} | {} | {:.1} | {} | {} | {} | {:.3} | {:.0} | {:.0} |",
            self.name,
            ideal.mean,
            table.mean_over_ideal.0,
            table.mean_over_ideal.1,
            ideal.p50,
            ideal.p99,
            ideal.p999,
            self.over_omniscient.mean,
            table.mean_over_omniscient.0,
            table.mean_over_omniscient.1,
            table.over_arrival,
            self.wasted_per_task,
            table.claims_per_task,
            table.jobs,
            self.refused,
            table.slowest_refusal * 1000.0,
            self.failed,
            self.doubled,
            self.partial,
            self.goodput_share,
            self.control_bytes_per_node_s,
            self.cpu_us_per_task,
        );
    }
}

impl TableFigures {
    fn new(rounds: &[RoundResult], started: f64) -> Self {
        let arrival = distribution(rounds, |round| &round.arrival);
        let mean_over_ideal =
            |round: &RoundResult| Distribution::new(ratios_to_ideal(round).collect()).mean;
        let mean_over_omniscient = |round: &RoundResult| {
            let single = std::slice::from_ref(round);
            let omniscient = distribution(single, |round| &round.omniscient);
            response_distribution(single).over(&omniscient).mean
        };
        Self {
            jobs: rounds.iter().map(|round| round.jobs).sum(),
            over_arrival: response_distribution(rounds).over(&arrival).mean,
            claims_per_task: rounds.iter().map(|round| round.claims).sum::<f64>() / started,
            slowest_refusal: min_and_max(rounds.iter().map(|round| round.slowest_refusal)).1,
            mean_over_ideal: min_and_max(rounds.iter().map(mean_over_ideal)),
            mean_over_omniscient: min_and_max(rounds.iter().map(mean_over_omniscient)),
        }
    }
}

fn ratios_to_ideal(round: &RoundResult) -> impl Iterator<Item = f64> {
    let pairs = round.responses.iter();
    pairs.map(|(response, ideal)| response / ideal)
}

fn response_distribution(rounds: &[RoundResult]) -> Distribution {
    let all = rounds.iter().flat_map(|round| &round.responses);
    Distribution::new(all.map(|(response, _)| *response).collect())
}

fn distribution(rounds: &[RoundResult], values: fn(&RoundResult) -> &Vec<f64>) -> Distribution {
    Distribution::new(rounds.iter().flat_map(values).copied().collect())
}
