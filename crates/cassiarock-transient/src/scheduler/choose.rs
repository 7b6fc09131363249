//! Which agent gets a task.

use super::Scheduler;
use super::agent::Agent;
use super::work::Work;
use crate::message::Start;
use crate::{Resources, Stage};
use cassiarock_id::Process;
use std::collections::BTreeMap;
use std::time::Duration;

/// An upstream whose tasks run this much longer than at the median one is kept out for tasks
/// that would be late there, and overdue tasks are moved away from it. The kinds of upstream
/// differ by less.
pub(super) const SLOW: f64 = 1.8;

/// What running away from the data's rack costs at the users' sites.
const FAR: f64 = 1.5;

/// How much a full upstream counts as slower than an empty one: leaves room on each, so
/// that entries that place at the same time seldom meet.
const FULL: f64 = 0.3;

/// What an agent that already gets tasks of the job in this round is preferred by: each
/// further agent costs a message and the job's text once more.
const TOGETHER: f64 = 0.15;

/// The spread by chance among equals, for the same reason.
const CHANCE: f64 = 0.1;

impl Scheduler {
    /// The best agent for a task: the one where it should end first.
    pub(super) fn choose(
        &self,
        work: &Work,
        stage: usize,
        index: usize,
        starts: &BTreeMap<Process, Vec<Start>>,
        now: Duration,
    ) -> Option<Process> {
        let wanted = &work.job.stages[stage];
        let task = &work.tasks[stage][index];
        let is_suspect = !task.crashed.is_empty();
        let agents = self.agents.iter();
        // Room first: under load most agents have none, and all are asked for each task.
        let fit = agents.filter(|(process, agent)| {
            wanted.demand.fits_in(agent.free())
                && is_eligible(work, wanted, agent, now)
                && has_spread(work, stage, wanted, process)
        });
        let costs = fit.filter_map(|(process, agent)| {
            let pace = agent.pace(self.median);
            let expected = work.expected[stage].mul_f64(pace);
            let would_be_late = now + expected > work.due;
            if self.mechanisms.moving
                && pace > SLOW
                && would_be_late
                && now < work.latest() + work.chain
            {
                return None;
            }
            let avoided = self.mechanisms.avoidance && task.avoid.contains(process);
            let together = if self.mechanisms.together && starts.contains_key(process) {
                TOGETHER
            } else {
                0.0
            };
            let chance = self.chance.below(CHANCE);
            // A suspect goes where no other is and where it puts least at risk; others rather
            // not where one is.
            let has_suspect = self.suspected.contains(process);
            let order = if is_suspect {
                let at_risk = agent.capacity().saturating_sub(agent.free()).cpu;
                (has_suspect, avoided, at_risk)
            } else {
                (avoided, has_suspect, 0)
            };
            Some((order, cost(wanted, agent, pace, chance) - together, process))
        });
        let best = costs.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, process)| process.clone())
    }
}

/// Whether tasks of the stage may be placed there, be there room or not.
pub(super) fn is_eligible(work: &Work, wanted: &Stage, agent: &Agent, now: Duration) -> bool {
    let label = wanted.label.as_ref();
    agent.is_open(now)
        && !agent.is_ejected
        && agent.serves(&work.class.service)
        && label.is_none_or(|label| agent.has_label(label))
}

/// Whether the stage may have one more task on the agent.
fn has_spread(work: &Work, stage: usize, wanted: &Stage, process: &Process) -> bool {
    let Some(most) = wanted.max_per_upstream else {
        return true;
    };
    let tasks = work.tasks[stage].iter();
    let there = tasks.filter(|task| task.agent() == Some(process));
    there.count() < most as usize
}

/// How long a task takes there in terms of the median upstream, and a little for being full.
fn cost(wanted: &Stage, agent: &Agent, pace: f64, chance: f64) -> f64 {
    let is_near = wanted
        .rack
        .as_ref()
        .is_none_or(|rack| agent.has_label(rack));
    let far = if is_near { 1.0 } else { FAR };
    let free = share(agent.free(), &agent.capacity());
    let failing = f64::from(agent.load.failure_percent) / 100.0;
    pace * far * (1.0 + FULL * (1.0 - free) + chance) + failing
}

fn share(free: &Resources, capacity: &Resources) -> f64 {
    free.cpu as f64 / capacity.cpu.max(1) as f64
}
