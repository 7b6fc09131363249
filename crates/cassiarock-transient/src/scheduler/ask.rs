//! Asking agents for room.
//!
//! The load that this answers is a nearly full system with several entries: an agent that knows
//! what each waits for offers the room that it frees to the most urgent one.

use super::work::Phase;
use super::{Action, Scheduler};
use crate::message::Ask;
use cassiarock_id::Process;
use std::collections::BTreeSet;
use std::time::Duration;

/// The most agents that are asked at once. Each ask is a frame; an agent frees room for a task
/// some fifty times a second.
const MOST: usize = 8;

/// A job that still waits asks other agents after this time.
const AGAIN: Duration = Duration::from_millis(50);

impl Scheduler {
    /// What this entry would place next, if it had room.
    pub(super) fn ask(&self, now: Duration) -> Option<Ask> {
        if !self.switch.asking {
            return None;
        }
        let rank = self.queue.first()?;
        let work = self.works.get(&rank.number)?;
        let (stage, _) = work.waiting(now).first().copied()?;
        let tasks = work.tasks[stage].iter();
        let waiting = tasks.filter(|task| matches!(task.phase, Phase::Waiting(_)));
        Some(Ask {
            is_late: rank.is_late,
            is_unstarted: rank.is_unstarted,
            has_waited: rank.has_waited,
            urgency: rank.urgency,
            left: rank.latest.saturating_sub(now),
            demand: work.job.stages[stage].demand,
            tasks: u32::try_from(waiting.count()).unwrap_or(u32::MAX),
        })
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
        let (Some(ask), Some(first)) = (self.ask(now), self.queue.first().copied()) else {
            return;
        };
        let was_asked = |(number, at)| number == first.number && now < at + AGAIN;
        if self.asked.is_some_and(was_asked) {
            return;
        }
        self.asked = Some((first.number, now));
        for process in self.agents_to_ask(&ask, ordered, now) {
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
    fn agents_to_ask(&self, ask: &Ask, ordered: &BTreeSet<Process>, now: Duration) -> Vec<Process> {
        let agents = self.agents.iter();
        let open: Vec<&Process> = agents
            .filter(|(process, agent)| {
                agent.is_open(now) && !agent.is_ejected && !ordered.contains(*process)
            })
            .map(|(process, _)| process)
            .collect();
        if open.is_empty() {
            return Vec::new();
        }
        let count = MOST.min(ask.tasks as usize).min(open.len());
        let step = open.len() / count.max(1);
        let start = self.chance.below(open.len() as f64) as usize;
        let spread = (0..count).map(|nth| open[(start + nth * step) % open.len()].clone());
        spread.collect()
    }
}
