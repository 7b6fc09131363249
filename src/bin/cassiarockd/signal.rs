//! Translation of signals to shutdown stages.

use cassiarock_process::Stage;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// The signals that end the process. They are caught from its start, since one that arrives
/// before the process serves would otherwise kill it without a log line.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Requests a drain at the first signal and a stop at the second.
    pub async fn forward(mut self, stage: watch::Sender<Stage>) {
        self.next().await;
        log::info!("signal: drain");
        stage.send_replace(Stage::Drain);
        self.next().await;
        log::warn!("second signal: stop");
        stage.send_replace(Stage::Stop);
        // Keeps the sender alive: the process takes a dropped sender as the end of the program.
        std::future::pending::<()>().await;
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
