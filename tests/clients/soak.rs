//! Crowds of every kind at every listener, at the same time as signals, restarts and changes of the
//! configuration. `CLIENT_SOAK=first..last` plays other seeds, `CLIENT_SOAK_SIZE=entries,agents` plays
//! them in a larger system.

use crate::check::{LIMITS, alone, assert_runs_a_job, assert_within_limits};
use crate::crowd::{Crowd, Script};
use crate::site::{Site, body};
use cassiarock_test_support::process::Child;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::StatusCode;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Seeds of each run.
const SHORT: std::ops::Range<u64> = 1..5;

/// Entries and agents.
const SIZE: (usize, usize) = (2, 3);

/// How long faults and crowds come.
const FAULTS: Duration = Duration::from_secs(10);

/// How long all links may take at the start, and after the faults.
const LINKED: Duration = Duration::from_secs(30);

/// A terminated process that takes longer, several times its grace period, hangs.
const HANGING: Duration = Duration::from_secs(30);

/// How often a process that is being started is looked at.
const STARTING: Duration = Duration::from_millis(5);

/// Ordinary callers, crowds at a time, and the connections of a crowd at most.
const CALLERS: u64 = 4;
const CROWDS: u64 = 3;
const CONNECTIONS: usize = 400;

/// A caller whose job got no answer sends it again after this time, to any entry.
const RESEND: Duration = Duration::from_millis(1_300);

/// What callers were answered, by job.
type Statuses = Arc<Mutex<BTreeMap<String, Vec<Option<StatusCode>>>>>;

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn crowds_beside_signals_and_restarts_end_no_process() {
    let _alone = alone().await;
    let range = std::env::var("CLIENT_SOAK").ok().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..last.parse().ok()?)
    });
    for seed in range.unwrap_or(SHORT) {
        println!("seed {seed}");
        play(seed).await;
    }
}

/// The size of the system that is played.
fn size() -> (usize, usize) {
    let size = std::env::var("CLIENT_SOAK_SIZE").ok().and_then(|text| {
        let (entries, agents) = text.split_once(',')?;
        Some((entries.parse().ok()?, agents.parse().ok()?))
    });
    size.unwrap_or(SIZE)
}

async fn play(seed: u64) {
    let (entries, agents) = size();
    let mut site = Site::start_limited(entries, agents, LIMITS).await;
    for entry in &site.entries {
        entry.linked_to_one(LINKED).await;
    }
    let statuses = Statuses::default();
    let until = Instant::now() + FAULTS;
    let urls: Vec<String> = site.entries.iter().map(|entry| entry.job("")).collect();
    let listeners = listeners(&site);
    let callers = (0..CALLERS)
        .map(|number| tokio::spawn(call(seed, number, urls.clone(), statuses.clone(), until)));
    let crowds = (0..CROWDS).map(|number| {
        let rng = StdRng::seed_from_u64(seed << 16 | number);
        tokio::spawn(crowd(rng, listeners.clone(), until))
    });
    let clients: Vec<_> = callers.chain(crowds).collect();
    disturb(StdRng::seed_from_u64(seed), &mut site, until).await;
    for client in clients {
        client.await.unwrap();
    }
    for entry in &mut site.entries {
        started(&mut entry.process).await;
        assert_within_limits(&mut entry.process);
        entry.linked_to_one(LINKED).await;
        assert_runs_a_job(entry).await;
        assert_within_limits(&mut entry.process);
    }
    for agent in &mut site.agents {
        started(&mut agent.process).await;
        assert_within_limits(&mut agent.process);
    }
    site.assert_never_twice();
    assert_refused_jobs_have_not_run(&site, &statuses);
}

/// Fails if a job has run whose caller was only ever told that it did not.
fn assert_refused_jobs_have_not_run(site: &Site, statuses: &Statuses) {
    let refusals = BTreeSet::from([
        Some(StatusCode::TOO_MANY_REQUESTS),
        Some(StatusCode::SERVICE_UNAVAILABLE),
    ]);
    for (id, statuses) in statuses.lock().unwrap().iter() {
        let is_refused = statuses.iter().all(|status| refusals.contains(status));
        let has_begun = site.witness.has_begun(id);
        assert!(
            !is_refused || !has_begun,
            "{id} was refused {statuses:?} and has run"
        );
    }
}

/// The addresses of all listeners, each with a request that it serves.
fn listeners(site: &Site) -> Vec<(SocketAddr, &'static str)> {
    let entries = site.entries.iter().flat_map(|entry| {
        [
            (entry.callers(), "POST /q/00000000000000aa"),
            (entry.balancer(), "GET /v1/readiness"),
            (entry.monitor(), "GET /metrics"),
            (entry.links_behind(), "GET /"),
        ]
    });
    let agents = site.agents.iter();
    let agents = agents.map(|agent| (agent.upstream_side(), "PUT /v1/instances/u-9"));
    entries.chain(agents).collect()
}

