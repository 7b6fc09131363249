//! A planned shutdown: finishes the running tasks, hands claims and ledger over to other
//! agents, and announces the end on the log.

use crate::actor::{Handover, Input};
use crate::announce;
use cassiarock_id::Process;
use cassiarock_peer::{Dialer, Event, Identity, Key};
use cassiarock_platform::{Follower, Log};
use cassiarock_process::Status;
use cassiarock_rule::membership::Standing;
use cassiarock_wire::{Frame, HandOver};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// How long another agent may take to accept a handover. A round trip takes about a
/// millisecond; an agent that needs longer is excluded, and another one is asked.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait for the last frames to be written to the sockets.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// How long an operator's order to leave can be cancelled. The agent stays for this time also
/// to reject the starts of entries that learn of the order late, which would otherwise get no
/// answer.
const ORDER_CANCEL_WINDOW: Duration = Duration::from_secs(10);

/// How often a handover is tried. An attempt fails only if the membership changed in the few
/// milliseconds between the handover and its announcement, or if a successor is leaving too.
const MAX_ATTEMPTS: usize = 8;

/// Waits until the membership says that this agent has to leave: an operator ordered it, or it
/// was removed while it was paused or cut off. A removed agent may no longer act under its old
/// identity and has to be restarted.
pub(crate) async fn ordered_to_leave(follower: &Follower, me: &Process) {
    let mut status = follower.subscribe();
    let ordered = status.wait_for(|status| {
        matches!(
            announce::standing(status, me),
            Standing::Leaving | Standing::Departed
        )
    });
    if ordered.await.is_err() {
        // The follower runs as long as this process.
        std::future::pending::<()>().await;
    }
}

/// Waits until the upstream reports that it is about to shut down.
pub(crate) async fn upstream_leaving(mut leaving: watch::Receiver<bool>) {
    if leaving.wait_for(|leaving| *leaving).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until an order can no longer be cancelled: `ORDER_CANCEL_WINDOW` has passed and all
/// tasks have ended, or the agent was removed.
pub(crate) async fn order_is_final(
    follower: &Follower,
    me: &Process,
    status: watch::Receiver<Status>,
) {
    let mut known = follower.subscribe();
    let departed = known.wait_for(|known| announce::standing(known, me) == Standing::Departed);
    tokio::select! {
        _ = departed => {}
        () = async {
            tokio::time::sleep(ORDER_CANCEL_WINDOW).await;
            wait_until_idle(status).await;
        } => {}
    }
}

/// Waits until the order to leave is cancelled.
pub(crate) async fn order_cancelled(follower: &Follower, me: &Process) {
    let mut known = follower.subscribe();
    let active = known.wait_for(|known| announce::standing(known, me) == Standing::Active);
    if active.await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until no task waits or runs here.
pub(crate) async fn wait_until_idle(mut status: watch::Receiver<Status>) {
    // An error means that the actor has ended, and all tasks with it.
    let _ = status
        .wait_for(|now| now.leaving && now.waiting + now.running == 0)
        .await;
    tokio::time::sleep(FLUSH_TIME).await;
}

/// What a leaving agent needs to hand its claims and ledger over.
pub(crate) struct HandoverContext<'a> {
    pub(crate) inputs: &'a mpsc::Sender<Input>,
    pub(crate) log: &'a Log,
    pub(crate) follower: &'a Follower,
    pub(crate) me: &'a Identity,
    pub(crate) key: &'a Key,
}

impl HandoverContext<'_> {
    /// Hands claims and ledger over to the agents that need them next, and announces it on the
    /// log.
    pub(crate) async fn hand_over(&self) {
        announce::wait_for_turn(self.follower).await;
        let mut excluded = BTreeSet::new();
        for _ in 0..MAX_ATTEMPTS {
            let Some(handover) = self.records(excluded.clone()).await else {
                return;
            };
            let version = handover.version;
            let missing = self.deliver_all(handover).await;
            if !missing.is_empty() {
                excluded.extend(missing);
                continue;
            }
            let me = &self.me.process;
            if announce::leave(self.log, self.follower, me, version).await {
                return;
            }
        }
        log::warn!(agent:% = self.me.process; "left without a confirmed handover");
    }

    async fn records(&self, excluded: BTreeSet<Process>) -> Option<Handover> {
        let (reply, records) = oneshot::channel();
        let input = Input::HandOver(excluded, reply);
        self.inputs.send(input).await.ok()?;
        records.await.ok()
    }

    /// Delivers the records to all successors; returns those that did not accept them.
    async fn deliver_all(&self, handover: Handover) -> Vec<Process> {
        let deliveries = handover.records.into_iter().map(|(agent, records)| {
            let address = self.address(&agent);
            let (me, key) = (self.me.clone(), self.key.clone());
            tokio::spawn(async move {
                let taken = deliver(address, agent.clone(), records, me, key).await;
                (agent, taken)
            })
        });
        let deliveries: Vec<_> = deliveries.collect();
        let count = deliveries.len();
        let mut missing = Vec::new();
        for delivery in deliveries {
            if let Ok((agent, false)) = delivery.await {
                missing.push(agent);
            }
        }
        log::info!(agents = count, missing = missing.len(); "handed over");
        missing
    }

    fn address(&self, agent: &Process) -> Option<SocketAddr> {
        let state = self.follower.status().state?;
        let member = state.membership.members.get(&agent.name)?;
        Some(member.address)
    }
}

/// Delivers records to one agent and waits for its receipt. Returns whether it accepted them.
async fn deliver(
    address: Option<SocketAddr>,
    agent: Process,
    records: HandOver,
    me: Identity,
    key: Key,
) -> bool {
    let Some(address) = address else {
        return false;
    };
    let (events, mut seen) = mpsc::channel(16);
    let _dialer = Dialer::new(address, Some(agent), me, key, events);
    let taken = async {
        // Dropping the link's sender would close the link and lose the receipt.
        let mut _open = None;
        while let Some(event) = seen.recv().await {
            match event {
                Event::Up(link) => {
                    let _ = link.send(Frame::HandOver(records.clone()));
                    _open = Some(link);
                }
                Event::Frame(_, Frame::TakenOver(taken)) => return taken.accepted,
                _ => {}
            }
        }
        false
    };
    timeout(DELIVERY_TIMEOUT, taken).await.unwrap_or(false)
}
