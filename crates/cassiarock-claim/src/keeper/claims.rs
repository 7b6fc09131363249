//! How a keeper answers claim requests, and what it remembers and hands over.

use crate::guard;
use crate::limit::{ENTRY_NAME_BYTES, EvictionFloor, MAP_OVERHEAD_FACTOR};
use crate::message::{ClaimRecord, ClaimReply, ClaimRequest, Purpose};
use crate::view::View;
use crate::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Wall};
use std::collections::BTreeMap;
use std::mem::size_of;

/// Bytes per claim, including its share of the map's nodes.
const RECORD_BYTES: usize =
    MAP_OVERHEAD_FACTOR * (size_of::<Job>() + size_of::<ClaimRecord>()) + ENTRY_NAME_BYTES;

/// The claims of the jobs whose keeper is one agent.
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
    floor: EvictionFloor,
    /// The latest time seen: a clock that steps back must not revive forgotten ids.
    latest_time: Wall,
    /// Whether all claims were handed over to other agents.
    handed_over: bool,
    /// Ordered by issue time, so that eviction takes the oldest first.
    jobs: BTreeMap<Job, ClaimRecord>,
}

impl Keeper {
    /// A keeper without claims for the agent `me`.
    #[must_use]
    pub const fn new(me: Process, limit: RetentionLimit) -> Self {
        Self {
            me,
            limit,
            floor: EvictionFloor::NONE,
            latest_time: Wall::from_millis(0),
            handed_over: false,
            jobs: BTreeMap::new(),
        }
    }

    /// Answers an entry's request under this agent's current view.
    pub fn answer(&mut self, request: &ClaimRequest, view: &View, now: Wall) -> ClaimReply {
        self.latest_time = self.latest_time.max(now);
        // If this agent is the keeper in its own view, it orders all claims that reach it,
        // whatever the entry's view. Otherwise both sides must hold the same view.
        let is_keeper = view.keeper(request.job) == Some(&self.me);
        if self.handed_over || !is_keeper && !guard::is_same_view(request.view, view.version) {
            return ClaimReply::View(view.version);
        }
        if let Some(record) = self.jobs.get_mut(&request.job) {
            return answer_known(record, request);
        }
        if self.is_forgotten(request.job) {
            return ClaimReply::Forgotten;
        }
        self.answer_new(request, guard::is_sole_keeper(request.sole_keeper))
    }

    /// The attempt that owns the job, if this keeper has a record of it.
    #[must_use]
    pub fn owner(&self, job: Job) -> Option<&Ballot> {
        self.jobs.get(&job).map(|record| &record.owner)
    }

    /// The claims that must reach their next keepers before this agent's departure may be
    /// announced. From then on this keeper grants nothing and answers every request with
    /// its view's version.
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
        self.handed_over = true;
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

    /// Takes over claims from a leaving keeper. Of two records of one job the one with the
    /// higher attempt is kept; a closed job stays closed.
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

    /// Removes claims older than the limit's age, and the oldest ones while the claims
    /// take more than the limit's bytes.
    pub fn evict(&mut self, now: Wall) {
        self.latest_time = self.latest_time.max(now);
        let oldest = self.latest_time.minus(self.limit.max_age);
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

    /// The bytes that all claims take.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.jobs.len() * RECORD_BYTES
    }

    fn answer_new(&mut self, request: &ClaimRequest, sole_keeper: bool) -> ClaimReply {
        let gathered = request.ballot.clone().with_round(Ballot::FRESH + 1);
        let fresh = request.ballot.clone().with_round(Ballot::FRESH);
        let owner = match request.purpose {
            Purpose::Refuse if !sole_keeper => return ClaimReply::Gather(gathered),
            Purpose::TakeOver { over } => above_round(&gathered, over),
            _ if sole_keeper => fresh,
            Purpose::Claim | Purpose::Refuse => gathered,
        };
        let record = ClaimRecord {
            job: request.job,
            digest: request.digest,
            owner,
            closed: request.purpose == Purpose::Refuse,
        };
        let reply = reply_from(&record, true);
        self.jobs.insert(request.job, record);
        reply
    }

    fn is_forgotten(&self, job: Job) -> bool {
        self.floor.covers(job) || job.issued() <= self.latest_time.minus(self.limit.max_age)
    }
}

/// Answers a request for a job that has a record.
fn answer_known(record: &mut ClaimRecord, request: &ClaimRequest) -> ClaimReply {
    if record.digest != request.digest {
        return ClaimReply::Mismatch;
    }
    let is_owner = guard::is_same_attempt(&request.ballot, &record.owner);
    match request.purpose {
        // Only a claim that was granted without a gather proves that no other entry has
        // started the job. Refusing any other claim requires a gather.
        Purpose::Refuse if is_owner && record.owner.round == Ballot::FRESH => record.closed = true,
        // Only an entry that replaces the current owner gets the job: of two entries that
        // can't reach the same owner, the second one is sent to the first.
        Purpose::TakeOver { over } if over >= record.owner.round => {
            record.owner = above_round(&request.ballot, over);
            return reply_from(record, true);
        }
        _ => {}
    }
    reply_from(record, is_owner)
}

/// The reply to the owner of the record, or to another entry.
fn reply_from(record: &ClaimRecord, is_owner: bool) -> ClaimReply {
    let owner = record.owner.clone();
    if record.closed {
        return ClaimReply::Closed;
    }
    if !is_owner {
        return ClaimReply::Owned(owner);
    }
    if owner.round == Ballot::FRESH {
        ClaimReply::Granted(owner)
    } else {
        ClaimReply::Gather(owner)
    }
}

/// The same owner's ballot in the first round above both `round` and `FRESH`.
fn above_round(ballot: &Ballot, round: u32) -> Ballot {
    let round = round.max(Ballot::FRESH).saturating_add(1);
    ballot.clone().with_round(round)
}

fn merge(known: &mut ClaimRecord, other: ClaimRecord) {
    known.closed |= other.closed;
    if other.owner > known.owner {
        known.owner = other.owner;
        known.digest = other.digest;
    }
}
