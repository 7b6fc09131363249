//! A model of a log with its readers and writers for tests of the fold, without sockets or
//! clocks.

use cassiarock_id::{Process, Wall};
use cassiarock_rule::action::Run;
use cassiarock_rule::record::{Body, Id};
use cassiarock_rule::{Action, Edit, Fold, Member, Record, Rule, RuleSet, State};
use proptest::prelude::*;

pub const READERS: usize = 3;

/// One step of the model.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operator edits the rules, based on the state of a reader.
    Edit(usize),
    Join(u8, u64),
    Leave(u8, u64),
    Drain(u8, bool),
    /// A process has handed over to the members at the current version minus the last number.
    HandOver(u8, u64, u64),
    /// A duplicate of an earlier record is appended; the index is taken modulo the log length.
    Duplicate(usize),
    /// A reader takes a snapshot, which is appended later.
    TakeSnapshot(usize),
    /// The oldest pending snapshot is appended.
    AppendSnapshot,
    /// An operator restores, based on the end of the log the given number of records ago.
    Restore(u64),
    /// Bytes that cannot be decoded as a record are appended.
    Unreadable,
    /// Retention deletes the given number of the oldest records.
    Truncate(u64),
    /// A reader reads up to the given number of records.
    Read(usize, usize),
    /// A reader is replaced by one without state, which starts the given number of records after
    /// the start of the log.
    ReplaceReader(usize, u64),
    /// A reader offers its state to another.
    OfferState(usize, usize),
}

pub fn event() -> impl Strategy<Value = Event> {
    let reader = 0..READERS;
    prop_oneof![
        4 => reader.clone().prop_map(Event::Edit),
        2 => (0..4_u8, 1..4_u64).prop_map(|(name, incarnation)| Event::Join(name, incarnation)),
        1 => (0..4_u8, 1..4_u64).prop_map(|(name, incarnation)| Event::Leave(name, incarnation)),
        1 => (0..4_u8, any::<bool>()).prop_map(|(name, leaving)| Event::Drain(name, leaving)),
        1 => (0..4_u8, 1..4_u64, 0..2_u64)
            .prop_map(|(name, incarnation, ago)| Event::HandOver(name, incarnation, ago)),
        2 => any::<usize>().prop_map(Event::Duplicate),
        2 => reader.clone().prop_map(Event::TakeSnapshot),
        2 => Just(Event::AppendSnapshot),
        1 => (0..3_u64).prop_map(Event::Restore),
        1 => Just(Event::Unreadable),
        2 => (0..8_u64).prop_map(Event::Truncate),
        8 => (reader.clone(), 1..8_usize).prop_map(|(reader, count)| Event::Read(reader, count)),
        2 => (reader.clone(), 0..6_u64).prop_map(|(reader, late)| Event::ReplaceReader(reader, late)),
        2 => (reader.clone(), reader).prop_map(|(from, to)| Event::OfferState(from, to)),
    ]
}

/// All records that were ever appended, and the expected state after each of them.
pub struct Model {
    pub records: Vec<Option<Record>>,
    pub expected_states: Vec<State>,
    pub log_start: u64,
    pub readers: Vec<Fold>,
    snapshots: Vec<State>,
}

impl Model {
    pub fn new() -> Self {
        Self {
            records: Vec::new(),
            expected_states: vec![State::default()],
            log_start: 0,
            readers: vec![Fold::new(0); READERS],
            snapshots: Vec::new(),
        }
    }

    pub fn end(&self) -> u64 {
        self.records.len() as u64
    }

    pub fn step(&mut self, event: &Event) {
        match event {
            Event::Edit(reader) => self.edit(*reader),
            Event::Join(name, incarnation) => self.append(Body::Joined {
                member: member(*name, *incarnation),
            }),
            Event::Leave(name, incarnation) => self.append(Body::Left {
                process: process(*name, *incarnation),
            }),
            Event::Drain(name, leaving) => self.append(Body::Drain {
                agent: process(*name, 0).name,
                incarnation: None,
                leaving: *leaving,
                force: false,
            }),
            Event::HandOver(name, incarnation, ago) => self.append(Body::HandedOver {
                process: process(*name, *incarnation),
                version: self.expected_states[self.records.len()]
                    .membership
                    .version
                    .saturating_sub(*ago),
            }),
            Event::Duplicate(which) => self.duplicate(*which),
            Event::TakeSnapshot(reader) => self
                .snapshots
                .extend(self.readers[*reader].state().cloned()),
            Event::AppendSnapshot => self.append_snapshot(),
            Event::Restore(ago) => self.restore(*ago),
            Event::Unreadable => self.push(None),
            Event::Truncate(count) => self.log_start = (self.log_start + count).min(self.end()),
            Event::Read(reader, count) => self.read(*reader, *count),
            Event::ReplaceReader(reader, late) => {
                self.readers[*reader] = Fold::new((self.log_start + late).min(self.end()));
            }
            Event::OfferState(from, to) => {
                if let Some(state) = self.readers[*from].state().cloned() {
                    self.readers[*to].offer(state);
                }
            }
        }
    }

    /// Lets a reader read up to `count` records, from the start of the log if records were deleted
    /// before it read them.
    pub fn read(&mut self, reader: usize, count: usize) {
        let fold = &mut self.readers[reader];
        fold.set_log_start(self.log_start);
        for _ in 0..count {
            let offset = fold.next_offset();
            let Some(record) = self
                .records
                .get(usize::try_from(offset).expect("an offset of a small log"))
            else {
                return;
            };
            fold.push(offset, record.clone());
        }
    }

    pub fn append(&mut self, body: Body) {
        let id = Id::with_bits(u128::from(self.end()) + 1);
        let at = Wall::from_millis(self.end());
        self.push(Some(Record::new(at, "someone", body).with_id(id)));
    }

    fn push(&mut self, record: Option<Record>) {
        let mut state = self.expected_states[self.records.len()].clone();
        match &record {
            Some(record) => drop(state.apply(self.end(), record)),
            None => state.skip(self.end()),
        }
        self.expected_states.push(state);
        self.records.push(record);
    }

    fn edit(&mut self, reader: usize) {
        let Some(state) = self.readers[reader].state() else {
            return;
        };
        let rule = Rule::new(format!("rule-{}", self.end()), Action::Run(Run::default()));
        let edits = vec![Edit::Insert { at: 0, rule }];
        let based_on = state.version;
        self.append(Body::Rules { based_on, edits });
    }

    fn duplicate(&mut self, which: usize) {
        if !self.records.is_empty() {
            self.push(self.records[which % self.records.len()].clone());
        }
    }

    fn append_snapshot(&mut self) {
        if !self.snapshots.is_empty() {
            let state = Box::new(self.snapshots.remove(0));
            self.append(Body::Snapshot { state });
        }
    }

    fn restore(&mut self, ago: u64) {
        self.append(Body::Restore {
            end: self.end().saturating_sub(ago),
            set: RuleSet::default(),
            configuration: cassiarock_rule::Configuration::default(),
        });
    }
}

fn process(name: u8, incarnation: u64) -> Process {
    Process::new(format!("agent-{name}"), incarnation)
}

fn member(name: u8, incarnation: u64) -> Member {
    Member::new(
        process(name, incarnation),
        ([127, 0, 0, 1], 7000 + u16::from(name)).into(),
    )
}
