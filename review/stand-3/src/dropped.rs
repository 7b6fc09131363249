//! The configuration drops a queue while a job of it runs. The job's client then cancels it.

use crate::Verdict;
use crate::http;
use crate::minion::microseconds;
use crate::site::{OTHER_PREFIX, Site, about, chain};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const ID: &str = "00000000000000e1";
const CONFIG_APPLY_MS: u64 = 2_000;
const ACK_MS: u64 = 4_000;
const CANCEL_MS: u64 = 3_000;
const STEPS: usize = 4;
/// How long a step of the job takes. The last one begins after all bounds.
const STEP_MS: u64 = 3_500;
const PATIENCE: Duration = Duration::from_secs(40);
/// The pause between two cancels while none is acknowledged.
const PAUSE: Duration = Duration::from_secs(1);

pub fn play(site: &mut Site, has_trouble: bool) -> Verdict {
    let record = site.record.clone();
    let began = Instant::now();
    let mut channel = TcpStream::connect(site.frontend(0))?;
    channel.write_all(about("POST", ID, PATIENCE, &chain(STEPS, STEP_MS)).as_bytes())?;
    record.note(format!("sent POST {ID} to entry 0"));
    std::thread::sleep(Duration::from_millis(500));
    if has_trouble {
        site.configure(2, &[OTHER_PREFIX]);
        record.note("version 2 of the configuration drops the queue");
    }
    std::thread::sleep(Duration::from_millis(CONFIG_APPLY_MS + 500));
    let first_sent = microseconds();
    let limit = first_sent + (ACK_MS + CANCEL_MS) * 1_000;
    let mut acknowledged = None;
    while acknowledged.is_none() && microseconds() < limit {
        let text = about("DELETE", ID, PATIENCE, "");
        let (status, _) = http::call(site.frontend(0), &text, Duration::from_secs(4))?;
        record.note(format!("DELETE {ID} at entry 0: {status}"));
        if (200..300).contains(&status) || status == 410 {
            acknowledged = Some(microseconds());
        } else {
            std::thread::sleep(PAUSE);
        }
    }
    let last_step_has_begun = Duration::from_millis(3 * STEP_MS + 1_000);
    std::thread::sleep(last_step_has_begun.saturating_sub(began.elapsed()));
    // A cancel that is not acknowledged counts as if it were once it has waited for `ackMs`.
    let counted = acknowledged.unwrap_or(first_sent + ACK_MS * 1_000);
    let limit = counted + CANCEL_MS * 1_000;
    let late = site.runs(ID).into_iter().find(|run| run.began > limit);
    Ok(late.map(|run| {
        let after = run.began.saturating_sub(first_sent) / 1_000;
        let task = &run.task;
        format!("UNASKED: {task} started {after} ms after its job's cancel was first sent")
    }))
}
