//! Response times, goodput and failures under load and faults, in virtual time with fixed
//! seeds.

#[allow(dead_code, reason = "the tests and the example use different parts")]
mod model;

use cassiarock_policy::PlacementPolicy;
use model::load::{ANDES, Job, arrivals};
use model::reference::{Order, omniscient};
use model::report::{goodput, ideals, means, over};
use model::simulation::{Fault, JobOutcome, Simulation, SimulationConfig};
use std::time::Duration;

const SLOTS: usize = 88;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn config(policy: PlacementPolicy) -> SimulationConfig {
    SimulationConfig::new(policy, Duration::from_micros(500))
}

fn run(config: SimulationConfig, jobs: &[Job]) -> Simulation<'_> {
    let mut simulation = Simulation::new(config, jobs);
    simulation.run(secs(300));
    simulation
}

fn share(simulation: &Simulation<'_>, wanted: impl Fn(&JobOutcome) -> bool) -> f64 {
    simulation.outcomes.iter().filter(|end| wanted(end)).count() as f64
        / simulation.outcomes.len() as f64
}

fn done(end: &JobOutcome) -> bool {
    matches!(end, JobOutcome::Done(_))
}

/// Jobs of `count` tasks that all arrive at `at`, at the three entries in turn.
fn burst(jobs: usize, count: usize, millis: u64, at: Duration) -> Vec<Job> {
    let job = |index| Job {
        at,
        entry: index % 3,
        kind: 0,
        runs: vec![Duration::from_millis(millis); count],
        declared: Duration::from_millis(millis),
        within: secs(30),
        team: 0,
    };
    (0..jobs).map(job).collect()
}

#[test]
fn a_burst_at_three_entries_ends_within_a_fifth_of_the_omniscient_time() {
    let jobs = burst(12, 60, 200, secs(0));
    let simulation = run(config(PlacementPolicy::Credits), &jobs);
    assert_eq!(share(&simulation, done), 1.0);
    let last = simulation.responses().into_iter().flatten().max();
    let best = omniscient(&jobs, SLOTS, Order::Arrival).into_iter().max();
    let ratio = last.unwrap_or_default().as_secs_f64() / best.unwrap_or_default().as_secs_f64();
    assert!(ratio < 1.2, "{ratio}");
}

#[yare::parameterized(evenly = { 0.0 }, mostly_at_one_entry = { 0.9 }, only_there = { 1.0 })]
fn load_at_one_entry_uses_the_whole_pool(skew: f64) {
    let jobs = arrivals(&ANDES, 0.7, SLOTS, 3, skew, secs(30), 11);
    let simulation = run(config(PlacementPolicy::Credits), &jobs);
    assert_eq!(share(&simulation, done), 1.0);
    let (ours, theirs) = means(
        &simulation.responses(),
        &omniscient(&jobs, SLOTS, Order::Due),
    );
    assert!(ours / theirs < 1.15, "{}", ours / theirs);
}

#[test]
fn credits_lose_at_most_half_of_what_two_choices_lose_at_load_0_9() {
    let excess = |kind| {
        let sum: f64 = (0..4)
            .map(|seed| {
                let jobs = arrivals(&ANDES, 0.9, SLOTS, 3, 0.0, secs(60), seed);
                let best = omniscient(&jobs, SLOTS, Order::Due);
                let (ours, theirs) = means(&run(config(kind), &jobs).responses(), &best);
                ours / theirs - 1.0
            })
            .sum();
        sum / 4.0
    };
    let (credits, two_choices) = (
        excess(PlacementPolicy::Credits),
        excess(PlacementPolicy::TwoChoices),
    );
    assert!(credits < 0.5 * two_choices, "{credits} {two_choices}");
}

#[test]
fn a_task_costs_less_than_a_tenth_of_a_message_beyond_its_own() {
    let jobs = arrivals(&ANDES, 0.7, SLOTS, 3, 0.0, secs(40), 5);
    let simulation = run(config(PlacementPolicy::Credits), &jobs);
    let wasted = simulation.counts.extra_messages() as f64 / simulation.counts.done as f64;
    assert!(wasted < 0.1, "{wasted}");
}

