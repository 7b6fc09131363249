//! Asking agents for room.
//!
//! In a nearly full system with several entries, an agent that knows what each entry waits for
//! offers the room that becomes free to the most urgent job.

use super::choose::is_eligible;
use crate::message::CapacityRequest;
use crate::scheduler::active_job::{ActiveJob, Phase};
use crate::scheduler::agent::Agent;
use crate::scheduler::{Action, Scheduler};
use cassiarock_id::Process;
use std::collections::BTreeSet;
use std::time::Duration;

/// The most agents that are asked at once. Each ask is a frame, and an agent frees room for a task
/// some fifty times a second.
const MAX_ASKED_AGENTS: usize = 8;

/// A job that still waits asks other agents after this time.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// The job that an entry would place next if it had room.
#[derive(Clone, Copy, Debug)]
pub(in crate::scheduler) struct NextJob<'a> {
    active: &'a ActiveJob,
    stage: usize,
    ask: CapacityRequest,
}

impl NextJob<'_> {
    /// What to ask an agent for; `None` if it could not run the job's tasks.
    pub(in crate::scheduler) fn ask_of(
        &self,
        agent: &Agent,
        now: Duration,
    ) -> Option<CapacityRequest> {
        let stage = &self.active.job.stages[self.stage];
        is_eligible(self.active, stage, agent, now).then_some(self.ask)
    }
}

impl Scheduler {
    /// The job that this entry would place next if it had room.
    pub(in crate::scheduler) fn next_job(&self, now: Duration) -> Option<NextJob<'_>> {
        if !self.mechanisms.asking {
            return None;
        }
        let rank = self.queue.first()?;
        let active = self.jobs.get(&rank.number)?;
        let (stage, _) = active.ready_tasks(now).first().copied()?;
        let tasks = active.tasks[stage].iter();
        let waiting = tasks.filter(|task| matches!(task.phase, Phase::Waiting(_)));
        let ask = CapacityRequest {
            is_late: rank.is_late,
            is_unstarted: rank.is_unstarted,
            has_waited: rank.has_waited,
            urgency: rank.urgency,
            left: rank.latest_start.saturating_sub(now),
            demand: active.job.stages[stage].demand,
            tasks: u32::try_from(waiting.count()).unwrap_or(u32::MAX),
        };
        Some(NextJob { active, stage, ask })
    }

    /// Asks some agents for room for the first job of the queue, unless agents were asked for it
    /// within `ASK_INTERVAL`, and releases offered room that is not used. The agents in `ordered`
    /// were told of both with their orders.
    pub(in crate::scheduler) fn ask_for_room(
        &mut self,
        ordered: &BTreeSet<Process>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        for process in self.take_unused_offers(ordered) {
            self.echo(&process, None, now, actions);
        }
        let Some(next) = self.next_job(now) else {
            return;
        };
        let number = next.active.number;
        let is_recent = |(job, at)| job == number && now < at + Duration::from_millis(crate::host::shares::trial_knob("ASKMS", 50.0) as u64);
        if self.last_ask.is_some_and(is_recent) {
            return;
        }
        let ask = next.ask;
        let asked = self.agents_to_ask(next, ordered, now);
        self.last_ask = Some((number, now));
        for process in asked {
            self.echo(&process, Some(ask), now, actions);
        }
    }

    /// Ends all offers of room, and returns the agents whose offers were not used.
    fn take_unused_offers(&mut self, ordered: &BTreeSet<Process>) -> Vec<Process> {
        let mut unused = Vec::new();
        for (process, agent) in &mut self.agents {
            if std::mem::take(&mut agent.is_offered) && !ordered.contains(process) {
                unused.push(process.clone());
            }
        }
        unused
    }

    /// One agent for each waiting task, up to `MAX_ASKED_AGENTS`, evenly spaced from a random first.
    fn agents_to_ask(
        &self,
        next: NextJob<'_>,
        ordered: &BTreeSet<Process>,
        now: Duration,
    ) -> Vec<Process> {
        let agents = self.agents.iter();
        let eligible: Vec<&Process> = agents
            .filter(|(process, agent)| {
                next.ask_of(agent, now).is_some() && !ordered.contains(*process)
            })
            .map(|(process, _)| process)
            .collect();
        if eligible.is_empty() {
            return Vec::new();
        }
        let with_room: Vec<&Process> = eligible.iter().copied().filter(|process| self.agents.get(*process).is_some_and(|agent| next.ask.demand.fits_in(agent.free()))).collect();
        let eligible = if with_room.is_empty() || crate::host::shares::trial_knob("ASKFREE", 1.0) == 0.0 { eligible } else { with_room };
        let count = (crate::host::shares::trial_knob("ASKN", 8.0) as usize)
            .min(next.ask.tasks as usize)
            .min(eligible.len());
        let step = eligible.len() / count.max(1);
        let start = self.random.below(eligible.len() as f64) as usize;
        let chosen = (0..count).map(|nth| eligible[(start + nth * step) % eligible.len()].clone());
        chosen.collect()
    }
}
