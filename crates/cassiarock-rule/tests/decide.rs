//! Matching of requests by conditions, decisions and edits of rule sets.

use cassiarock_id::Wall;
use cassiarock_rule::request::{PoolLoads, Resources};
use cassiarock_rule::{Action, Condition, Configuration, Edit, Request, Rule, RuleSet, source};
use yare::parameterized;

fn condition(text: &str) -> Condition {
    let text = format!(r#"[{{ "name": "a", "when": {{ {text} }}, "then": {{ "run": {{}} }} }}]"#);
    source::read(&text, &Configuration::default())
        .expect("one valid rule")
        .rules[0]
        .when
        .clone()
}

fn morning_request() -> Request {
    Request::new("seat-check")
        .with_team("andes")
        .with_task_count(12)
        .with_need(Resources {
            cores: 2,
            memory: 512,
            accelerators: 1,
        })
        .with_data_centre("dc-1")
        .with_time(Wall::from_millis((24 + 6) * 3_600_000))
        .with_repeatable(true)
        .with_loads(PoolLoads::default().with_pool("default", 85))
}

#[parameterized(
    kind = { r#""kinds": ["alert", "seat-check"]"#, r#""kinds": ["alert"]"# },
    team = { r#""teams": ["andes"]"#, r#""teams": ["iceland"]"# },
    data_centre = { r#""data_centres": ["dc-1"]"#, r#""data_centres": ["dc-2"]"# },
    tasks = { r#""tasks": { "min": 12, "max": 12 }"#, r#""tasks": { "min": 13 }"# },
    cores = { r#""cores": { "max": 2 }"#, r#""cores": { "max": 1 }"# },
    memory = { r#""memory_mb": { "min": 512 }"#, r#""memory_mb": { "min": 513 }"# },
    accelerators = { r#""accelerators": { "min": 1 }"#, r#""accelerators": { "max": 0 }"# },
    hours = { r#""hours": { "from": "06:00", "until": "07:00" }"#, r#""hours": { "from": "05:00", "until": "06:00" }"# },
    over_midnight = { r#""hours": { "from": "22:00", "until": "06:01" }"#, r#""hours": { "from": "22:00", "until": "06:00" }"# },
    load = { r#""load": { "pool": "default", "percent": { "min": 85 } }"#, r#""load": { "pool": "default", "percent": { "max": 84 } }"# },
    repeatable = { r#""repeatable": true"#, r#""repeatable": false"# },
)]
fn a_condition_matches_or_not(matching: &str, other: &str) {
    assert!(condition(matching).matches(&morning_request()));
    assert!(!condition(other).matches(&morning_request()));
}

fn refusing_rule(name: &str, kind: &str) -> Rule {
    let when = Condition {
        kinds: vec![kind.into()],
        ..Condition::default()
    };
    Rule::new(
        name,
        Action::Refuse {
            reason: name.into(),
        },
    )
    .with_condition(when)
}

#[test]
fn the_first_rule_that_matches_decides_and_edits_change_the_order() {
    let mut set = RuleSet::new(vec![
        refusing_rule("a", "x"),
        refusing_rule("b", "x"),
        refusing_rule("c", "y"),
    ]);
    assert_eq!(&*set.decide(&Request::new("x")).rule, "a");
    Edit::Move {
        name: "b".into(),
        to: 0,
    }
    .apply(&mut set)
    .unwrap();
    assert_eq!(&*set.decide(&Request::new("x")).rule, "b");
    Edit::Delete { name: "b".into() }.apply(&mut set).unwrap();
    assert_eq!(set.decide(&Request::new("y")).position, 1);
    let decision = set.decide(&Request::new("z"));
    assert_eq!((&*decision.rule, decision.position), ("default", 2));
}

#[parameterized(
    insert_taken = { Edit::Insert { at: 0, rule: refusing_rule("a", "x") } },
    insert_out_of_range = { Edit::Insert { at: 2, rule: refusing_rule("b", "x") } },
    move_out_of_range = { Edit::Move { name: "a".into(), to: 1 } },
    move_unknown = { Edit::Move { name: "b".into(), to: 0 } },
    delete_unknown = { Edit::Delete { name: "b".into() } },
    replace_unknown = { Edit::Replace { rule: refusing_rule("b", "x") } },
)]
fn an_edit_that_cannot_be_applied_changes_nothing(edit: Edit) {
    let mut set = RuleSet::new(vec![refusing_rule("a", "x")]);
    assert!(edit.apply(&mut set).is_err());
    assert_eq!(set, RuleSet::new(vec![refusing_rule("a", "x")]));
}
