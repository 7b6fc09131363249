//! What callers and upstreams may send that is wrong.

use crate::job::{PATIENCE, Reply, completed, submit};
use crate::site::{Site, body};
use serde_json::json;

#[tokio::test]
async fn a_malformed_job_is_answered_with_its_fault_and_hurts_no_other() {
    let site = Site::start(1, 1).await;
    let entry = &site.entries[0];
    let bodies = [
        json!({ "phases": [] }),
        json!({ "phases": [{ "count": "many" }], "bestEffort": true }),
        json!({ "phases": [{ "count": 0 }], "bestEffort": true }),
        json!({ "phases": [{ "count": 1, "dependsOn": [0] }], "bestEffort": true }),
        json!({ "phases": [{ "count": 1_000_000 }], "bestEffort": true }),
        json!(7),
    ];
    for (number, wrong) in bodies.iter().enumerate() {
        let id = format!("{number:016x}");
        let reply = submit(entry, &id, wrong, PATIENCE).await;
        assert_eq!(reply, Reply::Status(400), "{wrong}");
    }
    let other = submit(entry, "not-an-id", &body(1, 20), PATIENCE).await;
    assert_eq!(other, Reply::Status(400));
    let large =
        json!({ "spec": "x".repeat(70_000), "phases": [{ "count": 1 }], "bestEffort": true });
    assert_eq!(
        submit(entry, "00000000000000f0", &large, PATIENCE).await,
        Reply::Status(413)
    );
    let good = submit(entry, "00000000000000f1", &body(1, 20), PATIENCE).await;
    assert_eq!(good, completed());
}

#[tokio::test]
async fn an_unknown_queue_is_answered_404() {
    let site = Site::start(1, 1).await;
    let url = site.entries[0]
        .job("00000000000000f2")
        .replace("/q/", "/unknown/");
    let reply = crate::job::submit_at(&url, "x", &body(1, 20), PATIENCE).await;
    assert_eq!(reply, Reply::Status(404));
}

// Nothing of such a job may start: its caller was told that it was not taken.
#[tokio::test]
async fn a_job_that_would_have_to_be_kept_is_refused_and_never_runs() {
    let site = Site::start(1, 1).await;
    let mut kept = body(1, 20);
    kept["bestEffort"] = json!(false);
    let mut gang = body(2, 20);
    gang["phases"][0]["gang"] = json!(true);
    for (id, job) in [("00000000000000f3", kept), ("00000000000000f4", gang)] {
        let reply = submit(&site.entries[0], id, &job, PATIENCE).await;
        assert_eq!(
            reply,
            Reply::Refused {
                has_retry_after: true
            }
        );
        assert!(!site.witness.has_begun(id));
    }
}

// Another writer's report, with fields missing or of another type, must name no upstream and
// must not take the good one's place.
#[tokio::test]
async fn a_malformed_report_names_no_upstream_and_the_good_one_holds() {
    let site = Site::start(1, 1).await;
    let good = json!({ "service": "tasks", "state": "ready", "sequence": 1, "clockMs": 5,
        "capacity": { "cpu": 16000, "memMb": 100 } });
    for (field, value) in [
        ("state", json!("resting")),
        ("service", json!(7)),
        ("capacity", json!("large")),
        ("capacity", json!({})),
        ("sequence", json!(null)),
    ] {
        let mut report = good.clone();
        report[field] = value;
        let call = site.client.put(site.agents[0].reports("u-9")).json(&report);
        assert_eq!(call.send().await.unwrap().status(), 400, "{report}");
    }
    let call = site
        .client
        .put(site.agents[0].reports("u-9"))
        .body(vec![0xff, 0xfe]);
    assert_eq!(call.send().await.unwrap().status(), 400);
    let reply = submit(&site.entries[0], "00000000000000f5", &body(2, 20), PATIENCE).await;
    assert_eq!(reply, completed());
}
