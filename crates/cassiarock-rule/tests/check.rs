//! Validation of valid and invalid rule sets.

use cassiarock_rule::{Configuration, RuleSet, check, source};
use yare::parameterized;

const RUN: &str = r#""then": { "run": {} }"#;

fn problems(rules: &[&str]) -> String {
    let text = format!("[\n{}\n]", rules.join(",\n"));
    match source::read(&text, &Configuration::default()) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    }
}

#[parameterized(
    unknown_pool = { r#"{ "name": "a", "then": { "run": { "pool": "x" } } }"#, "line 2: rule a at 0: no pool is named x" },
    unknown_load = { r#"{ "name": "a", "when": { "load": { "pool": "x", "percent": {} } }, "then": { "run": {} } }"#, "line 2: rule a at 0: no pool is named x" },
    zero_queue = { r#"{ "name": "a", "then": { "run": { "queue": 0 } } }"#, "line 2: rule a at 0: queue is zero" },
    zero_slots = { r#"{ "name": "a", "then": { "run": { "slots": 0 } } }"#, "line 2: rule a at 0: slots is zero" },
    zero_deadline = { r#"{ "name": "a", "then": { "run": { "deadline_ms": 0 } } }"#, "line 2: rule a at 0: deadline_ms is zero" },
    long_deadline = { r#"{ "name": "a", "then": { "run": { "deadline_ms": 600001 } } }"#, "line 2: rule a at 0: a deadline above 600 s" },
    retries = { r#"{ "name": "a", "then": { "run": { "retry_percent": 101 } } }"#, "line 2: rule a at 0: retry_percent above 100" },
    empty_span = { r#"{ "name": "a", "when": { "tasks": { "min": 3, "max": 2 } }, "then": { "run": {} } }"#, "line 2: rule a at 0: tasks holds for no value" },
    empty_hours = { r#"{ "name": "a", "when": { "hours": { "from": "06:00", "until": "06:00" } }, "then": { "run": {} } }"#, "line 2: rule a at 0: hours holds for no value" },
    nameless = { r#"{ "name": "", "then": { "run": {} } }"#, "line 2: rule  at 0: the name is empty" },
    syntax = { r#"{ "name" }"#, "line 2: " },
    unknown_field = { r#"{ "name": "a", "when": { "kind": ["x"] }, "then": { "run": {} } }"#, "line 2: rule at 0: unknown field `kind`" },
)]
fn an_invalid_rule_is_rejected_with_its_line(rule: &str, expected: &str) {
    let found = problems(&[rule]);
    assert!(found.starts_with(expected), "{found}");
}

#[test]
fn a_rule_after_a_catch_all_is_rejected_with_its_line() {
    let all = format!(r#"{{ "name": "all", {RUN} }}"#);
    let late = format!(r#"{{ "name": "late", "when": {{ "kinds": ["alert"] }}, {RUN} }}"#);
    let expected =
        "line 3: rule late at 1: never reached, since rule all at 0 matches all that it matches";
    assert_eq!(problems(&[&all, &late]), expected);
}

#[test]
fn two_rules_of_one_name_are_rejected() {
    let first = format!(r#"{{ "name": "a", "when": {{ "kinds": ["alert"] }}, {RUN} }}"#);
    let second = format!(r#"{{ "name": "a", {RUN} }}"#);
    assert_eq!(
        problems(&[&first, &second]),
        "line 3: rule a at 1: the name is taken by the rule at 0"
    );
}

#[parameterized(
    kinds = { r#""kinds": ["a"]"#, r#""kinds": ["a", "b"]"# },
    tasks = { r#""tasks": { "min": 5 }"#, r#""tasks": { "min": 2 }"# },
    hours = { r#""hours": { "from": "08:00", "until": "12:00" }"#, r#""hours": { "from": "06:00", "until": "12:00" }"# },
    load = { r#""load": { "pool": "default", "percent": { "min": 90 } }"#, r#""load": { "pool": "default", "percent": { "min": 80 } }"# },
    repeatable = { r#""repeatable": true"#, r#""teams": []"# },
)]
fn the_narrower_rule_may_come_first_but_not_last(narrow: &str, wide: &str) {
    let narrow = format!(r#"{{ "name": "narrow", "when": {{ {narrow} }}, {RUN} }}"#);
    let wide = format!(r#"{{ "name": "wide", "when": {{ {wide} }}, {RUN} }}"#);
    assert_eq!(problems(&[&narrow, &wide]), "");
    assert!(problems(&[&wide, &narrow]).contains("rule narrow at 1: never reached"));
}

#[test]
fn a_configuration_without_a_pool_that_the_rules_name_is_rejected() {
    let text = r#"[{ "name": "a", "then": { "run": { "pool": "night" } } }]"#;
    let mut configuration = Configuration::default();
    configuration
        .pools
        .insert("night".into(), Default::default());
    let set = source::read(text, &configuration).unwrap();
    let found = check::configuration(&Configuration::default(), &set);
    assert_eq!(found, ["rule a at 0: no pool is named night"]);
    assert!(check::configuration(&configuration, &RuleSet::default()).is_empty());
}

#[test]
fn the_rules_on_the_operators_page_can_be_published() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let (_, rest) = page.split_once("```jsonc\n").unwrap();
    let (text, _) = rest.split_once("```").unwrap();
    let set = source::read(text, &Configuration::default()).unwrap();
    assert_eq!(set.rules.len(), 2);
}
