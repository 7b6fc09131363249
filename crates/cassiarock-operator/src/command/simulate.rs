//! `simulate`.

use super::{Action, Command, options};
use bpaf::{Parser, construct, long, positional};
use std::path::PathBuf;

/// Scenarios to simulate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Simulate {
    /// A mechanism to disable.
    pub without: Option<String>,
    /// Whether to disable each mechanism in turn.
    pub ablate: bool,
    /// The scenario files.
    pub files: Vec<PathBuf>,
}

pub fn simulate() -> impl Parser<Command> {
    let without = long("without")
        .help("Disable one mechanism, such as `ejection`")
        .argument::<String>("NAME")
        .optional();
    let ablate = long("ablate")
        .help("Disable each mechanism in turn, and compare")
        .switch();
    let files = positional::<PathBuf>("FILE")
        .help("Scenarios, as in settings/lab")
        .some("name a scenario, such as settings/lab/forum.jsonc");
    let simulate = construct!(Simulate {
        without,
        ablate,
        files
    })
    .map(Action::Simulate);
    options::subcommand_without_settings(
        "Simulate loads and failures with the decision code of the processes, in virtual time.",
        &[
            "cassiarock simulate settings/lab/forum.jsonc",
            "cassiarock simulate --ablate settings/lab/wide.jsonc settings/lab/small.jsonc",
            "cassiarock simulate --without ejection settings/lab/black-hole.jsonc --json",
        ],
        simulate,
    )
    .command("simulate")
    .help("Simulate a load in virtual time")
}
