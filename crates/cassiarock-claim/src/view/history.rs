//! What an entry knows of the views: which of them is settled, and how long it may act
//! by its own.

use super::View;
use super::epoch::Epoch;
use crate::guard;
use cassiarock_id::{Job, Name, Process, Wall};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The protocol's times.
///
/// ```
/// use cassiarock_claim::view::Timing;
/// use std::time::Duration;
/// let timing = Timing::new(Duration::from_secs(2), Duration::from_millis(500), Duration::from_secs(600));
/// assert_eq!(timing.lease, Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long a majority must have held a view before older ones count as left. An
    /// entry acts by its view for half of it after the last majority's confirmation.
    pub lease: Duration,
    /// How long after a view was settled a job must have been issued to count as born
    /// within it. `lease / 2 + margin` must exceed twice the clock skew.
    pub margin: Duration,
    /// How long jobs are remembered, as in `RetentionLimit::max_age`.
    pub retention: Duration,
}

impl Timing {
    /// The three times.
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
    /// From when on the views told are all that there were.
    pub(super) known_since: Wall,
    /// The views adopted, oldest first; at least back to the latest settled one.
    pub(super) epochs: VecDeque<Epoch>,
    /// The version at which each present member joined.
    joined: HashMap<Process, u64>,
    /// The version by which a member announced its own end.
    retired: HashMap<Process, u64>,
    /// The last confirmation by each present member: its version and the ping's sending.
    confirmed: HashMap<Process, (u64, Wall)>,
    pub(super) authority: Option<Wall>,
    /// By name: the newest incarnation announced, and from when on issued jobs were born
    /// after all earlier ones had ended.
    successors: HashMap<Name, (u64, Wall)>,
}

impl ViewHistory {
    /// An entry that will be told every view in force at `known_since` or later. Jobs
    /// issued before are never proved unstarted.
    #[must_use]
    pub fn new(timing: Timing, known_since: Wall) -> Self {
        Self {
            timing,
            known_since,
            epochs: VecDeque::new(),
            joined: HashMap::new(),
            retired: HashMap::new(),
            confirmed: HashMap::new(),
            authority: None,
            successors: HashMap::new(),
        }
    }

    /// Adopts a higher version; others are ignored. Every version must be told, in
    /// order: one that is left out may be the one by which another entry still acts.
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

    /// Notes that the removal of `member` in `version` was announced by itself, after it
    /// had handed over its claims and its ledger: it need not be reached any more.
    pub fn record_retirement(&mut self, member: Process, version: u64) {
        self.retired.insert(member, version);
    }

    /// Notes that `process` has taken its name's slot, and that jobs issued at `from` or
    /// later were born after that. Its earlier incarnations cannot have run these.
    pub fn record_successor(&mut self, process: &Process, from: Wall) {
        let newest = self.successors.entry(process.name.clone());
        let newest = newest.or_insert((process.incarnation, from));
        *newest = (*newest).max((process.incarnation, from));
    }

    /// Whether `agent` had ended before the job was issued.
    pub(super) fn ended_before(&self, agent: &Process, job: Job) -> bool {
        let newest = self.successors.get(&agent.name);
        newest.is_some_and(|(incarnation, from)| {
            *incarnation > agent.incarnation && job.issued() >= *from
        })
    }

    /// Takes an agent's answer to a ping sent at `sent`: it holds `version` and adopted
    /// it `adopted_for` ago by its own monotonic clock.
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
            self.extend(now);
        }
        if adopted_for >= self.timing.lease {
            self.note(agent, version, now);
        }
    }

    /// The version of the view in use.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.view().map(|view| view.version)
    }

    /// The view in use.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.epochs.back().map(|epoch| &epoch.view)
    }

    /// When the view was found settled: nobody acts by an older one any more.
    #[must_use]
    pub fn settled_at(&self, version: u64) -> Option<Wall> {
        let found = self.epochs.iter().find(|e| e.view.version == version);
        found?.settled
    }

    /// Until when a job may be claimed without a gather: half a lease after the latest
    /// pings by which a majority of the view showed that it holds no later one. A
    /// member that lags behind counts: it keeps later views from being settled as well.
    #[must_use]
    pub const fn authority_until(&self) -> Option<Wall> {
        self.authority
    }

    /// Whether `agent` has been a member in every view from `since` to the present one.
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
        self.is_retired(agent, view.version) || view.members.iter().any(newer)
    }

    /// Whether `agent` handed over before it ended.
    #[must_use]
    pub fn has_retired(&self, agent: &Process) -> bool {
        let version = self.version();
        version.is_some_and(|version| self.is_retired(agent, version))
    }

    /// Forgets views that only jobs too old to be remembered have lived in.
    pub fn evict(&mut self, now: Wall) {
        let oldest = now.minus(self.timing.retention);
        let done = |epoch: &Epoch| {
            let settled = epoch.settled;
            settled.is_some_and(|at| at.plus(self.timing.margin) < oldest)
        };
        while self.epochs.len() > 1 && done(&self.epochs[1]) {
            self.epochs.pop_front();
            self.known_since = self.known_since.max(oldest);
        }
        let Some(first) = self.epochs.front() else {
            return;
        };
        let first = first.view.version;
        self.retired.retain(|_, version| *version >= first);
    }

    pub(super) fn is_retired(&self, member: &Process, by: u64) -> bool {
        let retired = self.retired.get(member);
        retired.is_some_and(|version| *version <= by)
    }

    fn note(&mut self, agent: &Process, version: u64, now: Wall) {
        let open = (0..self.epochs.len()).filter(|at| self.epochs[*at].settled.is_none());
        for at in open.collect::<Vec<_>>() {
            let epoch = &mut self.epochs[at];
            if epoch.view.version <= version && epoch.note(agent) {
                self.settle(at, now);
            }
        }
    }

    /// Settles a view once a majority of every view since the last settled one has held
    /// it for a lease. Every one of them counts, as each may have given some entry its
    /// authority, settled or not.
    fn settle(&mut self, at: usize, now: Wall) {
        let last = (0..at).rev().find(|at| self.epochs[*at].settled.is_some());
        let last = last.unwrap_or(0);
        let epoch = &self.epochs[at];
        let retired = |member: &Process| self.is_retired(member, epoch.view.version);
        let left = |older: usize| epoch.outlived(&self.epochs[older].view, retired);
        if epoch.may_settle() && (last..=at).all(left) {
            self.epochs[at].settled = Some(now);
        }
    }

    /// Brings the authority forward. It is computed anew only when little of it is
    /// left, because that takes a pass over all members and pings come at any rate.
    fn extend(&mut self, now: Wall) {
        let half = self.timing.lease / 2;
        let fresh = now.plus(half / 2);
        if self.authority.is_some_and(|until| until > fresh) {
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
        self.authority = self.authority.max(Some(until));
    }
}
