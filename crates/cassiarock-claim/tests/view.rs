//! Tests of rendezvous hashing, settled views and an entry's authority.

use cassiarock_claim::view::{Timing, View, ViewHistory};
use cassiarock_id::{Job, Process, Wall};
use std::time::Duration;

const NOW: Wall = Wall::from_millis(1_000_000);
const LEASE: Duration = Duration::from_secs(2);
const MARGIN: Duration = Duration::from_millis(500);

fn agent(n: u64) -> Process {
    Process::new(format!("agent-{n}"), 1)
}

fn view(version: u64, agents: impl IntoIterator<Item = u64>) -> View {
    View::new(version, agents.into_iter().map(agent))
}

fn history_of(views: &[View]) -> ViewHistory {
    let timing = Timing::new(LEASE, MARGIN, Duration::from_secs(600));
    let mut history = ViewHistory::new(timing, NOW);
    for view in views {
        history.adopt(view.clone());
    }
    history
}

fn confirm(history: &mut ViewHistory, agents: impl IntoIterator<Item = u64>, version: u64) {
    for n in agents {
        history.confirm(&agent(n), version, LEASE, NOW, NOW);
    }
}

fn jobs(after: Duration) -> impl Iterator<Item = Job> {
    (0..500).map(move |bits| Job::with_bits(NOW.plus(after), bits))
}

#[test]
fn only_the_jobs_of_a_leaving_member_change_their_keeper() {
    let all = view(1, 0..8);
    let rest = all.without(&agent(3));
    let mut moved = 0;
    for job in jobs(MARGIN) {
        if all.keeper(job) == Some(&agent(3)) {
            moved += 1;
        } else {
            assert_eq!(all.keeper(job), rest.keeper(job));
        }
    }
    assert!((30..100).contains(&moved), "{moved} of 500 over 8 members");
}

#[test]
fn a_view_is_settled_once_a_majority_held_it_for_a_lease() {
    let mut history = history_of(&[view(1, 0..4)]);
    let short = LEASE - Duration::from_millis(1);
    for n in 0..4 {
        history.confirm(&agent(n), 1, short, NOW, NOW);
    }
    confirm(&mut history, 0..2, 1);
    assert_eq!(history.settled_at(1), None);
    confirm(&mut history, 2..3, 1);
    assert_eq!(history.settled_at(1), Some(NOW));
}

// Three agents are members of the first and the third view; four more joined with the second
// and left with the third. A network partition leaves these four and one entry at the second
// view, where they are a majority that gives the entry authority. If majorities of the first
// and the third view were enough, two keepers could grant one job.
#[test]
fn a_majority_of_each_view_in_between_must_have_moved_on_as_well() {
    let views = [view(1, 0..3), view(2, 0..7), view(3, 0..3)];
    let mut history = history_of(&views[..1]);
    confirm(&mut history, 0..3, 1);
    history.adopt(views[1].clone());
    history.adopt(views[2].clone());
    confirm(&mut history, 0..3, 3);
    assert_eq!(history.settled_at(3), None);
    confirm(&mut history, 3..4, 3);
    assert_eq!(history.settled_at(3), Some(NOW));
}

#[test]
fn newer_incarnations_and_announced_departures_count_as_moved_on() {
    let mut restarted = history_of(&[view(1, 0..3)]);
    let restarted_agents = (0..3).map(|n| Process::new(format!("agent-{n}"), 2));
    let second = View::new(2, restarted_agents);
    restarted.adopt(second.clone());
    for agent in &second.members[..2] {
        restarted.confirm(agent, 2, LEASE, NOW, NOW);
    }
    assert_eq!(restarted.settled_at(2), Some(NOW));

    let mut replaced = history_of(&[view(1, 0..3), view(2, [0, 3, 4])]);
    confirm(&mut replaced, [0, 3], 2);
    assert_eq!(replaced.settled_at(2), None);
    replaced.record_retirement(agent(1), 2);
    confirm(&mut replaced, [4], 2);
    assert_eq!(replaced.settled_at(2), Some(NOW));
}

