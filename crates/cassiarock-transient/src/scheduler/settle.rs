//! What ends of attempts, lost agents and passed time make of the jobs.

use super::admit::refused;
use super::place::SLOW;
use super::work::{Phase, Place, Task, Work};
use super::{Action, Answer, Scheduler, Stage, told};
use crate::Decision;
use crate::message::{Attempt, End, Ending, Message};
use cassiarock_id::Process;
use std::time::Duration;

/// The pause before a task is placed again that met an earlier attempt of its own: the
/// upstream needs up to 50 ms to stop that.
const BUSY: Duration = Duration::from_millis(60);

/// The pause before a task is placed again that was turned away for another reason than room:
/// the next heartbeat may show a better place.
const REFUSED: Duration = Duration::from_millis(20);

/// An upstream that has seen higher attempts has them from an earlier submission of the job,
/// which had made few.
const PASSED: u32 = 8;

/// A task is moved if it runs longer than this many times what was expected of it, ...
const OVERDUE: f64 = 3.0;

/// ... and this much longer, on an upstream that is slow.
const OVERDUE_LEAST: Duration = Duration::from_millis(150);

/// A task is moved at most this often: a task that is slow by itself gains nothing.
const MOVES: u32 = 2;

/// When the caller of a job that was given up before it started should come back.
const AGAIN: Duration = Duration::from_secs(1);

impl Scheduler {
    /// An attempt ended.
    pub(super) fn settle(
        &mut self,
        from: &Process,
        ending: &Ending,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let number = ending.attempt.number;
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        if work.present(from, &ending.attempt).is_none() {
            return;
        }
        work.has_run |= !ending.end.is_unrun();
        let attempts = work.class.attempts.max(1);
        let Some(task) = work.present(from, &ending.attempt) else {
            return;
        };
        if let Some(agent) = self.agents.get_mut(from) {
            agent.placed = agent.placed.saturating_sub(1);
        }
        match ending.end {
            End::Done => self.done(from, ending, now, actions),
            End::Failed => {
                task.failures += 1;
                let is_over = task.failures >= attempts;
                retry(task, from, now);
                if is_over {
                    let reason = "a task failed too often";
                    self.fail(number, Answer::Failed, reason, now, actions);
                } else {
                    self.requeue(number);
                }
            }
            end => {
                place_again(task, from, end, now);
                self.requeue(number);
            }
        }
    }

    fn done(&mut self, from: &Process, ending: &Ending, now: Duration, actions: &mut Vec<Action>) {
        let agent = self.agents.get(from);
        // An end comes from an agent that is known.
        let pace = agent.map_or(1.0, |agent| agent.pace(self.median));
        let Some(work) = self.works.get_mut(&ending.attempt.number) else {
            return;
        };
        let stage = ending.attempt.stage as usize;
        if let Some(task) = work.present(from, &ending.attempt) {
            task.phase = Phase::Done;
            work.left = work.left.saturating_sub(1);
        }
        let estimate = work.job.stages[stage].estimate.as_secs_f64();
        if estimate > 0.0 {
            let ratio = ending.ran.as_secs_f64() / pace / estimate;
            self.ratios.learn(&work.class.route, ratio);
        }
        if work.left == 0 {
            self.complete(ending.attempt.number, now, actions);
        } else if work.has_waiting() {
            self.enqueue(ending.attempt.number);
        }
    }

    fn complete(&mut self, number: u64, now: Duration, actions: &mut Vec<Action>) {
        if let Some(work) = self.remove(number) {
            let line = told("completed", &work, now)
                .with("on_time", now <= work.due)
                .with("retries", work.retries);
            actions.push(Action::Tell(line));
            let took = now.saturating_sub(work.arrived);
            let route = work.class.route.clone();
            actions.push(Action::Measure(Stage::Answer, route, took));
            actions.push(Action::Answer(number, Answer::Completed));
        }
    }

    /// Ends a job that has started, and stops what is left of it.
    fn fail(
        &mut self,
        number: u64,
        answer: Answer,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(work) = self.remove(number) else {
            return;
        };
        let line = told("failed", &work, now).with("reason", reason);
        let line = line
            .with("retries", work.retries)
            .with("places", places(&work));
        actions.push(Action::Tell(line.failed()));
        self.halt_all(&work, actions);
        actions.push(Action::Answer(number, answer));
    }

    /// A task of the job has to be placed again.
    fn requeue(&mut self, number: u64) {
        if let Some(work) = self.works.get_mut(&number) {
            work.retries += 1;
        }
        self.enqueue(number);
    }

    fn enqueue(&mut self, number: u64) {
        if let Some(work) = self.works.get(&number) {
            self.queue.insert(work.place());
            self.is_stirred = true;
        }
    }

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

