//! The cost of a placement as the pool grows.

use cassiarock_id::{Job, Process, Task, Wall};
use cassiarock_policy::load::LoadReport;
use cassiarock_policy::place::{Action, Placer, ReadyTasks, Settings, TaskKey, Upstream};
use cassiarock_policy::{Due, PlacementPolicy};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const STEPS: u64 = 20_000;

/// An entry in steady state with 70% of the slots in use.
struct SteadyEntry {
    placer: Placer,
    running: VecDeque<(Process, TaskKey)>,
    seen: Vec<(u32, u16)>,
    next: u64,
    /// Time spent in placement decisions.
    placing: Duration,
}

impl SteadyEntry {
    fn new(upstreams: usize) -> Self {
        let mut placer = Placer::new(Settings::new(PlacementPolicy::Credits), 1);
        for index in 0..upstreams {
            let agent = Process::new(format!("agent-{index}"), 1);
            placer.add(Upstream::new(agent, 8));
        }
        let mut entry = Self {
            placer,
            running: VecDeque::new(),
            seen: vec![(0, 0); upstreams],
            next: 0,
            placing: Duration::ZERO,
        };
        (0..upstreams * 56 / 10).for_each(|_| entry.start());
        entry
    }

    fn start(&mut self) {
        self.next += 1;
        let id = Job::with_bits(Wall::from_millis(1), self.next);
        let now = Duration::from_micros(self.next);
        let due = Due::new(now, Duration::from_millis(100));
        self.placer.enqueue(ReadyTasks::new(id, due, vec![Task(0)]));
        let begin = Instant::now();
        let actions = self.placer.poll(now);
        self.placing += begin.elapsed();
        for action in actions {
            let Action::Start { agent, tasks, .. } = action else {
                continue;
            };
            let (seen, running) = &mut self.seen[index_of(&agent)];
            *seen += 1;
            *running += 1;
            self.running.push_back((agent, tasks[0].key));
        }
    }

    fn step(&mut self) {
        if let Some((agent, key)) = self.running.pop_front() {
            let (seen, running) = &mut self.seen[index_of(&agent)];
            *running -= 1;
            let load = LoadReport {
                open: 8_u16.saturating_sub(*running),
                seen: *seen,
                ..LoadReport::default()
            };
            let now = Duration::from_micros(self.next);
            self.placer.end(&agent, &key, Some(load), now);
        }
        self.start();
    }

    /// The time in nanoseconds of a placement decision, and of a whole step with an outcome and
    /// a new task.
    fn cost(&mut self) -> (f64, f64) {
        self.placing = Duration::ZERO;
        let begin = Instant::now();
        (0..STEPS).for_each(|_| self.step());
        let nanos = |time: Duration| time.as_secs_f64() * 1e9 / STEPS as f64;
        (nanos(self.placing), nanos(begin.elapsed()))
    }
}

/// The costs of a decision and of a step, with few and with many upstreams.
type Round = ((f64, f64), (f64, f64));

/// The index in an agent's name. A lookup in a map would cost more with more upstreams.
fn index_of(agent: &Process) -> usize {
    let digits = agent.name.rsplit('-').next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

#[test]
fn a_placement_at_2900_upstreams_costs_at_most_twice_that_at_29() {
    let (mut few, mut many) = (SteadyEntry::new(29), SteadyEntry::new(2900));
    // Other processes disturb single rounds, so the best of several is used.
    let rounds: Vec<Round> = (0..9).map(|_| (few.cost(), many.cost())).collect();
    let best = |cost: fn(&Round) -> f64| rounds.iter().map(cost).fold(f64::INFINITY, f64::min);
    let (few, many) = (best(|round| round.0.0), best(|round| round.1.0));
    let (few_step, many_step) = (best(|round| round.0.1), best(|round| round.1.1));
    println!(
        "a decision: {few:.0} and {many:.0} ns, ratio {:.2}",
        many / few
    );
    println!(
        "a step: {few_step:.0} and {many_step:.0} ns, ratio {:.2}",
        many_step / few_step
    );
    assert!(many / few < 2.0, "{few} {many}");
}
