//! A job is sent again after a broken channel, runs, and is cancelled. Seconds later a request with
//! its ID arrives once more.

use crate::Verdict;
use crate::http;
use crate::minion::microseconds;
use crate::site::{Site, about, job};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

const ID: &str = "00000000000000d1";
const RESEND: Duration = Duration::from_millis(1_300);
const CANCEL_MS: u64 = 3_000;
const PATIENCE: Duration = Duration::from_secs(10);

pub fn play(site: &mut Site, has_trouble: bool) -> Verdict {
    let record = site.record.clone();
    let text = about("POST", ID, PATIENCE, &job(2, 3_000));
    let mut first = TcpStream::connect(site.frontend(0))?;
    first.write_all(text.as_bytes())?;
    record.note(format!("sent POST {ID} to entry 0"));
    std::thread::sleep(Duration::from_millis(300));
    drop(first);
    record.note("the client's channel is closed; it has had no answer");
    std::thread::sleep(RESEND);
    let mut second = TcpStream::connect(site.frontend(0))?;
    second.set_read_timeout(Some(PATIENCE))?;
    second.write_all(text.as_bytes())?;
    record.note(format!("sent POST {ID} to entry 0 again"));
    std::thread::sleep(Duration::from_millis(300));
    let cancel = about("DELETE", ID, PATIENCE, "");
    let (status, _) = http::call(site.frontend(0), &cancel, Duration::from_secs(4))?;
    let acknowledged = microseconds();
    record.note(format!("DELETE {ID} at entry 0: {status}"));
    let answer = http::read_response(&mut second, &mut Vec::new())?;
    record.note(format!("answer to the POST: {answer:?}"));
    std::thread::sleep(Duration::from_millis(CANCEL_MS + 500));
    if has_trouble {
        record.note(format!("POST {ID} arrives at entry 0 once more"));
        let answer = http::call(site.frontend(0), &text, PATIENCE);
        record.note(format!("answer to that: {answer:?}"));
    }
    std::thread::sleep(Duration::from_millis(500));
    let limit = acknowledged + CANCEL_MS * 1_000;
    let late = site.runs(ID).into_iter().find(|run| run.began > limit);
    Ok(late.map(|run| {
        let after = run.began.saturating_sub(acknowledged) / 1_000;
        let (task, how) = (&run.task, &run.how);
        format!("UNASKED: {task} started {after} ms after its job's cancelling was acknowledged, and ended {how}")
    }))
}
