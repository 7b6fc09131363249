//! Reloads the settings while the process runs.

use cassiarock_adapter::Settings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// The pause between two reads of the settings file, which may change without a signal. A read
/// costs a few KB.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings at each SIGHUP and at intervals, and sends the seeds they contain to `seeds`
/// when they have changed. A file that cannot be read changes nothing.
///
/// The first read is at once: the settings may have changed since the process read them at its
/// start, and a SIGHUP received before this function runs has no effect.
pub(crate) async fn reload(file: PathBuf, mut known: Settings, seeds: mpsc::Sender<SocketAddr>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::warn!("cannot handle SIGHUP; the settings are not reloaded");
        return;
    };
    let mut cause = "start";
    loop {
        if let Some(settings) = read_changed(&file, &known, cause) {
            for seed in &settings.seeds {
                // Fails only if the process is ending.
                let _ = seeds.send(*seed).await;
            }
            known = settings;
        }
        cause = tokio::select! {
            _ = hangup.recv() => "SIGHUP",
            () = tokio::time::sleep(CHECK_INTERVAL) => "periodic check",
        };
    }
}

/// Reads the settings, and returns them if they differ from those that are `known`.
fn read_changed(file: &Path, known: &Settings, cause: &str) -> Option<Settings> {
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            log::warn!(cause = cause; "reload: {error}; the settings in force stay");
            return None;
        }
    };
    let changed = changed_fields(known, &settings);
    if cause == "SIGHUP" || settings != *known {
        log::info!(cause = cause, changed = changed; "reload");
    }
    (settings != *known).then_some(settings)
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
