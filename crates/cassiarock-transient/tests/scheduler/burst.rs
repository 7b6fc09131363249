//! Load near and above the capacity.

use crate::harness::{Harness, ms};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;

/// The outcomes of a load.
#[derive(Debug, Default)]
struct Tally {
    submitted: usize,
    on_time: usize,
    late: usize,
    refused: usize,
    other: usize,
    /// The longest time until a refusal, in ms.
    slowest_refusal_ms: u128,
}

/// Submits jobs of two tasks of 200 ms at `percent` of the capacity for `seconds`. Four upstreams
/// have room for 40 tasks, which is 100 jobs a second.
fn run_load(percent: u64, seconds: u64) -> Tally {
    let mut harness = Harness::new(4);
    let mut tally = Tally::default();
    let mut submitted_at = std::collections::BTreeMap::new();
    let mut credit = 0;
    for _ in 0..seconds * 100 + 400 {
        harness.now += ms(10);
        if harness.now < ms(1_000 + seconds * 1_000) {
            credit += percent;
        }
        while credit >= 100 {
            credit -= 100;
            tally.submitted += 1;
            let number = tally.submitted as u64;
            submitted_at.insert(number, harness.now);
            harness.submit(number, 2, 200, 2_500);
        }
        let done = harness.placed.iter();
        let done: Vec<_> = done
            .filter(|task| harness.now >= task.at + ms(200))
            .map(|task| task.attempt)
            .collect();
        for attempt in done {
            harness.end(attempt, Outcome::Done);
        }
        harness.heartbeat_all();
        harness.poll();
    }
    let objective = ms(200 * 16 / 10 + 60);
    for (number, (answer, at)) in &harness.answers {
        let took = *at - submitted_at[number];
        match answer {
            Answer::Completed if took <= objective => tally.on_time += 1,
            Answer::Completed => tally.late += 1,
            Answer::Refused { .. } => {
                tally.refused += 1;
                tally.slowest_refusal_ms = tally.slowest_refusal_ms.max(took.as_millis());
            }
            _ => tally.other += 1,
        }
    }
    assert_eq!(harness.scheduler.job_count(), 0, "every caller is answered");
    tally
}

#[test]
fn at_nine_tenths_of_the_capacity_every_job_is_on_time() {
    let tally = run_load(90, 5);
    assert_eq!(tally.on_time, tally.submitted, "{tally:?}");
}

// When the queue was ordered by latest start alone, jobs that were already late went before those
// that could still be on time. After a second of a burst every job was late, and stayed so until
// the burst was over: of 300 jobs a second 5 were on time. Here, with a quarter more work than
// room, at least seven tenths must be on time; there is room for eight tenths.
#[test]
fn in_a_lasting_burst_most_jobs_are_on_time_and_the_rest_is_refused_early() {
    let tally = run_load(125, 8);
    assert!(tally.on_time * 10 >= tally.submitted * 7, "{tally:?}");
    assert!(tally.late * 20 <= tally.submitted, "{tally:?}");
    assert_eq!(tally.other, 0, "{tally:?}");
    assert!(tally.slowest_refusal_ms <= 200, "{tally:?}");
}

#[test]
fn at_twice_the_capacity_the_room_is_still_used_for_jobs_on_time() {
    let tally = run_load(200, 5);
    assert!(tally.on_time * 10 >= tally.submitted * 4, "{tally:?}");
}
