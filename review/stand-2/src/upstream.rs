//! An upstream ("minion") that follows PROTOCOL.md: reports, starts, stops, leases, lists of runs.

use crate::http::{self, Answer, Connections, Request};
use crate::json::{self, Value};
use crate::record::{Record, Run};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest lease, `holdMaxMs`.
const HOLD_MAX_MS: u64 = 1_000;

/// The pause between two reports, `heartbeatMs`, and after one that failed.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_RETRY: Duration = Duration::from_millis(250);

/// What an upstream is like.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    /// How long a stop takes; it is answered when the run has ended. At most `stopMs`.
    pub stop: Duration,
    pub orders: Orders,
}

/// The orders to all upstreams, and whether they leave stops unanswered.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// Stops get no answer while it is set, and are carried out `LATE` after they came.
    pub are_stops_late: Arc<AtomicBool>,
    /// How many orders came, and how many of them got no answer, while stops were late.
    pub all: Arc<AtomicU64>,
    pub unanswered: Arc<AtomicU64>,
}

/// How late an unanswered order is carried out; the pages name 2 to 12 s.
const LATE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Running {
    attempt: u64,
    demand_cpu: u64,
    ends: Instant,
    number: usize,
}

#[derive(Debug, Default)]
struct State {
    id: String,
    born: u64,
    is_alive: bool,
    fence: u64,
    /// When all that runs lapses, by the upstream's clock.
    until: u64,
    running: BTreeMap<String, Running>,
    /// The highest attempt that was stopped or has ended.
    passed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// When the last report was acknowledged.
    reported: Option<Instant>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    kind: Kind,
    record: Record,
    /// The processor demand of one task of each job; orders do not carry it.
    demands: Demands,
}

/// The processor demand of a task, by the prefix of its name: job and stage.
pub type Demands = Arc<Mutex<BTreeMap<String, u64>>>;

/// An upstream at an address.
#[derive(Clone)]
pub struct Upstream {
    address: SocketAddr,
    reports: SocketAddr,
    current: Arc<Mutex<Arc<Shared>>>,
    connections: Connections,
}

impl Upstream {
    /// Serves an upstream at `address` that reports to `reports`.
    pub fn start(
        address: SocketAddr,
        reports: SocketAddr,
        id: &str,
        kind: Kind,
        record: &Record,
        demands: &Demands,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let shared = Shared::new(id, kind, record.clone(), demands.clone());
        let current = Arc::new(Mutex::new(shared));
        let served = current.clone();
        let connections = http::serve(listener, move |request| {
            let shared = served.lock().unwrap().clone();
            shared.answer(request)
        });
        let upstream = Self {
            address,
            reports,
            current,
            connections,
        };
        upstream.run(Duration::ZERO);
        Ok(upstream)
    }

    fn current(&self) -> Arc<Shared> {
        self.current.lock().unwrap().clone()
    }

    /// Crashes it: its connections break, and all that runs there ends.
    pub fn crash(&self) {
        let shared = self.current();
        let mut state = shared.lock();
        shared.record.say(format!("upstream {} crashes", state.id));
        state.is_alive = false;
        for (_, run) in std::mem::take(&mut state.running) {
            shared.record.end(run.number, "crashed");
        }
        drop(state);
        shared.changed.notify_all();
        self.connections.close();
    }

    /// Starts it again under its id, without memory of its former life. It reports for the first time
    /// after `pause`.
    pub fn restart(&self, pause: Duration) {
        let former = self.current();
        let id = former.lock().id.clone();
        former.record.say(format!(
            "upstream {id} starts again, first report in {} ms",
            pause.as_millis()
        ));
        let shared = Shared::new(
            &id,
            former.kind.clone(),
            former.record.clone(),
            former.demands.clone(),
        );
        *self.current.lock().unwrap() = shared;
        self.connections.accept();
        self.run(pause);
    }

