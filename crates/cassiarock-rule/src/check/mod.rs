//! Validation of rule sets and configurations before they are published.

mod cover;
mod problem;
mod rule;

pub use problem::{Fault, Problem};

use crate::{Configuration, Rule, RuleSet};

/// The maximum number of rules in a set. Every request is matched against them in order, which
/// costs an entry about ten microseconds a job at a thousand rules; and a state must fit into one
/// record.
pub const MAX_RULES: usize = 1024;

/// All problems of `set` under `configuration`, in the order of the rules.
///
/// ```
/// use cassiarock_rule::{Action, Configuration, Rule, RuleSet, action::Run, check};
/// let set = RuleSet::new(vec![Rule::new("all", Action::Run(Run::new("nowhere")))]);
/// let problems = check::rule_set(&set, &Configuration::default());
/// assert_eq!(problems[0].to_string(), "rule all at 0: no pool is named nowhere");
/// ```
#[must_use]
pub fn rule_set(set: &RuleSet, configuration: &Configuration) -> Vec<Problem> {
    let mut problems: Vec<_> = set
        .rules
        .iter()
        .enumerate()
        .flat_map(|(position, rule)| rule_problems(set, position, rule, configuration))
        .collect();
    if set.rules.len() > MAX_RULES {
        let fault = Fault::TooManyRules { limit: MAX_RULES };
        problems.extend(
            set.rules
                .get(MAX_RULES)
                .map(|rule| Problem::new(rule, MAX_RULES, fault)),
        );
    }
    problems
}

/// All problems of `configuration` by itself or in combination with `rules`.
///
/// ```
/// use cassiarock_rule::{Configuration, RuleSet, check};
/// assert!(check::configuration(&Configuration::default(), &RuleSet::default()).is_empty());
/// ```
#[must_use]
pub fn configuration(configuration: &Configuration, rules: &RuleSet) -> Vec<String> {
    let teams = configuration.teams.iter();
    let zero = teams.filter(|(_, quota)| quota.slots == 0);
    let zero = zero.map(|(team, _)| {
        format!("team {team}: a quota of zero slots; refuse the team by a rule instead")
    });
    let pools = configuration.pools.iter();
    let percent = pools.filter(|(_, pool)| !(1..=100).contains(&pool.leaving_percent));
    let percent = percent.map(|(name, _)| format!("pool {name}: leaving_percent is not 1 to 100"));
    let default = (!configuration
        .pools
        .contains_key(crate::action::DEFAULT_POOL))
    .then(|| "no pool is named default, where unmatched requests run".to_owned());
    let rule_problems = rule_set(rules, configuration);
    let rule_problems = rule_problems.iter().map(ToString::to_string);
    zero.chain(percent)
        .chain(default)
        .chain(rule_problems)
        .collect()
}

fn rule_problems(
    set: &RuleSet,
    position: usize,
    rule: &Rule,
    configuration: &Configuration,
) -> Vec<Problem> {
    let earlier = &set.rules[..position];
    let mut faults = rule::faults(rule, configuration);
    faults.extend(rule::conflicts(rule, earlier));
    let problem = |fault| Problem::new(rule, position, fault);
    faults.into_iter().map(problem).collect()
}
