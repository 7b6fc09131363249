//! Folding a log whose oldest records may have been deleted by retention.

use crate::record::Body;
use crate::{Effect, Record, State};
use std::collections::VecDeque;

/// The maximum number of records that are buffered until a base state is found. Beyond it the
/// oldest are dropped, and only snapshots that cover the dropped ones are accepted.
const MAX_BUFFERED_RECORDS: usize = 16_384;

/// A reader's fold over the log.
///
/// It starts from the empty state only at offset 0. At any other offset it needs a base state,
/// and **accepts a snapshot as base only if it has read every record after those that the
/// snapshot covers.** A stalled process may append an old snapshot long after it checked that
/// the snapshot was new. This reverts no reader: one that has a state ignores snapshots, and one
/// without sees from the gap between the end of the snapshot and the first record it read that
/// changes are missing.
#[derive(Clone, Debug)]
pub struct Fold {
    state: Option<State>,
    search: Option<Search>,
}

/// The records read so far without a base state.
#[derive(Clone, Debug)]
struct Search {
    /// The offset of the first buffered record.
    first: u64,
    /// The offset of the next record to read.
    next: u64,
    records: VecDeque<(u64, Option<Record>)>,
}

impl Fold {
    /// Creates a fold that reads from `first`. At 0 it starts from the empty state, otherwise it
    /// searches for a base state.
    ///
    /// ```
    /// use cassiarock_rule::Fold;
    /// assert!(Fold::new(0).state().is_some());
    /// assert!(Fold::new(7).state().is_none());
    /// ```
    #[must_use]
    pub fn new(first: u64) -> Self {
        if first == 0 {
            return Self::with_state(State::default());
        }
        Self {
            state: None,
            search: Some(Search::new(first)),
        }
    }

    /// Creates a fold that continues from a state obtained elsewhere.
    #[must_use]
    pub fn with_state(state: State) -> Self {
        Self {
            state: Some(state),
            search: None,
        }
    }

    /// The newest known state, if any. While a base state is searched for it may lag behind the
    /// log.
    #[must_use]
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Whether records are missing between the state and the records read, so that a base state
    /// is searched for.
    #[must_use]
    pub fn is_searching(&self) -> bool {
        self.search.is_some()
    }

    /// The offset of the record to read next.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        match (&self.search, &self.state) {
            (Some(search), _) => search.next,
            (None, Some(state)) => state.next,
            (None, None) => 0,
        }
    }

    /// Records that the log now starts at `earliest`. If records were deleted before they were
    /// read, a search for a base state starts there. Meanwhile the state is kept, except for the
    /// empty one: a process that starts while the log is being truncated must not conclude that
    /// nothing was ever published.
    pub fn set_log_start(&mut self, earliest: u64) {
        if earliest <= self.next_offset() {
            return;
        }
        self.search = Some(Search::new(earliest));
        self.state.take_if(|state| state.next == 0);
    }

    /// Applies the record at `offset`; `None` for one that this release cannot read. An offset
    /// above the next one means that records were deleted before they were read, see
    /// [`Self::set_log_start`]. Returns `None` while a base state is searched for.
    pub fn push(&mut self, offset: u64, record: Option<Record>) -> Option<Effect> {
        if offset < self.next_offset() {
            return Some(Effect::Ignored);
        }
        self.set_log_start(offset);
        match (&mut self.search, &mut self.state) {
            (Some(search), _) => {
                search.push(offset, record);
                self.finish_search(offset)
            }
            (None, state) => Some(apply(
                state.get_or_insert_default(),
                offset,
                record.as_ref(),
            )),
        }
    }

    /// Takes over the state of another process if it is newer, and returns whether it was. This
    /// ends a search if no record is missing between that state and the buffered records.
    pub fn offer(&mut self, offered: State) -> bool {
        if self
            .state
            .as_ref()
            .is_some_and(|state| state.next >= offered.next)
        {
            return false;
        }
        let Some(search) = &self.search else {
            self.state = Some(offered);
            return true;
        };
        if offered.next < search.first {
            self.state = Some(offered);
            return true;
        }
        self.adopt(offered);
        true
    }

    /// Ends the search if the last record provides a base state.
    fn finish_search(&mut self, offset: u64) -> Option<Effect> {
        let search = self.search.as_ref()?;
        let base = search.base(offset)?;
        self.adopt(base);
        Some(Effect::Ignored)
    }

    /// Takes `base` as the state and applies the buffered records to it.
    fn adopt(&mut self, mut base: State) {
        let records = self.search.take().map(|search| search.records);
        for (offset, record) in records.unwrap_or_default() {
            if offset >= base.next {
                apply(&mut base, offset, record.as_ref());
            }
        }
        self.state = Some(base);
    }
}

impl Search {
    fn new(first: u64) -> Self {
        Self {
            first,
            next: first,
            records: VecDeque::new(),
        }
    }

    fn push(&mut self, offset: u64, record: Option<Record>) {
        self.records.push_back((offset, record));
        self.next = offset + 1;
        if self.records.len() > MAX_BUFFERED_RECORDS {
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// The base state that the last record provides, if any.
    fn base(&self, offset: u64) -> Option<State> {
        let (_, record) = self.records.back()?;
        let record = record.as_ref()?;
        match &record.body {
            Body::Snapshot { state } if state.next >= self.first && state.next <= offset => {
                Some(State::clone(state))
            }
            Body::Restore {
                end,
                set,
                configuration,
            } if *end == offset => Some(State::restored(offset, record, set, configuration)),
            _ => None,
        }
    }
}

fn apply(state: &mut State, offset: u64, record: Option<&Record>) -> Effect {
    match record {
        Some(record) => state.apply(offset, record),
        None => {
            state.skip(offset);
            Effect::Ignored
        }
    }
}
