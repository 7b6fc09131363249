//! Entry point of the client, from arguments to exit code.

use crate::{Command, Exit, run};
use bpaf::ParseFailure;
use std::io::Write;
use std::process::ExitCode;

/// Width at which help is wrapped, in columns.
const HELP_WIDTH: usize = 100;

/// Runs the client with the process's arguments. Results go to stdout, everything else
/// to stderr.
#[must_use]
pub fn main() -> ExitCode {
    let exit = match Command::options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => execute(&command),
        Err(failure) => print_parse_failure(&failure),
    };
    ExitCode::from(exit.code())
}

fn print_parse_failure(failure: &ParseFailure) -> Exit {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => Exit::Usage,
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
    }
}

fn execute(command: &Command) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run(command)),
        Err(error) => {
            eprintln!("cassiarock: start: {error}");
            return Exit::Failed;
        }
    };
    match outcome {
        Ok(report) => {
            // A closed pipe, as with `head`, is not a failure of the command.
            let _ = writeln!(std::io::stdout(), "{}", report.render(command.json));
            report.exit
        }
        Err(error) => {
            eprintln!("cassiarock: {error}");
            error.exit()
        }
    }
}
