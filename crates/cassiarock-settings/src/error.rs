//! Errors in settings.

use std::path::PathBuf;

/// Why settings were rejected. Each message names the file, the field and the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read. Check the path and the permissions.
    #[error("{file}: cannot be read: {source}; give a readable file with --settings")]
    Unreadable {
        /// The file as it was given.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON with comments. Correct it at the line and column given.
    #[error("{file}: not JSON with comments: {reason}")]
    Syntax {
        /// The file, or the name given to the text.
        file: String,
        /// The parser's message with line and column.
        reason: String,
    },
    /// A field that these settings do not have, often a misspelling or a field of the
    /// other role. Rename or delete it.
    #[error("{file}: field `{field}`: unknown; {remedy}")]
    Unknown {
        /// The file, or the name given to the text.
        file: String,
        /// The path of the field, joined by dots.
        field: String,
        /// The nearest known name, or the known names.
        remedy: String,
    },
    /// A field is given twice, and it is not clear which value is meant. Delete one.
    #[error("{file}: field `{field}`: given twice; delete one of the two")]
    DuplicateField {
        /// The file, or the name given to the text.
        file: String,
        /// The path of the field, joined by dots.
        field: String,
    },
    /// A field that has no default is not given. Add it.
    #[error("{file}: field `{field}`: missing; add it, docs/SETTINGS.md describes it")]
    Missing {
        /// The file, or the name given to the text.
        file: String,
        /// The path of the field, joined by dots.
        field: String,
    },
    /// A value of the wrong type or format. Write it as the message says.
    #[error("{file}: field `{field}`: {reason}")]
    Type {
        /// The file, or the name given to the text.
        file: String,
        /// The path of the field, joined by dots.
        field: String,
        /// What was expected and what was found.
        reason: String,
    },
    /// A value of the right type that is out of range or conflicts with another field.
    /// Change it as the remedy says.
    #[error("{file}: field `{field}`: {problem}; {remedy}")]
    Range {
        /// The file, or the name given to the text.
        file: String,
        /// The path of the field, joined by dots.
        field: String,
        /// Why the value is invalid.
        problem: String,
        /// What to write instead.
        remedy: String,
    },
}
