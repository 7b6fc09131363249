//! A stand-in of a minion, run as a process of its own. It carries out starts, stops and holds as
//! PROTOCOL.md tells, reports to its agent, and prints when each run began and ended.

use crate::http::{self, Request, Response};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOLD_MAX_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TASK_CPU: u64 = 1_000;
pub const CPU: u64 = 16_000;

struct Run {
    attempt: u64,
    ends: Instant,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

struct State {
    id: String,
    started: Instant,
    deadline: u64,
    fence: u64,
    running: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    passed: BTreeMap<String, u64>,
    ends: Vec<End>,
    numbers: u64,
}

struct Minion {
    state: Mutex<State>,
    ended: Condvar,
}

pub fn microseconds() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Runs a minion until the process is killed.
pub fn run(id: &str, address: SocketAddr, control: SocketAddr) -> std::io::Result<()> {
    let state = State {
        id: id.to_owned(),
        started: Instant::now(),
        deadline: 0,
        fence: 0,
        running: BTreeMap::new(),
        passed: BTreeMap::new(),
        ends: Vec::new(),
        numbers: 0,
    };
    let minion = Arc::new(Minion {
        state: Mutex::new(state),
        ended: Condvar::new(),
    });
    let served = minion.clone();
    http::serve(TcpListener::bind(address)?, move |request| {
        served.handle(&request)
    });
    let ticked = minion.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(2));
            ticked.tick();
        }
    });
    for sequence in 1.. {
        minion.report(control, address, sequence);
    }
    Ok(())
}

impl State {
    fn clock(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn renew(&mut self, deadline: u64) {
        let longest = self.clock() + HOLD_MAX_MS;
        self.deadline = self.deadline.max(deadline.min(longest));
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        println!(
            "{} end {} {task} {} {how}",
            microseconds(),
            self.id,
            run.attempt
        );
        let passed = self.passed.entry(task.to_owned()).or_default();
        *passed = (*passed).max(run.attempt);
        self.numbers += 1;
        self.ends.push(End {
            number: self.numbers,
            task: task.to_owned(),
            attempt: run.attempt,
            how,
        });
    }

    fn refusal(&self, task: &str, attempt: u64, deadline: u64) -> Option<&'static str> {
        if deadline <= self.clock() {
            return Some("late");
        }
        if self
            .passed
            .get(task)
            .is_some_and(|passed| attempt <= *passed)
        {
            return Some("old");
        }
        let taken = self.running.len() as u64 * TASK_CPU;
        (self.running.contains_key(task) || taken + TASK_CPU > CPU).then_some("room")
    }
}

impl Minion {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let has_lapsed = state.clock() > state.deadline;
        let over: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| match (run.ends <= now, has_lapsed) {
                (true, _) => Some((task.clone(), "done")),
                (false, true) => Some((task.clone(), "lapsed")),
                (false, false) => None,
            })
            .collect();
        for (task, how) in over {
            state.end(&task, how);
            self.ended.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut state = self.lock();
        let expected = request.header("Expected-Instance");
        if expected.is_some_and(|expected| expected != state.id) {
            return Some((421, Vec::new()));
        }
        let fence = http::number(&body, "fencingToken").unwrap_or(0);
        if fence < state.fence {
            return Some(refused(&state, "fence"));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/v1/run-start" => Some(start(&mut state, &body)),
            "/v1/run-stop" => {
                let task = http::string(&body, "task").unwrap_or_default();
                let attempt = http::number(&body, "attempt").unwrap_or(0);
                let passed = state.passed.entry(task.clone()).or_default();
                *passed = (*passed).max(attempt);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|run| run.attempt <= attempt)
                {
                    state.end(&task, "stopped");
                    self.ended.notify_all();
                }
                Some(accepted(&state))
            }
            "/v1/hold" => Some(self.hold(state, &body)),
            _ => Some((404, Vec::new())),
        }
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &str) -> (u16, Vec<u8>) {
        let seen = http::number(body, "lastSeen").unwrap_or(0);
        if let Some(deadline) = http::number(body, "deadlineMs") {
            state.renew(deadline);
        }
        state.ends.retain(|end| end.number > seen);
        let wait = Duration::from_millis(http::number(body, "waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        while state.ends.iter().all(|end| end.number <= seen) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter();
        let running =
            running.map(|(task, run)| format!("[\"{task}\",{},\"\",0,1000]", run.attempt));
        let running = running.collect::<Vec<_>>().join(",");
        let ends = state.ends.iter().filter(|end| end.number > seen).take(500);
        let ends = ends.map(|end| {
            format!(
                "[{},\"{}\",{},\"{}\",\"\"]",
                end.number, end.task, end.attempt, end.how
            )
        });
        let ends = ends.collect::<Vec<_>>().join(",");
        let clock = state.clock();
        let text = format!("{{\"clockMs\":{clock},\"running\":[{running}],\"finished\":[{ends}]}}");
        (200, text.into_bytes())
    }

    fn report(&self, control: SocketAddr, address: SocketAddr, sequence: u64) {
        let (id, clock) = {
            let state = self.lock();
            (state.id.clone(), state.clock())
        };
        let body = format!(
            "{{\"service\":\"tasks\",\"address\":\"{address}\",\"zone\":\"zone-1\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"capacity\":{{\"cpu\":{CPU},\"memMb\":32768,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\
             \"clockMs\":{clock},\"sequence\":{sequence}}}"
        );
        let host = control.to_string();
        let headers = [("host", &*host), ("content-type", "application/json")];
        let path = format!("/v1/instances/{id}");
        let text = http::request("PUT", &path, &headers, &body);
        let answer = http::call(control, &text, Duration::from_secs(1));
        let is_acknowledged = answer.is_ok_and(|(status, _)| status == 200);
        let pause = if is_acknowledged {
            HEARTBEAT
        } else {
            HEARTBEAT / 10
        };
        std::thread::sleep(pause);
    }
}

fn start(state: &mut State, body: &str) -> (u16, Vec<u8>) {
    let task = http::string(body, "task").unwrap_or_default();
    let attempt = http::number(body, "attempt").unwrap_or(0);
    let spec = http::string(body, "spec").unwrap_or_default();
    let deadline = http::number(body, "deadlineMs").unwrap_or(0);
    if state
        .running
        .get(&task)
        .is_some_and(|run| run.attempt == attempt)
    {
        return accepted(state);
    }
    if let Some(reason) = state.refusal(&task, attempt, deadline) {
        return refused(state, reason);
    }
    state.renew(deadline);
    let millis = spec.strip_prefix("ms=").and_then(|text| text.parse().ok());
    let lasts = Duration::from_millis(millis.unwrap_or(100));
    println!(
        "{} start {} {task} {attempt} {spec}",
        microseconds(),
        state.id
    );
    let ends = Instant::now() + lasts;
    state.running.insert(task, Run { attempt, ends });
    accepted(state)
}

fn accepted(state: &State) -> (u16, Vec<u8>) {
    (
        200,
        format!("{{\"clockMs\":{}}}", state.clock()).into_bytes(),
    )
}

fn refused(state: &State, reason: &str) -> (u16, Vec<u8>) {
    let clock = state.clock();
    (
        409,
        format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}").into_bytes(),
    )
}
