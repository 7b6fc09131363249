//! The effects of single records on the state.

use cassiarock_id::{Process, Wall};
use cassiarock_rule::action::Run;
use cassiarock_rule::effect::Reason;
use cassiarock_rule::membership::Standing;
use cassiarock_rule::record::{Body, Id};
use cassiarock_rule::{Action, Configuration, Edit, Effect, Member, Record, Rule, RuleSet, State};

fn rule(name: &str) -> Rule {
    Rule::new(name, Action::Run(Run::default()))
}

fn insert(by: &str, based_on: u64, name: &str) -> Record {
    let rule = rule(name);
    let edits = vec![Edit::Insert { at: 0, rule }];
    Record::new(Wall::default(), by, Body::Rules { based_on, edits })
}

fn joined(name: &str, incarnation: u64) -> Record {
    let member = Member::new(
        Process::new(name, incarnation),
        ([127, 0, 0, 1], 7001).into(),
    );
    Record::new(Wall::default(), name, Body::Joined { member })
}

fn left(name: &str, incarnation: u64) -> Record {
    let process = Process::new(name, incarnation);
    Record::new(Wall::default(), "peer", Body::Left { process })
}

fn drain(agent: &str, force: bool) -> Record {
    let body = Body::Drain {
        agent: agent.into(),
        incarnation: None,
        leaving: true,
        force,
    };
    Record::new(Wall::default(), "ana", body)
}

fn fold(records: &[Record]) -> (State, Vec<Effect>) {
    let mut state = State::default();
    let effects = (0..)
        .zip(records)
        .map(|(offset, record)| state.apply(offset, record));
    let effects = effects.collect();
    (state, effects)
}

// Two operators publish edits based on the same version. The second must not be applied to rules
// that its author has not seen.
#[test]
fn of_two_concurrent_edits_the_first_wins_and_the_second_is_told_the_author() {
    let (state, effects) = fold(&[insert("ana", 0, "a"), insert("ben", 0, "b")]);
    let lost = Reason::Conflict {
        based_on: 0,
        version: 1,
        by: "ana".into(),
    };
    assert_eq!(effects, [Effect::Accepted, Effect::Rejected(lost)]);
    assert_eq!((state.version, state.rules.rules.len()), (1, 1));
}

// The response to an append is lost, so the record is appended again, after another operator's
// change.
#[test]
fn a_duplicate_of_an_accepted_change_is_ignored() {
    let first = insert("ana", 0, "a");
    let (state, effects) = fold(&[first.clone(), insert("ben", 1, "b"), first]);
    assert_eq!(
        effects,
        [Effect::Accepted, Effect::Accepted, Effect::Ignored]
    );
    assert_eq!(state.version, 2);
}

#[test]
fn edits_are_applied_all_or_none() {
    let delete = Edit::Delete {
        name: "none".into(),
    };
    let edits = vec![
        Edit::Insert {
            at: 0,
            rule: rule("a"),
        },
        delete,
    ];
    let body = Body::Rules { based_on: 0, edits };
    let (state, effects) = fold(&[Record::new(Wall::default(), "ana", body)]);
    assert!(matches!(
        effects[0],
        Effect::Rejected(Reason::Edit { position: 1, .. })
    ));
    assert!(state.rules.rules.is_empty());
}

// A new agent takes the address and name of one that died. The removal of the dead one is
// appended after the new one joined.
#[test]
fn a_late_removal_of_an_earlier_incarnation_keeps_the_later_one() {
    let (state, effects) = fold(&[joined("a", 1), joined("a", 2), left("a", 1)]);
    assert_eq!(effects[2], Effect::Ignored);
    assert_eq!(
        state.membership.standing(&Process::new("a", 2)),
        Standing::Active
    );
}

// A paused process is removed, and its append from before the pause arrives when it resumes.
#[test]
fn a_removed_process_does_not_rejoin_as_the_same_incarnation() {
    let (state, effects) = fold(&[joined("a", 1), left("a", 1), joined("a", 1), joined("a", 2)]);
    assert_eq!(effects[2], Effect::Rejected(Reason::Departed));
    assert_eq!(effects[3], Effect::Accepted);
    assert_eq!(
        state.membership.standing(&Process::new("a", 1)),
        Standing::Departed
    );
    assert_eq!(state.membership.version, 4);
}

