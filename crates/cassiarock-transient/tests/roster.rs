//! Tests of how agents and entries choose their links.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::Process;
use cassiarock_transient::roster::{LINKS_PER_AGENT, LINKS_PER_ENTRY, LinkAction, Roster};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(number: usize) -> SocketAddr {
    let (high, low) = (number / 250, number % 250);
    let byte = |part| u8::try_from(part).unwrap();
    SocketAddr::from(([10, 0, byte(high), byte(low)], 7_000))
}

/// An agent among entries that accept links unless they are down.
struct Harness {
    roster: Roster,
    now: Duration,
    linked: BTreeMap<SocketAddr, u64>,
    dialled: BTreeSet<SocketAddr>,
    down: BTreeSet<SocketAddr>,
    retired: BTreeSet<Process>,
    /// Entries with tasks on the agent.
    busy: BTreeSet<Process>,
    serial: u64,
}

impl Harness {
    fn new(agent: &str, entries: usize) -> Self {
        let mut harness = Self {
            roster: Roster::new(agent),
            now: Duration::ZERO,
            linked: BTreeMap::new(),
            dialled: BTreeSet::new(),
            down: BTreeSet::new(),
            retired: BTreeSet::new(),
            busy: BTreeSet::new(),
            serial: 0,
        };
        for number in 0..entries {
            harness.roster.add(address(number), false);
        }
        harness
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now += ms(50);
            let busy = self.busy.clone();
            for action in self.roster.poll(self.now, |entry| busy.contains(entry)) {
                self.apply(action);
            }
            let reached = self.dialled.iter().filter(|at| !self.down.contains(at));
            for at in reached.copied().collect::<Vec<_>>() {
                self.dialled.remove(&at);
                self.serial += 1;
                self.linked.insert(at, self.serial);
                self.roster.link_opened(at, process(at), self.serial);
            }
        }
    }

    fn apply(&mut self, action: LinkAction) {
        match action {
            LinkAction::Dial(at) => assert!(self.dialled.insert(at), "dialled once"),
            LinkAction::Drop(at) => {
                self.dialled.remove(&at);
                if self.linked.remove(&at).is_some() {
                    assert!(self.retired.remove(&process(at)), "told before");
                }
            }
            LinkAction::Retire(entry) => assert!(self.retired.insert(entry)),
            LinkAction::Resume(entry) => assert!(self.retired.remove(&entry)),
        }
    }

    /// Stops an entry; the agent dials it until it is back.
    fn stop_entry(&mut self, at: SocketAddr) {
        self.down.insert(at);
        if let Some(serial) = self.linked.remove(&at) {
            self.dialled.insert(at);
            self.retired.remove(&process(at));
            self.roster.link_closed(serial, self.now);
        }
    }
}

fn process(at: SocketAddr) -> Process {
    Process::new(at.to_string(), 1)
}

#[test]
fn an_agent_links_to_all_entries_of_a_small_system() {
    let mut harness = Harness::new("agent-1", LINKS_PER_AGENT);
    harness.advance(1_000);
    assert_eq!(harness.linked.len(), LINKS_PER_AGENT);
}

// In a system of 300 VMs each agent was linked to each entry. Heartbeats took all processor time of
// an entry, and none was left for callers.
#[test]
fn an_agent_links_to_a_few_entries_of_a_large_system() {
    let mut harness = Harness::new("agent-1", 64);
    harness.advance(20_000);
    assert_eq!(harness.linked.len(), LINKS_PER_AGENT);
    assert!(harness.dialled.is_empty());
}

// With few links per agent an entry could be left without any agent and would refuse every caller.
#[test]
fn the_links_of_all_agents_spread_over_all_entries() {
    let mut agents: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..240 {
        let mut harness = Harness::new(&format!("agent-{number}"), 64);
        harness.advance(1_000);
        for at in harness.linked.keys() {
            *agents.entry(*at).or_default() += 1;
        }
    }
    assert_eq!(agents.len(), 64);
    assert!(
        agents.values().all(|count| (20..80).contains(count)),
        "{agents:?}"
    );
}

#[test]
fn an_entry_that_is_gone_is_replaced_by_another() {
    let mut harness = Harness::new("agent-1", 64);
    harness.advance(1_000);
    let first = *harness.linked.keys().next().unwrap();
    harness.stop_entry(first);
    harness.advance(2_000);
    assert_eq!(harness.linked.len(), LINKS_PER_AGENT);
}

