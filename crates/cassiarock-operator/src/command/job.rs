//! `submit` and `cancel`.

use super::{Action, Command, options};
use bpaf::{Parser, construct, long, positional};
use cassiarock_id::Job;
use std::path::PathBuf;

/// A job to submit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submit {
    /// Return as soon as the job is accepted.
    pub detach: bool,
    /// The file with the job, `-` for stdin.
    pub file: PathBuf,
}

pub fn submit() -> impl Parser<Command> {
    let detach = long("detach")
        .help("Return as soon as the job is accepted")
        .switch();
    let file = positional::<PathBuf>("FILE").help("The job as JSON with comments, - for stdin");
    let action = construct!(Submit { detach, file }).map(Action::Submit);
    options::subcommand(
        "Submit a job and print its answer. A file without an id gets a new one, printed on \
         stderr; the same id may be submitted again without a second start.",
        &[
            "cassiarock submit settings/andes/job.jsonc",
            "cassiarock submit - --json",
            "cassiarock submit job.jsonc --detach",
        ],
        action,
    )
    .command("submit")
    .help("Submit a job and print its answer")
}

pub fn cancel() -> impl Parser<Command> {
    let job = positional::<Job>("JOB").help("The job's id");
    let action = job.map(Action::Cancel);
    options::subcommand(
        "Cancel a job, and print which of its tasks ran and which never will.",
        &["cassiarock cancel 019b2f4e-7a00-7000-8000-000000000001"],
        action,
    )
    .command("cancel")
    .help("Cancel a job")
}
