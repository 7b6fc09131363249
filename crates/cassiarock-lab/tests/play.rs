//! Scenarios played.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_lab::{Scenario, simulate};
use cassiarock_transient::scheduler::Mechanisms;
use std::path::Path;
use yare::parameterized;

fn scenario(name: &str) -> Scenario {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings/lab");
    let mut scenario = Scenario::load(root.join(name)).unwrap();
    scenario.seeds.truncate(2);
    scenario
}

#[parameterized(
    quiet = { "quiet.jsonc", 0.99 },
    forum = { "forum.jsonc", 0.86 },
    all_lost = { "all-lost.jsonc", 0.82 },
    black_hole = { "black-hole.jsonc", 0.98 },
    hanging = { "hanging.jsonc", 0.95 },
    wide = { "wide.jsonc", 0.93 },
    small = { "small.jsonc", 0.86 },
    large = { "large.jsonc", 0.92 },
    emptied = { "emptied.jsonc", 0.97 },
    far_too_much = { "twice-and-a-half.jsonc", 0.48 },
)]
fn no_promise_is_broken_and_most_callers_are_answered_in_time(name: &str, least: f64) {
    let figures = simulate(&scenario(name), Mechanisms::default());
    assert!(figures.violations.is_empty(), "{:?}", figures.violations);
    assert!(figures.in_time >= least, "{}", figures.in_time);
    assert!(
        figures.in_time <= figures.in_time_bound,
        "{}",
        figures.in_time_bound
    );
}

#[test]
fn the_same_seed_plays_the_same_on_any_number_of_threads() {
    let scenario = scenario("all-lost.jsonc");
    let on = |threads| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads);
        let figures = pool
            .build()
            .unwrap()
            .install(|| simulate(&scenario, Mechanisms::default()));
        serde_json::to_string(&figures).unwrap()
    };
    assert_eq!(on(1), on(4));
}

// Tasks of lost agents were placed again in the order of a hash map, another one in each run: two
// runs of one seed differed, and no difference below a hundredth could be told from it.
#[test]
fn the_same_seed_plays_the_same_each_time() {
    for file in ["shifted.jsonc", "all-lost.jsonc", "emptied.jsonc"] {
        let scenario = scenario(file);
        let once = || serde_json::to_string(&simulate(&scenario, Mechanisms::default())).unwrap();
        assert_eq!(once(), once(), "{file}");
    }
}

// One lookup in a hundred had a task that crashed each upstream that started it. It was placed
// again and again, and took ten tasks of others down with each; counted to two without keeping the
// suspects of one crash apart, those others were given up in its place.
#[test]
fn tasks_that_crash_upstreams_cost_others_less_when_suspects_are_kept_apart() {
    let scenario = scenario("crashing.jsonc");
    let with = simulate(&scenario, Mechanisms::default());
    let without = simulate(&scenario, Mechanisms::without("suspicion").unwrap());
    let crashes = |figures: &cassiarock_lab::ScenarioResult| -> u64 {
        figures.seeds.iter().map(|seed| seed.crashes).sum()
    };
    assert!(crashes(&with) > 0 && crashes(&with) < crashes(&without));
    assert!(
        with.worth > without.worth,
        "{} and {}",
        with.worth,
        without.worth
    );
    for (kind, other) in with.totals_by_kind().iter().zip(without.totals_by_kind()) {
        assert!(
            kind.in_time_share() >= other.in_time_share(),
            "{}",
            kind.name
        );
    }
    assert_eq!(with.violations, Vec::<String>::new());
}

// A burst of two and a half times the room lasted for ten seconds. The kind that the operators
// had put first was answered in time half as often as the one they had put last, as jobs went
// by their latest start alone.
#[test]
fn far_beyond_the_room_no_kind_falls_far_behind_the_best_served() {
    let scenario = scenario("twice-and-a-half.jsonc");
    let worst = |mechanisms| {
        let kinds = simulate(&scenario, mechanisms).totals_by_kind();
        let shares: Vec<f64> = kinds
            .iter()
            .map(cassiarock_lab::KindResult::in_time_share)
            .collect();
        let best = shares.iter().copied().fold(0.0, f64::max);
        shares.iter().copied().fold(1.0, f64::min) / best
    };
    let with = worst(Mechanisms::default());
    let without = worst(Mechanisms::without("priority").unwrap());
    assert!(with >= 0.75, "{with}");
    assert!(without < with, "{without}");
}

