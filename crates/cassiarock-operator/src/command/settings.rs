//! `settings check`.

use super::{Action, Command, options};
use bpaf::{Parser, construct, long, positional};
use std::path::PathBuf;
use std::str::FromStr;

/// Whose settings a file holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// `cassiarockd entry`.
    Entry,
    /// `cassiarockd agent`.
    Agent,
    /// This client.
    Client,
}

/// Settings files to check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// Whose settings they hold.
    pub role: Role,
    /// The files.
    pub files: Vec<PathBuf>,
}

impl FromStr for Role {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            "client" => Ok(Self::Client),
            _ => Err("expected entry, agent or client"),
        }
    }
}

pub fn settings() -> impl Parser<Command> {
    let check = check();
    construct!([check])
        .to_options()
        .descr("Work with settings files.")
        .footer(options::examples(&[
            "cassiarock settings check --role client settings/andes/client.jsonc",
        ]))
        .command("settings")
        .help("Check settings files")
}

fn check() -> impl Parser<Command> {
    let role = long("role")
        .help("Whose settings: entry, agent or client")
        .argument::<Role>("ROLE");
    let files = positional::<PathBuf>("FILE")
        .help("Settings files")
        .some("name at least one file");
    options::subcommand_without_settings(
        "Check settings files as the process would at its start, without starting it.",
        &[
            "cassiarock settings check --role entry settings/andes/entry.jsonc",
            "cassiarock settings check --role agent settings/iceland/agent.jsonc",
        ],
        construct!(Check { role, files }).map(Action::Check),
    )
    .command("check")
    .help("Check settings files")
}
