//! Asking agents for room.
//!
//! The load that this answers is a nearly full system with several entries: an agent that knows
//! what each waits for offers the room that it frees to the most urgent one.

use super::agent::Agent;
use super::choose::is_eligible;
use super::work::{Phase, Work};
use super::{Action, Scheduler};
use crate::message::CapacityRequest;
use cassiarock_id::Process;
use std::collections::BTreeSet;
use std::time::Duration;

/// The most agents that are asked at once. Each ask is a frame; an agent frees room for a task
/// some fifty times a second.
const MOST: usize = 8;

/// A job that still waits asks other agents after this time.
const AGAIN: Duration = Duration::from_millis(50);

/// The job that an entry would place next, if it had room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Next<'a> {
    work: &'a Work,
    stage: usize,
    ask: CapacityRequest,
}

impl Next<'_> {
    /// What an agent is asked for; nothing if it could not take the job's tasks.
    pub(super) fn ask_of(&self, agent: &Agent, now: Duration) -> Option<CapacityRequest> {
        let wanted = &self.work.job.stages[self.stage];
        is_eligible(self.work, wanted, agent, now).then_some(self.ask)
    }
}

impl Scheduler {
    /// The job that this entry would place next, if it had room.
    pub(super) fn next(&self, now: Duration) -> Option<Next<'_>> {
        if !self.mechanisms.asking {
            return None;
        }
        let rank = self.queue.first()?;
        let work = self.works.get(&rank.number)?;
        let (stage, _) = work.waiting(now).first().copied()?;
        let tasks = work.tasks[stage].iter();
        let waiting = tasks.filter(|task| matches!(task.phase, Phase::Waiting(_)));
        let ask = CapacityRequest {
            is_late: rank.is_late,
            is_unstarted: rank.is_unstarted,
            has_waited: rank.has_waited,
            urgency: rank.urgency,
            left: rank.latest.saturating_sub(now),
            demand: work.job.stages[stage].demand,
            tasks: u32::try_from(waiting.count()).unwrap_or(u32::MAX),
        };
        Some(Next { work, stage, ask })
    }

    /// Asks some agents for room for the job that is first in the queue, unless they were asked
    /// a moment ago, and passes on room that was offered and is not used. The agents in
    /// `ordered` have heard both with their orders.
    pub(super) fn ask_for_room(
        &mut self,
        ordered: &BTreeSet<Process>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        for process in self.unused_offers(ordered) {
            self.echo(&process, None, now, actions);
        }
        let Some(next) = self.next(now) else {
            return;
        };
        let number = next.work.number;
        let was_asked = |(job, at)| job == number && now < at + AGAIN;
        if self.asked.is_some_and(was_asked) {
            return;
        }
        let ask = next.ask;
        let asked = self.agents_to_ask(next, ordered, now);
        self.asked = Some((number, now));
        for process in asked {
            self.echo(&process, Some(ask), now, actions);
        }
    }

    /// The agents that hold room for this entry which it has not used.
    fn unused_offers(&mut self, ordered: &BTreeSet<Process>) -> Vec<Process> {
        let mut unused = Vec::new();
        for (process, agent) in &mut self.agents {
            if std::mem::take(&mut agent.is_offered) && !ordered.contains(process) {
                unused.push(process.clone());
            }
        }
        unused
    }

    /// One agent for each task that waits, spread evenly from one drawn by chance.
    fn agents_to_ask(
        &self,
        next: Next<'_>,
        ordered: &BTreeSet<Process>,
        now: Duration,
    ) -> Vec<Process> {
        let agents = self.agents.iter();
        let able: Vec<&Process> = agents
            .filter(|(process, agent)| {
                next.ask_of(agent, now).is_some() && !ordered.contains(*process)
            })
            .map(|(process, _)| process)
            .collect();
        if able.is_empty() {
            return Vec::new();
        }
        let count = MOST.min(next.ask.tasks as usize).min(able.len());
        let step = able.len() / count.max(1);
        let start = self.chance.below(able.len() as f64) as usize;
        let spread = (0..count).map(|nth| able[(start + nth * step) % able.len()].clone());
        spread.collect()
    }
}
