//! Handles the calls of callers.

use super::Entry;
use crate::learned::{Learned, RoutePatience, RouteRunTimes, ServiceRoom};
use cassiarock_adapter::callers::Call;
use cassiarock_transient::scheduler::{Action, Answer};
use std::time::Duration;
use tokio::sync::oneshot;

impl Entry {
    pub(super) fn handle_call(&mut self, call: Call, now: Duration) -> Vec<Action> {
        match call {
            Call::Submit {
                number,
                job,
                class,
                patience,
                reply,
            } => {
                self.callers.insert(number, reply);
                self.scheduler.submit(number, job, class, patience, now)
            }
            Call::Disconnected(number) => {
                self.callers.remove(&number);
                self.scheduler.abandon(number, "its caller left", now)
            }
            Call::Find(job, reply) => {
                let number = self.scheduler.find_job(&job);
                let state = number.map(|number| self.scheduler.is_started(number));
                // Fails only if the caller has disconnected.
                let _ = reply.send(state);
                Vec::new()
            }
            Call::Cancel(job, reply) => self.cancel(&job, reply, now),
            Call::Pending(route, reply) => {
                // Fails only if the caller has disconnected.
                let _ = reply.send(self.scheduler.unstarted_job_count(&route));
                Vec::new()
            }
        }
    }

    /// Cancels a job and answers whether this entry had it.
    pub(super) fn cancel(
        &mut self,
        job: &str,
        reply: oneshot::Sender<bool>,
        now: Duration,
    ) -> Vec<Action> {
        let number = self.scheduler.find_job(job);
        // Fails only if the caller has disconnected.
        let _ = reply.send(number.is_some());
        let Some(number) = number else {
            return Vec::new();
        };
        let mut actions = self
            .scheduler
            .abandon(number, "its caller cancelled it", now);
        actions.push(Action::Answer(number, Answer::Cancelled));
        actions
    }

    /// Passes what is on record to the scheduler, which uses it until it has seen enough itself.
    /// Returns what is to be on record.
    pub(super) fn merge_learned(&mut self, known: &Learned, now: Duration) -> Learned {
        Learned {
            patience: self.merge_patience(&known.patience),
            room: self.merge_room(&known.room, now),
            run_times: self.merge_run_times(&known.run_times),
        }
    }

    fn merge_patience(&mut self, known: &RoutePatience) -> RoutePatience {
        for (route, millis) in known {
            let least = Duration::from_millis(*millis);
            self.scheduler.adopt_patience(route, least);
        }
        let millis = |least: Duration| u64::try_from(least.as_millis()).unwrap_or(u64::MAX);
        let mut learned = known.clone();
        for (route, least, is_sure) in self.scheduler.usual_patience() {
            if is_sure || !known.contains_key(route) {
                learned.insert(route.clone(), millis(least));
            }
        }
        learned
    }

    fn merge_run_times(&mut self, known: &RouteRunTimes) -> RouteRunTimes {
        for (route, kinds) in known {
            for (kind, run_time) in kinds {
                self.scheduler.adopt_run_times(route, kind, *run_time);
            }
        }
        let mut learned = known.clone();
        for (route, kind, run_time) in self.scheduler.usual_run_times() {
            let kinds = learned.entry(route.clone()).or_default();
            kinds.insert(kind.clone(), run_time);
        }
        learned
    }

    fn merge_room(&mut self, known: &ServiceRoom, now: Duration) -> ServiceRoom {
        for (service, room) in known {
            self.scheduler.adopt_room(service, *room);
        }
        let seen = self.scheduler.usual_room(now);
        let seen = seen.map(|(service, room)| (service.clone(), room));
        known.clone().into_iter().chain(seen).collect()
    }
}
