//! Which entries an agent links to, and which others an entry.
//!
//! The load that this answers is that of the links themselves: each takes a heartbeat each way
//! every 100 ms where nothing else is said. Where each agent was linked to each of 64 entries,
//! an entry spent three fifths of its processor share and an agent a third of its own, and
//! both grew with the number of VMs. Each agent links to a few entries instead, in an order of
//! its own, so that an entry has the same number of agents at any size of the system.
//!
//! Half of them are in its own data centre, if there are so many: what orders, ends and heartbeats
//! weigh between data centres, and how long they take, would else grow with the number of data
//! centres. The other half level the load and bear the loss of a data centre.

use cassiarock_id::{Name, Process};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Links of an entry to others: all are reached over few of them in turn, at any number of
/// entries. They carry configurations and operators' orders where the store brings none.
pub const LINKS_PER_ENTRY: usize = 3;

/// Links of an agent. Up to so many entries are all linked. With four agents to an entry, as
/// at the users' sites, an entry has 48 agents; one that has by chance half of that still has
/// room for 200 tasks.
pub const LINKS_PER_AGENT: usize = 12;

/// Addresses that are remembered; the aim is some 600 entries.
const ENTRIES: usize = 4_096;

/// Dials that may fail at a time. An agent that is cut off from all entries would otherwise
/// dial all that it knows.
const FAILING: usize = 32;

/// How long a dial counts as a link to come: a restarted entry is back within it.
const FRESH: Duration = Duration::from_secs(1);

/// How long a link is kept beyond the wanted ones: while one entry after the other is
/// replaced, each change of links would cost more than the links.
const SURPLUS: Duration = Duration::from_secs(10);

/// How long a link is kept on which the entry has been told to place nothing more: what it
/// sent before it read that has come.
const RETIRING: Duration = Duration::from_secs(1);

/// The pause between two looks at all entries.
const CHECK: Duration = Duration::from_millis(250);

/// What is to be done about an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkAction {
    /// Keep a link to the entry at this address.
    Dial(SocketAddr),
    /// Keep none any more.
    Drop(SocketAddr),
    /// Tell the entry that it gets no more room here.
    Retire(Process),
    /// Tell it that it does again.
    Resume(Process),
}

/// The entries that a process knows, and its links to some of them.
#[derive(Clone, Debug)]
pub struct Roster {
    owner: Name,
    /// How many links are wanted.
    links: usize,
    entries: BTreeMap<Rank, Entry>,
    ranks: BTreeMap<SocketAddr, Rank>,
    checked: Option<Duration>,
}

/// The place of an entry in the agent's own order. Each agent has another one, so that the
/// links of all spread evenly; and the same one in each life, so that they stay.
type Rank = (u64, SocketAddr);

/// An entry, as an agent knows it.
#[derive(Clone, Debug)]
struct Entry {
    /// Whether it is in the agent's own data centre, as far as is known.
    is_near: bool,
    seat: Seat,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Seat {
    /// Not dialled.
    Known,
    /// Dialled since then.
    Dialled(Duration),
    Linked {
        entry: Process,
        serial: u64,
        /// Since when it has not been among the wanted ones.
        surplus: Option<Duration>,
        /// Since when the entry has been told to place nothing.
        retired: Option<Duration>,
    },
}

impl Roster {
    /// The roster of a process with this name, without entries.
    ///
    /// ```
    /// use cassiarock_transient::roster::{LinkAction, Roster};
    /// use std::time::Duration;
    /// let mut roster = Roster::new("agent-1");
    /// let address = "10.0.0.1:7000".parse()?;
    /// assert!(roster.add(address, true));
    /// let steps = roster.poll(Duration::ZERO, |_| false);
    /// assert_eq!(steps, [LinkAction::Dial(address)]);
    /// # Ok::<_, std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn new(owner: impl Into<Name>) -> Self {
        Self {
            owner: owner.into(),
            links: LINKS_PER_AGENT,
            entries: BTreeMap::new(),
            ranks: BTreeMap::new(),
            checked: None,
        }
    }

    /// The same with this many links.
    #[must_use]
    pub fn with_links(self, links: usize) -> Self {
        Self { links, ..self }
    }

    /// An entry takes links there, in the agent's own data centre or, as far as is known, not.
    /// Answers whether that is news; not if too many are known.
    pub fn add(&mut self, address: SocketAddr, is_near: bool) -> bool {
        let rank = self.ranks.get(&address);
        if let Some(entry) = rank.and_then(|rank| self.entries.get_mut(rank)) {
            entry.is_near |= is_near;
            return false;
        }
        if self.ranks.len() >= ENTRIES {
            return false;
        }
        let mut hasher = DefaultHasher::new();
        (&self.owner, address).hash(&mut hasher);
        let rank = (hasher.finish(), address);
        self.ranks.insert(address, rank);
        let seat = Seat::Known;
        self.entries.insert(rank, Entry { is_near, seat });
        self.checked = None;
        true
    }

