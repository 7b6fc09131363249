//! Measures the cost of a claim by running the same jobs with and without one. Those without
//! are repeatable jobs, which take the same path except for the claim. Both kinds take turns
//! in one run.

use crate::child::ChildProcess;
use crate::load::job;
use crate::sample::Sample;
use serde_json::{Value, json};
use std::error::Error;
use std::time::Instant;

/// The number of rounds.
const ROUNDS: usize = 9;

/// The number of jobs of each kind in one round.
const JOBS: usize = 150;

/// The figures of one kind of job in one round.
struct RoundFigures {
    frames: f64,
    median_us: f64,
}

pub async fn measure(entries: &ChildProcess, monitor: &str) -> Result<Value, Box<dyn Error>> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let url = format!("http://{}/v1/jobs", entries.addresses("callers")[0]);
    let mut frames = Vec::new();
    let mut added = Vec::new();
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS {
        let repeatable = round(&client, &url, entries, monitor, true).await?;
        let claimed = round(&client, &url, entries, monitor, false).await?;
        frames.push(claimed.frames - repeatable.frames);
        added.push(claimed.median_us - repeatable.median_us);
        ratios.push(claimed.median_us / repeatable.median_us);
    }
    let values = json!({
        "entry_frames_per_job": min_median_max(frames),
        "added_us": min_median_max(added),
        "response_ratio": min_median_max(ratios),
    });
    println!("a claim's cost over {ROUNDS} rounds, jobs of one task of 1 ms: {values}\n");
    Ok(values)
}

async fn round(
    client: &reqwest::Client,
    url: &str,
    entries: &ChildProcess,
    monitor: &str,
    repeatable: bool,
) -> Result<RoundFigures, Box<dyn Error>> {
    let before = Sample::take(entries.id(), monitor).await?;
    let mut times = Vec::new();
    for _ in 0..JOBS {
        let started_at = Instant::now();
        let reply = client.post(url).json(&job(1, repeatable)).send().await?;
        if !reply.status().is_success() {
            return Err(format!("status {}", reply.status()).into());
        }
        times.push(started_at.elapsed().as_secs_f64() * 1e6);
    }
    let usage = Sample::take(entries.id(), monitor).await?.since(&before);
    times.sort_by(f64::total_cmp);
    Ok(RoundFigures {
        frames: usage.frames / JOBS as f64,
        median_us: times[JOBS / 2],
    })
}

/// The lowest value, the median and the highest value.
fn min_median_max(mut values: Vec<f64>) -> Value {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    json!([values[0], values[last / 2], values[last]])
}
