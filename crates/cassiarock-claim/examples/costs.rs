//! What claims cost: messages, decision time and memory, for `docs/AT-MOST-ONCE.md`.
//!
//! ```sh
//! cargo run --release -p cassiarock-claim --example costs
//! ```

use cassiarock_claim::keeper::Keeper;
use cassiarock_claim::ledger::{Ledger, StartDecision};
use cassiarock_claim::message::{ClaimReply, ClaimRequest, Outcome, Purpose, Start};
use cassiarock_claim::owner::{Action, Event, Owner};
use cassiarock_claim::view::{Timing, View, ViewHistory};
use cassiarock_claim::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Task, Wall};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const NOW: Wall = Wall::from_millis(1_700_000_000_000);
const LEASE: Duration = Duration::from_secs(2);
const RETENTION: Duration = Duration::from_secs(600);
/// Tasks of a job in the memory and time measurements.
const TASKS_PER_JOB: u16 = 10;
/// Bytes of an outcome.
const OUTCOME_BYTES: usize = 100;
/// Repetitions of each time measurement; the median and the range are printed.
const REPETITIONS: usize = 7;

fn main() {
    // Not dropped yet, so that the ledgers don't reuse its memory.
    let _keeper = keeper_memory();
    ledger_memory();
    for agents in [11, 44, 176] {
        take_over_costs(agents);
    }
    for agents in [11, 44, 176, 2_900] {
        scope_time(agents);
    }
    start_time();
}

struct Cluster {
    views: ViewHistory,
    agents: BTreeMap<Process, (Ledger, Keeper)>,
    view: View,
}

fn cluster(agents: usize) -> Cluster {
    let agent_name = |n| Process::new(format!("agent-{n}"), 1);
    let view = View::new(1, (0..agents).map(agent_name));
    let timing = Timing::new(LEASE, Duration::ZERO, RETENTION);
    let mut views = ViewHistory::new(timing, NOW);
    views.adopt(view.clone());
    let limit = RetentionLimit::new(RETENTION, usize::MAX);
    let mut built = BTreeMap::new();
    for agent in view.members.iter() {
        views.confirm(agent, 1, LEASE, NOW, NOW);
        let ledger = Ledger::new(agent.clone(), limit);
        built.insert(agent.clone(), (ledger, Keeper::new(agent.clone(), limit)));
    }
    Cluster {
        views,
        agents: built,
        view,
    }
}

fn owner(job: Job, entry: &str) -> Owner {
    let ballot = Ballot::new(Ballot::FRESH, Process::new(entry, 1)).with_serial(1);
    Owner::new(job, 9, TASKS_PER_JOB, ballot)
}

/// Counts the messages in both directions until tasks may be placed.
fn count_messages(cluster: &mut Cluster, owner: &mut Owner, first: Event) -> usize {
    let mut messages = 0;
    let mut events = vec![first];
    while let Some(event) = events.pop() {
        for action in owner.step(event, &cluster.views, NOW) {
            match action {
                Action::RequestClaim { keeper, request } => {
                    messages += 2;
                    let Some((_, claims)) = cluster.agents.get_mut(&keeper) else {
                        continue;
                    };
                    let reply = claims.answer(&request, &cluster.view, NOW);
                    let view = request.view;
                    events.push(Event::ClaimReply { view, reply });
                }
                Action::Fence { agent, fence } => {
                    messages += 2;
                    let Some((ledger, _)) = cluster.agents.get_mut(&agent) else {
                        continue;
                    };
                    if let Ok(fenced) = ledger.fence(&fence, NOW) {
                        let report = fenced.report;
                        events.push(Event::Report { agent, report });
                    }
                }
                Action::Attach(_) => {
                    messages += 2;
                    events.push(Event::OwnerLost);
                }
                _ => {}
            }
        }
    }
    messages
}

fn take_over_costs(agents: usize) {
    let mut cluster = cluster(agents);
    let mut fresh = 0;
    let mut take_over = 0;
    let mut keeper_dead = 0;
    let mut times = Vec::new();
    for bits in 0..REPETITIONS as u64 {
        let job = Job::with_bits(NOW, bits);
        fresh = count_messages(&mut cluster, &mut owner(job, "entry-1"), Event::Submitted);
        let began = Instant::now();
        take_over = count_messages(&mut cluster, &mut owner(job, "entry-2"), Event::Submitted);
        times.push(began.elapsed());

        let job = Job::with_bits(NOW, 1_000 + bits);
        let mut without_keeper = owner(job, "entry-3");
        without_keeper.step(Event::Submitted, &cluster.views, NOW);
        let Some(keeper) = cluster.view.keeper(job).cloned() else {
            continue;
        };
        keeper_dead = 1 + count_messages(
            &mut cluster,
            &mut without_keeper,
            Event::AgentUnreachable(keeper),
        );
    }
    let time = median_and_range(times);
    println!(
        "{agents} agents: messages before the first start: fresh job {fresh}, take-over \
         {take_over}, keeper dead {keeper_dead}; decisions of a take-over at all processes {time}"
    );
}

