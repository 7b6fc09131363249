//! Compares the placement policies on this machine, with real entries and agents and with
//! worker stand-ins. Arrivals are open-loop and seeded; the policies take turns within a run.
//!
//! docs/MEASURES.md says how each figure is defined.

#[path = "../cluster/mod.rs"]
mod cluster;
#[allow(dead_code, reason = "the model and the bench use different items")]
#[path = "../../crates/cassiarock-policy/tests/model/load.rs"]
mod load;
#[allow(dead_code, reason = "the model and the bench use different items")]
#[path = "../../crates/cassiarock-policy/tests/model/reference.rs"]
mod reference;

mod args;
mod callers;
mod meter;
mod plot;
mod report;
mod round;
mod scenario;
mod statistics;

use args::Args;
use report::Report;
use std::error::Error;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = args::parse();
    let report = run(&args).await?;
    report.print();
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &args.plot {
        plot::draw(&report, path)?;
    }
    Ok(())
}

async fn run(args: &Args) -> Result<Report, Box<dyn Error>> {
    let mut rounds = vec![Vec::new(); args.variants().len()];
    for number in 0..args.rounds {
        let jobs = args.arrivals(number);
        for (index, variant) in args.variants().iter().enumerate() {
            eprintln!("round {} of {}: {}", number + 1, args.rounds, variant.name);
            rounds[index].push(round::run(args, variant, &jobs).await?);
        }
    }
    Ok(Report::new(args, &rounds))
}
