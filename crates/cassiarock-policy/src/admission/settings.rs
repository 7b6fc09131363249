//! The bounds of admission.

use std::time::Duration;

/// The bounds of a [`super::AdmissionController`].
///
/// ```
/// use cassiarock_policy::admission::Settings;
/// let settings = Settings::default().with_tasks(1000);
/// assert_eq!(settings.tasks, 1000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Tasks of admitted jobs at most, waiting and running. At 1 KB a task, 50,000 are
    /// 50 MB of an entry's 256 MB.
    pub tasks: usize,
    /// Jobs admitted at most: each is a waiting HTTP request.
    pub jobs: usize,
    /// The wait allowed to a job whose caller names no deadline.
    pub patience: Duration,
    /// How many seconds of its quota a team may save up and use in one burst.
    pub burst: Duration,
    /// The shortest wait before a refused caller comes again.
    pub shortest: Duration,
    /// The longest such wait.
    pub longest: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tasks: 50_000,
            jobs: 5000,
            patience: Duration::from_secs(30),
            burst: Duration::from_secs(10),
            shortest: Duration::from_millis(200),
            longest: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// With another bound on tasks.
    #[must_use]
    pub const fn with_tasks(mut self, tasks: usize) -> Self {
        self.tasks = tasks;
        self
    }

    /// With another patience.
    #[must_use]
    pub const fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }
}
