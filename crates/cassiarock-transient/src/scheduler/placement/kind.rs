//! The kind of an upstream, for deployments whose upstreams are of several speeds.

use crate::message::Upstream;
use crate::scheduler::Scheduler;
use cassiarock_id::Name;
use std::collections::BTreeMap;

/// The most kinds that are told apart. A deployment has some five.
pub(super) const MAX_KINDS: usize = 32;

/// A label tells the kind if one in at most this many upstreams of the same capacity has it. The
/// others tell the rack or the upstream itself.
const MIN_SHARE_DIVISOR: usize = 4;

/// The most labels of an upstream that are looked at.
const MAX_LABELS: usize = 16;

/// A label longer than this tells no kind.
const MAX_LABEL_LENGTH: usize = 64;

/// The service and the capacity, by which upstreams are compared.
fn size(upstream: &Upstream) -> String {
    let capacity = &upstream.capacity;
    format!("{} {}/{}", upstream.service, capacity.cpu, capacity.memory)
}

fn labels(upstream: &Upstream) -> impl Iterator<Item = &Name> {
    let labels = upstream.labels.iter().take(MAX_LABELS);
    labels.filter(|label| label.len() <= MAX_LABEL_LENGTH)
}

/// The kind of each of these upstreams: service, capacity, and the labels that tell the kind.
fn kinds(upstreams: &[&Upstream]) -> Vec<Name> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let mut labelled: BTreeMap<(String, &Name), usize> = BTreeMap::new();
    for upstream in upstreams {
        *counts.entry(size(upstream)).or_default() += 1;
        for label in labels(upstream) {
            *labelled.entry((size(upstream), label)).or_default() += 1;
        }
    }
    let kind = |upstream: &&Upstream| {
        let size = size(upstream);
        let all = counts.get(&size).copied().unwrap_or_default();
        let is_common = |label: &&Name| {
            let having = labelled.get(&(size.clone(), *label));
            having.copied().unwrap_or_default() * MIN_SHARE_DIVISOR >= all
        };
        let mut common: Vec<&str> = labels(upstream).filter(is_common).map(|l| &**l).collect();
        common.sort_unstable();
        common.dedup();
        format!("{size} {}", common.join(",")).into()
    };
    upstreams.iter().map(kind).collect()
}

/// Whether upstreams of the kind belong to the service. All do while no kind is told.
pub(super) fn is_of_service(kind: &str, service: &str) -> bool {
    let rest = kind.strip_prefix(service);
    kind.is_empty() || rest.is_some_and(|rest| rest.starts_with(' '))
}

impl Scheduler {
    /// Tells the kind of each agent's upstream anew, after the upstream of one has changed.
    pub(in crate::scheduler) fn update_kinds(&mut self) {
        if !self.mechanisms.kinds {
            return;
        }
        let agents = self.agents.values_mut();
        let mut present: Vec<_> = agents
            .filter_map(|agent| Some((agent.upstream.as_ref()?, &mut agent.kind)))
            .collect();
        let upstreams: Vec<&Upstream> = present.iter().map(|(upstream, _)| *upstream).collect();
        for ((_, own), kind) in present.iter_mut().zip(kinds(&upstreams)) {
            **own = kind;
        }
    }
}
