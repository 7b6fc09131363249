//! The bounds of admission.

use std::time::Duration;

/// The bounds of a [`super::AdmissionController`].
///
/// ```
/// use cassiarock_policy::admission::Settings;
/// let settings = Settings::default().with_max_tasks(1000);
/// assert_eq!(settings.max_tasks, 1000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Tasks of admitted jobs at most, waiting and running. At 1 KB a task, 50,000 are
    /// 50 MB of an entry's 256 MB.
    pub max_tasks: usize,
    /// Jobs admitted at most: each is a waiting HTTP request.
    pub max_jobs: usize,
    /// The wait allowed to a job whose caller names no deadline.
    pub default_deadline: Duration,
    /// How many seconds of its quota a team may save up and use in one burst.
    pub quota_burst: Duration,
    /// The shortest wait before a refused caller comes again.
    pub min_retry_after: Duration,
    /// The longest such wait.
    pub max_retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_tasks: 50_000,
            max_jobs: 5000,
            default_deadline: Duration::from_secs(30),
            quota_burst: Duration::from_secs(10),
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// With another bound on tasks.
    #[must_use]
    pub const fn with_max_tasks(mut self, tasks: usize) -> Self {
        self.max_tasks = tasks;
        self
    }

    /// With another patience.
    #[must_use]
    pub const fn with_default_deadline(mut self, patience: Duration) -> Self {
        self.default_deadline = patience;
        self
    }
}
