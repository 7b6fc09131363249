//! Bytes, memory and processor time of a state.

use crate::sample;
use cassiarock_rule::check::MAX_RULES;
use cassiarock_rule::membership::MAX_DEPARTURES;
use cassiarock_rule::{Record, Request, RuleSet};
use std::error::Error;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

const COPIES: usize = 16;
const PAGE: usize = 4096;

/// A table over the number of agents.
pub fn report() -> Result<(), Box<dyn Error>> {
    println!("agents  snapshot_bytes  memory_bytes  decode_us  change_us  join_us");
    for agents in [11, 44, 176, 704, sample::AGENTS] {
        let state = sample::state(agents);
        let bytes = sample::snapshot(&state)?;
        let (memory, decode) = decoded(&bytes)?;
        let (change, join) = applied(agents);
        println!(
            "{agents:>6}  {:>14}  {memory:>12}  {:>9.1}  {:>9.2}  {:>7.2}",
            bytes.len(),
            micros(decode),
            micros(change),
            micros(join),
        );
    }
    Ok(())
}

/// The largest state that the bounds allow at the full size.
pub fn largest() -> Result<(), Box<dyn Error>> {
    let mut state = sample::state(sample::AGENTS);
    let rules = u32::try_from(MAX_RULES)?;
    for index in 0..rules {
        let change = sample::change(&state, index);
        state.apply(state.next, &change);
    }
    for index in 0..u32::try_from(MAX_DEPARTURES)? {
        state.apply(state.next, &sample::left(index, 0));
        state.apply(state.next, &sample::join(index, 1));
    }
    let bytes = sample::snapshot(&state)?.len();
    println!("\nsnapshot with {rules} rules and {MAX_DEPARTURES} departures: {bytes} bytes");
    let set = serde_json::to_vec(&sample::state(0).rules)?.len();
    println!("a set of 200 rules: {set} bytes");
    Ok(())
}

/// Resident bytes and time for a state read from a snapshot.
fn decoded(bytes: &[u8]) -> Result<(usize, Duration), Box<dyn Error>> {
    let before = resident()?;
    let start = Instant::now();
    let copies = (0..COPIES).map(|_| Record::decode(bytes));
    let copies = copies.collect::<Result<Vec<_>, _>>()?;
    let time = start.elapsed() / u32::try_from(COPIES)?;
    let memory = resident()?.saturating_sub(before) / COPIES;
    drop(copies);
    Ok((memory, time))
}

/// Time to fold in a change and a join while a reader still holds the state before, so that
/// the part that changes is copied.
fn applied(agents: u32) -> (Duration, Duration) {
    const ROUNDS: u32 = 200;
    let mut state = sample::state(agents);
    let (mut change, mut join) = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        let record = sample::change(&state, round);
        let held = state.clone();
        let start = Instant::now();
        black_box(state.apply(state.next, &record));
        change += start.elapsed();
        drop(held);
        let record = sample::join(round % agents, u64::from(round) + 1);
        let held = state.clone();
        let start = Instant::now();
        black_box(state.apply(state.next, &record));
        join += start.elapsed();
        drop(held);
    }
    (change / ROUNDS, join / ROUNDS)
}

/// Time to decide by the last of so many rules.
pub fn rules() {
    const ROUNDS: u32 = 2_000;
    println!("\nrules  decide_us");
    for count in [1, 64, 256, 1_024] {
        let set = Arc::new(RuleSet::new((0..count).map(sample::rule).collect()));
        let last = count - 1;
        let request =
            Request::new(format!("kind-{last}")).with_team(format!("team-{}", last % 180));
        let start = Instant::now();
        for _ in 0..ROUNDS {
            black_box(set.decide(black_box(&request)));
        }
        println!("{count:>5}  {:>9.2}", micros(start.elapsed() / ROUNDS));
    }
}

/// The process's resident bytes.
fn resident() -> Result<usize, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("no resident pages")?;
    Ok(pages.parse::<usize>()? * PAGE)
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
