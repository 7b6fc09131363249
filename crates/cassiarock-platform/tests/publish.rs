//! Publishing through a log that fails in every way, and against other operators.

use cassiarock_platform::publish::Answer;
use cassiarock_platform::{Error, Log, Publisher};
use cassiarock_rule::action::Run;
use cassiarock_rule::effect::Reason;
use cassiarock_rule::{Action, Edit, Rule};
use cassiarock_test_support::log::Stand;
use std::time::Duration;

const CALL: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(8);

fn publisher(stand: &Stand, by: &str) -> Publisher {
    let log = Log::new(stand.url()).expect("an HTTP client");
    Publisher::new(log.with_timeout(CALL), by).with_time_limit(PATIENCE)
}

fn insert(name: &str) -> Vec<Edit> {
    let closed = Action::Refuse {
        reason: "closed".into(),
    };
    let mut rule = Rule::new(name, closed);
    rule.when.kinds = vec![name.into()];
    vec![Edit::Insert { at: 0, rule }]
}

fn accepted(answer: Result<Answer, Error>) -> u64 {
    match answer {
        Ok(Answer::Accepted { version }) => version,
        other => panic!("not accepted: {other:?}"),
    }
}

// Five operators look at the same rules and publish at the same moment. One wins; each other
// is told who won and what that changed, and nothing of theirs is in the rules.
#[tokio::test]
async fn of_racing_operators_one_wins_and_the_others_see_its_change() {
    let stand = Stand::start().await.unwrap();
    let races = ["ana", "ben", "cleo", "dan", "eva"].map(|by| {
        let mut publisher = publisher(&stand, by);
        tokio::spawn(async move {
            publisher.state().await.unwrap();
            (by, publisher.edit(0, insert(by)).await.unwrap())
        })
    });
    let mut answers = Vec::new();
    for race in races {
        answers.push(race.await.unwrap());
    }
    let won = |answer: &Answer| matches!(answer, Answer::Accepted { .. });
    let winners: Vec<_> = answers.iter().filter(|(_, answer)| won(answer)).collect();
    assert_eq!(winners.len(), 1);
    let winner = winners[0].0;
    for (_, answer) in answers.iter().filter(|(_, answer)| !won(answer)) {
        let Answer::Rejected {
            reason, difference, ..
        } = answer
        else {
            panic!("{answer:?}");
        };
        assert!(matches!(reason, Reason::Conflict { by, .. } if &**by == winner));
        assert_eq!(difference.to_string(), format!("rule {winner} added at 0"));
    }
}

// The append takes effect, its answer never comes. The operator must not be told of a failure,
// and the rules must not be changed twice.
#[tokio::test]
async fn a_lost_answer_yields_one_change_and_its_version() {
    let stand = Stand::start().await.unwrap();
    stand.with_fault(|fault| fault.lost_answers = 1);
    let version = accepted(publisher(&stand, "ana").edit(0, insert("a")).await);
    assert_eq!((version, stand.end()), (1, 1));
}

// As above, and the log goes down before the result is known; when it is back, the
// record is found.
#[tokio::test]
async fn a_lost_answer_is_settled_after_an_outage() {
    let stand = Stand::start().await.unwrap();
    let mut publisher = publisher(&stand, "ana");
    publisher.state().await.unwrap();
    stand.with_fault(|fault| fault.lost_answers = 1);
    let handle = cassiarock_test_support::log::Handle::clone(&stand);
    let outage = tokio::spawn(async move {
        while handle.end() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        handle.with_fault(|fault| fault.down = true);
        tokio::time::sleep(Duration::from_millis(600)).await;
        handle.with_fault(|fault| fault.down = false);
    });
    assert_eq!(accepted(publisher.edit(0, insert("a")).await), 1);
    outage.await.unwrap();
    let state = publisher.state().await.unwrap();
    assert_eq!((state.version, state.rules.rules.len()), (1, 1));
}

// An append takes longer than the client waits, so it is sent again, and both copies come onto
// the log, the second one after another operator's change.
#[tokio::test]
async fn a_slow_log_that_takes_both_copies_counts_one() {
    let stand = Stand::start().await.unwrap();
    let version = accepted(publisher(&stand, "ana").edit(0, insert("a")).await);
    accepted(publisher(&stand, "ben").edit(version, insert("b")).await);
    let first = stand.records()[0].1.clone();
    stand.append(first);
    let state = publisher(&stand, "cleo").state().await.unwrap();
    assert_eq!(
        (state.version, state.rules.rules.len(), state.next),
        (2, 2, 3)
    );
}

#[tokio::test]
async fn a_slow_log_delays_but_does_not_fail_a_change() {
    let stand = Stand::start().await.unwrap();
    stand.with_fault(|fault| fault.slow = CALL / 4);
    assert_eq!(
        accepted(publisher(&stand, "ana").edit(0, insert("a")).await),
        1
    );
}

// The log is down before anything is appended: the operator may safely retry.
#[tokio::test]
async fn a_log_that_is_down_leaves_no_doubt_and_no_record() {
    let stand = Stand::start().await.unwrap();
    stand.with_fault(|fault| fault.down = true);
    let answer = publisher(&stand, "ana").edit(0, insert("a")).await;
    assert!(
        matches!(&answer, Err(Error::Call(error)) if error.status() == Some(503)),
        "{answer:?}"
    );
    assert_eq!(stand.end(), 0);
}

// The answer is lost and the log falls silent for good: the operator is told that the change
// may be in force, with its id, and not that it failed.
#[tokio::test]
async fn a_change_that_cannot_be_settled_is_called_so() {
    let stand = Stand::start().await.unwrap();
    let mut publisher = publisher(&stand, "ana").with_time_limit(Duration::from_millis(700));
    publisher.state().await.unwrap();
    let handle = cassiarock_test_support::log::Handle::clone(&stand);
    stand.with_fault(|fault| fault.lost_answers = 1);
    let silence = tokio::spawn(async move {
        while handle.end() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        handle.with_fault(|fault| fault.silent = true);
    });
    let answer = publisher.edit(0, insert("a")).await;
    silence.await.unwrap();
    assert!(matches!(answer, Err(Error::Unsettled { .. })), "{answer:?}");
}

// An operator's file was written for version 0, and others have published since.
#[tokio::test]
async fn a_change_based_on_an_old_version_is_rejected_without_an_append() {
    let stand = Stand::start().await.unwrap();
    accepted(publisher(&stand, "ana").edit(0, insert("a")).await);
    let answer = publisher(&stand, "ben").edit(0, insert("b")).await.unwrap();
    let Answer::Rejected { reason, .. } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(
        reason.to_string(),
        "based on version 0, but ana published version 1"
    );
    assert_eq!(stand.end(), 1);
}

#[tokio::test]
async fn rules_that_cannot_be_right_are_rejected_without_an_append() {
    let stand = Stand::start().await.unwrap();
    let rule = Rule::new("a", Action::Run(Run::new("nowhere").with_queue(0)));
    let edits = vec![Edit::Insert { at: 0, rule }];
    let answer = publisher(&stand, "ana").edit(0, edits).await.unwrap();
    let Answer::Rejected { reason, .. } = answer else {
        panic!("{answer:?}");
    };
    let expected = "rule a at 0: queue is zero\nrule a at 0: no pool is named nowhere";
    assert_eq!(reason.to_string(), expected);
    assert_eq!(stand.end(), 0);
}
