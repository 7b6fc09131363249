//! Links with agents: what they tell, and what they are sent.

use super::agent::Agent;
use super::{Action, Scheduler};
use crate::message::{CapacityRequest, Message, Order};
use crate::timing::HEARTBEAT_INTERVAL;
use crate::{Decision, evacuation};
use cassiarock_id::{Name, Process};
use std::collections::BTreeMap;
use std::time::Duration;

impl Scheduler {
    /// A link to an agent in this data centre opened.
    pub fn link(&mut self, agent: &Process, data_centre: &Name, now: Duration) {
        let known = self.agents.entry(agent.clone());
        let known = known.or_insert_with(|| Agent::new(data_centre.clone(), now));
        known.link(now);
        known.is_evacuated = self.evacuations.contains(data_centre);
    }

    /// Operators have begun to empty data centres, or have taken that back.
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
        self.is_stirred = true;
    }

    /// Which data centres are left alone when tasks are placed.
    #[must_use]
    pub const fn evacuations(&self) -> &evacuation::State {
        &self.evacuations
    }

    /// The last link to an agent is gone.
    pub fn unlink(&mut self, agent: &Process) {
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.is_linked = false;
        }
    }

    /// A message of an agent.
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
        agent.heard = now;
        self.is_stirred = true;
        match message {
            Message::AgentHeartbeat { clock, load } => {
                agent.clock = agent.clock.max(clock);
                agent.update(load);
            }
            Message::Upstream(upstream) => {
                let told = Decision::new("upstream", "", "").with("agent", from);
                let told = match &upstream {
                    Some(upstream) => told
                        .with("upstream", upstream.incarnation())
                        .with("leaving", upstream.is_leaving),
                    None => told.with("upstream", "none"),
                };
                actions.push(Action::Log(told));
                if let Some(upstream) = &upstream {
                    self.kinds.add(upstream);
                }
                agent.upstream = upstream;
            }
            Message::Ended {
                clock,
                results,
                load,
            } => {
                agent.clock = agent.clock.max(clock);
                agent.update(load);
                for ending in results {
                    self.settle(from, &ending, now, &mut actions);
                }
            }
            Message::Held(held) => self.reconcile(from, &held, now, &mut actions),
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
        actions
    }

    /// Sends each agent its own clock, unless orders have carried it lately.
    pub(super) fn heartbeat(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let next = self.next(now);
        let agents = self.agents.iter();
        let due =
            agents.filter(|(_, agent)| agent.is_linked && now >= agent.echoed + HEARTBEAT_INTERVAL);
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

    /// Sends an agent its own clock, and what this entry asks it for.
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
        agent.echoed = now;
        let message = Message::EntryHeartbeat {
            echo: agent.clock,
            version: self.version,
            ask,
        };
        actions.push(Action::Send(process.clone(), message));
    }

    pub(super) fn send_orders(
        &mut self,
        orders: BTreeMap<Process, Vec<Order>>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let next = self.next(now);
        let ask_of = |process| next?.ask_of(self.agents.get(process)?, now);
        let asks: Vec<Option<CapacityRequest>> = orders.keys().map(ask_of).collect();
        for ((process, orders), ask) in orders.into_iter().zip(asks) {
            let Some(agent) = self.agents.get_mut(&process) else {
                continue;
            };
            let message = Message::Orders {
                serial: agent.send(now),
                echo: agent.clock,
                orders,
                ask,
            };
            actions.push(Action::Send(process, message));
        }
    }
}
