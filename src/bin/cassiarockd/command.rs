//! The command line.

use bpaf::{Doc, OptionParser, Parser, construct, long};
use std::path::{Path, PathBuf};

/// The kind of process to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Accepts jobs from callers and places their tasks.
    Entry,
    /// Controls one upstream.
    Agent,
}

/// A parsed command line.
#[derive(Clone, Debug)]
pub struct Command {
    /// Which process to run.
    pub role: Role,
    /// Whether to check the settings and exit.
    pub check: bool,
    /// The settings file.
    pub source: Source,
}

/// Where the settings come from.
#[derive(Clone, Debug)]
pub enum Source {
    /// A file of this project: JSON with comments.
    Native(PathBuf),
    /// The file that the users' platform writes for each process, in its own format.
    Platform(PathBuf),
}

impl Source {
    /// Returns the path of the file.
    pub fn file(&self) -> &Path {
        match self {
            Self::Native(file) | Self::Platform(file) => file,
        }
    }
}

/// The parser of the whole command line.
pub fn options() -> OptionParser<Command> {
    let entry = role(
        Role::Entry,
        "entry",
        "Run an entry: it accepts jobs from callers and places their tasks",
        &[
            "cassiarockd entry --settings settings/andes/entry.jsonc",
            "cassiarockd entry --settings settings/andes/entry.jsonc --check",
            "cassiarockd entry --platform settings/platform/entry.toml",
        ],
    );
    let agent = role(
        Role::Agent,
        "agent",
        "Run an agent: it controls the one upstream beside it",
        &[
            "cassiarockd agent --settings settings/andes/agent.jsonc",
            "cassiarockd agent --settings settings/iceland/agent.jsonc --check",
            "cassiarockd agent --platform settings/platform/agent.toml",
        ],
    );
    construct!([entry, agent])
        .to_options()
        .descr("The daemon of cassiarock, a dispatcher for sub-second tasks.")
        .header(
            "SIGTERM drains: nothing new is taken, what is in flight is finished. A second \
             SIGTERM, or the setting drain_limit, ends it at once and says what was cut. With \
             --platform a repeated SIGTERM changes nothing; SIGINT after it ends it at once.",
        )
        .footer(example_list(&[
            "cassiarockd entry --settings settings/andes/entry.jsonc",
            "cassiarockd agent --settings settings/andes/agent.jsonc",
        ]))
        .version(env!("CARGO_PKG_VERSION"))
}

fn role(
    role: Role,
    name: &'static str,
    about: &'static str,
    examples: &[&str],
) -> impl Parser<Command> + use<> {
    let settings = long("settings")
        .short('s')
        .help("Settings file, JSON with comments")
        .argument::<PathBuf>("FILE")
        .map(Source::Native);
    let platform = long("platform")
        .help("Settings file of the users' platform, in the platform's format")
        .argument::<PathBuf>("FILE")
        .map(Source::Platform);
    let source = construct!([settings, platform]);
    let check = long("check").help("Check the settings and exit").switch();
    let role = bpaf::pure(role);
    construct!(Command {
        role,
        check,
        source
    })
    .to_options()
    .descr(about)
    .footer(example_list(examples))
    .command(name)
    .help(about)
}

fn example_list(examples: &[&str]) -> Doc {
    let mut doc = Doc::default();
    doc.text("Examples:");
    for example in examples {
        doc.text("\n  ");
        doc.literal(example);
    }
    doc
}
