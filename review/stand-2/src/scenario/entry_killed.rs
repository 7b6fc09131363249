//! An entry is killed while a wide job runs. Its caller submits the job again, to another entry.

use super::job::{RESEND, WideJob, expect_running, ran_twice, submit, wait};
use crate::site::{Plan, Site, small_upstreams};
use crate::{Context, Verdict};
use std::io;
use std::thread::sleep;
use std::time::Duration;

/// How long a stop takes; `stopMs` is 50.
const STOP: Duration = Duration::from_millis(30);

/// When the platform starts a killed process again.
const RESTART: Duration = Duration::from_millis(500);

pub fn play(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let plan = Plan {
        binary: &context.daemon,
        entries: 3,
        upstreams: small_upstreams(STOP),
    };
    let mut site = Site::start(&plan, record)?;
    let job = WideJob::new("5c0e7a21d94b36f8");
    job.register(&site);
    let first = submit(record, &site.entries[0], job.id, job.body());
    sleep(Duration::from_millis(1_500));
    expect_running(&site, job.tasks as usize)?;
    if context.has_trouble {
        site.entries[0].process.kill(record);
    }
    if wait(first)?.is_none() {
        sleep(RESTART);
        site.entries[0].process.restart(record)?;
        sleep(RESEND - RESTART);
        wait(submit(record, &site.entries[1], job.id, job.body()))?;
    }
    site.keep_logs(context);
    Ok(if ran_twice(record) {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
