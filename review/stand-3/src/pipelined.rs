//! A client sends two jobs one after the other on an open channel without awaiting the first answer.
//! Its channel is reset, and it sends the first job again `resendMs` later to another entry.

use crate::Verdict;
use crate::http;
use crate::site::{Site, about, job};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

const FIRST: &str = "00000000000000a1";
const SECOND: &str = "00000000000000a2";
const RESEND: Duration = Duration::from_millis(1_300);
const PATIENCE: Duration = Duration::from_secs(10);

pub fn play(site: &mut Site, has_trouble: bool) -> Verdict {
    let record = site.record.clone();
    let mut channel = TcpStream::connect(site.frontend(0))?;
    channel.set_nodelay(true)?;
    channel.set_read_timeout(Some(PATIENCE))?;
    channel.write_all(about("POST", FIRST, PATIENCE, &job(2, 3_500)).as_bytes())?;
    record.note(format!("sent POST {FIRST} to entry 0"));
    std::thread::sleep(Duration::from_millis(50));
    channel.write_all(about("POST", SECOND, PATIENCE, &job(2, 100)).as_bytes())?;
    record.note(format!("sent POST {SECOND} to entry 0 on the same channel"));
    std::thread::sleep(Duration::from_millis(400));
    if has_trouble {
        drop(channel);
        record.note("the client's channel is closed; it has had no answer");
        std::thread::sleep(RESEND);
        record.note(format!("sent POST {FIRST} to entry 1"));
        let text = about("POST", FIRST, PATIENCE, &job(2, 3_500));
        let answer = http::call(site.frontend(1), &text, PATIENCE);
        record.note(format!("answer of entry 1: {answer:?}"));
    } else {
        let mut buffer = Vec::new();
        for id in [FIRST, SECOND] {
            let answer = http::read_response(&mut channel, &mut buffer)?;
            record.note(format!("answer to {id}: {answer:?}"));
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let twice = site.twice(FIRST);
    Ok(twice.first().map(|(first, second)| {
        let both = first.ended.min(second.ended).saturating_sub(second.began) / 1_000;
        let (task, one, other) = (&first.task, &first.minion, &second.minion);
        format!("TWICE: {task} ran on {one} and {other} at the same time for {both} ms")
    }))
}
