//! The decisions of a keeper.

use crate::guard;
use crate::limit::{Floor, MAP_ROOM, NAME_BYTES};
use crate::message::{ClaimRecord, ClaimReply, ClaimRequest, Purpose};
use crate::view::View;
use crate::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Wall};
use std::collections::BTreeMap;
use std::mem::size_of;

/// A claim's share of memory, its place in the map included.
const RECORD_BYTES: usize = MAP_ROOM * (size_of::<Job>() + size_of::<ClaimRecord>()) + NAME_BYTES;

/// The claims kept by one agent.
///
/// ```
/// use cassiarock_claim::keeper::Keeper;
/// use cassiarock_claim::message::{ClaimReply, ClaimRequest, Purpose};
/// use cassiarock_claim::view::View;
/// use cassiarock_claim::{Ballot, RetentionLimit};
/// use cassiarock_id::{Job, Process, Wall};
/// use std::time::Duration;
///
/// let me = Process::new("agent-1", 1);
/// let view = View::new(1, [me.clone()]);
/// let mut keeper = Keeper::new(me, RetentionLimit::new(Duration::from_secs(600), 1 << 20));
/// let now = Wall::from_millis(1_000_000);
/// let request = ClaimRequest {
///     job: Job::with_bits(now, 1),
///     digest: 9,
///     purpose: Purpose::Claim,
///     view: 1,
///     sole_keeper: true,
///     ballot: Ballot::new(Ballot::FRESH, Process::new("entry-1", 1)),
/// };
/// let granted = ClaimReply::Granted(request.ballot.clone());
/// assert_eq!(keeper.answer(&request, &view, now), granted);
/// let second = ClaimRequest {
///     ballot: Ballot::new(Ballot::FRESH, Process::new("entry-2", 1)),
///     ..request.clone()
/// };
/// let owned = ClaimReply::Owned(request.ballot);
/// assert_eq!(keeper.answer(&second, &view, now), owned);
/// ```
#[derive(Debug)]
pub struct Keeper {
    me: Process,
    limit: RetentionLimit,
    floor: Floor,
    latest: Wall,
    /// Whether all claims were handed over to others.
    handed: bool,
    /// Ordered by issue time, so that eviction takes the oldest first.
    jobs: BTreeMap<Job, ClaimRecord>,
}

impl Keeper {
    /// The keeper of no jobs yet.
    #[must_use]
    pub const fn new(me: Process, limit: RetentionLimit) -> Self {
        Self {
            me,
            limit,
            floor: Floor::NONE,
            latest: Wall::from_millis(0),
            handed: false,
            jobs: BTreeMap::new(),
        }
    }

    /// Answers an entry under this agent's present view.
    pub fn answer(&mut self, request: &ClaimRequest, view: &View, now: Wall) -> ClaimReply {
        self.latest = self.latest.max(now);
        // One process that keeps the job in both views orders its claims by itself; where
        // another keeper is in question, both sides must mean the same view.
        let keeps = view.keeper(request.job) == Some(&self.me);
        if self.handed || !keeps && !guard::same_view(request.view, view.version) {
            return ClaimReply::View(view.version);
        }
        if let Some(record) = self.jobs.get_mut(&request.job) {
            return repeat(record, request);
        }
        if self.is_forgotten(request.job) {
            return ClaimReply::Forgotten;
        }
        self.first(request, guard::sole_keeper(request.sole_keeper))
    }

    /// The attempt that owns the job, as far as this keeper knows.
    #[must_use]
    pub fn owner(&self, job: Job) -> Option<&Ballot> {
        self.jobs.get(&job).map(|record| &record.owner)
    }

    /// What must be at the new keepers before this agent may be announced as gone. From
    /// then on it grants nothing and sends entries to read up.
    ///
    /// ```
    /// use cassiarock_claim::RetentionLimit;
    /// use cassiarock_claim::keeper::Keeper;
    /// use cassiarock_claim::view::View;
    /// use cassiarock_id::Process;
    /// let me = Process::new("agent-1", 1);
    /// let limit = RetentionLimit::new(std::time::Duration::from_secs(600), 1 << 20);
    /// let mut keeper = Keeper::new(me.clone(), limit);
    /// assert!(keeper.hand_over(&View::new(1, [me])).is_empty());
    /// ```
    pub fn hand_over(&mut self, view: &View) -> Vec<(Process, Vec<ClaimRecord>)> {
        self.handed = true;
        let rest = view.without(&self.me);
        let mut sent: BTreeMap<Process, Vec<ClaimRecord>> = BTreeMap::new();
        for record in self.jobs.values() {
            let Some(next) = rest.keeper(record.job) else {
                continue;
            };
            sent.entry(next.clone()).or_default().push(record.clone());
        }
        sent.into_iter().collect()
    }

