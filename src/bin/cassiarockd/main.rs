//! The daemon: runs an entry or an agent, as the first argument says.

mod command;
mod logging;
mod program;
mod signal;

use std::process::ExitCode;

fn main() -> ExitCode {
    program::main()
}
