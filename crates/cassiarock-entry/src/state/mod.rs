//! The entry's decisions: takes calls, frames and events and returns actions, without I/O
//! or a clock of its own.

mod action;
mod agents;
mod answer;
mod calls;
mod claimed;
mod explain;
mod follow;
mod pending;
mod place;
mod repeatable;
mod settings;
mod teams;
mod unreachable;
mod views;

pub(crate) use action::{Action, Ticket};
pub(crate) use settings::Settings;

use cassiarock_caller::Answer;
use cassiarock_claim::view::ViewHistory;
use cassiarock_id::{Job, Name, Process, Task};
use cassiarock_policy::dispatch::Dispatcher;
use cassiarock_process::{Behind, Now};
use cassiarock_rule as rule;
use cassiarock_wire::Frame;
use follow::Lookup;
use pending::PendingJob;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The state of an entry.
#[derive(Debug)]
pub(crate) struct State {
    settings: Settings,
    rules: Arc<rule::State>,
    views: ViewHistory,
    /// Admission and placement for each pool.
    pools: HashMap<Name, Dispatcher>,
    /// The pool of each linked agent.
    agents: HashMap<Process, Name>,
    /// Members without a link, and the time since which they have none.
    unreachable: HashMap<Process, Duration>,
    /// The linked entries.
    entries: HashSet<Process>,
    pending_jobs: HashMap<Job, PendingJob>,
    /// When each pending job has to be checked, the earliest first.
    timers: BTreeSet<(Duration, Job)>,
    /// Callers' questions about jobs that another entry owns.
    lookups: HashMap<Job, Lookup>,
    /// Final answers, kept for callers who ask again, each with the hash of the tasks: an
    /// answer must not be given to a submission of other tasks under the same id.
    answers: HashMap<Job, (u64, Answer)>,
    /// The jobs in `answers`, the oldest answer first.
    answer_order: VecDeque<Job>,
    /// The serial number of this entry's last attempt.
    last_serial: u64,
    leaving: bool,
    /// Lost tasks of repeatable jobs, and when each is released again.
    retries: BTreeSet<(Duration, Job, Task)>,
    behind: Behind,
    /// The load of each pool, for the rules, as of the last feasibility check.
    loads: rule::request::PoolLoads,
    /// When the pools are next asked for jobs that can no longer meet their deadline.
    next_feasibility_check: Duration,
    /// When the usage of teams is next sent to the other entries.
    next_usage_report: Duration,
}

/// How often to look for jobs that can no longer meet their deadline: well within the
/// shortest deadlines, as each check is a pass over the admitted jobs.
const FEASIBILITY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often the usage of teams is sent to the other entries. A team can exceed its quota by
/// what the other entries give it in this time.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// How many final answers are kept: those of some seconds at the peak load of one entry.
/// Older ones are gathered from the agents again.
const MAX_ANSWERS: usize = 20_000;

impl State {
    pub(crate) fn new(settings: Settings, now: Now) -> Self {
        Self {
            views: ViewHistory::new(settings.timing(), now.wall),
            settings,
            rules: Arc::default(),
            pools: HashMap::new(),
            agents: HashMap::new(),
            unreachable: HashMap::new(),
            entries: HashSet::new(),
            pending_jobs: HashMap::new(),
            timers: BTreeSet::new(),
            lookups: HashMap::new(),
            answers: HashMap::new(),
            answer_order: VecDeque::new(),
            last_serial: 0,
            leaving: false,
            retries: BTreeSet::new(),
            behind: Behind::default(),
            loads: rule::request::PoolLoads::default(),
            next_feasibility_check: Duration::ZERO,
            next_usage_report: Duration::ZERO,
        }
    }

    /// Handles one frame from a linked process.
    pub(crate) fn handle_frame(&mut self, from: &Process, frame: Frame, now: Now) -> Vec<Action> {
        match frame {
            Frame::Ended(ended) => self.handle_ended(from, ended, now),
            Frame::Rejected(rejected) => self.handle_rejected(from, rejected, now),
            Frame::Answered(answered) => self.handle_answered(answered, now),
            Frame::Reported(reported) => self.handle_reported(from, *reported, now),
            Frame::Grant(load) => {
                if let Some(pool) = self.pool_of(from) {
                    pool.grant(from, load, now.up);
                }
                Vec::new()
            }
            Frame::Pong(pong) => self.handle_pong(from, &pong, now),
            Frame::Ping(ping) => vec![self.entry_pong(from, &ping)],
            Frame::Found(found) => {
                let owner = found.owner.map(|owner| (owner, found.address));
                self.handle_found(found.job, owner)
            }
            Frame::Attach {
                job,
                ballot,
                cancel,
            } => self.handle_attach(from, job, ballot.as_ref(), cancel, now),
            Frame::FinalAnswer(whole) => self.handle_whole(from, whole, now),
            Frame::Entries(entries) => self.handle_entries(entries),
            Frame::UsageUpdates(news) => self.apply_usage_news(from, &news, now),
            Frame::AskState => {
                let state = Frame::State(Arc::clone(&self.rules));
                vec![Action::Send(from.clone(), state)]
            }
            Frame::State(state) => vec![Action::Offer(state)],
            Frame::Leaving => {
                self.set_agent_leaving(from);
                Vec::new()
            }
            other => {
                log::warn!(from:% = from; "unexpected frame: {other:?}");
                Vec::new()
            }
        }
    }

