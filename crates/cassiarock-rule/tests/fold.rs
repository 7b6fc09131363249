//! Property tests of the fold under interleavings of writers, truncation, duplicates and late
//! snapshots.

mod model;

use cassiarock_rule::record::Body;
use cassiarock_rule::{Fold, State};
use model::{Event, Model, READERS, event};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

/// The versions that must never decrease in one process.
fn versions(state: &State) -> (u64, u64, u64) {
    (state.next, state.version, state.membership.version)
}

fn only_grew(before: &State, after: &State) -> bool {
    let (before, after) = (versions(before), versions(after));
    before.0 <= after.0 && before.1 <= after.1 && before.2 <= after.2
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, ..ProptestConfig::default() })]

    #[test]
    fn all_readers_agree_and_versions_only_grow(events in prop::collection::vec(event(), 1..80)) {
        let mut model = Model::new();
        for event in &events {
            let before: Vec<_> = model.readers.iter().map(|fold| fold.state().cloned()).collect();
            model.step(event);
            for reader in 0..READERS {
                let Some(after) = model.readers[reader].state() else { continue };
                prop_assert_eq!(after, &model.expected_states[usize::try_from(after.next).unwrap()]);
                let replaced = matches!(event, Event::ReplaceReader(this, _) if *this == reader);
                if let (false, Some(before)) = (replaced, &before[reader]) {
                    prop_assert!(only_grew(before, after));
                }
            }
        }
        check_final_states(&mut model)?;
    }
}

/// Checks that every reader that does not search for a base state has the expected final state,
/// and that the others find one as soon as a snapshot of the end is appended.
fn check_final_states(model: &mut Model) -> Result<(), TestCaseError> {
    let state = Box::new(model.expected_states[model.records.len()].clone());
    for reader in 0..READERS {
        model.read(reader, usize::MAX >> 1);
        let fold = &model.readers[reader];
        prop_assert!(fold.is_searching() || fold.state() == Some(&state));
    }
    model.append(Body::Snapshot { state });
    let last = model.expected_states[model.records.len()].clone();
    for reader in 0..READERS {
        model.read(reader, usize::MAX >> 1);
        prop_assert!(!model.readers[reader].is_searching());
        prop_assert_eq!(model.readers[reader].state(), Some(&last));
    }
    Ok(())
}

/// A log on which a stalled process appends the snapshot that it took before a change, after
/// the record of that change was deleted.
fn log_with_stale_snapshot() -> Model {
    let mut model = Model::new();
    model.step(&Event::Edit(0));
    model.step(&Event::Read(0, 1));
    model.step(&Event::TakeSnapshot(0));
    model.step(&Event::Edit(0));
    model.step(&Event::Read(1, 2));
    model.step(&Event::Truncate(2));
    model.step(&Event::AppendSnapshot);
    model
}

// A new process must not decide by rules from before a published change. A process takes a
// snapshot and stalls; a rule is published; retention deletes the older records; the process
// resumes and appends its snapshot, which is now the first record on the log.
#[test]
fn a_snapshot_that_lacks_a_deleted_change_is_not_accepted() {
    let model = log_with_stale_snapshot();
    let mut fold = Fold::new(model.log_start);
    fold.push(2, model.records[2].clone());
    assert!(fold.is_searching());
    assert_eq!(fold.state(), None);
}

/// The state of a faulty reader that accepts the first snapshot it reads as its base state.
fn fold_accepting_any_snapshot(model: &Model) -> Option<State> {
    let mut state: Option<State> = None;
    for offset in model.log_start..model.end() {
        let record =
            model.records[usize::try_from(offset).expect("an offset of a small log")].as_ref();
        match (&mut state, record, record.map(|record| &record.body)) {
            (Some(state), Some(record), _) => drop(state.apply(offset, record)),
            (Some(state), None, _) => state.skip(offset),
            (None, _, Some(Body::Snapshot { state: base })) => {
                let mut base = State::clone(base);
                base.skip(offset);
                state = Some(base);
            }
            (None, _, _) => {}
        }
    }
    state
}

// Checks that the property above can fail: it does for readers that accept any snapshot.
#[test]
fn readers_that_accept_any_snapshot_violate_the_property() {
    let state = fold_accepting_any_snapshot(&log_with_stale_snapshot());
    assert_eq!(
        state.map(|state| state.version),
        Some(1),
        "reverted from 2 to 1"
    );
    let mut runner = TestRunner::deterministic();
    let found = runner.run(&prop::collection::vec(event(), 1..80), |events| {
        let mut model = Model::new();
        events.iter().for_each(|event| model.step(event));
        let state = fold_accepting_any_snapshot(&model);
        let expected = model.expected_states.last();
        prop_assert!(state.is_none() || state.as_ref() == expected);
        Ok(())
    });
    assert!(found.is_err());
}

#[test]
fn a_snapshot_taken_after_the_change_ends_the_search() {
    let mut model = log_with_stale_snapshot();
    let mut fold = Fold::new(model.log_start);
    fold.push(2, model.records[2].clone());
    model.read(1, 1);
    model.step(&Event::TakeSnapshot(1));
    model.step(&Event::AppendSnapshot);
    fold.push(3, model.records[3].clone());
    assert_eq!(fold.state(), Some(&model.expected_states[4]));
}

// A process was paused for longer than the log retains records. It must keep its state, know
// that the state is not current, and continue when a peer offers it a newer one.
#[test]
fn a_reader_behind_the_log_start_keeps_its_state_until_a_peer_offers_one() {
    let mut model = Model::new();
    model.step(&Event::Edit(0));
    model.read(0, 1);
    model.read(1, 1);
    model.step(&Event::Edit(1));
    model.read(1, 1);
    model.step(&Event::Truncate(2));
    model.read(0, 1);
    assert!(model.readers[0].is_searching());
    assert_eq!(model.readers[0].state(), Some(&model.expected_states[1]));
    model.step(&Event::OfferState(1, 0));
    assert!(!model.readers[0].is_searching());
    assert_eq!(model.readers[0].state(), Some(&model.expected_states[2]));
}

// A process starts while retention deletes the first records. If it continued from the empty
// state, it would run all requests in the default pool.
#[test]
fn a_reader_that_read_nothing_drops_the_empty_state() {
    let mut fold = Fold::new(0);
    fold.set_log_start(5);
    assert_eq!(fold.state(), None);
}

#[test]
fn an_older_state_of_a_peer_is_not_accepted() {
    let mut fold = Fold::new(0);
    fold.push(0, None);
    assert!(!fold.offer(State::default()));
    assert_eq!(fold.state().map(|state| state.next), Some(1));
}
