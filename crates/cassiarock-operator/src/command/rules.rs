//! `rules`: the ordered rules, of which the first match decides.

use super::{Action, Command, options};
use bpaf::{Parser, construct, long, positional};
use cassiarock_id::Name;
use std::path::PathBuf;

/// What to do with the rules.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Rules {
    /// Show them in order.
    List,
    /// Check a file of rules without publishing it.
    Check {
        /// The configuration to check against; by default the one in force.
        config: Option<PathBuf>,
        /// The file.
        file: PathBuf,
    },
    /// Publish a whole file of rules in place of those in force.
    Publish {
        /// Wait until it is in force.
        wait: bool,
        /// The version that the file was written against; by default the current one.
        based_on: Option<u64>,
        /// The file.
        file: PathBuf,
    },
    /// Insert one rule.
    Insert {
        /// Wait until it is in force.
        wait: bool,
        /// The place in the order, from 1; by default the last.
        at: Option<usize>,
        /// The file with the rule.
        file: PathBuf,
    },
    /// Move a rule to another place.
    Move {
        /// Wait until it is in force.
        wait: bool,
        /// The new place in the order, from 1.
        to: usize,
        /// The rule's name.
        rule: Name,
    },
    /// Delete a rule.
    Delete {
        /// Wait until it is in force.
        wait: bool,
        /// The rule's name.
        rule: Name,
    },
}

pub fn rules() -> impl Parser<Command> {
    let list = list();
    let check = check();
    let publish = publish();
    let insert = insert();
    let move_rule = move_rule();
    let delete = delete();
    construct!([list, check, publish, insert, move_rule, delete])
        .to_options()
        .descr("Look at or change the ordered rules, of which the first match decides.")
        .footer(options::examples(&[
            "cassiarock rules list",
            "cassiarock rules move payments --to 1 --wait",
        ]))
        .command("rules")
        .help("List, check, publish, insert, move or delete rules")
}

fn list() -> impl Parser<Command> {
    options::subcommand(
        "Show the rules in order, with the version in force.",
        &["cassiarock rules list", "cassiarock rules list --json"],
        bpaf::pure(Action::Rules(Rules::List)),
    )
    .command("list")
    .help("Show the rules in order")
}

fn check() -> impl Parser<Command> {
    let config = long("config")
        .help("Check against this configuration file, not the one in force")
        .argument::<PathBuf>("FILE")
        .optional();
    let file = file("The rules as JSON with comments");
    options::subcommand(
        "Check a file of rules without publishing it: unknown pools, rules that can never match, \
         limits that cannot hold.",
        &[
            "cassiarock rules check settings/andes/rules.jsonc --config settings/andes/config.jsonc",
            "cassiarock rules check settings/andes/rules.jsonc",
        ],
        construct!(Rules::Check { config, file }).map(Action::Rules),
    )
    .command("check")
    .help("Check a file of rules")
}

fn publish() -> impl Parser<Command> {
    let wait = options::wait();
    let based_on = long("based-on")
        .help("Publish only if this version is still the current one")
        .argument::<u64>("VERSION")
        .optional();
    let file = file("The rules as JSON with comments");
    options::subcommand(
        "Publish a whole file of rules in place of those in force.",
        &[
            "cassiarock rules publish settings/andes/rules.jsonc --wait",
            "cassiarock rules publish rules.jsonc --based-on 41",
        ],
        construct!(Rules::Publish {
            wait,
            based_on,
            file
        })
        .map(Action::Rules),
    )
    .command("publish")
    .help("Publish a whole file of rules")
}

fn insert() -> impl Parser<Command> {
    let wait = options::wait();
    let at = long("at")
        .help("Place in the order, from 1; the last by default")
        .argument::<usize>("PLACE")
        .guard(|place| *place > 0, "places count from 1")
        .optional();
    let file = file("The rule as JSON with comments");
    options::subcommand(
        "Insert one rule. Give its place: the first rule that matches decides.",
        &["cassiarock rules insert rule.jsonc --at 1 --wait"],
        construct!(Rules::Insert { wait, at, file }).map(Action::Rules),
    )
    .command("insert")
    .help("Insert one rule")
}

fn move_rule() -> impl Parser<Command> {
    let wait = options::wait();
    let to = long("to")
        .help("New place in the order, from 1")
        .argument::<usize>("PLACE")
        .guard(|place| *place > 0, "places count from 1");
    let rule = rule();
    options::subcommand(
        "Move a rule to another place in the order.",
        &["cassiarock rules move payments --to 1"],
        construct!(Rules::Move { wait, to, rule }).map(Action::Rules),
    )
    .command("move")
    .help("Move a rule to another place")
}

fn delete() -> impl Parser<Command> {
    let wait = options::wait();
    let rule = rule();
    options::subcommand(
        "Delete a rule.",
        &["cassiarock rules delete payments --wait"],
        construct!(Rules::Delete { wait, rule }).map(Action::Rules),
    )
    .command("delete")
    .help("Delete a rule")
}

fn file(help: &'static str) -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help(help)
}

fn rule() -> impl Parser<Name> {
    positional::<String>("RULE")
        .help("The rule's name")
        .map(Name::from)
}
