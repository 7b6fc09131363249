//! Mechanisms of the scheduler that can be disabled to measure the effect of each.

/// The enabled mechanisms. Processes run with all of them; simulations disable some.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Refuses jobs that the jobs before them in the queue would make late.
    pub admission: bool,
    /// Refuses jobs that can no longer be on time, or places them after all others.
    pub expiry: bool,
    /// Allows only one job at a time to start with some of its tasks.
    pub whole_starts: bool,
    /// Lets a started job keep its rank after its latest start has passed.
    pub kept_rank: bool,
    /// Orders jobs by the operators' priority.
    pub priority: bool,
    /// Reserves room for more urgent jobs.
    pub reserve: bool,
    /// Asks agents for room that becomes free.
    pub asking: bool,
    /// Places within the share of the free room that an agent has dealt to this entry.
    pub shares: bool,
    /// Places jobs of callers who have waited before after others.
    pub waited_last: bool,
    /// Places nothing on upstreams whose tasks fail.
    pub ejection: bool,
    /// Places no task on a slow upstream where it would be late, and moves overdue tasks away.
    pub moving: bool,
    /// Prefers other upstreams than those where a task has failed.
    pub avoidance: bool,
    /// Prefers to place tasks of one job together.
    pub together: bool,
    /// Gives up tasks that crash upstreams, and keeps suspected ones apart.
    pub suspicion: bool,
}

/// The name of a mechanism and an accessor of its field.
type Field = (&'static str, fn(&mut Mechanisms) -> &mut bool);

const FIELDS: [Field; 14] = [
    ("admission", |mechanisms| &mut mechanisms.admission),
    ("expiry", |mechanisms| &mut mechanisms.expiry),
    ("whole_starts", |mechanisms| &mut mechanisms.whole_starts),
    ("kept_rank", |mechanisms| &mut mechanisms.kept_rank),
    ("priority", |mechanisms| &mut mechanisms.priority),
    ("reserve", |mechanisms| &mut mechanisms.reserve),
    ("asking", |mechanisms| &mut mechanisms.asking),
    ("shares", |mechanisms| &mut mechanisms.shares),
    ("waited_last", |mechanisms| &mut mechanisms.waited_last),
    ("ejection", |mechanisms| &mut mechanisms.ejection),
    ("moving", |mechanisms| &mut mechanisms.moving),
    ("avoidance", |mechanisms| &mut mechanisms.avoidance),
    ("together", |mechanisms| &mut mechanisms.together),
    ("suspicion", |mechanisms| &mut mechanisms.suspicion),
];

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            admission: true,
            expiry: true,
            whole_starts: true,
            kept_rank: true,
            priority: true,
            reserve: true,
            asking: true,
            shares: true,
            waited_last: true,
            ejection: true,
            moving: true,
            avoidance: true,
            together: true,
            suspicion: true,
        }
    }
}

impl Mechanisms {
    /// All mechanisms except the one with this name; `None` if there is no such mechanism.
    ///
    /// ```
    /// use cassiarock_transient::scheduler::Mechanisms;
    /// assert!(!Mechanisms::without("ejection").is_some_and(|mechanisms| mechanisms.ejection));
    /// assert_eq!(Mechanisms::without("luck"), None);
    /// ```
    #[must_use]
    pub fn without(name: &str) -> Option<Self> {
        let mut mechanisms = Self::default();
        let (_, field) = FIELDS.iter().find(|(known, _)| *known == name)?;
        *field(&mut mechanisms) = false;
        Some(mechanisms)
    }

    /// The names of all mechanisms.
    pub fn names() -> impl Iterator<Item = &'static str> {
        FIELDS.iter().map(|(name, _)| *name)
    }
}
