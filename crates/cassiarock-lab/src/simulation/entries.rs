//! The entries of a run.

use super::{Place, Simulation};
use crate::event::{Event, Frame};
use cassiarock_id::{Name, Process};
use cassiarock_transient::Scheduler;
use cassiarock_transient::scheduler::Action;
use std::time::Duration;

/// An entry in its present life.
pub(super) struct Entry {
    pub(super) scheduler: Scheduler,
    pub(super) process: Process,
    pub(super) is_up: bool,
    /// What it had learned of callers is on record for its next life.
    learned: Vec<(Name, Duration)>,
}

impl Simulation<'_> {
    pub(super) fn add_entry(&mut self, number: usize) {
        let process = Process::new(format!("entry-{number}"), 1);
        self.places
            .insert(process.name.clone(), Place::Entry(number));
        self.entries.push(Entry {
            scheduler: self.scheduler(number, 1),
            process,
            is_up: true,
            learned: Vec::new(),
        });
        self.agenda.add(self.now, Event::WakeEntry(number, 1));
    }

    fn scheduler(&self, number: usize, life: u64) -> Scheduler {
        let seed = self.seed ^ (life << 32) ^ number as u64;
        let mut scheduler = Scheduler::new()
            .with_mechanisms(self.mechanisms)
            .with_seed(seed);
        scheduler.set_evacuations(self.evacuations.clone());
        scheduler
    }

    pub(super) fn lose_entry(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        entry.is_up = false;
        let known = entry.scheduler.usual_patience();
        let known = known.map(|(route, least, _)| (route.clone(), least));
        entry.learned = known.collect();
        let process = entry.process.clone();
        for agent in &mut self.agents {
            agent.host.unlink(&process);
        }
        self.break_connections(number);
    }

    pub(super) fn start_entry(&mut self, number: usize) {
        let life = self.entries[number].process.incarnation + 1;
        let mut scheduler = self.scheduler(number, life);
        let entry = &mut self.entries[number];
        for (route, least) in &entry.learned {
            scheduler.adopt_patience(route, *least);
        }
        entry.scheduler = scheduler;
        entry.process = Process::new(entry.process.name.clone(), life);
        entry.is_up = true;
        self.agenda.add(self.now, Event::WakeEntry(number, life));
        for agent in 0..self.agents.len() {
            if self.agents[agent].is_up {
                self.link(agent, number);
            }
        }
    }

    pub(super) fn wake_entry(&mut self, number: usize, life: u64) {
        let entry = &self.entries[number];
        if !entry.is_up || entry.process.incarnation != life {
            return;
        }
        self.poll_entry(number);
        let wake = self.entries[number].scheduler.next_poll(self.now);
        let wake = wake.max(self.now + Duration::from_millis(1));
        self.agenda.add(wake, Event::WakeEntry(number, life));
    }

    pub(super) fn poll_entry(&mut self, number: usize) {
        let actions = self.entries[number].scheduler.poll(self.now);
        self.carry_out_entry(number, actions);
        let jobs = self.entries[number].scheduler.job_count();
        self.tally.queue = self.tally.queue.max(jobs);
    }

    pub(super) fn entry_receives(&mut self, number: usize, frame: Frame) {
        let entry = &mut self.entries[number];
        if !entry.is_up || entry.process != frame.to {
            return;
        }
        let actions = entry
            .scheduler
            .handle_message(&frame.from, frame.message, self.now);
        self.carry_out_entry(number, actions);
        self.poll_entry(number);
    }

    pub(super) fn carry_out_entry(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let from = self.entries[number].process.clone();
                    self.send(from, to, message);
                }
                Action::Answer(submission, answer) => self.answer(submission, answer),
                Action::Log(_) | Action::Measure(..) => {}
            }
        }
    }
}
