//! Recovery of tasks from agents that are lost or come back.

use crate::Decision;
use crate::message::{Attempt, Message, Outcome};
use crate::scheduler::active_job::{ActiveJob, Phase};
use crate::scheduler::endings::place_again;
use crate::scheduler::{Action, Scheduler};
use cassiarock_id::Process;
use std::time::Duration;

impl Scheduler {
    /// Compares the attempts that an agent reports on a new link with those placed there. Attempts
    /// that it does not have are placed again: either their order was lost on the way, or the
    /// report of their end was lost with the old link. Attempts that nobody waits for are stopped, and
    /// so are those that are being moved.
    pub(in crate::scheduler) fn reconcile(
        &mut self,
        from: &Process,
        held: &[Attempt],
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let placed = self.placed_at(from).into_iter();
        let lost: Vec<Attempt> = placed.filter(|placed| !held.contains(placed)).collect();
        self.requeue_lost(from, &lost, "not at its agent", now, actions);
        let unwanted: Vec<Attempt> = held
            .iter()
            .filter(|attempt| {
                let active = self.jobs.get_mut(&attempt.number);
                let task = active.and_then(|active| active.current_task(from, attempt));
                // The order to stop a task that is being moved may have been lost with the old link.
                task.is_none_or(|task| matches!(task.phase, Phase::Moving(..)))
            })
            .copied()
            .collect();
        if !unwanted.is_empty() {
            actions.push(Action::Send(from.clone(), Message::Halt(unwanted)));
        }
    }

    /// Queues the tasks of lost agents for another agent, once they must have ended there.
    pub(in crate::scheduler) fn reclaim(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let lost: Vec<Process> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.is_lost(now) && (agent.placed > 0 || !agent.is_linked))
            .map(|(process, _)| process.clone())
            .collect();
        for process in lost {
            let tasks = self.placed_at(&process);
            self.requeue_lost(&process, &tasks, "its agent is lost", now, actions);
            let Some(agent) = self.agents.get_mut(&process) else {
                continue;
            };
            agent.placed = 0;
            if !agent.is_linked {
                self.agents.remove(&process);
                self.crashes.forget_agent(&process);
            }
        }
    }

    /// The attempts that are placed at an agent.
    pub(in crate::scheduler) fn placed_at(&self, agent: &Process) -> Vec<Attempt> {
        let jobs = self.jobs.values();
        let placed = jobs.flat_map(ActiveJob::placed);
        placed
            .filter(|(at, _)| at == agent)
            .map(|(_, attempt)| attempt)
            .collect()
    }

    /// Queues attempts that were lost at an agent to be placed again.
    fn requeue_lost(
        &mut self,
        from: &Process,
        tasks: &[Attempt],
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if tasks.is_empty() {
            return;
        }
        let last_heard = self
            .agents
            .get(from)
            .map_or(Duration::ZERO, |agent| agent.last_heard);
        for attempt in tasks {
            let Some(active) = self.jobs.get_mut(&attempt.number) else {
                continue;
            };
            active.has_run = true;
            if let Some(task) = active.current_task(from, attempt) {
                place_again(task, from, Outcome::Lost, now);
            }
            let decision = Decision::new(
                "placing again",
                active.job.request.clone(),
                active.job.id.clone(),
            )
            .with("reason", reason)
            .with("agent", from)
            .with("heard_ms_ago", now.saturating_sub(last_heard).as_millis());
            actions.push(Action::Log(decision.failed()));
            self.requeue(attempt.number);
        }
        if let Some(agent) = self.agents.get_mut(from) {
            agent.placed = agent.placed.saturating_sub(tasks.len());
        }
    }
}
