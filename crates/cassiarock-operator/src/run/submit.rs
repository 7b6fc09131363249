//! `submit`: submits one job and polls until it has its answer.

use super::answer::{Answer, Outcome};
use crate::document;
use crate::http::{ExchangeError, Http};
use crate::progress::Progress;
use crate::{Error, Report, Submit};
use cassiarock_id::{Job, Wall};
use cassiarock_settings::Client;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const STEP: &str = "submit the job";

/// Longest time that an entry may delay one response; short enough to print progress.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Delay before the next entry is tried; avoids a busy loop when all entries are down.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Attempts at each entry before the command gives up on a job that was never sent.
const ATTEMPTS_PER_ENTRY: usize = 2;

/// Submits the job in the file and waits for its answer, unless `--detach` is given.
pub async fn run(settings: &Client, submit: &Submit) -> Result<Report, Error> {
    let (job, body) = load(&submit.file)?;
    let submission = Submission {
        http: Http::new(settings.timeout)?,
        job,
        detach: submit.detach,
        until: Instant::now() + deadline(&body) + settings.timeout,
        body,
    };
    Ok(submission.run(&settings.entries).await?.report())
}

/// Reads the job and assigns an id if it has none. The id is printed before anything is
/// sent, so that the operator can query the job after the client was terminated.
fn load(file: &Path) -> Result<(Job, Value), Error> {
    let mut body = document::read(file)?;
    let Some(object) = body.as_object_mut() else {
        return Err(document::input_error(file, "a job is a JSON object"));
    };
    let id = object.entry("id").or_insert_with(|| {
        let job = Job::new(Wall::now());
        eprintln!("job {job}");
        json!(job)
    });
    let job = id.as_str().unwrap_or_default().parse();
    let job = job.map_err(|error| document::input_error(file, format!("field `id`: {error}")))?;
    Ok((job, body))
}

fn deadline(body: &Value) -> Duration {
    Duration::from_millis(body["deadline_ms"].as_u64().unwrap_or_default())
}

/// The submission of one job.
struct Submission {
    http: Http,
    job: Job,
    body: Value,
    detach: bool,
    until: Instant,
}

impl Submission {
    /// Tries one entry after the other. When an entry fails midway, the next one gets the
    /// job under the same id: a second submission attaches to the first and starts no task
    /// twice.
    async fn run(&self, entries: &[String]) -> Result<Answer, Error> {
        let mut progress = Progress::new();
        let mut sent = false;
        let mut last = None;
        for (attempt, entry) in entries.iter().cycle().enumerate() {
            let is_exhausted = attempt >= ATTEMPTS_PER_ENTRY * entries.len();
            if (is_exhausted && !sent) || Instant::now() >= self.until {
                break;
            }
            match self.submit_to(entry, &mut progress).await {
                Ok(answer) if answer.retry_after().is_none() => return Ok(answer),
                Ok(answer) => {
                    let delay = answer.retry_after().unwrap_or(RETRY_DELAY);
                    progress.report(|| format!("{entry} accepts no jobs at the moment"));
                    last = Some(Ok(answer));
                    sleep(delay.min(MAX_WAIT)).await;
                }
                Err(failure) => {
                    progress.report(|| failure.error.to_string());
                    sent |= failure.sent;
                    last = Some(Err(failure));
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        self.final_result(sent, last)
    }

    fn final_result(
        &self,
        sent: bool,
        last: Option<Result<Answer, ExchangeError>>,
    ) -> Result<Answer, Error> {
        match last {
            Some(Ok(answer)) if !sent => Ok(answer),
            Some(Err(failure)) if !sent => Err(failure.error),
            Some(Ok(_)) => Err(self.unsettled("no entry accepts jobs at the moment")),
            Some(Err(failure)) => Err(self.unsettled(&failure.error.to_string())),
            None => Err(self.unsettled("the deadline passed")),
        }
    }

    fn unsettled(&self, reason: &str) -> Error {
        Error::Unsettled {
            step: STEP,
            reason: format!(
                "{reason}; submit job {} again under the same id to see its outcome",
                self.job
            ),
        }
    }

    /// Submits to one entry and polls it until the job has its answer.
    async fn submit_to(
        &self,
        entry: &str,
        progress: &mut Progress,
    ) -> Result<Answer, ExchangeError> {
        let path = format!("/v1/jobs?wait={}", self.wait_seconds());
        let posted = self
            .http
            .post(STEP, entry, &path, &self.body, MAX_WAIT)
            .await?;
        let mut answer = Answer::new(STEP, entry, posted).map_err(after_sending)?;
        while matches!(answer.outcome, Outcome::Running) && !self.is_over() {
            progress.report(|| format!("job {} runs at {entry}", self.job));
            let path = format!("/v1/jobs/{}?wait={}", self.job, self.wait_seconds());
            let found = self
                .http
                .get(STEP, entry, &path, MAX_WAIT)
                .await
                .map_err(|failure| after_sending(failure.error))?;
            answer = Answer::new(STEP, entry, found).map_err(after_sending)?;
            // The entry was replaced by a process at the same address that does not know the
            // job which its predecessor accepted, so the job is submitted again.
            if matches!(answer.outcome, Outcome::Unknown { .. }) {
                return Err(after_sending(
                    self.unsettled("the entry that ran it is gone"),
                ));
            }
        }
        Ok(answer)
    }

    fn wait_seconds(&self) -> u64 {
        if self.detach { 0 } else { MAX_WAIT.as_secs() }
    }

    fn is_over(&self) -> bool {
        self.detach || Instant::now() >= self.until
    }
}

/// Marks an error after which the entry may have accepted the job.
fn after_sending(error: Error) -> ExchangeError {
    ExchangeError { sent: true, error }
}