    /// Reports, for the first time after `pause`, and ends runs until this life is over.
    fn run(&self, pause: Duration) {
        let shared = self.current();
        let ticked = shared.clone();
        std::thread::spawn(move || {
            while ticked.lock().is_alive {
                ticked.tick();
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        let (address, reports) = (self.address, self.reports);
        std::thread::spawn(move || {
            std::thread::sleep(pause);
            for sequence in 1.. {
                let (path, body) = shared.report(address, sequence);
                if !shared.lock().is_alive {
                    return;
                }
                let limit = Duration::from_secs(1);
                let answer = http::call(reports, "PUT", &path, &[("host", "agent")], &body, limit);
                let is_taken = answer.is_ok_and(|(status, _)| status == 200);
                if is_taken {
                    shared.lock().reported = Some(Instant::now());
                }
                std::thread::sleep(if is_taken { HEARTBEAT } else { HEARTBEAT_RETRY });
            }
        });
    }

    /// When the next report is due.
    pub fn next_report(&self) -> Option<Instant> {
        Some(self.current().lock().reported? + HEARTBEAT)
    }

    pub fn running(&self) -> usize {
        self.current().lock().running.len()
    }
}

impl Shared {
    fn new(id: &str, kind: Kind, record: Record, demands: Demands) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let state = State {
            id: id.to_owned(),
            born: born.as_millis() as u64,
            is_alive: true,
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
            kind,
            record,
            demands,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn report(&self, address: SocketAddr, sequence: u64) -> (String, String) {
        let state = self.lock();
        let labels = self.kind.labels.iter().map(|label| json::quote(label));
        let body = format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\
             \"labels\":[{}],\"clockMs\":{},\"sequence\":{sequence},\"born\":{}}}",
            json::quote(&self.kind.service),
            json::quote(&self.kind.zone),
            self.kind.cpu,
            self.kind.mem_mb,
            labels.collect::<Vec<_>>().join(","),
            self.clock(),
            state.born,
        );
        (format!("/v1/instances/{}", state.id), body)
    }

    /// Counts an order while stops are late, and returns whether they are.
    fn count_order(&self) -> bool {
        let orders = &self.kind.orders;
        let are_late = orders.are_stops_late.load(Ordering::Relaxed);
        orders.all.fetch_add(u64::from(are_late), Ordering::Relaxed);
        are_late
    }

    /// Carries a stop out late and does not answer it.
    fn stop_late(self: &Arc<Self>, body: Value) -> Answer {
        self.kind.orders.unanswered.fetch_add(1, Ordering::Relaxed);
        self.record.say(format!(
            "stop of {} gets no answer",
            body.get("task").text()
        ));
        let this = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LATE);
            this.stop(&body);
        });
        Answer::Silence
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Answer {
        {
            let state = self.lock();
            if !state.is_alive {
                return Answer::Silence;
            }
            let expected = request.header("expected-instance");
            if !expected.is_empty() && expected != state.id {
                return Answer::json(421, "{}");
            }
        }
        let Some(body) = std::str::from_utf8(&request.body)
            .ok()
            .and_then(json::parse)
        else {
            return Answer::json(400, "{}");
        };
        match request.path.as_str() {
            "/v1/run-start" => {
                self.count_order();
                self.start(&body)
            }
            "/v1/run-stop" if self.count_order() => self.stop_late(body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.hold(&body),
            _ => Answer::json(404, "{}"),
        }
    }

    fn refusal(&self, reason: &str) -> Answer {
        Answer::json(
            409,
            format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock()),
        )
    }

    fn done(&self) -> Answer {
        Answer::json(200, format!("{{\"clockMs\":{}}}", self.clock()))
    }

    fn start(&self, body: &Value) -> Answer {
        let mut state = self.lock();
        if !state.admit(body) {
            return self.refusal("fence");
        }
        let task = body.get("task").text().to_owned();
        let attempt = body.get("attempt").number().unwrap_or(0);
        let until = body.get("deadlineMs").number().unwrap_or(0);
        if until <= self.clock() {
            return self.refusal("late");
        }
        state.renew(until, self.clock());
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.attempt == attempt)
        {
            return self.done();
        }
        if state
            .passed
            .get(&task)
            .is_some_and(|passed| attempt <= *passed)
        {
            return self.refusal("old");
        }
        let demand = self.demand(&task);
        let taken: u64 = state.running.values().map(|run| run.demand_cpu).sum();
        if state.running.contains_key(&task) || taken + demand > self.kind.cpu {
            return self.refusal("room");
        }
        let spec = body.get("spec").text();
        let number = self.record.begin(Run {
            upstream: format!("{}@{}", state.id, state.born % 1_000_000),
            labels: self.kind.labels.clone(),
            task: task.clone(),
            attempt,
            spec: spec.to_owned(),
            began: self.record.now(),
            ended: None,
            how: "",
        });
        let ends = Instant::now() + lasts(spec);
        state.running.insert(
            task,
            Running {
                attempt,
                demand_cpu: demand,
                ends,
                number,
            },
        );
        self.done()
    }

