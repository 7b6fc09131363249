//! Jobs that time has passed for.
//!
//! The load that this answers is more work than room. A job that cannot be on time any more is
//! refused at once if nothing of it has run, so that its caller hears when to come back and its
//! room goes to one that can.

use super::work::Work;
use super::{Action, Answer, Scheduler, told};
use std::time::Duration;

/// When the caller of a job that was given up before it started should come back.
const AGAIN: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Gives jobs up that cannot be done in time any more, with their final answer at once.
    pub(super) fn give_up(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let hopeless: Vec<u64> = self
            .works
            .values()
            .filter(|work| work.is_hopeless(now))
            .map(|work| work.number)
            .collect();
        for number in hopeless {
            let may_have_run = self.works.get(&number).is_some_and(Work::may_have_run);
            if may_have_run {
                self.fail(number, Answer::GivenUp, "out of time", now, actions);
                continue;
            }
            self.refuse(number, "waited too long", now, actions);
        }
    }

    /// Sees to the jobs whose latest start has passed while they waited. There is more work
    /// than room: one that has not run is refused at once if others wait that can still be on
    /// time, and comes after them otherwise.
    pub(super) fn pass_over(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.mechanisms.expiry {
            return;
        }
        let queue = self.queue.iter().take_while(|rank| !rank.is_late);
        let passed: Vec<u64> = queue
            .filter(|rank| rank.latest < now)
            .map(|rank| rank.number)
            .filter(|number| {
                let work = self.works.get(number);
                work.is_none_or(|work| !(self.mechanisms.kept_rank && work.is_worth_ending(now)))
            })
            .collect();
        let others = self.queue.len() - passed.len();
        for number in passed {
            let Some(work) = self.works.get_mut(&number) else {
                continue;
            };
            self.queue.remove(&work.rank());
            work.is_late = true;
            self.queue.insert(work.rank());
            if others > 0 && !work.may_have_run() {
                self.refuse(number, "overload", now, actions);
            }
        }
    }

    /// Refuses a job of which nothing has run.
    fn refuse(
        &mut self,
        number: u64,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let queue = self.queue.len();
        if let Some(work) = self.remove(number) {
            self.reserve.learn(work.class.priority, false);
            let kept_free = self.reserve.share(work.urgency(), now) * 100.0;
            let line = told("refused", &work, now)
                .with("reason", reason)
                .with("kept_free_percent", kept_free.round());
            actions.push(Action::Log(line.with("queue", queue).failed()));
            actions.push(Action::Answer(number, self.refused(AGAIN, true)));
        }
    }
}
