//! Parked.
use super::orders::unstarted_result;
use super::run::{Run, Task};
use super::shares::knob;
use super::{Action, Host};
use crate::Resources;
use crate::message::{Order, Outcome, Start};
use cassiarock_id::{Name, Process};
use std::time::Duration;

#[derive(Clone, Debug)]
pub(super) struct Parked {
    pub(super) entry: Process,
    pub(super) task: Task,
    request: Name,
    spec: Name,
    start: Start,
    pub(super) until: Duration,
}

impl Host {
    pub(super) fn parked_demand(&self) -> Resources {
        self.parked.iter().fold(Resources::default(), |sum, parked| sum.saturating_add(&parked.start.demand))
    }

    pub(super) fn park(&mut self, entry: &Process, order: &Order, start: &Start, now: Duration) -> bool {
        let ms = knob("PARK_MS", 0.0);
        if ms == 0.0 || self.parked.len() >= knob("PARK_MAX", 4.0) as usize {
            return false;
        }
        let until = now + Duration::from_secs_f64(ms / 1000.0);
        // Ends that are due.
        let mut due = self.unheld(entry, now).saturating_sub(&self.parked_demand());
        let runs: Vec<_> = self.runs.iter().map(|(_, run)| (run.since + run.expected, run.demand)).collect();
        if knob("PARK_DUE", 1.0) > 0.0 {
            for (end, demand) in runs {
                if end <= until {
                    due = due.saturating_add(&demand);
                }
            }
            if !start.demand.fits_in(&due) {
                return false;
            }
        }
        self.parked.push(Parked {
            entry: entry.clone(),
            task: Task { job: order.job.clone(), attempt: start.of(order.number) },
            request: order.request.clone(),
            spec: order.spec.clone(),
            start: start.clone(),
            until,
        });
        true
    }

    pub(super) fn unpark(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.parked.is_empty() {
            return;
        }
        for parked in std::mem::take(&mut self.parked) {
            let fits = parked.start.demand.fits_in(&self.unheld(&parked.entry, now).saturating_sub(&self.parked_demand()));
            if !fits {
                if now >= parked.until {
                    let result = unstarted_result(parked.task.attempt, Outcome::Full);
                    self.report_results(&parked.entry, vec![result], now, actions);
                } else {
                    self.parked.push(parked);
                }
                continue;
            }
            if let Some(outcome) = self.rejection(&parked.entry, &parked.task, &parked.start, Duration::ZERO, now, actions) {
                let result = unstarted_result(parked.task.attempt, outcome);
                self.report_results(&parked.entry, vec![result], now, actions);
                continue;
            }
            let run = Run::new(parked.entry.clone(), parked.request, &parked.start, now);
            self.runs.add(parked.task.clone(), run);
            actions.push(Action::Start { task: parked.task, spec: parked.spec, until: self.lease.renew(now) });
        }
    }
}
