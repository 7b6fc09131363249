//! Tasks on upstreams that have announced their end, for upstreams that are replaced at short
//! notice. Tasks that are not expected to end there are stopped and started elsewhere, while their
//! callers can still be served in time.

use super::outlook::{Choice, Outlook};
use crate::Decision;
use crate::message::{Attempt, Message};
use crate::scheduler::active_job::{ActiveJob, Phase};
use crate::scheduler::placement::choose::is_eligible;
use crate::scheduler::placement::tenure::Notice;
use crate::scheduler::queue::rank::Rank;
use crate::scheduler::{Action, Answer, Scheduler, job_decision};
use cassiarock_id::Process;
use std::collections::BTreeMap;
use std::time::Duration;

/// A task on a leaving upstream.
struct Candidate {
    agent: Process,
    attempt: Attempt,
    outlook: Outlook,
    choice: Choice,
    rank: Rank,
}

/// What becomes of the tasks of this entry on one leaving upstream.
#[derive(Default)]
struct Count {
    tasks: usize,
    moved: usize,
    without_room: usize,
    given_up: usize,
}

impl Scheduler {
    /// Judges the tasks on leaving upstreams, those of the first jobs in the queue's order first.
    pub(in crate::scheduler) fn clear_leaving_upstreams(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if !self.mechanisms.leaving {
            return;
        }
        let notices = self.notices();
        if notices.is_empty() {
            return;
        }
        let mut candidates = self.candidates(&notices, now);
        candidates.sort_by_key(|candidate| candidate.rank);
        let mut counts: BTreeMap<Process, Count> = BTreeMap::new();
        let mut halts: BTreeMap<Process, Vec<Attempt>> = BTreeMap::new();
        let mut claimed_cpu = self.moving_cpu();
        for candidate in candidates {
            let count = counts.entry(candidate.agent.clone()).or_default();
            count.tasks += 1;
            let demand = self.cpu_of(&candidate.attempt);
            match candidate.choice {
                Choice::Stay => {}
                Choice::GiveUp => {
                    count.given_up += 1;
                    self.give_up(&candidate, &notices, now, actions);
                }
                Choice::Move if self.has_room(&candidate.attempt, claimed_cpu, now) => {
                    count.moved += 1;
                    claimed_cpu = claimed_cpu.saturating_add(demand);
                    self.leave_upstream(&candidate, &notices, now, actions);
                    let halted = halts.entry(candidate.agent).or_default();
                    halted.push(candidate.attempt);
                }
                Choice::Move => count.without_room += 1,
            }
        }
        for (process, attempts) in halts {
            actions.push(Action::Send(process, Message::Halt(attempts)));
        }
        self.log_judgements(&notices, &counts, now, actions);
    }

    /// The notices of the upstreams that run tasks of this entry.
    fn notices(&self) -> BTreeMap<Process, Notice> {
        let agents = self.agents.iter().filter(|(_, agent)| agent.placed > 0);
        agents
            .filter_map(|(process, agent)| Some((process.clone(), agent.tenure.notice?)))
            .collect()
    }

