//! Options and help text that the subcommands share.

use crate::{Action, Command};
use bpaf::{Doc, OptionParser, Parser, construct, long};
use std::path::PathBuf;

/// Settings file that is read without `--settings`.
const DEFAULT_SETTINGS: &str = "cassiarock.jsonc";

/// The environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "CASSIAROCK_SETTINGS";

/// Builds a subcommand with the options `--settings` and `--json`.
pub fn subcommand(
    about: &'static str,
    examples: &[&str],
    action: impl Parser<Action> + 'static,
) -> OptionParser<Command> {
    let settings = settings();
    let json = json();
    construct!(Command {
        settings,
        json,
        action
    })
    .to_options()
    .descr(about)
    .footer(self::examples(examples))
}

/// Builds a subcommand that reads no settings of the client, with the option `--json` alone.
pub fn subcommand_without_settings(
    about: &'static str,
    examples: &[&str],
    action: impl Parser<Action> + 'static,
) -> OptionParser<Command> {
    let settings = bpaf::pure(PathBuf::new());
    let json = json();
    construct!(Command {
        settings,
        json,
        action
    })
    .to_options()
    .descr(about)
    .footer(self::examples(examples))
}

/// Formats the help text below the options: one example a line.
pub fn examples(examples: &[&str]) -> Doc {
    let mut doc = Doc::default();
    doc.text("Examples:");
    for example in examples {
        doc.text("\n  ");
        doc.literal(example);
    }
    doc
}

/// Parses `--wait`: a published change is awaited until it is in force.
pub fn wait() -> impl Parser<bool> {
    long("wait")
        .help("Wait until every entry and agent has the new version in force")
        .switch()
}

fn settings() -> impl Parser<PathBuf> {
    long("settings")
        .short('s')
        .env(SETTINGS_VARIABLE)
        .help("Settings file of this client")
        .argument::<PathBuf>("FILE")
        .fallback(PathBuf::from(DEFAULT_SETTINGS))
        .debug_fallback()
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON in place of tables").switch()
}