/// Sends one unfinished crowd after the other.
async fn crowd(mut rng: StdRng, listeners: Vec<(SocketAddr, &'static str)>, until: Instant) {
    while Instant::now() < until {
        let (address, request) = listeners[rng.random_range(0..listeners.len())];
        let script = match rng.random_range(0..7) {
            0 => Script::single_bytes(request),
            1 => Script::batches_of_bytes(request),
            2 => Script::one_chunk(request),
            3 => Script::slices(request),
            4 => Script::silence(request),
            5 => Script::endless_head(request),
            _ => Script::large_frame(),
        };
        let connections = rng.random_range(1..CONNECTIONS);
        let hold = Duration::from_millis(rng.random_range(0..2_000));
        let mut crowd = Crowd::open(address, connections).await;
        tokio::select! {
            () = crowd.send(&script) => {}
            () = tokio::time::sleep_until(until) => {}
        }
        sleep(hold).await;
    }
}

/// Submits one job after the other over connections that stay open, each until it has an answer.
async fn call(seed: u64, caller: u64, urls: Vec<String>, statuses: Statuses, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed << 8 | caller);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("{seed:06x}{caller:04x}{number:06x}");
        let job = body(rng.random_range(1..6), rng.random_range(20..200));
        for _ in 0..3 {
            let url = &urls[rng.random_range(0..urls.len())];
            let call = client.post(format!("{url}{id}")).json(&job);
            let call = call.header("host", "queue.example");
            let call = call.header("deadline-ms", "2000");
            let answer = call.timeout(Duration::from_secs(2)).send().await;
            let status = answer.ok().map(|answer| answer.status());
            note(&statuses, &id, status);
            if status.is_some_and(|status| !matches!(status.as_u16(), 502 | 504)) {
                break;
            }
            sleep(RESEND).await;
        }
    }
}

fn note(statuses: &Statuses, id: &str, status: Option<StatusCode>) {
    let mut statuses = statuses.lock().unwrap();
    statuses.entry(id.to_owned()).or_default().push(status);
}

/// Checks a process that must still run, and kills it.
async fn kill(process: &mut Child) {
    process.resume();
    started(process).await;
    assert_within_limits(process);
    process.kill();
}

/// Waits until a process has handlers for its signals. Until then a signal may end it, and while it is
/// being started it has the descriptors of this program.
async fn started(process: &mut Child) {
    while process.exit_status().unwrap().is_none() && !process.handles(Signal::SIGHUP).unwrap() {
        sleep(STARTING).await;
    }
}

/// Sends signals, restarts processes and changes the configuration, overlapping, until the time given.
async fn disturb(mut rng: StdRng, site: &mut Site, until: Instant) {
    let mut leaving = vec![false; site.entries.len()];
    while Instant::now() < until {
        for _ in 0..site.entries.len().div_ceil(SIZE.0) {
            let entry = rng.random_range(0..site.entries.len());
            let agent = rng.random_range(0..site.agents.len());
            let fault = rng.random_range(0..10);
            let is_leaving = &mut leaving[entry];
            let (entry, agent) = (&mut site.entries[entry], &mut site.agents[agent]);
            match fault {
                0 => {
                    kill(&mut agent.process).await;
                    agent.restart();
                }
                1 => agent.process.pause(),
                2 | 3 => agent.process.resume(),
                4 if !*is_leaving => {
                    kill(&mut entry.process).await;
                    entry.restart();
                }
                5 if !*is_leaving => entry.process.pause(),
                6 => entry.process.resume(),
                7 if !*is_leaving => {
                    entry.process.resume();
                    entry.process.terminate();
                    *is_leaving = true;
                }
                8 if !*is_leaving => {
                    entry.process.resume();
                    started(&mut entry.process).await;
                    entry.process.hang_up();
                }
                _ => site.configure(),
            }
        }
        sleep(Duration::from_millis(rng.random_range(50..700))).await;
        for (entry, is_leaving) in site.entries.iter_mut().zip(&mut leaving) {
            if *is_leaving && entry.process.exit_status().unwrap().is_some() {
                entry.restart();
                *is_leaving = false;
            }
        }
    }
    for (entry, is_leaving) in site.entries.iter_mut().zip(leaving) {
        entry.process.resume();
        if is_leaving {
            let ended = entry.process.ended(HANGING).await.unwrap();
            assert!(ended.is_some(), "a terminated entry hangs");
            entry.restart();
        }
    }
    for agent in &site.agents {
        agent.process.resume();
    }
}
