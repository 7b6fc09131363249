//! Runs one policy over the arrivals of one round.

use crate::args::{Args, ENTRIES, SLOTS, Variant};
use crate::callers::{self, AnsweredJob, JobOutcome};
use crate::cluster::{Cluster, Size};
use crate::load::Job;
use crate::meter::Meter;
use crate::reference::{self, Order};
use crate::scenario::Scenario;
use std::error::Error;
use std::time::Duration;

/// How long a new pool's membership may take to settle. Until then each job is gathered from
/// all agents, which a running system does only around membership changes.
const WARM_UP: Duration = Duration::from_secs(8);

/// The pause between two checks whether the membership has settled.
const WARM_UP_PAUSE: Duration = Duration::from_millis(500);

/// How long to wait after the last answer, so that the last frames are counted.
const LAST_FRAMES_DELAY: Duration = Duration::from_millis(500);

/// The figures of one policy in one round.
#[derive(Clone, Debug)]
pub struct RoundResult {
    /// Response time and ideal response time of each complete job, in seconds.
    pub responses: Vec<(f64, f64)>,
    /// Response times of the same jobs under the omniscient queue, in seconds.
    pub omniscient: Vec<f64>,
    /// Response times of the same jobs under the queue in order of arrival, in seconds.
    pub arrival: Vec<f64>,
    pub jobs: usize,
    pub started: usize,
    pub doubled: usize,
    pub partial: usize,
    pub refused: usize,
    /// The longest time from a job's arrival to its refusal, in seconds.
    pub slowest_refusal: f64,
    pub failed: usize,
    pub goodput: f64,
    pub wasted: f64,
    pub claims: f64,
    pub control_bytes: f64,
    pub cpu: f64,
    pub seconds: f64,
}

/// Runs the jobs under one policy in a cluster of their own.
pub async fn run(
    args: &Args,
    variant: &Variant,
    jobs: &[Job],
) -> Result<RoundResult, Box<dyn Error>> {
    let mut size = Size {
        entries: ENTRIES,
        ..Size::default()
    };
    size.policy.placement = variant.kind;
    size.policy.weight = variant.objective;
    let cluster = Cluster::start(&size).await?;
    let client = reqwest::Client::builder().no_proxy().build()?;
    let metrics = format!("http://{}/metrics", cluster.entries[0].addresses().monitor);
    warm_up(&client, &metrics, &cluster.urls()).await?;
    args.scenario.inject_fault(&cluster);
    let before = Meter::read(&client, &metrics).await?;
    let started_before = cluster.tally().total();
    let started_at = std::time::Instant::now();
    let answered = callers::submit(&client, &cluster.urls(), jobs, args.scenario).await;
    tokio::time::sleep(LAST_FRAMES_DELAY).await;
    let meter = Meter::read(&client, &metrics).await?.since(&before);
    let seconds = started_at.elapsed().as_secs_f64();
    eprintln!("frames: {:?}", meter.frames());
    let tally = cluster.tally();
    let started = tally.total() - started_before;
    Ok(RoundResult {
        started,
        doubled: tally.doubled().len(),
        wasted: meter.wasted(started),
        claims: meter.claims(),
        control_bytes: meter.control_bytes(),
        cpu: meter.cpu().as_secs_f64(),
        seconds,
        ..summarise(args, jobs, &answered)
    })
}

/// Submits jobs of one task until none of them has to be gathered, or until [`WARM_UP`] has
/// passed.
async fn warm_up(
    client: &reqwest::Client,
    metrics: &str,
    urls: &[String],
) -> Result<(), Box<dyn Error>> {
    let started_at = std::time::Instant::now();
    let jobs: Vec<Job> = (0..urls.len()).map(callers::warm_up_job).collect();
    while started_at.elapsed() < WARM_UP {
        let before = Meter::read(client, metrics).await?;
        callers::submit(client, urls, &jobs, Scenario::Steady).await;
        let frames = Meter::read(client, metrics).await?.since(&before);
        if frames.gathers() == 0.0 {
            eprintln!("settled after {:.1} s", started_at.elapsed().as_secs_f64());
            return Ok(());
        }
        tokio::time::sleep(WARM_UP_PAUSE).await;
    }
    eprintln!("jobs are still gathered after {WARM_UP:?}");
    Ok(())
}

fn summarise(args: &Args, jobs: &[Job], answered: &[AnsweredJob]) -> RoundResult {
    let least = reference::omniscient(jobs, SLOTS, Order::Least);
    let arrival = reference::omniscient(jobs, SLOTS, Order::Arrival);
    let complete: Vec<&AnsweredJob> = answered
        .iter()
        .filter(|answer| answer.outcome == JobOutcome::Complete)
        .collect();
    let count = |outcome| {
        answered
            .iter()
            .filter(|answer| answer.outcome == outcome)
            .count()
    };
    let refusals = answered
        .iter()
        .filter(|answer| answer.outcome == JobOutcome::Refused);
    let pick = |times: &[Duration]| {
        let times = complete.iter().map(|answer| times[answer.index]);
        times.map(|time| time.as_secs_f64()).collect()
    };
    let response = |answer: &&AnsweredJob| {
        let ideal = reference::ideal(&jobs[answer.index], SLOTS);
        (answer.response.as_secs_f64(), ideal.as_secs_f64())
    };
    RoundResult {
        responses: complete.iter().map(response).collect(),
        omniscient: pick(&least),
        arrival: pick(&arrival),
        jobs: jobs.len(),
        started: 0,
        doubled: 0,
        partial: count(JobOutcome::Partial),
        refused: count(JobOutcome::Refused),
        slowest_refusal: refusals
            .map(|answer| answer.response.as_secs_f64())
            .fold(0.0, f64::max),
        failed: count(JobOutcome::Failed) + count(JobOutcome::Lost),
        goodput: goodput(args, jobs, &complete),
        wasted: 0.0,
        claims: 0.0,
        control_bytes: 0.0,
        cpu: 0.0,
        seconds: 0.0,
    }
}

/// The share of the pool's slot time spent on completed jobs: the work of the jobs completed
/// after the first quarter of the arrival period and before its end, over the time of all
/// slots in between.
fn goodput(args: &Args, jobs: &[Job], complete: &[&AnsweredJob]) -> f64 {
    let (from, until) = (args.arrival_period() / 4, args.arrival_period());
    let in_time = complete.iter().filter(|answer| {
        let end = jobs[answer.index].at + answer.response;
        end >= from && end < until
    });
    let work: Duration = in_time.map(|answer| jobs[answer.index].work()).sum();
    work.as_secs_f64() / (SLOTS as f64 * (until - from).as_secs_f64())
}
