//! What the log gets when it returns after an outage and many agents announce themselves.

use crate::sample;
use cassiarock_platform::{Follower, Log, publish};
use cassiarock_test_support::log::{Handle, Stand};
use std::error::Error;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const AGENTS: u32 = 1_000;
const OUTAGE: Duration = Duration::from_secs(5);
const SAMPLE: Duration = Duration::from_millis(100);
const SAMPLES_PER_SECOND: usize = 10;
const PATIENCE: Duration = Duration::from_secs(60);

/// The agents of a data centre start while the log is down, and announce themselves when it
/// is back.
pub async fn report() -> Result<(), Box<dyn Error>> {
    let stand = Stand::start().await?;
    for index in 0..AGENTS {
        stand.append(sample::join(index, 0).encode()?);
    }
    stand.with_fault(|fault| fault.down = true);
    let mut agents = JoinSet::new();
    for index in 0..AGENTS {
        agents.spawn(announce(Log::new(stand.url())?, index));
    }
    tokio::time::sleep(OUTAGE).await;
    let (first, reads) = (stand.appends(), stand.reads());
    stand.with_fault(|fault| fault.down = false);
    let start = Instant::now();
    let watch = tokio::spawn(watch(Handle::clone(&stand), first, reads));
    while agents.join_next().await.is_some() {}
    let time = start.elapsed();
    let (appends, reads) = watch.await?;
    println!(
        "\n{AGENTS} agents return: all announced after {:.1} s,",
        time.as_secs_f64()
    );
    println!("at most {appends} appends and {reads} reads in a second");
    Ok(())
}

async fn announce(log: Log, index: u32) {
    let follower = Follower::start(log.clone());
    let mut status = follower.subscribe();
    let Some(known) = publish::wait_for_turn(&mut status, rand::random()).await else {
        return;
    };
    let joined = publish::append(&log, &sample::join(index, 1), known.next(), PATIENCE).await;
    if let Err(error) = joined {
        eprintln!("agent {index}: {error}");
    }
}

/// The most appends and reads in one second until all have announced themselves.
async fn watch(stand: Handle, first: u64, reads: u64) -> (u64, u64) {
    let mut counts = vec![(first, reads)];
    while stand.appends() < first + u64::from(AGENTS) {
        tokio::time::sleep(SAMPLE).await;
        counts.push((stand.appends(), stand.reads()));
    }
    let last = counts.last().copied().unwrap_or_default();
    let later = |index: usize| {
        counts
            .get(index + SAMPLES_PER_SECOND)
            .copied()
            .unwrap_or(last)
    };
    let steps = counts.iter().enumerate();
    steps.fold((0, 0), |(appends, reads), (index, count)| {
        let after = later(index);
        (appends.max(after.0 - count.0), reads.max(after.1 - count.1))
    })
}
