//! What was sent, answered and run, in order, and the runs for the checks.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a task on an upstream. Times are in milliseconds since the start of the scenario.
#[derive(Clone, Debug)]
pub struct Run {
    pub upstream: String,
    pub labels: Vec<String>,
    /// The job, the stage and the index.
    pub task: String,
    pub attempt: u64,
    pub spec: String,
    pub began: u64,
    pub ended: Option<u64>,
    pub how: &'static str,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    /// Milliseconds since the start of the scenario.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn say(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.now(), line.as_ref());
        // The checks go by the runs, not by the file.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes and prints a line.
    pub fn print(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.say(line);
    }

    /// Records the start of a run and returns its number.
    pub fn begin(&self, run: Run) -> usize {
        self.say(format!(
            "run  {} attempt {} begins on {} ({})",
            run.task,
            run.attempt,
            run.upstream,
            run.labels.join(",")
        ));
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    pub fn end(&self, number: usize, how: &'static str) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let run = &mut runs[number];
        run.ended = Some(now);
        run.how = how;
        let line = format!(
            "run  {} attempt {} ends {how} on {}",
            run.task, run.attempt, run.upstream
        );
        drop(runs);
        self.say(line);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// The pairs of runs of one task that were at work at the same time for longer than `slack` ms.
    pub fn twice(&self, slack: u64) -> Vec<(Run, Run, u64)> {
        let mut runs = self.runs();
        let now = self.now();
        runs.sort_by(|a, b| (&a.task, a.began).cmp(&(&b.task, b.began)));
        let mut twice = Vec::new();
        for (index, first) in runs.iter().enumerate() {
            let later = runs[index + 1..].iter();
            for second in later.take_while(|second| second.task == first.task) {
                let end = first.ended.unwrap_or(now).min(second.ended.unwrap_or(now));
                if end > second.began + slack {
                    twice.push((first.clone(), second.clone(), end - second.began));
                }
            }
        }
        twice
    }
}
