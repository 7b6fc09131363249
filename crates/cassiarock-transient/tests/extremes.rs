//! Messages, reports and answers with the extreme values of their types: the processes of a
//! running system may be of different versions, and upstreams report what they like. None of them
//! may end the process that receives it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::Process;
use cassiarock_transient::host::{self, AttemptKey, Snapshot, StartResponse, Task, Worker};
use cassiarock_transient::message::{
    Attempt, AttemptResult, CapacityRequest, Load, Order, Outcome, Start, Upstream,
};
use cassiarock_transient::{
    Host, Incarnation, Job, JobClass, Message, Resources, Scheduler, Stage, freshness, scheduler,
};
use proptest::collection::vec;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// The most of one resource that a task of a submitted job may need.
const MAX_DEMAND: u64 = 1_000_000_000;

/// A step of a process's life.
#[derive(Clone, Debug)]
enum Step {
    Submit(Job, JobClass, Duration),
    /// A message of the peer with this number.
    Receive(u64, Message),
    /// One of the placed attempts ends.
    End(usize, Outcome, Duration, Load),
    Report(Worker),
    Snapshot(Snapshot),
    Started(Task, Option<u64>),
    Fenced,
    Pass(Duration),
}

fn edge() -> impl Strategy<Value = u64> {
    prop_oneof![
        0..4_u64,
        Just(1_000),
        Just(u64::from(u32::MAX)),
        Just(1 << 63),
        Just(u64::MAX - 1),
        Just(u64::MAX),
    ]
}

fn small() -> impl Strategy<Value = u32> {
    prop_oneof![8 => 0..3_u32, 1 => Just(u32::MAX)]
}

fn duration() -> impl Strategy<Value = Duration> {
    edge().prop_map(Duration::from_millis)
}

fn resources() -> impl Strategy<Value = Resources> {
    (edge(), edge(), edge()).prop_map(|(cpu, memory, gpu)| Resources::new(cpu, memory, gpu))
}

fn attempt() -> impl Strategy<Value = Attempt> {
    (1..4_u64, small(), small(), small()).prop_map(|(number, stage, index, attempt)| Attempt {
        number,
        stage,
        index,
        attempt,
    })
}

fn outcome() -> impl Strategy<Value = Outcome> {
    use Outcome::*;
    proptest::sample::select(vec![
        Done, Failed, Stopped, Lost, Crashed, Full, Closed, Stale, Busy, Passed, Refused,
    ])
}

fn load() -> impl Strategy<Value = Load> {
    (
        edge(),
        resources(),
        any::<u8>(),
        any::<u16>(),
        any::<u16>(),
        any::<bool>(),
    )
        .prop_map(
            |(last_serial, free, failure_percent, slowdown_percent, entries, is_offered)| Load {
                last_serial,
                free,
                failure_percent,
                slowdown_percent,
                entries,
                is_offered,
            },
        )
}

fn report() -> impl Strategy<Value = Option<freshness::Report>> {
    let report = any::<(u32, u8, Option<u64>, u64)>();
    let report = report.prop_map(|(age_ms, hops, echo_ms, clock_ms)| freshness::Report {
        age_ms,
        hops,
        echo_ms,
        clock_ms,
    });
    proptest::option::of(report)
}

fn request() -> impl Strategy<Value = Option<CapacityRequest>> {
    let request = (
        any::<(bool, bool, bool, u32)>(),
        duration(),
        resources(),
        0..9_u32,
    );
    let request = request.prop_map(
        |((is_late, is_unstarted, has_waited, urgency), left, demand, tasks)| CapacityRequest {
            is_late,
            is_unstarted,
            has_waited,
            urgency,
            left,
            demand,
            tasks,
        },
    );
    proptest::option::of(request)
}

fn start() -> impl Strategy<Value = Start> {
    (attempt(), resources(), duration(), any::<bool>()).prop_map(
        |(at, demand, expected, is_suspect)| Start {
            stage: at.stage,
            index: at.index,
            attempt: at.attempt,
            demand,
            expected,
            suspect: is_suspect.then(|| "agent-1".into()),
        },
    )
}

fn order() -> impl Strategy<Value = Order> {
    (1..4_u64, vec(start(), 0..4)).prop_map(|(number, tasks)| Order {
        number,
        job: format!("{number}").into(),
        request: "r".into(),
        spec: "".into(),
        tasks,
    })
}

