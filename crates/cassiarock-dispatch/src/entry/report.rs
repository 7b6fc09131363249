//! Performs the actions of an entry's scheduler and publishes the entry's status.

use super::Entry;
use crate::decision_log::log_decision;
use crate::links::send;
use cassiarock_process::Evacuation;
use cassiarock_transient::Decision;
use cassiarock_transient::scheduler::{Action, Answer, Latency};
use std::time::Duration;

impl Entry {
    /// Performs the actions that the scheduler asks for.
    pub(super) fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => send(&self.links, &to, message),
                Action::Answer(number, answer) => {
                    metrics::counter!("cassiarock_answers_total", "answer" => label(answer))
                        .increment(1);
                    if let Some(caller) = self.callers.remove(&number) {
                        // Fails only if the caller has just disconnected.
                        let _ = caller.send(answer);
                    }
                }
                Action::Log(decision) => {
                    count_refusal(&decision);
                    log_decision(&decision);
                }
                Action::Measure(latency, route, took) => {
                    let name = match latency {
                        Latency::Queue => "cassiarock_queue_seconds",
                        Latency::Answer => "cassiarock_answer_seconds",
                    };
                    let route = route.to_string();
                    metrics::histogram!(name, "route" => route).record(took);
                }
            }
        }
    }

    /// Updates the status and the gauges.
    pub(super) fn publish_status(&self, now: Duration) {
        let open = self.scheduler.open_agent_count(now);
        let ready = self.configuration.is_some() && open > 0;
        let evacuated = self.evacuated_since.iter();
        let evacuations: Vec<Evacuation> = evacuated
            .map(|(data_centre, since)| Evacuation {
                data_centre: data_centre.clone(),
                since: *since,
                tasks: self.scheduler.placed_in(data_centre),
            })
            .collect();
        let (jobs, links, version) = (self.scheduler.job_count(), self.links.len(), self.version());
        metrics::gauge!("cassiarock_jobs").set(jobs as f64);
        metrics::gauge!("cassiarock_agents_open").set(open as f64);
        let milestones = ["first", "half", "all"].into_iter();
        for (room, at) in milestones.zip(self.scheduler.room_milestones()) {
            if let Some(at) = at {
                metrics::gauge!("cassiarock_room_open_seconds", "room" => room)
                    .set(at.as_secs_f64());
            }
        }
        if let Some(age) = self.freshness.age() {
            metrics::gauge!("cassiarock_orders_unproved_seconds").set(age);
        }
        self.status.send_if_modified(|status| {
            let before = status.clone();
            status.ready = ready && !status.leaving;
            status.jobs = jobs;
            status.links = links;
            status.version = version;
            status.evacuations = evacuations;
            *status != before
        });
    }
}

/// Counts a refusal by its cause, and by whether there was room for the job.
fn count_refusal(decision: &Decision) {
    let value = |wanted: &str| {
        let mut fields = decision.fields.iter();
        let found = fields.find(|(name, _)| *name == wanted);
        found.map(|(_, value)| value.clone())
    };
    if let Some(cause) = value("cause") {
        let has_room = value("has_room").unwrap_or_default();
        let labels = [("cause", cause), ("has_room", has_room)];
        metrics::counter!("cassiarock_refusals_total", &labels).increment(1);
    }
}

const fn label(answer: Answer) -> &'static str {
    match answer {
        Answer::Completed => "completed",
        Answer::Failed => "failed",
        Answer::Cancelled => "cancelled",
        Answer::GivenUp => "given_up",
        Answer::Refused { .. } => "refused",
    }
}
