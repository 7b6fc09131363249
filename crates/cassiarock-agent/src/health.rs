//! Watches the worker's health.

use crate::actor::Input;
use cassiarock_settings::Health;
use cassiarock_upstream::{Watch, Worker};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Asks the worker again and again, and tells changes of its health, and on `leaving`
/// that it is about to go. A worker counts as unhealthy after several failed checks in a
/// row, because a single late answer is common under load and taking out a busy worker
/// would push its load onto the others; it counts as healthy again after the first good one.
pub(crate) async fn watch(
    worker: Worker,
    settings: Health,
    inputs: mpsc::Sender<Input>,
    leaving: watch::Sender<bool>,
) {
    let mut ticks = interval(settings.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut record = Watch::new(settings.failures);
    let mut reported = None;
    loop {
        ticks.tick().await;
        let health = timeout(settings.timeout, worker.health()).await;
        let health = health.ok().and_then(Result::ok);
        record.check(health.as_ref().is_some_and(|health| health.healthy));
        if health.is_some_and(|health| health.leaving) && !leaving.send_replace(true) {
            log::info!("worker leaving");
        }
        let healthy = record.up() && (reported == Some(true) || record.answered());
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
