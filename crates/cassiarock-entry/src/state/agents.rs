//! Which agents can be reached and what they say of themselves.

use super::work::Plan;
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
    /// A link with an agent works. Whatever was left open there is asked again.
    pub(crate) fn link_agent(&mut self, agent: &Process, now: Now) -> Vec<Action> {
        let membership = &self.rules.membership;
        let Some(member) = membership.members.get(&agent.name) else {
            return Vec::new();
        };
        let slots = u16::try_from(member.slots).unwrap_or(u16::MAX);
        let upstream = Upstream::new(agent.clone(), slots)
            .with_location(member.data_centre.clone(), member.rack.clone());
        let has = member.has.as_ref().map_or(Resources::UNLIMITED, need);
        let (pool, leaving) = (member.pool.clone(), member.leaving);
        self.agents.insert(agent.clone(), pool.clone());
        self.silent.remove(agent);
        let pool = self.pool(&pool);
        pool.add(upstream, has);
        if leaving {
            pool.start_leaving(agent);
        }
        self.step_all(&Event::AgentReachable(agent.clone()), now)
    }

    /// The link with an agent is gone. Tasks placed there stay where they are until the
    /// agent answers again, or is known to have ended.
    pub(crate) fn unlink_agent(&mut self, agent: &Process, now: Now) -> Vec<Action> {
        if let Some(pool) = self.pool_of(agent) {
            pool.disconnect(agent);
        }
        self.agents.remove(agent);
        self.note_silent(now);
        let mut actions = self.step_all(&Event::AgentUnreachable(agent.clone()), now);
        let repeats = self.works.iter();
        let repeats = repeats.filter(|(_, work)| matches!(work.plan, Plan::Repeat(_)));
        let repeats: Vec<Job> = repeats.map(|(job, _)| *job).collect();
        for job in repeats {
            actions.extend(self.lost_repeat(job, agent, now));
        }
        actions
    }

    /// How many agents are linked.
    pub(crate) fn agents(&self) -> usize {
        self.agents.len()
    }

    pub(super) fn agent_leaves(&mut self, agent: &Process) {
        if let Some(pool) = self.pool_of(agent) {
            pool.start_leaving(agent);
        }
    }

    /// An agent is to stay after all; what runs there goes on.
    pub(super) fn agent_stays(&mut self, agent: &Process) {
        if let Some(pool) = self.pool_of(agent) {
            pool.cancel_leaving(agent);
        }
    }

    pub(super) fn pong(&mut self, agent: &Process, pong: &Pong, now: Now) -> Vec<Action> {
        let members = &self.rules.membership.members;
        let ordered = members.get(&agent.name).is_some_and(|m| m.leaving);
        if pong.leaving || ordered {
            self.agent_leaves(agent);
        } else {
            self.agent_stays(agent);
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

    /// Another entry's heartbeat.
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

fn need(has: &rule::request::Resources) -> Resources {
    let cores = u64::from(has.cores);
    let accelerators = u64::from(has.accelerators);
    Resources::new(cores * 1000, u64::from(has.memory), accelerators)
}
