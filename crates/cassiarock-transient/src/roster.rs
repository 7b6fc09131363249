//! Chooses the entries that an agent or another entry keeps links to.
//!
//! This limits the load of the links themselves: each link carries a heartbeat in each direction
//! every 100 ms unless other messages are sent. When each agent was linked to each of 64 entries,
//! heartbeats took three fifths of an entry's processor share and a third of an agent's, and both
//! grew with the number of VMs. So each agent links to a few entries only, in an order of its own,
//! and an entry has the same number of agents at any size of the system.
//!
//! Half of an agent's links go to entries in its own data centre, if there are enough. Otherwise
//! the traffic of orders, results and heartbeats between data centres, and their delay, would grow
//! with the number of data centres. The other half balances the load and keeps the agent reachable
//! if its data centre loses its entries.

use cassiarock_id::{Name, Process};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of entries that an entry dials. Each entry reaches all others over a few such links in
/// turn, at any number of entries. They carry configurations and operators' orders that the store
/// does not deliver.
pub const LINKS_PER_ENTRY: usize = 3;

/// Number of entries that an agent links to; with this many entries or fewer it links to all. With
/// four agents per entry, as at the users' sites, an entry has 48 agents; one that happens to have
/// half of that still has capacity for 200 tasks.
pub const LINKS_PER_AGENT: usize = 12;

/// Maximum number of known addresses; the system is designed for some 600 entries.
const MAX_ENTRIES: usize = 4_096;

/// Maximum number of concurrent failing dials. Without it an agent that is cut off from all entries
/// would dial every address that it knows.
const MAX_FAILING_DIALS: usize = 32;

/// How long a dialled entry counts as about to be linked: a restarted entry is back within this
/// time.
const DIAL_GRACE: Duration = Duration::from_secs(1);

/// How long a surplus link is kept. While entries are replaced one after the other, each change of
/// links would cost more than keeping the link.
const SURPLUS_RETENTION: Duration = Duration::from_secs(10);

/// How long a link stays open after its entry was told to place nothing more: by then all that the
/// entry sent before it read that message has arrived.
const RETIRE_DELAY: Duration = Duration::from_secs(1);

/// The interval between two checks of all entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A change to the links that the caller has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkAction {
    /// Dial the entry at this address until it is linked, and keep the link.
    Dial(SocketAddr),
    /// Close the link to this address, or stop dialling it.
    Drop(SocketAddr),
    /// Tell the entry to place no more tasks here.
    Retire(Process),
    /// Tell the entry that it may place tasks here again.
    Resume(Process),
}

/// The entries that a process knows, and the state of its links to them.
#[derive(Clone, Debug)]
pub struct Roster {
    owner: Name,
    /// The target number of links.
    links: usize,
    entries: BTreeMap<Rank, Entry>,
    ranks: BTreeMap<SocketAddr, Rank>,
    last_check: Option<Duration>,
}

/// The position of an entry in the order of one agent. The order differs between agents, so that
/// links spread evenly over entries, and survives restarts of the agent, so that links stay.
type Rank = (u64, SocketAddr);

/// A known entry and the state of the link to it.
#[derive(Clone, Debug)]
struct Entry {
    /// Whether the entry is known to be in the agent's own data centre.
    is_near: bool,
    state: LinkState,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum LinkState {
    /// Neither linked nor dialled.
    Idle,
    /// Being dialled since this time.
    Dialling(Duration),
    Linked {
        entry: Process,
        serial: u64,
        /// Since when it has not been among the selected entries.
        surplus: Option<Duration>,
        /// When the entry was told to place no more tasks.
        retired: Option<Duration>,
    },
}

impl Roster {
    /// An empty roster for the process with this name.
    ///
    /// ```
    /// use cassiarock_transient::roster::{LinkAction, Roster};
    /// use std::time::Duration;
    /// let mut roster = Roster::new("agent-1");
    /// let address = "10.0.0.1:7000".parse()?;
    /// assert!(roster.add(address, true));
    /// let actions = roster.poll(Duration::ZERO, |_| false);
    /// assert_eq!(actions, [LinkAction::Dial(address)]);
    /// # Ok::<_, std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn new(owner: impl Into<Name>) -> Self {
        Self {
            owner: owner.into(),
            links: LINKS_PER_AGENT,
            entries: BTreeMap::new(),
            ranks: BTreeMap::new(),
            last_check: None,
        }
    }

    /// Sets the target number of links.
    #[must_use]
    pub fn with_links(self, links: usize) -> Self {
        Self { links, ..self }
    }

    /// Adds an entry that accepts links at `address`. `is_near` says whether it is known to be in
    /// the agent's own data centre. Returns whether the address is new; false also if too many
    /// addresses are known.
    pub fn add(&mut self, address: SocketAddr, is_near: bool) -> bool {
        let rank = self.ranks.get(&address);
        if let Some(entry) = rank.and_then(|rank| self.entries.get_mut(rank)) {
            entry.is_near |= is_near;
            return false;
        }
        if self.ranks.len() >= MAX_ENTRIES {
            return false;
        }
        let mut hasher = DefaultHasher::new();
        (&self.owner, address).hash(&mut hasher);
        let rank = (hasher.finish(), address);
        self.ranks.insert(address, rank);
        let state = LinkState::Idle;
        self.entries.insert(rank, Entry { is_near, state });
        self.last_check = None;
        true
    }

