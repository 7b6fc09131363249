//! Measures what one more job and one more task cost.

use crate::child::ChildProcess;
use crate::claims;
use crate::links::wait_until_linked;
use crate::sample::{Sample, Usage, fit_line};
use cassiarock_id::{Job, Wall};
use cassiarock_test_support::log::Stand;
use serde_json::{Value, json};
use std::error::Error;
use std::time::{Duration, Instant};

const AGENTS: usize = 11;

/// The number of tasks per job in each of the three runs.
const TASKS_PER_JOB: [usize; 3] = [1, 10, 100];

/// How long jobs are submitted in each run.
const SUBMIT_TIME: Duration = Duration::from_secs(6);

/// The number of concurrent callers. Each submits its next job when the last one is answered.
const CALLERS: usize = 24;

/// How long to wait after the start for the views to settle, so that jobs are claimed and not
/// gathered.
const SETTLE_TIME: Duration = Duration::from_secs(7);

pub async fn measure() -> Result<Value, Box<dyn Error>> {
    let log = Stand::start().await?;
    let entries = ChildProcess::start("entries", 1, &log.url())?;
    let agents = ChildProcess::start("agents", AGENTS, &log.url())?;
    let monitor = entries.addresses("monitor");
    wait_until_linked(&monitor, AGENTS).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    println!("{AGENTS} agents, 1 entry, tasks of 1 ms: for one job");
    println!(
        "{:>8} {:>8} {:>12} {:>12} {:>12} {:>12} {:>12}",
        "tasks", "jobs/s", "tasks/s", "entry frames", "entry bytes", "entry us", "agents us"
    );
    let mut points = Vec::new();
    for tasks in TASKS_PER_JOB {
        let agent = agents.addresses("monitor");
        let entry_before = Sample::take(entries.id(), &monitor[0]).await?;
        let agents_before = Sample::take(agents.id(), &agent[0]).await?;
        let jobs = submit(&entries.addresses("callers")[0], tasks).await?;
        let entry = Sample::take(entries.id(), &monitor[0])
            .await?
            .since(&entry_before);
        let agents_usage = Sample::take(agents.id(), &agent[0])
            .await?
            .since(&agents_before);
        print(tasks, jobs, &entry, &agents_usage);
        points.push((tasks as f64, jobs as f64, entry, agents_usage));
    }
    let claim = claims::measure(&entries, &monitor[0]).await?;
    Ok(json!({ "slopes": slopes(&points), "claim": claim }))
}

/// Submits jobs for [`SUBMIT_TIME`] and returns how many were complete.
async fn submit(entry: &str, tasks: usize) -> Result<usize, Box<dyn Error>> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let started_at = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (client, url) = (client.clone(), format!("http://{entry}/v1/jobs"));
            tokio::spawn(async move {
                let mut complete = 0;
                while started_at.elapsed() < SUBMIT_TIME {
                    let sent = client.post(&url).json(&job(tasks, false)).send().await;
                    complete += usize::from(sent.is_ok_and(|reply| reply.status().is_success()));
                }
                complete
            })
        })
        .collect();
    let mut complete = 0;
    for caller in callers {
        complete += caller.await?;
    }
    Ok(complete)
}

pub fn job(tasks: usize, repeatable: bool) -> Value {
    let tasks = (0..tasks).map(|task| json!({"id": task.to_string(), "payload": {"run_ms": 1}}));
    json!({
        "id": Job::new(Wall::now()).to_string(),
        "kind": "capacity",
        "team": "capacity",
        "tasks": Value::from_iter(tasks),
        "deadline_ms": 30_000,
        "repeatable": repeatable,
    })
}

fn print(tasks: usize, jobs: usize, entry: &Usage, agents: &Usage) {
    let done = jobs as f64;
    println!(
        "{:>8} {:>8.0} {:>12.0} {:>12.1} {:>12.0} {:>12.0} {:>12.0}",
        tasks,
        done / entry.seconds,
        done * tasks as f64 / entry.seconds,
        entry.frames / done,
        entry.bytes / done,
        entry.cpu / done * 1e6,
        agents.cpu / done * 1e6
    );
}

fn slopes(points: &[(f64, f64, Usage, Usage)]) -> Value {
    let slope_of = |value: fn(&Usage, &Usage) -> f64| {
        let points: Vec<_> = points
            .iter()
            .map(|(tasks, jobs, entry, agents)| (*tasks, value(entry, agents) / jobs))
            .collect();
        let (slope, intercept) = fit_line(&points);
        json!({ "per_task": slope, "per_job": intercept })
    };
    let slopes = json!({
        "entry_frames": slope_of(|entry, _| entry.frames),
        "entry_bytes": slope_of(|entry, _| entry.bytes),
        "entry_cpu_us": slope_of(|entry, _| entry.cpu * 1e6),
        "agents_and_workers_cpu_us": slope_of(|_, agents| agents.cpu * 1e6),
        "agents_bytes": slope_of(|_, agents| agents.bytes),
    });
    println!("slopes: {slopes}\n");
    slopes
}
