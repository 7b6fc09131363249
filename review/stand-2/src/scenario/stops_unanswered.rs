//! Upstreams leave stops unanswered and carry them out late, beside the traffic of the site file. A
//! job takes longer than its caller waits; the caller submits it again.

use super::job::{RESEND, ran_twice, submit_for, wait};
use super::traffic::{Traffic, USUAL};
use crate::site::{Plan, Site, small_upstreams};
use crate::{Context, Verdict};
use std::io;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

/// How long a stop takes that is answered; `stopMs` is 50.
const STOP: Duration = Duration::from_millis(10);

/// How long stops get no answer, and the largest share of all orders of that time; both from the site
/// file.
const TROUBLE: Duration = Duration::from_millis(5_500);
const MOST_UNANSWERED: f64 = 0.055;

/// The longest run of a task and the caller's time limit, from the site file.
const RUN_MS: u64 = 3_600;
const PATIENCE: Duration = Duration::from_millis(1_500);

const JOB: &str = "e19b7c03a84d25f6";

pub fn play(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let upstreams = small_upstreams(STOP);
    let orders = upstreams[0].orders.clone();
    let plan = Plan {
        binary: &context.daemon,
        entries: 3,
        upstreams,
    };
    let site = Site::start(&plan, record)?;
    let traffic = Traffic::start(&site, &USUAL);
    sleep(Duration::from_secs(2));
    orders
        .are_stops_late
        .store(context.has_trouble, Ordering::Relaxed);
    site.demands
        .lock()
        .unwrap()
        .insert(format!("{JOB}.0.0"), 6_200);
    let body = format!(
        "{{\"spec\":\"ms={RUN_MS}\",\"bestEffort\":true,\"phases\":[{{\"count\":4,\"cpu\":6200,\"memMb\":64,\"estimateMs\":900}}]}}"
    );
    let first = submit_for(record, &site.entries[0], JOB, body.clone(), PATIENCE);
    let status = wait(first)?;
    // No response, 502 and 504 are answers after which the job is sent again.
    if matches!(status, None | Some(502 | 504)) {
        sleep(RESEND);
        wait(submit_for(record, &site.entries[1], JOB, body, PATIENCE))?;
    }
    sleep(TROUBLE.saturating_sub(PATIENCE * 2 + RESEND));
    orders.are_stops_late.store(false, Ordering::Relaxed);
    traffic.stop()?;
    site.keep_logs(context);
    let (all, unanswered) = (
        orders.all.load(Ordering::Relaxed),
        orders.unanswered.load(Ordering::Relaxed),
    );
    record.print(format!("{unanswered} of {all} orders got no answer"));
    if unanswered as f64 > all as f64 * MOST_UNANSWERED {
        return Err(io::Error::other("too many orders got no answer"));
    }
    Ok(if ran_twice(record) {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
