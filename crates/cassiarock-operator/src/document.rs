//! Input files in JSON with comments.

use crate::Error;
use cassiarock_settings::parse_jsonc;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;

/// File name that stands for stdin.
const STDIN: &str = "-";

/// Reads and parses a file, or stdin if it is named `-`.
pub fn read(path: &Path) -> Result<Value, Error> {
    let text = read_text(path)?;
    Ok(parse_jsonc(&text, &path.display().to_string())?)
}

/// Reads and parses a file into `T`.
pub fn read_as<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    serde_json::from_value(read(path)?).map_err(|error| input_error(path, error.to_string()))
}

/// Builds the error for a fault in the file `path`.
pub fn input_error(path: &Path, reason: impl Into<String>) -> Error {
    Error::Input {
        input: path.display().to_string(),
        reason: reason.into(),
    }
}

/// Reads a file, or stdin if it is named `-`.
pub fn read_text(path: &Path) -> Result<String, Error> {
    let read = if path == Path::new(STDIN) {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|error| input_error(path, error.to_string()))
}
