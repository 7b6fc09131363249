//! `upstreams`, `drain`, `status` and `explain`.

use super::{Action, Command, options};
use bpaf::{Parser, construct, long, positional};
use cassiarock_id::Name;

/// An upstream to take out of service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Drain {
    /// Put it back into service instead.
    pub undo: bool,
    /// Ignore the limit on the share of a pool that may be leaving.
    pub force: bool,
    /// Wait until the change is in force.
    pub wait: bool,
    /// The agent's name.
    pub agent: Name,
}

/// A request whose matching rule is to be explained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explain {
    /// The kind of request.
    pub kind: Name,
    /// The team that submits it.
    pub team: Name,
    /// How many tasks it has.
    pub tasks: u32,
    /// Cores that each task declares.
    pub cores: u32,
    /// Memory that each task declares, in MB.
    pub memory_mb: u32,
    /// Accelerators that each task declares.
    pub accelerators: u32,
    /// Whether its tasks may be started more than once.
    pub repeatable: bool,
}

pub fn upstreams() -> impl Parser<Command> {
    options::subcommand(
        "List the upstreams that have announced themselves, with their pools and places.",
        &["cassiarock upstreams", "cassiarock upstreams --json"],
        bpaf::pure(Action::Upstreams),
    )
    .command("upstreams")
    .help("List the upstreams")
}

pub fn drain() -> impl Parser<Command> {
    let undo = long("undo").help("Put it back into service").switch();
    let force = long("force")
        .help("Ignore the limit on the share of a pool that may be leaving")
        .switch();
    let wait = options::wait();
    let agent = positional::<String>("AGENT")
        .help("The name of the upstream's agent")
        .map(Name::from);
    options::subcommand(
        "Take an upstream out of service: it gets no new tasks and finishes those it has.",
        &[
            "cassiarock drain agent-3 --wait",
            "cassiarock drain agent-3 --undo",
        ],
        construct!(Drain {
            undo,
            force,
            wait,
            agent
        })
        .map(Action::Drain),
    )
    .command("drain")
    .help("Take an upstream out of service, or put it back")
}

pub fn status() -> impl Parser<Command> {
    options::subcommand(
        "Show every process: versions in force, work in flight, draining or out of reach.",
        &["cassiarock status", "cassiarock status --json"],
        bpaf::pure(Action::Status),
    )
    .command("status")
    .help("Show every process's state")
}

pub fn explain() -> impl Parser<Command> {
    let kind = name("kind", "Kind of the request");
    let team = name("team", "Team that submits it");
    let tasks = count("tasks", "Number of tasks", 1);
    let cores = count("cores", "Cores that each task declares", 0);
    let memory_mb = count("memory-mb", "Memory that each task declares, in MB", 0);
    let accelerators = count("accelerators", "Accelerators that each task declares", 0);
    let repeatable = long("repeatable")
        .help("Its tasks may be started more than once")
        .switch();
    options::subcommand(
        "Ask an entry which rule decides such a request, and why the earlier ones do not.",
        &["cassiarock explain --kind seat-check --team andes --tasks 40"],
        construct!(Explain {
            kind,
            team,
            tasks,
            cores,
            memory_mb,
            accelerators,
            repeatable
        })
        .map(Action::Explain),
    )
    .command("explain")
    .help("Ask which rule decides a request, and why")
}

fn name(option: &'static str, help: &'static str) -> impl Parser<Name> {
    long(option)
        .help(help)
        .argument::<String>("NAME")
        .map(Name::from)
}

fn count(option: &'static str, help: &'static str, default: u32) -> impl Parser<u32> {
    long(option)
        .help(help)
        .argument::<u32>("COUNT")
        .fallback(default)
        .display_fallback()
}
