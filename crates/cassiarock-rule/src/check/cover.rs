//! Whether a condition matches every request that another one matches.

use crate::Condition;
use crate::condition::Load;
use cassiarock_id::Name;

impl Condition {
    /// Whether this condition matches every request that `other` matches. Conditions are compared
    /// in pairs and part by part, so a rule that is unreachable only because of several earlier
    /// ones together is not detected.
    ///
    /// ```
    /// use cassiarock_rule::Condition;
    /// let all = Condition::default();
    /// let alerts = Condition { kinds: vec!["alert".into()], ..Condition::default() };
    /// assert!(all.covers(&alerts) && !alerts.covers(&all));
    /// ```
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        names_cover(&self.kinds, &other.kinds)
            && names_cover(&self.teams, &other.teams)
            && names_cover(&self.data_centres, &other.data_centres)
            && self.tasks.covers(other.tasks)
            && self.cores.covers(other.cores)
            && self.memory.covers(other.memory)
            && self.accelerators.covers(other.accelerators)
            && self.hours_cover(other)
            && load_covers(self.load.as_ref(), other.load.as_ref())
            && (self.repeatable.is_none() || self.repeatable == other.repeatable)
    }

    fn hours_cover(&self, other: &Self) -> bool {
        match (self.hours, other.hours) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(these), Some(those)) => these.covers(those),
        }
    }
}

/// An empty list stands for every name.
fn names_cover(these: &[Name], those: &[Name]) -> bool {
    these.is_empty() || (!those.is_empty() && those.iter().all(|name| these.contains(name)))
}

fn load_covers(this: Option<&Load>, that: Option<&Load>) -> bool {
    match (this, that) {
        (None, _) => true,
        (Some(this), Some(that)) => this.pool == that.pool && this.percent.covers(that.percent),
        (Some(_), None) => false,
    }
}
