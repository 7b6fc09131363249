//! How long an upstream stays, for upstreams that are replaced at short notice.

use crate::message::Upstream;
use crate::timing::MAX_NOTICE;
use std::time::Duration;

/// The announced end of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::scheduler) struct Notice {
    /// When everything on the upstream terminates at the earliest, on the entry's clock.
    pub(in crate::scheduler) ends_at: Duration,
    pub(in crate::scheduler) heard_at: Duration,
    /// Whether the tasks there have been judged since it was heard.
    pub(in crate::scheduler) is_judged: bool,
}

impl Notice {
    /// The least time left until the end.
    pub(in crate::scheduler) const fn left(&self, now: Duration) -> Duration {
        self.ends_at.saturating_sub(now)
    }

    pub(in crate::scheduler) const fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at)
    }
}

/// What is known of the time of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct Tenure {
    /// Its announced end, while it leaves.
    pub(in crate::scheduler) notice: Option<Notice>,
}

impl Tenure {
    /// The tenure after the agent has described its upstream. `is_same` tells whether that is the
    /// incarnation that was known before: another one has withdrawn nothing and announced nothing.
    pub(in crate::scheduler) fn after(self, told: &Upstream, is_same: bool, now: Duration) -> Self {
        let before = if is_same { self } else { Self::default() };
        let notice = told.remaining.map(|left| Notice {
            ends_at: now + left.min(MAX_NOTICE),
            heard_at: now,
            is_judged: false,
        });
        let notice = notice.or(before.notice).filter(|_| told.is_leaving);
        Self { notice }
    }
}
