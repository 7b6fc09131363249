//! Spreading appends of agents that return together.

use cassiarock_id::{Process, Wall};
use cassiarock_platform::{Follower, Log, publish};
use cassiarock_rule::record::Body;
use cassiarock_rule::{Configuration, Member, Record, RuleSet};
use cassiarock_test_support::log::Stand;
use std::time::{Duration, Instant};

const AGENTS: u64 = 400;

fn append(stand: &Stand, body: Body) {
    let record = Record::new(Wall::now(), "test", body);
    stand.append(record.encode().expect("a record"));
}

// An operator restores, which empties the membership, and every agent sees at the same moment
// that it has to announce itself again. Without turns all would append at once.
#[tokio::test]
async fn agents_take_turns_also_when_a_restore_has_emptied_the_membership() {
    let stand = Stand::start().await.unwrap();
    for index in 0..AGENTS {
        let process = Process::new(format!("agent-{index}"), 1);
        let member = Member::new(process, ([127, 0, 0, 1], 7001).into());
        append(&stand, Body::Joined { member });
    }
    let follower = Follower::start(Log::new(stand.url()).unwrap());
    let mut status = follower.subscribe();
    status
        .wait_for(|status| status.next() == AGENTS)
        .await
        .unwrap();
    let restore = Body::Restore {
        end: AGENTS,
        set: RuleSet::default(),
        configuration: Configuration::default(),
    };
    append(&stand, restore);
    let emptied = status.wait_for(|status| status.next() == AGENTS + 1).await;
    assert_eq!(emptied.unwrap().max_agents, 400);
    let start = Instant::now();
    publish::wait_for_turn(&mut status, 0.25).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(500));
}
