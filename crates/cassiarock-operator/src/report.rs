//! The printed result of a command.

use crate::Exit;
use serde::Serialize;
use serde_json::{Value, json};

/// The result of a command as JSON and as text, with its exit code.
#[derive(Clone, Debug)]
pub struct Report {
    /// Printed with `--json`.
    pub json: Value,
    /// Printed without `--json`.
    pub text: String,
    /// How the command ended.
    pub exit: Exit,
}

impl Report {
    /// Creates the report of a command that succeeded.
    ///
    /// ```
    /// use cassiarock_operator::{Exit, Report};
    /// let report = Report::new(&serde_json::json!({ "version": 4 }), "version 4");
    /// assert_eq!(report.exit, Exit::Done);
    /// ```
    pub fn new(json: &impl Serialize, text: impl ToString) -> Self {
        let serialization_error = |error: serde_json::Error| json!({ "error": error.to_string() });
        Self {
            json: serde_json::to_value(json).unwrap_or_else(serialization_error),
            text: text.to_string(),
            exit: Exit::Done,
        }
    }

    /// Replaces the exit code.
    ///
    /// ```
    /// use cassiarock_operator::{Exit, Report};
    /// let report = Report::new(&0, "").with_exit(Exit::Pending);
    /// assert_eq!(report.exit, Exit::Pending);
    /// ```
    #[must_use]
    pub fn with_exit(self, exit: Exit) -> Self {
        Self { exit, ..self }
    }

    /// Returns the text to print.
    ///
    /// ```
    /// use cassiarock_operator::Report;
    /// assert_eq!(Report::new(&[4], "four\n").render(false), "four");
    /// ```
    #[must_use]
    pub fn render(&self, json: bool) -> String {
        if json {
            format!("{:#}", self.json)
        } else {
            self.text.trim_end().to_owned()
        }
    }
}
