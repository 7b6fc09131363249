//! Explains the rules' decisions to operators.

use super::State;
use cassiarock_process::Now;
use cassiarock_rule::{Explanation, Request};

impl State {
    /// Explains which rule would decide `request` at this entry now, and why the earlier rules
    /// do not match.
    pub(crate) fn explain(&self, request: Request, now: Now) -> Explanation {
        let request = self.with_context(request, now);
        Explanation::new(self.rules.version, &self.rules.rules, &request)
    }
}
