//! The caller cancels its job while its entry is frozen; the balancer sends the cancellation to
//! another entry, which answers that no such job exists. The first entry goes on with it.

use crate::http;
use crate::record::Record;
use crate::site::{HOST, PREFIX, Plan, SIGCONT, SIGSTOP, Site, small_upstreams};
use crate::{Context, Verdict};
use std::io;
use std::net::SocketAddr;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const JOB: &str = "a3f1c80d5e2b9674";

/// What each task takes, in thousandths of a core.
const CPU: u64 = 6_200;

/// How long each of the job's three steps runs.
const STEP: Duration = Duration::from_millis(3_600);

/// How long the entry stands still; the site file names 4 s.
const FREEZE: Duration = Duration::from_millis(3_500);

/// `cancel_ms`, `stopMs` and `contactMs` of the deployment.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;

pub fn play(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let upstreams = small_upstreams(Duration::from_millis(10));
    let plan = Plan {
        binary: &context.daemon,
        entries: 3,
        upstreams,
    };
    let site = Site::start(&plan, record)?;
    for stage in 0..3 {
        site.demands
            .lock()
            .unwrap()
            .insert(format!("{JOB}.0.{stage}"), CPU);
    }
    let millis = STEP.as_millis();
    let step = |dependency: &str| {
        format!("{{\"count\":1,\"cpu\":{CPU},\"memMb\":64,\"estimateMs\":{millis}{dependency}}}")
    };
    let body = format!(
        "{{\"spec\":\"ms={millis}\",\"bestEffort\":true,\"phases\":[{},{},{}]}}",
        step(""),
        step(",\"dependsOn\":[0]"),
        step(",\"dependsOn\":[1]")
    );
    let first = site.entries[0].address();
    let caller = {
        let record = record.clone();
        spawn(move || submit(&record, first, &body))
    };
    sleep(Duration::from_millis(1_000));
    if context.has_trouble {
        site.entries[0].process.signal(record, SIGSTOP);
    }
    let frozen = Instant::now();
    // The balancer asks each entry once a second and takes it out after two misses.
    let mut misses = 0;
    for _ in 0..3 {
        sleep(Duration::from_millis(500));
        let is_ready = site.entries[0].is_ready();
        misses = if is_ready { 0 } else { misses + 1 };
        record.say(format!(
            "balancer: frontend-1 is ready: {is_ready}, misses {misses}"
        ));
        sleep(Duration::from_millis(500));
    }
    let chosen = if misses < 2 { 0 } else { 1 };
    let to = site.entries[chosen].address();
    let path = format!("{PREFIX}{JOB}");
    record.print(format!(
        "sent DELETE {path} to frontend-{} at {to}",
        chosen + 1
    ));
    let headers = [
        ("host", HOST),
        ("deadline-ms", "1500"),
        ("request-id", "r-2"),
    ];
    let answer = http::call(
        to,
        "DELETE",
        &path,
        &headers,
        "",
        Duration::from_millis(1_500),
    )?;
    let acknowledged = record.now();
    record.print(format!("answer to DELETE {path}: {answer:?}"));
    if !matches!(answer.0, 200..=299 | 410) {
        return Err(io::Error::other("the cancellation was not acknowledged"));
    }
    sleep((frozen + FREEZE).saturating_duration_since(Instant::now()));
    if context.has_trouble {
        site.entries[0].process.signal(record, SIGCONT);
    }
    let woke = record.now();
    caller
        .join()
        .map_err(|_| io::Error::other("the caller panicked"))?;
    site.keep_logs(context);
    // A machine is in touch again `CONTACT_MS` after its freeze.
    let from = (acknowledged + CANCEL_MS).max(woke + CONTACT_MS);
    let runs = record.runs();
    let late: Vec<_> = runs.iter().filter(|run| run.began > from).collect();
    for run in &late {
        record.print(format!(
            "{} attempt {} began on {} {} ms after the cancellation was acknowledged",
            run.task,
            run.attempt,
            run.upstream,
            run.began - acknowledged
        ));
    }
    record.print(format!(
        "{} runs, {} begun too late",
        runs.len(),
        late.len()
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

fn submit(record: &Record, to: SocketAddr, body: &str) {
    let path = format!("{PREFIX}{JOB}");
    record.print(format!("sent POST {path} to frontend-1 at {to}: {body}"));
    let headers = [
        ("host", HOST),
        ("deadline-ms", "25000"),
        ("request-id", "r-1"),
    ];
    let answer = http::call(to, "POST", &path, &headers, body, Duration::from_secs(25));
    record.print(format!("answer to POST {path}: {answer:?}"));
}
