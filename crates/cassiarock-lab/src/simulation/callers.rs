//! The callers of a run: they come, wait, leave, and come back.

use super::Simulation;
use crate::event::Event;
use cassiarock_id::Name;
use cassiarock_transient::scheduler::Answer;
use std::time::Duration;

/// When a caller comes again whose connection was not taken.
const CONNECT: Duration = Duration::from_secs(1);

/// When a caller comes again whose connection broke.
const AGAIN: Duration = Duration::from_millis(1_300);

impl Simulation<'_> {
    pub(super) fn come(&mut self, number: usize, nth: u32) {
        let caller = &self.callers[number];
        let until = caller.at
            + caller
                .leaves
                .unwrap_or(caller.patience)
                .min(caller.patience);
        if self.now >= until {
            self.tally.unanswered(number, self.now);
            return;
        }
        let entry = caller.entry;
        if !self.entries[entry].is_up {
            self.agenda
                .add(self.now + CONNECT, Event::Come(number, nth));
            return;
        }
        let left = caller.at + caller.patience - self.now;
        let (job, class) = (caller.job.clone(), caller.class.clone());
        let submission = self.submissions.len() as u64 + 1;
        self.submissions.insert(submission, (number, nth));
        self.invariants.record_submission(&job.id);
        self.agenda.add(until, Event::Leave(number, nth));
        let scheduler = &mut self.entries[entry].scheduler;
        let actions = scheduler.submit(submission, job, class, left, self.now);
        self.carry_out_entry(entry, actions);
        self.poll_entry(entry);
    }

    pub(super) fn leave(&mut self, number: usize, nth: u32) {
        if self.invariants.is_answered(number, nth) || self.tally.is_settled(number) {
            return;
        }
        let entry = self.callers[number].entry;
        let Some(submission) = self.entries[entry]
            .scheduler
            .find_job(&self.callers[number].job.id)
        else {
            return;
        };
        self.tally.unanswered(number, self.now);
        let scheduler = &mut self.entries[entry].scheduler;
        let actions = scheduler.abandon(submission, "its caller left", self.now);
        self.carry_out_entry(entry, actions);
    }

    pub(super) fn answer(&mut self, submission: u64, answer: Answer) {
        let Some((number, nth)) = self.submissions.get(&submission).copied() else {
            self.invariants
                .report_violation(format!("answer to no submission {submission}"));
            return;
        };
        let not_run = matches!(answer, Answer::Refused { .. });
        let job = self.callers[number].job.id.clone();
        self.invariants.record_answer(number, nth, &job, not_run);
        self.tally
            .answered(number, &self.callers[number], answer, self.now);
    }

    /// The connections of an entry's callers break: they come again.
    pub(super) fn break_connections(&mut self, entry: usize) {
        let open: Vec<(usize, u32)> = self
            .submissions
            .values()
            .copied()
            .filter(|(number, nth)| {
                self.callers[*number].entry == entry
                    && !self.invariants.is_answered(*number, *nth)
                    && !self.tally.is_settled(*number)
            })
            .collect();
        let mut last: Vec<(usize, u32)> = Vec::new();
        for (number, nth) in open {
            match last.iter_mut().find(|(other, _)| *other == number) {
                Some((_, most)) => *most = nth.max(*most),
                None => last.push((number, nth)),
            }
        }
        last.sort_unstable();
        for (number, nth) in last {
            self.agenda
                .add(self.now + AGAIN, Event::Come(number, nth + 1));
        }
    }

    /// Whose job this is.
    pub(super) fn caller_of(&self, job: &Name) -> Option<usize> {
        let number = usize::from_str_radix(job, 16).ok()?;
        (number < self.callers.len()).then_some(number)
    }
}