    /// Takes over claims from a leaving keeper. Of two records of one job the higher
    /// attempt stays; a closed job stays closed.
    pub fn accept_handover(&mut self, records: Vec<ClaimRecord>) {
        for record in records {
            match self.jobs.get_mut(&record.job) {
                Some(known) => merge(known, record),
                None if self.floor.covers(record.job) => {}
                None => {
                    self.jobs.insert(record.job, record);
                }
            }
        }
    }

    /// Forgets claims older than the limit's age, and above its bytes the oldest ones.
    pub fn evict(&mut self, now: Wall) {
        self.latest = self.latest.max(now);
        let oldest = self.latest.minus(self.limit.max_age);
        self.floor.raise(oldest);
        while let Some(first) = self.jobs.first_entry() {
            let job = *first.key();
            if self.floor.covers(job) || self.bytes() > self.limit.max_bytes {
                self.jobs.remove(&job);
                self.floor.raise(job.issued());
            } else {
                break;
            }
        }
    }

    /// The bytes held now.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.jobs.len() * RECORD_BYTES
    }

    fn first(&mut self, request: &ClaimRequest, sole_keeper: bool) -> ClaimReply {
        let above = request.ballot.clone().with_round(Ballot::FRESH + 1);
        let fresh = request.ballot.clone().with_round(Ballot::FRESH);
        let owner = match request.purpose {
            Purpose::Refuse if !sole_keeper => return ClaimReply::Gather(above),
            Purpose::TakeOver { over } => raised(&above, over),
            _ if sole_keeper => fresh,
            Purpose::Claim | Purpose::Refuse => above,
        };
        let record = ClaimRecord {
            job: request.job,
            digest: request.digest,
            owner,
            closed: request.purpose == Purpose::Refuse,
        };
        let answer = state(&record, true);
        self.jobs.insert(request.job, record);
        answer
    }

    fn is_forgotten(&self, job: Job) -> bool {
        self.floor.covers(job) || job.issued() <= self.latest.minus(self.limit.max_age)
    }
}

/// Answers for a job that has a record.
fn repeat(record: &mut ClaimRecord, request: &ClaimRequest) -> ClaimReply {
    if record.digest != request.digest {
        return ClaimReply::Mismatch;
    }
    let mine = guard::same_attempt(&request.ballot, &record.owner);
    match request.purpose {
        // Only a claim that was granted without a gather is proof that no other entry has
        // started the job: a refusal of any other one needs the gather.
        Purpose::Refuse if mine && record.owner.round == Ballot::FRESH => record.closed = true,
        // Only who replaces the present owner gets the job: of two entries that miss the
        // same owner the second is sent to the first.
        Purpose::TakeOver { over } if over >= record.owner.round => {
            record.owner = raised(&request.ballot, over);
            return state(record, true);
        }
        _ => {}
    }
    state(record, mine)
}

/// What the record says to its owner, or to another entry.
fn state(record: &ClaimRecord, mine: bool) -> ClaimReply {
    let owner = record.owner.clone();
    if record.closed {
        return ClaimReply::Closed;
    }
    if !mine {
        return ClaimReply::Owned(owner);
    }
    if owner.round == Ballot::FRESH {
        ClaimReply::Granted(owner)
    } else {
        ClaimReply::Gather(owner)
    }
}

fn raised(ballot: &Ballot, over: u32) -> Ballot {
    let round = over.max(Ballot::FRESH).saturating_add(1);
    ballot.clone().with_round(round)
}

fn merge(known: &mut ClaimRecord, other: ClaimRecord) {
    known.closed |= other.closed;
    if other.owner > known.owner {
        known.owner = other.owner;
        known.digest = other.digest;
    }
}
