//! Load over the capacity.

use crate::world::{World, ms};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;

/// What callers got of a load.
#[derive(Debug, Default)]
struct Tally {
    asked: usize,
    on_time: usize,
    late: usize,
    refused: usize,
    other: usize,
    /// The longest time until a refusal, in ms.
    slowest_refusal: u128,
}

/// Plays jobs of two tasks of 200 ms that come at `percent` of the capacity for `seconds`:
/// four upstreams have room for 40 tasks, which is 100 jobs a second.
fn play(percent: u64, seconds: u64) -> Tally {
    let mut world = World::new(4);
    let mut tally = Tally::default();
    let mut began = std::collections::BTreeMap::new();
    let mut owed = 0;
    for _ in 0..seconds * 100 + 400 {
        world.now += ms(10);
        if world.now < ms(1_000 + seconds * 1_000) {
            owed += percent;
        }
        while owed >= 100 {
            owed -= 100;
            tally.asked += 1;
            let number = tally.asked as u64;
            began.insert(number, world.now);
            world.submit(number, 2, 200, 2_500);
        }
        let done = world.placed.iter();
        let done: Vec<_> = done
            .filter(|task| world.now >= task.at + ms(200))
            .map(|task| task.attempt)
            .collect();
        for attempt in done {
            world.end(attempt, Outcome::Done);
        }
        world.beat();
        world.poll();
    }
    let objective = ms(200 * 16 / 10 + 60);
    for (number, (answer, at)) in &world.answers {
        let took = *at - began[number];
        match answer {
            Answer::Completed if took <= objective => tally.on_time += 1,
            Answer::Completed => tally.late += 1,
            Answer::Refused { .. } => {
                tally.refused += 1;
                tally.slowest_refusal = tally.slowest_refusal.max(took.as_millis());
            }
            _ => tally.other += 1,
        }
    }
    assert_eq!(world.scheduler.job_count(), 0, "every caller is answered");
    tally
}

#[test]
fn at_nine_tenths_of_the_capacity_every_job_is_on_time() {
    let tally = play(90, 5);
    assert_eq!(tally.on_time, tally.asked, "{tally:?}");
}

// In a burst the queue was worked off by latest start. Jobs that were late already went
// before those that could still be on time, so after a second every job was late, and stayed
// so until the burst was over: of 300 jobs a second 5 were on time. Here, a quarter more work
// than room must leave at least seven tenths on time; eight tenths is all there is room for.
#[test]
fn in_a_lasting_burst_most_jobs_are_on_time_and_the_rest_is_refused_early() {
    let tally = play(125, 8);
    assert!(tally.on_time * 10 >= tally.asked * 7, "{tally:?}");
    assert!(tally.late * 20 <= tally.asked, "{tally:?}");
    assert_eq!(tally.other, 0, "{tally:?}");
    assert!(tally.slowest_refusal <= 200, "{tally:?}");
}

#[test]
fn at_twice_the_capacity_the_room_is_still_used_for_jobs_on_time() {
    let tally = play(200, 5);
    assert!(tally.on_time * 10 >= tally.asked * 4, "{tally:?}");
}
