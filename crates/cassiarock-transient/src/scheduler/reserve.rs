//! How much room is left to more urgent jobs.
//!
//! The load that this answers is a burst in a large system. Entries share the upstreams, and
//! each orders only its own queue, so that freed room goes to whoever hears of it first. Jobs
//! that can wait long find room in the end; urgent ones with eight tasks and 80 ms to spare do
//! not: the most urgent kind was the worst served. So a job of a less urgent kind starts only
//! while a share of the room is free, a larger one for each step of urgency (trunk
//! reservation). No entry has to know the others' queues for it.

use std::collections::BTreeMap;
use std::time::Duration;

/// The share of the room that is left free for each step of urgency.
const STEP: f64 = 0.06;

/// Steps that count: the least urgent of nine kinds would need half of the room free.
const STEPS: usize = 3;

/// Room is kept for a kind only while its jobs come at least this often.
const RECENT: Duration = Duration::from_secs(3);

/// Answers that make up two thirds of what is known of a kind: with far fewer chance decides,
/// with far more a burst is over before it shows.
const MEMORY: f64 = 40.0;

/// Far beyond the room, keeping some of it free only starves the less urgent: with less than
/// this share of the more urgent ones in time it ends.
const HOPELESS: f64 = 0.6;

/// Priorities that are remembered; operators use a handful.
const PRIORITIES: usize = 64;

/// How jobs of one priority have fared lately.
#[derive(Clone, Copy, Debug)]
struct Fare {
    /// The share answered in time.
    in_time: f64,
    /// When one came last.
    came: Duration,
}

/// How jobs have fared, by the operators' priority.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve(BTreeMap<u32, Fare>);

impl Reserve {
    /// A job of this priority came.
    pub(super) fn arrive(&mut self, priority: u32, now: Duration) {
        if self.0.len() >= PRIORITIES && !self.0.contains_key(&priority) {
            self.0.clear();
        }
        let first = Fare {
            in_time: 1.0,
            came: now,
        };
        self.0.entry(priority).or_insert(first).came = now;
    }

    /// One was answered.
    pub(super) fn learn(&mut self, priority: u32, is_in_time: bool) {
        if let Some(fare) = self.0.get_mut(&priority) {
            let answer = f64::from(u8::from(is_in_time));
            fare.in_time += (answer - fare.in_time) / MEMORY;
        }
    }

    /// The share of the room that has to stay free when a job of this priority starts. None,
    /// if its kind fares worse than a more urgent one already.
    pub(super) fn share(&self, priority: u32, now: Duration) -> f64 {
        let urgent = self.0.range(..priority).map(|(_, fare)| fare);
        let urgent = urgent.filter(|fare| now.saturating_sub(fare.came) < RECENT);
        let (steps, worst) = urgent.fold((0, 1.0), |(steps, worst), fare| {
            (steps + 1, fare.in_time.min(worst))
        });
        let own = self.0.get(&priority).map_or(1.0, |fare| fare.in_time);
        if worst < HOPELESS || own < worst {
            return 0.0;
        }
        steps.min(STEPS) as f64 * STEP
    }
}
