//! Jobs that another entry owns: this entry attaches to the owner and passes its answer on.

use super::pending::{PendingJob, Plan, RemoteOwner, StopReason};
use super::{Action, State, Ticket, answer};
use cassiarock_caller::Answer;
use cassiarock_claim::Ballot;
use cassiarock_claim::owner::Event;
use cassiarock_id::{Job, Name, Process};
use cassiarock_process::Now;
use cassiarock_wire::{FinalAnswer, Frame};
use std::time::Duration;

/// How long a link with the owner may take to open. Longer than a handshake across regions,
/// shorter than callers wait.
const OWNER_LINK_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to look for the answer when a caller asks about a job of another entry.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Callers' questions about a job that is not pending at this entry.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) tickets: Vec<Ticket>,
    /// When the callers are answered with what is known.
    pub(super) until: Duration,
    /// Whether the owner was found and said that the job has no answer yet.
    pub(super) running: bool,
    pub(super) cancel: bool,
    pub(super) owner: Option<Process>,
}

impl Lookup {
    fn attach(&self, job: Job, owner: Process) -> Action {
        let frame = Frame::Attach {
            job,
            ballot: None,
            cancel: self.cancel,
        };
        Action::Send(owner, frame)
    }
}

impl State {
    /// A caller asks for a job's answer, waiting for at most `wait`.
    pub(crate) fn find(
        &mut self,
        job: Job,
        wait: Option<Duration>,
        ticket: Ticket,
        now: Now,
    ) -> Vec<Action> {
        if let Some((_, answer)) = self.answers.get(&job) {
            return vec![Action::Answer(ticket, answer.clone())];
        }
        match self.pending_jobs.get_mut(&job) {
            Some(pending) if wait.is_some() => {
                pending.waiting.push(ticket);
                Vec::new()
            }
            Some(_) => vec![Action::Answer(ticket, Answer::Running)],
            None => self.look_up(job, ticket, wait, false, now),
        }
    }

    /// Asks a job's keeper for the owner.
    pub(super) fn look_up(
        &mut self,
        job: Job,
        ticket: Ticket,
        wait: Option<Duration>,
        cancel: bool,
        now: Now,
    ) -> Vec<Action> {
        let keeper = self.views.view().and_then(|view| view.keeper(job)).cloned();
        let linked = keeper.filter(|keeper| self.agents.contains_key(keeper));
        let Some(keeper) = linked else {
            return vec![Action::Answer(ticket, Answer::Unknown)];
        };
        let until = now.up + wait.unwrap_or(LOOKUP_TIMEOUT);
        let lookup = self.lookups.entry(job).or_insert_with(|| Lookup {
            tickets: Vec::new(),
            until,
            running: false,
            cancel,
            owner: None,
        });
        lookup.tickets.push(ticket);
        lookup.until = lookup.until.max(until);
        lookup.cancel |= cancel;
        vec![Action::Send(keeper, Frame::Find(job))]
    }

    /// Handles the keeper's answer: the job's owner, or none if it knows none.
    pub(super) fn handle_found(
        &mut self,
        job: Job,
        owner: Option<(Process, Option<Name>)>,
    ) -> Vec<Action> {
        let Some(lookup) = self.lookups.get_mut(&job) else {
            return Vec::new();
        };
        let Some((owner, address)) = owner else {
            return self.end_lookup(job, &Answer::Unknown);
        };
        lookup.owner = Some(owner.clone());
        if self.entries.contains(&owner) {
            return vec![lookup.attach(job, owner)];
        }
        let dial = address.map(|address| Action::Dial(owner, address));
        dial.into_iter().collect()
    }

