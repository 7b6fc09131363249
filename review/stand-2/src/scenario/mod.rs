//! The scenarios, one for each case that has a script.

mod agent_killed;
mod agents_frozen;
mod cancel;
mod job;
mod quick_restart;
mod stops_unanswered;
mod traffic;

use crate::{Context, Verdict};
use std::io;

pub type Play = fn(&Context) -> io::Result<Verdict>;

pub fn find(name: &str) -> Option<Play> {
    match name {
        "agent-killed" => Some(agent_killed::play),
        "agents-frozen" => Some(agents_frozen::play),
        "cancel" => Some(cancel::play),
        "quick-restart" => Some(quick_restart::play),
        "stops-unanswered" => Some(stops_unanswered::play),
        _ => None,
    }
}
