//! Jobs that another entry owns: this one attaches there and passes the answer on.

use super::work::{Follow, Plan, Stop, Work};
use super::{Action, State, Ticket, answer};
use cassiarock_caller::Answer;
use cassiarock_claim::Ballot;
use cassiarock_claim::owner::Event;
use cassiarock_id::{Job, Name, Process};
use cassiarock_process::Now;
use cassiarock_wire::{FinalAnswer, Frame};
use std::time::Duration;

/// How long a link with the owner may take to come about. Longer than a handshake across
/// regions, shorter than a caller's patience.
const LINK: Duration = Duration::from_secs(1);

/// How long a caller's question about a job of another entry is followed.
const LOOK_UP: Duration = Duration::from_secs(2);

/// A caller's question about a job that this entry has not taken in.
#[derive(Debug)]
pub(super) struct Follower {
    pub(super) tickets: Vec<Ticket>,
    /// When it is answered with what is known.
    pub(super) until: Duration,
    /// Whether the owner was found and said that the job has no answer yet.
    pub(super) running: bool,
    pub(super) cancel: bool,
    pub(super) owner: Option<Process>,
}

impl Follower {
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
        match self.works.get_mut(&job) {
            Some(work) if wait.is_some() => {
                work.waiting.push(ticket);
                Vec::new()
            }
            Some(_) => vec![Action::Answer(ticket, Answer::Running)],
            None => self.seek(job, ticket, wait, false, now),
        }
    }

    /// Looks for a job's owner by asking its keeper.
    pub(super) fn seek(
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
        let until = now.up + wait.unwrap_or(LOOK_UP);
        let follower = self.followers.entry(job).or_insert_with(|| Follower {
            tickets: Vec::new(),
            until,
            running: false,
            cancel,
            owner: None,
        });
        follower.tickets.push(ticket);
        follower.until = follower.until.max(until);
        follower.cancel |= cancel;
        vec![Action::Send(keeper, Frame::Find(job))]
    }

    /// The keeper names a job's owner, or knows none.
    pub(super) fn found(
        &mut self,
        job: Job,
        owner: Option<(Process, Option<Name>)>,
    ) -> Vec<Action> {
        let Some(follower) = self.followers.get_mut(&job) else {
            return Vec::new();
        };
        let Some((owner, address)) = owner else {
            return self.end_follower(job, &Answer::Unknown);
        };
        follower.owner = Some(owner.clone());
        if self.entries.contains(&owner) {
            return vec![follower.attach(job, owner)];
        }
        let dial = address.map(|address| Action::Dial(owner, address));
        dial.into_iter().collect()
    }

    pub(super) fn expire_followers(&mut self, now: Now) -> Vec<Action> {
        let late = self.followers.iter().filter(|(_, f)| f.until <= now.up);
        let late: Vec<(Job, bool)> = late.map(|(job, f)| (*job, f.running)).collect();
        let mut actions = Vec::new();
        for (job, running) in late {
            let answer = if running {
                Answer::Running
            } else {
                Answer::Unknown
            };
            actions.extend(self.end_follower(job, &answer));
        }
        actions
    }

    /// The work goes on at another entry, which has the higher attempt.
    pub(super) fn follow(&mut self, job: Job, owner: Ballot, now: Now) -> Vec<Action> {
        let linked = self.entries.contains(&owner.entry);
        let Some(work) = self.works.get_mut(&job) else {
            return Vec::new();
        };
        let pool = work.pool.clone();
        let cancel = work.stopped == Some(Stop::Cancelled);
        let address = work.owner_address.clone();
        log::info!(job:% = job, owner:% = owner.entry; "attach");
        let entry = owner.entry.clone();
        let follow = Follow {
            owner,
            until: now.up + LINK,
        };
        work.follow = Some(follow.clone());
        self.pool(&pool).withdraw(job);
        if linked {
            return vec![follow.attach(job, cancel)];
        }
        match address {
            Some(address) => vec![Action::Dial(entry, address)],
            // The keeper has no link with the owner either: it is gone.
            None => self.lose_owner(job, now),
        }
    }

    pub(super) fn note_address(&mut self, job: Job, address: Option<Name>) {
        if let Some(work) = self.works.get_mut(&job) {
            work.owner_address = address;
        }
    }

    pub(super) fn is_follow_late(&self, job: Job, now: Now) -> bool {
        let follow = self.works.get(&job).and_then(|work| work.follow.as_ref());
        follow.is_some_and(|f| f.until <= now.up && !self.entries.contains(&f.owner.entry))
    }

    /// The owner is out of reach or does not own the job: take it over.
    pub(super) fn lose_owner(&mut self, job: Job, now: Now) -> Vec<Action> {
        let Some(work) = self.works.get_mut(&job) else {
            return Vec::new();
        };
        if work.follow.take().is_none() {
            return Vec::new();
        }
        metrics::counter!("cassiarock_entry_take_overs_total").increment(1);
        log::info!(job:% = job; "take over");
        self.step(job, Event::OwnerLost, now)
    }

    /// Another entry's link works.
    pub(crate) fn link_entry(&mut self, entry: &Process) -> Vec<Action> {
        self.entries.insert(entry.clone());
        let works = self.works.iter();
        let follows = works.filter_map(|(job, work)| {
            let follow = work.follow.as_ref().filter(|f| f.owner.entry == *entry)?;
            Some(follow.attach(*job, work.stopped == Some(Stop::Cancelled)))
        });
        let followers = self.followers.iter();
        let followers = followers.filter(|(_, f)| f.owner.as_ref() == Some(entry));
        follows
            .chain(followers.map(|(job, f)| f.attach(*job, entry.clone())))
            .collect()
    }

    /// Another entry's link is gone.
    pub(crate) fn unlink_entry(&mut self, entry: &Process, now: Now) -> Vec<Action> {
        self.entries.remove(entry);
        for pool in self.pools.values_mut() {
            pool.remove_entry(entry);
        }
        let works = self.works.iter().filter(|(_, work)| follows(work, entry));
        let jobs: Vec<Job> = works.map(|(job, _)| *job).collect();
        let mut actions = Vec::new();
        for job in jobs {
            actions.extend(self.lose_owner(job, now));
        }
        actions
    }

    /// Another entry wants the answer of a job that is owned here.
    pub(super) fn attach(
        &mut self,
        entry: &Process,
        job: Job,
        ballot: Option<&Ballot>,
        cancel: bool,
        now: Now,
    ) -> Vec<Action> {
        if let Some((_, answer)) = self.answers.get(&job) {
            return vec![whole(entry.clone(), job, answer)];
        }
        let none = FinalAnswer {
            job,
            owned: false,
            answer: None,
        };
        let Some(work) = self.works.get_mut(&job) else {
            return vec![Action::Send(entry.clone(), Frame::FinalAnswer(none))];
        };
        if !holds(work, ballot) {
            return vec![Action::Send(entry.clone(), Frame::FinalAnswer(none))];
        }
        if !work.attached.contains(entry) {
            work.attached.push(entry.clone());
        }
        let running = FinalAnswer {
            job,
            owned: true,
            answer: None,
        };
        let mut actions = vec![Action::Send(entry.clone(), Frame::FinalAnswer(running))];
        if cancel {
            actions.extend(self.stop(job, Stop::Cancelled, now));
        }
        actions
    }

    /// The owner's word on a job.
    pub(super) fn whole(&mut self, from: &Process, whole: FinalAnswer, now: Now) -> Vec<Action> {
        let job = whole.job;
        let answer = whole.answer.as_deref().and_then(answer::decode);
        let mut actions = self.whole_for_follower(job, whole.owned, answer.as_ref());
        let Some(work) = self.works.get(&job) else {
            return actions;
        };
        if !follows(work, from) {
            return actions;
        }
        match answer {
            Some(answer) => actions.extend(self.finish(job, answer, now)),
            None if whole.owned => {}
            None => actions.extend(self.lose_owner(job, now)),
        }
        actions
    }

    fn whole_for_follower(
        &mut self,
        job: Job,
        owned: bool,
        answer: Option<&Answer>,
    ) -> Vec<Action> {
        let Some(follower) = self.followers.get_mut(&job) else {
            return Vec::new();
        };
        match answer {
            Some(answer) => self.end_follower(job, answer),
            None if owned => {
                follower.running = true;
                Vec::new()
            }
            None => self.end_follower(job, &Answer::Unknown),
        }
    }

    fn end_follower(&mut self, job: Job, answer: &Answer) -> Vec<Action> {
        let Some(follower) = self.followers.remove(&job) else {
            return Vec::new();
        };
        let tickets = follower.tickets.into_iter();
        tickets
            .map(|ticket| Action::Answer(ticket, answer.clone()))
            .collect()
    }
}

/// The frame that tells an attached entry a final answer.
pub(super) fn whole(entry: Process, job: Job, answer: &Answer) -> Action {
    let whole = FinalAnswer {
        job,
        owned: true,
        answer: answer::encode(answer),
    };
    Action::Send(entry, Frame::FinalAnswer(whole))
}

fn follows(work: &Work, entry: &Process) -> bool {
    let follow = work.follow.as_ref();
    follow.is_some_and(|f| f.owner.entry == *entry)
}

/// Whether this work is the attempt that an attaching entry was told of. Two entries
/// would wait for each other over an attempt that neither has taken up.
fn holds(work: &Work, ballot: Option<&Ballot>) -> bool {
    match &work.plan {
        Plan::Repeat(_) => true,
        Plan::Once(_) if work.follow.is_some() => false,
        Plan::Once(owner) => ballot.is_none_or(|ballot| owner.holds(ballot)),
    }
}
