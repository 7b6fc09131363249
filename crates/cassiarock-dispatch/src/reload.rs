//! Settings that change while the process runs.

use cassiarock_adapter::Settings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// The file may change without a signal; looking costs one read of a few KB.
const LOOK: Duration = Duration::from_secs(2);

/// Reads the settings again at each SIGHUP and now and then, and tells the entries that they
/// name. A file that cannot be read changes nothing.
pub(crate) async fn reload(file: PathBuf, mut known: Settings, seeds: mpsc::Sender<SocketAddr>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::warn!("SIGHUP cannot be caught; the settings are read every two seconds");
        return;
    };
    loop {
        let cause = tokio::select! {
            _ = hangup.recv() => "SIGHUP",
            () = tokio::time::sleep(LOOK) => "a look",
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
        log::info!(cause = cause, changed = changed(&known, &settings); "reload");
        for seed in &settings.seeds {
            // The process may be ending.
            let _ = seeds.send(*seed).await;
        }
        known = settings;
    }
}

/// The fields that differ. Only the seeds take effect at once, the others at the next start.
fn changed(before: &Settings, after: &Settings) -> String {
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