    fn demand(&self, task: &str) -> u64 {
        let stage = task.rsplit_once('.').map_or(task, |(stage, _)| stage);
        self.demands
            .lock()
            .unwrap()
            .get(stage)
            .copied()
            .unwrap_or(0)
    }

    fn stop(&self, body: &Value) -> Answer {
        let task = body.get("task").text().to_owned();
        let attempt = body.get("attempt").number().unwrap_or(0);
        let is_running = {
            let mut state = self.lock();
            if !state.admit(body) {
                return self.refusal("fence");
            }
            let passed = state.passed.entry(task.clone()).or_default();
            *passed = (*passed).max(attempt);
            state
                .running
                .get(&task)
                .is_some_and(|run| run.attempt <= attempt)
        };
        if is_running {
            std::thread::sleep(self.kind.stop);
            let mut state = self.lock();
            if state
                .running
                .get(&task)
                .is_some_and(|run| run.attempt <= attempt)
            {
                self.end(&mut state, &task, "stopped");
            }
        }
        self.done()
    }

    fn hold(&self, body: &Value) -> Answer {
        let seen = body.get("lastSeen").number().unwrap_or(0);
        let wait = body.get("waitMs").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        if !state.admit(body) {
            return self.refusal("fence");
        }
        if let Some(deadline) = body.get("deadlineMs").number() {
            state.renew(deadline, self.clock());
        }
        while state.is_alive && state.ends <= seen {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        if !state.is_alive {
            return Answer::Silence;
        }
        state.ended.retain(|(number, ..)| *number > seen);
        let running = state.running.iter();
        let running = running.map(|(task, run)| format!("[\"{task}\",{},\"\",0,0]", run.attempt));
        let ended = state.ended.iter().take(500);
        let ended = ended.map(|(number, task, attempt, how)| {
            format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
        });
        Answer::json(
            200,
            format!(
                "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                self.clock(),
                state.born,
                running.collect::<Vec<_>>().join(","),
                ended.collect::<Vec<_>>().join(",")
            ),
        )
    }

    /// Ends what is over or has lapsed.
    fn tick(&self) {
        let (now, clock) = (Instant::now(), self.clock());
        let mut state = self.lock();
        let has_lapsed = clock > state.until;
        let over = state.running.iter();
        let over = over.filter(|(_, run)| has_lapsed || run.ends <= now);
        let over: Vec<String> = over.map(|(task, _)| task.clone()).collect();
        for task in over {
            self.end(
                &mut state,
                &task,
                if has_lapsed { "lapsed" } else { "done" },
            );
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        self.record.end(run.number, how);
        let passed = state.passed.entry(task.to_owned()).or_default();
        *passed = (*passed).max(run.attempt);
        state.ends += 1;
        let number = state.ends;
        state
            .ended
            .push((number, task.to_owned(), run.attempt, how));
        self.changed.notify_all();
    }
}

impl State {
    fn admit(&mut self, body: &Value) -> bool {
        let fence = body.get("fencingToken").number().unwrap_or(0);
        let is_admitted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_admitted
    }

    fn renew(&mut self, until: u64, clock: u64) {
        self.until = self.until.max(until.min(clock + HOLD_MAX_MS));
    }
}

/// How long a task runs: its specification begins with `ms=` and the milliseconds.
fn lasts(spec: &str) -> Duration {
    let digits = spec.strip_prefix("ms=").unwrap_or("50");
    let end = digits
        .find(|char: char| !char.is_ascii_digit())
        .unwrap_or(digits.len());
    Duration::from_millis(digits[..end].parse().unwrap_or(50))
}
