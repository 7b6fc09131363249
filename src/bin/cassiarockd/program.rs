//! The whole program, from arguments to exit code.

use crate::command::{Command, Role, Source, options};
use crate::logging;
use crate::signal::Signals;
use bpaf::{Args, ParseFailure};
use cassiarock_process::{Report, Stage};
use cassiarock_settings::{Agent, Entry};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::sync::watch;

/// Help is wrapped at this many columns.
const WIDTH: usize = 100;

/// The process could not start or serve.
const FAILED: u8 = 1;

/// The command line or the settings are wrong.
const USAGE: u8 = 2;

/// The process ended before all work in flight was done.
const CUT: u8 = 3;

/// What ends the program early; printed on stderr.
type Fault = Box<dyn std::error::Error>;

/// Checked settings of either role.
enum Settings {
    Entry(Entry),
    Agent(Agent),
    /// Of a role on the users' platform.
    Platform(Role, PathBuf, cassiarock_adapter::Settings),
}

/// Runs the daemon with the process's arguments.
pub fn main() -> ExitCode {
    let command = match options().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return turn_away(&failure),
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
        Ok(report) => end(report),
        Err(fault) => {
            eprintln!("cassiarockd: {fault}");
            ExitCode::from(FAILED)
        }
    }
}

fn turn_away(failure: &ParseFailure) -> ExitCode {
    failure.print_message(WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}

fn load(command: &Command) -> Result<Settings, Fault> {
    Ok(match (&command.source, command.role) {
        (Source::Own(file), Role::Entry) => Settings::Entry(Entry::load(file)?),
        (Source::Own(file), Role::Agent) => Settings::Agent(Agent::load(file)?),
        (Source::Platform(file), role) => {
            let settings = cassiarock_adapter::Settings::load(file)?;
            Settings::Platform(role, file.clone(), settings)
        }
    })
}

fn run(settings: Settings) -> Result<Report, Fault> {
    let (_logging, mut runtime) = match &settings {
        Settings::Entry(entry) => (
            logging::start(entry.log_format)?,
            Builder::new_multi_thread(),
        ),
        Settings::Agent(agent) => (
            logging::start(agent.log_format)?,
            Builder::new_multi_thread(),
        ),
        // A process there has a fraction of one core: threads would only take turns.
        Settings::Platform(_, _, platform) => (
            logging::start_bounded(&platform.name)?,
            Builder::new_current_thread(),
        ),
    };
    runtime.enable_all().build()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<Report, Fault> {
    let (ask, asked) = watch::channel(Stage::Run);
    tokio::spawn(Signals::new()?.ask(ask));
    match settings {
        Settings::Entry(settings) => entry(settings, asked).await,
        Settings::Agent(settings) => agent(settings, asked).await,
        Settings::Platform(role, file, settings) => platform(role, file, settings, asked).await,
    }
}

async fn entry(settings: Entry, asked: watch::Receiver<Stage>) -> Result<Report, Fault> {
    let running = cassiarock_entry::Running::start(settings).await?;
    let at = running.addresses();
    log::info!(callers:% = at.callers, peers:% = at.peers, monitor:% = at.monitor; "listening");
    Ok(running.until(asked).await?)
}

async fn agent(settings: Agent, asked: watch::Receiver<Stage>) -> Result<Report, Fault> {
    let running = cassiarock_agent::Running::start(settings).await?;
    log::info!(peers:% = running.peers(), monitor:% = running.monitor(); "listening");
    Ok(running.until(asked).await?)
}

async fn platform(
    role: Role,
    file: PathBuf,
    settings: cassiarock_adapter::Settings,
    asked: watch::Receiver<Stage>,
) -> Result<Report, Fault> {
    log::info!(role:? = role, version = env!("CARGO_PKG_VERSION"), data_centre = &*settings.data_centre, peers:% = settings.peers, store:% = settings.store; "started");
    let ended = match role {
        Role::Entry => cassiarock_dispatch::run_entry(file, settings, asked).await,
        Role::Agent => cassiarock_dispatch::run_agent(file, settings, asked).await,
    };
    Ok(ended.inspect_err(|error| log::error!("ended: {error}"))?)
}

fn end(report: Report) -> ExitCode {
    if report.is_clean() {
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "cassiarockd: cut: {} jobs without an answer, {} tasks",
        report.jobs, report.tasks
    );
    ExitCode::from(CUT)
}
