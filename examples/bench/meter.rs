//! The counters of this process, read from its metrics endpoint, and its processor time.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;

/// Kinds of frames that carry a task's start and its outcome.
const TASK_FRAMES: [&str; 2] = ["run", "ended"];

/// Kinds of frames that are sent whether or not there is work.
const CONTROL_FRAMES: [&str; 8] = [
    "hello",
    "ping",
    "pong",
    "state",
    "ask_state",
    "leaving",
    "entries",
    "news",
];

/// Clock ticks per second in `/proc`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// The values of all counters at one time, or their increase between two times.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    frames: BTreeMap<String, f64>,
    bytes: BTreeMap<String, f64>,
    placed: f64,
    cpu: Duration,
}

impl Meter {
    /// Reads the metrics at `url`. The counters cover the whole process, so any monitor will do.
    pub async fn read(client: &reqwest::Client, url: &str) -> Result<Self, Box<dyn Error>> {
        let text = client.get(url).send().await?.text().await?;
        Ok(Self {
            frames: by_kind(&text, "cassiarock_peer_sent_frames_total"),
            bytes: by_kind(&text, "cassiarock_peer_sent_bytes_total"),
            placed: value(&text, "cassiarock_entry_placed_tasks_total"),
            cpu: cpu()?,
        })
    }

    /// The increase since `before`.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            frames: difference_by_kind(&self.frames, &before.frames),
            bytes: difference_by_kind(&self.bytes, &before.bytes),
            placed: self.placed - before.placed,
            cpu: self.cpu.saturating_sub(before.cpu),
        }
    }

    /// Messages beyond one start and one outcome per task: every other frame about work,
    /// and every placement that did not become a start at a worker.
    pub fn wasted(&self, started: usize) -> f64 {
        let is_other = |kind: &str| !TASK_FRAMES.contains(&kind) && !CONTROL_FRAMES.contains(&kind);
        let others = self.frames.iter().filter(|(kind, _)| is_other(kind));
        let frames: f64 = others.map(|(_, count)| count).sum();
        frames + (self.placed - started as f64).max(0.0)
    }

    /// The part of the wasted messages by which jobs are claimed and settled.
    pub fn claims(&self) -> f64 {
        let kinds = ["ask", "answered", "fence", "reported", "find", "found"];
        kinds.iter().filter_map(|kind| self.frames.get(*kind)).sum()
    }

    /// The number of fences sent: eleven, one to each agent, for each job that is gathered.
    pub fn gathers(&self) -> f64 {
        self.frames.get("fence").copied().unwrap_or(0.0)
    }

    pub fn control_bytes(&self) -> f64 {
        CONTROL_FRAMES
            .iter()
            .filter_map(|kind| self.bytes.get(*kind))
            .sum()
    }

    pub const fn cpu(&self) -> Duration {
        self.cpu
    }

    /// Counts of frames by kind, to print during a run.
    pub const fn frames(&self) -> &BTreeMap<String, f64> {
        &self.frames
    }
}

fn difference_by_kind(
    now: &BTreeMap<String, f64>,
    before: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let difference = |kind: &String, count: &f64| count - before.get(kind).unwrap_or(&0.0);
    now.iter()
        .map(|(kind, count)| (kind.clone(), difference(kind, count)))
        .collect()
}

fn by_kind(text: &str, name: &str) -> BTreeMap<String, f64> {
    let prefix = format!("{name}{{kind=\"");
    let lines = text.lines().filter_map(|line| line.strip_prefix(&prefix));
    lines
        .filter_map(|rest| {
            let (kind, count) = rest.split_once("\"} ")?;
            Some((kind.to_owned(), count.parse().ok()?))
        })
        .collect()
}

fn value(text: &str, name: &str) -> f64 {
    let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
    let found = lines.find_map(|rest| rest.trim().parse().ok());
    found.unwrap_or(0.0)
}

/// User and system time of this process, from fields 14 and 15 of `/proc/self/stat`.
fn cpu() -> Result<Duration, Box<dyn Error>> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields = after_name.split(' ').skip(11).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}