    fn placed_at(&self, agent: &Process) -> Vec<Attempt> {
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
                place_again(task, from, End::Lost, now);
            }
            let line = Decision::new(
                "placing again",
                work.job.request.clone(),
                work.job.id.clone(),
            )
            .with("reason", reason)
            .with("agent", from)
            .with("heard_ms_ago", now.saturating_sub(heard).as_millis());
            actions.push(Action::Tell(line.failed()));
            self.requeue(attempt.number);
        }
        if let Some(agent) = self.agents.get_mut(from) {
            agent.placed = agent.placed.saturating_sub(tasks.len());
        }
    }

    /// Gives jobs up that cannot be done in time any more, with their final answer at once.
    pub(super) fn give_up(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let hopeless: Vec<u64> = self
            .works
            .values()
            .filter(|work| work.is_hopeless(now))
            .map(|work| work.number)
            .collect();
        for number in hopeless {
            let may_have_run = self.works.get(&number).is_some_and(Work::may_have_run);
            if may_have_run {
                self.fail(number, Answer::GivenUp, "out of time", now, actions);
                continue;
            }
            self.refuse(number, "waited too long", now, actions);
        }
    }

    /// Sees to the jobs whose latest start has passed while they waited. There is more work
    /// than room: one that has not run is refused at once if others wait that can still be on
    /// time, and comes after them otherwise.
    pub(super) fn pass_over(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let queue = self.queue.iter().take_while(|(is_late, ..)| !is_late);
        let passed: Vec<Place> = queue
            .filter(|(_, _, _, _, latest, _)| *latest < now)
            .filter(|(.., number)| {
                let work = self.works.get(number);
                work.is_none_or(|work| !work.is_worth_ending(now))
            })
            .copied()
            .collect();
        let others = self.queue.len() - passed.len();
        for place in passed {
            self.queue.remove(&place);
            let (.., number) = place;
            let Some(work) = self.works.get_mut(&number) else {
                continue;
            };
            work.is_late = true;
            self.queue.insert(work.place());
            if others > 0 && !work.may_have_run() {
                self.refuse(number, "overload", now, actions);
            }
        }
    }

    /// Refuses a job of which nothing has run.
    fn refuse(
        &mut self,
        number: u64,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let queue = self.queue.len();
        if let Some(work) = self.remove(number) {
            let line = told("refused", &work, now).with("reason", reason);
            actions.push(Action::Tell(line.with("queue", queue).failed()));
            actions.push(Action::Answer(number, refused(AGAIN, true)));
        }
    }

    /// Moves tasks away from upstreams that keep them too long: the upstream has become slow,
    /// or what was started there stands still while its reports are good.
    pub(super) fn shift(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let median = self.median;
        let slow: Vec<Process> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.pace(median) > SLOW && agent.placed > 0)
            .map(|(process, _)| process.clone())
            .collect();
        for process in slow {
            let mut moved = Vec::new();
            for attempt in self.placed_at(&process) {
                if self.is_overdue(&attempt, now) {
                    moved.push(attempt);
                }
            }
            for attempt in &moved {
                self.move_away(&process, attempt, now, actions);
            }
            if !moved.is_empty() {
                actions.push(Action::Send(process, Message::Halt(moved)));
            }
        }
    }

    /// Whether a task has run far longer than expected, and there is time for another try.
    fn is_overdue(&self, attempt: &Attempt, now: Duration) -> bool {
        let Some(work) = self.works.get(&attempt.number) else {
            return false;
        };
        let (stage, index) = (attempt.stage as usize, attempt.index as usize);
        let task = &work.tasks[stage][index];
        let Phase::Placed(_, since) = &task.phase else {
            return false;
        };
        let expected = work.expected[stage];
        let bound = expected.mul_f64(OVERDUE).max(expected + OVERDUE_LEAST);
        task.moves < MOVES && now >= *since + bound && now + expected < work.limit
    }

    fn move_away(
        &mut self,
        from: &Process,
        attempt: &Attempt,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(work) = self.works.get_mut(&attempt.number) else {
            return;
        };
        let line = told("moved", work, now).with("agent", from);
        actions.push(Action::Tell(
            line.with("reason", "it runs too long there").failed(),
        ));
        if let Some(task) = work.present(from, attempt) {
            task.moves += 1;
            task.phase = Phase::Moving(from.clone(), now);
        }
    }
}

fn places(work: &Work) -> String {
    let places = work.placed();
    let places = places.iter().map(|(agent, _)| agent.to_string());
    places.collect::<Vec<_>>().join(",")
}

/// A task that ran and did not end well: another attempt, elsewhere if possible.
fn retry(task: &mut Task, from: &Process, now: Duration) {
    task.attempt += 1;
    avoid(task, from);
    task.phase = Phase::Waiting(now);
}

/// A task that did not run, or was broken off through no fault of its own.
///
/// Its next attempt has a number of its own also if the last one never started. An agent tells
/// its latest ends again over a new link; with the same number an old refusal would count for
/// the attempt that runs, which would be placed a second time beside it.
fn place_again(task: &mut Task, from: &Process, end: End, now: Duration) {
    let later = match end {
        End::Busy => BUSY,
        End::Stale => REFUSED,
        _ => Duration::ZERO,
    };
    if matches!(end, End::Refused | End::Stopped | End::Lost) {
        avoid(task, from);
    }
    task.attempt += if end == End::Passed { PASSED } else { 1 };
    task.phase = Phase::Waiting(now + later);
}

fn avoid(task: &mut Task, from: &Process) {
    if !task.avoid.contains(from) {
        task.avoid.push(from.clone());
    }
}
