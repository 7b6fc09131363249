//! Checks the upstream's health.

use crate::actor::Input;
use cassiarock_settings::Health;
use cassiarock_upstream::{UpstreamClient, WorkerHealth};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Checks the upstream's health at an interval and reports changes to the actor. Sets `leaving`
/// when the upstream says that it is about to shut down. An upstream counts as unhealthy after
/// several failed checks in a row, because a single late answer is common under load and taking
/// out a busy upstream would push its load onto the others. It counts as healthy again after
/// the first successful check.
pub(crate) async fn watch(
    worker: UpstreamClient,
    settings: Health,
    inputs: mpsc::Sender<Input>,
    leaving: watch::Sender<bool>,
) {
    let mut ticks = interval(settings.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut record = WorkerHealth::new(settings.failures);
    let mut reported = None;
    loop {
        ticks.tick().await;
        let health = timeout(settings.timeout, worker.health()).await;
        let health = health.ok().and_then(Result::ok);
        record.record_check(health.as_ref().is_some_and(|health| health.healthy));
        if health.is_some_and(|health| health.leaving) && !leaving.send_replace(true) {
            log::info!("worker leaving");
        }
        let healthy = record.is_up() && (reported == Some(true) || record.has_passed_last_check());
        if reported == Some(healthy) {
            continue;
        }
        log::info!(healthy = healthy; "worker");
        reported = Some(healthy);
        if inputs.send(Input::Health(healthy)).await.is_err() {
            return;
        }
    }
}
