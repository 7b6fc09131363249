//! `upstreams` and `drain`.

use super::platform::Platform;
use super::rollout;
use crate::progress::with_progress;
use crate::{Drain, Error, Report, Table};
use cassiarock_rule::Member;
use cassiarock_settings::Client;

const STEP: &str = "drain the upstream";

/// Lists the upstreams of the membership.
pub async fn list(settings: &Client) -> Result<Report, Error> {
    let state = Platform::new(settings)?.state().await?;
    let members: Vec<&Member> = state.membership.members.values().collect();
    let head = Table::new([
        "agent",
        "pool",
        "data_centre",
        "rack",
        "slots",
        "address",
        "state",
    ]);
    let table = members
        .iter()
        .fold(head, |table, member| table.with_row(row(member)));
    Ok(Report::new(&members, table))
}

/// Takes an upstream out of service, or puts it back.
pub async fn drain(settings: &Client, drain: &Drain) -> Result<Report, Error> {
    let mut platform = Platform::new(settings)?;
    let agent = drain.agent.clone();
    let answer = with_progress(
        STEP,
        platform.publisher().drain(agent, !drain.undo, drain.force),
    )
    .await;
    let change = platform.change_outcome(STEP, answer)?;
    rollout::report_change(settings, &mut platform, change, drain.wait).await
}

fn row(member: &Member) -> [String; 7] {
    let state = if member.leaving { "leaving" } else { "active" };
    [
        member.process.name.to_string(),
        member.pool.to_string(),
        member.data_centre.to_string(),
        member.rack.to_string(),
        member.slots.to_string(),
        member.address.to_string(),
        state.to_owned(),
    ]
}
