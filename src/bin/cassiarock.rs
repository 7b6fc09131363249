//! The operators' client.

use std::process::ExitCode;

fn main() -> ExitCode {
    cassiarock_operator::main()
}
