//! Mechanisms that can be left out, to see what each is worth.

/// Which mechanisms decide. Processes run with all of them; simulations leave some out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switch {
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
type Field = (&'static str, fn(&mut Switch) -> &mut bool);

const FIELDS: [Field; 13] = [
    ("admission", |switch| &mut switch.admission),
    ("expiry", |switch| &mut switch.expiry),
    ("whole_starts", |switch| &mut switch.whole_starts),
    ("kept_rank", |switch| &mut switch.kept_rank),
    ("priority", |switch| &mut switch.priority),
    ("reserve", |switch| &mut switch.reserve),
    ("asking", |switch| &mut switch.asking),
    ("waited_last", |switch| &mut switch.waited_last),
    ("ejection", |switch| &mut switch.ejection),
    ("moving", |switch| &mut switch.moving),
    ("avoidance", |switch| &mut switch.avoidance),
    ("together", |switch| &mut switch.together),
    ("suspicion", |switch| &mut switch.suspicion),
];

impl Default for Switch {
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

impl Switch {
    /// All mechanisms but the one with this name; none if there is no such mechanism.
    ///
    /// ```
    /// use cassiarock_transient::scheduler::Switch;
    /// assert!(!Switch::without("ejection").is_some_and(|switch| switch.ejection));
    /// assert_eq!(Switch::without("luck"), None);
    /// ```
    #[must_use]
    pub fn without(name: &str) -> Option<Self> {
        let mut switch = Self::default();
        let (_, field) = FIELDS.iter().find(|(known, _)| *known == name)?;
        *field(&mut switch) = false;
        Some(switch)
    }

    /// The names of all mechanisms.
    pub fn names() -> impl Iterator<Item = &'static str> {
        FIELDS.iter().map(|(name, _)| *name)
    }
}
