//! Mechanisms that can be left out, to see what each is worth.

/// Which mechanisms decide. Processes run with all of them; simulations leave some out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Refusing what the work before it would make late.
    pub admission: bool,
    /// Refusing what can no longer be on time, or placing it after all others.
    pub expiry: bool,
    /// Starting one job at a time in pieces.
    pub whole_starts: bool,
    /// Leaving a started job its rank past its latest start.
    pub kept_rank: bool,
    /// The operators' priority.
    pub priority: bool,
    /// Leaving room to more urgent jobs.
    pub reserve: bool,
    /// Asking agents for room that they free.
    pub asking: bool,
    /// Placing callers who have waited before after others.
    pub waited_last: bool,
    /// Keeping out upstreams that fail.
    pub ejection: bool,
    /// Keeping tasks off slow upstreams, and moving them away.
    pub moving: bool,
    /// Trying a task elsewhere than where it failed.
    pub avoidance: bool,
    /// Placing tasks of one job together.
    pub together: bool,
    /// Giving up tasks that crash upstreams, and keeping suspects of it apart.
    pub suspicion: bool,
}

/// The name of a mechanism and the field that it is.
type Field = (&'static str, fn(&mut Mechanisms) -> &mut bool);

const FIELDS: [Field; 13] = [
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
    /// All mechanisms but the one with this name; none if there is no such mechanism.
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
