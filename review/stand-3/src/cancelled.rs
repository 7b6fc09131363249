//! A client's channel breaks, and its job reaches another entry when it is sent again. The client then
//! cancels the job over a new channel, which goes to the entry of the client.

use crate::Verdict;
use crate::http;
use crate::minion::microseconds;
use crate::site::{Site, about, chain};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const ID: &str = "00000000000000c1";
const RESEND: Duration = Duration::from_millis(1_300);
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 50;
const STEPS: usize = 3;
/// How long a step of the job takes. The last one begins after all bounds.
const STEP_MS: u64 = 3_300;
const PATIENCE: Duration = Duration::from_secs(30);
/// From the last submission to the cancel, so that it comes over `contactMs` after the broken channel.
const BEFORE_CANCEL: Duration = Duration::from_millis(2_200);

pub fn play(site: &mut Site, has_trouble: bool) -> Verdict {
    let record = site.record.clone();
    // New channels of the client go to entry 0, and its retries to others.
    let mut channel = submit(site.frontend(0))?;
    record.note(format!("sent POST {ID} to entry 0"));
    if has_trouble {
        std::thread::sleep(Duration::from_millis(400));
        drop(channel);
        record.note("the client's channel is broken; it has had no answer");
        std::thread::sleep(RESEND);
        channel = submit(site.frontend(1))?;
        record.note(format!("sent POST {ID} again, to entry 1"));
    }
    std::thread::sleep(BEFORE_CANCEL);
    let text = about("DELETE", ID, PATIENCE, "");
    let (status, _) = http::call(site.frontend(0), &text, Duration::from_secs(4))?;
    let acknowledged = microseconds();
    record.note(format!("DELETE {ID} at entry 0: {status}"));
    if !(200..300).contains(&status) && status != 410 {
        return Err(std::io::Error::other(format!(
            "the cancel was answered {status}"
        )));
    }
    channel.set_read_timeout(Some(PATIENCE))?;
    let answer = http::read_response(&mut channel, &mut Vec::new());
    record.note(format!("answer to the POST: {answer:?}"));
    std::thread::sleep(Duration::from_millis(500));
    Ok(broken(site, acknowledged))
}

fn submit(entry: SocketAddr) -> std::io::Result<TcpStream> {
    let mut channel = TcpStream::connect(entry)?;
    channel.write_all(about("POST", ID, PATIENCE, &chain(STEPS, STEP_MS)).as_bytes())?;
    Ok(channel)
}

/// The tasks that were started or ran on too long after the acknowledged cancel.
fn broken(site: &Site, acknowledged: u64) -> Option<String> {
    let after = |time: u64| time.saturating_sub(acknowledged) / 1_000;
    let mut found = Vec::new();
    for run in site.runs(ID) {
        let task = &run.task;
        if after(run.began) > CANCEL_MS {
            found.push(format!("{task} started {} ms", after(run.began)));
        } else if after(run.ended) > CANCEL_MS + STOP_MS {
            found.push(format!("{task} ran on until {} ms", after(run.ended)));
        }
    }
    let text = format!(
        "UNASKED: after the job's cancelling was acknowledged, {}",
        found.join(", ")
    );
    (!found.is_empty()).then_some(text)
}
