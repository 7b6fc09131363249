//! A simulated entry with a real dispatcher.

use super::load::Job;
use super::simulation::{SimulationConfig, id};
use cassiarock_id::{Name, Process, Task};
use cassiarock_policy::dispatch::{Answer, Dispatcher, Outcome, Submission};
use cassiarock_policy::load::LoadReport;
use cassiarock_policy::place::{TaskKey, Upstream};
use cassiarock_policy::retry::RetrySafety;
use cassiarock_policy::size::Resources;
use std::time::Duration;

#[derive(Debug)]
pub struct Entry {
    pub name: Process,
    pub dispatcher: Dispatcher,
}

impl Entry {
    pub fn new(index: usize, config: &SimulationConfig, agents: &[Process]) -> Self {
        let seed = config.seed + index as u64;
        let mut entry = Self {
            name: Process::new(format!("entry-{index}"), 1),
            dispatcher: Dispatcher::new(config.dispatch.clone(), seed),
        };
        for agent in agents {
            entry.add(agent, config.slots);
        }
        entry
    }

    pub fn add(&mut self, agent: &Process, slots: u16) {
        let upstream = Upstream::new(agent.clone(), slots);
        self.dispatcher
            .add(upstream, Resources::new(64_000, 128 << 10, 0));
    }

    /// Admits a job and releases its tasks, or refuses it.
    pub fn arrive(&mut self, index: usize, job: &Job, now: Duration) -> Answer {
        let team = Name::from(format!("team-{}", job.team));
        let kind = Name::from(format!("kind-{}", job.kind));
        let tasks = job.runs.len();
        let submission = Submission::new(id(index), team, kind, tasks)
            .with_declared_run_time(job.declared)
            .with_deadline(job.within);
        let answer = self.dispatcher.admit(&submission, now);
        if answer == Answer::Admit {
            let tasks = (0..tasks).map(|task| Task(task as u16)).collect();
            self.dispatcher.release(id(index), tasks, None, now);
        }
        answer
    }

    /// Handles the outcome of a task; returns the delay of its retry, if there is one.
    pub fn end(
        &mut self,
        agent: &Process,
        key: &TaskKey,
        load: LoadReport,
        ran: Option<Duration>,
        now: Duration,
    ) -> Option<Duration> {
        let end = ran.map_or(Outcome::Failed, Outcome::Done);
        self.dispatcher.end(agent, key, end, Some(load), now);
        if ran.is_some() {
            return None;
        }
        self.dispatcher.retry(RetrySafety::Idempotent, 0)
    }
}
