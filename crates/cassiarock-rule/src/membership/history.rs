//! Recent membership changes, from which earlier views are reconstructed.

use cassiarock_id::{Name, Process, Wall};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Member;

/// How long a change is remembered. Jobs are remembered for 15 minutes by default, and a gather
/// must reach the members of all views within the lifetime of a job; the other 5 minutes cover
/// clock skew and late records.
const CHANGE_RETENTION: Duration = Duration::from_secs(20 * 60);

/// The maximum number of remembered changes. At the target size 210 replacements a day make 600
/// changes; a rolling restart of 2,900 agents within an hour makes 2,000 within the retention
/// time.
const MAX_CHANGES: usize = 2048;

/// One membership change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Change {
    version: u64,
    at: Wall,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    joined: Option<Process>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    left: Option<Process>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    retired: Option<Process>,
}

/// The members at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PastView {
    /// The membership version.
    pub version: u64,
    /// Its members.
    pub members: Vec<Process>,
    /// The process that had handed over its state when this version began.
    pub retired: Option<Process>,
    /// The process that joined with this version, and the time of the join or a later one.
    pub joined: Option<(Process, Wall)>,
}

/// Recent membership changes, the oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// The latest time of any applied record.
    latest: Wall,
    /// All views in force at this time or later can be reconstructed.
    known_since: Wall,
    /// The version of the last change that was forgotten.
    forgotten: u64,
    changes: VecDeque<Change>,
}

impl History {
    /// Creates a history that begins with a restore at this version and time. What happened
    /// before is unknown, so no earlier job may be treated as new.
    pub(crate) fn with_beginning(version: u64, at: Wall) -> Self {
        Self {
            latest: at,
            known_since: at,
            forgotten: version,
            changes: VecDeque::new(),
        }
    }

    /// The time from which on all views can be reconstructed.
    #[must_use]
    pub const fn known_since(&self) -> Wall {
        self.known_since
    }

    /// Whether all views above `version` are remembered.
    #[must_use]
    pub const fn is_complete_since(&self, version: u64) -> bool {
        version >= self.forgotten
    }

    /// Whether `process` is known to have handed over its state before it departed.
    #[must_use]
    pub fn is_retired(&self, process: &Process) -> bool {
        let mut changes = self.changes.iter();
        changes.any(|change| change.retired.as_ref() == Some(process))
    }

    /// Advances the time to that of an applied record, and drops expired changes.
    pub(super) fn advance(&mut self, at: Wall) {
        self.latest = self.latest.max(at);
        let oldest = self.latest.minus(CHANGE_RETENTION);
        while let Some(first) = self.changes.front() {
            if first.at >= oldest && self.changes.len() <= MAX_CHANGES {
                return;
            }
            // A record from a slow clock must not make the views before it seem known.
            self.known_since = self.known_since.max(first.at);
            self.forgotten = first.version;
            self.changes.pop_front();
        }
    }

    pub(super) fn join(&mut self, version: u64, joined: &Process, replaced: Option<&Process>) {
        self.push(version, Some(joined.clone()), replaced.cloned(), None);
    }

    pub(super) fn leave(&mut self, version: u64, left: &Process, retired: bool) {
        let retired = retired.then(|| left.clone());
        self.push(version, None, Some(left.clone()), retired);
    }

    pub(super) fn retire(&mut self, version: u64, process: &Process) {
        self.push(version, None, None, Some(process.clone()));
    }

    pub(super) fn drain(&mut self, version: u64) {
        self.push(version, None, None, None);
    }

    fn push(
        &mut self,
        version: u64,
        joined: Option<Process>,
        left: Option<Process>,
        retired: Option<Process>,
    ) {
        let at = self.latest;
        self.changes.push_back(Change {
            version,
            at,
            joined,
            left,
            retired,
        });
    }

    /// All views above `after`, the oldest first, reconstructed from the current members.
    pub(super) fn views(&self, after: u64, members: &BTreeMap<Name, Member>) -> Vec<PastView> {
        let present = members.values().map(|member| member.process.clone());
        let mut members: Vec<Process> = present.collect();
        let mut views = Vec::new();
        let newer = self.changes.iter().rev();
        for change in newer.take_while(|change| change.version > after) {
            views.push(PastView {
                version: change.version,
                members: members.clone(),
                retired: change.retired.clone(),
                joined: change.joined.clone().map(|joined| (joined, change.at)),
            });
            members.retain(|member| Some(member) != change.joined.as_ref());
            members.extend(change.left.clone());
        }
        // A job may have been active in the view before the first remembered change, and have
        // run at a member that this change removed.
        if after < self.forgotten {
            views.push(PastView {
                version: self.forgotten,
                members,
                retired: None,
                joined: None,
            });
        }
        views.reverse();
        views
    }
}