    fn candidates(&self, notices: &BTreeMap<Process, Notice>, now: Duration) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for active in self.jobs.values() {
            for (process, attempt) in active.placed() {
                let Some(notice) = notices.get(&process) else {
                    continue;
                };
                let Some(outlook) = self.outlook(active, &process, &attempt, notice, now) else {
                    continue;
                };
                candidates.push(Candidate {
                    agent: process,
                    attempt,
                    outlook,
                    choice: outlook.choose(),
                    rank: active.rank(),
                });
            }
        }
        candidates
    }

    /// What is known of a task; `None` if it is being moved already.
    fn outlook(
        &self,
        active: &ActiveJob,
        process: &Process,
        attempt: &Attempt,
        notice: &Notice,
        now: Duration,
    ) -> Option<Outlook> {
        let stage = attempt.stage as usize;
        let task = &active.tasks[stage][attempt.index as usize];
        let Phase::Placed(_, since) = task.phase else {
            return None;
        };
        let agent = self.agents.get(process)?;
        let here = self.expected_on(active, stage, agent);
        let expected = active.expected[stage];
        let then = active.time_after(stage);
        Some(Outlook {
            now,
            since,
            ends_at: notice.ends_at,
            expected_here: here.mul_f64(self.pace_of(agent, now)),
            expected_elsewhere: expected,
            on_time_until: active.on_time_until.saturating_sub(then),
            useful_until: active.useful_until.saturating_sub(then),
        })
    }

    /// The processor demand of the tasks that are being moved, in thousandths of a core.
    fn moving_cpu(&self) -> u64 {
        let jobs = self.jobs.values();
        let demands = jobs.flat_map(|active| {
            let stages = active.job.stages.iter().zip(&active.tasks);
            stages.map(|(stage, tasks)| {
                let moving = tasks.iter();
                let moving = moving.filter(|task| matches!(task.phase, Phase::Moving(..)));
                stage.demand.cpu.saturating_mul(moving.count() as u64)
            })
        });
        demands.fold(0, u64::saturating_add)
    }

    fn cpu_of(&self, attempt: &Attempt) -> u64 {
        let active = self.jobs.get(&attempt.number);
        active.map_or(0, |active| {
            active.job.stages[attempt.stage as usize].demand.cpu
        })
    }

    /// Whether there is room elsewhere for a task that is moved, besides that for the tasks that
    /// wait before it and the `claimed_cpu` of other moves.
    fn has_room(&self, attempt: &Attempt, claimed_cpu: u64, now: Duration) -> bool {
        let Some(active) = self.jobs.get(&attempt.number) else {
            return false;
        };
        let stage = &active.job.stages[attempt.stage as usize];
        let agents = self.agents.values();
        let fitting = agents.filter(|agent| {
            stage.demand.fits_in(agent.free()) && is_eligible(active, stage, agent, now)
        });
        let (count, free_cpu) = fitting.fold((0, 0_u64), |(count, cpu), agent| {
            (count + 1, cpu.saturating_add(agent.free().cpu))
        });
        let (queued_cpu, _) = self.queued_before(active);
        let needed = queued_cpu
            .saturating_add(claimed_cpu)
            .saturating_add(stage.demand.cpu);
        count > 0 && needed <= free_cpu
    }

    /// Marks a task as being moved. The caller sends the order to stop it.
    fn leave_upstream(
        &mut self,
        candidate: &Candidate,
        notices: &BTreeMap<Process, Notice>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.jobs.get_mut(&candidate.attempt.number) else {
            return;
        };
        let decision = job_decision("moved off a leaving upstream", active, now);
        let decision = candidate.describe(decision, notices, now);
        actions.push(Action::Log(decision));
        if let Some(task) = active.current_task(&candidate.agent, &candidate.attempt) {
            task.phase = Phase::Moving(candidate.agent.clone(), now);
        }
    }

    /// Ends a job with a task that can end in time neither on the leaving upstream nor elsewhere.
    fn give_up(
        &mut self,
        candidate: &Candidate,
        notices: &BTreeMap<Process, Notice>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let number = candidate.attempt.number;
        let Some(active) = self.jobs.get(&number) else {
            return;
        };
        let decision = job_decision("given up on a leaving upstream", active, now);
        let decision = candidate.describe(decision, notices, now);
        actions.push(Action::Log(decision.failed()));
        let reason = "its upstream ends too early";
        self.fail(number, Answer::GivenUp, reason, now, actions);
    }

    /// Logs what becomes of the tasks on each upstream whose notice is new.
    fn log_judgements(
        &mut self,
        notices: &BTreeMap<Process, Notice>,
        counts: &BTreeMap<Process, Count>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        for (process, notice) in notices.iter().filter(|(_, notice)| !notice.is_judged) {
            let agent = self.agents.get_mut(process);
            if let Some(notice) = agent.and_then(|agent| agent.tenure.notice.as_mut()) {
                notice.is_judged = true;
            }
            let none = Count::default();
            let count = counts.get(process).unwrap_or(&none);
            let kept = count.tasks - count.moved - count.given_up;
            let decision = Decision::new("upstream announced its end", "", "")
                .with("agent", process)
                .with("left_ms", notice.left(now).as_millis())
                .with("notice_age_ms", notice.age(now).as_millis())
                .with("tasks", count.tasks)
                .with("moved", count.moved)
                .with("kept", kept)
                .with("without_room", count.without_room)
                .with("given_up", count.given_up);
            actions.push(Action::Log(decision));
        }
    }
}

impl Candidate {
    /// Adds the inputs of the choice to a decision.
    fn describe(
        &self,
        decision: Decision,
        notices: &BTreeMap<Process, Notice>,
        now: Duration,
    ) -> Decision {
        let outlook = &self.outlook;
        let age = notices
            .get(&self.agent)
            .map_or(Duration::ZERO, |notice| notice.age(now));
        let expected_end = outlook.since.saturating_add(outlook.expected_here);
        decision
            .with("agent", &self.agent)
            .with("stage", self.attempt.stage)
            .with("index", self.attempt.index)
            .with(
                "upstream_left_ms",
                outlook.ends_at.saturating_sub(now).as_millis(),
            )
            .with("notice_age_ms", age.as_millis())
            .with("ran_ms", outlook.elapsed().as_millis())
            .with(
                "expected_end_ms",
                expected_end.saturating_sub(now).as_millis(),
            )
            .with("chance_here", format_args!("{:.2}", outlook.chance_here()))
            .with(
                "worth_elsewhere",
                format_args!("{:.2}", outlook.worth_elsewhere()),
            )
    }
}
