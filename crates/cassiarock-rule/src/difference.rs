//! The differences between two states, shown to an operator whose change was rejected because
//! another one came first.

use crate::{Configuration, RuleSet, State};
use cassiarock_id::Name;
use std::collections::BTreeMap;
use std::fmt;

/// One difference.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// A rule was added.
    Added {
        /// The name of the rule.
        rule: Name,
        /// Its index, from 0.
        at: usize,
    },
    /// A rule was deleted.
    Deleted {
        /// The name of the rule.
        rule: Name,
    },
    /// A rule was moved relative to the other rules of the old state.
    Moved {
        /// The name of the rule.
        rule: Name,
        /// Its new index, from 0.
        to: usize,
    },
    /// The condition or action of a rule was changed.
    Changed {
        /// The name of the rule.
        rule: Name,
    },
    /// A pool was added, deleted or changed.
    Pool {
        /// The name of the pool.
        pool: Name,
    },
    /// The quota of a team was added, deleted or changed.
    Team {
        /// The name of the team.
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

/// The differences in rules and configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Difference {
    /// Rules in their order, then pools and teams by name.
    pub lines: Vec<Line>,
}

impl Difference {
    /// Computes the changes that turn `old` into `new`.
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
    let unmoved = unmoved_rules(old, new);
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
        if !unmoved.contains(&name) {
            lines.push(Line::Moved { rule: name, to: at });
        }
    }
    lines
}

/// The longest common subsequence of rules in both sets; the other common rules were moved.
fn unmoved_rules(old: &RuleSet, new: &RuleSet) -> Vec<Name> {
    let old_positions: Vec<_> = new
        .rules
        .iter()
        .filter_map(|rule| Some((rule.name.clone(), old.position(&rule.name)?)))
        .collect();
    let mut longest: Vec<Vec<usize>> = Vec::new();
    for (index, (_, position)) in old_positions.iter().enumerate() {
        let runs = longest.iter().filter(|run| {
            let last = run.last().and_then(|last| old_positions.get(*last));
            last.is_some_and(|(_, last)| last < position)
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
        .filter_map(|index| Some(old_positions.get(index)?.0.clone()))
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
