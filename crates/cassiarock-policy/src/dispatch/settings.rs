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
    /// Of placement.
    pub place: place::Settings,
    /// Of admission.
    pub admission: admission::Settings,
    /// Of fault detection.
    pub health: health::Settings,
    /// Of retries.
    pub retry: retry::Settings,
}

impl Settings {
    /// The defaults for a policy and a weight.
    #[must_use]
    pub fn new(kind: PlacementPolicy, weight: Objective) -> Self {
        Self {
            place: place::Settings::new(kind).with_objective(weight),
            admission: admission::Settings::default(),
            health: health::Settings::default(),
            retry: retry::Settings::default(),
        }
    }
}
