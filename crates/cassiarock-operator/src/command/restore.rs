//! `restore`: a new start on a truncated log.

use super::{Action, Command, options};
use bpaf::{Parser, construct, long};
use std::path::PathBuf;

/// The rules and the configuration to start over with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Restore {
    /// The file with the rules.
    pub rules: PathBuf,
    /// The file with the configuration.
    pub config: PathBuf,
}

pub fn restore() -> impl Parser<Command> {
    let rules = file("rules", "The rules as JSON with comments");
    let config = file("config", "The configuration as JSON with comments");
    options::subcommand(
        "Start over on a log that has lost its older records and holds no snapshot. Refused \
         while the log can still be read.",
        &[
            "cassiarock restore --rules settings/andes/rules.jsonc --config settings/andes/config.jsonc",
        ],
        construct!(Restore { rules, config }).map(Action::Restore),
    )
    .command("restore")
    .help("Start over on a truncated log")
}

fn file(option: &'static str, help: &'static str) -> impl Parser<PathBuf> {
    long(option).help(help).argument::<PathBuf>("FILE")
}
