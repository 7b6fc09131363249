//! The entry's decisions: calls, frames and events in, actions out, without I/O or clock.

mod action;
mod agents;
mod answer;
mod calls;
mod explain;
mod follow;
mod guarded;
mod place;
mod repeat;
mod setting;
mod silent;
mod teams;
mod views;
mod work;

pub(crate) use action::{Action, Ticket};
pub(crate) use setting::Setting;

use cassiarock_caller::Answer;
use cassiarock_claim::view::ViewHistory;
use cassiarock_id::{Job, Name, Process, Task};
use cassiarock_policy::dispatch::Dispatcher;
use cassiarock_process::{Behind, Now};
use cassiarock_rule as rule;
use cassiarock_wire::Frame;
use follow::Follower;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use work::Work;

/// All that one entry knows.
#[derive(Debug)]
pub(crate) struct State {
    setting: Setting,
    rules: Arc<rule::State>,
    views: ViewHistory,
    /// The decisions about each pool.
    pools: HashMap<Name, Dispatcher>,
    /// The pool of each linked agent.
    agents: HashMap<Process, Name>,
    /// Members without a link, and since when.
    silent: HashMap<Process, Duration>,
    /// The linked entries.
    entries: HashSet<Process>,
    works: HashMap<Job, Work>,
    /// When each work has to be looked at, the earliest first.
    wakes: BTreeSet<(Duration, Job)>,
    /// Callers who ask here for jobs that another entry owns.
    followers: HashMap<Job, Follower>,
    /// Final answers, kept for callers who ask again, each with the hash of the tasks: an
    /// answer must not go to a submission of other tasks under the same id.
    answers: HashMap<Job, (u64, Answer)>,
    /// Their order, the oldest first.
    order: VecDeque<Job>,
    /// Numbers this entry's attempts.
    serial: u64,
    leaving: bool,
    /// Tasks that are tried again, and when.
    retries: BTreeSet<(Duration, Job, Task)>,
    behind: Behind,
    /// The load of each pool, for the rules, as of the last judgement.
    loads: rule::request::PoolLoads,
    /// When the pools are asked next for jobs that cannot be in time any more.
    judged: Duration,
    /// When the other entries are told next.
    told: Duration,
}

/// How often jobs that cannot be in time any more are looked for: well within the
/// shortest deadlines, and a pass over the admitted jobs each.
const JUDGE_EVERY: Duration = Duration::from_millis(100);

/// How often the other entries are told what teams have used. A team can exceed its quota
/// by what it gets from the others in this time.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// How many final answers are kept: some seconds' worth at the peak of one entry. Older
/// ones are gathered from the agents again.
const ANSWERS: usize = 20_000;

impl State {
    pub(crate) fn new(setting: Setting, now: Now) -> Self {
        Self {
            views: ViewHistory::new(setting.timing(), now.wall),
            setting,
            rules: Arc::default(),
            pools: HashMap::new(),
            agents: HashMap::new(),
            silent: HashMap::new(),
            entries: HashSet::new(),
            works: HashMap::new(),
            wakes: BTreeSet::new(),
            followers: HashMap::new(),
            answers: HashMap::new(),
            order: VecDeque::new(),
            serial: 0,
            leaving: false,
            retries: BTreeSet::new(),
            behind: Behind::default(),
            loads: rule::request::PoolLoads::default(),
            judged: Duration::ZERO,
            told: Duration::ZERO,
        }
    }

    /// Takes in one frame from a linked process.
    pub(crate) fn frame(&mut self, from: &Process, frame: Frame, now: Now) -> Vec<Action> {
        match frame {
            Frame::Ended(ended) => self.ended(from, ended, now),
            Frame::Rejected(rejected) => self.rejected(from, rejected, now),
            Frame::Answered(answered) => self.answered(answered, now),
            Frame::Reported(reported) => self.reported(from, *reported, now),
            Frame::Grant(load) => {
                if let Some(pool) = self.pool_of(from) {
                    pool.grant(from, load, now.up);
                }
                Vec::new()
            }
            Frame::Pong(pong) => self.pong(from, &pong, now),
            Frame::Ping(ping) => vec![self.entry_pong(from, &ping)],
            Frame::Found(found) => {
                let owner = found.owner.map(|owner| (owner, found.address));
                self.found(found.job, owner)
            }
            Frame::Attach {
                job,
                ballot,
                cancel,
            } => self.attach(from, job, ballot.as_ref(), cancel, now),
            Frame::FinalAnswer(whole) => self.whole(from, whole, now),
            Frame::Entries(entries) => self.meet(entries),
            Frame::UsageUpdates(news) => self.hear(from, &news, now),
            Frame::AskState => {
                let state = Frame::State(Arc::clone(&self.rules));
                vec![Action::Send(from.clone(), state)]
            }
            Frame::State(state) => vec![Action::Offer(state)],
            Frame::Leaving => {
                self.agent_leaves(from);
                Vec::new()
            }
            other => {
                log::warn!(from:% = from; "a frame that entries do not take: {other:?}");
                Vec::new()
            }
        }
    }

