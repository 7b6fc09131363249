//! Reloads the settings while the process runs.

use cassiarock_adapter::Settings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// The pause between two reads of the settings file, which may change without a signal. A read
/// costs a few KB.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings at each SIGHUP and at intervals, and sends the seeds they contain to `seeds`
/// when they have changed. A file that cannot be read changes nothing.
pub(crate) async fn reload(file: PathBuf, mut known: Settings, seeds: mpsc::Sender<SocketAddr>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::warn!("cannot handle SIGHUP; the settings are not reloaded");
        return;
    };
    loop {
        let cause = tokio::select! {
            _ = hangup.recv() => "SIGHUP",
            () = tokio::time::sleep(CHECK_INTERVAL) => "periodic check",
        };
        let settings = match Settings::load(&file) {
            Ok(settings) => settings,
            Err(error) => {
                log::warn!(cause = cause; "reload: {error}; the settings in force stay");
                continue;
            }
        };
        if settings == known {
            if cause == "SIGHUP" {
                log::info!(cause = cause, changed = ""; "reload");
            }
            continue;
        }
        log::info!(cause = cause, changed = changed_fields(&known, &settings); "reload");
        for seed in &settings.seeds {
            // Fails only if the process is ending.
            let _ = seeds.send(*seed).await;
        }
        known = settings;
    }
}

/// The names of the fields that differ, separated by commas. Seeds take effect at once, the other
/// fields at the next start.
fn changed_fields(before: &Settings, after: &Settings) -> String {
    let fields = [
        ("seeds", before.seeds != after.seeds),
        ("store", before.store != after.store),
        ("upstream", before.upstream != after.upstream),
        ("peers", before.peers != after.peers),
        ("callers", before.callers != after.callers),
        ("grace", before.grace != after.grace),
    ];
    let changed = fields.iter().filter(|(_, differs)| *differs);
    let names: Vec<&str> = changed.map(|(name, _)| *name).collect();
    names.join(",")
}
