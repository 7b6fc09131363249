//! `cancel`.

use super::answer::Answer;
use crate::http::Http;
use crate::{Error, Report};
use cassiarock_id::Job;
use cassiarock_settings::Client;

const STEP: &str = "cancel the job";

/// Cancels a job through the first entry that answers. Cancelling again is harmless, so
/// a lost answer is asked for once more at the next entry.
pub async fn run(settings: &Client, job: Job) -> Result<Report, Error> {
    let http = Http::new(settings.timeout)?;
    let mut last = None;
    let mut sent = false;
    for entry in &settings.entries {
        match http.delete(STEP, entry, &format!("/v1/jobs/{job}")).await {
            Ok(reply) => {
                let answer = Answer::new(STEP, entry, reply)?;
                if answer.retry().is_none() {
                    return Ok(answer.report());
                }
                last = Some(Ok(answer));
            }
            Err(loss) => {
                sent |= loss.sent;
                last = Some(Err(loss.error));
            }
        }
    }
    match last {
        Some(Err(error)) if sent => Err(Error::Unsettled {
            step: STEP,
            reason: format!("{error}; cancel it again to learn"),
        }),
        Some(Err(error)) => Err(error),
        Some(Ok(answer)) => Ok(answer.report()),
        None => Err(Error::NotFound {
            step: STEP,
            what: "entry in the settings".to_owned(),
        }),
    }
}
