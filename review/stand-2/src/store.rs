//! The platform's store: a log with keyed topics, without faults.

use crate::http::{self, Answer, Request};
use crate::json;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type Topics = BTreeMap<String, Vec<Vec<u8>>>;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Serves a store at `address` and returns it.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let served = store.clone();
        http::serve(TcpListener::bind(address)?, move |request| {
            served.answer(request)
        });
        Ok(store)
    }

    /// Appends a record of a keyed topic, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let length = u8::try_from(key.len()).unwrap_or(u8::MAX);
        let record = [&[length], key.as_bytes(), value.as_bytes()].concat();
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let (topics, changed) = &*self.shared;
        let mut topics = topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        changed.notify_all();
        (offset, log.len())
    }

    fn answer(&self, request: &Request) -> Answer {
        // A partition is a log of its own; all topics here have one.
        let topic = request.query("topic");
        match request.path.as_str() {
            "/v1/log-append" => self.answer_append(topic, request),
            "/v1/log-read" => self.answer_read(topic, request),
            "/v1/log-newest" => self.answer_newest(topic),
            _ => Answer::json(404, "{}"),
        }
    }

    fn answer_append(&self, topic: &str, request: &Request) -> Answer {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return Answer::json(403, "{}");
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, tail)) = tail.split_at_checked(length) else {
                return Answer::json(400, "{}");
            };
            records.push(record.to_vec());
            rest = tail;
        }
        if let Ok(at) = request.query("at").parse::<usize>() {
            let end = self.shared.0.lock().unwrap().get(topic).map_or(0, Vec::len);
            if at != end {
                return Answer::json(412, format!("{{\"endOffset\":{end}}}"));
            }
        }
        let (offset, end) = self.append(topic, records);
        Answer::json(200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}"))
    }

    fn answer_read(&self, topic: &str, request: &Request) -> Answer {
        let source: usize = request.query("source").parse().unwrap_or(0);
        let wait = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let limit = request.query("maxKb").parse().unwrap_or(1024) * 1024;
        let (topics, changed) = &*self.shared;
        let mut topics = topics.lock().unwrap();
        while topics.get(topic).map_or(0, Vec::len) <= source {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
        let log = topics.get(topic).map_or(&[][..], |log| log);
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in log.iter().skip(source) {
            if body.len() > 16 && body.len() + record.len() > limit {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        Answer::Body(200, body)
    }

    fn answer_newest(&self, topic: &str) -> Answer {
        let topics = self.shared.0.lock().unwrap();
        let log = topics.get(topic).map_or(&[][..], |log| log);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else {
                continue;
            };
            let Some((key, value)) = rest.split_at_checked(usize::from(*length)) else {
                continue;
            };
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            let (key, value) = (json::quote(key), base64(value));
            format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = log.len();
        Answer::json(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}"),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
