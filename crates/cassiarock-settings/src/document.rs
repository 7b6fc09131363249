//! JSON with comments.

use crate::Error;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::collections::HashSet;

/// Comments and trailing commas beside plain JSON. What else the parser would let pass,
/// such as a forgotten comma, is more often a slip than meant.
const FORM: ParseOptions = ParseOptions {
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
    let parsed = parse_to_ast(text, &CollectOptions::default(), &FORM);
    let parsed = parsed.map_err(|error| Error::Syntax {
        file: file.to_owned(),
        reason: error.to_string(),
    })?;
    let Some(value) = parsed.value else {
        return Ok(serde_json::Value::Null);
    };
    match repeated(&value) {
        Some(field) => Err(Error::DuplicateField {
            file: file.to_owned(),
            field,
        }),
        None => Ok(value.into()),
    }
}

/// The path of a field that is given twice. Of two values one would silently win, and the
/// reader of the file may have looked at the other.
fn repeated(value: &Value<'_>) -> Option<String> {
    match value {
        Value::Object(object) => in_object(object),
        Value::Array(array) => array.elements.iter().find_map(repeated),
        _ => None,
    }
}

fn in_object(object: &Object<'_>) -> Option<String> {
    let mut seen = HashSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        if !seen.insert(name) {
            return Some(name.to_owned());
        }
        if let Some(inner) = repeated(&property.value) {
            return Some(format!("{name}.{inner}"));
        }
    }
    None
}
