//! Two agents stand still for a moment, beside the traffic of the site file. Jobs that need one of
//! their upstreams and take no room wait meanwhile.

use super::job::{has_run_twice, ran_twice};
use super::traffic::{Kind, Traffic, USUAL};
use crate::site::{Plan, SIGCONT, SIGSTOP, Site, small_upstreams};
use crate::{Context, Verdict};
use std::io;
use std::thread::sleep;
use std::time::Duration;

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

/// Jobs that need the rack and take no room.
const ROOMLESS: Kind = Kind {
    per_second: 20.0,
    tasks: 2,
    run_ms: 700,
    cpu: 0,
    requirements: RACK,
};

pub fn play(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let plan = Plan {
        binary: &context.daemon,
        entries: 3,
        upstreams: small_upstreams(STOP),
    };
    let site = Site::start(&plan, record)?;
    let traffic = Traffic::start(&site, &[USUAL[0], USUAL[1], USUAL[2], ROOMLESS]);
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
