//! The command line.

mod config;
mod job;
mod options;
mod process;
mod restore;
mod rules;
mod settings;
mod simulate;
mod why;

pub use config::Config;
pub use job::Submit;
pub use process::{Drain, Explain};
pub use restore::Restore;
pub use rules::Rules;
pub use settings::{Check, Role};
pub use simulate::Simulate;
pub use why::Why;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct};
use cassiarock_id::Job;
use std::path::PathBuf;

/// A parsed command line.
#[derive(Clone, Debug)]
pub struct Command {
    /// The client's settings file.
    pub settings: PathBuf,
    /// Whether to print JSON in place of tables.
    pub json: bool,
    /// The subcommand with its arguments.
    pub action: Action,
}

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub enum Action {
    /// Submit a job and wait for its answer.
    Submit(Submit),
    /// Cancel a job.
    Cancel(Job),
    /// Show or change the ordered rules.
    Rules(Rules),
    /// Show or change the configuration.
    Config(Config),
    /// Start over on a truncated log.
    Restore(Restore),
    /// List the upstreams that have announced themselves.
    Upstreams,
    /// Take an upstream out of service, or put it back.
    Drain(Drain),
    /// Show every process's state.
    Status,
    /// Ask which rule decides a request, and why.
    Explain(Explain),
    /// Explain from logs what happened to a request.
    Why(Why),
    /// Simulate loads in virtual time.
    Simulate(Simulate),
    /// Check settings files.
    Check(Check),
}

impl Command {
    /// Parses the arguments after the program's name. The failure carries the text to
    /// print: help on stdout, or what is wrong.
    ///
    /// ```
    /// use cassiarock_operator::{Action, Command};
    /// let command = Command::parse(&["status", "--json"]).unwrap();
    /// assert!(command.json);
    /// assert!(matches!(command.action, Action::Status));
    /// ```
    pub fn parse(arguments: &[&str]) -> Result<Self, ParseFailure> {
        Self::options().run_inner(Args::from(arguments).set_name("cassiarock"))
    }

    /// The parser of the whole command line.
    ///
    /// ```
    /// use cassiarock_operator::Command;
    /// let help = Command::options().run_inner(&["--help"]).unwrap_err().unwrap_stdout();
    /// assert!(help.contains("cassiarock rules list"));
    /// ```
    #[must_use]
    pub fn options() -> OptionParser<Self> {
        let submit = job::submit();
        let cancel = job::cancel();
        let rules = rules::rules();
        let config = config::config();
        let restore = restore::restore();
        let upstreams = process::upstreams();
        let drain = process::drain();
        let status = process::status();
        let explain = process::explain();
        let why = why::why();
        let simulate = simulate::simulate();
        let settings = settings::settings();
        construct!([
            submit, cancel, rules, config, restore, upstreams, drain, status, explain, why,
            simulate, settings
        ])
        .to_options()
        .descr("The operators' client of cassiarock.")
        .footer(options::examples(&[
            "cassiarock status",
            "cassiarock rules list --json",
            "cassiarock submit job.jsonc --settings settings/andes/client.jsonc",
        ]))
        .version(env!("CARGO_PKG_VERSION"))
    }
}