    /// What is due: repeats, deadlines, tasks to send. Called after every batch of events.
    pub(crate) fn poll(&mut self, now: Now) -> Vec<Action> {
        let mut actions = self.wake_works(now);
        actions.extend(self.expire_followers(now));
        actions.extend(self.judge(now));
        self.retry_due(now);
        actions.extend(self.place(now));
        actions.extend(self.tell(now));
        actions.extend(self.remove_silent(now));
        actions
    }

    /// When `poll` has to be called at the latest.
    pub(crate) fn wake(&self) -> Option<Duration> {
        let placers = self.pools.values().filter_map(Dispatcher::next_poll);
        let work = self.wakes.first().map(|(at, _)| *at);
        let retry = self.retries.first().map(|(at, _, _)| *at);
        placers.chain(work).chain(retry).min()
    }

    /// The membership version in force.
    pub(crate) fn membership(&self) -> u64 {
        self.views.version().unwrap_or_default()
    }

    /// The log offset up to which the state reaches.
    pub(crate) fn next(&self) -> u64 {
        self.rules.next
    }

    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Jobs without an answer, tasks that wait, tasks that are placed.
    pub(crate) fn load(&self) -> (usize, usize, usize) {
        let waiting = self.pools.values().map(Dispatcher::waiting).sum();
        let placed = self.pools.values().map(Dispatcher::outstanding).sum();
        (self.works.len(), waiting, placed)
    }

    /// From now on no new job is taken.
    pub(crate) const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Ends a job: tells everybody who waits and keeps the answer.
    fn finish(&mut self, job: Job, answer: Answer, now: Now) -> Vec<Action> {
        let Some(work) = self.works.remove(&job) else {
            return Vec::new();
        };
        self.wakes.remove(&(work.wake(), job));
        if let Some(pool) = self.pools.get_mut(&work.pool) {
            pool.finish(job);
        }
        let took = now.up.saturating_sub(work.arrived);
        log::info!(
            job:% = job, outcome = outcome(&answer), rule:% = work.rule,
            took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            "answer"
        );
        metrics::counter!("cassiarock_entry_jobs_total", "outcome" => outcome(&answer))
            .increment(1);
        metrics::histogram!("cassiarock_entry_job_seconds").record(took.as_secs_f64());
        let mut actions: Vec<Action> = work
            .waiting
            .into_iter()
            .map(|ticket| Action::Answer(ticket, answer.clone()))
            .collect();
        let attached = work.attached.into_iter();
        actions.extend(attached.map(|entry| follow::whole(entry, job, &answer)));
        // The id belongs to another submission, whose answer is not this one.
        if !matches!(answer, Answer::Conflict) {
            self.keep(job, work.submission.digest, answer);
        }
        actions
    }

    fn keep(&mut self, job: Job, digest: u64, answer: Answer) {
        if self.answers.insert(job, (digest, answer)).is_none() {
            self.order.push_back(job);
        }
        if self.order.len() > ANSWERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    /// Looks at a work again, after a change of its times.
    fn reschedule(&mut self, job: Job, change: impl FnOnce(&mut Work)) {
        let Some(work) = self.works.get_mut(&job) else {
            return;
        };
        self.wakes.remove(&(work.wake(), job));
        change(work);
        self.wakes.insert((work.wake(), job));
    }

    fn pool_of(&mut self, agent: &Process) -> Option<&mut Dispatcher> {
        let pool = self.agents.get(agent)?;
        self.pools.get_mut(pool)
    }

    fn pool(&mut self, name: &Name) -> &mut Dispatcher {
        let setting = &self.setting;
        let configuration = &self.rules.configuration;
        self.pools.entry(name.clone()).or_insert_with(|| {
            let mut pool = Dispatcher::new(setting.dispatch.clone(), setting.seed);
            pool.set_teams(teams::shares(configuration));
            pool
        })
    }
}

const fn outcome(answer: &Answer) -> &'static str {
    match answer {
        Answer::Complete { .. } => "complete",
        Answer::Failed { .. } => "failed",
        Answer::Refused { .. } => "refused",
        Answer::Cancelled { .. } => "cancelled",
        Answer::Running => "running",
        Answer::Unknown => "unknown",
        Answer::Conflict => "conflict",
        Answer::Invalid { .. } => "invalid",
        Answer::Unavailable { .. } => "unavailable",
    }
}
