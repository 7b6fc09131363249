//! Snapshots by many processes: frequent enough to survive outages, and spread over time.

use cassiarock_id::Wall;
use cassiarock_rule::record::Body;
use cassiarock_rule::snapshot::Schedule;
use cassiarock_rule::{Fold, Record, State};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const RETENTION_S: u64 = 3_600;

fn draws(count: usize) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(7);
    (0..count).map(|_| random.random()).collect()
}

/// A log that deletes records by age, and processes that are all up to date with its end.
struct System {
    schedules: Vec<Schedule>,
    records: Vec<(Wall, Record)>,
    state: State,
    now: Wall,
    snapshots: usize,
}

impl System {
    fn new(processes: usize) -> Self {
        let retention = SECOND * u32::try_from(RETENTION_S).expect("an hour");
        let schedule = |draw| Schedule::new(retention, draw);
        Self {
            schedules: draws(processes).into_iter().map(schedule).collect(),
            records: Vec::new(),
            state: State::default(),
            now: Wall::from_millis(1_000_000_000),
            snapshots: 0,
        }
    }

    fn append(&mut self, body: Body) {
        let record = Record::new(self.now, "someone", body);
        self.state.apply(self.records.len() as u64, &record);
        self.records.push((self.now, record));
    }

    /// Simulates one second, and returns the number of snapshots appended in it.
    fn run_second(&mut self, up: bool) -> usize {
        self.now = self.now.plus(SECOND);
        let (state, now) = (&self.state, self.now);
        let due = |schedule: &mut Schedule| {
            if !up {
                schedule.reset();
            }
            up && schedule.is_due(state, now)
        };
        let count = self
            .schedules
            .iter_mut()
            .map(due)
            .filter(|due| *due)
            .count();
        let taken = self.state.clone();
        for _ in 0..count {
            let state = Box::new(taken.clone());
            self.append(Body::Snapshot { state });
        }
        self.snapshots += count;
        count
    }

    fn run_seconds(&mut self, count: usize, up: bool) {
        for _ in 0..count {
            self.run_second(up);
        }
    }

    /// The state that a process folds from the log if it starts now.
    fn state_of_new_process(&self) -> Option<State> {
        let oldest = self.now.minus(SECOND * 3_600);
        let kept = |(at, _): &&(Wall, Record)| *at < oldest;
        let first = self.records.iter().take_while(kept).count();
        let mut fold = Fold::new(first as u64);
        for (offset, (_, record)) in self.records.iter().enumerate().skip(first) {
            fold.push(offset as u64, Some(record.clone()));
        }
        fold.state().cloned()
    }
}

fn edit(system: &System) -> Body {
    let based_on = system.state.version;
    Body::Rules {
        based_on,
        edits: Vec::new(),
    }
}

// Rules are published and not changed for hours, while the log is repeatedly down for up to half
// of its retention time. A process that starts later must still find the rules.
#[test]
fn a_new_process_finds_the_state_despite_outages() {
    let mut system = System::new(50);
    system.append(edit(&system));
    for second in 0..6 * RETENTION_S {
        let down = second % 2_400 >= 700;
        system.run_second(!down);
        if second % 60 == 0 {
            assert_eq!(
                system.state_of_new_process().as_ref(),
                Some(&system.state),
                "at {second} s"
            );
        }
    }
    assert!(
        system.snapshots < 50,
        "{} snapshots in six hours",
        system.snapshots
    );
}

// Checks that the test above can fail: it does without snapshots.
#[test]
fn without_snapshots_a_new_process_does_not_find_the_state() {
    let mut system = System::new(0);
    system.append(edit(&system));
    system.run_seconds(3_601, true);
    assert_ne!(system.state_of_new_process().as_ref(), Some(&system.state));
}

// After an outage of the log a snapshot is due in each of 2,900 processes. If all of them were
// written at once, they would overload the log again.
#[test]
fn after_an_outage_few_of_many_processes_write_a_snapshot() {
    let mut system = System::new(2_900);
    system.append(edit(&system));
    system.run_seconds(1_500, false);
    let busiest = (0..120).map(|_| system.run_second(true)).max();
    assert!(busiest <= Some(100), "{busiest:?} in one second");
    assert!(system.snapshots > 0);
}

// A process takes a snapshot, stalls for most of the retention time, and appends it. The records
// in between are not covered, so it must not delay the next snapshot.
#[test]
fn a_late_snapshot_does_not_delay_the_next_one() {
    let mut system = System::new(50);
    system.append(edit(&system));
    let stalled = Box::new(system.state.clone());
    system.append(edit(&system));
    system.now = system.now.plus(SECOND * 3_000);
    system.append(Body::Snapshot { state: stalled });
    system.run_seconds(60, true);
    system.now = system.now.plus(SECOND * 1_000);
    assert_eq!(system.state_of_new_process().as_ref(), Some(&system.state));
}