    /// Does what is due: retries, deadlines, tasks to send. Called after every batch of inputs.
    pub(crate) fn poll(&mut self, now: Now) -> Vec<Action> {
        let mut actions = self.check_due_jobs(now);
        actions.extend(self.expire_lookups(now));
        actions.extend(self.stop_infeasible_jobs(now));
        self.release_due_retries(now);
        actions.extend(self.place(now));
        actions.extend(self.send_usage(now));
        actions.extend(self.remove_unreachable(now));
        actions
    }

    /// The latest time for the next call of `poll`.
    pub(crate) fn next_poll(&self) -> Option<Duration> {
        let placers = self.pools.values().filter_map(Dispatcher::next_poll);
        let timer = self.timers.first().map(|(at, _)| *at);
        let retry = self.retries.first().map(|(at, _, _)| *at);
        placers.chain(timer).chain(retry).min()
    }

    /// The membership version in force.
    pub(crate) fn membership(&self) -> u64 {
        self.views.version().unwrap_or_default()
    }

    /// The log offset that follows the last record in the state.
    pub(crate) fn next(&self) -> u64 {
        self.rules.next
    }

    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The numbers of jobs without an answer, of waiting tasks and of placed tasks.
    pub(crate) fn load(&self) -> (usize, usize, usize) {
        let waiting = self.pools.values().map(Dispatcher::waiting).sum();
        let placed = self.pools.values().map(Dispatcher::outstanding).sum();
        (self.pending_jobs.len(), waiting, placed)
    }

    /// Accepts no new jobs from now on.
    pub(crate) const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Ends a job: answers all callers and entries that wait for it, and keeps the answer.
    fn finish(&mut self, job: Job, answer: Answer, now: Now) -> Vec<Action> {
        let Some(pending) = self.pending_jobs.remove(&job) else {
            return Vec::new();
        };
        self.timers.remove(&(pending.next_check(), job));
        if let Some(pool) = self.pools.get_mut(&pending.pool) {
            pool.finish(job);
        }
        let took = now.up.saturating_sub(pending.arrived);
        log::info!(
            job:% = job, outcome = outcome(&answer), rule:% = pending.rule,
            took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            "answer"
        );
        metrics::counter!("cassiarock_entry_jobs_total", "outcome" => outcome(&answer))
            .increment(1);
        metrics::histogram!("cassiarock_entry_job_seconds").record(took.as_secs_f64());
        let mut actions: Vec<Action> = pending
            .waiting
            .into_iter()
            .map(|ticket| Action::Answer(ticket, answer.clone()))
            .collect();
        let attached = pending.attached.into_iter();
        actions.extend(attached.map(|entry| follow::answer_frame(entry, job, &answer)));
        // The id belongs to another submission, whose answer is not this one.
        if !matches!(answer, Answer::Conflict) {
            self.keep_answer(job, pending.submission.digest, answer);
        }
        actions
    }

    fn keep_answer(&mut self, job: Job, digest: u64, answer: Answer) {
        if self.answers.insert(job, (digest, answer)).is_none() {
            self.answer_order.push_back(job);
        }
        if self.answer_order.len() > MAX_ANSWERS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    /// Changes the times of a pending job and sets its timer anew.
    fn update_timer(&mut self, job: Job, change: impl FnOnce(&mut PendingJob)) {
        let Some(pending) = self.pending_jobs.get_mut(&job) else {
            return;
        };
        self.timers.remove(&(pending.next_check(), job));
        change(pending);
        self.timers.insert((pending.next_check(), job));
    }

    fn pool_of(&mut self, agent: &Process) -> Option<&mut Dispatcher> {
        let pool = self.agents.get(agent)?;
        self.pools.get_mut(pool)
    }

    fn pool(&mut self, name: &Name) -> &mut Dispatcher {
        let settings = &self.settings;
        let configuration = &self.rules.configuration;
        self.pools.entry(name.clone()).or_insert_with(|| {
            let mut pool = Dispatcher::new(settings.dispatch.clone(), settings.seed);
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