fn message() -> impl Strategy<Value = Message> {
    let left = || proptest::option::of(duration());
    let upstream = (
        resources(),
        any::<bool>(),
        proptest::option::of(edge()),
        left(),
        left(),
    )
        .prop_map(
            |(capacity, is_leaving, started_at, remaining, cold_remaining)| Upstream {
                id: "u".into(),
                started_at,
                service: "s".into(),
                capacity,
                labels: vec![],
                is_leaving,
                remaining,
                cold_remaining,
            },
        );
    let result =
        (attempt(), outcome(), duration()).prop_map(|(attempt, outcome, ran)| AttemptResult {
            attempt,
            outcome,
            ran,
        });
    prop_oneof![
        (edge(), load()).prop_map(|(clock, load)| Message::AgentHeartbeat { clock, load }),
        proptest::option::of(upstream).prop_map(Message::Upstream),
        (edge(), vec(result, 0..6), load()).prop_map(|(clock, results, load)| Message::Ended {
            clock,
            results,
            load
        }),
        vec(attempt(), 0..6).prop_map(Message::Held),
        vec(attempt(), 0..6).prop_map(Message::Halt),
        (edge(), edge(), request(), report()).prop_map(|(echo, version, ask, freshness)| {
            Message::EntryHeartbeat {
                echo,
                version,
                ask,
                freshness,
            }
        }),
        (edge(), edge(), vec(order(), 0..4), request()).prop_map(|(serial, echo, orders, ask)| {
            Message::Orders {
                serial,
                echo,
                orders,
                ask,
            }
        }),
    ]
}

fn stage() -> impl Strategy<Value = Stage> {
    let demand = prop_oneof![0..2_000_u64, Just(MAX_DEMAND)];
    let estimate = prop_oneof![0..2_000_u64, Just(1_000_000_000)];
    let most = proptest::option::of(1..3_u32);
    (1..4_u32, demand, estimate, vec(0..3_usize, 0..2), most).prop_map(
        |(task_count, cpu, estimate, dependencies, max_per_upstream)| Stage {
            task_count,
            demand: Resources::new(cpu, 1, 0),
            estimate: Duration::from_millis(estimate),
            dependencies,
            max_per_upstream,
            ..Stage::default()
        },
    )
}

fn submission() -> impl Strategy<Value = Step> {
    let class = (any::<u32>(), small(), 1.0..1_000.0_f64, 0..10_000_000_u64);
    let class = class.prop_map(|(priority, max_attempts, slack_factor, target)| JobClass {
        route: "r".into(),
        service: "s".into(),
        priority,
        max_attempts,
        slack_factor,
        target_latency: Duration::from_millis(target),
        version: u64::MAX,
    });
    let job = vec(stage(), 1..4).prop_map(|mut stages| {
        for (at, stage) in stages.iter_mut().enumerate() {
            stage.dependencies.retain(|on| *on < at);
        }
        Job {
            id: "1".into(),
            request: "r".into(),
            spec: "".into(),
            stages,
        }
    });
    (job, class, 0..600_000_u64).prop_map(|(job, class, patience)| {
        Step::Submit(job, class, Duration::from_millis(patience))
    })
}

fn pass() -> impl Strategy<Value = Step> {
    let millis = prop_oneof![5 => 0..60_u64, 1 => Just(400), 1 => Just(5_000)];
    millis.prop_map(|millis| Step::Pass(Duration::from_millis(millis)))
}

fn scheduler_step() -> impl Strategy<Value = Step> {
    let end = (any::<usize>(), outcome(), duration(), load());
    prop_oneof![
        3 => submission(),
        3 => (0..3_u64, message()).prop_map(|(peer, message)| Step::Receive(peer, message)),
        6 => end.prop_map(|(nth, outcome, ran, load)| Step::End(nth, outcome, ran, load)),
        3 => pass(),
    ]
}

fn key() -> impl Strategy<Value = AttemptKey> {
    (small(), small(), small()).prop_map(|(stage, index, attempt)| AttemptKey {
        stage,
        index,
        attempt,
    })
}

fn host_step() -> impl Strategy<Value = Step> {
    let worker = (
        resources(),
        edge(),
        edge(),
        proptest::option::of(edge()),
        any::<bool>(),
        proptest::option::of(duration()),
        proptest::option::of(duration()),
    )
        .prop_map(
            |(capacity, clock, sequence, started_at, is_leaving, remaining, cold_remaining)| {
                Worker {
                    id: "u".into(),
                    started_at,
                    service: "s".into(),
                    capacity,
                    clock,
                    sequence,
                    is_leaving,
                    remaining,
                    cold_remaining,
                    ..Worker::default()
                }
            },
        );
    let running = vec((1..4_u64, key()), 0..4).prop_map(|rows| {
        rows.into_iter()
            .map(|(job, key)| (job.to_string().into(), key))
            .collect()
    });
    let ended = vec((edge(), 1..4_u64, key(), outcome()), 0..4).prop_map(|rows| {
        let rows = rows.into_iter();
        rows.map(|(number, job, key, outcome)| (number, job.to_string().into(), key, outcome))
            .collect()
    });
    let snapshot = (edge(), proptest::option::of(edge()), running, ended).prop_map(
        |(clock, started_at, running, ended)| Snapshot {
            incarnation: Incarnation::new("u").with_started_at(started_at),
            clock,
            asked: Duration::ZERO,
            running,
            ended,
        },
    );
    let started = (attempt(), proptest::option::of(edge())).prop_map(|(attempt, clock)| {
        let job = attempt.number.to_string().into();
        Step::Started(Task { job, attempt }, clock)
    });
    prop_oneof![
        3 => (0..3_u64, message()).prop_map(|(peer, message)| Step::Receive(peer, message)),
        1 => worker.prop_map(Step::Report),
        2 => snapshot.prop_map(Step::Snapshot),
        1 => started,
        1 => Just(Step::Fenced),
        2 => pass(),
    ]
}

