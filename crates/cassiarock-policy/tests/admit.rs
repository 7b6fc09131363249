//! Admission, job by job.

use cassiarock_id::{Job, Name, Process, Wall};
use cassiarock_policy::admission::{
    AdmissionController, AdmissionRequest, Answer, Reason, Settings, Share,
};
use std::collections::HashMap;
use std::time::Duration;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn offer(bits: u64, team: &str, tasks: usize, work: Duration) -> AdmissionRequest {
    AdmissionRequest::new(
        Job::with_bits(Wall::from_millis(1), bits),
        Name::from(team),
        tasks,
        work,
    )
}

fn gate(setting: Settings) -> AdmissionController {
    let mut gate = AdmissionController::new(setting, 1);
    gate.set_slots(88);
    gate
}

fn reason(answer: Answer) -> Option<Reason> {
    match answer {
        Answer::Admit(_) => None,
        Answer::Refuse { reason, .. } => Some(reason),
    }
}

#[test]
fn a_job_that_cannot_end_in_time_is_refused_when_it_arrives() {
    let mut gate = gate(Settings::default());
    let job = offer(1, "a", 860, secs(860)).with_deadline(secs(5));
    assert_eq!(reason(gate.admit(&job, secs(1))), Some(Reason::Late));
    let job = offer(1, "a", 860, secs(860)).with_deadline(secs(30));
    assert_eq!(reason(gate.admit(&job, secs(1))), None);
}

#[test]
fn a_small_job_is_admitted_while_large_ones_wait() {
    let mut gate = gate(Settings::default());
    for bits in 0..3 {
        gate.admit(&offer(bits, "a", 860, secs(600)), secs(1));
    }
    let job = offer(9, "a", 1, Duration::from_millis(100)).with_deadline(secs(2));
    assert_eq!(reason(gate.admit(&job, secs(1))), None);
}

#[test]
fn the_bound_on_tasks_holds_and_ended_tasks_make_room() {
    let mut gate = gate(Settings::default().with_max_tasks(100));
    assert_eq!(
        reason(gate.admit(&offer(1, "a", 100, secs(1)), secs(1))),
        None
    );
    let next = offer(2, "a", 1, secs(1));
    assert_eq!(reason(gate.admit(&next, secs(1))), Some(Reason::Full));
    gate.finish(offer(1, "a", 0, secs(0)).job, 1);
    assert_eq!(reason(gate.admit(&next, secs(1))), None);
    assert_eq!(gate.tasks(), 100);
}

// Refused callers all come back after the same second, are refused together, and so on;
// between their visits the pool is idle.
#[test]
fn refused_callers_are_told_to_come_back_at_different_times() {
    let mut gate = gate(Settings::default().with_default_deadline(secs(1)));
    let mut waits: Vec<Duration> = (0..200)
        .filter_map(
            |bits| match gate.admit(&offer(bits, "a", 200, secs(200)), secs(1)) {
                Answer::Refuse { retry_after, .. } => Some(retry_after),
                Answer::Admit(_) => None,
            },
        )
        .collect();
    waits.sort();
    let (first, last) = (waits[0], waits[waits.len() - 1]);
    assert!(last > first + secs(10), "{first:?} {last:?}");
    let most = waits
        .windows(40)
        .filter(|few| few[39] - few[0] < Duration::from_millis(500));
    assert_eq!(most.count(), 0);
}

// A team with a quota of ten slots submits through three entries at once. Each admits
// its whole quota, unless it learns what the others have admitted.
#[test]
fn entries_enforce_a_quota_together() {
    let share = Share {
        weight: 1.0,
        quota: Some(10.0),
    };
    let names: Vec<Process> = (0..3)
        .map(|i| Process::new(format!("entry-{i}"), 1))
        .collect();
    let mut gates: Vec<AdmissionController> = (0..3).map(|_| gate(Settings::default())).collect();
    let shares = HashMap::from([(Name::from("a"), share)]);
    gates
        .iter_mut()
        .for_each(|gate| gate.set_teams(shares.clone()));
    let mut admitted = 0;
    for tenth in 0..600_u64 {
        let now = Duration::from_millis(100 * tenth);
        for (index, gate) in gates.iter_mut().enumerate() {
            let job = offer(tenth * 3 + index as u64, "a", 10, secs(1));
            if reason(gate.admit(&job, now)).is_none() {
                admitted += 1;
                gate.finish(job.job, 10);
            }
        }
        if tenth % 10 == 0 {
            let news: Vec<_> = gates
                .iter_mut()
                .map(AdmissionController::usage_updates)
                .collect();
            for (index, gate) in gates.iter_mut().enumerate() {
                for other in (0..3).filter(|other| *other != index) {
                    gate.apply_usage(&names[other], &news[other], now);
                }
            }
        }
    }
    // Sixty seconds at ten slots, a burst of ten seconds, and what a second can hide.
    assert!((600..=760).contains(&admitted), "{admitted}");
}

#[test]
fn a_job_whose_deadline_is_out_of_reach_is_named() {
    let mut gate = gate(Settings::default());
    let job = offer(1, "a", 860, secs(860)).with_deadline(secs(30));
    gate.admit(&job, secs(1));
    assert!(gate.infeasible_jobs(secs(10)).is_empty());
    assert_eq!(gate.infeasible_jobs(secs(25)), [job.job]);
    gate.drop_job(job.job);
    assert!(gate.infeasible_jobs(secs(25)).is_empty());
}
