//! The command line.

use crate::load::{ANDES, ICELAND, Job, JobClass, arrivals};
use crate::scenario::Scenario;
use bpaf::{Parser, construct, long};
use cassiarock_policy::{Objective, PlacementPolicy};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// The slots of the whole pool: 11 workers with 8 each.
pub const SLOTS: usize = 88;

/// How many entries take the callers' jobs.
pub const ENTRIES: usize = 3;

/// The longest arrival period per policy and round, which bounds the time of a run.
const MAX_SECONDS: u64 = 120;

/// The most rounds, which bounds the time of a run.
const MAX_ROUNDS: u64 = 20;

/// The deployment whose job mix is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    Andes,
    Iceland,
}

impl Deployment {
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Andes => "andes",
            Self::Iceland => "iceland",
        }
    }

    const fn mix(self) -> &'static [JobClass] {
        match self {
            Self::Andes => &ANDES,
            Self::Iceland => &ICELAND,
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "andes" => Ok(Self::Andes),
            "iceland" => Ok(Self::Iceland),
            other => Err(format!("{other} is neither andes nor iceland")),
        }
    }
}

/// A placement policy and its objective, under the name that the command line takes.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    pub name: &'static str,
    pub kind: PlacementPolicy,
    pub objective: Objective,
}

const VARIANTS: [Variant; 5] = [
    variant("random", PlacementPolicy::Random, Objective::Messages),
    variant(
        "two_choices",
        PlacementPolicy::TwoChoices,
        Objective::Messages,
    ),
    variant("probes", PlacementPolicy::Probes, Objective::Messages),
    variant("credits", PlacementPolicy::Credits, Objective::Messages),
    variant(
        "credits_response",
        PlacementPolicy::Credits,
        Objective::Response,
    ),
];

const fn variant(name: &'static str, kind: PlacementPolicy, objective: Objective) -> Variant {
    Variant {
        name,
        kind,
        objective,
    }
}

impl Variant {
    pub fn is_default(&self) -> bool {
        self.kind == PlacementPolicy::default() && self.objective == Objective::default()
    }
}

/// The arguments of the command line.
#[derive(Clone, Debug)]
pub struct Args {
    pub deployment: Deployment,
    pub policy: String,
    /// Offered work divided by capacity.
    pub load: f64,
    /// Seconds of arrivals per policy and round.
    pub seconds: u64,
    /// The number of rounds. Each has its own arrivals, which are the same for all policies.
    pub rounds: u64,
    pub scenario: Scenario,
    /// Seed of the first round's arrivals.
    pub seed: u64,
    pub json: Option<PathBuf>,
    pub plot: Option<PathBuf>,
}

pub fn parse() -> Args {
    let deployment = long("deployment").help("andes or iceland").argument("NAME");
    let policy = long("policy")
        .help("random, two_choices, probes, credits, credits_response or all")
        .argument("NAME")
        .guard(is_policy, "no such policy")
        .fallback("all".to_owned());
    let load = long("load")
        .help("offered work over capacity, 0.7 if left out")
        .argument("SHARE")
        .fallback(0.7);
    let seconds = long("seconds")
        .help("seconds of arrivals per policy and round, 15 if left out")
        .argument("S")
        .guard(|s| (1..=MAX_SECONDS).contains(s), "1 to 120 seconds")
        .fallback(15);
    let rounds = long("rounds")
        .help("rounds with other arrivals, 2 if left out")
        .argument("N")
        .guard(|n| (1..=MAX_ROUNDS).contains(n), "1 to 20 rounds")
        .fallback(2);
    let scenario = long("scenario")
        .help("steady, skew, burst, slow, hole, cancel or wrong")
        .argument("NAME")
        .fallback(Scenario::Steady);
    let seed = long("seed")
        .help("seed of the first round")
        .argument("N")
        .fallback(1);
    let json = long("json")
        .help("write the figures as JSON")
        .argument("FILE")
        .optional();
    let plot = long("plot")
        .help("draw the figures as SVG")
        .argument("FILE")
        .optional();
    let args = construct!(Args {
        deployment,
        policy,
        load,
        seconds,
        rounds,
        scenario,
        seed,
        json,
        plot
    });
    args.to_options()
        .descr("Compares the placement policies on this machine.")
        .run()
}

fn is_policy(name: &String) -> bool {
    name == "all" || VARIANTS.iter().any(|variant| variant.name == name)
}

impl Args {
    pub fn variants(&self) -> Vec<Variant> {
        let all = VARIANTS.iter().copied();
        all.filter(|variant| self.policy == "all" || variant.name == self.policy)
            .collect()
    }

    pub const fn arrival_period(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// The jobs of a round. Run times are cut to whole milliseconds, the unit workers take.
    pub fn arrivals(&self, round: u64) -> Vec<Job> {
        let mix = self.deployment.mix();
        let seed = self.seed + round;
        let mut jobs = arrivals(
            mix,
            self.load,
            SLOTS,
            ENTRIES,
            0.0,
            self.arrival_period(),
            seed,
        );
        for job in &mut jobs {
            for run in &mut job.runs {
                *run = Duration::from_millis(run.as_millis() as u64);
            }
        }
        self.scenario.adjust(&mut jobs);
        jobs
    }
}
