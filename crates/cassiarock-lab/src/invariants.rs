//! Invariants of the service, checked from what callers and upstreams observe.

use cassiarock_id::Name;
use std::collections::{BTreeMap, BTreeSet};

/// Violations recorded per run; later ones are dropped.
const MAX_VIOLATIONS: usize = 20;

/// Checks a run: a task runs at most once at a time, a submission is answered once, and a
/// job answered as not run has not run and does not start afterwards.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecker {
    /// Number of current runs by job and task.
    running: BTreeMap<(Name, u32), u32>,
    /// Jobs of which a task has started since their last submission.
    started: BTreeSet<Name>,
    /// Jobs whose last submission was answered as not run, and that have not been sent again.
    refused: BTreeSet<Name>,
    /// Number of answers by caller and submission.
    answered: BTreeMap<(usize, u32), u32>,
    pub(crate) violations: Vec<String>,
}

impl InvariantChecker {
    pub(crate) fn record_submission(&mut self, job: &Name) {
        self.started.remove(job);
        self.refused.remove(job);
    }

    pub(crate) fn record_start(&mut self, job: &Name, index: u32) {
        self.started.insert(job.clone());
        let running = self.running.entry((job.clone(), index)).or_default();
        *running += 1;
        if *running > 1 {
            self.report_violation(format!("task {index} of job {job} runs twice at once"));
        }
        if self.refused.contains(job) {
            self.report_violation(format!(
                "task {index} of job {job} started after \"not run\""
            ));
        }
    }

    pub(crate) fn record_end(&mut self, job: &Name, index: u32) {
        let key = (job.clone(), index);
        if let Some(running) = self.running.get_mut(&key) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&key);
            }
        }
    }

    /// Records the answer to a caller's submission.
    pub(crate) fn record_answer(
        &mut self,
        caller: usize,
        submission: u32,
        job: &Name,
        not_run: bool,
    ) {
        let answers = self.answered.entry((caller, submission)).or_default();
        *answers += 1;
        if *answers > 1 {
            self.report_violation(format!("job {job} was answered twice"));
        }
        if not_run {
            if self.started.contains(job) {
                self.report_violation(format!("job {job} was called \"not run\" and has run"));
            }
            self.refused.insert(job.clone());
        }
    }

    /// Whether this submission has been answered.
    pub(crate) fn is_answered(&self, caller: usize, submission: u32) -> bool {
        self.answered.contains_key(&(caller, submission))
    }

    pub(crate) fn report_violation(&mut self, violation: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }
}
