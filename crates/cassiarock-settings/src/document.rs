//! Parsing of JSON with comments.

use crate::Error;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::collections::HashSet;

/// Plain JSON with comments and trailing commas. The parser's other leniencies, such as
/// missing commas, stay off because they are more often mistakes than intended.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses JSON with comments; `file` is named in errors.
///
/// ```
/// use cassiarock_settings::parse_jsonc;
/// let value = parse_jsonc("{ \"slots\": 8, /* more */ }", "agent.jsonc").unwrap();
/// assert_eq!(value["slots"], 8);
/// assert!(parse_jsonc("{ \"slots\": 8, \"slots\": 9 }", "agent.jsonc").is_err());
/// ```
pub fn parse_jsonc(text: &str, file: &str) -> Result<serde_json::Value, Error> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS);
    let parsed = parsed.map_err(|error| Error::Syntax {
        file: file.to_owned(),
        reason: error.to_string(),
    })?;
    let Some(value) = parsed.value else {
        return Ok(serde_json::Value::Null);
    };
    match duplicate_field(&value) {
        Some(field) => Err(Error::DuplicateField {
            file: file.to_owned(),
            field,
        }),
        None => Ok(value.into()),
    }
}

/// The path of the first field that is given twice. Without this check one value would
/// silently win, and a reader of the file may have looked at the other.
fn duplicate_field(value: &Value<'_>) -> Option<String> {
    match value {
        Value::Object(object) => duplicate_in_object(object),
        Value::Array(array) => array.elements.iter().find_map(duplicate_field),
        _ => None,
    }
}

fn duplicate_in_object(object: &Object<'_>) -> Option<String> {
    let mut seen = HashSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        if !seen.insert(name) {
            return Some(name.to_owned());
        }
        if let Some(inner) = duplicate_field(&property.value) {
            return Some(format!("{name}.{inner}"));
        }
    }
    None
}
