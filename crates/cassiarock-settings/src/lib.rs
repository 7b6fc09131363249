//! Settings in JSON with comments, checked field by field.
//!
//! [`Entry`] and [`Agent`] are the settings of the daemon's two roles, [`Client`] those
//! of the operators' client. Every error names the file, the field and the remedy.

mod agent;
mod capacity;
pub mod check;
mod client;
mod document;
mod entry;
mod error;
mod format;
mod health;
mod key;
mod ledger;
mod limits;
mod nearest;
mod policy;
pub mod read;
pub mod units;

pub use agent::Agent;
pub use capacity::Capacity;
pub use client::Client;
pub use document::parse_jsonc;
pub use entry::Entry;
pub use error::Error;
pub use format::Format;
pub use health::Health;
pub use key::Key;
pub use ledger::Ledger;
pub use limits::Limits;
pub use policy::Policy;
