//! Reading a rule set from the text of an operator's file: JSON with comments.

use crate::check::{self, Problem};
use crate::{Configuration, Rule, RuleSet};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};

/// Why a text is no rule set to be published. Each tells the line to correct, from 1.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not JSON with comments.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line.
        line: usize,
        /// What the parser met.
        message: String,
    },
    /// The text holds something other than a list of rules in `[` and `]`.
    #[error("the file is not a list of rules")]
    NotAList,
    /// An element of the list is no rule.
    #[error("line {line}: rule at {position}: {source}")]
    Rule {
        /// The line at which it begins.
        line: usize,
        /// Its place in the list, from 0.
        position: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The rules can be read, but cannot be right.
    #[error("{}", join(.0))]
    Problems(Vec<Problem>),
}

/// Reads the rules in `text` and checks them under `configuration`.
///
/// ```
/// use cassiarock_rule::{Configuration, source};
/// let text = r#"[
///   // Everything waits while the lifts stand still.
///   { "name": "wind", "then": { "refuse": { "reason": "" } } },
/// ]"#;
/// let error = source::read(text, &Configuration::default()).unwrap_err();
/// assert_eq!(error.to_string(), "line 3: rule wind at 0: a refusal without reason");
/// ```
///
/// # Errors
/// If the text is no rule set, or one that cannot be right.
pub fn read(text: &str, configuration: &Configuration) -> Result<RuleSet, Error> {
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
            .map_err(|error| Error::Syntax {
                line: error.line_display(),
                message: error.kind().to_string(),
            })?;
    let Some(Value::Array(list)) = parsed.value else {
        return Err(Error::NotAList);
    };
    let mut lines = Vec::new();
    let mut rules = Vec::new();
    for (position, element) in list.elements.into_iter().enumerate() {
        let line = line(text, element.start());
        rules.push(rule(element).map_err(|source| Error::Rule {
            line,
            position,
            source,
        })?);
        lines.push(line);
    }
    checked(RuleSet::new(rules), &lines, configuration)
}

fn checked(set: RuleSet, lines: &[usize], configuration: &Configuration) -> Result<RuleSet, Error> {
    let problems = check::rule_set(&set, configuration);
    if problems.is_empty() {
        return Ok(set);
    }
    let located = problems.into_iter().map(|problem| {
        let line = lines.get(problem.position).copied();
        problem.with_line(line)
    });
    Err(Error::Problems(located.collect()))
}

fn rule(element: Value<'_>) -> Result<Rule, serde_json::Error> {
    serde_json::from_value(serde_json::Value::from(element))
}

fn line(text: &str, offset: usize) -> usize {
    1 + text[..offset].matches('\n').count()
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
