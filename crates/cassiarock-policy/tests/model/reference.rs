//! Two references for response times: the ideal time of each job alone, and an omniscient
//! queue.

use super::load::Job;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// The order in which the omniscient queue serves jobs.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    /// By arrival.
    Arrival,
    /// By least remaining true work, each job's longest task first.
    Least,
    /// By arrival plus a hundred times the true ideal time, tasks in the given order: the
    /// order of the policies, without their delays and estimates.
    Due,
}

/// The response time of the job alone on an empty pool, its longest task first.
pub fn ideal(job: &Job, slots: usize) -> Duration {
    let mut runs = job.runs.clone();
    runs.sort();
    let mut free: BinaryHeap<Reverse<Duration>> =
        (0..slots).map(|_| Reverse(Duration::ZERO)).collect();
    let mut end = Duration::ZERO;
    for run in runs.iter().rev() {
        let Some(Reverse(start)) = free.pop() else {
            return end;
        };
        end = end.max(start + *run);
        free.push(Reverse(start + *run));
    }
    end
}

/// Response times under a work-conserving central queue without delays that knows all run
/// times.
pub fn omniscient(jobs: &[Job], slots: usize, order: Order) -> Vec<Duration> {
    let mut left: Vec<Vec<Duration>> = jobs.iter().map(|job| job.runs.clone()).collect();
    if !matches!(order, Order::Due) {
        left.iter_mut().for_each(|runs| runs.sort());
    }
    let mut work: Vec<Duration> = jobs.iter().map(Job::work).collect();
    let mut waiting: BTreeMap<(Duration, usize), ()> = BTreeMap::new();
    let mut running: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut response = vec![Duration::ZERO; jobs.len()];
    let key = |job: usize, work: Duration| match order {
        Order::Arrival => jobs[job].at,
        Order::Due => jobs[job].at + jobs[job].work().mul_f64(100.0 / slots as f64),
        Order::Least => work,
    };
    let mut next = 0;
    loop {
        let arrival = jobs.get(next).map(|job| job.at);
        let end = running.peek().map(|Reverse((end, _))| *end);
        let now = match (arrival, end) {
            (None, None) => return response,
            (Some(arrival), Some(end)) if end <= arrival => end,
            (Some(arrival), _) => arrival,
            (None, Some(end)) => end,
        };
        if Some(now) == end {
            if let Some(Reverse((_, job))) = running.pop() {
                response[job] = now - jobs[job].at;
            }
        } else {
            waiting.insert((key(next, work[next]), next), ());
            next += 1;
        }
        while running.len() < slots {
            let Some(((_, job), ())) = waiting.pop_first() else {
                break;
            };
            if let Some(run) = left[job].pop() {
                running.push(Reverse((now + run, job)));
                work[job] -= run;
            }
            if !left[job].is_empty() {
                waiting.insert((key(job, work[job]), job), ());
            }
        }
    }
}
