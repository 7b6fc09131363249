//! Randomized soaks of changes of the configuration: entries whose store, links or process fail are
//! asked for the routes that were just added, or also for those that were dropped or moved to
//! another service. `CONFIGURATION_SOAK=first..last` and `ROUTE_SOAK=first..last` play other seeds,
//! `CONFIGURATION_SOAK_ENTRIES=n` with more entries.

use crate::configuration::has_version;
use crate::configuration_record::{Answer, Question, Record, Routes, Service, Version};
use crate::site::{Site, body};
use cassiarock_test_support::proxy::{Direction, Fault, Scope};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::StatusCode;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Seeds of a run in CI. Those that ever failed are added to `FOUND`.
const SHORT: Range<u64> = 1..4;

/// Seeds that showed a fault, each with its cause.
const FOUND: [u64; 3] = [
    // The waiting reads of all entries were lost at once, and given up 23 s later.
    11, 17, 44,
];

const ROUTES_FOUND: [u64; 1] = [
    // A store that was back was not asked again while an attempt of 4 s was unanswered.
    8,
];

const ENTRIES: usize = 3;

/// Agents of a run that submits jobs.
const AGENTS: usize = 2;

/// How long disturbances come, and how long changes go on after them.
const TROUBLE: Duration = Duration::from_secs(8);
const LONG_TROUBLE: Duration = Duration::from_secs(14);
const CALM: Duration = Duration::from_secs(5);

const START: Duration = Duration::from_secs(20);

/// The pause between two questions to an entry.
const PAUSE: Duration = Duration::from_millis(40);

/// How long a leaving process is given before it is killed and started again, a second beyond its
/// grace period.
const LEAVE: Duration = Duration::from_secs(7);

/// A starved process runs for so long, then stands still for so long.
const RUN: Duration = Duration::from_millis(30);
const STALL: Duration = Duration::from_millis(70);

/// What the operators change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Changes {
    /// Each version adds a route.
    Added,
    /// Versions add, drop and move routes. Outages last longer, and processes are also stopped,
    /// starved or told to reload.
    All,
}

type Shared = Arc<Mutex<Record>>;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configurations_are_in_force_in_time_under_random_faults() {
    let seeds = seeds("CONFIGURATION_SOAK", &FOUND);
    for seed in seeds {
        play(seed, entries(), Changes::Added).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_and_moved_routes_are_in_force_in_time_under_random_faults() {
    for seed in seeds("ROUTE_SOAK", &ROUTES_FOUND) {
        play(seed, entries(), Changes::All).await;
    }
}

/// The seeds in the environment variable `name`, or else those `found` and the short ones.
fn seeds(name: &str, found: &[u64]) -> Vec<u64> {
    let range: Option<Range<u64>> = std::env::var(name).ok().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..last.parse().ok()?)
    });
    match range {
        Some(range) => range.collect(),
        None => found.iter().copied().chain(SHORT).collect(),
    }
}

fn entries() -> usize {
    let entries = std::env::var("CONFIGURATION_SOAK_ENTRIES").ok();
    let entries = entries.and_then(|text| text.parse().ok());
    entries.unwrap_or(ENTRIES)
}

async fn play(seed: u64, entries: usize, changes: Changes) {
    let mut site = match changes {
        Changes::Added => Site::start_entries(entries).await,
        Changes::All => Site::start_entries_and_agents(entries, AGENTS).await,
    };
    for entry in &site.entries {
        has_version(entry, 1, START).await;
    }
    let record = Shared::default();
    let now = Instant::now();
    let routes = Routes::from([(0, Service::Tasks)]);
    record.lock().unwrap().versions.push(Version {
        sent: now,
        acked: now,
        routes: routes.clone(),
    });
    let trouble = match changes {
        Changes::Added => TROUBLE,
        Changes::All => LONG_TROUBLE,
    };
    let until = Instant::now() + trouble + CALM;
    let callers: Vec<_> = (0..entries)
        .map(|entry| {
            let caller = Caller {
                rng: StdRng::seed_from_u64(seed * 1_000 + entry as u64),
                entry,
                base: site.entries[entry].job(""),
                changes,
                record: record.clone(),
                jobs: 0,
            };
            tokio::spawn(caller.run(until))
        })
        .collect();
    let mut world = World {
        rng: StdRng::seed_from_u64(seed),
        site: &mut site,
        changes,
        record: record.clone(),
        added: 1,
        routes,
        heals: Vec::new(),
        starved: Vec::new(),
    };
    world.run(until - CALM, true).await;
    world.heal_all();
    world.run(until, false).await;
    for caller in callers {
        caller.await.unwrap();
    }
    let record = record.lock().unwrap();
    check(seed, &site, &record);
    if changes == Changes::All {
        let has_run = |answer: &Answer| {
            matches!(answer.question, Question::Job(_)) && answer.status == StatusCode::OK
        };
        assert!(
            record.answers.iter().any(has_run),
            "seed {seed}: no job ran"
        );
    }
}

