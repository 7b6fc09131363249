//! The kinds of upstream that an entry has seen.

use crate::Resources;
use crate::message::Upstream;
use cassiarock_id::Name;

/// The most kinds that are remembered. A deployment has some five, and each may occur with several
/// capacities.
const MAX_KINDS: usize = 64;

/// The service and the capacity of each kind of upstream seen so far, the newest last.
///
/// A job is called impossible only if it fits none of them. An upstream that is merely away must
/// not make a job impossible: callers take that for a fault of their own and do not come back.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct UpstreamKinds(Vec<(Name, Resources)>);

impl UpstreamKinds {
    pub(in crate::scheduler) fn add(&mut self, upstream: &Upstream) {
        let covers = |of: &Name, capacity: &Resources, other: &(Name, Resources)| {
            *of == other.0 && other.1.fits_in(capacity)
        };
        let new = (upstream.service.clone(), upstream.capacity);
        if self
            .0
            .iter()
            .any(|(of, capacity)| covers(of, capacity, &new))
        {
            return;
        }
        self.0.retain(|kind| !covers(&new.0, &new.1, kind));
        if self.0.len() >= MAX_KINDS {
            self.0.remove(0);
        }
        self.0.push(new);
    }

    /// Whether any upstream of the service ever had the capacity for `demand`.
    pub(in crate::scheduler) fn has_room_for(&self, service: &str, demand: &Resources) -> bool {
        let mut kinds = self.0.iter().filter(|(of, _)| &**of == service);
        kinds.any(|(_, capacity)| demand.fits_in(capacity))
    }
}
