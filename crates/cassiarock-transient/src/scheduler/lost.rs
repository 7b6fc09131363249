//! Agents that are lost or come back: where their tasks go.

use super::settle::place_again;
use super::work::Work;
use super::{Action, Scheduler};
use crate::Decision;
use crate::message::{Attempt, Message, Outcome};
use cassiarock_id::Process;
use std::time::Duration;

impl Scheduler {
    /// An agent came back on a new link and named what it still has. What it does not name has
    /// been lost on the way to it, or its end was told on the old link's last breath.
    pub(super) fn reconcile(
        &mut self,
        from: &Process,
        held: &[Attempt],
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let lost = self.placed_at(from);
        let lost: Vec<Attempt> = lost.into_iter().filter(|at| !held.contains(at)).collect();
        self.place_elsewhere(from, &lost, "not at its agent", now, actions);
        let unwanted: Vec<Attempt> = held
            .iter()
            .filter(|attempt| {
                let work = self.works.get_mut(&attempt.number);
                work.is_none_or(|work| work.present(from, attempt).is_none())
            })
            .copied()
            .collect();
        if !unwanted.is_empty() {
            actions.push(Action::Send(from.clone(), Message::Halt(unwanted)));
        }
    }

    /// Places the tasks of lost agents elsewhere, once they must have ended there.
    pub(super) fn reclaim(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let lost: Vec<Process> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.is_lost(now) && (agent.placed > 0 || !agent.is_linked))
            .map(|(process, _)| process.clone())
            .collect();
        for process in lost {
            let tasks = self.placed_at(&process);
            self.place_elsewhere(&process, &tasks, "its agent is lost", now, actions);
            let Some(agent) = self.agents.get_mut(&process) else {
                continue;
            };
            agent.placed = 0;
            if !agent.is_linked {
                self.agents.remove(&process);
            }
        }
    }

    pub(super) fn placed_at(&self, agent: &Process) -> Vec<Attempt> {
        let works = self.works.values();
        let placed = works.flat_map(Work::placed);
        placed
            .filter(|(at, _)| at == agent)
            .map(|(_, attempt)| attempt)
            .collect()
    }

    fn place_elsewhere(
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
        let heard = self
            .agents
            .get(from)
            .map_or(Duration::ZERO, |agent| agent.heard);
        for attempt in tasks {
            let Some(work) = self.works.get_mut(&attempt.number) else {
                continue;
            };
            work.has_run = true;
            if let Some(task) = work.present(from, attempt) {
                place_again(task, from, Outcome::Lost, now);
            }
            let line = Decision::new(
                "placing again",
                work.job.request.clone(),
                work.job.id.clone(),
            )
            .with("reason", reason)
            .with("agent", from)
            .with("heard_ms_ago", now.saturating_sub(heard).as_millis());
            actions.push(Action::Log(line.failed()));
            self.requeue(attempt.number);
        }
        if let Some(agent) = self.agents.get_mut(from) {
            agent.placed = agent.placed.saturating_sub(tasks.len());
        }
    }
}