#[test]
fn authority_ends_half_a_lease_after_the_majoritys_pings() {
    let mut history = history_of(&[view(1, 0..3)]);
    let sent = [NOW, NOW.plus(Duration::from_millis(10)), NOW.minus(LEASE)];
    for (n, sent) in (0..).zip(sent) {
        history.confirm(&agent(n), 1, Duration::ZERO, sent, NOW);
        assert_eq!(history.authority_until().is_some(), n > 0);
    }
    assert_eq!(history.authority_until(), Some(NOW.plus(LEASE / 2)));
}

#[test]
fn agents_that_hold_a_later_view_give_no_authority() {
    let mut history = history_of(&[view(1, 0..3)]);
    confirm(&mut history, 0..3, 2);
    assert_eq!(history.authority_until(), None);
}

#[test]
fn a_change_leaves_the_jobs_of_other_keepers_grantable_without_a_gather() {
    let mut history = history_of(&[view(1, 0..6)]);
    confirm(&mut history, 0..6, 1);
    history.adopt(view(2, 1..6));
    for job in jobs(MARGIN) {
        let scope = history.scope(job, NOW).unwrap();
        let same = view(1, 0..6).keeper(job) != Some(&agent(0));
        assert_eq!((scope.oldest_view, scope.sole_keeper), (1, same));
        assert_eq!(scope.exempt_keeper.is_some(), same);
        // An agent that kept the job in every view that it was in has run none of its tasks.
        let targets = history.gather_targets(job, &scope);
        assert_eq!(targets.contains(&agent(0)), same);
        assert_eq!(targets.len(), 5);
    }
    history.record_retirement(agent(0), 2);
    let job = Job::with_bits(NOW.plus(MARGIN), 1);
    let scope = history.scope(job, NOW);
    assert!(
        !history
            .gather_targets(job, &scope.unwrap())
            .contains(&agent(0))
    );
}

#[test]
fn a_job_issued_before_the_view_was_settled_is_not_granted_without_a_gather() {
    let mut history = history_of(&[view(1, 0..3)]);
    confirm(&mut history, 0..3, 1);
    for job in jobs(MARGIN - Duration::from_millis(1)) {
        let scope = history.scope(job, NOW).unwrap();
        assert!(!scope.sole_keeper && scope.exempt_keeper.is_none());
    }
    let before = Job::with_bits(NOW.minus(MARGIN), 1);
    assert_eq!(history.scope(before, NOW), None);
}

// An entry that starts before the first agent joins begins with a view without members. No
// majority could ever move on from that view, so no later one was settled, and every job was
// gathered from all agents for as long as the entry ran.
#[test]
fn an_entry_that_started_before_all_agents_settles_their_view() {
    let mut history = history_of(&[view(0, []), view(3, 0..3)]);
    confirm(&mut history, 0..3, 3);
    assert_eq!(history.settled_at(3), Some(NOW));
}

// An agent dies and restarts under its name. Jobs issued after that can't have run at the dead
// process; a gather that waited for it would fail them until the new view was settled.
#[test]
fn a_job_issued_after_an_agents_restart_is_gathered_without_its_old_incarnation() {
    let mut history = history_of(&[view(1, 0..4)]);
    confirm(&mut history, 0..4, 1);
    let restarted = Process::new("agent-0", 2);
    let members = (1..4).map(agent).chain([restarted.clone()]);
    history.adopt(View::new(2, members));
    let restarted_at = NOW.plus(MARGIN * 3);
    history.record_successor(&restarted, restarted_at);
    for job in jobs(MARGIN * 2) {
        let scope = history.scope(job, NOW).unwrap();
        let was_keeper = view(1, 0..4).keeper(job) == Some(&agent(0));
        assert_eq!(
            history.gather_targets(job, &scope).contains(&agent(0)),
            !was_keeper
        );
    }
    for job in jobs(MARGIN * 3) {
        let scope = history.scope(job, NOW).unwrap();
        assert!(!history.gather_targets(job, &scope).contains(&agent(0)));
    }
}