fn scope_time(agents: usize) {
    const JOBS: u32 = 2_000;
    let cluster = cluster(agents);
    let run = || {
        let began = Instant::now();
        for bits in 0..u64::from(JOBS) {
            black_box(cluster.views.scope(Job::with_bits(NOW, bits), NOW));
        }
        began.elapsed() / JOBS
    };
    let time = median_and_range((0..REPETITIONS).map(|_| run()).collect());
    println!("{agents} agents: an entry's look-up of a job's keeper takes {time}");
}

fn start(job: Job, task: u16, entry: &Process) -> Start {
    Start {
        job,
        digest: 9,
        ballot: Ballot::new(Ballot::FRESH, entry.clone()),
        keeper: None,
        view: 1,
        task: Task(task),
        placement: 1,
        start_by: NOW.plus(LEASE),
    }
}

fn start_time() {
    const JOBS: u32 = 20_000;
    let entry = Process::new("entry-1", 1);
    let run = |guarded: bool| {
        let mut ledger = Ledger::new(
            Process::new("agent-1", 1),
            RetentionLimit::new(RETENTION, usize::MAX),
        );
        let began = Instant::now();
        for bits in 0..JOBS {
            let job = Job::with_bits(NOW, u64::from(bits));
            for task in 0..TASKS_PER_JOB {
                let mut start = start(job, task, &entry);
                start.ballot.round = if guarded {
                    Ballot::FRESH
                } else {
                    Ballot::UNCLAIMED
                };
                assert_eq!(ledger.start(&start, NOW), StartDecision::Run);
                ledger.begin(job, start.task);
                let outcome = Outcome::Done(vec![0; OUTCOME_BYTES]);
                black_box(ledger.end(job, start.task, outcome));
            }
        }
        began.elapsed() / (JOBS * u32::from(TASKS_PER_JOB))
    };
    let guarded = median_and_range((0..REPETITIONS).map(|_| run(true)).collect());
    let unguarded = median_and_range((0..REPETITIONS).map(|_| run(false)).collect());
    println!(
        "an agent's decisions per task (start, begin, end): guarded {guarded}, not {unguarded}"
    );
    let run = || {
        let view = View::new(1, [Process::new("agent-1", 1)]);
        let mut keeper = Keeper::new(
            view.members[0].clone(),
            RetentionLimit::new(RETENTION, usize::MAX),
        );
        let began = Instant::now();
        for bits in 0..JOBS {
            let ask = ask(Job::with_bits(NOW, u64::from(bits)));
            let answer = keeper.answer(&ask, &view, NOW);
            assert!(matches!(answer, ClaimReply::Granted(_)));
        }
        began.elapsed() / JOBS
    };
    let time = median_and_range((0..REPETITIONS).map(|_| run()).collect());
    println!("a keeper's decision per claim: {time}");
}

/// Compares the bytes that the ledger counts with the growth of the process.
fn ledger_memory() {
    const JOBS: u64 = 100_000;
    // Not dropped until the end, so that no ledger reuses the memory of the one before.
    let mut ledgers = Vec::new();
    for tasks in [1, TASKS_PER_JOB, 100] {
        let mut ledger = Ledger::new(
            Process::new("agent-1", 1),
            RetentionLimit::new(RETENTION, usize::MAX),
        );
        let before = resident_bytes();
        let jobs = JOBS / u64::from(tasks);
        for bits in 0..jobs {
            let job = Job::with_bits(NOW, bits);
            for task in 0..tasks {
                // Each decoded message allocates its own copy of the entry's name.
                let start = start(job, task, &Process::new("entry-1", 1));
                ledger.start(&start, NOW);
                ledger.begin(job, start.task);
                ledger.end(job, start.task, Outcome::Done(vec![0; OUTCOME_BYTES]));
            }
        }
        let all = jobs * u64::from(tasks);
        let counted = ledger.bytes() as u64 / all;
        let growth = resident_bytes().saturating_sub(before) / all;
        println!(
            "ledger, {tasks} tasks of a job at one agent, {OUTCOME_BYTES} bytes of answer each: \
             {counted} bytes per task counted, {growth} by the process's growth"
        );
        ledgers.push(ledger);
    }
}

/// Compares the bytes that the keeper counts with the growth of the process.
fn keeper_memory() -> Keeper {
    const JOBS: u64 = 100_000;
    let me = Process::new("agent-1", 1);
    let view = View::new(1, [me.clone()]);
    let mut keeper = Keeper::new(me, RetentionLimit::new(RETENTION, usize::MAX));
    let before = resident_bytes();
    for bits in 0..JOBS {
        keeper.answer(&ask(Job::with_bits(NOW, bits)), &view, NOW);
    }
    let counted = keeper.bytes() as u64 / JOBS;
    let growth = resident_bytes().saturating_sub(before) / JOBS;
    println!("keeper: {counted} bytes per claim counted, {growth} by the process's growth");
    keeper
}

fn ask(job: Job) -> ClaimRequest {
    ClaimRequest {
        job,
        digest: 9,
        purpose: Purpose::Claim,
        view: 1,
        sole_keeper: true,
        ballot: Ballot::new(Ballot::FRESH, Process::new("entry-1", 1)),
    }
}

/// Resident bytes of this process; 0 if the system does not report them.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE
}

fn median_and_range(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let median = times[times.len() / 2];
    let (min, max) = (times[0], times[times.len() - 1]);
    format!("{median:.1?} ({min:.1?} to {max:.1?})")
}
