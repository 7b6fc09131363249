//! Upstreams crash one after the other and start again at once under their ids, beside traffic.

use super::job::{has_run_twice, ran_twice};
use super::traffic::{Kind, Traffic};
use crate::site::{Plan, Site, upstreams};
use crate::{Context, Verdict};
use std::io;
use std::thread::sleep;
use std::time::Duration;

/// How long a stop takes; `stopMs` is 50.
const STOP: Duration = Duration::from_millis(40);

/// How long an upstream is away.
const AWAY: Duration = Duration::from_millis(150);

/// The time from one crash to the next, and the most that there are: it ends once a task has run
/// twice.
const PAUSE: Duration = Duration::from_millis(1_200);
const CRASHES: u64 = 85;

/// `heartbeatMs`: an upstream reports for the first time within it.
const HEARTBEAT_MS: u64 = 1_500;

/// The traffic of the site file for eleven of its 66 upstreams.
const TRAFFIC: [Kind; 3] = [
    Kind {
        per_second: 30.2,
        tasks: 8,
        run_ms: 51,
        cpu: 1_600,
        requirements: "",
    },
    Kind {
        per_second: 5.5,
        tasks: 4,
        run_ms: 760,
        cpu: 1_600,
        requirements: "",
    },
    Kind {
        per_second: 88.0,
        tasks: 2,
        run_ms: 170,
        cpu: 1_600,
        requirements: "",
    },
];

pub fn play(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let upstreams = upstreams(16_000, 32_768, STOP);
    let count = upstreams.len() as u64;
    let plan = Plan {
        binary: &context.daemon,
        entries: 3,
        upstreams,
    };
    let site = Site::start(&plan, record)?;
    let traffic = Traffic::start(&site, &TRAFFIC);
    sleep(Duration::from_secs(2));
    for crash in 0..CRASHES {
        if context.has_trouble {
            let upstream = &site.agents[(crash % count) as usize].upstream;
            upstream.crash();
            sleep(AWAY);
            // Spread over the time of a heartbeat.
            upstream.restart(Duration::from_millis(crash * 617 % HEARTBEAT_MS));
        }
        sleep(PAUSE - AWAY);
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
