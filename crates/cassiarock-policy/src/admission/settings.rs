//! The settings of admission control.

use std::time::Duration;

/// The settings of a [`super::AdmissionController`].
///
/// ```
/// use cassiarock_policy::admission::Settings;
/// let settings = Settings::default().with_max_tasks(1000);
/// assert_eq!(settings.max_tasks, 1000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of tasks of admitted jobs, waiting and running. At 1 KB a task, 50,000
    /// tasks use 50 MB of an entry's 256 MB.
    pub max_tasks: usize,
    /// Maximum number of admitted jobs. Each is a waiting HTTP request.
    pub max_jobs: usize,
    /// The deadline, from its arrival, of a job whose caller sets none.
    pub default_deadline: Duration,
    /// For how long a team may save up unused quota and then use it in one burst.
    pub quota_burst: Duration,
    /// The shortest wait that a refused caller is told.
    pub min_retry_after: Duration,
    /// The longest wait that a refused caller is told, apart from jitter of up to twice the
    /// shortest.
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
    /// Sets [`Self::max_tasks`].
    #[must_use]
    pub const fn with_max_tasks(mut self, tasks: usize) -> Self {
        self.max_tasks = tasks;
        self
    }

    /// Sets [`Self::default_deadline`].
    #[must_use]
    pub const fn with_default_deadline(mut self, deadline: Duration) -> Self {
        self.default_deadline = deadline;
        self
    }
}
