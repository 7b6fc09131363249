//! Starts and stops tasks.

use super::entry_state::EntryState;
use super::run::{Phase, Run, StartResponse, Task};
use super::{Action, Host};
use crate::message::{Attempt, AttemptResult, Order, Outcome, Start};
use crate::timing::CONTACT_TIMEOUT;
use crate::{Decision, Incarnation};
use cassiarock_id::Process;
use std::time::Duration;

/// Delay before an unconfirmed stop is ordered again: the upstream takes up to 50 ms to stop a
/// task.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Host {
    /// Handles orders of an entry. `echo` is this agent's clock as the entry last received it.
    ///
    /// Orders with an old echo are rejected. If this process was frozen while an order waited in a
    /// socket, the entry may have started the tasks elsewhere; the echo shows the age of the order,
    /// whatever delayed it.
    pub fn handle_orders(
        &mut self,
        entry: &Process,
        serial: u64,
        echo: Duration,
        orders: Vec<Order>,
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let state = self.entries.entry(entry.clone()).or_default();
        state.record_echo(echo);
        state.serial = serial;
        let age = now.saturating_sub(echo);
        let until = self.lease_for_starts(now);
        let mut results = Vec::new();
        for order in orders {
            let rejected = self.start_tasks(entry, &order, (age, until), now, &mut actions);
            actions.push(Action::Log(self.order_decision(&order, &rejected, age)));
            results.extend(rejected);
        }
        if !results.is_empty() {
            self.report_results(entry, results, now, &mut actions);
        }
        actions
    }

    /// Starts the tasks of an order of this age, with a lease until the given time on the upstream's
    /// clock. Returns the results of those that are rejected.
    fn start_tasks(
        &mut self,
        entry: &Process,
        order: &Order,
        (age, until): (Duration, Option<u64>),
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> Vec<AttemptResult> {
        let mut rejected = Vec::new();
        for start in &order.tasks {
            let task = Task {
                job: order.job.clone(),
                attempt: start.of(order.number),
            };
            let until = match (
                self.rejection(entry, &task, start, age, now, actions),
                until,
            ) {
                (None, Some(until)) => until,
                (outcome, _) => {
                    let outcome = outcome.unwrap_or(Outcome::Closed);
                    rejected.push(unstarted_result(task.attempt, outcome));
                    continue;
                }
            };
            self.lease.record_request(until);
            let run = Run::new(entry.clone(), order.request.clone(), start, until, now);
            self.runs.add(task.clone(), run);
            actions.push(Action::Start {
                task,
                spec: order.spec.clone(),
                until,
            });
        }
        rejected
    }

    fn order_decision(&self, order: &Order, rejected: &[AttemptResult], age: Duration) -> Decision {
        let decision = Decision::new("order", order.request.clone(), order.job.clone())
            .with("tasks", order.tasks.len())
            .with("turned_away", rejected.len())
            .with("echo_age_ms", age.as_millis())
            .with("free_cpu", self.free().cpu)
            .with("running", self.runs.len());
        match rejected.first() {
            Some(result) => decision.with("reason", format_args!("{:?}", result.outcome)),
            None => decision,
        }
    }

    /// The reason why `task` cannot be started now, if there is one.
    fn rejection(
        &mut self,
        entry: &Process,
        task: &Task,
        start: &Start,
        age: Duration,
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> Option<Outcome> {
        if age >= CONTACT_TIMEOUT {
            return Some(Outcome::Stale);
        }
        let Some(worker) = &self.worker else {
            return Some(Outcome::Closed);
        };
        let is_shut = self.is_closed() || worker.is_leaving || !worker.is_present();
        if is_shut || !self.is_reconciled || self.lease.is_silent(now) {
            return Some(Outcome::Closed);
        }
        // The caller has submitted the job again while a task of the earlier submission is here.
        // That one has to end first, or the task would run twice at once.
        if let Some(earlier) = self.runs.find_same_task(task) {
            self.stop(&earlier, "its job was submitted again", now, actions);
            return Some(Outcome::Busy);
        }
        let suspect = start.suspect.as_ref();
        if suspect.is_some_and(|suspect| self.runs.has_suspect(suspect)) {
            return Some(Outcome::Refused);
        }
        (!start.demand.fits_in(&self.free_for(entry, now))).then_some(Outcome::Full)
    }

    /// Stops attempts that an entry no longer needs.
    pub fn handle_halt(
        &mut self,
        entry: &Process,
        attempts: &[Attempt],
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for attempt in attempts {
            if let Some(task) = self.runs.find(entry, attempt) {
                self.give_up(&task);
                self.stop(&task, "nobody waits", now, &mut actions);
            }
        }
        actions
    }

    /// Handles the response of an incarnation of the upstream to a start.
    pub fn handle_start_response(
        &mut self,
        incarnation: &Incarnation,
        task: &Task,
        answer: StartResponse,
        clock: Option<u64>,
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_current(incarnation) {
            return actions;
        }
        self.lease.record_clock(clock, now);
        let Some(run) = self.runs.get_mut(task) else {
            return actions;
        };
        let outcome = match answer {
            StartResponse::Started => {
                if matches!(run.phase, Phase::Starting) {
                    run.phase = Phase::Running;
                }
                return actions;
            }
            // The order may still be carried out until its time limit; the stop prevents that.
            StartResponse::NoResponse => {
                run.was_unanswered = true;
                self.stop(task, "the start was not answered", now, &mut actions);
                return actions;
            }
            StartResponse::Full => Outcome::Full,
            StartResponse::Superseded => Outcome::Passed,
            StartResponse::Refused => Outcome::Refused,
        };
        self.finish(task, outcome, now, &mut actions);
        actions
    }

    pub(super) fn stop(
        &mut self,
        task: &Task,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if matches!(run.phase, Phase::Stopping(_)) {
            return;
        }
        run.phase = Phase::Stopping(now);
        let decision = Decision::new("stop", run.request.clone(), task.job.clone())
            .with("task", task)
            .with("reason", reason)
            .with("ran_ms", now.saturating_sub(run.since).as_millis());
        actions.push(Action::Log(decision));
        actions.push(Action::Stop(task.clone()));
    }

    /// Handles the confirmation of a stop by an incarnation of the upstream: the attempt has ended
    /// or can never start. If it was never listed as running, an immediate poll tells which, so
    /// that its entry need not wait.
    pub fn handle_stop_response(
        &mut self,
        incarnation: &Incarnation,
        task: &Task,
        clock: Option<u64>,
        now: Duration,
    ) -> Vec<Action> {
        if !self.is_current(incarnation) {
            return Vec::new();
        }
        self.lease.record_clock(clock, now);
        let Some(run) = self.runs.get_mut(task) else {
            return Vec::new();
        };
        run.stop_confirmed_at = run.stop_confirmed_at.or(Some(now));
        if run.is_listed {
            return Vec::new();
        }
        vec![Action::Poll]
    }

    /// Stops the tasks of entries that this agent no longer hears, or that no longer hear this
    /// agent: they will start the tasks elsewhere.
    pub(super) fn stop_abandoned(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let lost = |state: &EntryState| now.saturating_sub(state.echo) >= CONTACT_TIMEOUT;
        let abandoned: Vec<Task> = self
            .runs
            .iter()
            .filter(|(_, run)| !matches!(run.phase, Phase::Stopping(_)))
            .filter(|(_, run)| self.entries.get(&run.entry).is_none_or(lost))
            .map(|(task, _)| task.clone())
            .collect();
        for task in abandoned {
            self.stop(&task, "its entry is out of reach", now, actions);
        }
    }

    pub(super) fn retry_unconfirmed_stops(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for (task, run) in self.runs.iter_mut() {
            if let Phase::Stopping(at) = run.phase
                && run.stop_confirmed_at.is_none()
                && now >= at + STOP_RETRY_DELAY
            {
                run.phase = Phase::Stopping(now);
                actions.push(Action::Stop(task.clone()));
            }
        }
    }
}

const fn unstarted_result(attempt: Attempt, outcome: Outcome) -> AttemptResult {
    AttemptResult {
        attempt,
        outcome,
        ran: Duration::ZERO,
    }
}
