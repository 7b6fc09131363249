//! The entries of a run: start, power loss, timers and messages.

use super::{ProcessKind, Simulation};
use crate::event::{Event, Frame};
use cassiarock_id::{Name, Process};
use cassiarock_transient::Scheduler;
use cassiarock_transient::scheduler::{Action, UsualRoom};
use std::time::Duration;

/// The current incarnation of an entry.
pub(super) struct Entry {
    pub(super) scheduler: Scheduler,
    pub(super) process: Process,
    pub(super) is_up: bool,
    /// Callers' patience by route as learned so far, which the next incarnation takes over.
    learned: Vec<(Name, Duration)>,
    /// The usual room by service as learned so far, likewise.
    room: Vec<(Name, UsualRoom)>,
    started_at: Duration,
}

impl Entry {
    /// The entry's clock, which counts from its start.
    pub(super) const fn up(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }
}

impl Simulation<'_> {
    pub(super) fn add_entry(&mut self, number: usize) {
        let process = Process::new(format!("entry-{number}"), 1);
        self.processes
            .insert(process.name.clone(), ProcessKind::Entry(number));
        self.entries.push(Entry {
            scheduler: self.scheduler(number, 1),
            process,
            is_up: true,
            learned: Vec::new(),
            room: Vec::new(),
            started_at: self.now,
        });
        self.event_queue.add(self.now, Event::PollEntry(number, 1));
    }

    fn scheduler(&self, number: usize, incarnation: u64) -> Scheduler {
        let seed = self.seed ^ (incarnation << 32) ^ number as u64;
        let mut scheduler = Scheduler::new()
            .with_mechanisms(self.mechanisms)
            .with_seed(seed);
        scheduler.set_evacuations(self.evacuations.clone());
        scheduler
    }

    pub(super) fn power_off_entry(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        entry.is_up = false;
        let room = entry.scheduler.usual_room(entry.up(self.now));
        let room: Vec<_> = room
            .map(|(service, room)| (service.clone(), room))
            .collect();
        entry.room = room;
        let known = entry.scheduler.usual_patience();
        let known = known.map(|(route, least, _)| (route.clone(), least));
        entry.learned = known.collect();
        let process = entry.process.clone();
        for agent in &mut self.agents {
            agent.host.unlink(&process);
        }
        self.reconnect_callers(number);
    }

    pub(super) fn start_entry(&mut self, number: usize) {
        let incarnation = self.entries[number].process.incarnation + 1;
        let mut scheduler = self.scheduler(number, incarnation);
        let entry = &mut self.entries[number];
        for (route, least) in &entry.learned {
            scheduler.adopt_patience(route, *least);
        }
        for (service, room) in &entry.room {
            scheduler.adopt_room(service, *room);
        }
        entry.started_at = self.now;
        entry.scheduler = scheduler;
        entry.process = Process::new(entry.process.name.clone(), incarnation);
        entry.is_up = true;
        self.event_queue
            .add(self.now, Event::PollEntry(number, incarnation));
        for agent in 0..self.agents.len() {
            if self.agents[agent].is_up {
                self.link(agent, number);
            }
        }
    }

    pub(super) fn handle_entry_timer(&mut self, number: usize, incarnation: u64) {
        let entry = &self.entries[number];
        if !entry.is_up || entry.process.incarnation != incarnation {
            return;
        }
        self.poll_entry(number);
        let entry = &self.entries[number];
        let next_poll = entry.scheduler.next_poll(entry.up(self.now));
        let next_poll = (entry.started_at + next_poll).max(self.now + Duration::from_millis(1));
        self.event_queue
            .add(next_poll, Event::PollEntry(number, incarnation));
    }

    pub(super) fn poll_entry(&mut self, number: usize) {
        let up = self.entries[number].up(self.now);
        let actions = self.entries[number].scheduler.poll(up);
        self.execute_entry_actions(number, actions);
        let jobs = self.entries[number].scheduler.job_count();
        self.tally.max_queue = self.tally.max_queue.max(jobs);
    }

    pub(super) fn deliver_to_entry(&mut self, number: usize, frame: Frame) {
        let entry = &mut self.entries[number];
        if !entry.is_up || entry.process != frame.to {
            return;
        }
        let up = entry.up(self.now);
        let actions = entry
            .scheduler
            .handle_message(&frame.from, frame.message, up);
        self.execute_entry_actions(number, actions);
        self.poll_entry(number);
    }

    pub(super) fn execute_entry_actions(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let from = self.entries[number].process.clone();
                    self.send(from, to, message);
                }
                Action::Answer(submission, answer) => self.answer(submission, answer),
                Action::Log(decision) => self.tally.record_decision(&decision),
                Action::Measure(..) => {}
            }
        }
    }
}
