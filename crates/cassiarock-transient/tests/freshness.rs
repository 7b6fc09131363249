//! How entries keep the operators' orders fresh, in a simulation of their reads and heartbeats.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::Process;
use cassiarock_transient::freshness::{Clocks, Freshness, Report};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// What operators allow for a change to be in force, once an entry has recovered.
const IN_FORCE: Duration = Duration::from_secs(2);

/// How long an entry has to recover from a disturbance.
const CONTACT: Duration = Duration::from_secs(3);

const STEP: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(100);
const ANSWER_TIME: Duration = Duration::from_millis(5);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time to fetch a copy of a newer configuration from another entry, once it is known to exist.
const COPY_TIME: Duration = Duration::from_millis(400);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Read {
    started_at: Duration,
    wait: Duration,
    draw: f64,
    is_lost: bool,
}

fn process(number: usize) -> Process {
    Process::new(format!("entry-{number}"), 1)
}

struct Entry {
    freshness: Freshness,
    clocks: Clocks,
    links: Vec<usize>,
    heartbeat_at: Duration,
    read_at: Duration,
    read: Option<Read>,
    /// Until when the entry's orders are complete in truth.
    complete_until: Duration,
}

/// A heartbeat on its way.
struct Heartbeat {
    from: usize,
    to: usize,
    arrives_at: Duration,
    report: Report,
    complete_until: Duration,
}

struct World {
    rng: StdRng,
    now: Duration,
    entries: Vec<Entry>,
    heartbeats: Vec<Heartbeat>,
    transit: Duration,
    reads: usize,
    is_store_down: bool,
}

impl World {
    fn new(seed: u64, entries: usize, transit: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut all: Vec<Entry> = (0..entries)
            .map(|_| Entry {
                freshness: Freshness::new(),
                clocks: Clocks::new(),
                links: Vec::new(),
                heartbeat_at: ms(rng.random_range(0..100)),
                read_at: ms(rng.random_range(0..300)),
                read: None,
                complete_until: Duration::ZERO,
            })
            .collect();
        for from in 0..entries {
            for _ in 0..3.min(entries - 1) {
                let to = (from + rng.random_range(1..entries)) % entries;
                all[from].links.push(to);
                all[to].links.push(from);
            }
        }
        Self {
            rng,
            now: Duration::ZERO,
            entries: all,
            heartbeats: Vec::new(),
            transit,
            reads: 0,
            is_store_down: false,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            for number in 0..self.entries.len() {
                self.read(number);
                self.send_heartbeats(number);
            }
        }
    }

    /// Loses all reads that wait for a record now.
    fn lose_reads(&mut self) {
        let reads = self
            .entries
            .iter_mut()
            .filter_map(|entry| entry.read.as_mut());
        reads.for_each(|read| read.is_lost = true);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let entries = &mut self.entries;
        self.heartbeats.retain(|heartbeat| {
            let is_due = heartbeat.arrives_at <= now;
            if is_due {
                let entry = &mut entries[heartbeat.to];
                let from = process(heartbeat.from);
                entry.clocks.record(&from, heartbeat.report.clock_ms, now);
                entry.freshness.record_report(heartbeat.report, now);
                entry.complete_until = entry.complete_until.max(heartbeat.complete_until);
            }
            !is_due
        });
    }

    fn read(&mut self, number: usize) {
        let (now, draw) = (self.now, self.rng.random::<f64>());
        let entry = &mut self.entries[number];
        let Some(read) = &entry.read else {
            if now >= entry.read_at {
                self.reads += 1;
                entry.read = Some(Read {
                    started_at: now,
                    wait: entry.freshness.read_wait(draw),
                    draw: self.rng.random(),
                    is_lost: self.is_store_down,
                });
            }
            return;
        };
        let is_overdue = entry
            .freshness
            .overdue_at(read.draw)
            .is_some_and(|at| at <= now);
        let is_answered = !read.is_lost && now >= read.started_at + read.wait + ANSWER_TIME;
        let is_failed = now >= read.started_at + read.wait + ANSWER_TIMEOUT;
        if is_answered {
            entry.freshness.record_answer(now);
            entry.complete_until = now;
        } else if is_overdue || is_failed {
            entry.freshness.record_failure();
            entry.read_at = now
                + if is_failed {
                    RETRY_PAUSE
                } else {
                    Duration::ZERO
                };
        } else {
            return;
        }
        entry.read = None;
    }

