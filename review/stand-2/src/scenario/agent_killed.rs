//! An agent is killed while a wide job runs on its upstream, and started again.

use super::job::{WideJob, expect_running, ran_twice, submit, wait};
use crate::site::{Plan, Site, small_upstreams};
use crate::{Context, Verdict};
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a stop takes; `stopMs` is 50.
const STOP: Duration = Duration::from_millis(30);

/// When the platform starts a killed process again.
const RESTART: Duration = Duration::from_millis(100);

/// How long before the upstream's next report the agent is killed.
const BEFORE_REPORT: Duration = Duration::from_millis(250);

pub fn play(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let plan = Plan {
        binary: &context.daemon,
        entries: 3,
        upstreams: small_upstreams(STOP),
    };
    let mut site = Site::start(&plan, record)?;
    let job = WideJob::new("7d41b0e6c2985fa3");
    job.register(&site);
    let caller = submit(record, &site.entries[0], job.id, job.body());
    sleep(Duration::from_millis(1_000));
    expect_running(&site, job.tasks as usize)?;
    let report = site.agents[0].upstream.next_report();
    let report = report.ok_or_else(|| io::Error::other("no report was taken"))?;
    sleep((report - BEFORE_REPORT).saturating_duration_since(Instant::now()));
    if context.has_trouble {
        site.agents[0].process.kill(record);
        sleep(RESTART);
        site.agents[0].process.restart(record)?;
    }
    wait(caller)?;
    site.keep_logs(context);
    Ok(if ran_twice(record) {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
