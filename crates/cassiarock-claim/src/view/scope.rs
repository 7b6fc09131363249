//! What the membership history says about one job: its keeper, and which agents can have
//! run its tasks.

use super::epoch::Epoch;
use super::{View, ViewHistory};
use crate::guard;
use cassiarock_id::{Job, Process, Wall};
use std::collections::BTreeSet;

/// What an entry's membership history says about one job at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobScope {
    /// The version of the entry's view.
    pub view: u64,
    /// The version of the oldest view under which tasks of the job can have been started.
    pub oldest_view: u64,
    /// The job's keeper, which receives the claim request.
    pub keeper: Option<Process>,
    /// The keeper that start messages name, if there is one: it runs none of the job's tasks.
    pub excluded_keeper: Option<Process>,
    /// The keeper that gathers may leave out, if there is one.
    pub exempt_keeper: Option<Process>,
    /// Whether no other keeper can have granted the job, so that this one may grant it
    /// without a gather.
    pub sole_keeper: bool,
}

/// The present keeper of a job in all views of the job's lifetime.
struct KeeperHistory {
    /// Whether it is the job's keeper in all of them.
    is_constant: bool,
    /// Whether all of them exempt it from gathers.
    always_exempt: bool,
    /// Whether any of them exempts it from gathers.
    ever_exempt: bool,
}

impl KeeperHistory {
    fn new<'a>(job: Job, keeper: &Process, epochs: impl Iterator<Item = &'a Epoch>) -> Self {
        let mut history = Self {
            is_constant: true,
            always_exempt: true,
            ever_exempt: false,
        };
        for epoch in epochs {
            let same = epoch.view.keeper(job) == Some(keeper);
            let exempt = same && epoch.view.has_exempt_keepers();
            history.is_constant &= same;
            history.always_exempt &= exempt;
            history.ever_exempt |= exempt;
        }
        history
    }
}

impl ViewHistory {
    /// The scope of a job. `None` before the first view, and for a job issued before the
    /// time from which on this entry knows all views.
    #[must_use]
    pub fn scope(&self, job: Job, now: Wall) -> Option<JobScope> {
        let view = self.view()?;
        let oldest = self.oldest_epoch(job)?;
        let mut scope = JobScope {
            view: view.version,
            oldest_view: self.epochs[oldest].view.version,
            keeper: None,
            excluded_keeper: None,
            exempt_keeper: None,
            sole_keeper: false,
        };
        let Some(keeper) = view.keeper(job) else {
            return Some(scope);
        };
        let history = KeeperHistory::new(job, keeper, self.epochs.range(oldest..));
        let constant =
            self.settled_before(oldest, job) && guard::had_one_keeper(history.is_constant);
        let authority = self.authority_until().is_some_and(|until| now < until);
        let keeper = Some(keeper.clone());
        scope.sole_keeper = constant && guard::has_authority(authority);
        scope.exempt_keeper = keeper.clone().filter(|_| constant && history.always_exempt);
        // Start messages name the keeper even if the view has shrunk below the size for
        // exempt keepers: an entry that still holds the larger view may gather without it.
        scope.excluded_keeper = keeper.clone().filter(|_| history.ever_exempt);
        scope.keeper = keeper;
        Some(scope)
    }

    /// The agents that a gather of `job` under this scope must reach: all members of all
    /// views of the job's lifetime, except those that handed over, those that had ended
    /// before the job was issued, and those that were the job's exempt keeper in every such
    /// view to which they belonged. The last have run none of its tasks. Without this
    /// exception, an agent that died and restarted under its name would fail every job that
    /// it kept and that was issued before its return was settled.
    #[must_use]
    pub fn gather_targets(&self, job: Job, scope: &JobScope) -> BTreeSet<Process> {
        let in_lifetime = |view: &View| (scope.oldest_view..=scope.view).contains(&view.version);
        let views = self.epochs.iter().map(|epoch| &epoch.view);
        // If no view was settled before the job was issued, somebody may act by a view that is
        // older than all of these.
        let oldest = self.oldest_epoch(job);
        let settled = oldest.is_some_and(|at| self.settled_before(at, job));
        let mut targets = BTreeSet::new();
        for view in views.filter(|view| in_lifetime(view)) {
            let exempt = view.exempt_keeper(job).filter(|_| settled);
            let others = view.members.iter().filter(|m| exempt != Some(m));
            targets.extend(others.cloned());
        }
        targets.retain(|member| {
            !self.has_retired_by(member, scope.view) && !self.ended_before(member, job)
        });
        targets
    }

    /// The index of the oldest view under which the job can have been started.
    fn oldest_epoch(&self, job: Job) -> Option<usize> {
        let mut indices = (0..self.epochs.len()).rev();
        let settled = indices.find(|at| self.settled_before(*at, job));
        settled.or_else(|| (job.issued() >= self.known_since).then_some(0))
    }

    fn settled_before(&self, at: usize, job: Job) -> bool {
        let settled = self.epochs[at].settled;
        settled.is_some_and(|at| at.plus(self.timing.margin) <= job.issued())
    }
}
