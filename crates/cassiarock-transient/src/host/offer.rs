//! Offers free capacity to entries that request it.
//!
//! This matters in a nearly full system with several entries. Each entry orders only its own queue,
//! so freed capacity would go to whichever entry hears of it first, urgent or not. Entries
//! therefore send capacity requests for the job that they would place next. An agent holds freed
//! capacity for the most urgent request, and then for the next one if that entry declines.

use super::{Action, Host};
use crate::message::CapacityRequest;
use crate::{Decision, Resources};
use cassiarock_id::Process;
use std::time::Duration;

/// How long capacity is held for an entry: a round trip between data centres, plus the response
/// time of an entry that has a fraction of a core.
const HOLD_TIME: Duration = Duration::from_millis(10);

/// An entry that still waits repeats its request with each heartbeat, every 100 ms; an older
/// request has been met elsewhere.
const REQUEST_MAX_AGE: Duration = Duration::from_millis(150);

/// Free capacity that is held for an entry.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    to: Process,
    until: Duration,
    room: Resources,
}

impl Offer {
    fn is_open(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// A capacity request and the time it was received.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    request: CapacityRequest,
    received_at: Duration,
}

impl PendingRequest {
    /// Sort key; the lowest is served first, in the order in which each entry ranks its own jobs.
    fn rank(&self) -> (bool, bool, bool, u32, Duration) {
        let CapacityRequest {
            is_late,
            is_unstarted,
            has_waited,
            urgency,
            left,
            ..
        } = self.request;
        (
            is_late,
            is_unstarted,
            has_waited,
            urgency,
            self.received_at + left,
        )
    }

    fn fits(&self, free: &Resources, now: Duration) -> bool {
        now < self.received_at + REQUEST_MAX_AGE && self.request.demand.fits_in(free)
    }

    /// The part of `free` that the request can use.
    fn room(&self, free: &Resources) -> Resources {
        let CapacityRequest { demand, tasks, .. } = self.request;
        let tasks = free.count_of(&demand).min(u64::from(tasks));
        (0..tasks).fold(Resources::default(), |room, _| room.saturating_add(&demand))
    }
}

impl Host {
    /// Records what `entry` requests now, or `None` if it declines. Either one answers an open
    /// offer to it.
    pub(super) fn record_request(
        &mut self,
        entry: &Process,
        request: Option<CapacityRequest>,
        now: Duration,
    ) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.request = request.map(|request| PendingRequest {
                request,
                received_at: now,
            });
        }
        if self.is_offered(entry, now) {
            self.offer = None;
        }
    }

    /// Whether capacity is held for `entry`.
    pub(super) fn is_offered(&self, entry: &Process, now: Duration) -> bool {
        let offer = self.offer.as_ref();
        offer.is_some_and(|offer| offer.is_open(now) && offer.to == *entry)
    }

    /// Whether capacity is held for any entry.
    pub(super) fn has_offer(&self) -> bool {
        self.offer.is_some()
    }

    /// The capacity that `entry` may use: all that is free except what is held for another entry.
    pub(super) fn free_for(&self, entry: &Process, now: Duration) -> Resources {
        match &self.offer {
            Some(offer) if offer.is_open(now) && offer.to != *entry => {
                self.free().saturating_sub(&offer.room)
            }
            _ => self.free(),
        }.saturating_sub(&self.parked_demand())
    }

    pub(super) fn unheld(&self, entry: &Process, now: Duration) -> Resources {
        match &self.offer {
            Some(offer) if offer.is_open(now) && offer.to != *entry => {
                self.free().saturating_sub(&offer.room)
            }
            _ => self.free(),
        }
    }

    /// When the current offer expires.
    pub(super) fn offered_until(&self) -> Option<Duration> {
        self.offer.as_ref().map(|offer| offer.until)
    }

    /// Holds free capacity for the most urgent request and notifies its entry.
    pub(super) fn offer(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(entry) = self.hold(now, actions) {
            self.send_heartbeat(&entry, now, actions);
        }
    }

    /// Holds free capacity for the most urgent request. Returns the entry to notify; `None` if
    /// capacity is held already or no request fits.
    pub(super) fn hold(&mut self, now: Duration, actions: &mut Vec<Action>) -> Option<Process> {
        match self.offer.take() {
            Some(offer) if offer.is_open(now) => {
                self.offer = Some(offer);
                return None;
            }
            // The entry has not answered the offer: its request is dropped until it sends a new
            // one.
            Some(offer) => {
                let decision = Decision::new("offer lapsed", "", "").with("to", &offer.to);
                actions.push(Action::Log(decision));
                if let Some(state) = self.entries.get_mut(&offer.to) {
                    state.request = None;
                }
            }
            None => {}
        }
        if !self.is_open(now) {
            return None;
        }
        let free = self.free().saturating_sub(&self.parked_demand());
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, state)| state.is_linked && !state.is_retired);
        let requests = entries.filter_map(|(entry, state)| Some((entry, state.request.as_ref()?)));
        let own = super::shares::knob("OFFER", 1.0) > 0.0;
        let free_for = |entry: &Process| if own { free.saturating_sub(&self.told_within(entry, super::shares::knob("STEAL_MS", 3.0), now)) } else { free };
        let fit = requests.filter(|(entry, pending)| pending.fits(&free_for(entry), now));
        let (entry, pending) = fit.min_by_key(|(_, pending)| pending.rank())?;
        let (to, room) = (entry.clone(), pending.room(&free_for(entry)));
        let decision = Decision::new("offered", "", "")
            .with("to", &to)
            .with("urgency", pending.request.urgency)
            .with(
                "ask_age_ms",
                now.saturating_sub(pending.received_at).as_millis(),
            )
            .with("free_cpu", free.cpu)
            .with("held_cpu", room.cpu);
        actions.push(Action::Log(decision));
        self.offer = Some(Offer {
            to: to.clone(),
            until: now + HOLD_TIME,
            room,
        });
        if super::shares::knob("REVOKE", 1.0) > 0.0 {
            self.revoke(&to, room, now, actions);
        }
        Some(to)
    }
}