    /// Removes an entry that has been gone for long. An entry that is linked is alive and stays.
    pub fn remove(&mut self, address: SocketAddr) -> Option<LinkAction> {
        let rank = self.ranks.get(&address)?;
        let entry = self.entries.get(rank);
        if entry.is_some_and(|entry| matches!(entry.state, LinkState::Linked { .. })) {
            return None;
        }
        let removed = self.entries.remove(rank);
        self.ranks.remove(&address);
        let is_dialled = removed.is_some_and(|removed| removed.state != LinkState::Idle);
        is_dialled.then_some(LinkAction::Drop(address))
    }

    /// Records that the dialled link with this serial number is open. If its dial has been given up
    /// meanwhile, the link is about to close and is not redialled.
    pub fn link_opened(&mut self, address: SocketAddr, entry: Process, serial: u64) {
        let rank = self.ranks.get(&address);
        let known = rank.and_then(|rank| self.entries.get_mut(rank));
        if let Some(Entry { state, .. }) = known
            && matches!(state, LinkState::Dialling(_))
        {
            *state = LinkState::Linked {
                entry,
                serial,
                surplus: None,
                retired: None,
            };
        }
    }

    /// Records that the link with this serial number has closed; the caller redials it.
    pub fn link_closed(&mut self, closed: u64, now: Duration) {
        for Entry { state, .. } in self.entries.values_mut() {
            if matches!(state, LinkState::Linked { serial, .. } if *serial == closed) {
                *state = LinkState::Dialling(now);
                self.last_check = None;
            }
        }
    }

    /// Returns the due link changes; checks at most every 250 ms. `has_tasks` says whether an entry
    /// has tasks on this agent.
    pub fn poll(&mut self, now: Duration, has_tasks: impl Fn(&Process) -> bool) -> Vec<LinkAction> {
        if self.last_check.is_some_and(|at| now < at + CHECK_INTERVAL) {
            return Vec::new();
        }
        self.last_check = Some(now);
        let wanted = self.wanted(now);
        let mut actions = Vec::new();
        for (rank, entry) in &mut self.entries {
            let (_, address) = *rank;
            let action = if wanted.contains(rank) {
                keep_linked(address, &mut entry.state, now)
            } else {
                release(address, &mut entry.state, now, &has_tasks)
            };
            actions.extend(action);
        }
        actions
    }

    /// Selects the entries to link to: near ones up to half of the links, then any by rank.
    fn wanted(&self, now: Duration) -> BTreeSet<Rank> {
        let mut wanted = Selection::default();
        let near = self.entries.iter().filter(|(_, entry)| entry.is_near);
        wanted.fill(self.links / 2, near, now);
        wanted.fill(self.links, self.entries.iter(), now);
        wanted.ranks
    }
}

/// The entries selected so far.
#[derive(Debug, Default)]
struct Selection {
    ranks: BTreeSet<Rank>,
    /// The number of selected entries that are linked or about to be.
    healthy: usize,
    /// The number of selected entries whose dials have been failing for some time.
    failing: usize,
}

impl Selection {
    /// Selects entries in order until `most` healthy ones are selected. Further ones replace
    /// failing ones.
    fn fill<'a>(
        &mut self,
        most: usize,
        entries: impl Iterator<Item = (&'a Rank, &'a Entry)>,
        now: Duration,
    ) {
        for (rank, entry) in entries {
            if self.healthy >= most || self.failing >= MAX_FAILING_DIALS {
                return;
            }
            if !self.ranks.insert(*rank) {
                continue;
            }
            if is_failing(&entry.state, now) {
                self.failing += 1;
            } else {
                self.healthy += 1;
            }
        }
    }
}

/// Whether dialling has failed for so long that another entry is needed.
fn is_failing(state: &LinkState, now: Duration) -> bool {
    matches!(state, LinkState::Dialling(since) if now >= *since + DIAL_GRACE)
}

/// Dials a selected entry, or resumes it if it was retired.
fn keep_linked(address: SocketAddr, state: &mut LinkState, now: Duration) -> Option<LinkAction> {
    match state {
        LinkState::Idle => {
            *state = LinkState::Dialling(now);
            Some(LinkAction::Dial(address))
        }
        LinkState::Dialling(_) => None,
        LinkState::Linked {
            entry,
            surplus,
            retired,
            ..
        } => {
            *surplus = None;
            retired.take().map(|_| LinkAction::Resume(entry.clone()))
        }
    }
}

/// Stops dialling an entry that is not selected. Its link is first kept as surplus, then retired,
/// then closed once the entry has no tasks here.
fn release(
    address: SocketAddr,
    state: &mut LinkState,
    now: Duration,
    has_tasks: impl Fn(&Process) -> bool,
) -> Option<LinkAction> {
    match state {
        LinkState::Idle => None,
        LinkState::Dialling(_) => {
            *state = LinkState::Idle;
            Some(LinkAction::Drop(address))
        }
        LinkState::Linked {
            entry,
            surplus,
            retired,
            ..
        } => {
            let since = *surplus.get_or_insert(now);
            match *retired {
                None if now >= since + SURPLUS_RETENTION => {
                    *retired = Some(now);
                    Some(LinkAction::Retire(entry.clone()))
                }
                Some(retired_at) if now >= retired_at + RETIRE_DELAY && !has_tasks(entry) => {
                    *state = LinkState::Idle;
                    Some(LinkAction::Drop(address))
                }
                _ => None,
            }
        }
    }
}
