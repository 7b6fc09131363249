//! Fair shares and quotas of teams.

use cassiarock_id::{Name, Process};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Number of tracked teams from which idle ones are dropped. 180 teams are planned.
const MAX_TEAMS: usize = 1024;

/// Bound, in seconds, on how far a team counts as ahead of its share. It limits how long one
/// burst delays the team.
const MAX_AHEAD_SECONDS: f64 = 120.0;

/// A team's share of the pool.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// Its weight, relative to the weights of the other teams that have work.
    pub weight: f64,
    /// How many slots it may keep busy on average; unlimited if `None`.
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
    /// The team's name.
    pub team: Name,
    /// The admitted work in milliseconds of slot time. It only grows, so a lost message is
    /// made up for by the next.
    pub work_ms: u64,
}

#[derive(Clone, Debug)]
struct Team {
    share: Share,
    /// Until when its admitted work uses its share, in seconds since the process started.
    share_used_until: f64,
    /// The unused part of its quota in seconds of slot time; negative if exceeded.
    tokens: f64,
    filled_at: f64,
    /// Work admitted at this entry, in milliseconds of slot time.
    admitted_ms: u64,
    /// The part of `admitted_ms` that the other entries were told of.
    announced_ms: u64,
}

/// The accounts of all teams at one entry.
///
/// Entries regularly tell each other how much work they have admitted for each team. Each
/// charges that to the same accounts as its own admissions, so that no message is needed per
/// job. Between two messages a team can exceed its quota by what the other entries admit in
/// that time.
#[derive(Debug, Default)]
pub(super) struct Teams {
    shares: HashMap<Name, Share>,
    teams: BTreeMap<Name, Team>,
    /// The work last reported by each other entry, in milliseconds of slot time.
    reported: HashMap<(Process, Name), u64>,
}

impl Teams {
    pub(super) fn set_shares(&mut self, shares: HashMap<Name, Share>) {
        for (name, team) in &mut self.teams {
            team.share = shares.get(name).copied().unwrap_or_default();
        }
        self.shares = shares;
    }

    /// Seconds until the quota allows more work; `None` if it does now.
    pub(super) fn quota_wait(
        &mut self,
        name: &Name,
        burst: Duration,
        now: Duration,
    ) -> Option<f64> {
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

    /// Charges work admitted at this entry. Returns how far the team was ahead of its share
    /// before.
    pub(super) fn charge(
        &mut self,
        name: &Name,
        work: f64,
        slots: f64,
        burst: Duration,
        now: Duration,
    ) -> Duration {
        let seconds = now.as_secs_f64();
        let ahead =
            (self.team(name, burst, now).share_used_until - seconds).clamp(0.0, MAX_AHEAD_SECONDS);
        self.team(name, burst, now).admitted_ms += (work * 1000.0) as u64;
        self.account(name, work, slots, burst, now);
        Duration::from_secs_f64(ahead)
    }

    /// In how many seconds work of the team would end if the team got only its share of the
    /// slots; `None` if no other team has work.
    pub(super) fn seconds_by_share(
        &mut self,
        name: &Name,
        work: f64,
        slots: f64,
        burst: Duration,
        now: Duration,
    ) -> Option<f64> {
        let seconds = now.as_secs_f64();
        let ahead = self.team(name, burst, now).share_used_until - seconds;
        let slots_entitled = self.entitled_slots(name, slots, burst, now);
        (slots_entitled < slots).then(|| ahead.max(0.0) + work / slots_entitled.max(0.001))
    }

    /// The usage of teams with newly admitted work since the last call.
    pub(super) fn usage_updates(&mut self) -> Vec<Usage> {
        let mut updates = Vec::new();
        for (name, team) in &mut self.teams {
            if team.admitted_ms != team.announced_ms {
                team.announced_ms = team.admitted_ms;
                updates.push(Usage {
                    team: name.clone(),
                    work_ms: team.admitted_ms,
                });
            }
        }
        updates
    }

    pub(super) fn apply_usage(
        &mut self,
        entry: &Process,
        usages: &[Usage],
        slots: f64,
        burst: Duration,
        now: Duration,
    ) {
        for usage in usages {
            let key = (entry.clone(), usage.team.clone());
            let before = self.reported.insert(key, usage.work_ms).unwrap_or(0);
            let work = usage.work_ms.saturating_sub(before) as f64 / 1000.0;
            self.account(&usage.team, work, slots, burst, now);
        }
    }

    /// Forgets the usage reported by an entry that is gone.
    pub(super) fn remove_entry(&mut self, entry: &Process) {
        self.reported.retain(|(other, _), _| other != entry);
    }

    fn account(&mut self, name: &Name, work: f64, slots: f64, burst: Duration, now: Duration) {
        let seconds = now.as_secs_f64();
        let slots_entitled = self.entitled_slots(name, slots, burst, now);
        let team = self.team(name, burst, now);
        team.share_used_until =
            team.share_used_until.max(seconds) + work / slots_entitled.max(0.001);
        team.share_used_until = team.share_used_until.min(seconds + MAX_AHEAD_SECONDS);
        team.tokens -= work;
    }

    /// How many slots the team is entitled to among the teams that have work.
    fn entitled_slots(&mut self, name: &Name, slots: f64, burst: Duration, now: Duration) -> f64 {
        let own = self.team(name, burst, now).share.weight.max(0.001);
        let seconds = now.as_secs_f64();
        let others = self.active(seconds).filter(|(other, _)| *other != name);
        let others: f64 = others.map(|(_, team)| team.share.weight).sum();
        slots * own / (own + others)
    }

    fn active(&self, seconds: f64) -> impl Iterator<Item = (&Name, &Team)> {
        let teams = self.teams.iter();
        teams.filter(move |(_, team)| team.share_used_until > seconds)
    }

    fn team(&mut self, name: &Name, burst: Duration, now: Duration) -> &mut Team {
        let seconds = now.as_secs_f64();
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(name) {
            self.teams.retain(|_, team| team.share_used_until > seconds);
        }
        let share = self.shares.get(name).copied().unwrap_or_default();
        let full = share.quota.unwrap_or(0.0) * burst.as_secs_f64();
        let team = self.teams.entry(name.clone()).or_insert(Team {
            share,
            share_used_until: seconds,
            tokens: full,
            filled_at: seconds,
            admitted_ms: 0,
            announced_ms: 0,
        });
        let quota = team.share.quota.unwrap_or(0.0);
        let refill = quota * (seconds - team.filled_at).max(0.0);
        team.tokens = (team.tokens + refill).min(quota * burst.as_secs_f64());
        team.filled_at = seconds;
        team
    }
}
