//! Where tasks are placed.

use super::choose::is_eligible;
use super::crash::suspected;
use super::work::{Phase, Work, core_millis};
use super::{Action, Scheduler, told};
use crate::message::{Order, Start};
use cassiarock_id::Process;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Jobs in the queue that are looked at in one round once one of them found no room: a small
/// task further back may fit where a large one does not.
const BEHIND: usize = 16;

impl Scheduler {
    /// Places waiting tasks, the jobs that have to start first before others.
    pub(super) fn place(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            self.ask_for_room(&BTreeSet::new(), now, actions);
            return;
        }
        self.suspected = if self.crashes.is_empty(now) {
            BTreeSet::new()
        } else {
            suspected(self.works.values())
        };
        let mut orders: BTreeMap<Process, Vec<Order>> = BTreeMap::new();
        let numbers: Vec<u64> = self.queue.iter().map(|rank| rank.number).collect();
        let mut behind = 0;
        // Whether a job is started of which tasks found no room. Others then start whole or not
        // at all: each would get a task placed here and there, and the last ones too late.
        let mut is_one_open = false;
        for number in numbers {
            let Some(mut work) = self.works.remove(&number) else {
                continue;
            };
            let mut all = false;
            if work.was_placed || self.may_start(&work, is_one_open, now) {
                self.queue.remove(&work.rank());
                all = self.place_work(&mut work, now, &mut orders, actions);
                if work.has_waiting() {
                    self.queue.insert(work.rank());
                }
                is_one_open |= !all && work.was_placed;
            }
            self.works.insert(number, work);
            if !all {
                behind += 1;
                if behind > BEHIND {
                    break;
                }
            }
        }
        let ordered: BTreeSet<Process> = orders.keys().cloned().collect();
        self.send_orders(orders, now, actions);
        self.ask_for_room(&ordered, now, actions);
    }

    /// Whether a job may start of which nothing is placed, while another one `is_open` of which
    /// tasks found no room.
    fn may_start(&self, work: &Work, is_open: bool, now: Duration) -> bool {
        let has_to_fit = is_open && self.mechanisms.whole_starts;
        self.leaves_room(work, now) && (!has_to_fit || self.fits_whole(work, now))
    }

    /// Whether enough room is free for a job of this urgency to start. Counted in whole tasks
    /// of its own, so that a system of a few tasks keeps none of them empty.
    fn leaves_room(&self, work: &Work, now: Duration) -> bool {
        let reserved = self.reserve.share(work.urgency(), now);
        if reserved == 0.0 || !self.mechanisms.reserve {
            return true;
        }
        let agents = self.agents.values();
        let open = agents.filter(|agent| agent.is_open(now) && agent.serves(&work.class.service));
        let (free, all) = open.fold((0, 0), |(free, all), agent| {
            (free + agent.free().cpu, all + agent.capacity().cpu)
        });
        let kept = (reserved * all as f64) as u64;
        let mut demands = work.job.stages.iter().map(|stage| stage.demand.cpu.max(1));
        demands.all(|demand| free / demand >= kept / demand)
    }

    /// Whether there is room now for all tasks of the job that can start.
    fn fits_whole(&self, work: &Work, now: Duration) -> bool {
        let stages = work.job.stages.iter().enumerate();
        let mut open = stages.filter(|(stage, _)| work.is_open(*stage));
        open.all(|(stage, wanted)| {
            let tasks = work.tasks[stage].iter();
            let waiting = tasks.filter(|task| matches!(task.phase, Phase::Waiting(_)));
            let agents = self.agents.values();
            let fit = agents.filter(|agent| is_eligible(work, wanted, agent, now));
            let most = u64::from(wanted.max_per_upstream.unwrap_or(u32::MAX));
            let room: u64 = fit
                .map(|agent| agent.free().count_of(&wanted.demand).min(most))
                .sum();
            waiting.count() as u64 <= room
        })
    }

    /// Whether all tasks that wait found room.
    fn place_work(
        &mut self,
        work: &mut Work,
        now: Duration,
        orders: &mut BTreeMap<Process, Vec<Order>>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let waiting = work.waiting(now);
        let asked = waiting.len();
        let mut starts: BTreeMap<Process, Vec<Start>> = BTreeMap::new();
        // Tasks of one stage want the same: where one finds no room, the others find none.
        let mut full = None;
        for (stage, index) in waiting {
            if full == Some(stage) {
                continue;
            }
            let Some(process) = self.choose(work, stage, index, &starts, now) else {
                full = Some(stage);
                continue;
            };
            if !work.tasks[stage][index].crashed.is_empty() {
                self.suspected.insert(process.clone());
            }
            let demand = work.job.stages[stage].demand;
            if let Some(agent) = self.agents.get_mut(&process) {
                agent.order(demand);
            }
            let expected = work.expected[stage];
            self.rate.add(core_millis(demand.cpu, expected), now);
            let task = &mut work.tasks[stage][index];
            task.phase = Phase::Placed(process.clone(), now);
            starts.entry(process).or_default().push(Start {
                stage: u32::try_from(stage).unwrap_or(u32::MAX),
                index: u32::try_from(index).unwrap_or(u32::MAX),
                attempt: task.attempt,
                demand,
                expected,
                suspect: task.suspect(),
            });
        }
        let placed: usize = starts.values().map(Vec::len).sum();
        if placed > 0 {
            if !work.was_placed {
                work.was_placed = true;
                let took = now.saturating_sub(work.arrived);
                let route = work.class.route.clone();
                actions.push(Action::Measure(super::Latency::Queue, route, took));
            }
            actions.push(Action::Log(self.placed_line(work, asked, &starts, now)));
        }
        for (process, tasks) in starts {
            orders.entry(process).or_default().push(Order {
                number: work.number,
                job: work.job.id.clone(),
                request: work.job.request.clone(),
                spec: work.job.spec.clone(),
                tasks,
            });
        }
        placed == asked
    }

    fn placed_line(
        &self,
        work: &Work,
        asked: usize,
        starts: &BTreeMap<Process, Vec<Start>>,
        now: Duration,
    ) -> crate::Decision {
        let places: Vec<String> = starts
            .iter()
            .map(|(process, tasks)| {
                let agent = self.agents.get(process);
                let (free, age) = agent.map_or((0, 0), |agent| {
                    let age = now.saturating_sub(agent.heard);
                    (agent.free().cpu, age.as_millis())
                });
                format!("{process}:{}/free={free}/age_ms={age}", tasks.len())
            })
            .collect();
        told("placed", work, now)
            .with("asked", asked)
            .with("places", places.join(","))
    }
}
