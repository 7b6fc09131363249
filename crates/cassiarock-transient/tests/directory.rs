//! Tests of the directory of entries and of the updates that are forwarded.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::Name;
use cassiarock_transient::directory::{ApplyResult, Endpoint, State, Update, UpdateBuilder};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn name(number: u8) -> Name {
    format!("10.0.0.{number}:7000").into()
}

fn endpoint(number: u8) -> Endpoint {
    Endpoint::new(name(number), "dc-1")
}

fn dc() -> Option<Name> {
    Some("dc-1".into())
}

fn update(records: &[(u8, bool)], from: usize, to: usize) -> Option<Update> {
    let mut builder = UpdateBuilder::default();
    for (offset, (address, is_present)) in records.iter().enumerate().take(to).skip(from) {
        builder.add(
            offset as u64,
            name(*address),
            is_present.then(|| "dc-1".into()),
        );
    }
    builder.take()
}

fn expected_addresses(records: &[(u8, bool)], end: usize) -> BTreeSet<Name> {
    let mut addresses = BTreeSet::new();
    for (address, is_present) in &records[..end] {
        if *is_present {
            addresses.insert(name(*address));
        } else {
            addresses.remove(&name(*address));
        }
    }
    addresses
}

fn listed(state: &State) -> BTreeSet<Name> {
    state
        .full_update()
        .present
        .into_iter()
        .map(|at| at.address)
        .collect()
}

// An address that an update neither adds nor deletes stays; one that was added and deleted within
// it is gone.
#[test]
fn the_last_record_of_an_address_wins() {
    let mut builder = UpdateBuilder::default();
    builder.add(4, name(1), dc());
    builder.add(5, name(1), None);
    builder.add(6, name(2), dc());
    let update = builder.take().unwrap();
    assert_eq!((update.since, update.next), (4, 7));
    let mut state = State::default();
    state.apply(&Update::full(4, [endpoint(1), endpoint(3)]));
    state.apply(&update);
    assert_eq!(listed(&state), [name(2), name(3)].into());
    assert_eq!(builder.take(), None);
}

// A restarted entry announces itself under the same address. The address is not new, but the
// announcement still has to be forwarded.
#[test]
fn a_repeated_announcement_is_kept_in_the_update() {
    let mut state = State::default();
    state.apply(&Update::full(4, [endpoint(1)]));
    let mut builder = UpdateBuilder::default();
    builder.add(4, name(1), dc());
    let update = builder.take().unwrap();
    assert!(matches!(
        state.apply(&update),
        ApplyResult::Changed { added: 0, .. }
    ));
    assert_eq!(update.present, [endpoint(1)]);
}

#[test]
fn an_empty_update_shows_only_missing_records() {
    let mut state = State::default();
    state.apply(&Update::full(4, [endpoint(1)]));
    let version = state.empty_update();
    assert_eq!(state.apply(&version), ApplyResult::Known);
    assert_eq!(State::default().apply(&version), ApplyResult::Gap);
}

proptest! {
    // Twelve entries read the topic in pieces of their own and forward them in any order, some of
    // them twice, some never. A process that requests a full update at each gap has the same state
    // as a reader of the topic.
    #[test]
    fn updates_in_any_split_and_order_reproduce_the_topic(
        records in proptest::collection::vec((0_u8..6, any::<bool>()), 1..40),
        pieces in proptest::collection::vec((0_usize..40, 1_usize..12), 1..60),
    ) {
        let mut state = State::default();
        for (from, length) in pieces {
            let from = from.min(records.len() - 1);
            let to = (from + length).min(records.len());
            let Some(update) = update(&records, from, to) else { continue };
            if state.apply(&update) == ApplyResult::Gap {
                let all = Update::full(to as u64, expected_addresses(&records, to).into_iter().map(|at| Endpoint::new(at, "dc-1")));
                state.apply(&all);
            }
            prop_assert_eq!(listed(&state), expected_addresses(&records, state.next_offset() as usize));
        }
    }
}
