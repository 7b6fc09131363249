//! The order between the attempts to run one job.

use cassiarock_id::Process;
use serde::{Deserialize, Serialize};

/// One attempt to run a job. Attempts are ordered by round; the entry and its serial
/// number break ties.
///
/// ```
/// use cassiarock_claim::Ballot;
/// use cassiarock_id::Process;
/// let first = Ballot::new(Ballot::FRESH, Process::new("entry-1", 1));
/// assert!(first < first.next(Process::new("entry-0", 1)));
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ballot {
    /// Round 0 needs no claim (repeatable single requests), round 1 is a keeper's grant of
    /// a job never seen before, and every later round starts with a gather.
    pub round: u32,
    /// The entry that owns the attempt.
    pub entry: Process,
    /// Tells the entry's owners apart. An entry never uses a number twice, so that an owner
    /// without knowledge of earlier starts can't be granted an earlier owner's ballot.
    pub serial: u64,
}

impl Ballot {
    /// The round of repeatable requests, whose starts the ledger does not record.
    pub const UNCLAIMED: u32 = 0;
    /// The round that a keeper grants without a gather, for a job never seen before.
    pub const FRESH: u32 = 1;

    /// An attempt of `entry` in `round`, with serial number 0.
    #[must_use]
    pub const fn new(round: u32, entry: Process) -> Self {
        Self {
            round,
            entry,
            serial: 0,
        }
    }

    /// The same attempt with the serial number `serial`.
    ///
    /// ```
    /// use cassiarock_claim::Ballot;
    /// use cassiarock_id::Process;
    /// let ballot = Ballot::new(1, Process::new("entry-1", 1)).with_serial(7);
    /// assert_eq!(ballot.serial, 7);
    /// ```
    #[must_use]
    pub fn with_serial(self, serial: u64) -> Self {
        Self { serial, ..self }
    }

    /// The same owner's attempt in `round`.
    ///
    /// ```
    /// use cassiarock_claim::Ballot;
    /// use cassiarock_id::Process;
    /// let ballot = Ballot::new(1, Process::new("entry-1", 1)).with_serial(7);
    /// assert_eq!(ballot.clone().with_round(2).serial, 7);
    /// ```
    #[must_use]
    pub fn with_round(self, round: u32) -> Self {
        Self { round, ..self }
    }

    /// An attempt of `entry` in a round above this one's and above `FRESH`.
    #[must_use]
    pub fn next(&self, entry: Process) -> Self {
        Self::new(self.round.max(Self::FRESH).saturating_add(1), entry)
    }

    /// Whether both ballots belong to the same owner, whatever the round.
    ///
    /// ```
    /// use cassiarock_claim::Ballot;
    /// use cassiarock_id::Process;
    /// let first = Ballot::new(1, Process::new("entry-1", 1)).with_serial(7);
    /// assert!(first.same_owner(&first.clone().with_round(3)));
    /// assert!(!first.same_owner(&first.clone().with_serial(8)));
    /// ```
    #[must_use]
    pub fn same_owner(&self, other: &Self) -> bool {
        self.entry == other.entry && self.serial == other.serial
    }
}
