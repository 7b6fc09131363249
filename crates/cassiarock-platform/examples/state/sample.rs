//! States and records of the size to measure.

use cassiarock_id::{Process, Wall};
use cassiarock_rule::action::Run;
use cassiarock_rule::record::Body;
use cassiarock_rule::{Action, Condition, Edit, Member, Record, Rule, State};

/// Agents in the plan of two years.
pub const AGENTS: u32 = 2_900;
const DATA_CENTRES: u32 = 9;
const PER_RACK: u32 = 20;

/// The announcement of agent number `index`.
pub fn join(index: u32, life: u64) -> Record {
    let process = Process::new(format!("agent-{index}"), 1_790_000_000_000 + life);
    let [_, high, middle, low] = index.to_be_bytes();
    let place = format!("region-{}-dc-{}", index % 4, index % DATA_CENTRES);
    let member = Member::new(process, ([10, high, middle, low], 7001).into())
        .with_place(place, format!("rack-{}", index / PER_RACK))
        .with_capacity(8, 64);
    Record::new(
        Wall::now(),
        format!("agent-{index}"),
        Body::Joined { member },
    )
}

/// The word of agent number `index` that it goes.
pub fn left(index: u32, life: u64) -> Record {
    let process = Process::new(format!("agent-{index}"), 1_790_000_000_000 + life);
    Record::new(
        Wall::now(),
        format!("agent-{index}"),
        Body::Left { process },
    )
}

/// A rule for one kind of one team.
pub fn rule(index: u32) -> Rule {
    let when = Condition {
        kinds: vec![format!("kind-{index}").into()],
        teams: vec![format!("team-{}", index % 180).into()],
        ..Condition::default()
    };
    Rule::new(format!("rule-{index}"), Action::Run(Run::default())).with_condition(when)
}

/// An operator's change of one rule, on top of `state`.
pub fn change(state: &State, index: u32) -> Record {
    let rule = rule(index);
    let known = state.rules.position(&rule.name).is_some();
    let edit = if known {
        Edit::Replace { rule }
    } else {
        Edit::Insert { at: 0, rule }
    };
    let body = Body::Rules {
        based_on: state.version,
        edits: vec![edit],
    };
    Record::new(Wall::now(), "operator", body)
}

/// A state with so many agents and 200 rules.
pub fn state(agents: u32) -> State {
    let mut state = State::default();
    for index in 0..agents {
        state.apply(state.next, &join(index, 0));
    }
    for index in 0..200 {
        let change = change(&state, index);
        state.apply(state.next, &change);
    }
    state
}

/// The bytes of a snapshot of `state`.
pub fn snapshot(state: &State) -> Result<Vec<u8>, cassiarock_rule::record::Error> {
    let state = Box::new(state.clone());
    Record::new(Wall::now(), "entry-1", Body::Snapshot { state }).encode()
}
