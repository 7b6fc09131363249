//! The links with agents, and their heartbeats.

use super::pending::Plan;
use super::{Action, State};
use cassiarock_claim::owner::Event;
use cassiarock_id::{Job, Process};
use cassiarock_policy::load::LoadReport;
use cassiarock_policy::place::Upstream;
use cassiarock_policy::size::Resources;
use cassiarock_process::Now;
use cassiarock_rule as rule;
use cassiarock_wire::{Frame, Ping, Pong};
use std::time::Duration;

impl State {
    /// A link with an agent opened. Requests that it has not answered are sent again.
    pub(crate) fn link_agent(&mut self, agent: &Process, now: Now) -> Vec<Action> {
        let membership = &self.rules.membership;
        let Some(member) = membership.members.get(&agent.name) else {
            return Vec::new();
        };
        let slots = u16::try_from(member.slots).unwrap_or(u16::MAX);
        let upstream = Upstream::new(agent.clone(), slots)
            .with_location(member.data_centre.clone(), member.rack.clone());
        let has = member.has.as_ref().map_or(Resources::UNLIMITED, resources);
        let (pool, leaving) = (member.pool.clone(), member.leaving);
        self.agents.insert(agent.clone(), pool.clone());
        self.unreachable.remove(agent);
        let pool = self.pool(&pool);
        pool.add(upstream, has);
        if leaving {
            pool.start_leaving(agent);
        }
        self.step_owners(&Event::AgentReachable(agent.clone()), now)
    }

    /// The link with an agent closed. Tasks placed there keep their placement until the agent
    /// answers again or is known to have ended.
    pub(crate) fn unlink_agent(&mut self, agent: &Process, now: Now) -> Vec<Action> {
        if let Some(pool) = self.pool_of(agent) {
            pool.disconnect(agent);
        }
        self.agents.remove(agent);
        self.update_unreachable(now);
        let mut actions = self.step_owners(&Event::AgentUnreachable(agent.clone()), now);
        let repeats = self.pending_jobs.iter();
        let repeats = repeats.filter(|(_, pending)| matches!(pending.plan, Plan::Repeatable(_)));
        let repeats: Vec<Job> = repeats.map(|(job, _)| *job).collect();
        for job in repeats {
            actions.extend(self.handle_repeatable_loss(job, agent, now));
        }
        actions
    }

    /// The number of linked agents.
    pub(crate) fn agents(&self) -> usize {
        self.agents.len()
    }

    pub(super) fn set_agent_leaving(&mut self, agent: &Process) {
        if let Some(pool) = self.pool_of(agent) {
            pool.start_leaving(agent);
        }
    }

    /// An agent no longer leaves; the tasks that run there go on.
    pub(super) fn clear_agent_leaving(&mut self, agent: &Process) {
        if let Some(pool) = self.pool_of(agent) {
            pool.cancel_leaving(agent);
        }
    }

    pub(super) fn handle_pong(&mut self, agent: &Process, pong: &Pong, now: Now) -> Vec<Action> {
        let members = &self.rules.membership.members;
        let ordered = members.get(&agent.name).is_some_and(|m| m.leaving);
        if pong.leaving || ordered {
            self.set_agent_leaving(agent);
        } else {
            self.clear_agent_leaving(agent);
        }
        if let Some(pool) = self.pool_of(agent) {
            pool.grant(agent, pong.load, now.up);
        }
        let adopted = Duration::from_millis(pong.adopted_ms);
        self.views
            .confirm(agent, pong.view, adopted, pong.sent, now.wall);
        if self.behind.asks(self.rules.next, pong.next_offset, now.up) {
            return vec![Action::Send(agent.clone(), Frame::AskState)];
        }
        Vec::new()
    }

    /// Answers the heartbeat of another entry.
    pub(super) fn entry_pong(&self, entry: &Process, ping: &Ping) -> Action {
        let pong = Pong {
            sent: ping.sent,
            view: self.membership(),
            next_offset: self.rules.next,
            adopted_ms: 0,
            load: LoadReport::default(),
            leaving: self.leaving,
        };
        Action::Send(entry.clone(), Frame::Pong(pong))
    }
}

fn resources(has: &rule::request::Resources) -> Resources {
    let cores = u64::from(has.cores);
    let accelerators = u64::from(has.accelerators);
    Resources::new(cores * 1000, u64::from(has.memory), accelerators)
}
