//! Deserialization of typed settings, with the path of the field in every error.

use crate::nearest::nearest;
use crate::{Error, parse_jsonc};
use serde::de::DeserializeOwned;
use std::fs;
use std::path::Path;

/// Reads the whole file as UTF-8 text.
pub fn text(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Unreadable {
        file: path.to_path_buf(),
        source,
    })
}

/// Parses JSON with comments into `T`; `file` is named in errors.
pub fn parse<T: DeserializeOwned>(text: &str, file: &str) -> Result<T, Error> {
    let value = parse_jsonc(text, file)?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        classify_error(file, &error.path().to_string(), &error.inner().to_string())
    })
}

/// Converts serde's message into an error with a remedy. It recognises the messages of
/// serde's derive; any other message is passed on unchanged.
fn classify_error(file: &str, path: &str, message: &str) -> Error {
    let file = file.to_owned();
    let quoted: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    if message.starts_with("unknown field") {
        return Error::Unknown {
            file,
            field: field_path(path, quoted.first().copied().unwrap_or_default()),
            remedy: suggest_name(&quoted),
        };
    }
    if message.starts_with("missing field") {
        return Error::Missing {
            file,
            field: field_path(path, quoted.first().copied().unwrap_or_default()),
        };
    }
    Error::Type {
        file,
        field: path.to_owned(),
        reason: message.to_owned(),
    }
}

/// The path of field `name` of the object at `path`. The path of an unknown field
/// already ends with its name.
fn field_path(path: &str, name: &str) -> String {
    if path == "." || path == name {
        return name.to_owned();
    }
    if path.ends_with(&format!(".{name}")) {
        return path.to_owned();
    }
    format!("{path}.{name}")
}

fn suggest_name(quoted: &[&str]) -> String {
    let Some((word, known)) = quoted.split_first() else {
        return "delete it".to_owned();
    };
    match nearest(word, known) {
        Some(name) => format!("did you mean `{name}`? Rename or delete it"),
        None => format!("delete it, the fields here are {}", known.join(", ")),
    }
}
