//! How long polls of the upstream wait while nothing happens, and how often the agent wakes up.

use crate::harness::{Harness, ms};
use cassiarock_transient::Message;
use cassiarock_transient::host::{Action, poll_backoff};
use cassiarock_transient::message::{Load, Outcome};
use cassiarock_transient::timing::{HEARTBEAT_INTERVAL, LEASE, LINK_TIMEOUT};

// An idle upstream was polled as often as a busy one, 22 times a second: this took most of its
// agent's processor time.
#[test]
fn an_idle_upstream_is_polled_less_often() {
    let mut harness = Harness::new();
    let idle = harness.host.poll_wait();
    harness.order(1, "j", 1);
    let busy = harness.host.poll_wait();
    assert!(idle >= busy * 3, "{idle:?} and {busy:?}");
    harness.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    assert_eq!(harness.host.poll_wait(), idle);
}

// A task starts just after a poll of an idle upstream was sent, and one more poll is lost. Its
// lease has to be renewed before it expires.
#[test]
fn a_task_that_starts_during_a_long_poll_keeps_its_lease() {
    let harness = Harness::new();
    let idle = harness.host.poll_wait();
    let lost = harness.host.poll_wait() + ms(250);
    assert!(idle + lost < LEASE, "{idle:?} and {lost:?}");
    assert!(idle < LINK_TIMEOUT);
}

// A restarted agent does not know what still runs on the upstream.
#[test]
fn an_upstream_that_is_not_reconciled_yet_counts_as_busy() {
    let mut harness = Harness::new();
    let idle = harness.host.poll_wait();
    harness.leftover = vec![("left", 1)];
    harness.report("u-2", 1);
    assert!(harness.host.poll_wait() < idle);
}

// Each of twelve quiet links had its own heartbeat times, so that an idle agent woke up 120 times a
// second to send them.
#[test]
fn heartbeats_of_quiet_links_are_sent_together() {
    let mut harness = Harness::new();
    for number in 2..=12 {
        harness.now += ms(8);
        harness.link(number);
        harness.poll();
    }
    let end = harness.now + ms(2_000);
    let (mut wakes, mut beats) = (0, 0);
    while harness.now < end {
        let next = harness.host.next_poll(harness.now).max(harness.now + ms(1));
        assert!(next <= harness.now + HEARTBEAT_INTERVAL, "none is late");
        harness.now = next;
        let actions = harness.host.poll(harness.now);
        let sent = actions
            .iter()
            .filter(|action| matches!(action, Action::Send(_, Message::AgentHeartbeat { .. })));
        beats += sent.count();
        wakes += 1;
    }
    assert!(wakes <= 60, "{wakes} in two seconds");
    assert!((240..=360).contains(&beats), "{beats} in two seconds");
}

// An upstream that was down for four seconds was polled 150 times, each time over a new connection.
#[test]
fn polls_of_an_upstream_that_is_down_back_off() {
    let mut passed = ms(0);
    let polls = (1..).find(|failures| {
        passed += poll_backoff(*failures);
        passed >= ms(4_000)
    });
    assert!(polls.is_some_and(|polls| polls <= 32), "{polls:?}");
    let at_once = poll_backoff(1) + poll_backoff(2);
    assert!(
        at_once <= ms(60),
        "one or two lost responses cost little time"
    );
}

// An upstream without tasks held the first poll, and the entries heard of its room with the next
// heartbeat: 140 ms in which a starting system stood still.
#[test]
fn a_new_upstream_is_polled_at_once_and_its_room_is_announced() {
    let mut harness = Harness::new();
    let polls = harness.polls;
    harness.is_silent = true;
    harness.report("u-2", 1);
    assert_eq!(harness.polls, polls + 1);
    harness.load = Load::default();
    let answer = harness.present.clone();
    harness.poll_answered(&answer, harness.now, harness.clock(), &[]);
    assert_eq!(harness.load.free.cpu, 10_000);
}
