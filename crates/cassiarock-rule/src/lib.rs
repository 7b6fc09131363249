//! Rules, configuration and membership: their log records, the validation of rule sets, and the
//! state folded from the log.

pub mod action;
pub mod check;
pub mod condition;
pub mod configuration;
pub mod decision;
pub mod difference;
pub mod edit;
pub mod effect;
pub mod explanation;
pub mod fold;
pub mod jitter;
pub mod membership;
pub mod record;
pub mod request;
pub mod set;
pub mod snapshot;
pub mod source;
pub mod state;

pub use action::Action;
pub use condition::Condition;
pub use configuration::Configuration;
pub use decision::Decision;
pub use difference::Difference;
pub use edit::Edit;
pub use effect::Effect;
pub use explanation::Explanation;
pub use fold::Fold;
pub use membership::{Member, Membership};
pub use record::Record;
pub use request::Request;
pub use set::{Rule, RuleSet};
pub use state::State;
