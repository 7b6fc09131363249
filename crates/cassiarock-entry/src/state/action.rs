//! The actions that the entry's state returns.

use cassiarock_caller::Answer;
use cassiarock_id::{Name, Process};
use cassiarock_rule as rule;
use cassiarock_wire::Frame;
use std::sync::Arc;

/// Identifies a waiting caller; the actor holds the channel to answer it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Ticket(pub(crate) u64);

/// A side effect for the actor to carry out.
#[derive(Debug)]
pub(crate) enum Action {
    /// Send a frame to a linked process. If the link is closed the frame is dropped: the
    /// state handles its loss when the link closes or opens again.
    Send(Process, Frame),
    /// Answer a caller.
    Answer(Ticket, Answer),
    /// Open a link to another entry. It is given up if it does not open in time.
    Dial(Process, Name),
    /// Announce on the log that an agent has left.
    Remove(Process),
    /// Give the follower of the log this state from a peer, to use it if it is newer.
    Offer(Arc<rule::State>),
}