// Two scripts each drain one of three agents, unaware of each other.
#[test]
fn concurrent_drains_do_not_empty_a_pool() {
    let records = [
        joined("a", 1),
        joined("b", 1),
        joined("c", 1),
        drain("a", false),
    ];
    let (mut state, _) = fold(&records);
    let effect = state.apply(4, &drain("b", false));
    assert!(matches!(
        effect,
        Effect::Rejected(Reason::DrainLimit {
            leaving: 2,
            members: 3,
            ..
        })
    ));
    assert_eq!(state.apply(5, &drain("b", true)), Effect::Accepted);
}

// An entry is partitioned from the agents, considers all of them dead and appends their removals.
#[test]
fn one_observer_does_not_empty_the_membership() {
    let mut records: Vec<_> = (0..9).map(|name| joined(&format!("a{name}"), 1)).collect();
    records.extend((0..9).map(|name| left(&format!("a{name}"), 1)));
    let (mut state, _) = fold(&records);
    assert_eq!(state.membership.members.len(), 6);
    let mut later = left("a8", 1);
    later.at = Wall::from_millis(61_000);
    assert_eq!(state.apply(18, &later), Effect::Accepted);
    let mut own = left("a7", 1);
    own.by = "a7".into();
    assert_eq!(state.apply(19, &own), Effect::Accepted);
}

// A drain is rejected, and its duplicate arrives after the pool has recovered. The operator was
// told that it was rejected, so it must not take effect.
#[test]
fn a_duplicate_of_a_rejected_drain_has_no_effect() {
    let rejected = drain("b", false).with_id(Id::with_bits(9));
    let (mut state, _) = fold(&[joined("a", 1), joined("b", 1), drain("a", false)]);
    assert!(matches!(state.apply(3, &rejected), Effect::Rejected(_)));
    state.apply(4, &left("a", 1));
    assert_eq!(state.apply(5, &rejected), Effect::Ignored);
}

// Records were deleted that no snapshot covers, and an operator restores. Earlier agents and jobs
// are not in the new state, and an earlier job must not appear to have never run.
#[test]
fn a_restore_does_not_claim_to_know_earlier_views() {
    let at = Wall::from_millis(5_000);
    let body = Body::Restore {
        end: 1,
        set: RuleSet::default(),
        configuration: Configuration::default(),
    };
    let (state, effects) = fold(&[joined("a", 1), Record::new(at, "ana", body)]);
    assert_eq!(effects[1], Effect::Accepted);
    let history = &state.membership.history;
    assert_eq!(history.known_since(), at);
    assert!(!history.is_complete_since(1) && history.is_complete_since(2));
}

// A member runs a job, dies and is removed. An entry that starts afterwards knows only recent
// changes; without the view before the first of them it would conclude that this member cannot
// have run the job.
#[test]
fn the_view_before_the_first_remembered_change_is_reported() {
    let late = Wall::from_millis(2 * 3_600 * 1_000);
    let at = |record: Record| Record { at: late, ..record };
    let records = [
        joined("a", 1),
        joined("b", 1),
        at(joined("c", 1)),
        at(left("a", 1)),
    ];
    let (state, _) = fold(&records);
    let views = state.membership.views(0).into_iter().map(|view| {
        let names = view.members.iter().map(|member| member.name.to_string());
        let mut names: Vec<_> = names.collect();
        names.sort();
        (view.version, names.concat())
    });
    let expected = [(2, "ab"), (3, "abc"), (4, "bc")].map(|(n, names)| (n, names.to_owned()));
    assert_eq!(views.collect::<Vec<_>>(), expected);
}

#[test]
fn a_record_of_a_newer_format_is_not_decoded() {
    let mut record = joined("a", 1);
    record.format += 1;
    assert!(Record::decode(&record.encode().unwrap()).is_err());
}