fn peer(number: u64) -> Process {
    Process::new(format!("peer-{number}"), 1)
}

/// An entry with agents that have room, and the attempts that it has placed.
struct Entry {
    scheduler: Scheduler,
    now: Duration,
    placed: Vec<(Process, Attempt)>,
}

impl Entry {
    fn new() -> Self {
        let mut entry = Self {
            scheduler: Scheduler::new().with_seed(1),
            now: Duration::from_millis(50),
            placed: Vec::new(),
        };
        for number in 0..3 {
            entry.scheduler.link(&peer(number), &"dc".into(), entry.now);
            let upstream = Upstream {
                id: "u".into(),
                started_at: None,
                service: "s".into(),
                capacity: Resources::new(10_000, 10_000, 0),
                labels: vec![],
                is_leaving: false,
                ..Upstream::default()
            };
            entry.receive(number, Message::Held(vec![]));
            entry.receive(number, Message::Upstream(Some(upstream)));
            entry.beat(number);
        }
        entry
    }

    fn beat(&mut self, number: u64) {
        let load = Load {
            free: Resources::new(10_000, 10_000, 0),
            slowdown_percent: 100,
            ..Load::default()
        };
        self.receive(number, Message::AgentHeartbeat { clock: 1, load });
    }

    fn receive(&mut self, from: u64, message: Message) {
        let actions = self
            .scheduler
            .handle_message(&peer(from), message, self.now);
        self.apply(actions);
    }

    fn end(&mut self, nth: usize, outcome: Outcome, ran: Duration, load: Load) {
        if self.placed.is_empty() {
            return;
        }
        let (agent, attempt) = self.placed.swap_remove(nth % self.placed.len());
        let results = vec![AttemptResult {
            attempt,
            outcome,
            ran,
        }];
        let message = Message::Ended {
            clock: 1,
            results,
            load,
        };
        let actions = self.scheduler.handle_message(&agent, message, self.now);
        self.apply(actions);
    }

    fn perform(&mut self, number: u64, step: Step) {
        match step {
            Step::Submit(job, class, patience) => {
                let class = Arc::new(class);
                let actions = self
                    .scheduler
                    .submit(number, job, class, patience, self.now);
                self.apply(actions);
            }
            Step::Receive(from, message) => self.receive(from, message),
            Step::End(nth, outcome, ran, load) => self.end(nth, outcome, ran, load),
            Step::Pass(time) => {
                self.now += time;
                self.beat(number % 3);
            }
            _ => {}
        }
        let actions = self.scheduler.poll(self.now);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<scheduler::Action>) {
        for action in actions {
            if let scheduler::Action::Send(agent, Message::Orders { orders, .. }) = action {
                let starts = orders.iter().flat_map(|order| {
                    let tasks = order.tasks.iter();
                    tasks.map(|start| (agent.clone(), start.of(order.number)))
                });
                self.placed.extend(starts);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn no_message_ends_an_entry(steps in vec(scheduler_step(), 1..60)) {
        let mut entry = Entry::new();
        for (number, step) in (1..).zip(steps) {
            entry.perform(number, step);
        }
    }

    #[test]
    fn no_message_or_answer_ends_an_agent(steps in vec(host_step(), 1..60)) {
        let mut host = Host::new();
        let mut now = Duration::from_millis(50);
        for number in 0..3 {
            host.link(&peer(number), now);
        }
        for step in steps {
            let incarnation = host.worker().map(Worker::incarnation).unwrap_or_default();
            match step {
                Step::Receive(from, message) => drop(host.handle_message(&peer(from), message, now)),
                Step::Report(worker) => drop(host.handle_report(worker, now)),
                Step::Snapshot(snapshot) => drop(host.handle_snapshot(&snapshot, now)),
                Step::Started(task, clock) => {
                    let started = StartResponse::Started;
                    host.handle_start_response(&incarnation, &task, started, clock, now);
                }
                Step::Fenced => drop(host.raise_fence(&incarnation)),
                Step::Pass(time) => now += time,
                Step::Submit(..) | Step::End(..) => {}
            }
            let _: Vec<host::Action> = host.poll(now);
            host.renew_leases(now);
            let _ = host.next_poll(now);
        }
    }
}
