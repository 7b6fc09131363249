//! When an entry with an old configuration asks another entry for a newer one.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::Process;
use cassiarock_transient::lag::ConfigurationLag;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(number: u64) -> Process {
    Process::new(format!("entry-{number}"), 1)
}

// An operator publishes a configuration of 1,700 routes while the store rejects one entry. Three
// other entries report ten times a second that they have a newer version. The entry asked each of
// them each time, and 30 copies a second of 250 KB arrived over its link, so that callers were
// answered seconds late.
#[test]
fn an_entry_that_is_behind_asks_one_other_at_a_time() {
    let mut lag = ConfigurationLag::new();
    let mut asked = Vec::new();
    for beat in 0..10 {
        for other in 0..3 {
            let now = ms(beat * 100 + other * 7);
            if lag.should_ask(&entry(other), false, now) {
                asked.push(now);
            }
        }
    }
    assert_eq!(asked, [ms(300)]);
}

// The store sends a configuration to all entries within milliseconds, but on a link of 2 Mbit/s it
// takes a second to arrive. Copies from other entries would only delay it further.
#[test]
fn an_entry_asks_nobody_while_the_store_sends() {
    let mut lag = ConfigurationLag::new();
    for now in (0..1_000).step_by(100) {
        assert!(!lag.should_ask(&entry(1), true, ms(now)));
    }
    lag.reset();
    assert!(!lag.should_ask(&entry(1), false, ms(1_000)));
}

// The store's connection went silent in the middle of a configuration, as connections do on this
// network. The entry assumed that the rest would arrive, asked nobody, and used the old version
// until the read timed out 23 s later; operators allow 2 s.
#[test]
fn an_entry_asks_another_if_what_the_store_sends_does_not_arrive() {
    let mut lag = ConfigurationLag::new();
    assert!(!lag.should_ask(&entry(1), true, ms(0)));
    assert!(!lag.should_ask(&entry(1), true, ms(900)));
    assert!(lag.should_ask(&entry(1), true, ms(1_000)));
}

#[test]
fn another_entry_is_asked_if_no_copy_arrives() {
    let mut lag = ConfigurationLag::new();
    lag.should_ask(&entry(1), false, ms(0));
    assert!(lag.should_ask(&entry(1), false, ms(300)));
    assert!(!lag.should_ask(&entry(2), false, ms(1_200)));
    assert!(lag.should_ask(&entry(2), false, ms(1_300)));
}

#[test]
fn a_lost_link_ends_the_wait_for_its_copy() {
    let mut lag = ConfigurationLag::new();
    lag.should_ask(&entry(1), false, ms(0));
    assert!(lag.should_ask(&entry(1), false, ms(300)));
    lag.link_lost(&entry(2));
    assert!(!lag.should_ask(&entry(2), false, ms(400)));
    lag.link_lost(&entry(1));
    assert!(lag.should_ask(&entry(2), false, ms(500)));
}
