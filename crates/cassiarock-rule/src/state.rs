//! The state folded from the log records, identical in every process at the same offset.

use crate::effect::{Effect, Reason};
use crate::membership::{DrainOrder, History, Remover};
use crate::record::{Body, Id};
use crate::{Configuration, Edit, Membership, Record, RuleSet};
use cassiarock_id::{Name, Wall};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// How many ids of operators' records are remembered to detect duplicates. At 3,600 changes a
/// day this covers more than an hour; a retried append is only seconds late.
const MAX_RECENT_IDS: usize = 256;

/// The origin of the current version of rules and configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The id of the record.
    pub id: Id,
    /// The operator who published it.
    pub by: Name,
    /// The time of publication by the operator's clock.
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
    /// The change that made that version; `None` before the first.
    pub change: Option<Change>,
    /// The rules.
    pub rules: Arc<RuleSet>,
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// The agents.
    pub membership: Arc<Membership>,
    /// The highest `next` of any snapshot on the log: records below it may be deleted.
    pub covered: u64,
    /// A lower bound on the time of the first record that no snapshot covers.
    pub covered_at: Wall,
    /// When the last record folded in was written, by its author's clock.
    pub at: Wall,
    recent: VecDeque<Id>,
}

impl State {
    /// Applies the record at `offset`, which must be the next one; records at lower offsets are
    /// ignored.
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
            Body::Rules { based_on, edits } => self.apply_once(record, |state| {
                state.publish(record, *based_on, |state| state.edit(edits))
            }),
            Body::Configuration {
                based_on,
                configuration,
            } => self.apply_once(record, |state| {
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
                self.apply_once(record, |state| state.drain(record.at, &order))
            }
            Body::Joined { member } => self.membership_at(record.at).join(offset + 1, member),
            Body::Left { process } => {
                let itself = record.by == process.name;
                let by = if itself {
                    Remover::Itself
                } else {
                    Remover::Other(record.at)
                };
                self.membership_at(record.at).leave(offset + 1, process, by)
            }
            Body::HandedOver { process, version } => {
                let members = self.membership_at(record.at);
                members.hand_over(offset + 1, process, *version)
            }
            Body::Snapshot { state } => self.record_snapshot(offset, state),
            Body::Restore {
                end,
                set,
                configuration,
            } => self.restore(offset, *end, record, set, configuration),
        }
    }

    /// Skips the record at `offset`, which this release cannot read.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Applies an operator's record unless its id was seen before. A record whose response was
    /// lost is appended again under the same id. Applied twice it would be a second change after
    /// a later one, or conflict with its own first copy.
    fn apply_once(&mut self, record: &Record, apply: impl FnOnce(&mut Self) -> Effect) -> Effect {
        if self.recent.contains(&record.id) {
            return Effect::Ignored;
        }
        self.recent.push_back(record.id);
        if self.recent.len() > MAX_RECENT_IDS {
            self.recent.pop_front();
        }
        apply(self)
    }

    /// Applies a change that is based on the current version. Rules and configuration share one
    /// version: a rule set is validated against the pools of the version it is based on, so
    /// rules and pools in force together were also validated together.
    fn publish(
        &mut self,
        record: &Record,
        based_on: u64,
        apply: impl FnOnce(&mut Self) -> Result<(), Reason>,
    ) -> Effect {
        if based_on != self.version {
            return Effect::Rejected(self.conflict(based_on));
        }
        if let Err(reason) = apply(self) {
            return Effect::Rejected(reason);
        }
        self.version = self.next;
        self.change = Some(change(record));
        Effect::Accepted
    }

    /// The rules after `edits`; either all of them are applied or none.
    ///
    /// # Errors
    /// If one of the edits cannot be applied.
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
        self.membership_at(at).drain(version, order, &configuration)
    }

    /// Records how far a snapshot covers the log. If a process stalled between taking a snapshot
    /// and appending it, the records in between are not covered, and the age of the snapshot is
    /// that of its state, not of its record. Otherwise it would delay the next snapshot until
    /// those records are deleted, and no new process could start.
    fn record_snapshot(&mut self, offset: u64, snapshot: &Self) -> Effect {
        if snapshot.next > self.covered {
            self.covered = snapshot.next;
            let whole = snapshot.next == offset;
            self.covered_at = if whole { self.at } else { snapshot.at };
        }
        Effect::Ignored
    }

    /// Applies a restore only if no record was appended after the operator read the end of the
    /// log, so that at most one of several concurrent or duplicate restores takes effect.
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

    /// The state right after a restore, from which readers without an earlier state start too.
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

    /// The reason to reject a change based on `based_on`, which is not the current version.
    #[must_use]
    pub fn conflict(&self, based_on: u64) -> Reason {
        let by = self.change.as_ref().map(|change| change.by.clone());
        Reason::Conflict {
            based_on,
            version: self.version,
            by: by.unwrap_or_else(|| "nobody".into()),
        }
    }

    fn membership_at(&mut self, at: Wall) -> &mut Membership {
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
