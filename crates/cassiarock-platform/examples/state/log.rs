//! What goes over the log.

use crate::sample;
use cassiarock_platform::{Follower, Log, Reader};
use cassiarock_rule::{Record, State};
use cassiarock_test_support::log::Stand;
use std::error::Error;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 5;
/// Records of an ordinary day: operators' changes, and for each of 210 replaced and 23 failed
/// VMs that one agent leaves and one joins.
const CHANGES: u32 = 3_600;
const DEPARTURES: u32 = 233;

/// Starts from a log of three days at the full size, with and without a snapshot near its end.
pub async fn starts() -> Result<(), Box<dyn Error>> {
    let stand = Stand::start().await?;
    let mut state = State::default();
    for index in 0..sample::AGENTS {
        put(&stand, &mut state, &sample::join(index, 0))?;
    }
    for day in 1..=3 {
        for index in 0..CHANGES {
            let change = sample::change(&state, index % 200);
            put(&stand, &mut state, &change)?;
        }
        for index in 0..DEPARTURES {
            put(&stand, &mut state, &sample::left(index, day - 1))?;
            put(&stand, &mut state, &sample::join(index, day))?;
        }
    }
    println!(
        "\nstart from {} records  ms (median, min, max of {ROUNDS})  bytes",
        stand.end()
    );
    let without = start(&stand, "without snapshot").await?;
    stand.append(sample::snapshot(&state)?);
    let with = start(&stand, "with snapshot").await?;
    println!(
        "ratio of medians {:.1}",
        without.as_secs_f64() / with.as_secs_f64()
    );
    Ok(())
}

async fn start(stand: &Stand, name: &str) -> Result<Duration, Box<dyn Error>> {
    let mut times = Vec::new();
    let before = stand.bytes_read();
    for _ in 0..ROUNDS {
        let start = Instant::now();
        Reader::new(Log::new(stand.url())?).catch_up().await?;
        times.push(start.elapsed());
    }
    let bytes = (stand.bytes_read() - before) / u64::from(ROUNDS);
    times.sort();
    let [first, .., last] = times[..] else {
        return Err("too few rounds".into());
    };
    let median = times[times.len() / 2];
    println!(
        "{name:>20}  {:.1} {:.1} {:.1}  {bytes}",
        ms(median),
        ms(first),
        ms(last)
    );
    Ok(median)
}

/// Records and bytes of an ordinary day, as each process reads them.
pub fn day() -> Result<(), Box<dyn Error>> {
    let state = sample::state(sample::AGENTS);
    let snapshot = sample::snapshot(&state)?.len();
    let change = sample::change(&state, 7).encode()?.len();
    let join = sample::join(7, 1).encode()?.len();
    let left = sample::left(7, 1).encode()?.len();
    let moved = CHANGES + 2 * DEPARTURES;
    let snapshots = moved.div_ceil(1024).max(4);
    let bytes = usize::try_from(CHANGES)? * change
        + usize::try_from(DEPARTURES)? * (join + left)
        + usize::try_from(snapshots)? * snapshot;
    println!("\nbytes of a change {change}, join {join}, left {left}, snapshot {snapshot}");
    println!("a day: {moved} records and {snapshots} snapshots, {bytes} bytes,");
    println!(
        "{:.1} bytes/s read by each process;",
        bytes as f64 / 86_400.0
    );
    let own = f64::from(2 * DEPARTURES + snapshots) / f64::from(sample::AGENTS);
    println!(
        "{own:.2} appends by each agent a day; {:.3} appends/s in all",
        f64::from(moved + snapshots) / 86_400.0
    );
    Ok(())
}

/// From the append of a change until the last of many followers has it.
pub async fn spread_of_a_change() -> Result<(), Box<dyn Error>> {
    println!("\nfollowers  ms until the last has a change (median, max of 50)  append ms (median)");
    for count in [1, 10, 100] {
        let stand = Stand::start().await?;
        let log = Log::new(stand.url())?;
        let followers: Vec<_> = (0..count).map(|_| Follower::start(log.clone())).collect();
        for follower in &followers {
            follower
                .subscribe()
                .wait_for(|status| status.current)
                .await?;
        }
        let (mut all, mut appends) = (Vec::new(), Vec::new());
        let mut state = State::default();
        for index in 0..50 {
            let change = sample::change(&state, index);
            state.apply(state.next, &change);
            let start = Instant::now();
            log.append(change.encode()?).await?;
            appends.push(start.elapsed());
            for follower in &followers {
                follower
                    .subscribe()
                    .wait_for(|status| status.next() == state.next)
                    .await?;
            }
            all.push(start.elapsed());
        }
        all.sort();
        appends.sort();
        let last = all.last().copied().unwrap_or_default();
        println!(
            "{count:>9}  {:.2} {:.2}  {:.2}",
            ms(all[25]),
            ms(last),
            ms(appends[25])
        );
    }
    Ok(())
}

fn put(stand: &Stand, state: &mut State, record: &Record) -> Result<(), Box<dyn Error>> {
    stand.append(record.encode()?);
    state.apply(state.next, record);
    Ok(())
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