// An entry was away for a minute and all agents linked to others instead. When it was back no agent
// needed it, so it had no agents and refused its callers.
#[test]
fn an_entry_that_returns_after_a_long_absence_gets_its_agents_back() {
    let mut harness = Harness::new("agent-1", 64);
    harness.advance(1_000);
    let first = *harness.linked.keys().next().unwrap();
    harness.stop_entry(first);
    harness.advance(60_000);
    harness.down.remove(&first);
    harness.advance(1_000);
    assert!(harness.linked.contains_key(&first));
    harness.advance(20_000);
    assert_eq!(
        harness.linked.len(),
        LINKS_PER_AGENT,
        "the replacement is dropped"
    );
}

// An entry that is added to the system must not stay without agents either.
#[test]
fn an_added_entry_gets_its_share_of_agents() {
    let mut linked = 0;
    for number in 0..240 {
        let mut harness = Harness::new(&format!("agent-{number}"), 63);
        harness.advance(1_000);
        harness.roster.add(address(63), false);
        harness.advance(1_000);
        linked += usize::from(harness.linked.contains_key(&address(63)));
    }
    assert!((20..80).contains(&linked), "{linked} agents");
}

// When a link was closed, its entry had just placed a task there. The task was lost for more than a
// second and came too late.
#[test]
fn a_link_is_closed_only_after_its_entry_was_retired_and_has_no_tasks() {
    let mut harness = Harness::new("agent-1", 64);
    harness.advance(1_000);
    let all: Vec<SocketAddr> = harness.linked.keys().copied().collect();
    let first = all[0];
    harness.stop_entry(first);
    harness.advance(3_000);
    let new = harness.linked.keys().find(|at| !all.contains(at));
    let new = *new.unwrap();
    harness.busy.insert(process(new));
    harness.down.remove(&first);
    harness.advance(20_000);
    assert!(harness.retired.contains(&process(new)));
    assert!(harness.linked.contains_key(&new), "its task runs");
    harness.busy.clear();
    harness.advance(1_000);
    assert!(!harness.linked.contains_key(&new));
}

// Entries were restarted one after the other. Each time, agents linked to others and dropped these
// links again, and each change cost more than keeping the links.
#[test]
fn a_replacement_link_is_kept_for_a_while_after_a_restart() {
    let mut harness = Harness::new("agent-1", 64);
    harness.advance(1_000);
    let first = *harness.linked.keys().next().unwrap();
    harness.stop_entry(first);
    harness.advance(2_000);
    harness.down.remove(&first);
    harness.advance(5_000);
    assert_eq!(harness.linked.len(), LINKS_PER_AGENT + 1);
    assert!(harness.retired.is_empty());
}

#[test]
fn a_retired_link_that_is_needed_again_is_kept() {
    let mut harness = Harness::new("agent-1", 64);
    harness.advance(1_000);
    let all: Vec<SocketAddr> = harness.linked.keys().copied().collect();
    harness.stop_entry(all[0]);
    harness.advance(2_000);
    harness.down.remove(&all[0]);
    harness.advance(10_300);
    assert_eq!(harness.retired.len(), 1);
    harness.stop_entry(all[1]);
    harness.advance(1_300);
    assert!(harness.retired.is_empty());
    assert_eq!(harness.linked.len(), LINKS_PER_AGENT);
}

#[test]
fn an_agent_that_reaches_no_entry_limits_its_dials() {
    let mut harness = Harness::new("agent-1", 200);
    harness.down = (0..200).map(address).collect();
    harness.advance(60_000);
    assert!(harness.dialled.len() <= 50, "{}", harness.dialled.len());
    harness.down.clear();
    harness.advance(1_000);
    assert!(harness.linked.len() >= LINKS_PER_AGENT);
}

#[test]
fn an_address_is_removed_unless_it_is_linked() {
    let mut harness = Harness::new("agent-1", 2);
    harness.down.insert(address(0));
    harness.advance(1_000);
    assert_eq!(
        harness.roster.remove(address(0)),
        Some(LinkAction::Drop(address(0)))
    );
    assert_eq!(harness.roster.remove(address(1)), None);
    assert!(
        harness.roster.add(address(0), false),
        "a removed address is new again"
    );
    assert!(!harness.roster.add(address(1), false));
}

// A dial was given up just as its link opened. The agent counted the link as its own. When the link
// closed, the agent waited for a redial that never came, and the entry was never linked again.
#[test]
fn a_link_that_opens_after_its_dial_was_given_up_is_ignored() {
    let mut roster = Roster::new("agent-1");
    let at = address(1);
    roster.add(at, false);
    assert_eq!(roster.poll(ms(0), |_| false), [LinkAction::Dial(at)]);
    assert_eq!(roster.remove(at), Some(LinkAction::Drop(at)));
    roster.add(at, false);
    roster.link_opened(at, process(at), 1);
    roster.link_closed(1, ms(10));
    assert_eq!(roster.poll(ms(20), |_| false), [LinkAction::Dial(at)]);
}

