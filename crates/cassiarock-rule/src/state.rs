//! The state folded from the records, the same in every process at the same offset.

use crate::effect::{Effect, Reason};
use crate::membership::{DrainOrder, History, Remover};
use crate::record::{Body, Id};
use crate::{Configuration, Edit, Membership, Record, RuleSet};
use cassiarock_id::{Name, Wall};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// How many ids of operators' records are remembered, to pass over their duplicates. At 3,600
/// changes a day it covers more than an hour; a retried append is late by seconds.
const REMEMBERED: usize = 256;

/// Who made the current version of rules and configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The record.
    pub id: Id,
    /// The operator.
    pub by: Name,
    /// When, by the operator's clock.
    pub at: Wall,
}

/// Rules, configuration and membership after all records below an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// The offset of the first record not yet folded in. Of two states the one with the
    /// higher `next` is newer.
    pub next: u64,
    /// The version of rules and configuration: one more than the offset of the record that
    /// made it; 0 before the first.
    pub version: u64,
    /// Who made that version; nobody before the first.
    pub change: Option<Change>,
    /// The rules.
    pub rules: Arc<RuleSet>,
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// The agents.
    pub membership: Arc<Membership>,
    /// The highest `next` of a snapshot on the log: records below it may be cut.
    pub covered: u64,
    /// A time no later than that of the first record that no snapshot covers.
    pub covered_at: Wall,
    /// When the last record folded in was written, by its author's clock.
    pub at: Wall,
    recent: VecDeque<Id>,
}

impl State {
    /// Folds in the record at `offset`, which must be the next one; lower ones are ignored.
    ///
    /// ```
    /// use cassiarock_id::{Process, Wall};
    /// use cassiarock_rule::{Effect, Member, Record, State, record::Body};
    /// let member = Member::new(Process::new("agent-1", 1), ([127, 0, 0, 1], 7001).into());
    /// let record = Record::new(Wall::default(), "agent-1", Body::Joined { member });
    /// let mut state = State::default();
    /// assert_eq!(state.apply(0, &record), Effect::Accepted);
    /// assert_eq!(state.membership.members.len(), 1);
    /// assert_eq!(state.apply(0, &record), Effect::Ignored);
    /// ```
    pub fn apply(&mut self, offset: u64, record: &Record) -> Effect {
        if offset < self.next {
            return Effect::Ignored;
        }
        self.next = offset + 1;
        self.at = record.at;
        if self.covered_at == Wall::default() {
            self.covered_at = record.at;
        }
        match &record.body {
            Body::Rules { based_on, edits } => self.once(record, |state| {
                state.publish(record, *based_on, |state| state.edit(edits))
            }),
            Body::Configuration {
                based_on,
                configuration,
            } => self.once(record, |state| {
                state.publish(record, *based_on, |state| {
                    state.configuration = Arc::new(configuration.clone());
                    Ok(())
                })
            }),
            Body::Drain {
                agent,
                incarnation,
                leaving,
                force,
            } => {
                let order = DrainOrder {
                    agent,
                    incarnation: *incarnation,
                    leaving: *leaving,
                    force: *force,
                };
                self.once(record, |state| state.drain(record.at, &order))
            }
            Body::Joined { member } => self.members(record.at).join(offset + 1, member),
            Body::Left { process } => {
                let itself = record.by == process.name;
                let by = if itself {
                    Remover::Itself
                } else {
                    Remover::Other(record.at)
                };
                self.members(record.at).leave(offset + 1, process, by)
            }
            Body::HandedOver { process, version } => {
                let members = self.members(record.at);
                members.hand_over(offset + 1, process, *version)
            }
            Body::Snapshot { state } => self.cover(offset, state),
            Body::Restore {
                end,
                set,
                configuration,
            } => self.restore(offset, *end, record, set, configuration),
        }
    }

