//! The start of an entry: what its agents report, and the jobs that were held for their room.

use super::expectation::{Expectation, UsualRoom};
use crate::Decision;
use crate::scheduler::{Action, Answer, Scheduler};
use cassiarock_id::{Name, Process};
use std::collections::BTreeMap;
use std::time::Duration;

impl Scheduler {
    /// Records the room that an agent reports while this process starts.
    pub(in crate::scheduler) fn record_room(
        &mut self,
        from: &Process,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if !Expectation::is_starting(now) {
            return;
        }
        let open = self.agents.get(from).filter(|agent| agent.is_open(now));
        let Some((agent, upstream)) =
            open.and_then(|agent| Some((agent, agent.upstream.as_ref()?)))
        else {
            return;
        };
        let (cpu, free_cpu) = (upstream.capacity.cpu, agent.load.free.cpu);
        self.expectation
            .record(from, &upstream.service, cpu, free_cpu, now);
        for room in self.expectation.pass_milestones(now) {
            let decision = Decision::new("room open", "", "")
                .with("room", room)
                .with("up_ms", now.as_millis())
                .with("upstreams", self.agents.len())
                .with("queue", self.queue.len());
            actions.push(Action::Log(decision));
        }
    }

    /// Observes the open agents from time to time.
    pub(in crate::scheduler) fn observe_room(&mut self, now: Duration) {
        if !self.expectation.is_observation_due(now) {
            return;
        }
        let mut open: BTreeMap<Name, UsualRoom> = BTreeMap::new();
        for agent in self.agents.values().filter(|agent| agent.is_open(now)) {
            let Some(upstream) = &agent.upstream else {
                continue;
            };
            let room = open.entry(upstream.service.clone()).or_default();
            room.upstreams += 1;
            room.cpu = room.cpu.saturating_add(upstream.capacity.cpu);
            room.entries = room.entries.max(agent.load.entries.into());
        }
        self.expectation.observe(&open, now);
    }

    /// Refuses the jobs that were held for room which has not shown, and that the jobs before them
    /// make late.
    pub(in crate::scheduler) fn refuse_held(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let held = self.expectation.take_held(now);
        if held.is_empty() || !self.mechanisms.expectation {
            return;
        }
        let queued = self.queue.iter().map(|rank| rank.number);
        let numbers: Vec<u64> = queued.filter(|number| held.contains(number)).collect();
        for number in numbers {
            let held = self.jobs.get(&number);
            let held = held.filter(|active| !active.was_placed && !active.may_have_run());
            let verdict = held.map(|active| self.admit(active, now));
            if let Some(Err((answer @ Answer::Refused { .. }, _))) = verdict {
                self.refuse(number, answer, "no room has shown", now, actions);
            }
        }
    }
}
