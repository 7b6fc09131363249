//! Parsing a rule set from an operator's file of JSON with comments.

use crate::check::{self, Problem};
use crate::{Configuration, Rule, RuleSet};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};

/// Why a text is not a valid rule set. Lines count from 1.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not JSON with comments.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line.
        line: usize,
        /// The message of the parser.
        message: String,
    },
    /// The text is not a list of rules in `[` and `]`.
    #[error("the file is not a list of rules")]
    NotAList,
    /// An element of the list is not a rule.
    #[error("line {line}: rule at {position}: {source}")]
    Rule {
        /// The line at which it begins.
        line: usize,
        /// Its index in the list, from 0.
        position: usize,
        /// Why it cannot be deserialized.
        source: serde_json::Error,
    },
    /// The rules can be parsed but are invalid.
    #[error("{}", join(.0))]
    Problems(Vec<Problem>),
}

/// Parses the rules in `text` and validates them against `configuration`.
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
/// If the text is not a rule set, or the rule set is invalid.
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
    validate(RuleSet::new(rules), &lines, configuration)
}

fn validate(
    set: RuleSet,
    lines: &[usize],
    configuration: &Configuration,
) -> Result<RuleSet, Error> {
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
