//! Jobs and tasks as callers submit them.

use cassiarock_id::{Job, Name};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// The resources that a task declares. Declared sizes are hints: they are often far off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processor cores.
    pub cores: f64,
    /// Memory in bytes.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// One task of a submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// The caller's own id, unique within the job.
    pub id: Name,
    /// The JSON text of the payload, as the caller wrote it.
    pub payload: Arc<[u8]>,
    /// The declared resources.
    pub need: Resources,
    /// The declared run time, if any.
    pub run: Option<Duration>,
}

/// A job as a caller submits it: checked, and not yet decided upon.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The job's id, the same over resubmissions.
    pub job: Job,
    /// The kind of request, which rules match on.
    pub kind: Name,
    /// The team whose quota the job uses.
    pub team: Name,
    /// The tasks in the caller's order.
    pub tasks: Vec<Task>,
    /// How long after its arrival the answer is still of use.
    pub deadline: Duration,
    /// Whether tasks may be started more than once.
    pub repeatable: bool,
    /// Hash over `kind`, `team`, `repeatable` and the tasks' ids and payloads.
    pub digest: u64,
}

impl Submission {
    /// A submission that is not repeatable; the digest is worked out here.
    ///
    /// ```
    /// use cassiarock_caller::{Submission, Task};
    /// use cassiarock_id::{Job, Wall};
    /// use std::time::Duration;
    /// let job = Job::new(Wall::now());
    /// let tasks = vec![Task::new("seat", b"{\"class\": 4}".as_slice())];
    /// let first = Submission::new(job, "seat-check", "andes", tasks.clone(), Duration::from_secs(2));
    /// let other = Submission::new(job, "booking", "andes", tasks, Duration::from_secs(2));
    /// assert_ne!(first.digest, other.digest);
    /// ```
    pub fn new(
        job: Job,
        kind: impl Into<Name>,
        team: impl Into<Name>,
        tasks: Vec<Task>,
        deadline: Duration,
    ) -> Self {
        let submission = Self {
            job,
            kind: kind.into(),
            team: team.into(),
            tasks,
            deadline,
            repeatable: false,
            digest: 0,
        };
        submission.with_digest()
    }

    /// The same submission with tasks that may, or may not, be started more than once.
    ///
    /// ```
    /// use cassiarock_caller::Submission;
    /// use cassiarock_id::{Job, Wall};
    /// use std::time::Duration;
    /// let job = Job::new(Wall::now());
    /// let once = Submission::new(job, "seat-check", "andes", Vec::new(), Duration::from_secs(2));
    /// let again = once.clone().with_repeatable(true);
    /// assert!(again.repeatable);
    /// assert_ne!(once.digest, again.digest);
    /// ```
    #[must_use]
    pub fn with_repeatable(mut self, repeatable: bool) -> Self {
        self.repeatable = repeatable;
        self.with_digest()
    }

    fn with_digest(mut self) -> Self {
        let mut hash = Xxh3::new();
        feed(&mut hash, self.kind.as_bytes());
        feed(&mut hash, self.team.as_bytes());
        feed(&mut hash, &[u8::from(self.repeatable)]);
        for task in &self.tasks {
            feed(&mut hash, task.id.as_bytes());
            feed(&mut hash, &task.payload);
        }
        self.digest = hash.digest();
        self
    }
}

impl Task {
    /// A task that declares nothing.
    ///
    /// ```
    /// use cassiarock_caller::Task;
    /// let task = Task::new("seat", b"{}".as_slice());
    /// assert_eq!(task.run, None);
    /// ```
    pub fn new(id: impl Into<Name>, payload: impl Into<Arc<[u8]>>) -> Self {
        Self {
            id: id.into(),
            payload: payload.into(),
            need: Resources::default(),
            run: None,
        }
    }
}

/// Hashes the length first, so that moving bytes from one part to the next changes the hash.
fn feed(hash: &mut Xxh3, part: &[u8]) {
    hash.update(&part.len().to_le_bytes());
    hash.update(part);
}
