//! `config`.

use super::platform::Platform;
use super::rollout;
use crate::progress::with_progress;
use crate::{Config, Error, Report, document};
use cassiarock_settings::Client;
use serde_json::json;

const STEP: &str = "change the configuration";

/// Shows or changes the configuration.
pub async fn run(settings: &Client, config: &Config) -> Result<Report, Error> {
    match config {
        Config::Show => show(settings).await,
        Config::Set {
            wait,
            based_on,
            file,
        } => {
            let configuration = document::read_as(file)?;
            let mut platform = Platform::new(settings)?;
            let version = platform.state().await?.version;
            let based_on = based_on.unwrap_or(version);
            let publisher = platform.publisher();
            let answer = with_progress(STEP, publisher.configure(based_on, configuration)).await;
            let change = platform.change_outcome(STEP, answer)?;
            rollout::report_change(settings, &mut platform, change, *wait).await
        }
    }
}

async fn show(settings: &Client) -> Result<Report, Error> {
    let state = Platform::new(settings)?.state().await?;
    let shown = json!({
        "version": state.version,
        "change": state.change,
        "configuration": state.configuration,
    });
    let text = format!(
        "{}\n\n{:#}",
        super::version(&state),
        json!(state.configuration)
    );
    Ok(Report::new(&shown, text))
}
