//! Translation of signals to shutdown stages.

use cassiarock_process::Stage;
use std::io;
use std::time::Instant;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Who runs the process, and with it what signals mean.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Supervisor {
    /// An operator or a service manager: a second SIGTERM stops the process. There is nothing to
    /// reload, so SIGHUP changes nothing.
    Native,
    /// The users' platform: it may repeat SIGTERM, and enforces the end itself with SIGKILL. SIGHUP
    /// is left to the reload of settings.
    Platform,
}

/// A signal that asks the process to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Terminate,
    Interrupt,
}

impl Supervisor {
    /// Whether `end` stops a process that is already draining.
    const fn is_stop(self, end: End) -> bool {
        matches!((self, end), (Self::Native, _) | (_, End::Interrupt))
    }
}

/// The signals that the process handles. They are caught from its start, since one that arrives
/// before the process serves would otherwise kill it without a log line.
#[derive(Debug)]
pub struct Signals {
    supervisor: Supervisor,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub fn new(supervisor: Supervisor) -> io::Result<Self> {
        // A process that drains on SIGTERM must not be killed by SIGHUP, so that handler is first.
        let hangup = signal(SignalKind::hangup())?;
        Ok(Self {
            supervisor,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup,
        })
    }

    /// Requests a drain at the first signal and a stop at a later one that stops the process.
    pub async fn forward(mut self, stage: watch::Sender<Stage>) {
        self.next().await;
        log::info!("signal: drain");
        stage.send_replace(Stage::Drain);
        let started = Instant::now();
        while !self.supervisor.is_stop(self.next().await) {
            log::warn!(leaving_ms = started.elapsed().as_millis(); "SIGTERM: already leaving, ignored");
        }
        log::warn!("second signal: stop");
        stage.send_replace(Stage::Stop);
        // Keeps the sender alive: the process takes a dropped sender as the end of the program.
        std::future::pending::<()>().await;
    }

    async fn next(&mut self) -> End {
        let is_hangup_ignored = self.supervisor == Supervisor::Native;
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return End::Terminate,
                _ = self.interrupt.recv() => return End::Interrupt,
                _ = self.hangup.recv(), if is_hangup_ignored => {
                    log::info!("SIGHUP: ignored, settings are read only at the start");
                }
            }
        }
    }
}