    /// Answers the lookups whose time is over with what is known.
    pub(super) fn expire_lookups(&mut self, now: Now) -> Vec<Action> {
        let late = self
            .lookups
            .iter()
            .filter(|(_, lookup)| lookup.until <= now.up);
        let late: Vec<(Job, bool)> = late.map(|(job, lookup)| (*job, lookup.running)).collect();
        let mut actions = Vec::new();
        for (job, running) in late {
            let answer = if running {
                Answer::Running
            } else {
                Answer::Unknown
            };
            actions.extend(self.end_lookup(job, &answer));
        }
        actions
    }

    /// Attaches to the entry with the higher attempt, which goes on with the job.
    pub(super) fn attach_to_owner(&mut self, job: Job, owner: Ballot, now: Now) -> Vec<Action> {
        let linked = self.entries.contains(&owner.entry);
        let Some(pending) = self.pending_jobs.get_mut(&job) else {
            return Vec::new();
        };
        let pool = pending.pool.clone();
        let cancel = pending.stopped == Some(StopReason::Cancelled);
        let address = pending.owner_address.clone();
        log::info!(job:% = job, owner:% = owner.entry; "attach");
        let entry = owner.entry.clone();
        let remote = RemoteOwner {
            owner,
            until: now.up + OWNER_LINK_TIMEOUT,
        };
        pending.remote_owner = Some(remote.clone());
        self.pool(&pool).withdraw(job);
        if linked {
            return vec![remote.attach(job, cancel)];
        }
        match address {
            Some(address) => vec![Action::Dial(entry, address)],
            // The keeper has no link with the owner either: the owner has ended.
            None => self.take_over(job, now),
        }
    }

    pub(super) fn set_owner_address(&mut self, job: Job, address: Option<Name>) {
        if let Some(pending) = self.pending_jobs.get_mut(&job) {
            pending.owner_address = address;
        }
    }

    pub(super) fn is_owner_link_overdue(&self, job: Job, now: Now) -> bool {
        let remote = self
            .pending_jobs
            .get(&job)
            .and_then(|pending| pending.remote_owner.as_ref());
        remote.is_some_and(|remote| {
            remote.until <= now.up && !self.entries.contains(&remote.owner.entry)
        })
    }

    /// Takes the job over, as its owner is unreachable or does not own it.
    pub(super) fn take_over(&mut self, job: Job, now: Now) -> Vec<Action> {
        let Some(pending) = self.pending_jobs.get_mut(&job) else {
            return Vec::new();
        };
        if pending.remote_owner.take().is_none() {
            return Vec::new();
        }
        metrics::counter!("cassiarock_entry_take_overs_total").increment(1);
        log::info!(job:% = job; "take over");
        self.step_owner(job, Event::OwnerLost, now)
    }

    /// A link with another entry opened: attaches to it for the jobs that it owns.
    pub(crate) fn link_entry(&mut self, entry: &Process) -> Vec<Action> {
        self.entries.insert(entry.clone());
        let pending_jobs = self.pending_jobs.iter();
        let attaches = pending_jobs.filter_map(|(job, pending)| {
            let remote = pending
                .remote_owner
                .as_ref()
                .filter(|remote| remote.owner.entry == *entry)?;
            Some(remote.attach(*job, pending.stopped == Some(StopReason::Cancelled)))
        });
        let lookups = self.lookups.iter();
        let lookups = lookups.filter(|(_, lookup)| lookup.owner.as_ref() == Some(entry));
        attaches
            .chain(lookups.map(|(job, lookup)| lookup.attach(*job, entry.clone())))
            .collect()
    }

    /// The link with another entry closed: takes over the jobs that it owned.
    pub(crate) fn unlink_entry(&mut self, entry: &Process, now: Now) -> Vec<Action> {
        self.entries.remove(entry);
        for pool in self.pools.values_mut() {
            pool.remove_entry(entry);
        }
        let pending_jobs = self
            .pending_jobs
            .iter()
            .filter(|(_, pending)| is_owned_by(pending, entry));
        let jobs: Vec<Job> = pending_jobs.map(|(job, _)| *job).collect();
        let mut actions = Vec::new();
        for job in jobs {
            actions.extend(self.take_over(job, now));
        }
        actions
    }

