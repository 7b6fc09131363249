//! The records on the log.

use crate::{Configuration, Edit, Member, RuleSet, State};
use cassiarock_id::{Name, Process, Wall};
use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::{NoContext, Timestamp, Uuid};

/// The format that this release writes.
pub const FORMAT: u32 = 1;

/// The unique id of a record, by which its copies are recognised.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Id(Uuid);

impl Id {
    /// A new id, drawn at random.
    #[must_use]
    pub fn new(now: Wall) -> Self {
        let seconds = now.as_millis() / 1000;
        Self(Uuid::new_v7(Timestamp::from_unix(NoContext, seconds, 0)))
    }

    /// A fixed id for tests.
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

/// What a record says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// An operator changes the rules.
    Rules {
        /// The version of rules and configuration that the operator saw.
        based_on: u64,
        /// Carried out in order, all or none.
        edits: Vec<Edit>,
    },
    /// An operator changes the configuration.
    Configuration {
        /// The version of rules and configuration that the operator saw.
        based_on: u64,
        /// The whole new configuration.
        configuration: Configuration,
    },
    /// An agent announces itself.
    Joined {
        /// What others must know of it.
        member: Member,
    },
    /// An agent has gone: by its own word if the record is by a process of its name, else by
    /// that of another process, which is bounded (see `membership::Removals`).
    Left {
        /// Which life of it.
        process: Process,
    },
    /// An agent has gone, after it handed over what it knew.
    HandedOver {
        /// Which life of it.
        process: Process,
        /// The membership version by which it chose whom to hand over to.
        version: u64,
    },
    /// An agent gets no new work, or gets work again.
    Drain {
        /// The agent.
        agent: Name,
        /// Only this life of it; any if absent.
        incarnation: Option<u64>,
        /// True to leave, false to stay after all.
        leaving: bool,
        /// Whether to pass over the bound on the share of a pool that may be leaving.
        force: bool,
    },
    /// The state of a process, so that older records can be cut.
    Snapshot {
        /// The state after all records below `state.next`.
        state: Box<State>,
    },
    /// An operator starts anew on a log of which no reader can know the beginning.
    Restore {
        /// The end of the log that the operator saw; it counts only at this very offset.
        end: u64,
        /// The rules from now on.
        set: RuleSet,
        /// The configuration from now on.
        configuration: Configuration,
    },
}

/// One record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The format in which it was written.
    pub format: u32,
    /// Unique; a retry of the same append carries the same id.
    pub id: Id,
    /// When it was written, by its author's clock.
    pub at: Wall,
    /// The operator or process that wrote it.
    pub by: Name,
    /// What it says.
    pub body: Body,
}

/// Why bytes are no record of a known format. The reader passes over them.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Not written by this system, or by a release whose records this one cannot read. Bring
    /// all processes to the release that reads a format before one writes it.
    #[error("unreadable record: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// Written by a newer release; update this process.
    #[error("record of format {0}, newer than {FORMAT}")]
    Newer(u32),
}

impl Record {
    /// A record with a fresh id, written now.
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

    /// The same under a fixed id.
    #[must_use]
    pub fn with_id(self, id: Id) -> Self {
        Self { id, ..self }
    }

    /// Its bytes on the log.
    ///
    /// # Errors
    /// If it cannot be written as JSON, which no record of this package does.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Reads bytes from the log.
    ///
    /// # Errors
    /// If they are no record, or one of a newer format.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let format: Format = serde_json::from_slice(bytes)?;
        if format.format > FORMAT {
            return Err(Error::Newer(format.format));
        }
        Ok(serde_json::from_slice(bytes)?)
    }
}

#[derive(Deserialize)]
struct Format {
    format: u32,
}
