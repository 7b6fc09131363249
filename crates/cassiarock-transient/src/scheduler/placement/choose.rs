//! The choice of an agent for a task.

use super::cost::{REMOTE_DATA_FACTOR, cost};
use crate::Stage;
use crate::message::Start;
use crate::scheduler::Scheduler;
use crate::scheduler::active_job::ActiveJob;
use crate::scheduler::agent::Agent;
use cassiarock_id::Process;
use std::collections::BTreeMap;
use std::time::Duration;

/// An upstream is slow if its tasks run this many times as long as at the median one. It gets no
/// tasks that would be late there, and overdue tasks are moved away from it. The kinds of upstream
/// differ by less.
pub(in crate::scheduler) const SLOW_PACE: f64 = 1.8;

/// The bonus of an agent that already gets tasks of the job in this round. Each further agent
/// costs a message and another copy of the job's specification.
const SAME_JOB_BONUS: f64 = 0.15;

/// The random part of the cost, so that entries that place at the same time seldom choose the same
/// of several equal agents.
const RANDOM_PENALTY: f64 = 0.1;

impl Scheduler {
    /// Chooses the agent where a task should end first.
    pub(in crate::scheduler) fn choose_agent(
        &self,
        active: &ActiveJob,
        stage: usize,
        index: usize,
        starts: &BTreeMap<Process, Vec<Start>>,
        now: Duration,
    ) -> Option<Process> {
        let job_stage = &active.job.stages[stage];
        let task = &active.tasks[stage][index];
        let is_suspect = !task.crashes.is_empty();
        let after = active.time_after(stage);
        let remote_factor = self.remote_factor.unwrap_or(REMOTE_DATA_FACTOR);
        let agents = self.agents.iter();
        // Room is checked first: under load most agents have none, and all agents are checked for
        // each task.
        let candidates = agents.filter(|(process, agent)| {
            job_stage.demand.fits_in(agent.free())
                && is_eligible(active, job_stage, agent, now)
                && is_below_max_per_upstream(active, stage, job_stage, process)
                && self.is_warm_enough(active, stage, agent, now)
        });
        let costs = candidates.filter_map(|(process, agent)| {
            let pace = self.pace_of(agent, now);
            let expected = self.expected_on(active, stage, agent).mul_f64(pace);
            if self.is_too_slow(active, stage, agent, now) {
                return None;
            }
            let prospect = self.prospect(active, stage, agent, now + expected, now, after);
            if active.may_wait_for_fastest && prospect.is_too_slow() {
                return None;
            }
            let ratio = if self.mechanisms.uneven {
                prospect.weighed_ratio(self.fast_use)
            } else {
                prospect.ratio
            };
            let is_avoided = self.mechanisms.avoidance && task.avoided.contains(process);
            let bonus = if self.mechanisms.together && starts.contains_key(process) {
                SAME_JOB_BONUS
            } else {
                0.0
            };
            let random = self.random.below(RANDOM_PENALTY);
            // A suspect goes where no other suspect runs, and where it puts the fewest cores at
            // risk. Other tasks go where no suspect runs if possible.
            let has_suspect = self.suspect_agents.contains(process);
            let preference = if is_suspect {
                let at_risk = agent.capacity().saturating_sub(agent.free()).cpu;
                (has_suspect, is_avoided, at_risk)
            } else {
                (is_avoided, has_suspect, 0)
            };
            let cost = cost(job_stage, agent, pace * ratio, remote_factor, random) - bonus;
            Some((preference, cost, process))
        });
        let best = costs.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, process)| process.clone())
    }

    /// Whether the agent's upstream is so slow that the job would be late.
    pub(super) fn is_too_slow(
        &self,
        active: &ActiveJob,
        stage: usize,
        agent: &Agent,
        now: Duration,
    ) -> bool {
        let pace = agent.pace();
        let expected = self.expected_on(active, stage, agent).mul_f64(pace);
        self.mechanisms.moving
            && pace > SLOW_PACE
            && now + expected > active.on_time_until
            && now < active.latest_start() + active.critical_path
    }
}

/// Whether tasks of the stage may be placed on the agent, whatever room it has.
pub(in crate::scheduler) fn is_eligible(
    active: &ActiveJob,
    stage: &Stage,
    agent: &Agent,
    now: Duration,
) -> bool {
    let label = stage.label.as_ref();
    agent.is_open(now)
        && agent.may_be_ordered()
        && !agent.is_ejected
        && agent.serves(&active.class.service)
        && label.is_none_or(|label| agent.has_label(label))
}

/// Whether the stage may have one more task on the agent.
fn is_below_max_per_upstream(
    active: &ActiveJob,
    stage: usize,
    job_stage: &Stage,
    process: &Process,
) -> bool {
    let Some(max) = job_stage.max_per_upstream else {
        return true;
    };
    let tasks = active.tasks[stage].iter();
    let placed = tasks.filter(|task| task.agent() == Some(process));
    placed.count() < max as usize
}
