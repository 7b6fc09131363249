//! Admission control, job by job.

use cassiarock_id::{Job, Name, Process, Wall};
use cassiarock_policy::admission::{
    AdmissionController, AdmissionRequest, Answer, Reason, Settings, Share,
};
use std::collections::HashMap;
use std::time::Duration;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn request(bits: u64, team: &str, tasks: usize, work: Duration) -> AdmissionRequest {
    AdmissionRequest::new(
        Job::with_bits(Wall::from_millis(1), bits),
        Name::from(team),
        tasks,
        work,
    )
}

fn controller(setting: Settings) -> AdmissionController {
    let mut controller = AdmissionController::new(setting, 1);
    controller.set_slots(88);
    controller
}

fn reason(answer: Answer) -> Option<Reason> {
    match answer {
        Answer::Admit(_) => None,
        Answer::Refuse { reason, .. } => Some(reason),
    }
}

#[test]
fn a_job_that_cannot_end_in_time_is_refused_when_it_arrives() {
    let mut controller = controller(Settings::default());
    let job = request(1, "a", 860, secs(860)).with_deadline(secs(5));
    assert_eq!(reason(controller.admit(&job, secs(1))), Some(Reason::Late));
    let job = request(1, "a", 860, secs(860)).with_deadline(secs(30));
    assert_eq!(reason(controller.admit(&job, secs(1))), None);
}

#[test]
fn a_small_job_is_admitted_while_large_ones_wait() {
    let mut controller = controller(Settings::default());
    for bits in 0..3 {
        controller.admit(&request(bits, "a", 860, secs(600)), secs(1));
    }
    let job = request(9, "a", 1, Duration::from_millis(100)).with_deadline(secs(2));
    assert_eq!(reason(controller.admit(&job, secs(1))), None);
}

#[test]
fn the_limit_on_tasks_holds_and_ended_tasks_free_it() {
    let mut controller = controller(Settings::default().with_max_tasks(100));
    assert_eq!(
        reason(controller.admit(&request(1, "a", 100, secs(1)), secs(1))),
        None
    );
    let next = request(2, "a", 1, secs(1));
    assert_eq!(reason(controller.admit(&next, secs(1))), Some(Reason::Full));
    controller.finish(request(1, "a", 0, secs(0)).job, 1);
    assert_eq!(reason(controller.admit(&next, secs(1))), None);
    assert_eq!(controller.tasks(), 100);
}

// Guards against refused callers that all retry after the same time and are refused together
// again and again, while the pool is idle in between.
#[test]
fn refused_callers_are_told_different_retry_times() {
    let mut controller = controller(Settings::default().with_default_deadline(secs(1)));
    let mut waits: Vec<Duration> = (0..200)
        .filter_map(
            |bits| match controller.admit(&request(bits, "a", 200, secs(200)), secs(1)) {
                Answer::Refuse { retry_after, .. } => Some(retry_after),
                Answer::Admit(_) => None,
            },
        )
        .collect();
    waits.sort();
    let (first, last) = (waits[0], waits[waits.len() - 1]);
    assert!(last > first + secs(10), "{first:?} {last:?}");
    let crowded = waits
        .windows(40)
        .filter(|window| window[39] - window[0] < Duration::from_millis(500));
    assert_eq!(crowded.count(), 0);
}

// Guards against a team getting its quota once per entry. It has a quota of ten slots and
// submits through three entries at once; each would admit the whole quota if it did not learn
// what the others have admitted.
#[test]
fn entries_enforce_a_quota_together() {
    let share = Share {
        weight: 1.0,
        quota: Some(10.0),
    };
    let names: Vec<Process> = (0..3)
        .map(|i| Process::new(format!("entry-{i}"), 1))
        .collect();
    let mut controllers: Vec<AdmissionController> =
        (0..3).map(|_| controller(Settings::default())).collect();
    let shares = HashMap::from([(Name::from("a"), share)]);
    controllers
        .iter_mut()
        .for_each(|controller| controller.set_teams(shares.clone()));
    let mut admitted = 0;
    for tenth in 0..600_u64 {
        let now = Duration::from_millis(100 * tenth);
        for (index, controller) in controllers.iter_mut().enumerate() {
            let job = request(tenth * 3 + index as u64, "a", 10, secs(1));
            if reason(controller.admit(&job, now)).is_none() {
                admitted += 1;
                controller.finish(job.job, 10);
            }
        }
        if tenth % 10 == 0 {
            let updates: Vec<_> = controllers
                .iter_mut()
                .map(AdmissionController::usage_updates)
                .collect();
            for (index, controller) in controllers.iter_mut().enumerate() {
                for other in (0..3).filter(|other| *other != index) {
                    controller.apply_usage(&names[other], &updates[other], now);
                }
            }
        }
    }
    // 60 s at ten slots are 600 jobs, the burst of 10 s adds 100, and the entries can admit some
    // more during the second between two exchanges.
    assert!((600..=760).contains(&admitted), "{admitted}");
}

#[test]
fn a_job_that_can_no_longer_meet_its_deadline_is_reported() {
    let mut controller = controller(Settings::default());
    let job = request(1, "a", 860, secs(860)).with_deadline(secs(30));
    controller.admit(&job, secs(1));
    assert!(controller.infeasible_jobs(secs(10)).is_empty());
    assert_eq!(controller.infeasible_jobs(secs(25)), [job.job]);
    controller.drop_job(job.job);
    assert!(controller.infeasible_jobs(secs(25)).is_empty());
}
