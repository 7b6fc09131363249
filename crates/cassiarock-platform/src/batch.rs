//! The result of one read of the log.

/// An encoded record and its position on the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// The offset on the log.
    pub offset: u64,
    /// The encoded record.
    pub bytes: Vec<u8>,
}

/// Records in the order of their offsets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The records from the requested offset on or, if retention deleted it, from `earliest` on.
    pub records: Vec<LogRecord>,
    /// The offset of the first record that retention has not deleted.
    pub earliest: u64,
    /// The offset that the next append gets.
    pub end: u64,
}
