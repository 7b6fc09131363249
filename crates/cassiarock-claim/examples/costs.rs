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
const KEPT: Duration = Duration::from_secs(600);
/// Tasks of a job in the memory and time measurements, and bytes of an outcome.
const TASKS: u16 = 10;
const ANSWER: usize = 100;
/// Repeats of each time measurement; the median and the spread are printed.
const REPEATS: usize = 7;

fn main() {
    // Kept, so that the ledgers do not grow into its memory.
    let _keeper = claim_memory();
    memory();
    for agents in [11, 44, 176] {
        take_over(agents);
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
    let named = |n| Process::new(format!("agent-{n}"), 1);
    let view = View::new(1, (0..agents).map(named));
    let timing = Timing::new(LEASE, Duration::ZERO, KEPT);
    let mut views = ViewHistory::new(timing, NOW);
    views.adopt(view.clone());
    let limit = RetentionLimit::new(KEPT, usize::MAX);
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
    Owner::new(job, 9, TASKS, ballot)
}

/// Messages in both directions until tasks may be placed.
fn drive(cluster: &mut Cluster, owner: &mut Owner, first: Event) -> usize {
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

fn take_over(agents: usize) {
    let mut cluster = cluster(agents);
    let mut fresh = 0;
    let mut taken = 0;
    let mut lost = 0;
    let mut times = Vec::new();
    for bits in 0..REPEATS as u64 {
        let job = Job::with_bits(NOW, bits);
        fresh = drive(&mut cluster, &mut owner(job, "entry-1"), Event::Submitted);
        let began = Instant::now();
        taken = drive(&mut cluster, &mut owner(job, "entry-2"), Event::Submitted);
        times.push(began.elapsed());

        let job = Job::with_bits(NOW, 1_000 + bits);
        let mut alone = owner(job, "entry-3");
        alone.step(Event::Submitted, &cluster.views, NOW);
        let Some(keeper) = cluster.view.keeper(job).cloned() else {
            continue;
        };
        lost = 1 + drive(&mut cluster, &mut alone, Event::AgentUnreachable(keeper));
    }
    let time = spread(times);
    println!(
        "{agents} agents: messages before the first start: fresh job {fresh}, take-over \
         {taken}, keeper dead {lost}; decisions of a take-over at all processes {time}"
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
    let time = spread((0..REPEATS).map(|_| run()).collect());
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
            RetentionLimit::new(KEPT, usize::MAX),
        );
        let began = Instant::now();
        for bits in 0..JOBS {
            let job = Job::with_bits(NOW, u64::from(bits));
            for task in 0..TASKS {
                let mut start = start(job, task, &entry);
                start.ballot.round = if guarded {
                    Ballot::FRESH
                } else {
                    Ballot::UNCLAIMED
                };
                assert_eq!(ledger.start(&start, NOW), StartDecision::Run);
                ledger.begin(job, start.task);
                let outcome = Outcome::Done(vec![0; ANSWER]);
                black_box(ledger.end(job, start.task, outcome));
            }
        }
        began.elapsed() / (JOBS * u32::from(TASKS))
    };
    let guarded = spread((0..REPEATS).map(|_| run(true)).collect());
    let free = spread((0..REPEATS).map(|_| run(false)).collect());
    println!("an agent's decisions per task (start, begin, end): guarded {guarded}, not {free}");
    let run = || {
        let view = View::new(1, [Process::new("agent-1", 1)]);
        let mut keeper = Keeper::new(
            view.members[0].clone(),
            RetentionLimit::new(KEPT, usize::MAX),
        );
        let began = Instant::now();
        for bits in 0..JOBS {
            let ask = ask(Job::with_bits(NOW, u64::from(bits)));
            let answer = keeper.answer(&ask, &view, NOW);
            assert!(matches!(answer, ClaimReply::Granted(_)));
        }
        began.elapsed() / JOBS
    };
    let time = spread((0..REPEATS).map(|_| run()).collect());
    println!("a keeper's decision per claim: {time}");
}

/// The ledger's own count against the growth of the process.
fn memory() {
    const JOBS: u64 = 100_000;
    // Kept to the end, so that no ledger grows into the memory of the one before.
    let mut kept = Vec::new();
    for tasks in [1, TASKS, 100] {
        let mut ledger = Ledger::new(
            Process::new("agent-1", 1),
            RetentionLimit::new(KEPT, usize::MAX),
        );
        let before = resident();
        let jobs = JOBS / u64::from(tasks);
        for bits in 0..jobs {
            let job = Job::with_bits(NOW, bits);
            for task in 0..tasks {
                // A decoded message brings its own copy of the entry's name.
                let start = start(job, task, &Process::new("entry-1", 1));
                ledger.start(&start, NOW);
                ledger.begin(job, start.task);
                ledger.end(job, start.task, Outcome::Done(vec![0; ANSWER]));
            }
        }
        let all = jobs * u64::from(tasks);
        let counted = ledger.bytes() as u64 / all;
        let grown = resident().saturating_sub(before) / all;
        println!(
            "ledger, {tasks} tasks of a job at one agent, {ANSWER} bytes of answer each: \
             {counted} bytes per task counted, {grown} by the process's growth"
        );
        kept.push(ledger);
    }
}

fn claim_memory() -> Keeper {
    const JOBS: u64 = 100_000;
    let me = Process::new("agent-1", 1);
    let view = View::new(1, [me.clone()]);
    let mut keeper = Keeper::new(me, RetentionLimit::new(KEPT, usize::MAX));
    let before = resident();
    for bits in 0..JOBS {
        keeper.answer(&ask(Job::with_bits(NOW, bits)), &view, NOW);
    }
    let counted = keeper.bytes() as u64 / JOBS;
    let grown = resident().saturating_sub(before) / JOBS;
    println!("keeper: {counted} bytes per claim counted, {grown} by the process's growth");
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

/// Resident bytes of this process; 0 where the system does not say.
fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE
}

fn spread(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let median = times[times.len() / 2];
    let (least, most) = (times[0], times[times.len() - 1]);
    format!("{median:.1?} ({least:.1?} to {most:.1?})")
}
