//! What the views say about a job: its keeper, and which agents can have run its tasks.

use super::epoch::Epoch;
use super::{View, ViewHistory};
use crate::guard;
use cassiarock_id::{Job, Process, Wall};
use std::collections::BTreeSet;

/// What the views say about one job at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobScope {
    /// The entry's view.
    pub view: u64,
    /// The oldest view by which tasks of the job can have been started.
    pub oldest_view: u64,
    /// The keeper to be asked.
    pub keeper: Option<Process>,
    /// The keeper that start messages name: it runs none of the job's tasks.
    pub excluded_keeper: Option<Process>,
    /// The keeper that gathers may miss, if there is one.
    pub exempt_keeper: Option<Process>,
    /// Whether no other keeper can have granted the job, so that this one may grant it
    /// without a gather.
    pub sole_keeper: bool,
}

/// The job's keeper over all views of the job's life.
struct Life {
    /// Whether it is the same in all of them.
    constant: bool,
    /// Whether all of them, or any of them, exempt the present keeper from gathers.
    always_exempt: bool,
    ever_exempt: bool,
}

impl Life {
    fn new<'a>(job: Job, keeper: &Process, lived: impl Iterator<Item = &'a Epoch>) -> Self {
        let mut life = Self {
            constant: true,
            always_exempt: true,
            ever_exempt: false,
        };
        for epoch in lived {
            let same = epoch.view.keeper(job) == Some(keeper);
            let exempt = same && epoch.view.exempts();
            life.constant &= same;
            life.always_exempt &= exempt;
            life.ever_exempt |= exempt;
        }
        life
    }
}

impl ViewHistory {
    /// What the views say about a job; `None` before the first view, and for a job
    /// issued before this entry's knowledge begins or after its memory ends.
    #[must_use]
    pub fn scope(&self, job: Job, now: Wall) -> Option<JobScope> {
        let view = self.view()?;
        let born = self.born(job)?;
        let mut scope = JobScope {
            view: view.version,
            oldest_view: self.epochs[born].view.version,
            keeper: None,
            excluded_keeper: None,
            exempt_keeper: None,
            sole_keeper: false,
        };
        let Some(keeper) = view.keeper(job) else {
            return Some(scope);
        };
        let life = Life::new(job, keeper, self.epochs.range(born..));
        let constant = self.settled_before(born, job) && guard::had_one_keeper(life.constant);
        let authority = self.authority_until().is_some_and(|until| now < until);
        let keeper = Some(keeper.clone());
        scope.sole_keeper = constant && guard::has_authority(authority);
        scope.exempt_keeper = keeper.clone().filter(|_| constant && life.always_exempt);
        // A view that has shrunk below the size for exempt keepers names the keeper all
        // the same: an entry that still holds the larger view may gather without it.
        scope.excluded_keeper = keeper.clone().filter(|_| life.ever_exempt);
        scope.keeper = keeper;
        Some(scope)
    }

    /// The agents that a gather of `job` under this scope must reach: all members of all
    /// views in the job's life, but for those that handed over, those that had ended before
    /// the job was issued, and those that kept the job in every such view to which they
    /// belonged. The last have run none of its
    /// tasks: an agent that died and came back under its name would otherwise fail every
    /// job that it kept and that was issued before its return was settled.
    #[must_use]
    pub fn gather_targets(&self, job: Job, scope: &JobScope) -> BTreeSet<Process> {
        let lived = |view: &View| (scope.oldest_view..=scope.view).contains(&view.version);
        let views = self.epochs.iter().map(|epoch| &epoch.view);
        // Before any view was settled, somebody may act by one that is older than these.
        let born = self.born(job);
        let settled = born.is_some_and(|at| self.settled_before(at, job));
        let mut reach = BTreeSet::new();
        for view in views.filter(|view| lived(view)) {
            let idle = view.exempt_keeper(job).filter(|_| settled);
            let able = view.members.iter().filter(|m| idle != Some(m));
            reach.extend(able.cloned());
        }
        reach.retain(|member| {
            !self.is_retired(member, scope.view) && !self.ended_before(member, job)
        });
        reach
    }

    /// The index of the oldest view by which the job can have been started.
    fn born(&self, job: Job) -> Option<usize> {
        let mut indices = (0..self.epochs.len()).rev();
        let settled = indices.find(|at| self.settled_before(*at, job));
        settled.or_else(|| (job.issued() >= self.known_since).then_some(0))
    }

    fn settled_before(&self, at: usize, job: Job) -> bool {
        let settled = self.epochs[at].settled;
        settled.is_some_and(|at| at.plus(self.timing.margin) <= job.issued())
    }
}