/// Asks one entry which configuration it has in force, over a connection that stays open.
struct Caller {
    rng: StdRng,
    entry: usize,
    base: String,
    changes: Changes,
    record: Shared,
    jobs: usize,
}

impl Caller {
    async fn run(mut self, until: Instant) {
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        while Instant::now() < until {
            let question = self.question();
            let request = self.request(&client, question);
            let sent = Instant::now();
            if let Ok(response) = request.timeout(Duration::from_secs(5)).send().await {
                self.record.lock().unwrap().answers.push(Answer {
                    entry: self.entry,
                    question,
                    sent,
                    received: Instant::now(),
                    status: response.status(),
                });
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Asks mostly for the route that was changed last.
    fn question(&mut self) -> Question {
        let record = self.record.lock().unwrap();
        let versions = &record.versions;
        let routes = versions.iter().map(|version| version.routes.keys().last());
        let newest = routes.flatten().max().copied().unwrap_or(0);
        if self.changes == Changes::Added {
            return Question::Count(if self.rng.random_bool(0.8) {
                newest
            } else {
                self.rng.random_range(0..=newest)
            });
        }
        let changed = match &versions[..] {
            [.., before, last] => difference(&before.routes, &last.routes),
            _ => Vec::new(),
        };
        let route = if !changed.is_empty() && self.rng.random_bool(0.7) {
            changed[self.rng.random_range(0..changed.len())]
        } else {
            self.rng.random_range(0..=newest)
        };
        if self.rng.random_bool(0.3) {
            Question::Job(route)
        } else {
            Question::Count(route)
        }
    }

    fn request(&mut self, client: &reqwest::Client, question: Question) -> reqwest::RequestBuilder {
        let (Question::Count(route) | Question::Job(route)) = question;
        let url = if route == 0 {
            self.base.clone()
        } else {
            self.base.replace("/q/", &format!("/q-{route}/"))
        };
        let request = match question {
            Question::Count(_) => client.get(url),
            Question::Job(_) => {
                self.jobs += 1;
                let id = self.entry << 32 | self.jobs;
                let job = client.post(format!("{url}{id:016x}"));
                job.json(&body(1, 20)).header("deadline-ms", "1500")
            }
        };
        request.header("host", "queue.example")
    }
}

/// The routes that differ.
fn difference(before: &Routes, after: &Routes) -> Vec<usize> {
    let all = before.keys().chain(after.keys());
    let changed = all.filter(|route| before.get(route) != after.get(route));
    changed.copied().collect()
}

/// How a disturbance ends.
enum Heal {
    Store,
    Path,
    Process,
    Links,
    /// The process is gone and starts again.
    Leave,
}

struct World<'a> {
    rng: StdRng,
    site: &'a mut Site,
    changes: Changes,
    record: Shared,
    /// How many routes were ever added.
    added: usize,
    routes: Routes,
    heals: Vec<(Instant, usize, Heal)>,
    /// Entries that are starved, and until when.
    starved: Vec<(usize, Instant)>,
}

impl World<'_> {
    async fn run(&mut self, until: Instant, is_troubled: bool) {
        let mut publish_at = Instant::now();
        let mut strike_at = Instant::now();
        while Instant::now() < until {
            let now = Instant::now();
            self.heal_due(now);
            self.starve(now);
            if now >= publish_at {
                let is_storm = self.rng.random_bool(0.15);
                for _ in 0..if is_storm { 6 } else { 1 } {
                    self.publish();
                }
                publish_at = now + Duration::from_millis(self.rng.random_range(200..1_500));
            }
            if is_troubled && now >= strike_at {
                self.strike();
                strike_at = now + Duration::from_millis(self.rng.random_range(100..2_500));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn publish(&mut self) {
        match self.changes {
            Changes::Added => self.add(),
            Changes::All => self.change(),
        }
        let sent = Instant::now();
        let routes = self.routes.iter();
        self.site
            .configure_routes(routes.map(|(route, service)| (*route, service.name())));
        self.record.lock().unwrap().versions.push(Version {
            sent,
            acked: Instant::now(),
            routes: self.routes.clone(),
        });
    }

    fn add(&mut self) {
        self.routes.insert(self.added, Service::Tasks);
        self.added += 1;
    }

    /// Adds, drops or moves routes.
    fn change(&mut self) {
        for _ in 0..self.rng.random_range(1..4) {
            let known: Vec<usize> = self.routes.keys().copied().collect();
            let route = known.get(self.rng.random_range(0..known.len().max(1)));
            match (route, self.rng.random_range(0..3)) {
                (Some(route), 0) => {
                    self.routes.remove(route);
                }
                (Some(route), 1) => {
                    let moved = match self.routes[route] {
                        Service::Tasks => Service::Unknown,
                        Service::Unknown => Service::Tasks,
                    };
                    self.routes.insert(*route, moved);
                }
                _ => self.add(),
            }
        }
    }

    /// Disturbs one entry, or all of them at once.
    fn strike(&mut self) {
        let entries = self.site.entries.len();
        let kinds = match self.changes {
            Changes::Added => 9,
            Changes::All => 12,
        };
        let kind = self.rng.random_range(0..kinds);
        let mut lasts = Duration::from_millis(self.rng.random_range(300..4_000));
        if self.changes == Changes::All && self.rng.random_bool(0.3) {
            lasts += Duration::from_secs(3);
        }
        let targets = if self.rng.random_bool(0.4) {
            0..entries
        } else {
            let entry = self.rng.random_range(0..entries);
            entry..entry + 1
        };
        let directions = [Direction::Up, Direction::Down, Direction::Both];
        let direction = directions[self.rng.random_range(0..3)];
        for entry in targets.clone() {
            self.disturb(kind, entry, direction, lasts);
        }
        let said = format!("{kind} entries {targets:?} {direction:?} {lasts:?}");
        self.record.lock().unwrap().said.push(said);
    }

    fn disturb(&mut self, kind: u32, number: usize, direction: Direction, lasts: Duration) {
        let now = Instant::now();
        let entry = &mut self.site.entries[number];
        let heal = match kind {
            0 | 1 => {
                entry
                    .store_path
                    .set(Scope::Existing, direction, Fault::Silent);
                None
            }
            2 => {
                entry
                    .store_path
                    .set(Scope::Existing, direction, Fault::Reset);
                None
            }
            3 => {
                entry.store_path.set(Scope::All, direction, Fault::Silent);
                Some(Heal::Path)
            }
            4 => {
                entry.door.with_fault(|store| store.silent = true);
                Some(Heal::Store)
            }
            5 => {
                entry.door.with_fault(|store| store.down = true);
                Some(Heal::Store)
            }
            6 => {
                entry.process.pause();
                Some(Heal::Process)
            }
            7 => {
                entry.process.kill();
                entry.restart();
                None
            }
            9 => {
                entry.process.terminate();
                self.heals.push((now + LEAVE, number, Heal::Leave));
                self.record_disturbance(number, now, now + LEAVE);
                return;
            }
            10 => {
                entry.process.hang_up();
                return;
            }
            11 => {
                self.starved.push((number, now + lasts));
                self.record_disturbance(number, now, now + lasts);
                return;
            }
            _ => {
                entry.proxy.set(Scope::All, direction, Fault::Silent);
                Some(Heal::Links)
            }
        };
        let end = if heal.is_some() { now + lasts } else { now };
        self.heals.extend(heal.map(|heal| (end, number, heal)));
        self.record_disturbance(number, now, end);
    }

    fn record_disturbance(&self, number: usize, start: Instant, end: Instant) {
        let disturbance = (number, start, end);
        self.record.lock().unwrap().disturbed.push(disturbance);
    }

    /// Stops starved processes for a part of the time.
    fn starve(&mut self, now: Instant) {
        for (number, until) in &self.starved {
            let left = until.saturating_duration_since(now).as_millis();
            let process = &self.site.entries[*number].process;
            if left > 0 && left % (RUN + STALL).as_millis() < STALL.as_millis() {
                process.pause();
            } else {
                process.resume();
            }
        }
        self.starved.retain(|(_, until)| *until > now);
    }

    fn heal_due(&mut self, now: Instant) {
        let (due, later) = std::mem::take(&mut self.heals)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        self.heals = later;
        for (_, number, heal) in due {
            self.heal(number, &heal);
        }
    }

    fn heal_all(&mut self) {
        for (_, number, heal) in std::mem::take(&mut self.heals) {
            self.heal(number, &heal);
        }
    }

    fn heal(&mut self, number: usize, heal: &Heal) {
        let is_forgetful = self.rng.random_bool(0.5);
        let entry = &mut self.site.entries[number];
        match heal {
            Heal::Store => entry.door.with_fault(|store| *store = Default::default()),
            // Something on the way may have lost track of the connections that were open.
            Heal::Path if is_forgetful => {
                entry
                    .store_path
                    .set(Scope::New, Direction::Both, Fault::None);
            }
            Heal::Path => entry.store_path.set_all(Fault::None),
            Heal::Process => entry.process.resume(),
            Heal::Links => entry.proxy.set_all(Fault::None),
            Heal::Leave => {
                entry.process.kill();
                entry.restart();
            }
        }
        let now = Instant::now();
        self.record_disturbance(number, now, now);
    }
}

fn check(seed: u64, site: &Site, record: &Record) {
    let served = record
        .answers
        .iter()
        .filter(|answer| answer.status == StatusCode::OK)
        .count();
    let outdated = record.outdated();
    let context = || {
        let logs: Vec<String> = site
            .entries
            .iter()
            .map(|entry| entry.process.output())
            .collect();
        let file = std::env::temp_dir().join(format!("cassiarock-configuration-soak-{seed}.log"));
        let written = std::fs::write(&file, logs.join("\n---\n"));
        format!(
            "seed {seed}, {:?}, logs {} {written:?}",
            record.said,
            file.display()
        )
    };
    assert!(outdated.is_empty(), "{outdated:?}; {}", context());
    assert!(
        served * 4 >= record.answers.len(),
        "{served} served; {}",
        context()
    );
    assert!(served > 0, "none served; {}", context());
}
