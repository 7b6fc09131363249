//! Tests of `why`: explaining a request from log lines.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_operator::{LogLine, RequestTrace};

const LOG: &str = r#"
4.1 entry-1 {"at":"2026-01-01T00:00:04.100Z","what":"admitted","request":"r-1","job":"j-1","queue":"0"}
not a line at all
4.2 agent-3 {"at":"2026-01-01T00:00:04.200Z","what":"order","request":"r-1","job":"j-1","tasks":"2"}
4.9 agent-3 {"at":"2026-01-01T00:00:04.900Z","what":"ended","request":"r-1","job":"j-1","end":"Failed","ran_ms":"20","expected_ms":"60"}
4.3 entry-1 {"at":"2026-01-01T00:00:04.300Z","what":"admitted","request":"r-2","job":"j-2"}
4.95 entry-1 {"at":"2026-01-01T00:00:04.950Z","what":"failed","request":"r-1","job":"j-1","reason":"a task failed too often","age_ms":"850","not_done":"1","tasks":"2"}
9.0 entry-2 {"at":"2026-01-01T00:00:09.000Z","what":"link lost"}
"#;

#[test]
fn lines_of_all_processes_are_sorted_by_time() {
    let trace = RequestTrace::new("r-1", LOG.lines()).unwrap();
    let kinds: Vec<&str> = trace.lines.iter().map(|line| line.what.as_str()).collect();
    assert_eq!(kinds, ["admitted", "order", "ended", "failed"]);
}

#[test]
fn a_job_is_found_by_its_own_id_as_well() {
    let by_request = RequestTrace::new("r-1", LOG.lines()).unwrap();
    let by_job = RequestTrace::new("j-1", LOG.lines()).unwrap();
    assert_eq!(by_request.cause, by_job.cause);
}

#[test]
fn the_cause_names_the_decision_and_what_led_to_it() {
    let trace = RequestTrace::new("r-1", LOG.lines()).unwrap();
    assert!(trace.cause.contains("a task failed too often"), "{trace}");
    assert!(
        trace.cause.contains("ended as Failed at agent-3"),
        "{trace}"
    );
}

#[test]
fn a_missing_outcome_is_reported() {
    let trace = RequestTrace::new("r-2", LOG.lines()).unwrap();
    assert!(
        trace.cause.contains("no outcome is logged: entry-1"),
        "{trace}"
    );
}

#[test]
fn an_unknown_id_has_no_trace() {
    assert!(RequestTrace::new("r-3", LOG.lines()).is_none());
}

#[test]
fn a_line_without_a_process_takes_the_one_in_its_prefix() {
    let line = LogLine::parse(r#"4.1 entry-1 {"what":"x","at":"t"}"#).unwrap();
    assert_eq!(line.process, "entry-1");
    let line = LogLine::parse(r#"4.1 host {"what":"x","process":"entry-2"}"#).unwrap();
    assert_eq!(line.process, "entry-2");
}
