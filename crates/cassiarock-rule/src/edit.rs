//! Changes to the ordered rules.

use crate::{Rule, RuleSet};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};

/// One change to a set. Records carry edits rather than sets: at 3,600 changes a day every
/// process reads some hundred bytes per change instead of the whole set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Put a new rule at a position; what stood there and after moves back by one.
    Insert {
        /// The place, from 0 to the number of rules.
        at: usize,
        /// The new rule.
        rule: Rule,
    },
    /// Take a rule out and put it back so that it stands at a position.
    Move {
        /// The rule.
        name: Name,
        /// Its new place.
        to: usize,
    },
    /// Take a rule out.
    Delete {
        /// The rule.
        name: Name,
    },
    /// Put another rule in the place of the one with the same name.
    Replace {
        /// The new rule.
        rule: Rule,
    },
    /// Put a whole set in place of all rules.
    Publish {
        /// The new set.
        set: RuleSet,
    },
}

/// Why an edit does not fit the set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum Error {
    /// No rule has this name; look at the current order and name one of its rules.
    #[error("no rule is named {0}")]
    Unknown(Name),
    /// The name is taken; replace that rule, or choose another name.
    #[error("a rule named {0} exists already")]
    Taken(Name),
    /// The position lies beyond the end; give one from 0 to the number of rules.
    #[error("position {at} is beyond the {length} rules")]
    #[serde(rename = "Beyond")]
    OutOfRange {
        /// The asked position.
        at: usize,
        /// The number of rules.
        length: usize,
    },
}

impl Edit {
    /// Carries it out.
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
    /// If it does not fit; the set is then unchanged.
    pub fn apply(&self, set: &mut RuleSet) -> Result<(), Error> {
        match self {
            Self::Insert { at, rule } => insert(set, *at, rule),
            Self::Move { name, to } => shift(set, name, *to),
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

fn shift(set: &mut RuleSet, name: &Name, to: usize) -> Result<(), Error> {
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