// In the bursts of a large fleet look-ups with eight tasks, which the operators had put first,
// fared worst: of them 0.90 were answered in time, of the least urgent kind 0.97, as freed room
// went to whoever heard of it first. With some room left to them it is 0.95 and 0.92, and of all
// callers 0.017 get no answer in place of 0.034.
#[test]
fn in_bursts_of_a_large_fleet_the_most_urgent_kind_is_not_the_worst_served() {
    let mut scenario = scenario("large.jsonc");
    scenario.seeds.truncate(1);
    let with = simulate(&scenario, Mechanisms::default());
    let without = simulate(&scenario, Mechanisms::without("reserve").unwrap());
    let shares = |figures: &cassiarock_lab::ScenarioResult| -> Vec<f64> {
        let kinds = figures.totals_by_kind();
        kinds
            .iter()
            .map(cassiarock_lab::KindResult::in_time_share)
            .collect()
    };
    let (kept, lost) = (shares(&with), shares(&without));
    assert!(kept[0] > kept[1], "{kept:?}");
    assert!(kept[0] > lost[0] + 0.02, "{kept:?} {lost:?}");
    assert!(
        with.in_time > without.in_time + 0.01,
        "{with:?} {without:?}"
    );
}

// All VMs lost power. Callers whose connections had broken came back with those of the next
// second, and took the room from the ones who could still be on time.
#[test]
fn after_a_loss_of_all_machines_those_who_can_be_on_time_go_first() {
    let mut scenario = scenario("all-lost.jsonc");
    scenario.seeds = (1..=6).collect();
    let with = simulate(&scenario, Mechanisms::default()).in_time;
    let without = simulate(&scenario, Mechanisms::without("waited_last").unwrap()).in_time;
    assert!(with > without, "{with} {without}");
}

#[parameterized(
    unknown_field = { r#""lenght": "2s""#, "did you mean `length`" },
    no_kinds = { r#""length": "2s", "entries": [{ "data_centre": "a" }],
        "upstreams": [{ "data_centre": "a", "count": 1, "cores": 1, "memory_mib": 1 }], "kinds": []"#, "field `kinds`: is empty" },
    negative_rate = { r#""length": "2s", "entries": [{ "data_centre": "a" }],
        "upstreams": [{ "data_centre": "a", "count": 1, "cores": 1, "memory_mib": 1 }],
        "kinds": [{ "name": "k", "rate": -1, "tasks": { "mean": 1 }, "run_time": { "mean": "1s" },
            "cores": { "mean": 1 }, "slack": 1.6, "target": "60ms" }]"#, "field `kinds.rate`" },
    no_such_data_centre = { r#""length": "2s", "entries": [{ "data_centre": "a" }],
        "upstreams": [{ "data_centre": "a", "count": 1, "cores": 1, "memory_mib": 1 }],
        "kinds": [{ "name": "k", "rate": 1, "tasks": { "mean": 1 }, "run_time": { "mean": "1s" },
            "cores": { "mean": 1 }, "slack": 1.6, "target": "60ms" }],
        "disturbances": [{ "at": "1s", "for": "1s", "what": "emptied", "data_centre": "b" }]"#, "field `disturbances.data_centre`" },
    no_such_upstream = { r#""length": "2s", "entries": [{ "data_centre": "a" }],
        "upstreams": [{ "data_centre": "a", "count": 1, "cores": 1, "memory_mib": 1 }],
        "kinds": [{ "name": "k", "rate": 1, "tasks": { "mean": 1 }, "run_time": { "mean": "1s" },
            "cores": { "mean": 1 }, "slack": 1.6, "target": "60ms" }],
        "disturbances": [{ "at": "1s", "for": "1s", "what": "lost", "upstreams": [3] }]"#, "there is no upstream 3" },
)]
fn a_bad_file_is_told_with_field_and_remedy(body: &str, told: &str) {
    let error = Scenario::parse(&format!("{{ {body} }}"), "bad.jsonc").unwrap_err();
    let text = error.to_string();
    assert!(
        text.starts_with("bad.jsonc") && text.contains(told),
        "{text}"
    );
}
