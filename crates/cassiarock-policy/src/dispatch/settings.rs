//! The settings of a dispatcher.

use crate::{Objective, PlacementPolicy, admission, health, place, retry};

/// The settings of all decisions about one pool.
///
/// ```
/// use cassiarock_policy::{PlacementPolicy, Objective, dispatch::Settings};
/// let settings = Settings::new(PlacementPolicy::Credits, Objective::Response);
/// assert!(settings.place.demands_per_task > 0);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Settings of placement.
    pub place: place::Settings,
    /// Settings of admission control.
    pub admission: admission::Settings,
    /// Settings of fault detection.
    pub health: health::Settings,
    /// Settings of the retry budget.
    pub retry: retry::Settings,
}

impl Settings {
    /// The defaults for a policy and an objective.
    #[must_use]
    pub fn new(policy: PlacementPolicy, objective: Objective) -> Self {
        Self {
            place: place::Settings::new(policy).with_objective(objective),
            admission: admission::Settings::default(),
            health: health::Settings::default(),
            retry: retry::Settings::default(),
        }
    }
}
