//! The records on the log and their encoding.

use crate::{Configuration, Edit, Member, RuleSet, State};
use cassiarock_id::{Name, Process, Wall};
use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::{NoContext, Timestamp, Uuid};

/// The record format that this release writes.
pub const FORMAT: u32 = 1;

/// The unique id of a record, by which duplicates are detected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Id(Uuid);

impl Id {
    /// Creates a random id (UUID version 7) with the time `now`, in whole seconds.
    #[must_use]
    pub fn new(now: Wall) -> Self {
        let seconds = now.as_millis() / 1000;
        Self(Uuid::new_v7(Timestamp::from_unix(NoContext, seconds, 0)))
    }

    /// Creates an id from the given bits, for tests.
    #[must_use]
    pub fn with_bits(bits: u128) -> Self {
        Self(Uuid::from_u128(bits))
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The content of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// An operator changes the rules.
    Rules {
        /// The version of rules and configuration that the change is based on.
        based_on: u64,
        /// Applied in order, all or none.
        edits: Vec<Edit>,
    },
    /// An operator changes the configuration.
    Configuration {
        /// The version of rules and configuration that the change is based on.
        based_on: u64,
        /// The whole new configuration.
        configuration: Configuration,
    },
    /// An agent announces itself.
    Joined {
        /// The data of the agent.
        member: Member,
    },
    /// An agent left by itself, if the record is by a process of its name, or was removed by
    /// another process. Such removals are rate limited (see `membership::Removals`).
    Left {
        /// The incarnation of the agent.
        process: Process,
    },
    /// An agent left after it handed over its state.
    HandedOver {
        /// The incarnation of the agent.
        process: Process,
        /// The membership version whose members it handed its state over to.
        version: u64,
    },
    /// An operator starts or cancels the draining of an agent.
    Drain {
        /// The name of the agent.
        agent: Name,
        /// The incarnation that the order is limited to; any if absent.
        incarnation: Option<u64>,
        /// True to start draining, false to cancel it.
        leaving: bool,
        /// Whether to ignore the limit on the share of a pool that may be leaving.
        force: bool,
    },
    /// The state of a process, so that older records can be deleted.
    Snapshot {
        /// The state after all records below `state.next`.
        state: Box<State>,
    },
    /// An operator sets rules and configuration anew on a log whose oldest records are deleted
    /// and not covered by a snapshot.
    Restore {
        /// The end of the log as the operator read it; the record is valid only at this offset.
        end: u64,
        /// The new rules.
        set: RuleSet,
        /// The new configuration.
        configuration: Configuration,
    },
}

/// One log record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The format in which it was written.
    pub format: u32,
    /// The unique id; a retry of the same append carries the same id.
    pub id: Id,
    /// The time at which it was written, by its author's clock.
    pub at: Wall,
    /// The operator or process that wrote it.
    pub by: Name,
    /// The content.
    pub body: Body,
}

/// Why bytes cannot be decoded as a record. Readers skip them.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes were not written by this system, or by a release whose records this one cannot
    /// read. Upgrade all processes to a release that reads a format before any writes it.
    #[error("unreadable record: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The record was written by a newer release; upgrade this process.
    #[error("record of format {0}, newer than {FORMAT}")]
    Newer(u32),
}

impl Record {
    /// Creates a record with a new id, written by `by` at `at`.
    ///
    /// ```
    /// use cassiarock_id::{Process, Wall};
    /// use cassiarock_rule::{Record, record::Body};
    /// let process = Process::new("agent-1", 7);
    /// let record = Record::new(Wall::from_millis(5), "agent-1", Body::Left { process });
    /// assert_eq!(Record::decode(&record.encode()?)?, record);
    /// # Ok::<_, cassiarock_rule::record::Error>(())
    /// ```
    pub fn new(at: Wall, by: impl Into<Name>, body: Body) -> Self {
        Self {
            format: FORMAT,
            id: Id::new(at),
            at,
            by: by.into(),
            body,
        }
    }

    /// Replaces the id.
    #[must_use]
    pub fn with_id(self, id: Id) -> Self {
        Self { id, ..self }
    }

    /// Encodes the record as stored on the log.
    ///
    /// # Errors
    /// If it cannot be serialized as JSON, which does not happen for records of this crate.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Decodes a record stored on the log.
    ///
    /// # Errors
    /// If the bytes are not a record, or one of a newer format.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let header: FormatHeader = serde_json::from_slice(bytes)?;
        if header.format > FORMAT {
            return Err(Error::Newer(header.format));
        }
        Ok(serde_json::from_slice(bytes)?)
    }
}

#[derive(Deserialize)]
struct FormatHeader {
    format: u32,
}
