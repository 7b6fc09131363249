//! The format of log lines.

use serde::{Deserialize, Serialize};

/// The format of the log lines on stderr.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One line of text with `key=value` pairs, for people.
    #[default]
    Text,
    /// One JSON object per line, for log collectors.
    Json,
}
