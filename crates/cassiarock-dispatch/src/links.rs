//! Time limits of links, and sending messages over them.

use cassiarock_id::Process;
use cassiarock_peer::{LinkTiming, Links};
use cassiarock_transient::{Message, timing};
use cassiarock_wire::Frame;
use std::time::Duration;

/// The longest pause before a peer is dialled again. The agents of a restarted entry are linked
/// again within two such pauses.
const MAX_REDIAL_PAUSE: Duration = Duration::from_millis(250);

/// How long a step of a handshake may take, also on a busy VM.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which the opening of a connection is sent again. Within a region it is answered
/// within 10 ms; a later answer still counts.
const CONNECT_RESEND: Duration = Duration::from_millis(100);

/// A peer that has been unreachable for this long has probably been replaced at another address,
/// and is dialled less often. One that returns later announces itself.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(20);

/// The longest pause before such a peer is dialled again. Dialling 40 addresses of former entries
/// costs an agent 20 dials a second, as many as two entries that have just become unreachable.
const MAX_UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

/// The time limits of links that carry tasks of a tenth of a second.
pub(crate) const fn link_timing() -> LinkTiming {
    LinkTiming {
        idle_timeout: timing::LINK_TIMEOUT,
        connect_resend: CONNECT_RESEND,
        handshake_timeout: HANDSHAKE_TIMEOUT,
        max_redial_pause: MAX_REDIAL_PAUSE,
        unreachable_limit: UNREACHABLE_LIMIT,
        max_unreachable_pause: MAX_UNREACHABLE_PAUSE,
    }
}

/// Counts the tasks that a message orders, and those that it reports as never started, by cause.
/// Both sides count what they send and receive of these.
pub(crate) fn count_orders(message: &Message) {
    match message {
        Message::Orders { orders, .. } => {
            let tasks: usize = orders.iter().map(|order| order.tasks.len()).sum();
            metrics::counter!("cassiarock_tasks_ordered_total").increment(tasks as u64);
        }
        Message::Ended { results, .. } => {
            for result in results.iter().filter(|end| end.outcome.is_unstarted()) {
                let cause = format!("{:?}", result.outcome).to_lowercase();
                metrics::counter!("cassiarock_tasks_turned_away_total", "cause" => cause)
                    .increment(1);
            }
        }
        _ => {}
    }
}

/// Sends a message over the newest link with `to`. Counts messages that cannot be sent.
pub(crate) fn send(links: &Links, to: &Process, message: Message) {
    count_orders(&message);
    if !links.send(to, Frame::Transient(message)) {
        metrics::counter!("cassiarock_unsent_messages_total").increment(1);
    }
}
