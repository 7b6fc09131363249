//! Entry point of the daemon, from arguments to exit code.

use crate::command::{Command, Role, Source, options};
use crate::logging;
use crate::signal::{Signals, Supervisor};
use bpaf::{Args, ParseFailure};
use cassiarock_process::{Report, Stage};
use cassiarock_settings::{Agent, Entry};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::sync::watch;

/// Width at which help is wrapped, in columns.
const HELP_WIDTH: usize = 100;

/// Exit code: the process failed to start or to serve.
const FAILED: u8 = 1;

/// Exit code: the command line or the settings are invalid.
const USAGE: u8 = 2;

/// Exit code: the process ended before all work in flight was done.
const INCOMPLETE: u8 = 3;

/// An error that ends the program; printed on stderr.
type BoxedError = Box<dyn std::error::Error>;

/// Checked settings of either role.
enum Settings {
    Entry(Entry),
    Agent(Agent),
    /// Settings of a role on the users' platform, with their file.
    Platform(Role, PathBuf, cassiarock_adapter::Settings),
}

impl Settings {
    const fn supervisor(&self) -> Supervisor {
        match self {
            Self::Entry(_) | Self::Agent(_) => Supervisor::Native,
            Self::Platform(..) => Supervisor::Platform,
        }
    }
}

/// Runs the daemon with the process's arguments.
pub fn main() -> ExitCode {
    let command = match options().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(&failure),
    };
    let settings = match load(&command) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("cassiarockd: {error}");
            return ExitCode::from(USAGE);
        }
    };
    if command.check {
        println!("{}: ok", command.source.file().display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(report) => exit_code(report),
        Err(fault) => {
            eprintln!("cassiarockd: {fault}");
            ExitCode::from(FAILED)
        }
    }
}

fn print_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}

fn load(command: &Command) -> Result<Settings, BoxedError> {
    Ok(match (&command.source, command.role) {
        (Source::Native(file), Role::Entry) => Settings::Entry(Entry::load(file)?),
        (Source::Native(file), Role::Agent) => Settings::Agent(Agent::load(file)?),
        (Source::Platform(file), role) => {
            let settings = cassiarock_adapter::Settings::load(file)?;
            Settings::Platform(role, file.clone(), settings)
        }
    })
}

fn run(settings: Settings) -> Result<Report, BoxedError> {
    let (_logging, mut runtime) = match &settings {
        Settings::Entry(entry) => (
            logging::start(entry.log_format)?,
            Builder::new_multi_thread(),
        ),
        Settings::Agent(agent) => (
            logging::start(agent.log_format)?,
            Builder::new_multi_thread(),
        ),
        // A process there has a fraction of one core, so more threads would bring no parallelism.
        Settings::Platform(_, _, platform) => (
            logging::start_bounded(&platform.name)?,
            Builder::new_current_thread(),
        ),
    };
    runtime.enable_all().build()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<Report, BoxedError> {
    let (stage_sender, stage) = watch::channel(Stage::Run);
    tokio::spawn(Signals::new(settings.supervisor())?.forward(stage_sender));
    match settings {
        Settings::Entry(settings) => entry(settings, stage).await,
        Settings::Agent(settings) => agent(settings, stage).await,
        Settings::Platform(role, file, settings) => platform(role, file, settings, stage).await,
    }
}

async fn entry(settings: Entry, stage: watch::Receiver<Stage>) -> Result<Report, BoxedError> {
    let running = cassiarock_entry::Running::start(settings).await?;
    let at = running.addresses();
    log::info!(callers:% = at.callers, peers:% = at.peers, monitor:% = at.monitor; "listening");
    Ok(running.until(stage).await?)
}

async fn agent(settings: Agent, stage: watch::Receiver<Stage>) -> Result<Report, BoxedError> {
    let running = cassiarock_agent::Running::start(settings).await?;
    log::info!(peers:% = running.peers(), monitor:% = running.monitor(); "listening");
    Ok(running.until(stage).await?)
}

async fn platform(
    role: Role,
    file: PathBuf,
    settings: cassiarock_adapter::Settings,
    stage: watch::Receiver<Stage>,
) -> Result<Report, BoxedError> {
    log::info!(role:? = role, version = env!("CARGO_PKG_VERSION"), data_centre = &*settings.data_centre, peers:% = settings.peers, store:% = settings.store; "started");
    let ended = match role {
        Role::Entry => cassiarock_dispatch::run_entry(file, settings, stage).await,
        Role::Agent => cassiarock_dispatch::run_agent(file, settings, stage).await,
    };
    Ok(ended.inspect_err(|error| log::error!("ended: {error}"))?)
}

fn exit_code(report: Report) -> ExitCode {
    if report.is_clean() {
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "cassiarockd: cut: {} jobs without an answer, {} tasks",
        report.jobs, report.tasks
    );
    ExitCode::from(INCOMPLETE)
}
