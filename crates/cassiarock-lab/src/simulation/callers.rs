//! The callers of a run: they arrive, wait, leave and reconnect.

use super::Simulation;
use crate::event::Event;
use cassiarock_id::Name;
use cassiarock_transient::scheduler::Answer;
use std::time::Duration;

/// Delay until a caller retries whose connection was not accepted.
const CONNECT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay until a caller sends its job again after its connection broke.
const RECONNECT_DELAY: Duration = Duration::from_millis(1_300);

impl Simulation<'_> {
    pub(super) fn handle_arrival(&mut self, number: usize, attempt: u32) {
        let caller = &self.callers[number];
        let departure = caller.at
            + caller
                .leaves_after
                .unwrap_or(caller.patience)
                .min(caller.patience);
        if self.now >= departure {
            self.tally.record_unanswered(number, self.now);
            return;
        }
        let entry = caller.entry;
        if !self.entries[entry].is_up {
            self.event_queue.add(
                self.now + CONNECT_RETRY_DELAY,
                Event::CallerArrives(number, attempt),
            );
            return;
        }
        let time_left = caller.at + caller.patience - self.now;
        let (job, class) = (caller.job.clone(), caller.class.clone());
        let submission = self.submissions.len() as u64 + 1;
        self.submissions.insert(submission, (number, attempt));
        self.invariants.record_submission(&job.id);
        self.event_queue
            .add(departure, Event::CallerLeaves(number, attempt));
        let up = self.entries[entry].up(self.now);
        let scheduler = &mut self.entries[entry].scheduler;
        let actions = scheduler.submit(submission, job, class, time_left, up);
        self.execute_entry_actions(entry, actions);
        self.poll_entry(entry);
    }

    pub(super) fn handle_departure(&mut self, number: usize, attempt: u32) {
        if self.invariants.is_answered(number, attempt) || self.tally.is_settled(number) {
            return;
        }
        let entry = self.callers[number].entry;
        let Some(submission) = self.entries[entry]
            .scheduler
            .find_job(&self.callers[number].job.id)
        else {
            return;
        };
        self.tally.record_unanswered(number, self.now);
        let up = self.entries[entry].up(self.now);
        let scheduler = &mut self.entries[entry].scheduler;
        let actions = scheduler.abandon(submission, "its caller left", up);
        self.execute_entry_actions(entry, actions);
    }

    pub(super) fn answer(&mut self, submission: u64, answer: Answer) {
        let Some((number, attempt)) = self.submissions.get(&submission).copied() else {
            self.invariants
                .report_violation(format!("answer to no submission {submission}"));
            return;
        };
        let not_run = matches!(answer, Answer::Refused { .. });
        let job = self.callers[number].job.id.clone();
        self.invariants
            .record_answer(number, attempt, &job, not_run);
        self.tally
            .record_answer(number, &self.callers[number], answer, self.now);
    }

    /// Breaks the connections of an entry's waiting callers, who then send their jobs again.
    pub(super) fn reconnect_callers(&mut self, entry: usize) {
        let open: Vec<(usize, u32)> = self
            .submissions
            .values()
            .copied()
            .filter(|(number, attempt)| {
                self.callers[*number].entry == entry
                    && !self.invariants.is_answered(*number, *attempt)
                    && !self.tally.is_settled(*number)
            })
            .collect();
        let mut latest: Vec<(usize, u32)> = Vec::new();
        for (number, attempt) in open {
            match latest.iter_mut().find(|(other, _)| *other == number) {
                Some((_, highest)) => *highest = attempt.max(*highest),
                None => latest.push((number, attempt)),
            }
        }
        latest.sort_unstable();
        for (number, attempt) in latest {
            self.event_queue.add(
                self.now + RECONNECT_DELAY,
                Event::CallerArrives(number, attempt + 1),
            );
        }
    }

    /// The caller whose job this is.
    pub(super) fn find_caller(&self, job: &Name) -> Option<usize> {
        let number = usize::from_str_radix(job, 16).ok()?;
        (number < self.callers.len()).then_some(number)
    }
}
