//! The digest, which tells whether a resubmission is the same job.

use cassiarock_caller::{Submission, Task};
use cassiarock_id::{Job, Wall};
use std::time::Duration;
use yare::parameterized;

fn submission(kind: &str, team: &str, tasks: &[(&str, &str)]) -> Submission {
    let job = Job::with_bits(Wall::from_millis(1), 1);
    let task = |(id, payload): &(&str, &str)| Task::new(*id, payload.as_bytes());
    let tasks = tasks.iter().map(task).collect();
    Submission::new(job, kind, team, tasks, Duration::from_secs(1))
}

#[parameterized(
    another_kind = { "l", "t", &[("a", "1")] },
    another_team = { "k", "u", &[("a", "1")] },
    another_task_id = { "k", "t", &[("b", "1")] },
    another_payload = { "k", "t", &[("a", "2")] },
    one_more_task = { "k", "t", &[("a", "1"), ("b", "1")] },
    bytes_moved_between_parts = { "kt", "", &[("a", "1")] },
)]
fn other_content_has_another_digest(kind: &str, team: &str, tasks: &[(&str, &str)]) {
    let first = submission("k", "t", &[("a", "1")]);
    assert_ne!(first.digest, submission(kind, team, tasks).digest);
}

#[test]
fn the_deadline_may_differ_between_resubmissions() {
    let first = submission("k", "t", &[("a", "1")]);
    let later = Submission::new(first.job, "k", "t", first.tasks.clone(), Duration::MAX);
    assert_eq!(first.digest, later.digest);
}
