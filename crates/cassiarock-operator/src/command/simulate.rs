//! `simulate`.

use super::{Action, Command, leaf};
use bpaf::{Parser, construct, long, positional};
use std::path::PathBuf;

/// Scenarios to play.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Simulate {
    /// A mechanism that is left out.
    pub without: Option<String>,
    /// Whether to leave out each mechanism in turn.
    pub ablate: bool,
    /// The scenarios.
    pub files: Vec<PathBuf>,
}

pub fn simulate() -> impl Parser<Command> {
    let without = long("without")
        .help("Leave one mechanism out, such as `ejection`")
        .argument::<String>("NAME")
        .optional();
    let ablate = long("ablate")
        .help("Leave out each mechanism in turn, and compare")
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
    leaf::bare(
        "Play loads and disturbances against the real decisions, in virtual time.",
        &[
            "cassiarock simulate settings/lab/forum.jsonc",
            "cassiarock simulate --ablate settings/lab/wide.jsonc settings/lab/small.jsonc",
            "cassiarock simulate --without ejection settings/lab/black-hole.jsonc --json",
        ],
        simulate,
    )
    .command("simulate")
    .help("Play a load in virtual time")
}
