//! What differs between two states, for an operator who lost a race.

use crate::{Configuration, RuleSet, State};
use cassiarock_id::Name;
use std::collections::BTreeMap;
use std::fmt;

/// One difference.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// A rule that was not there before.
    Added {
        /// The rule.
        rule: Name,
        /// Its place, from 0.
        at: usize,
    },
    /// A rule that is no longer there.
    Deleted {
        /// The rule.
        rule: Name,
    },
    /// A rule that stands elsewhere among those that were there before.
    Moved {
        /// The rule.
        rule: Name,
        /// Its place, from 0.
        to: usize,
    },
    /// A rule with another condition or action.
    Changed {
        /// The rule.
        rule: Name,
    },
    /// A pool that was added, deleted or changed.
    Pool {
        /// The pool.
        pool: Name,
    },
    /// A team whose quota was added, deleted or changed.
    Team {
        /// The team.
        team: Name,
    },
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { rule, at } => write!(f, "rule {rule} added at {at}"),
            Self::Deleted { rule } => write!(f, "rule {rule} deleted"),
            Self::Moved { rule, to } => write!(f, "rule {rule} moved to {to}"),
            Self::Changed { rule } => write!(f, "rule {rule} changed"),
            Self::Pool { pool } => write!(f, "pool {pool} changed"),
            Self::Team { team } => write!(f, "quota of team {team} changed"),
        }
    }
}

/// All differences in rules and configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Difference {
    /// In the order of the rules, then of the names of pools and teams.
    pub lines: Vec<Line>,
}

impl Difference {
    /// What was done to `old` to make it `new`.
    ///
    /// ```
    /// use cassiarock_rule::{Difference, State};
    /// assert!(Difference::new(&State::default(), &State::default()).lines.is_empty());
    /// ```
    #[must_use]
    pub fn new(old: &State, new: &State) -> Self {
        let mut lines = rules(&old.rules, &new.rules);
        lines.extend(configuration(&old.configuration, &new.configuration));
        Self { lines }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = self.lines.iter();
        if let Some(first) = lines.next() {
            write!(f, "{first}")?;
        }
        lines.try_for_each(|line| write!(f, "\n{line}"))
    }
}

fn rules(old: &RuleSet, new: &RuleSet) -> Vec<Line> {
    let deleted = old
        .rules
        .iter()
        .filter(|rule| new.position(&rule.name).is_none());
    let mut lines: Vec<_> = deleted
        .map(|rule| Line::Deleted {
            rule: rule.name.clone(),
        })
        .collect();
    let kept = kept_order(old, new);
    for (at, rule) in new.rules.iter().enumerate() {
        let name = rule.name.clone();
        let before = old.rules.iter().find(|before| before.name == name);
        let Some(before) = before else {
            lines.push(Line::Added { rule: name, at });
            continue;
        };
        if before != rule {
            lines.push(Line::Changed { rule: name.clone() });
        }
        if !kept.contains(&name) {
            lines.push(Line::Moved { rule: name, to: at });
        }
    }
    lines
}

/// The longest run of rules that stand in the same order in both sets: the others moved.
fn kept_order(old: &RuleSet, new: &RuleSet) -> Vec<Name> {
    let places: Vec<_> = new
        .rules
        .iter()
        .filter_map(|rule| Some((rule.name.clone(), old.position(&rule.name)?)))
        .collect();
    let mut longest: Vec<Vec<usize>> = Vec::new();
    for (index, (_, place)) in places.iter().enumerate() {
        let runs = longest.iter().filter(|run| {
            let last = run.last().and_then(|last| places.get(*last));
            last.is_some_and(|(_, last)| last < place)
        });
        let mut run = runs
            .max_by_key(|run| run.len())
            .cloned()
            .unwrap_or_default();
        run.push(index);
        longest.push(run);
    }
    let best = longest.into_iter().max_by_key(Vec::len).unwrap_or_default();
    best.into_iter()
        .filter_map(|index| Some(places.get(index)?.0.clone()))
        .collect()
}

fn configuration(old: &Configuration, new: &Configuration) -> impl Iterator<Item = Line> {
    let pools = changed(&old.pools, &new.pools).into_iter();
    let teams = changed(&old.teams, &new.teams).into_iter();
    pools
        .map(|pool| Line::Pool { pool })
        .chain(teams.map(|team| Line::Team { team }))
}

fn changed<T: PartialEq>(old: &BTreeMap<Name, T>, new: &BTreeMap<Name, T>) -> Vec<Name> {
    let gone = old.keys().filter(|name| !new.contains_key(*name));
    let other = new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(value));
    let other = other.map(|(name, _)| name);
    gone.chain(other).cloned().collect()
}
