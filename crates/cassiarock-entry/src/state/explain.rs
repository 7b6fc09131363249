//! What operators ask about the rules.

use super::State;
use cassiarock_process::Now;
use cassiarock_rule::{Explanation, Request};

impl State {
    /// Which rule would decide `request` here and now, and why the earlier ones would not.
    pub(crate) fn explain(&self, request: Request, now: Now) -> Explanation {
        let request = self.with_context(request, now);
        Explanation::new(self.rules.version, &self.rules.rules, &request)
    }
}
