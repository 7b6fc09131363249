//! `why`.

use super::{Action, Command, options};
use bpaf::{Parser, construct, positional};
use std::path::PathBuf;

/// A request whose outcome is to be explained from logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Why {
    /// The request's or the job's id.
    pub id: String,
    /// The logs; standard input if there are none.
    pub logs: Vec<PathBuf>,
}

pub fn why() -> impl Parser<Command> {
    let id = positional::<String>("ID").help("The id of the request or of its job");
    let logs = positional::<PathBuf>("LOG")
        .help("Logs of entries and agents; standard input without any")
        .many();
    let why = construct!(Why { id, logs }).map(Action::Why);
    options::subcommand_without_settings(
        "Tell what happened to a request, and why, from the logs of the processes.",
        &[
            "cassiarock why 41a4d7334b5b771b entry-1.log agent-3.log",
            "cassiarock why 41a4d7334b5b771b --json < all.log",
        ],
        why,
    )
    .command("why")
    .help("Explain a request from the logs")
}
