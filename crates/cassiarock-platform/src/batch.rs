//! What one read of the log gives.

/// One record as it lies on the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Records in the order of their offsets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The records, beginning at the asked offset or, if that was cut, at `earliest`.
    pub records: Vec<LogRecord>,
    /// The offset of the first kept record.
    pub earliest: u64,
    /// The offset that the next append gets.
    pub end: u64,
}
