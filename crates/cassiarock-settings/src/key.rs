//! The key shared by all processes of the system.

use crate::check::{Check, Problem};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Shorter keys could be guessed by brute force.
const MIN_KEY_BYTES: usize = 16;

/// The shared key. `Debug` hides it so that it never appears in a log line.
///
/// ```
/// use cassiarock_settings::Key;
/// let key = Key::from("0123456789abcdef");
/// assert_eq!(format!("{key:?}"), "Key(..)");
/// assert_eq!(key.as_str(), "0123456789abcdef");
/// ```
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Key(Arc<str>);

impl Key {
    /// The key's text. Use it only for the handshake between processes.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    pub(crate) fn check(&self) -> Check {
        if self.0.len() >= MIN_KEY_BYTES {
            return Ok(());
        }
        Err(Problem::new(
            "key",
            format!("has {} characters", self.0.len()),
            format!("draw a random text of at least {MIN_KEY_BYTES}"),
        ))
    }
}

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
