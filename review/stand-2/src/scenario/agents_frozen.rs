//! Two agents stand still for a moment, beside the traffic of the site file. Jobs that need one of
//! their upstreams and take no room wait meanwhile.

use super::job::{has_run_twice, ran_twice};
use crate::http;
use crate::record::Record;
use crate::site::{HOST, PREFIX, Plan, SIGCONT, SIGSTOP, Site, small_upstreams};
use crate::{Context, Verdict};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// How long a stop takes; `stopMs` is 50.
const STOP: Duration = Duration::from_millis(10);

/// How long the agents stand still; the site file names 4 s.
const FREEZE: Duration = Duration::from_millis(370);

/// The time from one freeze to the next, and the most that there are: it ends once a task has run
/// twice.
const PAUSE: Duration = Duration::from_millis(1_600);
const FREEZES: usize = 55;

/// The rack of the last two upstreams.
const RACK: &str = "r1-4";

/// A kind of job and how many come in a second.
#[derive(Clone, Copy)]
struct Kind {
    per_second: f64,
    tasks: u32,
    run_ms: u64,
    cpu: u64,
    requirements: &'static str,
}

/// The traffic of the site file, and the jobs that take no room.
const KINDS: [Kind; 4] = [
    Kind {
        per_second: 34.4,
        tasks: 8,
        run_ms: 60,
        cpu: 6_200,
        requirements: "",
    },
    Kind {
        per_second: 6.25,
        tasks: 4,
        run_ms: 900,
        cpu: 6_200,
        requirements: "",
    },
    Kind {
        per_second: 100.0,
        tasks: 2,
        run_ms: 200,
        cpu: 6_200,
        requirements: "",
    },
    Kind {
        per_second: 20.0,
        tasks: 2,
        run_ms: 700,
        cpu: 0,
        requirements: RACK,
    },
];

pub fn play(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let plan = Plan {
        binary: &context.daemon,
        entries: 3,
        upstreams: small_upstreams(STOP),
    };
    let site = Site::start(&plan, record)?;
    let traffic = Traffic::start(&site);
    sleep(Duration::from_secs(2));
    for _ in 0..FREEZES {
        if context.has_trouble {
            let frozen = &site.agents[9..11];
            frozen
                .iter()
                .for_each(|agent| agent.process.signal(record, SIGSTOP));
            sleep(FREEZE);
            frozen
                .iter()
                .for_each(|agent| agent.process.signal(record, SIGCONT));
        }
        sleep(PAUSE - FREEZE);
        if has_run_twice(record) {
            break;
        }
    }
    let jobs = traffic.stop()?;
    site.keep_logs(context);
    record.print(format!("{jobs} jobs"));
    Ok(if ran_twice(record) {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Callers that submit jobs at a steady rate, whatever becomes of them.
struct Traffic {
    is_over: Arc<AtomicBool>,
    jobs: Arc<AtomicU64>,
    sources: Vec<JoinHandle<Vec<JoinHandle<()>>>>,
}

impl Traffic {
    fn start(site: &Site) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let jobs = Arc::new(AtomicU64::new(0));
        let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.address()).collect();
        let sources = KINDS.map(|kind| {
            let (is_over, jobs) = (is_over.clone(), jobs.clone());
            let (record, demands, entries) =
                (site.record.clone(), site.demands.clone(), entries.clone());
            spawn(move || {
                let mut callers = Vec::new();
                let began = Instant::now();
                for number in 0.. {
                    let due = began + Duration::from_secs_f64(f64::from(number) / kind.per_second);
                    sleep(due.saturating_duration_since(Instant::now()));
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let job = jobs.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0xb000_0000_0000_0000 + job);
                    demands
                        .lock()
                        .unwrap()
                        .insert(format!("{id}.0.0"), kind.cpu);
                    let (record, to) = (record.clone(), entries[job as usize % entries.len()]);
                    callers.push(spawn(move || submit(&record, to, &id, kind)));
                }
                callers
            })
        });
        Self {
            is_over,
            jobs,
            sources: sources.into(),
        }
    }

    /// Waits for all answers and returns the number of jobs.
    fn stop(self) -> io::Result<u64> {
        self.is_over.store(true, Ordering::Relaxed);
        let failed = || io::Error::other("a caller panicked");
        for source in self.sources {
            for caller in source.join().map_err(|_| failed())? {
                caller.join().map_err(|_| failed())?;
            }
        }
        Ok(self.jobs.load(Ordering::Relaxed))
    }
}

/// Submits a job once; a caller without an answer does not come back.
fn submit(record: &Record, to: SocketAddr, id: &str, kind: Kind) {
    let Kind {
        tasks,
        run_ms,
        cpu,
        requirements,
        ..
    } = kind;
    // Fields whose value is 0 or empty are left out.
    let needs = match requirements {
        "" => format!("\"cpu\":{cpu},\"memMb\":64"),
        label => format!("\"requirements\":\"{label}\""),
    };
    let body = format!(
        "{{\"spec\":\"ms={run_ms}\",\"bestEffort\":true,\"phases\":[{{\"count\":{tasks},{needs},\"estimateMs\":{run_ms}}}]}}"
    );
    let path = format!("{PREFIX}{id}");
    record.say(format!("sent POST {path} to {to}: {body}"));
    let headers = [("host", HOST), ("deadline-ms", "5000"), ("request-id", id)];
    let answer = http::call(to, "POST", &path, &headers, &body, Duration::from_secs(5));
    record.say(format!("answer to POST {path}: {answer:?}"));
}
