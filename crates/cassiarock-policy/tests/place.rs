//! Placement at one entry, event by event.

use cassiarock_id::{Job, Process, Task, Wall};
use cassiarock_policy::load::LoadReport;
use cassiarock_policy::place::{
    Action, PlacedTask, Placer, ReadyTasks, Settings, TaskKey, Upstream,
};
use cassiarock_policy::{Due, PlacementPolicy};
use std::time::Duration;

fn agent(index: usize) -> Process {
    Process::new(format!("agent-{index}"), 1)
}

fn placer(policy: PlacementPolicy, agents: usize) -> Placer {
    let mut placer = Placer::new(Settings::new(policy), 3);
    for index in 0..agents {
        placer.add(Upstream::new(agent(index), 8));
    }
    placer
}

fn job(bits: u64, tasks: u16) -> ReadyTasks {
    let id = Job::with_bits(Wall::from_millis(1), bits);
    let due = Due::new(Duration::ZERO, Duration::from_millis(u64::from(tasks)));
    ReadyTasks::new(id, due, (0..tasks).map(Task).collect())
}

fn started(actions: &[Action]) -> Vec<(Process, Vec<PlacedTask>)> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start { agent, tasks, .. } => Some((agent.clone(), tasks.clone())),
        Action::Demand { .. } => None,
    });
    starts.collect()
}

fn count(actions: &[Action]) -> usize {
    started(actions).iter().map(|(_, tasks)| tasks.len()).sum()
}

#[yare::parameterized(
    random = { PlacementPolicy::Random },
    two_choices = { PlacementPolicy::TwoChoices },
    credits = { PlacementPolicy::Credits },
)]
fn tasks_start_at_once_on_an_idle_pool(policy: PlacementPolicy) {
    let mut placer = placer(policy, 11);
    placer.enqueue(job(1, 60));
    assert_eq!(count(&placer.poll(Duration::ZERO)), 60);
}

#[test]
fn no_upstream_gets_more_tasks_than_it_has_free_slots() {
    let mut placer = placer(PlacementPolicy::Credits, 11);
    placer.enqueue(job(1, 88));
    let actions = placer.poll(Duration::ZERO);
    assert_eq!(started(&actions).len(), 11);
    assert!(started(&actions).iter().all(|(_, tasks)| tasks.len() == 8));
}

#[test]
fn a_leaving_upstream_gets_no_task() {
    let mut placer = placer(PlacementPolicy::Credits, 2);
    placer.start_leaving(&agent(0));
    placer.enqueue(job(1, 16));
    let starts = started(&placer.poll(Duration::ZERO));
    assert!(starts.iter().all(|(to, _)| *to == agent(1)), "{starts:?}");
}

#[test]
fn the_keeper_of_a_job_gets_none_of_its_tasks() {
    let mut placer = placer(PlacementPolicy::Credits, 2);
    placer.enqueue(job(1, 8).with_avoid(agent(1)));
    let starts = started(&placer.poll(Duration::ZERO));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, agent(0));
}

#[test]
fn a_rejected_task_starts_elsewhere() {
    let mut placer = placer(PlacementPolicy::Credits, 2);
    placer.enqueue(job(1, 1));
    let (first, tasks) = started(&placer.poll(Duration::ZERO)).remove(0);
    let full = LoadReport {
        seen: 1,
        ..LoadReport::default()
    };
    placer.requeue(&first, &tasks[0].key, false, full, Duration::from_millis(1));
    let starts = started(&placer.poll(Duration::from_millis(1)));
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].0, first);
}

#[test]
fn no_task_of_a_cancelled_job_is_started() {
    let mut placer = placer(PlacementPolicy::Credits, 1);
    placer.enqueue(job(1, 20));
    // Eight run, and four wait at the agent, which has to cancel them.
    assert_eq!(count(&placer.poll(Duration::ZERO)), 12);
    assert_eq!(placer.cancel(job(1, 20).id).len(), 8);
    let load = LoadReport {
        open: 1,
        seen: 8,
        ..LoadReport::default()
    };
    let done = TaskKey::new(job(1, 20).id, Task(0));
    placer.end(&agent(0), &done, Some(load), Duration::from_millis(100));
    assert_eq!(placer.poll(Duration::from_millis(100)), []);
}

#[test]
fn the_tasks_of_a_disconnected_upstream_are_returned_once() {
    let mut placer = placer(PlacementPolicy::Credits, 1);
    placer.enqueue(job(1, 3));
    placer.poll(Duration::ZERO);
    assert_eq!(placer.disconnect(&agent(0)).len(), 3);
    assert_eq!(placer.disconnect(&agent(0)), []);
}
