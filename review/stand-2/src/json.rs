//! A small JSON reader and writer.

use std::collections::BTreeMap;
use std::fmt::Write;

/// A JSON value.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Value {
    #[default]
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        const NULL: &Value = &Value::Null;
        match self {
            Value::Object(fields) => fields.get(key).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

/// Parses a JSON text.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser {
        bytes: text.as_bytes(),
        at: 0,
    };
    parser.value()
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            char if u32::from(char) < 0x20 => {
                let _ = write!(quoted, "\\u{:04x}", u32::from(char));
            }
            char => quoted.push(char),
        }
    }
    quoted.push('"');
    quoted
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(word.as_bytes())
            .then(|| self.at += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => Some(Value::Text(self.string()?)),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.expect(b'{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != b'}' {
            if !fields.is_empty() {
                self.expect(b',')?;
                self.peek()?;
            }
            let key = self.string()?;
            self.expect(b':')?;
            fields.insert(key, self.value()?);
        }
        self.expect(b'}')?;
        Some(Value::Object(fields))
    }

    fn list(&mut self) -> Option<Value> {
        self.expect(b'[')?;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            if !items.is_empty() {
                self.expect(b',')?;
            }
            items.push(self.value()?);
        }
        self.expect(b']')?;
        Some(Value::List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            self.at += 4;
                            let char = char::from_u32(code.ok()?)?;
                            bytes.extend_from_slice(char.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        let is_part = |byte: &u8| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        Some(Value::Number(text.parse().ok()?))
    }
}
