//! Detection of parts of a process that have ended.
//!
//! Guards against a process that hangs after its actor panics on a bad input. The panic ends only
//! the part's own task; unless that is observed, the process keeps listening and answering the
//! load balancer's health check, but decides on no job until it is killed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_process::Parts;
use std::future::pending;
use std::time::Duration;
use tokio::time::timeout;

const SOON: Duration = Duration::from_millis(200);

#[tokio::test]
async fn a_panic_in_any_part_is_a_fault_with_the_name_of_the_part() {
    let mut parts = Parts::default();
    parts.spawn("the listener", pending());
    parts.spawn("the follower", async {
        std::panic::resume_unwind(Box::new("a bad record"));
    });
    let fault = timeout(SOON, parts.fault()).await.unwrap();
    assert!(fault.to_string().contains("the follower"), "{fault}");
}

#[tokio::test]
async fn the_end_of_a_vital_part_is_a_fault() {
    let mut parts = Parts::default();
    parts.spawn("the listener", pending());
    parts.spawn_vital("the actor", async {});
    let fault = timeout(SOON, parts.fault()).await.unwrap();
    assert!(fault.to_string().contains("the actor"), "{fault}");
}

#[tokio::test]
async fn the_end_of_a_part_that_has_done_its_work_is_none() {
    let mut parts = Parts::default();
    parts.spawn("the announcement", async {});
    assert!(timeout(SOON, parts.fault()).await.is_err());
}

#[tokio::test]
async fn parts_that_are_shut_down_are_no_fault() {
    let mut parts = Parts::default();
    parts.spawn_vital("the actor", pending());
    parts.shutdown().await;
    assert!(timeout(SOON, parts.fault()).await.is_err());
}
