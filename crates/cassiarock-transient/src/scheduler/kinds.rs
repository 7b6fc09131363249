//! The kinds of upstream that an entry has known.

use crate::Resources;
use crate::message::Upstream;
use cassiarock_id::Name;

/// Kinds that are remembered; a deployment has some five, and each may be there at several
/// levels of room.
const KINDS: usize = 64;

/// Services and the room of their upstreams, the newest kind last. It guards against calling a
/// job impossible because the upstreams that it fits are away: callers take that for a fault
/// of their own and do not come back.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds(Vec<(Name, Resources)>);

impl Kinds {
    pub(super) fn add(&mut self, upstream: &Upstream) {
        let is_same =
            |kind: &(Name, Resources)| kind.0 == upstream.service && kind.1 == upstream.capacity;
        self.0.retain(|kind| !is_same(kind));
        if self.0.len() >= KINDS {
            self.0.remove(0);
        }
        self.0.push((upstream.service.clone(), upstream.capacity));
    }

    /// Whether any upstream of the service ever had so much room.
    pub(super) fn fit(&self, service: &str, demand: &Resources) -> bool {
        let mut kinds = self.0.iter().filter(|(of, _)| &**of == service);
        kinds.any(|(_, room)| demand.fits_in(room))
    }
}