    /// Handles an attach: another entry asks for the answer of a job that may be owned here.
    pub(super) fn handle_attach(
        &mut self,
        entry: &Process,
        job: Job,
        ballot: Option<&Ballot>,
        cancel: bool,
        now: Now,
    ) -> Vec<Action> {
        if let Some((_, answer)) = self.answers.get(&job) {
            return vec![answer_frame(entry.clone(), job, answer)];
        }
        let none = FinalAnswer {
            job,
            owned: false,
            answer: None,
        };
        let Some(pending) = self.pending_jobs.get_mut(&job) else {
            return vec![Action::Send(entry.clone(), Frame::FinalAnswer(none))];
        };
        if !owns_attempt(pending, ballot) {
            return vec![Action::Send(entry.clone(), Frame::FinalAnswer(none))];
        }
        if !pending.attached.contains(entry) {
            pending.attached.push(entry.clone());
        }
        let running = FinalAnswer {
            job,
            owned: true,
            answer: None,
        };
        let mut actions = vec![Action::Send(entry.clone(), Frame::FinalAnswer(running))];
        if cancel {
            actions.extend(self.stop(job, StopReason::Cancelled, now));
        }
        actions
    }

    /// Handles what an entry says of a job: its answer, or whether it owns the job.
    pub(super) fn handle_whole(
        &mut self,
        from: &Process,
        whole: FinalAnswer,
        now: Now,
    ) -> Vec<Action> {
        let job = whole.job;
        let answer = whole.answer.as_deref().and_then(answer::decode);
        let mut actions = self.update_lookup(job, whole.owned, answer.as_ref());
        let Some(pending) = self.pending_jobs.get(&job) else {
            return actions;
        };
        if !is_owned_by(pending, from) {
            return actions;
        }
        match answer {
            Some(answer) => actions.extend(self.finish(job, answer, now)),
            None if whole.owned => {}
            None => actions.extend(self.take_over(job, now)),
        }
        actions
    }

    fn update_lookup(&mut self, job: Job, owned: bool, answer: Option<&Answer>) -> Vec<Action> {
        let Some(lookup) = self.lookups.get_mut(&job) else {
            return Vec::new();
        };
        match answer {
            Some(answer) => self.end_lookup(job, answer),
            None if owned => {
                lookup.running = true;
                Vec::new()
            }
            None => self.end_lookup(job, &Answer::Unknown),
        }
    }

    fn end_lookup(&mut self, job: Job, answer: &Answer) -> Vec<Action> {
        let Some(lookup) = self.lookups.remove(&job) else {
            return Vec::new();
        };
        let tickets = lookup.tickets.into_iter();
        tickets
            .map(|ticket| Action::Answer(ticket, answer.clone()))
            .collect()
    }
}

/// The frame that sends a final answer to an attached entry.
pub(super) fn answer_frame(entry: Process, job: Job, answer: &Answer) -> Action {
    let whole = FinalAnswer {
        job,
        owned: true,
        answer: answer::encode(answer),
    };
    Action::Send(entry, Frame::FinalAnswer(whole))
}

fn is_owned_by(pending: &PendingJob, entry: &Process) -> bool {
    let remote = pending.remote_owner.as_ref();
    remote.is_some_and(|remote| remote.owner.entry == *entry)
}

/// Whether this entry owns the attempt that an attaching entry names. Without this check two
/// entries could wait for each other over an attempt that neither has started.
fn owns_attempt(pending: &PendingJob, ballot: Option<&Ballot>) -> bool {
    match &pending.plan {
        Plan::Repeatable(_) => true,
        Plan::AtMostOnce(_) if pending.remote_owner.is_some() => false,
        Plan::AtMostOnce(owner) => ballot.is_none_or(|ballot| owner.holds(ballot)),
    }
}