    /// The entry there has been gone for long. One that is linked lives, whatever is said.
    pub fn remove(&mut self, address: SocketAddr) -> Option<LinkAction> {
        let rank = self.ranks.get(&address)?;
        let entry = self.entries.get(rank);
        if entry.is_some_and(|entry| matches!(entry.seat, Seat::Linked { .. })) {
            return None;
        }
        let was = self.entries.remove(rank);
        self.ranks.remove(&address);
        let is_dialled = was.is_some_and(|was| was.seat != Seat::Known);
        is_dialled.then_some(LinkAction::Drop(address))
    }

    /// The dialled link with this serial number is open. One whose dial has been given up
    /// meanwhile is about to end, and is not dialled again by itself.
    pub fn link_opened(&mut self, address: SocketAddr, entry: Process, serial: u64) {
        let rank = self.ranks.get(&address);
        let known = rank.and_then(|rank| self.entries.get_mut(rank));
        if let Some(Entry { seat, .. }) = known
            && matches!(seat, Seat::Dialled(_))
        {
            *seat = Seat::Linked {
                entry,
                serial,
                surplus: None,
                retired: None,
            };
        }
    }

    /// The link with this serial number is gone; it is being dialled again.
    pub fn link_closed(&mut self, gone: u64, now: Duration) {
        for Entry { seat, .. } in self.entries.values_mut() {
            if matches!(seat, Seat::Linked { serial, .. } if *serial == gone) {
                *seat = Seat::Dialled(now);
                self.checked = None;
            }
        }
    }

    /// What is to be done, at most each quarter of a second. `has_tasks` tells whether an entry
    /// has tasks here.
    pub fn poll(&mut self, now: Duration, has_tasks: impl Fn(&Process) -> bool) -> Vec<LinkAction> {
        if self.checked.is_some_and(|at| now < at + CHECK) {
            return Vec::new();
        }
        self.checked = Some(now);
        let wanted = self.wanted(now);
        let mut steps = Vec::new();
        for (rank, entry) in &mut self.entries {
            let (_, address) = *rank;
            let step = if wanted.contains(rank) {
                want(address, &mut entry.seat, now)
            } else {
                give_up(address, &mut entry.seat, now, &has_tasks)
            };
            steps.extend(step);
        }
        steps
    }

    /// The entries to be linked: near ones up to their share, then all by their ranks.
    fn wanted(&self, now: Duration) -> BTreeSet<Rank> {
        let mut wanted = Wanted::default();
        let near = self.entries.iter().filter(|(_, entry)| entry.is_near);
        wanted.fill(self.links / 2, near, now);
        wanted.fill(self.links, self.entries.iter(), now);
        wanted.ranks
    }
}

/// Entries to be linked, as they are picked.
#[derive(Debug, Default)]
struct Wanted {
    ranks: BTreeSet<Rank>,
    /// Of these, how many are linked or about to be.
    sound: usize,
    /// Of these, how many have not been linked for long.
    failing: usize,
}

impl Wanted {
    /// Picks the first of `entries` until so many are sound. Others stand in for failing ones.
    fn fill<'a>(
        &mut self,
        most: usize,
        entries: impl Iterator<Item = (&'a Rank, &'a Entry)>,
        now: Duration,
    ) {
        for (rank, entry) in entries {
            if self.sound >= most || self.failing >= FAILING {
                return;
            }
            if !self.ranks.insert(*rank) {
                continue;
            }
            if is_failing(&entry.seat, now) {
                self.failing += 1;
            } else {
                self.sound += 1;
            }
        }
    }
}

/// Whether the entry has not been linked for so long that another one is needed.
fn is_failing(seat: &Seat, now: Duration) -> bool {
    matches!(seat, Seat::Dialled(since) if now >= *since + FRESH)
}

/// The entry is among the wanted ones.
fn want(address: SocketAddr, seat: &mut Seat, now: Duration) -> Option<LinkAction> {
    match seat {
        Seat::Known => {
            *seat = Seat::Dialled(now);
            Some(LinkAction::Dial(address))
        }
        Seat::Dialled(_) => None,
        Seat::Linked {
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

/// There are enough entries without this one.
fn give_up(
    address: SocketAddr,
    seat: &mut Seat,
    now: Duration,
    has_tasks: impl Fn(&Process) -> bool,
) -> Option<LinkAction> {
    match seat {
        Seat::Known => None,
        Seat::Dialled(_) => {
            *seat = Seat::Known;
            Some(LinkAction::Drop(address))
        }
        Seat::Linked {
            entry,
            surplus,
            retired,
            ..
        } => {
            let since = *surplus.get_or_insert(now);
            match *retired {
                None if now >= since + SURPLUS => {
                    *retired = Some(now);
                    Some(LinkAction::Retire(entry.clone()))
                }
                Some(told) if now >= told + RETIRING && !has_tasks(entry) => {
                    *seat = Seat::Known;
                    Some(LinkAction::Drop(address))
                }
                _ => None,
            }
        }
    }
}
