//! Placement of waiting tasks on agents.

use super::choose::is_eligible;
use crate::Decision;
use crate::message::{Order, Start};
use crate::scheduler::active_job::{ActiveJob, Phase, core_millis};
use crate::scheduler::fault::crash::suspect_agents;
use crate::scheduler::{Action, Latency, Scheduler, job_decision};
use cassiarock_id::Process;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most jobs in one round that may stay without room before placement stops. A small task
/// further back in the queue may fit where a large one does not.
const MAX_BLOCKED_JOBS: usize = 16;

impl Scheduler {
    /// Places waiting tasks in the order of the queue, and asks for room for those that remain.
    pub(in crate::scheduler) fn place(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            self.ask_for_room(&BTreeSet::new(), now, actions);
            return;
        }
        self.suspect_agents = if self.crashes.is_empty(now) {
            BTreeSet::new()
        } else {
            suspect_agents(self.jobs.values())
        };
        let mut orders: BTreeMap<Process, Vec<Order>> = BTreeMap::new();
        let numbers: Vec<u64> = self.queue.iter().map(|rank| rank.number).collect();
        let mut blocked = 0;
        // Whether tasks of a started job found no room. Other jobs then start whole or not at all.
        // Otherwise each of them would get single tasks placed, and the last ones too late.
        let mut is_any_partial = false;
        for number in numbers {
            let Some(mut active) = self.jobs.remove(&number) else {
                continue;
            };
            let mut is_whole = false;
            if active.was_placed || self.may_start(&active, is_any_partial, now) {
                self.queue.remove(&active.rank());
                is_whole = self.place_job(&mut active, now, &mut orders, actions);
                if active.has_waiting() {
                    self.queue.insert(active.rank());
                }
                is_any_partial |= !is_whole && active.was_placed;
            }
            self.jobs.insert(number, active);
            if !is_whole {
                blocked += 1;
                if blocked > MAX_BLOCKED_JOBS {
                    break;
                }
            }
        }
        let ordered: BTreeSet<Process> = orders.keys().cloned().collect();
        self.send_orders(orders, now, actions);
        self.ask_for_room(&ordered, now, actions);
    }

    /// Whether a job may start of which nothing is placed. `is_any_partial` tells whether tasks of
    /// a started job found no room.
    fn may_start(&self, active: &ActiveJob, is_any_partial: bool, now: Duration) -> bool {
        let has_to_fit = is_any_partial && self.mechanisms.whole_starts;
        self.is_reserve_free(active, now) && (!has_to_fit || self.fits_whole(active, now))
    }

    /// Whether the room reserved for more urgent jobs is free. It is counted in whole tasks of this
    /// job, so that a system with room for a few tasks keeps none of it empty.
    fn is_reserve_free(&self, active: &ActiveJob, now: Duration) -> bool {
        let reserved = self.reserve.share_for(active.urgency(), now);
        if reserved == 0.0 || !self.mechanisms.reserve {
            return true;
        }
        let agents = self.agents.values();
        let open = agents.filter(|agent| agent.is_open(now) && agent.serves(&active.class.service));
        let (free, capacity) = open.fold((0_u64, 0_u64), |(free, capacity), agent| {
            (
                free.saturating_add(agent.free().cpu),
                capacity.saturating_add(agent.capacity().cpu),
            )
        });
        let reserved = (reserved * capacity as f64) as u64;
        let mut demands = active
            .job
            .stages
            .iter()
            .map(|stage| stage.demand.cpu.max(1));
        demands.all(|demand| free / demand >= reserved / demand)
    }

    /// Whether there is room for all tasks of the stages that can start now.
    fn fits_whole(&self, active: &ActiveJob, now: Duration) -> bool {
        let stages = active.job.stages.iter().enumerate();
        let mut ready = stages.filter(|(stage, _)| active.is_stage_ready(*stage));
        ready.all(|(index, stage)| {
            let tasks = active.tasks[index].iter();
            let waiting = tasks.filter(|task| matches!(task.phase, Phase::Waiting(_)));
            let agents = self.agents.values();
            let eligible = agents.filter(|agent| is_eligible(active, stage, agent, now));
            let max = u64::from(stage.max_per_upstream.unwrap_or(u32::MAX));
            let room: u64 = eligible
                .map(|agent| if crate::host::shares::trial_knob("BEYOND", 0.5) > 9.0 { agent.room_for(&stage.demand) } else { agent.free().count_of(&stage.demand) }.min(max))
                .sum();
            waiting.count() as u64 <= room
        })
    }

    /// Places the tasks of a job that are ready, and returns whether all of them found room.
    fn place_job(
        &mut self,
        active: &mut ActiveJob,
        now: Duration,
        orders: &mut BTreeMap<Process, Vec<Order>>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let ready = active.ready_tasks(now);
        let ready_count = ready.len();
        let mut starts: BTreeMap<Process, Vec<Start>> = BTreeMap::new();
        // Tasks of one stage have the same demand: if one finds no room, the others find none.
        let mut blocked_stage = None;
        for (stage, index) in ready {
            if blocked_stage == Some(stage) {
                continue;
            }
            let Some(process) = self.choose_agent(active, stage, index, &starts, now) else {
                blocked_stage = Some(stage);
                continue;
            };
            if !active.tasks[stage][index].crashes.is_empty() {
                self.suspect_agents.insert(process.clone());
            }
            let demand = active.job.stages[stage].demand;
            if let Some(agent) = self.agents.get_mut(&process) {
                agent.add_order(demand);
            }
            let expected = active.expected[stage];
            self.placement_rate
                .add(core_millis(demand.cpu, expected), now);
            let task = &mut active.tasks[stage][index];
            task.phase = Phase::Placed(process.clone(), now);
            starts.entry(process).or_default().push(Start {
                stage: u32::try_from(stage).unwrap_or(u32::MAX),
                index: u32::try_from(index).unwrap_or(u32::MAX),
                attempt: task.attempt,
                demand,
                expected,
                suspect: task.suspected_loss(),
            });
        }
        let placed: usize = starts.values().map(Vec::len).sum();
        if placed > 0 {
            if !active.was_placed {
                active.was_placed = true;
                let took = now.saturating_sub(active.arrived);
                let route = active.class.route.clone();
                actions.push(Action::Measure(Latency::Queue, route, took));
            }
            let decision = self.placed_decision(active, ready_count, &starts, now);
            actions.push(Action::Log(decision));
        }
        for (process, tasks) in starts {
            orders.entry(process).or_default().push(Order {
                number: active.number,
                job: active.job.id.clone(),
                request: active.job.request.clone(),
                spec: active.job.spec.clone(),
                tasks,
            });
        }
        placed == ready_count
    }

    /// The decision to place tasks, with the reported load of each agent and its age.
    fn placed_decision(
        &self,
        active: &ActiveJob,
        ready_count: usize,
        starts: &BTreeMap<Process, Vec<Start>>,
        now: Duration,
    ) -> Decision {
        let places: Vec<String> = starts
            .iter()
            .map(|(process, tasks)| {
                let agent = self.agents.get(process);
                let (free, age) = agent.map_or((0, 0), |agent| {
                    let age = now.saturating_sub(agent.last_heard);
                    (agent.free().cpu, age.as_millis())
                });
                format!("{process}:{}/free={free}/age_ms={age}", tasks.len())
            })
            .collect();
        job_decision("placed", active, now)
            .with("asked", ready_count)
            .with("places", places.join(","))
    }
}
