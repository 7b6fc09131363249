//! The membership at one version, and the ranking of its agents for a job.

use cassiarock_id::{Job, Process};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Mixed into name hashes so that they differ from hashes of the same bytes elsewhere.
const NAME_HASH_SALT: u64 = 0x9E37_79B9_7F4A_7C15;

/// The fewest members with which a job's keeper runs none of its tasks and is exempt from
/// its gathers. In smaller views the keeper must run tasks, or too few agents would be left.
const MIN_MEMBERS_FOR_EXEMPT_KEEPER: usize = 3;

/// The agents that are members at one version of the membership.
///
/// ```
/// use cassiarock_claim::view::View;
/// use cassiarock_id::{Job, Process, Wall};
/// let agents = [Process::new("agent-1", 1), Process::new("agent-2", 1)];
/// let view = View::new(7, agents);
/// let job = Job::with_bits(Wall::from_millis(5), 1);
/// let keeper = view.keeper(job).unwrap();
/// assert_ne!(view.without(keeper).keeper(job), Some(keeper));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// The log offset of the membership's last record.
    pub version: u64,
    /// The members, sorted.
    pub members: Arc<[Process]>,
    /// One hash per member, so that ranking needs no hashing of names.
    hashes: Arc<[u64]>,
}

impl View {
    /// The view `version` with these members, which may come in any order.
    #[must_use]
    pub fn new(version: u64, members: impl IntoIterator<Item = Process>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort_unstable();
        members.dedup();
        let hashes = members.iter().map(hash).collect();
        Self {
            version,
            members: members.into(),
            hashes,
        }
    }

    /// The same view without one member.
    #[must_use]
    pub fn without(&self, member: &Process) -> Self {
        let rest = self.members.iter().filter(|other| *other != member);
        Self::new(self.version, rest.cloned())
    }

    /// Whether `process` is a member.
    ///
    /// ```
    /// use cassiarock_claim::view::View;
    /// use cassiarock_id::Process;
    /// let view = View::new(7, [Process::new("agent-1", 1)]);
    /// assert!(!view.contains(&Process::new("agent-1", 2)));
    /// ```
    #[must_use]
    pub fn contains(&self, process: &Process) -> bool {
        self.members.binary_search(process).is_ok()
    }

    /// The agent that keeps the job's claim, chosen by rendezvous hashing: when a member
    /// joins or leaves, only the jobs that it keeps change their keeper.
    #[must_use]
    pub fn keeper(&self, job: Job) -> Option<&Process> {
        let key = xxh3_64(job.as_bytes());
        let ranks = self.hashes.iter().map(|hash| mix(hash ^ key));
        let best = ranks.enumerate().max_by_key(|(_, rank)| *rank)?;
        self.members.get(best.0)
    }

    /// The job's keeper, if the view is large enough that it runs none of the job's tasks and
    /// may therefore be left out of a gather.
    ///
    /// ```
    /// use cassiarock_claim::view::View;
    /// use cassiarock_id::{Job, Process, Wall};
    /// let job = Job::with_bits(Wall::from_millis(5), 1);
    /// let agents = (0..3).map(|n| Process::new(format!("agent-{n}"), 1));
    /// let view = View::new(7, agents);
    /// assert_eq!(view.exempt_keeper(job), view.keeper(job));
    /// let two = view.without(&view.members[0]);
    /// assert_eq!(two.exempt_keeper(job), None);
    /// ```
    #[must_use]
    pub fn exempt_keeper(&self, job: Job) -> Option<&Process> {
        self.keeper(job).filter(|_| self.has_exempt_keepers())
    }

    /// Whether the view is large enough for exempt keepers.
    pub(super) fn has_exempt_keepers(&self) -> bool {
        self.members.len() >= MIN_MEMBERS_FOR_EXEMPT_KEEPER
    }

    /// All members, the keeper first.
    ///
    /// ```
    /// use cassiarock_claim::view::View;
    /// use cassiarock_id::{Job, Process, Wall};
    /// let job = Job::with_bits(Wall::from_millis(5), 1);
    /// let view = View::new(7, (0..3).map(|n| Process::new(format!("agent-{n}"), 1)));
    /// assert_eq!(view.ranked(job).first().copied(), view.keeper(job));
    /// ```
    #[must_use]
    pub fn ranked(&self, job: Job) -> Vec<&Process> {
        let key = xxh3_64(job.as_bytes());
        let mut order: Vec<_> = (0..self.members.len()).collect();
        order.sort_by_key(|at| (mix(self.hashes[*at] ^ key), *at));
        order.iter().rev().map(|at| &self.members[*at]).collect()
    }
}

/// Hashes the name without the incarnation: an agent that restarts keeps the same jobs as
/// before, and its return changes no other job's keeper.
fn hash(process: &Process) -> u64 {
    mix(xxh3_64(process.name.as_bytes()) ^ NAME_HASH_SALT)
}

/// The finalizer of `SplitMix64`: spreads each input bit over the whole word.
const fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    word ^ (word >> 31)
}
