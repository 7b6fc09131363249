//! Counts outcomes of callers and work of upstreams.

use crate::caller::{Caller, FIRST_ARRIVAL};
use crate::result::{KindResult, SeedResult, jain};
use crate::scenario::Scenario;
use crate::score::{Outcome, Scorer};
use cassiarock_id::Name;
use cassiarock_transient::Message;
use cassiarock_transient::message::Outcome as AttemptOutcome;
use cassiarock_transient::scheduler::Answer;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallerOutcome {
    InTime,
    Late,
    Refused,
    GivenUp,
    Failed,
    Unanswered,
}

/// Counters of a run.
#[derive(Debug, Default)]
pub(super) struct Tally {
    outcomes: HashMap<usize, (CallerOutcome, Duration)>,
    /// Messages between entries and agents, without heartbeats.
    frames: u64,
    /// Heartbeats between entries and agents.
    heartbeats: u64,
    /// Tasks ordered from agents.
    ordered: u64,
    /// Ordered tasks that agents rejected because their upstream was full.
    turned_away: u64,
    /// Tasks started on upstreams.
    pub(super) started: u64,
    /// Upstream crashes caused by tasks.
    pub(super) crashes: u64,
    /// Core-seconds of all runs.
    pub(super) work: f64,
    /// Core-seconds of the finished tasks, by job.
    pub(super) done: BTreeMap<Name, f64>,
    /// Core-seconds of completed jobs.
    useful: f64,
    /// Maximum number of unanswered jobs at one entry.
    pub(super) max_queue: usize,
}

impl Tally {
    pub(super) fn is_settled(&self, caller: usize) -> bool {
        self.outcomes.contains_key(&caller)
    }

    pub(super) fn record_unanswered(&mut self, caller: usize, now: Duration) {
        self.outcomes
            .entry(caller)
            .or_insert((CallerOutcome::Unanswered, now));
    }

    /// Counts a message between an entry and an agent.
    pub(super) fn record_message(&mut self, message: &Message) {
        match message {
            Message::EntryHeartbeat { .. } | Message::AgentHeartbeat { .. } => {
                self.heartbeats += 1;
                return;
            }
            Message::Orders { orders, .. } => {
                let tasks = orders.iter().map(|order| order.tasks.len() as u64);
                self.ordered += tasks.sum::<u64>();
            }
            Message::Ended { results, .. } => {
                let full = results
                    .iter()
                    .filter(|end| end.outcome == AttemptOutcome::Full);
                self.turned_away += full.count() as u64;
            }
            _ => {}
        }
        self.frames += 1;
    }

    pub(super) fn record_answer(
        &mut self,
        number: usize,
        caller: &Caller,
        answer: Answer,
        now: Duration,
    ) {
        let outcome = match answer {
            Answer::Completed if now <= caller.at + caller.objective => CallerOutcome::InTime,
            Answer::Completed => CallerOutcome::Late,
            Answer::Refused { .. } => CallerOutcome::Refused,
            Answer::GivenUp => CallerOutcome::GivenUp,
            Answer::Failed => CallerOutcome::Failed,
            Answer::Cancelled => CallerOutcome::Unanswered,
        };
        if answer == Answer::Completed {
            self.useful += self.done.get(&caller.job.id).copied().unwrap_or_default();
        }
        self.outcomes.entry(number).or_insert((outcome, now));
    }

