//! Execution of commands.

mod answer;
mod cancel;
mod check;
mod config;
mod explain;
mod platform;
mod probe;
mod restore;
mod rollout;
mod rules;
mod simulate;
mod status;
mod submit;
mod upstreams;
mod why;

use crate::{Action, Command, Error, Report, Rules};
use cassiarock_rule::State;
use cassiarock_settings::Client;

/// Executes a command and returns its report.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use cassiarock_operator::{Command, Exit, run};
/// let command = Command::parse(&["status", "--settings", "no/such/file.jsonc"]).unwrap();
/// assert_eq!(run(&command).await.unwrap_err().exit(), Exit::Usage);
/// # }
/// ```
pub async fn run(command: &Command) -> Result<Report, Error> {
    match &command.action {
        Action::Check(check) => Ok(check::settings(check)),
        Action::Why(why) => why::run(why),
        Action::Simulate(simulate) => simulate::run(simulate),
        Action::Rules(Rules::Check {
            config: Some(config),
            file,
        }) => rules::check_alone(file, config),
        action => execute(&Client::load(&command.settings)?, action).await,
    }
}

/// Executes an action with these settings.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use cassiarock_operator::{Action, Exit, execute};
/// use cassiarock_settings::Client;
/// let nowhere = Client::new("ana", "http://127.0.0.1:1").with_status(["http://127.0.0.1:1"]);
/// let report = execute(&nowhere, &Action::Status).await.unwrap();
/// assert_eq!(report.exit, Exit::Unreachable);
/// # }
/// ```
pub async fn execute(settings: &Client, action: &Action) -> Result<Report, Error> {
    match action {
        Action::Submit(submit) => submit::run(settings, submit).await,
        Action::Cancel(job) => cancel::run(settings, *job).await,
        Action::Rules(rules) => rules::run(settings, rules).await,
        Action::Config(config) => config::run(settings, config).await,
        Action::Restore(restore) => restore::run(settings, restore).await,
        Action::Upstreams => upstreams::list(settings).await,
        Action::Drain(drain) => upstreams::drain(settings, drain).await,
        Action::Status => status::run(settings).await,
        Action::Explain(explain) => explain::run(settings, explain).await,
        Action::Check(check) => Ok(check::settings(check)),
        Action::Why(why) => why::run(why),
        Action::Simulate(simulate) => simulate::run(simulate),
    }
}

/// Describes the version in force and its author.
fn version(state: &State) -> String {
    match &state.change {
        Some(change) => format!("version {} by {}", state.version, change.by),
        None => format!("version {}, nothing published yet", state.version),
    }
}
