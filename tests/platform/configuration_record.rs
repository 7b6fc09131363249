//! What a soak of configurations has seen, and which answers fit no configuration that may be in
//! force.

use reqwest::StatusCode;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What operators allow for a change to be in force at an entry that has been undisturbed for
/// `CONTACT`.
const IN_FORCE: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);

/// How long an entry that has shown a version may still answer from an older one.
const DOWNGRADE: Duration = Duration::from_millis(250);

/// The service of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Service {
    /// It has an upstream.
    Tasks,
    /// It has none, so that no job of the route completes.
    Unknown,
}

impl Service {
    pub const fn name(self) -> &'static str {
        match self {
            Self::Tasks => "tasks",
            Self::Unknown => "unknown",
        }
    }
}

/// The routes of a configuration, by their number.
pub type Routes = BTreeMap<usize, Service>;

/// A published configuration.
pub struct Version {
    pub sent: Instant,
    pub acked: Instant,
    pub routes: Routes,
}

/// A request that shows which configuration an entry has in force.
#[derive(Clone, Copy, Debug)]
pub enum Question {
    /// The number of pending jobs of a route.
    Count(usize),
    /// A job of a route.
    Job(usize),
}

/// The answer to a question.
#[derive(Debug)]
pub struct Answer {
    pub entry: usize,
    pub question: Question,
    pub sent: Instant,
    pub received: Instant,
    pub status: StatusCode,
}

impl Answer {
    /// Whether an entry with these routes may give this answer.
    fn fits(&self, routes: &Routes) -> bool {
        let (Question::Count(route) | Question::Job(route)) = self.question;
        let service = routes.get(&route);
        match (self.question, self.status) {
            (_, StatusCode::NOT_FOUND) => service.is_none(),
            (Question::Count(_), StatusCode::OK) => service.is_some(),
            (Question::Job(_), StatusCode::OK) => service == Some(&Service::Tasks),
            _ => true,
        }
    }
}

/// What happened in one run.
#[derive(Default)]
pub struct Record {
    /// Published configurations in their order.
    pub versions: Vec<Version>,
    /// Entries and when they were disturbed.
    pub disturbed: Vec<(usize, Instant, Instant)>,
    pub answers: Vec<Answer>,
    pub said: Vec<String>,
}

impl Record {
    fn is_calm(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let mut disturbed = self
            .disturbed
            .iter()
            .filter(|(number, ..)| *number == entry);
        !disturbed.any(|(_, start, end)| *start <= until && *end >= from)
    }

    /// The oldest version that may decide the answer, by the time of its request.
    fn oldest_allowed(&self, answer: &Answer) -> usize {
        let from = answer.sent.checked_sub(CONTACT).unwrap_or(answer.sent);
        if !self.is_calm(answer.entry, from, answer.received) {
            return 0;
        }
        let versions = self.versions.iter();
        let due = versions.take_while(|version| version.acked + IN_FORCE < answer.sent);
        due.count().saturating_sub(1)
    }

    /// The answers that fit only versions that are too old: a newer one was acknowledged too long
    /// before, or has been shown by the same process.
    pub fn outdated(&self) -> Vec<String> {
        let mut answers: Vec<&Answer> = self.answers.iter().collect();
        answers.sort_by_key(|answer| answer.received);
        let mut shown: Vec<(&Answer, usize)> = Vec::new();
        let mut outdated = Vec::new();
        for answer in answers {
            let allowed = self.oldest_allowed(answer);
            let before = shown.iter().filter(|(other, _)| {
                other.entry == answer.entry
                    && other.received + DOWNGRADE < answer.sent
                    && self.is_calm(answer.entry, other.received, answer.received)
            });
            let last_shown = before.map(|(_, version)| *version).max().unwrap_or(0);
            let oldest = allowed.max(last_shown);
            let sent = self.versions.iter();
            let sent = sent.take_while(|version| version.sent <= answer.received);
            let decided =
                (oldest..sent.count()).find(|version| answer.fits(&self.versions[*version].routes));
            match decided {
                Some(version) => shown.push((answer, version)),
                None => outdated.push(format!(
                    "{answer:?} although {allowed} was due and {last_shown} shown; {:?} after the due one",
                    answer.sent.saturating_duration_since(self.versions[allowed].acked)
                )),
            }
        }
        outdated
    }
}
