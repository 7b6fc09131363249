//! Samples of the resources that a process has used.

use std::error::Error;
use std::fs;
use std::time::{Duration, Instant};

/// Kernel clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The resources that one process has used up to a point in time.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    at: Instant,
    /// Processor time in seconds.
    cpu: f64,
    /// Resident memory in bytes.
    pub memory: f64,
    /// Bytes written to links.
    bytes: f64,
    /// Frames written to links.
    frames: f64,
}

/// The resources that a process used between two samples.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub seconds: f64,
    pub cpu: f64,
    pub bytes: f64,
    pub frames: f64,
}

impl Sample {
    /// Reads the process `id`, whose metrics are at `monitor`.
    pub async fn take(id: u32, monitor: &str) -> Result<Self, Box<dyn Error>> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let (_, fields) = stat.rsplit_once(')').ok_or("no process state")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next());
        let metrics = reqwest::get(format!("http://{monitor}/metrics")).await?;
        let metrics = metrics.text().await?;
        Ok(Self {
            at: Instant::now(),
            cpu: ticks / TICKS_PER_SECOND,
            memory: resident.ok_or("no resident memory")?.parse::<f64>()? * 1024.0,
            bytes: counter(&metrics, "cassiarock_peer_sent_bytes_total"),
            frames: counter(&metrics, "cassiarock_peer_sent_frames_total"),
        })
    }

    /// The resources used since `earlier`.
    pub fn since(&self, earlier: &Self) -> Usage {
        Usage {
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            cpu: self.cpu - earlier.cpu,
            bytes: self.bytes - earlier.bytes,
            frames: self.frames - earlier.frames,
        }
    }
}

/// Samples a process twice, `duration` apart. Returns the second sample and the usage between
/// the two.
pub async fn measure(
    id: u32,
    monitor: &str,
    duration: Duration,
) -> Result<(Sample, Usage), Box<dyn Error>> {
    let before = Sample::take(id, monitor).await?;
    tokio::time::sleep(duration).await;
    let after = Sample::take(id, monitor).await?;
    Ok((after, after.since(&before)))
}

fn counter(metrics: &str, name: &str) -> f64 {
    let values = metrics.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        rest.split_whitespace().next_back()?.parse::<f64>().ok()
    });
    values.sum()
}

/// The slope and the intercept of the least-squares line through `points`.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variation_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let covariation = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let slope = covariation.sum::<f64>() / variation_x;
    (slope, mean_y - slope * mean_x)
}