// Guards against one slow upstream delaying all large jobs. One of eleven upstreams runs five
// times slower because its VM lacks processor time. Each large job has some tasks there, so
// without detection all large jobs end late.
#[test]
fn work_shifts_away_from_a_slow_upstream() {
    let jobs = arrivals(&ANDES, 0.6, SLOTS, 3, 0.0, secs(60), 13);
    let late = |detects: bool| {
        let mut config = config(PlacementPolicy::Credits);
        if !detects {
            config.dispatch.health.max_withheld_share = 0.0;
        }
        let mut simulation =
            Simulation::new(config, &jobs).with_fault(secs(2), 4, Fault::Slow(5.0));
        simulation.run(secs(300));
        over(&simulation.responses(), &ideals(&jobs, SLOTS)).mean - 1.0
    };
    let (with, without) = (late(true), late(false));
    assert!(with < 0.6 * without, "{with} {without}");
}

#[test]
fn short_jobs_are_not_held_up_by_long_ones() {
    let mut jobs = burst(2, 400, 2000, secs(1));
    jobs.extend(
        burst(30, 1, 100, secs(4))
            .into_iter()
            .map(|job| Job { kind: 1, ..job }),
    );
    let simulation = run(config(PlacementPolicy::Credits), &jobs);
    let short: Vec<_> = simulation.responses().split_off(2);
    let slowest = short.into_iter().flatten().max();
    // The pool is busy until second 19; a slot frees every 2 s at the latest.
    assert!(slowest < Some(secs(3)), "{slowest:?}");
    assert!(share(&simulation, done) > 0.99);
}

#[test]
fn a_large_job_is_not_starved_by_small_ones_that_keep_arriving() {
    let mut jobs = burst(1, 400, 100, secs(1));
    for index in 0..5400 {
        let at = Duration::from_micros(11_300 * index);
        jobs.extend(burst(1, 10, 90, at).into_iter().map(|job| Job {
            entry: (index % 3) as usize,
            kind: 1,
            ..job
        }));
    }
    jobs.sort_by_key(|job| job.at);
    let large = jobs.iter().position(|job| job.runs.len() == 400);
    let simulation = run(config(PlacementPolicy::Credits), &jobs);
    let end = large.map(|index| simulation.outcomes[index]);
    assert!(end.as_ref().is_some_and(done), "{end:?}");
}

#[test]
fn saturation_keeps_goodput_and_refuses_at_arrival() {
    let jobs = arrivals(&ANDES, 1.3, SLOTS, 3, 0.0, secs(90), 3);
    let simulation = run(config(PlacementPolicy::Credits), &jobs);
    let good = goodput(&jobs, &simulation.responses(), SLOTS, (secs(20), secs(90)));
    assert!(good > 0.95, "{good}");
    let late = share(&simulation, |end| *end == JobOutcome::Failed);
    assert!(late < 0.01, "{late}");
}

// Guards against a black hole: one of eleven upstreams fails each task within a millisecond,
// so it always has free slots, attracts the load and fails job after job.
#[test]
fn an_upstream_that_fails_everything_at_once_gets_few_tasks() {
    let jobs = arrivals(&ANDES, 0.7, SLOTS, 3, 0.0, secs(40), 17);
    let mut simulation = Simulation::new(config(PlacementPolicy::Credits), &jobs).with_fault(
        secs(5),
        7,
        Fault::BlackHole,
    );
    simulation.run(secs(300));
    let failed = simulation.counts.failed as f64 / simulation.counts.done as f64;
    assert!(failed < 0.02, "{failed}");
    assert!(
        share(&simulation, done) > 0.97,
        "{}",
        share(&simulation, done)
    );
}

// Guards against fault detection withholding the whole pool. All upstreams start to fail at
// the same time, as when a store that they all use fails, and all are found faulty. If all
// were withheld, no work could run after the recovery.
#[test]
fn a_fault_of_all_upstreams_withholds_at_most_the_bound() {
    let jobs = arrivals(&ANDES, 0.5, SLOTS, 3, 0.0, secs(60), 19);
    let mut simulation = Simulation::new(config(PlacementPolicy::Credits), &jobs);
    for agent in 0..11 {
        let begin = secs(5) + Duration::from_millis(agent as u64);
        simulation = simulation.with_fault(begin, agent, Fault::BlackHole);
        simulation = simulation.with_fault(secs(15), agent, Fault::None);
    }
    simulation.run(secs(300));
    let after = jobs
        .iter()
        .zip(&simulation.outcomes)
        .filter(|(job, _)| job.at > secs(20));
    let (good, all) = after.fold((0, 0), |(good, all), (_, end)| {
        (good + u32::from(done(end)), all + 1)
    });
    assert!(f64::from(good) / f64::from(all) > 0.99, "{good} of {all}");
    assert!(
        simulation.counts.failed < 2 * simulation.counts.done,
        "{:?}",
        simulation.counts
    );
}

