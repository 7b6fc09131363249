//! What an entry knows of the membership's views: which of them are settled, and how long
//! the entry may act by the newest one.

use super::View;
use super::epoch::Epoch;
use crate::guard;
use cassiarock_id::{Job, Name, Process, Wall};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The durations that the protocol depends on.
///
/// ```
/// use cassiarock_claim::view::Timing;
/// use std::time::Duration;
/// let timing = Timing::new(Duration::from_secs(2), Duration::from_millis(500), Duration::from_secs(600));
/// assert_eq!(timing.lease, Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long a majority must have held a view before nobody acts by older ones any more.
    /// An entry acts by its view for half a lease after a majority last confirmed it.
    pub lease: Duration,
    /// How long after a view was settled a job must have been issued so that no older view
    /// can have started it. `lease / 2 + margin` must exceed twice the clock skew.
    pub margin: Duration,
    /// How long jobs are remembered, as in `RetentionLimit::max_age`.
    pub retention: Duration,
}

impl Timing {
    /// The timing with these three durations.
    #[must_use]
    pub const fn new(lease: Duration, margin: Duration, retention: Duration) -> Self {
        Self {
            lease,
            margin,
            retention,
        }
    }
}

/// The membership versions known to one entry.
///
/// ```
/// use cassiarock_claim::view::{ViewHistory, Timing, View};
/// use cassiarock_id::{Job, Process, Wall};
/// use std::time::Duration;
///
/// let lease = Duration::from_secs(2);
/// let timing = Timing::new(lease, Duration::from_millis(500), Duration::from_secs(600));
/// let agents: Vec<_> = (0..3).map(|n| Process::new(format!("agent-{n}"), 1)).collect();
/// let now = Wall::from_millis(1_000_000);
/// let mut history = ViewHistory::new(timing, now);
/// history.adopt(View::new(1, agents.clone()));
/// assert_eq!(history.settled_at(1), None);
/// for agent in &agents[..2] {
///     history.confirm(agent, 1, lease, now, now);
/// }
/// assert_eq!(history.settled_at(1), Some(now));
/// assert_eq!(history.authority_until(), Some(now.plus(lease / 2)));
/// let job = Job::with_bits(now.plus(timing.margin), 1);
/// assert!(history.scope(job, now).is_some_and(|scope| scope.sole_keeper));
/// ```
#[derive(Debug)]
pub struct ViewHistory {
    pub(super) timing: Timing,
    /// The time since which every view in force has been adopted here.
    pub(super) known_since: Wall,
    /// The adopted views, oldest first; they reach back at least to the latest settled one.
    pub(super) epochs: VecDeque<Epoch>,
    /// The version at which each present member joined.
    joined: HashMap<Process, u64>,
    /// The version in which a member announced its own departure.
    retired: HashMap<Process, u64>,
    /// The last confirmation by each present member: its version and when the ping was sent.
    confirmed: HashMap<Process, (u64, Wall)>,
    /// Until when this entry may claim jobs without a gather.
    pub(super) authority_until: Option<Wall>,
    /// By name: the newest announced incarnation, and the issue time from which on jobs can't
    /// have run at the earlier ones.
    successors: HashMap<Name, (u64, Wall)>,
}

impl ViewHistory {
    /// An empty history that must be given every view in force at `known_since` or later.
    /// Jobs issued before that time can't be proved unstarted.
    #[must_use]
    pub fn new(timing: Timing, known_since: Wall) -> Self {
        Self {
            timing,
            known_since,
            epochs: VecDeque::new(),
            joined: HashMap::new(),
            retired: HashMap::new(),
            confirmed: HashMap::new(),
            authority_until: None,
            successors: HashMap::new(),
        }
    }

    /// Adopts a higher version; others are ignored. Every version must be given, in order,
    /// because another entry may still act by one that is left out.
    pub fn adopt(&mut self, view: View) {
        if self.version() >= Some(view.version) {
            return;
        }
        self.joined.retain(|process, _| view.contains(process));
        self.confirmed.retain(|process, _| view.contains(process));
        for member in view.members.iter() {
            let joined = self.joined.entry(member.clone());
            joined.or_insert(view.version);
        }
        self.epochs.push_back(Epoch::new(view));
    }

    /// Records that `member` announced its own departure in `version`, after it had handed
    /// over its claims and its ledger. Gathers need not reach it any more.
    pub fn record_retirement(&mut self, member: Process, version: u64) {
        self.retired.insert(member, version);
    }

    /// Records that `process` has replaced the earlier incarnations of its name, and that
    /// jobs issued at `from` or later were issued after that, so that those incarnations
    /// can't have run them.
    pub fn record_successor(&mut self, process: &Process, from: Wall) {
        let newest = self.successors.entry(process.name.clone());
        let newest = newest.or_insert((process.incarnation, from));
        *newest = (*newest).max((process.incarnation, from));
    }

    /// Whether `agent` is known to have ended before the job was issued.
    pub(super) fn ended_before(&self, agent: &Process, job: Job) -> bool {
        let newest = self.successors.get(&agent.name);
        newest.is_some_and(|(incarnation, from)| {
            *incarnation > agent.incarnation && job.issued() >= *from
        })
    }