    fn send_heartbeats(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        if now < entry.heartbeat_at {
            return;
        }
        entry.heartbeat_at += HEARTBEAT;
        let Some(report) = entry.freshness.report(now) else {
            return;
        };
        for to in &entry.links {
            let jitter = self.transit.mul_f64(self.rng.random());
            self.heartbeats.push(Heartbeat {
                from: number,
                to: *to,
                arrives_at: now + self.transit / 2 + jitter,
                report: entry.clocks.stamp(report, &process(*to), now),
                complete_until: entry.complete_until,
            });
        }
    }

    /// The most by which any entry takes its orders for fresher than they are.
    fn understated(&self) -> Duration {
        let now = self.now;
        let entries = self.entries.iter();
        let understated = entries.map(|entry| {
            let age = entry.freshness.age(now).unwrap();
            (now - entry.complete_until).saturating_sub(age)
        });
        understated.max().unwrap()
    }

    /// The most that any entry's orders are behind.
    fn behind(&self) -> Duration {
        let entries = self.entries.iter();
        entries
            .map(|entry| self.now - entry.complete_until)
            .max()
            .unwrap()
    }
}

#[test]
fn all_entries_know_their_orders_to_be_complete_after_all_waiting_reads_were_lost() {
    for seed in 0..60 {
        for entries in [1, 2, 3, 12, 60] {
            let mut world = World::new(seed, entries, ms(4));
            let before = world.rng.random_range(2_000..12_000);
            world.run(ms(before));
            world.lose_reads();
            world.run(CONTACT - COPY_TIME);
            assert!(
                world.behind() < IN_FORCE,
                "seed {seed}, {entries}: {:?}",
                world.behind()
            );
        }
    }
}

#[test]
fn orders_stay_fresh_without_a_disturbance() {
    for seed in 0..20 {
        for entries in [1, 3, 12, 60] {
            let mut world = World::new(seed, entries, ms(4));
            world.run(ms(3_000));
            for _ in 0..200 {
                world.run(ms(100));
                assert!(
                    world.behind() < IN_FORCE,
                    "seed {seed}, {entries}: {:?}",
                    world.behind()
                );
            }
        }
    }
}

// The platform charges each read, and without limits the reads grow with the number of entries.
#[test]
fn the_reads_of_all_entries_together_do_not_grow_with_their_number() {
    for entries in [1, 3, 12, 60] {
        let mut world = World::new(7, entries, ms(4));
        world.run(ms(20_000));
        let before = world.reads;
        world.run(ms(100_000));
        let a_second = (world.reads - before) as f64 / 100.0;
        let waiting = entries as f64 / 20.0;
        assert!(a_second < 3.0 + waiting, "{entries}: {a_second}");
    }
}

// Entries told each other in circles that the store had answered not long ago, while heartbeats took
// longer than their interval and no entry reached the store.
#[test]
fn a_proof_that_is_reported_in_circles_gets_old() {
    let mut world = World::new(3, 12, ms(150));
    world.run(ms(5_000));
    world.is_store_down = true;
    world.lose_reads();
    world.run(ms(10_000));
    let now = world.now;
    let ages = world
        .entries
        .iter()
        .map(|entry| entry.freshness.age(now).unwrap());
    assert!(ages.min().unwrap() > ms(5_000));
}

// Starved entries and full queues hold heartbeats up, but not so long that the link is replaced.
#[test]
fn no_entry_takes_its_orders_for_fresher_than_they_are() {
    for seed in 0..20 {
        for (entries, transit) in [(3, 4), (3, 200), (12, 4), (12, 150), (60, 100)] {
            let mut world = World::new(seed, entries, ms(transit));
            world.run(ms(4_000));
            for step in 0..60 {
                if step == 20 {
                    world.lose_reads();
                }
                world.run(ms(50));
                let understated = world.understated();
                assert!(
                    understated <= ANSWER_TIME + STEP,
                    "seed {seed}, {entries}, {transit} ms: {understated:?}"
                );
            }
        }
    }
}