// Guards against the remains of cancelled jobs delaying the others. Half of all jobs are
// cancelled within one second, as when wind closes every lift. Tasks of theirs that still run, and
// the frames that cancel them, take time from the other half.
#[test]
fn a_cancellation_wave_frees_the_slots_and_costs_less_than_the_work() {
    let jobs = burst(60, 100, 300, secs(1));
    let mut simulation = Simulation::new(config(PlacementPolicy::Credits), &jobs);
    for job in 0..30 {
        let at = secs(4) + Duration::from_millis(10 * job as u64);
        simulation = simulation.with_cancel(at, 2 * job);
    }
    simulation.run(secs(300));
    let kept: Vec<&JobOutcome> = simulation.outcomes.iter().skip(1).step_by(2).collect();
    assert!(kept.iter().all(|end| done(end)), "{kept:?}");
    let spared = 60 * 100 - simulation.counts.done;
    assert!(spared > 2000, "{:?}", simulation.counts);
    assert!(
        simulation.counts.abandoned_runs < 50,
        "{:?}",
        simulation.counts
    );
    assert!(
        simulation.counts.cancels < spared / 4,
        "{:?}",
        simulation.counts
    );
}

// Guards against an outage whose backlog never drains. All upstreams are unreachable for ten
// seconds while jobs keep arriving. When they return, the entries hold ten seconds of work,
// most of it for jobs that are about to miss their deadlines.
#[test]
fn the_backlog_of_an_outage_drains_by_itself() {
    let mut jobs = arrivals(&ANDES, 0.8, SLOTS, 3, 0.0, secs(60), 23);
    jobs.iter_mut().for_each(|job| job.within = secs(8));
    let simulation = Simulation::new(config(PlacementPolicy::Credits), &jobs);
    let mut simulation = simulation.with_outage(secs(15), secs(25));
    simulation.run(secs(300));
    let late = jobs
        .iter()
        .zip(&simulation.outcomes)
        .filter(|(job, _)| job.at > secs(35));
    let (good, all) = late.fold((0, 0), |(good, all), (_, end)| {
        (good + u32::from(done(end)), all + 1)
    });
    assert!(f64::from(good) / f64::from(all) > 0.97, "{good} of {all}");
    // A task may start only while the frame that cancels it is on its way.
    assert!(
        simulation.counts.abandoned_runs < 10,
        "{:?}",
        simulation.counts
    );
    let span = (secs(26), secs(36));
    let good = goodput(&jobs, &simulation.responses(), SLOTS, span);
    let undisturbed = run(config(PlacementPolicy::Credits), &jobs);
    let usual = goodput(&jobs, &undisturbed.responses(), SLOTS, span);
    assert!(good > 0.95 * usual, "{good} {usual}");
}

#[yare::parameterized(ten_times_too_long = { 10.0 }, ten_times_too_short = { 0.1 })]
fn wrong_declarations_cost_little(times: f64) {
    let honest = arrivals(&ANDES, 0.8, SLOTS, 3, 0.0, secs(40), 29);
    let mut wrong = honest.clone();
    for job in wrong.iter_mut().filter(|job| job.kind % 2 == 1) {
        job.declared = job.declared.mul_f64(times);
    }
    let mean = |jobs: &[Job]| {
        let simulation = run(config(PlacementPolicy::Credits), jobs);
        assert!(share(&simulation, done) > 0.99);
        over(&simulation.responses(), &ideals(jobs, SLOTS)).mean
    };
    let ratio = mean(&wrong) / mean(&honest);
    assert!(ratio < 1.05, "{ratio}");
}

#[test]
fn a_team_that_floods_the_pool_does_not_take_the_share_of_another() {
    let mut jobs = arrivals(&ANDES, 1.5, SLOTS, 3, 0.0, secs(40), 31);
    let mut quiet = arrivals(&ANDES, 0.3, SLOTS, 3, 0.0, secs(40), 37);
    quiet.iter_mut().for_each(|job| job.team = 1);
    jobs.extend(quiet);
    jobs.sort_by_key(|job| job.at);
    jobs.iter_mut().for_each(|job| job.within = secs(15));
    let simulation = run(config(PlacementPolicy::Credits), &jobs);
    let outcomes = jobs.iter().zip(&simulation.outcomes);
    let quiet: Vec<&JobOutcome> = outcomes
        .filter(|(job, _)| job.team == 1)
        .map(|(_, end)| end)
        .collect();
    let good = quiet.iter().filter(|end| done(end)).count() as f64 / quiet.len() as f64;
    assert!(good > 0.97, "{good}");
}
