//! Which entries an agent links to.
//!
//! The load that this answers is that of the links themselves: each takes a heartbeat each way
//! every 100 ms where nothing else is said. Where each agent was linked to each of 64 entries,
//! an entry spent three fifths of its processor share and an agent a third of its own, and
//! both grew with the number of VMs. Each agent links to a few entries instead, in an order of
//! its own, so that an entry has the same number of agents at any size of the system.

use cassiarock_id::{Name, Process};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Links of an agent. Up to so many entries are all linked. With four agents to an entry, as
/// at the users' sites, an entry has 48 agents; one that has by chance half of that still has
/// room for 200 tasks.
pub const LINKS: usize = 12;

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
pub enum Step {
    /// Keep a link to the entry at this address.
    Dial(SocketAddr),
    /// Keep none any more.
    Drop(SocketAddr),
    /// Tell the entry that it gets no more room here.
    Retire(Process),
    /// Tell it that it does again.
    Resume(Process),
}

/// The entries that an agent knows, and its links to some of them.
#[derive(Clone, Debug)]
pub struct Roster {
    agent: Name,
    entries: BTreeMap<Rank, Seat>,
    ranks: BTreeMap<SocketAddr, Rank>,
    checked: Option<Duration>,
}

/// The place of an entry in the agent's own order. Each agent has another one, so that the
/// links of all spread evenly; and the same one in each life, so that they stay.
type Rank = (u64, SocketAddr);

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
    /// The roster of an agent with this name, without entries.
    ///
    /// ```
    /// use cassiarock_transient::roster::{Roster, Step};
    /// use std::time::Duration;
    /// let mut roster = Roster::new("agent-1");
    /// let address = "10.0.0.1:7000".parse()?;
    /// assert!(roster.tell(address));
    /// let steps = roster.poll(Duration::ZERO, |_| false);
    /// assert_eq!(steps, [Step::Dial(address)]);
    /// # Ok::<_, std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn new(agent: impl Into<Name>) -> Self {
        Self {
            agent: agent.into(),
            entries: BTreeMap::new(),
            ranks: BTreeMap::new(),
            checked: None,
        }
    }

    /// An entry takes links there. Answers whether that is news; not if too many are known.
    pub fn tell(&mut self, address: SocketAddr) -> bool {
        if self.ranks.contains_key(&address) || self.ranks.len() >= ENTRIES {
            return false;
        }
        let mut hasher = DefaultHasher::new();
        (&self.agent, address).hash(&mut hasher);
        let rank = (hasher.finish(), address);
        self.ranks.insert(address, rank);
        self.entries.insert(rank, Seat::Known);
        self.checked = None;
        true
    }

    /// The entry there has been gone for long. One that is linked lives, whatever is said.
    pub fn forget(&mut self, address: SocketAddr) -> Option<Step> {
        let rank = self.ranks.get(&address)?;
        if matches!(self.entries.get(rank), Some(Seat::Linked { .. })) {
            return None;
        }
        let was = self.entries.remove(rank);
        self.ranks.remove(&address);
        (was != Some(Seat::Known)).then_some(Step::Drop(address))
    }

    /// The dialled link with this serial number is open. One whose dial has been given up
    /// meanwhile is about to end, and is not dialled again by itself.
    pub fn up(&mut self, address: SocketAddr, entry: Process, serial: u64) {
        let rank = self.ranks.get(&address);
        let seat = rank.and_then(|rank| self.entries.get_mut(rank));
        if let Some(seat @ Seat::Dialled(_)) = seat {
            *seat = Seat::Linked {
                entry,
                serial,
                surplus: None,
                retired: None,
            };
        }
    }

    /// The link with this serial number is gone; it is being dialled again.
    pub fn down(&mut self, gone: u64, now: Duration) {
        for seat in self.entries.values_mut() {
            if matches!(seat, Seat::Linked { serial, .. } if *serial == gone) {
                *seat = Seat::Dialled(now);
                self.checked = None;
            }
        }
    }

    /// What is to be done, at most each quarter of a second. `has_tasks` tells whether an entry
    /// has tasks here.
    pub fn poll(&mut self, now: Duration, has_tasks: impl Fn(&Process) -> bool) -> Vec<Step> {
        if self.checked.is_some_and(|at| now < at + CHECK) {
            return Vec::new();
        }
        self.checked = Some(now);
        let mut steps = Vec::new();
        let (mut wanted, mut failing) = (0, 0);
        for ((_, address), seat) in &mut self.entries {
            let is_wanted = wanted < LINKS && failing < FAILING;
            if is_failing(seat, now) {
                failing += 1;
            } else {
                wanted += 1;
            }
            let step = if is_wanted {
                want(*address, seat, now)
            } else {
                give_up(*address, seat, now, &has_tasks)
            };
            steps.extend(step);
        }
        steps
    }
}

/// Whether the entry has not been linked for so long that another one is needed.
fn is_failing(seat: &Seat, now: Duration) -> bool {
    matches!(seat, Seat::Dialled(since) if now >= *since + FRESH)
}

/// The entry is among the wanted ones.
fn want(address: SocketAddr, seat: &mut Seat, now: Duration) -> Option<Step> {
    match seat {
        Seat::Known => {
            *seat = Seat::Dialled(now);
            Some(Step::Dial(address))
        }
        Seat::Dialled(_) => None,
        Seat::Linked {
            entry,
            surplus,
            retired,
            ..
        } => {
            *surplus = None;
            retired.take().map(|_| Step::Resume(entry.clone()))
        }
    }
}

/// There are enough entries without this one.
fn give_up(
    address: SocketAddr,
    seat: &mut Seat,
    now: Duration,
    has_tasks: impl Fn(&Process) -> bool,
) -> Option<Step> {
    match seat {
        Seat::Known => None,
        Seat::Dialled(_) => {
            *seat = Seat::Known;
            Some(Step::Drop(address))
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
                    Some(Step::Retire(entry.clone()))
                }
                Some(told) if now >= told + RETIRING && !has_tasks(entry) => {
                    *seat = Seat::Known;
                    Some(Step::Drop(address))
                }
                _ => None,
            }
        }
    }
}
