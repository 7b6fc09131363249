//! Links with agents: handling of their messages, heartbeats and orders.

use super::agent::Agent;
use super::{Action, Scheduler};
use crate::message::{CapacityRequest, Message, Order, Outcome};
use crate::timing::HEARTBEAT_INTERVAL;
use crate::{Decision, evacuation};
use cassiarock_id::{Name, Process};
use std::collections::BTreeMap;
use std::time::Duration;

impl Scheduler {
    /// Handles a new link to an agent in this data centre.
    pub fn link(&mut self, agent: &Process, data_centre: &Name, now: Duration) {
        let agent = self.agents.entry(agent.clone());
        let agent = agent.or_insert_with(|| Agent::new(data_centre.clone(), now));
        agent.link(now);
        agent.is_evacuated = self.evacuations.contains(data_centre);
    }

    /// Sets the data centres that operators are evacuating.
    ///
    /// ```
    /// use cassiarock_transient::{Scheduler, evacuation};
    /// let mut scheduler = Scheduler::new();
    /// scheduler.set_evacuations(evacuation::State::new(7, ["dc-1".into()]));
    /// assert!(scheduler.evacuations().contains("dc-1"));
    /// ```
    pub fn set_evacuations(&mut self, evacuations: evacuation::State) {
        for agent in self.agents.values_mut() {
            agent.is_evacuated = evacuations.contains(&agent.data_centre);
        }
        self.evacuations = evacuations;
        self.may_place = true;
    }

    /// The data centres that operators are evacuating. No tasks are placed there.
    #[must_use]
    pub const fn evacuations(&self) -> &evacuation::State {
        &self.evacuations
    }

    /// Handles the loss of the last link to an agent.
    pub fn unlink(&mut self, agent: &Process) {
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.is_linked = false;
        }
    }

    /// Handles a message of an agent.
    pub fn handle_message(
        &mut self,
        from: &Process,
        message: Message,
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(agent) = self.agents.get_mut(from) else {
            return actions;
        };
        agent.last_heard = now;
        self.may_place = true;
        let news = UpstreamNews::of(&message);
        match message {
            Message::AgentHeartbeat { clock, load } => {
                agent.clock = agent.clock.max(clock);
                agent.update(load);
            }
            Message::Upstream(upstream) => {
                let decision = Decision::new("upstream", "", "").with("agent", from);
                let decision = match &upstream {
                    Some(upstream) => decision
                        .with("upstream", upstream.incarnation())
                        .with("leaving", upstream.is_leaving)
                        .with_millis("ends_in_ms", upstream.remaining)
                        .with_millis("cold_for_ms", upstream.cold_remaining),
                    None => decision.with("upstream", "none"),
                };
                actions.push(Action::Log(decision));
                if let Some(upstream) = &upstream {
                    self.upstream_kinds.add(upstream);
                }
                agent.set_upstream(upstream, now);
                self.update_kinds();
            }
            Message::Ended {
                clock,
                results,
                load,
            } => {
                agent.clock = agent.clock.max(clock);
                agent.update(load);
                for ending in results {
                    self.handle_ending(from, &ending, now, &mut actions);
                }
            }
            Message::Held(held) => {
                agent.record_told_tasks();
                self.reconcile(from, &held, now, &mut actions);
            }
            Message::Orders { .. }
            | Message::Halt(_)
            | Message::EntryHeartbeat { .. }
            | Message::AskConfiguration
            | Message::Configuration { .. }
            | Message::Entries(_)
            | Message::Directory(_)
            | Message::AskDirectory
            | Message::Evacuations(_) => {}
        }
        self.record_room(from, now, &mut actions);
        if news != UpstreamNews::Lost {
            let has_results = news == UpstreamNews::Answers;
            self.settle_crashes(from, has_results, now, &mut actions);
        }
        actions
    }

    /// Echoes each agent's clock to it, unless that was done within `HEARTBEAT_INTERVAL`.
    pub(super) fn heartbeat(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let next = self.next_job(now);
        let agents = self.agents.iter();
        let due = agents
            .filter(|(_, agent)| agent.is_linked && now >= agent.last_echo + HEARTBEAT_INTERVAL);
        let due: Vec<(Process, Option<CapacityRequest>)> = due
            .map(|(process, agent)| {
                let ask = next.and_then(|next| next.ask_of(agent, now));
                (process.clone(), ask)
            })
            .collect();
        for (process, ask) in due {
            self.echo(&process, ask, now, actions);
        }
    }

    /// Sends a heartbeat, which echoes the agent's clock and may ask for room.
    pub(super) fn echo(
        &mut self,
        process: &Process,
        ask: Option<CapacityRequest>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.get_mut(process) else {
            return;
        };
        agent.last_echo = now;
        let message = Message::EntryHeartbeat {
            echo: agent.clock,
            version: self.version,
            ask,
            freshness: None,
        };
        actions.push(Action::Send(process.clone(), message));
    }

    /// Sends orders, which also echo the agent's clock and may ask for room.
    pub(super) fn send_orders(
        &mut self,
        orders: BTreeMap<Process, Vec<Order>>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let next = self.next_job(now);
        let ask_of = |process| next?.ask_of(self.agents.get(process)?, now);
        let asks: Vec<Option<CapacityRequest>> = orders.keys().map(ask_of).collect();
        for ((process, orders), ask) in orders.into_iter().zip(asks) {
            let Some(agent) = self.agents.get_mut(&process) else {
                continue;
            };
            let message = Message::Orders {
                serial: agent.next_serial(now),
                echo: agent.clock,
                orders,
                ask,
            };
            actions.push(Action::Send(process, message));
        }
    }
}

/// What a message of an agent tells of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpstreamNews {
    /// Tasks were lost with it. Room that the message names may be older than that.
    Lost,
    /// Tasks of it have ended.
    Answers,
    /// Nothing by itself.
    None,
}

impl UpstreamNews {
    fn of(message: &Message) -> Self {
        let Message::Ended { results, .. } = message else {
            return Self::None;
        };
        let has = |is_it: fn(&Outcome) -> bool| results.iter().any(|end| is_it(&end.outcome));
        if has(|outcome| *outcome == Outcome::Crashed) {
            Self::Lost
        } else if has(|outcome| matches!(outcome, Outcome::Done | Outcome::Failed)) {
            Self::Answers
        } else {
            Self::None
        }
    }
}