/// Links agents in five data centres to entries, of which each data centre has this many. Returns
/// the number of links of each entry, the number of links within a data centre and the number of
/// all links.
fn link_all(agents: usize, entries: [usize; 5], lost: Option<usize>) -> (Vec<usize>, usize, usize) {
    let places: Vec<usize> = (0..5).flat_map(|at| vec![at; entries[at]]).collect();
    let (mut links, mut near, mut all) = (vec![0; places.len()], 0, 0);
    for number in 0..agents {
        let home = number % 5;
        let mut harness = Harness::new(&format!("agent-{number}"), 0);
        for (entry, at) in places.iter().enumerate() {
            harness.roster.add(address(entry), *at == home);
            if Some(*at) == lost {
                harness.down.insert(address(entry));
            }
        }
        harness.advance(4_000);
        for (entry, at) in places.iter().enumerate() {
            if harness.linked.contains_key(&address(entry)) {
                links[entry] += 1;
                all += 1;
                near += usize::from(*at == home);
            }
        }
    }
    (links, near, all)
}

// In a system of five data centres, four fifths of all orders and results crossed data centres.
#[test]
fn half_of_the_links_of_an_agent_stay_in_its_data_centre() {
    let (links, near, all) = link_all(200, [10, 8, 6, 7, 9], None);
    assert_eq!(all, 200 * LINKS_PER_AGENT);
    assert!(near * 2 >= all, "{near} of {all}");
    let mean = all / links.len();
    assert!(links.iter().all(|count| *count * 3 > mean), "{links:?}");
}

// A data centre lost all its entries, which had half of the links of its agents.
#[test]
fn agents_in_a_data_centre_without_entries_link_elsewhere() {
    let (links, _, all) = link_all(100, [10, 8, 6, 7, 9], Some(1));
    assert_eq!(all, 100 * LINKS_PER_AGENT);
    assert!(links[10..18].iter().all(|count| *count == 0));
    let (_, _, all) = link_all(20, [20, 0, 10, 10, 0], None);
    assert_eq!(all, 20 * LINKS_PER_AGENT);
}

// An entry was known by its address alone until the directory named its data centre.
#[test]
fn an_entry_found_to_be_near_is_preferred() {
    let mut harness = Harness::new("agent-1", 40);
    harness.advance(500);
    for number in 30..36 {
        harness.roster.add(address(number), true);
    }
    harness.advance(12_500);
    assert_eq!(harness.linked.len(), LINKS_PER_AGENT);
    let near = (30..36).filter(|number| harness.linked.contains_key(&address(*number)));
    assert_eq!(near.count(), 6);
}

/// The links between entries in three data centres: for each entry, the entries that it dials.
fn mesh(entries: usize) -> Vec<BTreeSet<usize>> {
    let dials = |owner: usize| {
        let mut roster = Roster::new(format!("entry-{owner}")).with_links(LINKS_PER_ENTRY);
        for other in (0..entries).filter(|other| *other != owner) {
            roster.add(address(other), other % 3 == owner % 3);
        }
        let actions = roster.poll(ms(0), |_| false);
        let dialled = actions.iter().map(|action| match action {
            LinkAction::Dial(at) => (0..entries).find(|other| address(*other) == *at).unwrap(),
            action => panic!("{action:?}"),
        });
        dialled.collect()
    };
    (0..entries).map(dials).collect()
}

/// The number of hops over links from one entry to the farthest one.
fn hops_to_all(mesh: &[BTreeSet<usize>]) -> usize {
    let mut reached = BTreeSet::from([0]);
    let mut hops = 0;
    while reached.len() < mesh.len() {
        let before = reached.clone();
        for (owner, dials) in mesh.iter().enumerate() {
            for other in dials {
                if before.contains(&owner) || before.contains(other) {
                    reached.extend([owner, *other]);
                }
            }
        }
        assert!(reached.len() > before.len(), "some entries are unreachable");
        hops += 1;
    }
    hops
}

// Each entry kept a link to each of the three seeds, which thus had a link to every other entry. In
// a fleet of 183, heartbeats took four fifths of the processor share of a small one.
#[test]
fn the_links_of_an_entry_do_not_grow_with_the_number_of_entries() {
    for entries in [55, 183, 600] {
        let mesh = mesh(entries);
        let dialled_by = |entry: usize| mesh.iter().filter(|dials| dials.contains(&entry)).count();
        let most = (0..entries)
            .map(|entry| LINKS_PER_ENTRY + dialled_by(entry))
            .max();
        assert!(most <= Some(20), "{most:?} links among {entries}");
        let hops = hops_to_all(&mesh);
        assert!(hops <= 6, "{hops} hops among {entries} entries");
    }
}
