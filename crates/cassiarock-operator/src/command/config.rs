//! `config`: the configuration that all processes share.

use super::{Action, Command, options};
use bpaf::{Parser, construct, long, positional};
use std::path::PathBuf;

/// What to do with the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Config {
    /// Show it.
    Show,
    /// Publish a whole file of configuration in place of the one in force.
    Set {
        /// Wait until it is in force.
        wait: bool,
        /// The version that the file was written against; by default the current one.
        based_on: Option<u64>,
        /// The file.
        file: PathBuf,
    },
}

pub fn config() -> impl Parser<Command> {
    let show = show();
    let set = set();
    construct!([show, set])
        .to_options()
        .descr("Look at or change the configuration that all processes share.")
        .footer(options::examples(&["cassiarock config show"]))
        .command("config")
        .help("Show or set the configuration")
}

fn show() -> impl Parser<Command> {
    options::subcommand(
        "Show the configuration in force, with its version.",
        &["cassiarock config show", "cassiarock config show --json"],
        bpaf::pure(Action::Config(Config::Show)),
    )
    .command("show")
    .help("Show the configuration in force")
}

fn set() -> impl Parser<Command> {
    let wait = options::wait();
    let based_on = long("based-on")
        .help("Publish only if this version is still the current one")
        .argument::<u64>("VERSION")
        .optional();
    let file = positional::<PathBuf>("FILE").help("The whole configuration as JSON with comments");
    options::subcommand(
        "Publish a whole file of configuration in place of the one in force.",
        &["cassiarock config set settings/andes/config.jsonc --wait"],
        construct!(Config::Set {
            wait,
            based_on,
            file
        })
        .map(Action::Config),
    )
    .command("set")
    .help("Publish a whole configuration")
}
