//! Fairness between teams, and their quotas.

use cassiarock_id::{Name, Process};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Teams tracked at most. Above, idle ones are forgotten; the plan has 180.
const TEAMS: usize = 1024;

/// How far ahead of its share a team may be counted, in seconds. Bounds how long one
/// burst is held against a team.
const FURTHEST: f64 = 120.0;

/// A team's share of the pool.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// Its part, relative to the weights of the teams that have work.
    pub weight: f64,
    /// How many slots it may keep busy on average; none if `None`.
    pub quota: Option<f64>,
}

impl Default for Share {
    fn default() -> Self {
        Self {
            weight: 1.0,
            quota: None,
        }
    }
}

/// The work an entry has admitted for a team since the entry started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// The team.
    pub team: Name,
    /// Milliseconds of slot time, ever growing: a message lost is made up by the next.
    pub work_ms: u64,
}

#[derive(Clone, Debug)]
struct Team {
    share: Share,
    /// Seconds since the process started up to which its admitted work uses its share.
    used_until: f64,
    /// Seconds of slot time left of its quota.
    tokens: f64,
    filled_at: f64,
    own_ms: u64,
    told_ms: u64,
}

/// All teams, as one entry sees them.
///
/// Entries tell each other now and then what they have admitted. Each charges what it
/// hears to the same accounts as its own admissions, so that no message is needed per
/// job; between two tellings a team can exceed its quota by what the other entries admit
/// in that time.
#[derive(Debug, Default)]
pub(super) struct Teams {
    shares: HashMap<Name, Share>,
    teams: BTreeMap<Name, Team>,
    heard: HashMap<(Process, Name), u64>,
}

impl Teams {
    pub(super) fn set(&mut self, shares: HashMap<Name, Share>) {
        for (name, team) in &mut self.teams {
            team.share = shares.get(name).copied().unwrap_or_default();
        }
        self.shares = shares;
    }

    /// Seconds until the quota allows more work; `None` if it does now.
    pub(super) fn wait(&mut self, name: &Name, burst: Duration, now: Duration) -> Option<f64> {
        let team = self.team(name, burst, now);
        let quota = team.share.quota?;
        if team.tokens > 0.0 {
            return None;
        }
        Some(if quota > 0.0 {
            -team.tokens / quota
        } else {
            f64::MAX
        })
    }

    /// Charges work admitted here; returns how far the team is ahead of its share.
    pub(super) fn charge(
        &mut self,
        name: &Name,
        work: f64,
        slots: f64,
        burst: Duration,
        now: Duration,
    ) -> Duration {
        let seconds = now.as_secs_f64();
        let ahead = (self.team(name, burst, now).used_until - seconds).clamp(0.0, FURTHEST);
        self.team(name, burst, now).own_ms += (work * 1000.0) as u64;
        self.use_up(name, work, slots, burst, now);
        Duration::from_secs_f64(ahead)
    }

    /// In how many seconds work of the team would end if the team got just its share of
    /// the slots; `None` if no other team has work.
    pub(super) fn end_by_share(
        &mut self,
        name: &Name,
        work: f64,
        slots: f64,
        burst: Duration,
        now: Duration,
    ) -> Option<f64> {
        let seconds = now.as_secs_f64();
        let ahead = self.team(name, burst, now).used_until - seconds;
        let rate = self.rate(name, slots, burst, now);
        (rate < slots).then(|| ahead.max(0.0) + work / rate.max(0.001))
    }

    /// What to tell the other entries: teams with new work since the last call.
    pub(super) fn news(&mut self) -> Vec<Usage> {
        let mut news = Vec::new();
        for (name, team) in &mut self.teams {
            if team.own_ms != team.told_ms {
                team.told_ms = team.own_ms;
                news.push(Usage {
                    team: name.clone(),
                    work_ms: team.own_ms,
                });
            }
        }
        news
    }

    pub(super) fn hear(
        &mut self,
        entry: &Process,
        usages: &[Usage],
        slots: f64,
        burst: Duration,
        now: Duration,
    ) {
        for usage in usages {
            let key = (entry.clone(), usage.team.clone());
            let before = self.heard.insert(key, usage.work_ms).unwrap_or(0);
            let work = usage.work_ms.saturating_sub(before) as f64 / 1000.0;
            self.use_up(&usage.team, work, slots, burst, now);
        }
    }

    /// Forgets what an entry told that is gone.
    pub(super) fn forget(&mut self, entry: &Process) {
        self.heard.retain(|(other, _), _| other != entry);
    }

    fn use_up(&mut self, name: &Name, work: f64, slots: f64, burst: Duration, now: Duration) {
        let seconds = now.as_secs_f64();
        let rate = self.rate(name, slots, burst, now);
        let team = self.team(name, burst, now);
        team.used_until = team.used_until.max(seconds) + work / rate.max(0.001);
        team.used_until = team.used_until.min(seconds + FURTHEST);
        team.tokens -= work;
    }

    /// How many slots the team is entitled to among the teams that have work.
    fn rate(&mut self, name: &Name, slots: f64, burst: Duration, now: Duration) -> f64 {
        let own = self.team(name, burst, now).share.weight.max(0.001);
        let seconds = now.as_secs_f64();
        let others = self.active(seconds).filter(|(other, _)| *other != name);
        let others: f64 = others.map(|(_, team)| team.share.weight).sum();
        slots * own / (own + others)
    }

    fn active(&self, seconds: f64) -> impl Iterator<Item = (&Name, &Team)> {
        let teams = self.teams.iter();
        teams.filter(move |(_, team)| team.used_until > seconds)
    }

    fn team(&mut self, name: &Name, burst: Duration, now: Duration) -> &mut Team {
        let seconds = now.as_secs_f64();
        if self.teams.len() >= TEAMS && !self.teams.contains_key(name) {
            self.teams.retain(|_, team| team.used_until > seconds);
        }
        let share = self.shares.get(name).copied().unwrap_or_default();
        let full = share.quota.unwrap_or(0.0) * burst.as_secs_f64();
        let team = self.teams.entry(name.clone()).or_insert(Team {
            share,
            used_until: seconds,
            tokens: full,
            filled_at: seconds,
            own_ms: 0,
            told_ms: 0,
        });
        let quota = team.share.quota.unwrap_or(0.0);
        let refill = quota * (seconds - team.filled_at).max(0.0);
        team.tokens = (team.tokens + refill).min(quota * burst.as_secs_f64());
        team.filled_at = seconds;
        team
    }
}
