//! Runs a whole cluster on this machine: a log stand-in, 11 agents with worker stand-ins and
//! 3 entries. Callers submit jobs, some of them twice.
//!
//! The last line of output counts, from what the workers recorded, the tasks that were lost
//! and the tasks that were started twice.

#[path = "../cluster/mod.rs"]
mod cluster;

use cassiarock_id::{Job, Wall};
use cluster::{Cluster, Size};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::error::Error;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const JOBS: usize = 60;
const SEED: u64 = 7;

/// Every fifth job is submitted a second time, to another entry at the same moment.
const RESUBMIT_EVERY: usize = 5;

/// A job's task count and the answers to its submissions.
struct SubmittedJob {
    task_count: usize,
    answers: Vec<Value>,
}

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    let cluster = Cluster::start(&Size::default()).await?;
    println!(
        "{} entries, {} agents, {} slots each",
        cluster.entries.len(),
        cluster.agents.len(),
        Size::default().slots
    );
    let started_at = Instant::now();
    let submitted = submit_all(&cluster.urls()).await?;
    println!("answered in {:.2} s", started_at.elapsed().as_secs_f64());
    Ok(summarise(&cluster, &submitted))
}

async fn submit_all(urls: &[String]) -> Result<Vec<SubmittedJob>, Box<dyn Error>> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let client = reqwest::Client::builder().no_proxy().build()?;
    let mut running = Vec::new();
    for number in 0..JOBS {
        let task_count = rng.random_range(1..=40);
        let body = random_job(&mut rng, task_count);
        let copies = if number % RESUBMIT_EVERY == 0 { 2 } else { 1 };
        let requests: Vec<_> = (0..copies)
            .map(|copy| {
                let url = format!("{}/v1/jobs", urls[(number + copy) % urls.len()]);
                tokio::spawn(submit(client.clone(), url, body.clone()))
            })
            .collect();
        running.push((task_count, requests));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut submitted = Vec::new();
    for (task_count, requests) in running {
        let mut answers = Vec::new();
        for request in requests {
            answers.push(request.await??);
        }
        submitted.push(SubmittedJob {
            task_count,
            answers,
        });
    }
    Ok(submitted)
}

fn random_job(rng: &mut StdRng, task_count: usize) -> Value {
    let tasks: Vec<Value> = (0..task_count)
        .map(|task| {
            let run_ms = rng.random_range(20..200);
            json!({"id": format!("task-{task}"), "payload": {"run_ms": run_ms, "echo": task}})
        })
        .collect();
    json!({
        "id": Job::new(Wall::now()).to_string(),
        "kind": "seat-check",
        "team": "valle",
        "tasks": tasks,
        "deadline_ms": 60_000,
    })
}

async fn submit(
    client: reqwest::Client,
    url: String,
    body: Value,
) -> Result<Value, reqwest::Error> {
    let response = client.post(url).json(&body).send().await?;
    response.json().await
}

fn is_complete(answer: &Value, task_count: usize) -> bool {
    let results = answer["results"].as_array();
    answer["outcome"] == "complete" && results.is_some_and(|results| results.len() == task_count)
}

fn summarise(cluster: &Cluster, submitted: &[SubmittedJob]) -> ExitCode {
    let answers = submitted.iter().map(|job| job.answers.len()).sum::<usize>();
    let failed: Vec<_> = submitted
        .iter()
        .flat_map(|job| {
            job.answers
                .iter()
                .filter(|a| !is_complete(a, job.task_count))
        })
        .collect();
    println!("{answers} submissions of {} jobs answered", submitted.len());
    for answer in &failed {
        println!("not complete: {answer}");
    }
    let tally = cluster.tally();
    let tasks: usize = submitted.iter().map(|job| job.task_count).sum();
    let doubled = tally.doubled().len();
    let lost = tasks.saturating_sub(tally.starts().len());
    let complete = submitted.len() - failed.len().min(submitted.len());
    println!("complete: {complete} jobs, {tasks} tasks, {lost} lost, {doubled} doubled");
    if failed.is_empty() && lost == 0 && doubled == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
