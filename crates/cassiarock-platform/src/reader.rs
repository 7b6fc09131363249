//! Reading the log into a fold.

use crate::{Batch, Error, Log};
use cassiarock_rule::record::Id;
use cassiarock_rule::{Effect, Fold, Record, State};
use std::time::Duration;

/// How many records before the end a new reader looks at first. With a snapshot among them it
/// is done; else it looks at four times as many, so a long log costs at most a third more.
const WINDOW: u64 = 1024;
const WINDOW_GROWTH: u64 = 4;

/// What was read at one offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// The offset.
    pub offset: u64,
    /// The record's id, if it is a record.
    pub id: Option<Id>,
    /// Its effect; unknown while a base is searched.
    pub effect: Option<Effect>,
}

/// Reads a log from wherever its fold stands.
#[derive(Clone, Debug)]
pub struct Reader {
    log: Log,
    fold: Option<Fold>,
    end: u64,
}

impl Reader {
    /// A reader that knows nothing yet.
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

    /// Whether records were cut that were never read, so that a base is searched.
    #[must_use]
    pub fn is_searching(&self) -> bool {
        self.fold.as_ref().is_some_and(Fold::is_searching)
    }

    /// The end of the log as last seen.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Takes the state of another process if it is newer; tells whether it was.
    pub fn offer(&mut self, state: State) -> bool {
        match &mut self.fold {
            Some(fold) => fold.offer(state),
            None => {
                self.fold = Some(Fold::with_state(state));
                true
            }
        }
    }

    /// Reads to the end of the log, for a start quickly from its newest snapshot.
    ///
    /// # Errors
    /// If the log fails; what was learned is kept.
    pub async fn catch_up(&mut self) -> Result<(), Error> {
        if self.fold.is_none() {
            self.open().await?;
        }
        self.read_to_end().await
    }

    /// Reads once, waiting up to `wait` for a first record.
    ///
    /// # Errors
    /// If the log fails; what was learned is kept.
    pub async fn step(&mut self, wait: Duration) -> Result<Vec<Outcome>, Error> {
        if self.fold.is_none() {
            self.open().await?;
        }
        let Some(fold) = &mut self.fold else {
            return Ok(Vec::new());
        };
        let batch = self.log.read(fold.next_offset(), wait).await?;
        self.end = batch.end;
        take(&self.log, fold, batch)
    }

    /// Finds the place to begin at: the start of the log, or a window at its end that holds a
    /// usable snapshot, or the widest window there is.
    async fn open(&mut self) -> Result<(), Error> {
        let edges = self.log.edges().await?;
        let mut window = WINDOW;
        loop {
            let first = edges.end.saturating_sub(window).max(edges.earliest);
            let mut tried = Self {
                log: self.log.clone(),
                fold: Some(Fold::new(first)),
                end: edges.end,
            };
            tried.read_to_end().await?;
            if tried.state().is_some() || first <= edges.earliest {
                *self = tried;
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
            take(&self.log, fold, batch)?;
            if fold.next_offset() >= self.end {
                return Ok(());
            }
        }
    }
}

fn take(log: &Log, fold: &mut Fold, batch: Batch) -> Result<Vec<Outcome>, Error> {
    if batch.end < fold.next_offset() {
        return Err(Error::Regressed {
            peer: log.peer().into(),
            end: batch.end,
            next: fold.next_offset(),
        });
    }
    fold.set_log_start(batch.earliest);
    let outcomes = batch.records.into_iter().map(|item| {
        let record = Record::decode(&item.bytes).ok();
        Outcome {
            offset: item.offset,
            id: record.as_ref().map(|record| record.id),
            effect: fold.push(item.offset, record),
        }
    });
    Ok(outcomes.collect())
}
