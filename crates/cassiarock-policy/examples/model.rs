//! Compares the policies in the discrete-event model of the tests and prints tables. The
//! figures describe the model, not running processes.

#[path = "../tests/model/mod.rs"]
#[allow(dead_code, reason = "the tests and the example use different parts")]
mod model;

use cassiarock_policy::{Objective, PlacementPolicy};
use model::load::{ANDES, ICELAND, Job, JobClass, arrivals};
use model::reference::{Order, omniscient};
use model::report::{Distribution, goodput, ideals, means, over};
use model::simulation::{Fault, JobOutcome, Simulation, SimulationConfig};
use std::time::Duration;

const SLOTS: usize = 88;
const LENGTH: Duration = Duration::from_secs(120);
const SEEDS: u64 = 5;
const LOADS: [f64; 5] = [0.5, 0.7, 0.9, 0.95, 1.3];

/// The results of one run with one seed.
struct Line {
    over_ideal: Distribution,
    over_omniscient: f64,
    over_fifo: f64,
    over_same_order: f64,
    wasted: f64,
    refused: f64,
    failed: f64,
    goodput: f64,
}

/// A disturbance of a run at load 0.7.
type Scenario = (
    &'static str,
    fn(&mut Vec<Job>),
    fn(Simulation<'_>) -> Simulation<'_>,
);

const SCENARIOS: [Scenario; 8] = [
    ("none", |_| (), |simulation| simulation),
    (
        "all at one entry",
        |jobs| jobs.iter_mut().for_each(|job| job.entry = 0),
        |simulation| simulation,
    ),
    (
        "one upstream 5 times slower",
        |_| (),
        |simulation| simulation.with_fault(BEGIN, 4, Fault::Slow(5.0)),
    ),
    (
        "one upstream fails all",
        |_| (),
        |simulation| simulation.with_fault(BEGIN, 4, Fault::BlackHole),
    ),
    (
        "half of all jobs cancelled 0.3 s after arrival",
        |_| (),
        |simulation| simulation.with_half_cancelled(Duration::from_millis(300)),
    ),
    (
        "all upstreams out of reach for 10 s",
        |_| (),
        |simulation| simulation.with_outage(BEGIN, BEGIN + Duration::from_secs(10)),
    ),
    (
        "declared 10 times too long",
        |jobs| declare(jobs, 10.0),
        |simulation| simulation,
    ),
    (
        "declared 10 times too short",
        |jobs| declare(jobs, 0.1),
        |simulation| simulation,
    ),
];

/// When disturbances begin.
const BEGIN: Duration = Duration::from_secs(30);

fn declare(jobs: &mut [Job], times: f64) {
    for job in jobs.iter_mut().filter(|job| job.kind % 2 == 1) {
        job.declared = job.declared.mul_f64(times);
    }
}

fn main() {
    let deployments: [(&str, &[JobClass], Duration); 2] = [
        ("andes", &ANDES, Duration::from_micros(500)),
        ("iceland", &ICELAND, Duration::from_micros(1000)),
    ];
    header();
    for (name, mix, delay) in deployments {
        for load in LOADS {
            for (policy, config) in policies(delay) {
                print(
                    &format!("{name} {load}"),
                    policy,
                    mix,
                    load,
                    &config,
                    &SCENARIOS[0],
                );
            }
        }
    }
    header();
    for (name, mix, delay) in deployments {
        for scenario in &SCENARIOS {
            for (policy, config) in policies(delay) {
                print(
                    &format!("{name}: {}", scenario.0),
                    policy,
                    mix,
                    0.7,
                    &config,
                    scenario,
                );
            }
        }
    }
}

fn policies(delay: Duration) -> Vec<(&'static str, SimulationConfig)> {
    let kinds = PlacementPolicy::ALL.iter();
    let mut policies: Vec<_> = kinds
        .map(|kind| (kind.as_str(), SimulationConfig::new(*kind, delay)))
        .collect();
    let response =
        SimulationConfig::new(PlacementPolicy::Credits, delay).with_objective(Objective::Response);
    policies.push(("credits, weight response", response));
    policies
}

fn header() {
    println!(
        "\n| run | policy | over ideal: mean | p50 | p99 | p99.9 | over omniscient | over arrival order | over same order | wasted per task | refused | failed | goodput |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

fn print(
    name: &str,
    policy: &str,
    mix: &[JobClass],
    load: f64,
    config: &SimulationConfig,
    scenario: &Scenario,
) {
    let lines: Vec<Line> = (0..SEEDS)
        .map(|seed| {
            let mut jobs = arrivals(mix, load, SLOTS, 3, 0.0, LENGTH, seed);
            scenario.1(&mut jobs);
            line(&jobs, config.clone(), scenario)
        })
        .collect();
    let column = |value: fn(&Line) -> f64| cell(lines.iter().map(value).collect());
    println!(
        "| {name} | {policy} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        column(|line| line.over_ideal.mean),
        column(|line| line.over_ideal.p50),
        column(|line| line.over_ideal.p99),
        column(|line| line.over_ideal.p999),
        column(|line| line.over_omniscient),
        column(|line| line.over_fifo),
        column(|line| line.over_same_order),
        column(|line| line.wasted),
        column(|line| line.refused),
        column(|line| line.failed),
        column(|line| line.goodput),
    );
}

fn line(jobs: &[Job], config: SimulationConfig, scenario: &Scenario) -> Line {
    let mut simulation = scenario.2(Simulation::new(config, jobs));
    simulation.run(LENGTH * 3);
    let response = simulation.responses();
    let against = |order| {
        let (ours, theirs) = means(&response, &omniscient(jobs, SLOTS, order));
        ours / theirs
    };
    let share = |wanted: JobOutcome| {
        let count = simulation
            .outcomes
            .iter()
            .filter(|end| **end == wanted)
            .count();
        count as f64 / jobs.len() as f64
    };
    Line {
        over_ideal: over(&response, &ideals(jobs, SLOTS)),
        over_omniscient: against(Order::Least),
        over_fifo: against(Order::Arrival),
        over_same_order: against(Order::Due),
        wasted: simulation.counts.extra_messages() as f64 / simulation.counts.done.max(1) as f64,
        refused: share(JobOutcome::Refused),
        failed: share(JobOutcome::Failed),
        goodput: goodput(jobs, &response, SLOTS, (LENGTH / 4, LENGTH)),
    }
}

/// The median over all seeds, and their range.
fn cell(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    format!(
        "{:.3} ({:.3} to {:.3})",
        values[values.len() / 2],
        values[0],
        values[last]
    )
}
