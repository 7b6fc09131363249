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
    /// Places jobs of callers who have waited before after others.
    pub waited_last: bool,
    /// Places nothing on upstreams whose tasks fail.
    pub ejection: bool,
    /// Places no task on a slow upstream where it would be late, and moves overdue tasks away.
    pub moving: bool,
    /// Moves tasks away from leaving upstreams where they are not expected to end.
    pub leaving: bool,
    /// Gives upstreams that are slow after their start what ends in time there.
    pub warming: bool,
    /// Prefers other upstreams than those where a task has failed.
    pub avoidance: bool,
    /// Prefers to place tasks of one job together.
    pub together: bool,
    /// Learns run times by the kind of upstream.
    pub kinds: bool,
    /// Leaves fast upstreams to callers with little time left.
    pub uneven: bool,
    /// Gives up tasks that crash upstreams, and keeps suspected ones apart.
    pub suspicion: bool,
    /// Counts the room of agents that are still being linked after a start.
    pub expectation: bool,
}

/// The name of a mechanism and an accessor of its field.
type Field = (&'static str, fn(&mut Mechanisms) -> &mut bool);

const FIELDS: [Field; 18] = [
    ("admission", |mechanisms| &mut mechanisms.admission),
    ("expiry", |mechanisms| &mut mechanisms.expiry),
    ("whole_starts", |mechanisms| &mut mechanisms.whole_starts),
    ("kept_rank", |mechanisms| &mut mechanisms.kept_rank),
    ("priority", |mechanisms| &mut mechanisms.priority),
    ("reserve", |mechanisms| &mut mechanisms.reserve),
    ("asking", |mechanisms| &mut mechanisms.asking),
    ("waited_last", |mechanisms| &mut mechanisms.waited_last),
    ("ejection", |mechanisms| &mut mechanisms.ejection),
    ("moving", |mechanisms| &mut mechanisms.moving),
    ("leaving", |mechanisms| &mut mechanisms.leaving),
    ("warming", |mechanisms| &mut mechanisms.warming),
    ("avoidance", |mechanisms| &mut mechanisms.avoidance),
    ("together", |mechanisms| &mut mechanisms.together),
    ("kinds", |mechanisms| &mut mechanisms.kinds),
    ("uneven", |mechanisms| &mut mechanisms.uneven),
    ("suspicion", |mechanisms| &mut mechanisms.suspicion),
    ("expectation", |mechanisms| &mut mechanisms.expectation),
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
            waited_last: true,
            ejection: true,
            moving: true,
            leaving: true,
            warming: true,
            avoidance: true,
            together: true,
            kinds: true,
            uneven: true,
            suspicion: true,
            expectation: true,
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
