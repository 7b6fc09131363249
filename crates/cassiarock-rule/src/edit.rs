//! Edits of the ordered rules.

use crate::{Rule, RuleSet};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};

/// One change to a rule set. Records carry edits instead of whole sets: at 3,600 changes a day
/// every process then reads a few hundred bytes per change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Insert a new rule at an index; the rules from there on move back by one.
    Insert {
        /// The index, from 0 to the number of rules.
        at: usize,
        /// The new rule.
        rule: Rule,
    },
    /// Move a rule to an index.
    Move {
        /// The name of the rule.
        name: Name,
        /// Its index after the move.
        to: usize,
    },
    /// Delete a rule.
    Delete {
        /// The name of the rule.
        name: Name,
    },
    /// Replace the rule of the same name at its index.
    Replace {
        /// The new rule.
        rule: Rule,
    },
    /// Replace all rules by a new set.
    Publish {
        /// The new set.
        set: RuleSet,
    },
}

/// Why an edit cannot be applied to the rule set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum Error {
    /// No rule has this name; name one of the current rules.
    #[error("no rule is named {0}")]
    Unknown(Name),
    /// A rule of this name exists; replace that rule, or choose another name.
    #[error("a rule named {0} exists already")]
    Taken(Name),
    /// The index is out of range: an insert accepts 0 to the number of rules, a move must stay
    /// below it.
    #[error("position {at} is beyond the {length} rules")]
    #[serde(rename = "Beyond")]
    OutOfRange {
        /// The given index.
        at: usize,
        /// The number of rules.
        length: usize,
    },
}

impl Edit {
    /// Applies the edit to `set`.
    ///
    /// ```
    /// use cassiarock_rule::{Action, Edit, Rule, RuleSet, action::Run};
    /// let mut set = RuleSet::default();
    /// let rule = Rule::new("all", Action::Run(Run::default()));
    /// Edit::Insert { at: 0, rule }.apply(&mut set)?;
    /// Edit::Delete { name: "all".into() }.apply(&mut set)?;
    /// assert_eq!(set, RuleSet::default());
    /// # Ok::<_, cassiarock_rule::edit::Error>(())
    /// ```
    ///
    /// # Errors
    /// If the edit cannot be applied; the set is then unchanged.
    pub fn apply(&self, set: &mut RuleSet) -> Result<(), Error> {
        match self {
            Self::Insert { at, rule } => insert(set, *at, rule),
            Self::Move { name, to } => move_rule(set, name, *to),
            Self::Delete { name } => find(set, name).map(|at| drop(set.rules.remove(at))),
            Self::Replace { rule } => replace(set, rule),
            Self::Publish { set: new } => {
                new.clone_into(set);
                Ok(())
            }
        }
    }
}

fn insert(set: &mut RuleSet, at: usize, rule: &Rule) -> Result<(), Error> {
    if set.position(&rule.name).is_some() {
        return Err(Error::Taken(rule.name.clone()));
    }
    let length = set.rules.len();
    if at > length {
        return Err(Error::OutOfRange { at, length });
    }
    set.rules.insert(at, rule.clone());
    Ok(())
}

fn move_rule(set: &mut RuleSet, name: &Name, to: usize) -> Result<(), Error> {
    let at = find(set, name)?;
    let length = set.rules.len();
    if to >= length {
        return Err(Error::OutOfRange { at: to, length });
    }
    let rule = set.rules.remove(at);
    set.rules.insert(to, rule);
    Ok(())
}

fn replace(set: &mut RuleSet, rule: &Rule) -> Result<(), Error> {
    let at = find(set, &rule.name)?;
    set.rules[at] = rule.clone();
    Ok(())
}

fn find(set: &RuleSet, name: &Name) -> Result<usize, Error> {
    set.position(name)
        .ok_or_else(|| Error::Unknown(name.clone()))
}
