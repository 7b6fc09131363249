//! The protocol's messages, carried inside `wire::Frame`.

mod keeper;
mod ledger;

pub use keeper::{ClaimRecord, ClaimReply, ClaimRequest, Purpose};
pub use ledger::{Cancel, Fence, FenceReport, LedgerRecord, Outcome, Reject, Start, TaskState};