    /// Passes over the record at `offset`, which this release cannot read.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// An operator's record whose answer was lost is appended again under its id. Its copy
    /// must not count: after a later change it would be a second change, or a conflict with
    /// the operator's own first copy.
    fn once(&mut self, record: &Record, act: impl FnOnce(&mut Self) -> Effect) -> Effect {
        if self.recent.contains(&record.id) {
            return Effect::Ignored;
        }
        self.recent.push_back(record.id);
        if self.recent.len() > REMEMBERED {
            self.recent.pop_front();
        }
        act(self)
    }

    /// Rules and configuration share one version: a set is checked against the pools of the
    /// version it is based on, so what goes in force together was also checked together.
    fn publish(
        &mut self,
        record: &Record,
        based_on: u64,
        act: impl FnOnce(&mut Self) -> Result<(), Reason>,
    ) -> Effect {
        if based_on != self.version {
            return Effect::Rejected(self.conflict(based_on));
        }
        if let Err(reason) = act(self) {
            return Effect::Rejected(reason);
        }
        self.version = self.next;
        self.change = Some(change(record));
        Effect::Accepted
    }

    /// The rules as `edits` would make them, all or none.
    ///
    /// # Errors
    /// If one of them does not fit.
    pub fn with_edits(&self, edits: &[Edit]) -> Result<RuleSet, Reason> {
        let mut set = RuleSet::clone(&self.rules);
        for (position, edit) in edits.iter().enumerate() {
            edit.apply(&mut set)
                .map_err(|error| Reason::Edit { position, error })?;
        }
        Ok(set)
    }

    fn edit(&mut self, edits: &[Edit]) -> Result<(), Reason> {
        self.rules = Arc::new(self.with_edits(edits)?);
        Ok(())
    }

    fn drain(&mut self, at: Wall, order: &DrainOrder) -> Effect {
        let version = self.next;
        let configuration = Arc::clone(&self.configuration);
        self.members(at).drain(version, order, &configuration)
    }

    /// Notes how far the log is covered. If a process stalled between taking a snapshot and
    /// appending it, the records between are not covered, and the snapshot is as old as what
    /// it covers, however late it came: else it would put off the next one until those
    /// records are cut, and no new process could start.
    fn cover(&mut self, offset: u64, snapshot: &Self) -> Effect {
        if snapshot.next > self.covered {
            self.covered = snapshot.next;
            let whole = snapshot.next == offset;
            self.covered_at = if whole { self.at } else { snapshot.at };
        }
        Effect::Ignored
    }

    /// Counts only where nothing came between the operator's look at the log and the record,
    /// so that of racing ones, or of copies, one counts at most.
    fn restore(
        &mut self,
        offset: u64,
        end: u64,
        record: &Record,
        set: &RuleSet,
        configuration: &Configuration,
    ) -> Effect {
        if offset != end {
            return Effect::Rejected(self.conflict(end));
        }
        *self = Self::restored(offset, record, set, configuration);
        Effect::Accepted
    }

    /// The state from a restore on, at which also readers without any earlier state begin.
    pub(crate) fn restored(
        offset: u64,
        record: &Record,
        set: &RuleSet,
        configuration: &Configuration,
    ) -> Self {
        let version = offset + 1;
        Self {
            next: version,
            version,
            change: Some(change(record)),
            rules: Arc::new(set.clone()),
            configuration: Arc::new(configuration.clone()),
            membership: Arc::new(Membership {
                version,
                history: History::with_beginning(version, record.at),
                ..Membership::default()
            }),
            covered: version,
            covered_at: record.at,
            at: record.at,
            recent: VecDeque::new(),
        }
    }

    /// Why a change based on `based_on`, which is not the current version, does not count.
    #[must_use]
    pub fn conflict(&self, based_on: u64) -> Reason {
        let by = self.change.as_ref().map(|change| change.by.clone());
        Reason::Conflict {
            based_on,
            version: self.version,
            by: by.unwrap_or_else(|| "nobody".into()),
        }
    }

    fn members(&mut self, at: Wall) -> &mut Membership {
        Arc::make_mut(&mut self.membership).advance(at)
    }
}

fn change(record: &Record) -> Change {
    Change {
        id: record.id,
        by: record.by.clone(),
        at: record.at,
    }
}
