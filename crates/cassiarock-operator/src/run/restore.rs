//! `restore`.

use super::platform::Platform;
use super::rules;
use crate::{Error, Report, Restore, document};
use cassiarock_settings::Client;
use serde_json::json;

/// Publishes rules and configuration as the new starting state on a truncated log.
pub async fn run(settings: &Client, restore: &Restore) -> Result<Report, Error> {
    let configuration = document::read_as(&restore.config)?;
    let set = rules::read(&restore.rules, &configuration)?;
    let mut platform = Platform::new(settings)?;
    let version = platform.restore(set, configuration).await?;
    let text = format!("restored as version {version}");
    Ok(Report::new(&json!({ "version": version }), text))
}
