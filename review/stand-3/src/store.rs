//! A stand-in of the platform's store: keyed topics with appends, waiting reads and newest records.

use crate::http::{Request, Response, serve};
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    appended: Condvar,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let served = store.clone();
        serve(listener, move |request| served.handle(&request));
        store
    }

    /// Writes the newest record of a key, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let length = u8::try_from(key.len()).unwrap_or(u8::MAX);
        let record = [&[length], key.as_bytes(), value].concat();
        // An append without a condition is always carried out.
        let _ = self.append(topic, vec![record], None);
    }

    fn append(
        &self,
        topic: &str,
        records: Vec<Vec<u8>>,
        at: Option<usize>,
    ) -> Result<usize, usize> {
        let mut topics = self.topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        if at.is_some_and(|at| at != log.len()) {
            return Err(log.len());
        }
        let offset = log.len();
        log.extend(records);
        self.appended.notify_all();
        Ok(offset)
    }

    fn handle(&self, request: &Request) -> Response {
        let topic = request.parameter("topic").unwrap_or_default();
        match request.path.as_str() {
            "/v1/log-append" => Some(self.handle_append(topic, request)),
            "/v1/log-read" => Some(self.handle_read(topic, request)),
            "/v1/log-newest" => Some(self.handle_newest(topic)),
            _ => Some((404, Vec::new())),
        }
    }

    fn handle_append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let count = records.len();
        let at = request.parameter("at").and_then(|at| at.parse().ok());
        match self.append(topic, records, at) {
            Ok(offset) => {
                let end = offset + count;
                (
                    200,
                    format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into_bytes(),
                )
            }
            Err(end) => (412, format!("{{\"endOffset\":{end}}}").into_bytes()),
        }
    }

    fn handle_read(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let parameter = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let source = parameter("source").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(parameter("waitMs").unwrap_or(0));
        let limit = parameter("maxKb").unwrap_or(1_024) as usize * 1_024;
        let mut topics = self.topics.lock().unwrap();
        while topics.get(topic).map_or(0, Vec::len) <= source && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
        let log = topics.get(topic).cloned().unwrap_or_default();
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        let mut bytes = 0;
        for record in log.iter().skip(source) {
            if bytes > 0 && bytes + record.len() > limit {
                break;
            }
            bytes += record.len();
            body.extend(u32::try_from(record.len()).unwrap_or(0).to_be_bytes());
            body.extend(record);
        }
        (200, body)
    }

    fn handle_newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let topics = self.topics.lock().unwrap();
        let log = topics.get(topic).cloned().unwrap_or_default();
        let mut newest: Vec<(String, usize, Vec<u8>)> = Vec::new();
        for (offset, record) in log.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.retain(|(known, ..)| *known != key);
            if record.len() > length + 1 {
                newest.push((key, offset, record[length + 1..].to_vec()));
            }
        }
        newest.sort();
        let items: Vec<String> = newest
            .iter()
            .map(|(key, offset, value)| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = log.len();
        let items = items.join(",");
        let text = format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}");
        (200, text.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let at = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            if digit <= three.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
