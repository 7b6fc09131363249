//! A log, its readers and its writers for tests of the fold: no sockets, no clock.

use cassiarock_id::{Process, Wall};
use cassiarock_rule::action::Run;
use cassiarock_rule::record::{Body, Id};
use cassiarock_rule::{Action, Edit, Fold, Member, Record, Rule, RuleSet, State};
use proptest::prelude::*;

pub const READERS: usize = 3;

/// One thing that happens. Numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Event {
    /// A reader's operator edits the rules on top of what that reader knows.
    Edit(usize),
    Join(u8, u64),
    Leave(u8, u64),
    Drain(u8, bool),
    /// A process has handed over to the members of so many versions ago.
    HandOver(u8, u64, u64),
    /// A copy of an earlier record arrives.
    Repeat(usize),
    /// A reader takes a snapshot, to append it some time later.
    Take(usize),
    /// The oldest snapshot taken is appended.
    Append,
    /// An operator starts anew, having seen the end of the log some records ago.
    Restore(u64),
    /// Bytes that are no record.
    Garbage,
    /// Retention cuts some of the kept records.
    Cut(u64),
    /// A reader reads some records.
    Read(usize, usize),
    /// A reader is replaced by one that knows nothing, and begins at the cut or later.
    Replace(usize, u64),
    /// A reader tells another what it knows.
    Tell(usize, usize),
}

pub fn event() -> impl Strategy<Value = Event> {
    let reader = 0..READERS;
    prop_oneof![
        4 => reader.clone().prop_map(Event::Edit),
        2 => (0..4_u8, 1..4_u64).prop_map(|(name, life)| Event::Join(name, life)),
        1 => (0..4_u8, 1..4_u64).prop_map(|(name, life)| Event::Leave(name, life)),
        1 => (0..4_u8, any::<bool>()).prop_map(|(name, leaving)| Event::Drain(name, leaving)),
        1 => (0..4_u8, 1..4_u64, 0..2_u64).prop_map(|(name, life, ago)| Event::HandOver(name, life, ago)),
        2 => any::<usize>().prop_map(Event::Repeat),
        2 => reader.clone().prop_map(Event::Take),
        2 => Just(Event::Append),
        1 => (0..3_u64).prop_map(Event::Restore),
        1 => Just(Event::Garbage),
        2 => (0..8_u64).prop_map(Event::Cut),
        8 => (reader.clone(), 1..8_usize).prop_map(|(reader, count)| Event::Read(reader, count)),
        2 => (reader.clone(), 0..6_u64).prop_map(|(reader, late)| Event::Replace(reader, late)),
        2 => (reader.clone(), reader).prop_map(|(from, to)| Event::Tell(from, to)),
    ]
}

/// The log with all that was ever appended, and the state after each record by a reader that
/// missed nothing.
pub struct Model {
    pub records: Vec<Option<Record>>,
    pub truth: Vec<State>,
    pub earliest: u64,
    pub readers: Vec<Fold>,
    taken: Vec<State>,
}

impl Model {
    pub fn new() -> Self {
        Self {
            records: Vec::new(),
            truth: vec![State::default()],
            earliest: 0,
            readers: vec![Fold::new(0); READERS],
            taken: Vec::new(),
        }
    }

    pub fn end(&self) -> u64 {
        self.records.len() as u64
    }

    pub fn step(&mut self, event: &Event) {
        match event {
            Event::Edit(reader) => self.edit(*reader),
            Event::Join(name, life) => self.append(Body::Joined {
                member: member(*name, *life),
            }),
            Event::Leave(name, life) => self.append(Body::Left {
                process: process(*name, *life),
            }),
            Event::Drain(name, leaving) => self.append(Body::Drain {
                agent: process(*name, 0).name,
                incarnation: None,
                leaving: *leaving,
                force: false,
            }),
            Event::HandOver(name, life, ago) => self.append(Body::HandedOver {
                process: process(*name, *life),
                version: self.truth[self.records.len()]
                    .membership
                    .version
                    .saturating_sub(*ago),
            }),
            Event::Repeat(which) => self.repeat(*which),
            Event::Take(reader) => self.taken.extend(self.readers[*reader].state().cloned()),
            Event::Append => self.append_taken(),
            Event::Restore(ago) => self.restore(*ago),
            Event::Garbage => self.push(None),
            Event::Cut(count) => self.earliest = (self.earliest + count).min(self.end()),
            Event::Read(reader, count) => self.read(*reader, *count),
            Event::Replace(reader, late) => {
                self.readers[*reader] = Fold::new((self.earliest + late).min(self.end()));
            }
            Event::Tell(from, to) => {
                if let Some(state) = self.readers[*from].state().cloned() {
                    self.readers[*to].offer(state);
                }
            }
        }
    }

    /// Lets a reader read up to `count` records, beginning at the cut if it was overtaken.
    pub fn read(&mut self, reader: usize, count: usize) {
        let fold = &mut self.readers[reader];
        fold.set_log_start(self.earliest);
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
        let mut state = self.truth[self.records.len()].clone();
        match &record {
            Some(record) => drop(state.apply(self.end(), record)),
            None => state.skip(self.end()),
        }
        self.truth.push(state);
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

    fn repeat(&mut self, which: usize) {
        if !self.records.is_empty() {
            self.push(self.records[which % self.records.len()].clone());
        }
    }

    fn append_taken(&mut self) {
        if !self.taken.is_empty() {
            let state = Box::new(self.taken.remove(0));
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

fn process(name: u8, life: u64) -> Process {
    Process::new(format!("agent-{name}"), life)
}

fn member(name: u8, life: u64) -> Member {
    Member::new(
        process(name, life),
        ([127, 0, 0, 1], 7000 + u16::from(name)).into(),
    )
}
