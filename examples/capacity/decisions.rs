//! Measures single decisions without network: claims, starts, the choice of a keeper and
//! membership changes. The latter two are measured by the number of agents.

use cassiarock_claim::keeper::Keeper;
use cassiarock_claim::ledger::Ledger;
use cassiarock_claim::message::{ClaimRequest, Outcome, Purpose, Start};
use cassiarock_claim::view::View;
use cassiarock_claim::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Task, Wall};
use cassiarock_rule::record::Body;
use cassiarock_rule::{Member, Record, State};
use serde_json::{Value, json};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// The numbers of members at which decisions are measured.
const MEMBERS: [usize; 3] = [29, 290, 2900];

/// The number of claims or starts in one measurement.
const COUNT: u64 = 100_000;

pub fn measure() -> Value {
    let limit = RetentionLimit::new(Duration::from_secs(900), 1 << 30);
    let values = json!({
        "claim": claims(limit),
        "start": starts(limit),
        "keeper_choice_ns": MEMBERS.map(keeper_choice).to_vec(),
        "membership": MEMBERS.map(membership).to_vec(),
    });
    println!("decisions: {values:#}");
    values
}

fn claims(limit: RetentionLimit) -> Value {
    let own_process = Process::new("agent-0", 1);
    let view = View::new(1, [own_process.clone()]);
    let mut keeper = Keeper::new(own_process, limit);
    let now = Wall::from_millis(1_000_000);
    let ballot = Ballot::new(Ballot::FRESH, Process::new("entry-0", 1));
    let started_at = Instant::now();
    for bits in 0..COUNT {
        let request = ClaimRequest {
            job: Job::with_bits(now, bits),
            digest: bits,
            purpose: Purpose::Claim,
            view: 1,
            sole_keeper: true,
            ballot: ballot.clone().with_serial(bits),
        };
        black_box(keeper.answer(&request, &view, now));
    }
    json!({ "ns": nanos_per_operation(started_at), "bytes": keeper.bytes() as f64 / COUNT as f64 })
}

fn starts(limit: RetentionLimit) -> Value {
    let mut ledger = Ledger::new(Process::new("agent-0", 1), limit);
    ledger.set_view(1);
    let now = Wall::from_millis(1_000_000);
    let ballot = Ballot::new(Ballot::FRESH, Process::new("entry-0", 1));
    let started_at = Instant::now();
    for bits in 0..COUNT {
        let start = Start {
            job: Job::with_bits(now, bits),
            digest: bits,
            ballot: ballot.clone(),
            keeper: None,
            view: 1,
            task: Task(0),
            placement: 1,
            start_by: now,
        };
        black_box(ledger.start(&start, now));
        black_box(ledger.begin(start.job, start.task));
        let ended = ledger.end(start.job, start.task, Outcome::Done(Vec::new()));
        black_box(ended);
    }
    json!({ "ns": nanos_per_operation(started_at), "bytes": ledger.bytes() as f64 / COUNT as f64 })
}

fn keeper_choice(members: usize) -> f64 {
    let view = View::new(1, (0..members).map(agent));
    let jobs = COUNT / members as u64 * 10;
    let started_at = Instant::now();
    for bits in 0..jobs {
        black_box(view.keeper(Job::with_bits(Wall::from_millis(1), bits)));
    }
    started_at.elapsed().as_nanos() as f64 / jobs as f64
}

/// Measures the state with this many members: its size in a snapshot, and the time to apply
/// the last join.
fn membership(members: usize) -> Value {
    let mut state = State::default();
    let mut last_join = Duration::ZERO;
    for number in 0..members {
        let address = ([10, 0, (number >> 8) as u8, number as u8], 7001).into();
        let member = Member::new(agent(number), address).with_place(
            format!("dc-{}", number % 9),
            format!("rack-{}", number / 20),
        );
        let record = Record::new(Wall::default(), "agent", Body::Joined { member });
        let started_at = Instant::now();
        state.apply(number as u64, &record);
        last_join = started_at.elapsed();
    }
    let bytes = serde_json::to_vec(&state).map_or(0, |bytes| bytes.len());
    json!({ "members": members, "snapshot_bytes": bytes, "last_join_us": last_join.as_secs_f64() * 1e6 })
}

fn agent(number: usize) -> Process {
    Process::new(format!("agent-{number}"), 1)
}

fn nanos_per_operation(started_at: Instant) -> f64 {
    started_at.elapsed().as_nanos() as f64 / COUNT as f64
}