    pub(super) fn result(&self, scenario: &Scenario, callers: &[Caller]) -> SeedResult {
        let mut kinds: Vec<KindResult> = scenario
            .kinds
            .iter()
            .map(|kind| KindResult {
                name: kind.name.clone(),
                ..KindResult::default()
            })
            .collect();
        let mut seconds = vec![(0_u64, 0_u64); scenario.length.as_secs_f64().ceil() as usize];
        let mut entries = vec![(0_u64, 0_u64); scenario.entries.len()];
        let mut scorer = Scorer::new(scenario);
        let means = mean_work(scenario, callers);
        // Times to ten minutes in ms, to three digits. `ok` drops no error: the bounds are valid
        // constants.
        let mut refusals = Histogram::<u64>::new_with_bounds(1, 600_000, 3).ok();
        let counted = callers.iter().enumerate();
        // A job that crashes upstreams can't be completed anywhere.
        let counted = counted
            .filter(|(_, caller)| caller.leaves_after.is_none() && caller.crashing_task.is_none());
        for (number, caller) in counted {
            let (outcome, at) = self.caller_outcome(number, caller);
            let is_in_time = u64::from(outcome == CallerOutcome::InTime);
            count(&mut kinds[caller.kind], outcome);
            let second = (caller.at - FIRST_ARRIVAL).as_secs() as usize;
            let size = caller.work() / means[caller.kind].max(f64::MIN_POSITIVE);
            scorer.add(caller.kind, second, size, outcome.score_outcome());
            for (asked, in_time) in [&mut seconds[second], &mut entries[caller.entry]] {
                *asked += 1;
                *in_time += is_in_time;
            }
            if let (CallerOutcome::Refused, Some(refusals)) = (outcome, &mut refusals) {
                let took = (at - caller.at).as_millis() as u64;
                refusals.saturating_record(took.max(1));
            }
        }
        let asked: u64 = kinds.iter().map(|kind| kind.asked).sum();
        let in_time: u64 = kinds.iter().map(|kind| kind.in_time).sum();
        let shares: Vec<f64> = kinds
            .iter()
            .filter(|kind| kind.asked > 0)
            .map(KindResult::in_time_share)
            .collect();
        let quantile = |q: f64| {
            refusals
                .as_ref()
                .map_or(0.0, |all| all.value_at_quantile(q) as f64)
        };
        SeedResult {
            in_time: share(in_time, asked),
            in_time_by_second: seconds
                .iter()
                .map(|(asked, got)| share(*got, *asked))
                .collect(),
            wasted_work: 1.0 - self.useful / self.work.max(f64::MIN_POSITIVE),
            refusal_ms: (quantile(0.5), quantile(0.99)),
            turned_away: share(self.turned_away, self.ordered.max(1)),
            frames_per_task: self.frames as f64 / self.started.max(1) as f64,
            heartbeats_per_task: self.heartbeats as f64 / self.started.max(1) as f64,
            kind_fairness: jain(&shares),
            entry_fairness: jain(
                &entries
                    .iter()
                    .map(|(asked, got)| share(*got, *asked))
                    .collect::<Vec<_>>(),
            ),
            max_queue: self.max_queue,
            crashes: self.crashes,
            worth: scorer.worth(),
            unserved: scorer.unserved(),
            kinds,
            ..SeedResult::default()
        }
    }

    fn caller_outcome(&self, number: usize, caller: &Caller) -> (CallerOutcome, Duration) {
        let outcome = self.outcomes.get(&number).copied();
        outcome.unwrap_or((CallerOutcome::Unanswered, caller.at + caller.patience))
    }
}

impl CallerOutcome {
    const fn score_outcome(self) -> Outcome {
        match self {
            Self::InTime => Outcome::InTime,
            Self::Late => Outcome::Late,
            Self::Refused | Self::GivenUp | Self::Failed | Self::Unanswered => Outcome::Unserved,
        }
    }
}

/// Mean work of a job by kind, in core-seconds.
fn mean_work(scenario: &Scenario, callers: &[Caller]) -> Vec<f64> {
    let mut sums = vec![(0.0, 0_u64); scenario.kinds.len()];
    for caller in callers {
        let (work, jobs) = &mut sums[caller.kind];
        *work += caller.work();
        *jobs += 1;
    }
    let means = sums.iter().map(|(work, jobs)| work / (*jobs).max(1) as f64);
    means.collect()
}

fn count(kind: &mut KindResult, outcome: CallerOutcome) {
    kind.asked += 1;
    *match outcome {
        CallerOutcome::InTime => &mut kind.in_time,
        CallerOutcome::Late => &mut kind.late,
        CallerOutcome::Refused => &mut kind.refused,
        CallerOutcome::GivenUp => &mut kind.given_up,
        CallerOutcome::Failed => &mut kind.failed,
        CallerOutcome::Unanswered => &mut kind.unanswered,
    } += 1;
}

/// The share of those who asked; 1 if nobody asked.
fn share(got: u64, asked: u64) -> f64 {
    if asked == 0 {
        1.0
    } else {
        got as f64 / asked as f64
    }
}
