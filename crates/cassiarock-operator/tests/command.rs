//! Tests of the command line: help, examples, parsing.

use bpaf::ParseFailure;
use cassiarock_operator::{Action, Command, Rules};
use yare::parameterized;

/// Returns the help of the subcommand at `path`.
fn help(path: &[&str]) -> String {
    let arguments = [path, &["--help"]].concat();
    match Command::parse(&arguments) {
        Err(ParseFailure::Stdout(doc, _)) => doc.monochrome(true),
        other => panic!("{path:?} has no help: {other:?}"),
    }
}

/// Returns the lines under `Examples:`, without the program's name.
fn examples(help: &str) -> Vec<Vec<&str>> {
    help.lines()
        .skip_while(|line| !line.contains("Examples:"))
        .filter_map(|line| line.trim().strip_prefix("cassiarock "))
        .map(|line| line.split_whitespace().collect())
        .collect()
}

/// Returns the subcommands that a help text lists.
fn subcommands(help: &str) -> Vec<&str> {
    help.lines()
        .skip_while(|line| !line.starts_with("Available commands"))
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_whitespace().next())
        .collect()
}

#[test]
fn every_subcommand_shows_examples_that_parse() {
    let mut pending: Vec<Vec<String>> = vec![Vec::new()];
    let mut leaves = 0;
    while let Some(path) = pending.pop() {
        let words: Vec<&str> = path.iter().map(String::as_str).collect();
        let help = help(&words);
        let examples = examples(&help);
        assert!(!examples.is_empty(), "{path:?} shows no example:\n{help}");
        for example in examples {
            assert!(
                example.starts_with(&words),
                "{example:?} is not an example of {path:?}"
            );
            assert!(
                Command::parse(&example).is_ok(),
                "{example:?} does not parse"
            );
        }
        let children = subcommands(&help);
        leaves += usize::from(children.is_empty());
        pending.extend(
            children
                .iter()
                .map(|name| [path.clone(), vec![(*name).to_owned()]].concat()),
        );
    }
    assert_eq!(leaves, 18, "the walk over the help missed subcommands");
}

#[parameterized(
    nothing = { &[] },
    no_such_command = { &["rule"] },
    no_file = { &["submit"] },
    no_job_id = { &["cancel", "7"] },
    place_zero = { &["rules", "move", "payments", "--to", "0"] },
    unknown_option = { &["status", "--jsn"] },
    unknown_role = { &["settings", "check", "--role", "keeper", "a.jsonc"] },
)]
fn an_invalid_command_line_is_rejected(arguments: &[&str]) {
    assert!(matches!(
        Command::parse(arguments),
        Err(ParseFailure::Stderr(_))
    ));
}

#[test]
fn options_may_follow_the_operand() {
    let command = Command::parse(&["rules", "move", "payments", "--to", "2", "--json"]).unwrap();
    let Action::Rules(Rules::Move { wait, to, rule }) = command.action else {
        panic!("not a move: {command:?}");
    };
    assert_eq!(
        (wait, to, &*rule, command.json),
        (false, 2, "payments", true)
    );
}
