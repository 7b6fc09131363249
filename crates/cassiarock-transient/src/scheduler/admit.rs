//! Whether a job is taken in.
//!
//! The load that this answers is a burst or the loss of upstreams: more work than there is
//! room for. Taking all of it in would make every job late. A job is refused at once if the
//! work that goes before it would keep it past the time up to which it is useful.

use super::work::{Phase, Work};
use super::{Answer, Scheduler, told};
use crate::{Decision, Resources};
use std::time::Duration;

/// The first pause that a refused caller is asked to make, and the most that chance adds to
/// it: callers that were refused together should not come back together.
const AGAIN: Duration = Duration::from_secs(1);

/// A process that has just started knows no agent yet; they are there within 300 ms. When all
/// processes start at once, callers have waited for them, and would all be refused.
const START: Duration = Duration::from_secs(1);

/// Without any upstream for a job, one is expected back within this time.
const AGAIN_EMPTY: Duration = Duration::from_secs(2);

impl Scheduler {
    /// The answer of a refusal and its line, or the line of an admission.
    pub(super) fn admit(&self, work: &Work, now: Duration) -> Result<Decision, (Answer, Decision)> {
        let service = &work.class.service;
        let open: Vec<_> = self
            .agents
            .values()
            .filter(|agent| agent.is_open(now) && agent.serves(service))
            .collect();
        let line = |what| told(what, work, now).with("upstreams", open.len());
        let dialling = || Ok(line("admitted").with("reason", "agents are still dialling"));
        if open.is_empty() && now < START {
            return dialling();
        }
        if open.is_empty() {
            return Err(self.without(line("refused").with("reason", "no upstream")));
        }
        let fits = |demand: &Resources| open.iter().any(|agent| demand.fits_in(&agent.capacity()));
        if let Some(stage) = work.job.stages.iter().find(|stage| !fits(&stage.demand)) {
            let inputs = |line: Decision| {
                line.with("cpu", stage.demand.cpu)
                    .with("memory", stage.demand.memory)
            };
            if now < START {
                return dialling();
            }
            if self.kinds.fit(service, &stage.demand) {
                let line = line("refused").with("reason", "the upstreams that it fits are away");
                return Err(self.without(inputs(line)));
            }
            return Err((Answer::Failed, inputs(line("impossible"))));
        }
        let room: u64 = open.iter().map(|agent| agent.free().cpu).sum();
        let before = self.work_before(work);
        let wait = if before.0 + cpu(work) <= room {
            Duration::ZERO
        } else {
            let capacity: u64 = open.iter().map(|agent| agent.capacity().cpu).sum();
            let entries = open.iter().map(|agent| agent.load.entries).max();
            let share = capacity as f64 / 1000.0 / f64::from(entries.unwrap_or(1).max(1));
            // At the onset of a burst little has been placed, so that the rate to come is an
            // even part of the system at least.
            let rate = self.rate.at(now).max(share).max(1.0);
            Duration::from_secs_f64(before.1 / rate / 1000.0)
        };
        let end = now + wait + work.chain;
        let line = |what| {
            line(what)
                .with("wait_ms", wait.as_millis())
                .with("chain_ms", work.chain.as_millis())
                .with("queue", self.queue.len())
                .with("free_cpu", room)
                .with("version", work.class.version)
        };
        if end > work.due && self.mechanisms.admission {
            let answer = self.refused(AGAIN + wait, true);
            return Err((answer, line("refused").with("reason", "queue")));
        }
        Ok(line("admitted"))
    }

    /// The processor room that waiting tasks want that go before `work`, and their work in
    /// core-milliseconds.
    fn work_before(&self, work: &Work) -> (u64, f64) {
        let before = self.queue.range(..work.rank());
        let before = before.filter_map(|rank| self.works.get(&rank.number));
        before.fold((0, 0.0), |(room, work), next| {
            (room + waiting_cpu(next), work + next.waiting_work())
        })
    }

    /// A refusal for want of any upstream that could run the job.
    fn without(&self, line: Decision) -> (Answer, Decision) {
        (self.refused(AGAIN_EMPTY, false), line.failed())
    }

    /// A refusal. The pause is spread over half as much again.
    pub(super) fn refused(&self, retry_after: Duration, is_overload: bool) -> Answer {
        let spread = retry_after.mul_f64(self.chance.below(0.5));
        Answer::Refused {
            retry_after: retry_after + spread,
            is_overload,
        }
    }
}

fn waiting_cpu(next: &Work) -> u64 {
    let stages = next.job.stages.iter().zip(&next.tasks);
    stages
        .map(|(stage, tasks)| {
            let waiting = tasks.iter();
            let waiting = waiting.filter(|task| matches!(task.phase, Phase::Waiting(_)));
            waiting.count() as u64 * stage.demand.cpu
        })
        .sum()
}

fn cpu(work: &Work) -> u64 {
    let stages = work.job.stages.iter();
    stages
        .map(|stage| u64::from(stage.task_count) * stage.demand.cpu)
        .sum()
}
