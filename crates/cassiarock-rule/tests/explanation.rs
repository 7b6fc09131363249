//! Explanations agree with the decisions of the rules.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::Wall;
use cassiarock_rule::condition::{Condition, Span};
use cassiarock_rule::request::{PoolLoads, Resources};
use cassiarock_rule::{Action, Explanation, Request, Rule, RuleSet};
use serde_json::{Value, json};
use yare::parameterized;

fn request() -> Request {
    let need = Resources {
        cores: 2,
        memory: 512,
        accelerators: 1,
    };
    Request::new("report")
        .with_team("desk")
        .with_task_count(40)
        .with_need(need)
        .with_data_centre("andes-1")
        .with_time(Wall::from_millis(7 * 3_600_000))
        .with_loads(PoolLoads::default().with_pool("booking", 85))
}

#[parameterized(
    kind = { json!({ "kinds": ["alert", "payment"] }), "kind report is not among alert, payment" },
    team = { json!({ "teams": ["kitchens"] }), "team desk is not among kitchens" },
    data_centre = { json!({ "data_centres": ["andes-2"] }), "data_centre andes-1 is not among andes-2" },
    tasks = { json!({ "tasks": { "max": 39 } }), "tasks 40 is not within 0 to 39" },
    cores = { json!({ "cores": { "max": 1 } }), "cores 2 is not within 0 to 1" },
    memory = { json!({ "memory_mb": { "max": 511 } }), "memory_mb 512 is not within 0 to 511" },
    accelerators = { json!({ "accelerators": { "max": 0 } }), "accelerators 1 is not within 0 to 0" },
    hours = { json!({ "hours": { "from": "08:00", "until": "09:00" } }), "07:00 is not within 08:00 to 09:00" },
    load = { json!({ "load": { "pool": "booking", "percent": { "max": 80 } } }), "load of booking 85 is not within 0 to 80" },
    repeatable = { json!({ "repeatable": true }), "repeatable is false, not true" },
)]
fn each_part_of_a_condition_that_does_not_match_is_named(when: Value, reason: &str) {
    let when: Condition = serde_json::from_value(when).unwrap();
    assert!(!when.matches(&request()));
    assert_eq!(when.mismatch(&request()).as_deref(), Some(reason));
}

#[test]
fn a_condition_that_matches_has_no_mismatch() {
    let when = json!({
        "kinds": ["report"], "teams": ["desk"], "data_centres": ["andes-1"],
        "tasks": { "min": 40 }, "cores": { "min": 2 }, "memory_mb": { "min": 512 },
        "accelerators": { "min": 1 }, "hours": { "from": "07:00", "until": "07:01" },
        "load": { "pool": "booking", "percent": { "min": 85 } }, "repeatable": false,
    });
    let when: Condition = serde_json::from_value(when).unwrap();
    assert!(when.matches(&request()));
    assert_eq!(when.mismatch(&request()), None);
}

#[test]
fn only_the_rules_before_the_deciding_one_are_explained() {
    let closed = || Action::Refuse {
        reason: "closed".into(),
    };
    let small = Condition {
        tasks: Span { min: 0, max: 9 },
        ..Condition::default()
    };
    let set = RuleSet::new(vec![
        Rule::new("small", closed()).with_condition(small),
        Rule::new("all", closed()),
        Rule::new("never", closed()),
    ]);
    let explanation = Explanation::new(7, &set, &request());
    assert_eq!((&*explanation.rule, explanation.version), ("all", 7));
    assert_eq!(explanation.passed.len(), 1);
    assert_eq!(&*explanation.passed[0].rule, "small");
}
