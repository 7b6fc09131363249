//! Measures the slopes from which docs/CAPACITY.md is calculated: what one more link, job,
//! task, claim or member costs each role in bytes, memory and processor time.
//!
//! Entries run in one child process and agents in another, so that the roles are measured
//! apart. Each child runs this program with its role as the first argument.

mod child;
mod claims;
mod decisions;
mod links;
mod load;
mod sample;

use serde_json::{Value, json};
use std::error::Error;
use std::process::ExitCode;

const USAGE: &str = "usage: capacity [--json FILE]";

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match options[..] {
        ["entries", count, log] => child::entries(count.parse()?, log).await?,
        ["agents", count, log] => child::agents(count.parse()?, log).await?,
        [] => report(None).await?,
        ["--json", file] => report(Some(file)).await?,
        _ => {
            eprintln!("{USAGE}");
            return Ok(ExitCode::from(2));
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn report(file: Option<&str>) -> Result<(), Box<dyn Error>> {
    let links = links::measure().await?;
    let load = load::measure().await?;
    let decisions = decisions::measure();
    let figures: Value = json!({ "links": links, "load": load, "decisions": decisions });
    if let Some(file) = file {
        std::fs::write(file, serde_json::to_string_pretty(&figures)?)?;
    }
    Ok(())
}
