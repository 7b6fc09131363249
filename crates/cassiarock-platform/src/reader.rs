//! Reads the log into a [`Fold`].

use crate::{Batch, Error, Log};
use cassiarock_rule::record::Id;
use cassiarock_rule::{Effect, Fold, Record, State};
use std::time::Duration;

/// How many records before the end a new reader reads first. If they hold no usable snapshot, it
/// reads a window four times as long, so a long log costs at most a third more.
const WINDOW: u64 = 1024;
const WINDOW_GROWTH: u64 = 4;

/// The effect of the record at one offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// The offset.
    pub offset: u64,
    /// The record's id, if the bytes could be decoded.
    pub id: Option<Id>,
    /// Its effect; unknown while the fold searches for a base snapshot.
    pub effect: Option<Effect>,
}

/// Reads a log from the next offset of its fold.
#[derive(Clone, Debug)]
pub struct Reader {
    log: Log,
    fold: Option<Fold>,
    end: u64,
}

impl Reader {
    /// A reader without a state.
    #[must_use]
    pub fn new(log: Log) -> Self {
        Self {
            log,
            fold: None,
            end: 0,
        }
    }

    /// The newest state known.
    #[must_use]
    pub fn state(&self) -> Option<&State> {
        self.fold.as_ref()?.state()
    }

    /// Whether the state is known up to the end of the log as last seen.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let fold = self.fold.as_ref();
        fold.is_some_and(|fold| !fold.is_searching() && fold.next_offset() >= self.end)
    }

    /// Whether retention deleted records before they were read, so that the reader searches for a
    /// base snapshot.
    #[must_use]
    pub fn is_searching(&self) -> bool {
        self.fold.as_ref().is_some_and(Fold::is_searching)
    }

    /// The end of the log as last seen.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Takes the state of another process if it is newer, and returns whether it was.
    pub fn offer(&mut self, state: State) -> bool {
        match &mut self.fold {
            Some(fold) => fold.offer(state),
            None => {
                self.fold = Some(Fold::with_state(state));
                true
            }
        }
    }

    /// Reads to the end of the log. The first call starts from the newest usable snapshot.
    ///
    /// # Errors
    /// If the log fails; the records read so far stay applied.
    pub async fn catch_up(&mut self) -> Result<(), Error> {
        if self.fold.is_none() {
            self.open().await?;
        }
        self.read_to_end().await
    }

    /// Makes one read, which waits up to `wait` for a first record.
    ///
    /// # Errors
    /// If the log fails; the records read so far stay applied.
    pub async fn step(&mut self, wait: Duration) -> Result<Vec<Outcome>, Error> {
        if self.fold.is_none() {
            self.open().await?;
        }
        let Some(fold) = &mut self.fold else {
            return Ok(Vec::new());
        };
        let batch = self.log.read(fold.next_offset(), wait).await?;
        self.end = batch.end;
        apply(&self.log, fold, batch)
    }

    /// Picks the offset to start from: the smallest window at the end of the log that holds a
    /// usable snapshot, else the start of the log.
    async fn open(&mut self) -> Result<(), Error> {
        let edges = self.log.edges().await?;
        let mut window = WINDOW;
        loop {
            let first = edges.end.saturating_sub(window).max(edges.earliest);
            let mut candidate = Self {
                log: self.log.clone(),
                fold: Some(Fold::new(first)),
                end: edges.end,
            };
            candidate.read_to_end().await?;
            if candidate.state().is_some() || first <= edges.earliest {
                *self = candidate;
                return Ok(());
            }
            window = window.saturating_mul(WINDOW_GROWTH);
        }
    }

    async fn read_to_end(&mut self) -> Result<(), Error> {
        loop {
            let Some(fold) = &mut self.fold else {
                return Ok(());
            };
            let batch = self.log.read(fold.next_offset(), Duration::ZERO).await?;
            self.end = batch.end;
            apply(&self.log, fold, batch)?;
            if fold.next_offset() >= self.end {
                return Ok(());
            }
        }
    }
}

fn apply(log: &Log, fold: &mut Fold, batch: Batch) -> Result<Vec<Outcome>, Error> {
    if batch.end < fold.next_offset() {
        return Err(Error::Regressed {
            peer: log.peer().into(),
            end: batch.end,
            next: fold.next_offset(),
        });
    }
    fold.set_log_start(batch.earliest);
    let outcomes = batch.records.into_iter().map(|entry| {
        let record = Record::decode(&entry.bytes).ok();
        Outcome {
            offset: entry.offset,
            id: record.as_ref().map(|record| record.id),
            effect: fold.push(entry.offset, record),
        }
    });
    Ok(outcomes.collect())
}
