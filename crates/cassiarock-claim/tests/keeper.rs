//! Tests of a keeper's replies.

use cassiarock_claim::keeper::Keeper;
use cassiarock_claim::message::{ClaimReply, ClaimRequest, Purpose};
use cassiarock_claim::view::View;
use cassiarock_claim::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Wall};
use std::time::Duration;

const NOW: Wall = Wall::from_millis(1_000_000);
const RETENTION: Duration = Duration::from_secs(600);

fn view() -> View {
    View::new(5, (0..4).map(|n| Process::new(format!("agent-{n}"), 1)))
}

fn job() -> Job {
    Job::with_bits(NOW, 1)
}

fn keeper(me: &Process) -> Keeper {
    Keeper::new(me.clone(), RetentionLimit::new(RETENTION, 4_000))
}

fn ballot(round: u32, entry: u64) -> Ballot {
    Ballot::new(round, Process::new(format!("entry-{entry}"), 1)).with_serial(1)
}

fn request(entry: u64, purpose: Purpose) -> ClaimRequest {
    ClaimRequest {
        job: job(),
        digest: 9,
        purpose,
        view: 5,
        sole_keeper: true,
        ballot: ballot(Ballot::FRESH, entry),
    }
}

fn replies(requests: &[ClaimRequest]) -> Vec<ClaimReply> {
    let view = view();
    let mut keeper = keeper(view.keeper(job()).expect("members"));
    let answer = |request| keeper.answer(request, &view, NOW);
    requests.iter().map(answer).collect()
}

#[test]
fn a_repeated_claim_gets_the_same_reply_and_another_entry_the_owner() {
    let requests = [
        request(1, Purpose::Claim),
        request(1, Purpose::Claim),
        request(2, Purpose::Claim),
    ];
    let granted = ClaimReply::Granted(ballot(1, 1));
    let expected = [granted.clone(), granted, ClaimReply::Owned(ballot(1, 1))];
    assert_eq!(replies(&requests), expected);
}

// An entry answers a job, forgets it and gets the same submission again. Its second owner
// doesn't know what the first one started: a repeated grant would start those tasks again.
#[test]
fn a_later_owner_of_the_same_entry_is_not_granted_the_first_ones_ballot() {
    let first = request(1, Purpose::Claim);
    let second = ClaimRequest {
        ballot: first.ballot.clone().with_serial(2),
        ..request(1, Purpose::Claim)
    };
    let expected = [
        ClaimReply::Granted(ballot(1, 1)),
        ClaimReply::Owned(ballot(1, 1)),
    ];
    assert_eq!(replies(&[first, second]), expected);
}

#[test]
fn a_job_that_may_be_older_than_the_view_is_gathered() {
    let late = ClaimRequest {
        sole_keeper: false,
        ..request(1, Purpose::Claim)
    };
    assert_eq!(replies(&[late]), [ClaimReply::Gather(ballot(2, 1))]);
}

#[test]
fn of_two_entries_that_replace_one_owner_the_second_is_sent_to_the_first() {
    let over = Purpose::TakeOver { over: 1 };
    let requests = [
        request(1, Purpose::Claim),
        request(2, over),
        request(3, over),
        request(2, over),
    ];
    let gather = ClaimReply::Gather(ballot(2, 2));
    let expected = [
        ClaimReply::Granted(ballot(1, 1)),
        gather.clone(),
        ClaimReply::Owned(ballot(2, 2)),
        gather,
    ];
    assert_eq!(replies(&requests), expected);
}

#[test]
fn a_closed_job_stays_closed() {
    let requests = [request(1, Purpose::Refuse), request(2, Purpose::Claim)];
    assert_eq!(replies(&requests), [ClaimReply::Closed, ClaimReply::Closed]);
}

#[test]
fn only_the_owner_closes_a_claimed_job() {
    let requests = [
        request(1, Purpose::Claim),
        request(2, Purpose::Refuse),
        request(1, Purpose::Refuse),
    ];
    let granted = ClaimReply::Granted(ballot(1, 1));
    let expected = [granted, ClaimReply::Owned(ballot(1, 1)), ClaimReply::Closed];
    assert_eq!(replies(&requests), expected);
}

#[test]
fn an_id_in_use_for_other_tasks_is_a_mismatch() {
    let other = ClaimRequest {
        digest: 8,
        ..request(1, Purpose::Claim)
    };
    assert_eq!(
        replies(&[request(1, Purpose::Claim), other])[1],
        ClaimReply::Mismatch
    );
}

#[test]
fn an_agent_that_is_not_the_keeper_in_its_own_view_names_that_view() {
    let view = view();
    let other = view.ranked(job())[1];
    let older = ClaimRequest {
        view: 4,
        ..request(1, Purpose::Claim)
    };
    let reply = keeper(other).answer(&older, &view, NOW);
    assert_eq!(reply, ClaimReply::View(5));
}

#[test]
fn evicted_ids_are_not_treated_as_new() {
    let view = view();
    let mut keeper = keeper(view.keeper(job()).unwrap());
    keeper.answer(&request(1, Purpose::Claim), &view, NOW);
    let late = NOW.plus(RETENTION);
    keeper.evict(late);
    assert_eq!(keeper.bytes(), 0);
    let reply = keeper.answer(&request(2, Purpose::Claim), &view, late);
    assert_eq!(reply, ClaimReply::Forgotten);
}

#[test]
fn a_leaving_keeper_hands_its_claims_to_the_next() {
    let view = view();
    let me = view.keeper(job()).unwrap();
    let mut first = keeper(me);
    first.answer(&request(1, Purpose::Claim), &view, NOW);
    let rest = view.without(me);
    let sent = first.hand_over(&view);
    let [(to, records)] = &sent[..] else {
        panic!("one successor expected: {sent:?}");
    };
    assert_eq!(Some(to), rest.keeper(job()));
    let mut next = keeper(to);
    next.accept_handover(records.clone());
    let reply = next.answer(&request(2, Purpose::Claim), &rest, NOW);
    assert_eq!(reply, ClaimReply::Owned(ballot(1, 1)));
}
