//! Open-loop callers: each job is submitted at its arrival time, whether or not earlier jobs
//! have been answered.

use crate::load::Job;
use crate::scenario::Scenario;
use cassiarock_id::Wall;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// How a job ended, by the answer that its caller received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    Complete,
    /// The answer said complete but did not hold every result.
    Partial,
    Refused,
    Failed,
    Cancelled,
    /// No answer came, or one that could not be understood.
    Lost,
}

/// The outcome and the response time of one job.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredJob {
    pub index: usize,
    pub outcome: JobOutcome,
    /// Time from the job's arrival to its answer.
    pub response: Duration,
}

/// Submits all jobs at their arrival times and waits for all answers.
pub async fn submit(
    client: &reqwest::Client,
    urls: &[String],
    jobs: &[Job],
    scenario: Scenario,
) -> Vec<AnsweredJob> {
    let started_at = Instant::now();
    let mut calls = JoinSet::new();
    for (index, job) in jobs.iter().enumerate() {
        let at = started_at + job.at;
        sleep_until(at).await;
        let id = cassiarock_id::Job::new(Wall::now()).to_string();
        let url = format!("{}/v1/jobs", urls[job.entry]);
        if let Some(after) = scenario.cancel_after(index) {
            let target = format!("{url}/{id}");
            tokio::spawn(cancel(client.clone(), target, after));
        }
        let call = call(client.clone(), url, body(job, &id), job.runs.len());
        calls.spawn(async move {
            let outcome = call.await;
            AnsweredJob {
                index,
                outcome,
                response: at.elapsed(),
            }
        });
    }
    let mut answered = calls.join_all().await;
    answered.sort_by_key(|answer| answer.index);
    answered
}

/// A job of one short task for the entry with index `entry`.
pub fn warm_up_job(entry: usize) -> Job {
    let run = Duration::from_millis(10);
    Job {
        at: Duration::ZERO,
        entry,
        kind: 0,
        runs: vec![run],
        declared: run,
        within: Duration::from_secs(10),
        team: 0,
    }
}

async fn cancel(client: reqwest::Client, url: String, after: Duration) {
    sleep(after).await;
    // The caller that submitted the job receives its outcome. Cancelling a job that has ended
    // changes nothing.
    let _ = client.delete(url).send().await;
}

async fn call(client: reqwest::Client, url: String, body: Value, task_count: usize) -> JobOutcome {
    let Ok(response) = client.post(url).json(&body).send().await else {
        return JobOutcome::Lost;
    };
    let Ok(answer) = response.json::<Value>().await else {
        return JobOutcome::Lost;
    };
    classify(&answer, task_count)
}

fn classify(answer: &Value, task_count: usize) -> JobOutcome {
    match answer["outcome"].as_str() {
        Some("complete") if has_all_results(answer, task_count) => JobOutcome::Complete,
        Some("complete") => JobOutcome::Partial,
        Some("refused_not_run" | "unavailable") => JobOutcome::Refused,
        Some("failed_may_have_run") => JobOutcome::Failed,
        Some("cancelled") => JobOutcome::Cancelled,
        _ => JobOutcome::Lost,
    }
}

/// Whether the answer holds the result of each task, in the order of the tasks.
fn has_all_results(answer: &Value, task_count: usize) -> bool {
    let Some(results) = answer["results"].as_array() else {
        return false;
    };
    let mut numbered = results.iter().enumerate();
    results.len() == task_count
        && numbered.all(|(number, result)| result["result"] == json!(number))
}

fn body(job: &Job, id: &str) -> Value {
    let declared = job.declared.as_millis() as u64;
    let tasks: Vec<Value> = job.runs.iter().enumerate().map(|(number, run)| {
        let run_ms = run.as_millis() as u64;
        json!({"id": number.to_string(), "payload": {"run_ms": run_ms, "echo": number}, "run_ms": declared})
    }).collect();
    json!({
        "id": id,
        "kind": format!("kind-{}", job.kind),
        "team": format!("team-{}", job.team),
        "deadline_ms": job.within.as_millis() as u64,
        "tasks": tasks,
    })
}
