//! Whether a task on a leaving upstream is better off there or started again elsewhere.

use std::time::Duration;

/// Callers' estimates are off by 40%, so that a task runs at least this share of its expected run
/// time, ...
const SHORTEST_RUN: f64 = 1.0 / 1.4;

/// ... and at most this many times of it.
const LONGEST_RUN: f64 = 1.0 / 0.6;

/// The time that a move takes: a stop takes up to 50 ms at the upstream, and its order some
/// milliseconds.
const MOVE_TIME: Duration = Duration::from_millis(60);

/// A late answer is worth one in this many of an answer in time.
const LATE_WORTH: f64 = 5.0;

/// What is known of a task on a leaving upstream. Times without a sign of their own are absolute.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outlook {
    pub(super) now: Duration,
    /// When the task was placed.
    pub(super) since: Duration,
    /// When the upstream ends at the earliest.
    pub(super) ends_at: Duration,
    /// The expected run time there.
    pub(super) expected_here: Duration,
    /// The expected run time elsewhere.
    pub(super) expected_elsewhere: Duration,
    /// Until when the task has to end for an answer on time.
    pub(super) on_time_until: Duration,
    /// Until when the task has to end for an answer that is worth anything.
    pub(super) useful_until: Duration,
}

/// What to do with the task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    /// It stays: it is expected to end there, or gains nothing elsewhere.
    Stay,
    /// It is stopped there and started elsewhere.
    Move,
    /// It ends in time neither there nor elsewhere.
    GiveUp,
}

impl Outlook {
    /// Moves the task if its caller is more likely to be served in time that way, and if the run
    /// time that is thrown away is less than the run time that is expected to be lost at the end of
    /// the upstream, by more than the move takes.
    pub(super) fn choose(&self) -> Choice {
        // The notice is a minimum. Once it is over, nothing is known of the end.
        if self.now >= self.ends_at {
            return Choice::Stay;
        }
        let (here, elsewhere) = (self.worth_here(), self.worth_elsewhere());
        if here == 0.0 && elsewhere == 0.0 {
            return Choice::GiveUp;
        }
        let run = self.ends_at.saturating_sub(self.since);
        let saved = run.mul_f64(1.0 - self.chance_here());
        let thrown_away = self.elapsed() + MOVE_TIME;
        if elsewhere > here && saved > thrown_away {
            Choice::Move
        } else {
            Choice::Stay
        }
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.now.saturating_sub(self.since)
    }

    /// The chance that the task ends before the upstream.
    pub(super) fn chance_here(&self) -> f64 {
        self.chance(self.ends_at, self.since, self.expected_here)
    }

    /// The chance of an answer on time, plus the worth of a late one, if the task stays. If it is
    /// lost with the upstream, it starts again.
    fn worth_here(&self) -> f64 {
        let lost = self.chance_here();
        let worth_until = |limit: Duration| {
            let here = self.chance(self.ends_at.min(limit), self.since, self.expected_here);
            here + (self.chance_elsewhere(self.ends_at, limit) - lost).max(0.0)
        };
        self.worth(worth_until)
    }

    /// The same if the task is moved now.
    pub(super) fn worth_elsewhere(&self) -> f64 {
        self.worth(|limit| self.chance_elsewhere(self.now, limit))
    }

    fn worth(&self, chance_until: impl Fn(Duration) -> f64) -> f64 {
        let on_time = chance_until(self.on_time_until);
        let useful = chance_until(self.useful_until);
        on_time + (useful - on_time).max(0.0) / LATE_WORTH
    }

    /// The chance that the task ends elsewhere until `limit` if it is stopped at `from`.
    fn chance_elsewhere(&self, from: Duration, limit: Duration) -> f64 {
        self.chance(limit, from + MOVE_TIME, self.expected_elsewhere)
    }

    /// The chance that a run that begins at `since` ends until `limit`. The ratio of its run time
    /// to the expected one is taken as uniform between `SHORTEST_RUN` and `LONGEST_RUN`, and is
    /// above what the run has taken so far. A run that exceeds all that is taken to last as much
    /// longer as others do.
    fn chance(&self, limit: Duration, since: Duration, expected: Duration) -> f64 {
        let shortest = ratio(self.elapsed(), self.expected_here).max(SHORTEST_RUN);
        let longest = if shortest < LONGEST_RUN {
            LONGEST_RUN
        } else {
            shortest * LONGEST_RUN
        };
        let allowed = ratio(limit.saturating_sub(since), expected);
        ((allowed - shortest) / (longest - shortest)).clamp(0.0, 1.0)
    }
}

fn ratio(time: Duration, expected: Duration) -> f64 {
    time.as_secs_f64() / expected.as_secs_f64().max(0.001)
}
