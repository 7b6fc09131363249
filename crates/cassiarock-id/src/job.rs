//! The id of a job: a UUID of version 7, which carries its issue time.

use crate::Wall;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use uuid::{NoContext, Timestamp, Uuid};

/// Why a text or UUID is not a valid job id.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a UUID. Send the usual form of 36 characters.
    #[error("the job id is not a UUID")]
    Malformed,
    /// The UUID is not of version 7. Issue ids with a UUID v7 generator: a very late
    /// resubmission is told from a new job by the issue time in its id.
    #[error("the job id is a UUID, but not of version 7")]
    Version,
}

/// The id of a job, chosen by its caller and unchanged in resubmissions.
///
/// ```
/// use cassiarock_id::{Job, Wall};
/// let job = Job::new(Wall::from_millis(1_700_000_000_000));
/// assert_eq!(job.issued(), Wall::from_millis(1_700_000_000_000));
/// assert_eq!(job.to_string().parse(), Ok(job));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct Job(Uuid);

impl Job {
    /// Creates an id with the issue time `now` and random other bits.
    #[must_use]
    pub fn new(now: Wall) -> Self {
        let millis = now.as_millis();
        let nanos = u32::try_from(millis % 1000 * 1_000_000).unwrap_or(0);
        Self(Uuid::new_v7(Timestamp::from_unix(
            NoContext,
            millis / 1000,
            nanos,
        )))
    }

    /// An id with the given issue time and low bits, for tests that need fixed ids.
    ///
    /// ```
    /// use cassiarock_id::{Job, Wall};
    /// let issued = Wall::from_millis(5);
    /// assert_eq!(Job::with_bits(issued, 7), Job::with_bits(issued, 7));
    /// ```
    #[must_use]
    pub fn with_bits(issued: Wall, bits: u64) -> Self {
        let mut random = [0; 10];
        random[2..].copy_from_slice(&bits.to_be_bytes());
        Self(uuid::Builder::from_unix_timestamp_millis(issued.as_millis(), &random).into_uuid())
    }

    /// The time at which the caller issued the id, by the caller's clock.
    #[must_use]
    pub fn issued(self) -> Wall {
        let bytes = self.0.as_bytes();
        let millis = bytes[..6]
            .iter()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        Wall::from_millis(millis)
    }

    /// The id's 16 bytes, for hashing.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}

impl TryFrom<Uuid> for Job {
    type Error = Error;

    fn try_from(uuid: Uuid) -> Result<Self, Error> {
        if uuid.get_version_num() != 7 {
            return Err(Error::Version);
        }
        Ok(Self(uuid))
    }
}

impl From<Job> for Uuid {
    fn from(job: Job) -> Self {
        job.0
    }
}

impl FromStr for Job {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let uuid = Uuid::from_str(text).map_err(|_| Error::Malformed)?;
        Self::try_from(uuid)
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
