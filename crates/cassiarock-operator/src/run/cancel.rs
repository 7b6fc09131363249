//! `cancel`.

use super::answer::Answer;
use crate::http::Http;
use crate::{Error, Report};
use cassiarock_id::Job;
use cassiarock_settings::Client;

const STEP: &str = "cancel the job";

/// Cancels a job through the first entry that answers. Cancellation is idempotent, so after
/// a lost response the request goes to the next entry.
pub async fn run(settings: &Client, job: Job) -> Result<Report, Error> {
    let http = Http::new(settings.timeout)?;
    let mut last = None;
    let mut sent = false;
    for entry in &settings.entries {
        match http.delete(STEP, entry, &format!("/v1/jobs/{job}")).await {
            Ok(reply) => {
                let answer = Answer::new(STEP, entry, reply)?;
                if answer.retry_after().is_none() {
                    return Ok(answer.report());
                }
                last = Some(Ok(answer));
            }
            Err(failure) => {
                sent |= failure.sent;
                last = Some(Err(failure.error));
            }
        }
    }
    match last {
        Some(Err(error)) if sent => Err(Error::Unsettled {
            step: STEP,
            reason: format!("{error}; cancel it again to see its outcome"),
        }),
        Some(Err(error)) => Err(error),
        Some(Ok(answer)) => Ok(answer.report()),
        None => Err(Error::NotFound {
            step: STEP,
            what: "entry in the settings".to_owned(),
        }),
    }
}
