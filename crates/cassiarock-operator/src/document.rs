//! Input files in JSON with comments.

use crate::Error;
use cassiarock_settings::parse_jsonc;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;

/// The name that stands for stdin.
const STDIN: &str = "-";

/// Reads and parses a file, or stdin if it is named `-`.
pub fn read(path: &Path) -> Result<Value, Error> {
    let text = text(path)?;
    Ok(parse_jsonc(&text, &path.display().to_string())?)
}

/// Reads and parses a file into `T`.
pub fn typed<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    serde_json::from_value(read(path)?).map_err(|error| input(path, error.to_string()))
}

/// An error about the file `path`.
pub fn input(path: &Path, reason: impl Into<String>) -> Error {
    Error::Input {
        input: path.display().to_string(),
        reason: reason.into(),
    }
}

/// Reads a file, or stdin if it is named `-`.
pub fn text(path: &Path) -> Result<String, Error> {
    let read = if path == Path::new(STDIN) {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|error| input(path, error.to_string()))
}
