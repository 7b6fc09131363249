//! The settings of a dispatcher.

use crate::{Objective, PlacementPolicy, admission, health, place, retry};

/// The settings of all decisions about one pool.
///
/// ```
/// use cassiarock_policy::{PlacementPolicy, Objective, dispatch::Setting};
/// let setting = Setting::new(PlacementPolicy::Credits, Objective::Response);
/// assert!(setting.place.reach > 0);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Of placement.
    pub place: place::Setting,
    /// Of admission.
    pub admission: admission::Setting,
    /// Of fault detection.
    pub health: health::Setting,
    /// Of retries.
    pub retry: retry::Setting,
}

impl Setting {
    /// The defaults for a policy and a weight.
    #[must_use]
    pub fn new(kind: PlacementPolicy, weight: Objective) -> Self {
        Self {
            place: place::Setting::new(kind).with_objective(weight),
            admission: admission::Setting::default(),
            health: health::Setting::default(),
            retry: retry::Setting::default(),
        }
    }
}
