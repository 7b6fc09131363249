//! What a child writes.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;
use std::time::Duration;

/// The message of the log line that names the addresses, as `key=address` pairs.
const LISTENING: &str = " listening ";

type Addresses = Vec<(String, SocketAddr)>;

/// The lines so far; a thread reads them until the child ends.
#[derive(Debug)]
pub(super) struct Output {
    text: Arc<Mutex<String>>,
    found: mpsc::Receiver<Addresses>,
}

impl Output {
    pub(super) fn new(out: impl Read + Send + 'static) -> Self {
        let text = Arc::new(Mutex::new(String::new()));
        let (sender, found) = mpsc::channel();
        let lines = text.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if line.contains(LISTENING) {
                    let _ = sender.send(parse(&line));
                }
                let mut text = lines.lock().unwrap_or_else(PoisonError::into_inner);
                text.push_str(&line);
                text.push('\n');
            }
        });
        Self { text, found }
    }

    /// The addresses, once the child has named them; none if it ends first or takes
    /// longer than `limit`.
    pub(super) fn addresses(&self, limit: Duration) -> Option<Addresses> {
        self.found.recv_timeout(limit).ok()
    }

    pub(super) fn text(&self) -> String {
        let text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        text.clone()
    }
}

fn parse(line: &str) -> Addresses {
    line.split_whitespace().filter_map(pair).collect()
}

fn pair(word: &str) -> Option<(String, SocketAddr)> {
    let (key, value) = word.split_once('=')?;
    let address = value.trim_matches('"').parse().ok()?;
    Some((key.to_owned(), address))
}
