//! Folding a log that may have lost its beginning.

use crate::record::Body;
use crate::{Effect, Record, State};
use std::collections::VecDeque;

/// How many records are kept while no base is found. Passing it only makes the search
/// stricter, since the search then counts as begun later.
const MAX_BUFFERED_RECORDS: usize = 16_384;

/// A reader's fold. It starts from the empty state only at offset 0. Anywhere else it needs a
/// base, and the rule is: **a snapshot counts only if this reader has seen every record since
/// the offset that the snapshot covers.** A stalled process that wakes up and appends an old
/// snapshot, long after its own check that the snapshot was new, thereby reverts nobody: a
/// reader that has its state ignores snapshots, and one without knows from the gap between
/// what the snapshot covers and the first record it has seen that changes are missing.
#[derive(Clone, Debug)]
pub struct Fold {
    state: Option<State>,
    search: Option<Search>,
}

/// The search for a base.
#[derive(Clone, Debug)]
struct Search {
    /// The offset of the first record seen.
    first: u64,
    /// The offset of the next record to see.
    next: u64,
    records: VecDeque<(u64, Option<Record>)>,
}

impl Fold {
    /// A fold that reads from `first`: with the empty state at 0, else in search of a base.
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

    /// A fold that goes on from a state learned elsewhere.
    #[must_use]
    pub fn with_state(state: State) -> Self {
        Self {
            state: Some(state),
            search: None,
        }
    }

    /// The newest state known, if any. During a search it may lag behind the log.
    #[must_use]
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Whether records are missing between the state and what was read.
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

    /// Takes note that the log begins at `earliest`. If records were cut unread, a base is
    /// searched from there. The state is kept meanwhile, but for the empty one: a process that
    /// starts while the log is being cut must not take itself to know that nothing was ever
    /// published.
    pub fn set_log_start(&mut self, earliest: u64) {
        if earliest <= self.next_offset() {
            return;
        }
        self.search = Some(Search::new(earliest));
        self.state.take_if(|state| state.next == 0);
    }

    /// Takes the record at `offset`; `None` for one that this release cannot read. An offset
    /// above the next one means that records were cut unread, see [`Self::set_log_start`]. Gives
    /// `None` while a base is searched.
    pub fn push(&mut self, offset: u64, record: Option<Record>) -> Option<Effect> {
        if offset < self.next_offset() {
            return Some(Effect::Ignored);
        }
        self.set_log_start(offset);
        match (&mut self.search, &mut self.state) {
            (Some(search), _) => {
                search.push(offset, record);
                self.settle(offset)
            }
            (None, state) => Some(apply(
                state.get_or_insert_default(),
                offset,
                record.as_ref(),
            )),
        }
    }

    /// Takes the state of another process if it is newer; tells whether it was. It ends a
    /// search if nothing is missing between it and the records seen.
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

    /// Looks whether the record just taken gives a base.
    fn settle(&mut self, offset: u64) -> Option<Effect> {
        let search = self.search.as_ref()?;
        let base = search.base(offset)?;
        self.adopt(base);
        Some(Effect::Ignored)
    }

    /// Goes on from `base` over the records already seen.
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

    /// The base that the last record gives, if it gives one.
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