    /// Records an agent's answer to a ping sent at `sent`: the agent holds `version` and
    /// adopted it `adopted_for` ago by its own monotonic clock.
    pub fn confirm(
        &mut self,
        agent: &Process,
        version: u64,
        adopted_for: Duration,
        sent: Wall,
        now: Wall,
    ) {
        if self.joined.contains_key(agent) {
            let last = self.confirmed.entry(agent.clone());
            let last = last.or_insert((version, sent));
            *last = (*last).max((version, sent));
            self.extend_authority(now);
        }
        if adopted_for >= self.timing.lease {
            self.record_moved_on(agent, version, now);
        }
    }

    /// The version of the newest view.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.view().map(|view| view.version)
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.epochs.back().map(|epoch| &epoch.view)
    }

    /// When this entry learned that the view is settled, which means that nobody acts by an
    /// older one any more.
    #[must_use]
    pub fn settled_at(&self, version: u64) -> Option<Wall> {
        let found = self.epochs.iter().find(|e| e.view.version == version);
        found?.settled
    }

    /// Until when a job may be claimed without a gather: half a lease after the latest pings
    /// by which a majority of the view showed that it holds no later one. A member that
    /// lags behind counts, because it too keeps later views from being settled.
    #[must_use]
    pub const fn authority_until(&self) -> Option<Wall> {
        self.authority_until
    }

    /// Whether `agent` has been a member of every view from `since` to the newest one.
    #[must_use]
    pub fn is_member_since(&self, agent: &Process, since: u64) -> bool {
        let joined = self.joined.get(agent);
        joined.is_some_and(|joined| guard::is_member_since(*joined, since))
    }

    /// Whether `agent` has ended: its name has a newer incarnation, or it handed over.
    #[must_use]
    pub fn has_ended(&self, agent: &Process) -> bool {
        let Some(view) = self.view() else {
            return false;
        };
        let newer =
            |other: &Process| other.name == agent.name && other.incarnation > agent.incarnation;
        self.has_retired_by(agent, view.version) || view.members.iter().any(newer)
    }

    /// Whether `agent` handed over before it ended.
    #[must_use]
    pub fn has_retired(&self, agent: &Process) -> bool {
        let version = self.version();
        version.is_some_and(|version| self.has_retired_by(agent, version))
    }

    /// Removes views that matter only for jobs too old to be remembered.
    pub fn evict(&mut self, now: Wall) {
        let oldest = now.minus(self.timing.retention);
        let is_obsolete = |epoch: &Epoch| {
            let settled = epoch.settled;
            settled.is_some_and(|at| at.plus(self.timing.margin) < oldest)
        };
        while self.epochs.len() > 1 && is_obsolete(&self.epochs[1]) {
            self.epochs.pop_front();
            self.known_since = self.known_since.max(oldest);
        }
        let Some(first) = self.epochs.front() else {
            return;
        };
        let first = first.view.version;
        self.retired.retain(|_, version| *version >= first);
    }

    pub(super) fn has_retired_by(&self, member: &Process, by: u64) -> bool {
        let retired = self.retired.get(member);
        retired.is_some_and(|version| *version <= by)
    }

    fn record_moved_on(&mut self, agent: &Process, version: u64, now: Wall) {
        let open = (0..self.epochs.len()).filter(|at| self.epochs[*at].settled.is_none());
        for at in open.collect::<Vec<_>>() {
            let epoch = &mut self.epochs[at];
            if epoch.view.version <= version && epoch.record_moved_on(agent) {
                self.settle(at, now);
            }
        }
    }

    /// Settles a view once a majority of every view since the last settled one has held it
    /// for a lease. Each of these views counts, because each may have given some entry its
    /// authority, whether it was settled or not.
    fn settle(&mut self, at: usize, now: Wall) {
        let last = (0..at).rev().find(|at| self.epochs[*at].settled.is_some());
        let last = last.unwrap_or(0);
        let epoch = &self.epochs[at];
        let has_retired = |member: &Process| self.has_retired_by(member, epoch.view.version);
        let is_left = |older: usize| epoch.has_majority_of(&self.epochs[older].view, has_retired);
        if epoch.may_settle() && (last..=at).all(is_left) {
            self.epochs[at].settled = Some(now);
        }
    }

    /// Extends the authority. It is recomputed only when less than a quarter of a lease is
    /// left, because that takes a pass over all members for each answered ping.
    fn extend_authority(&mut self, now: Wall) {
        let half = self.timing.lease / 2;
        let threshold = now.plus(half / 2);
        if self.authority_until.is_some_and(|until| until > threshold) {
            return;
        }
        let Some(view) = self.epochs.back().map(|epoch| &epoch.view) else {
            return;
        };
        let confirmed = self.confirmed.values();
        let held = confirmed.filter(|(version, _)| *version <= view.version);
        let mut sent: Vec<_> = held.map(|(_, sent)| *sent).collect();
        let majority = view.members.len() / 2 + 1;
        if sent.len() < majority {
            return;
        }
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let until = sent[majority - 1].plus(half);
        self.authority_until = self.authority_until.max(Some(until));
    }
}
