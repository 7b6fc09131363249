//! Quotas of teams across all entries, and jobs that can no longer meet their deadline.

use super::pending::StopReason;
use super::{Action, FEASIBILITY_CHECK_INTERVAL, State, USAGE_INTERVAL};
use cassiarock_id::{Job, Name, Process};
use cassiarock_policy::admission::{Share, Usage};
use cassiarock_process::Now;
use cassiarock_rule::Configuration;
use cassiarock_rule::request::PoolLoads;
use cassiarock_wire::Frame;
use std::collections::HashMap;

/// The teams' shares as set in the configuration.
pub(super) fn shares(configuration: &Configuration) -> HashMap<Name, Share> {
    let teams = configuration.teams.iter();
    teams
        .map(|(team, quota)| {
            let share = Share {
                quota: Some(f64::from(quota.slots)),
                ..Share::default()
            };
            (team.clone(), share)
        })
        .collect()
}

impl State {
    /// Applies the teams' shares of a changed configuration to all pools.
    pub(super) fn update_team_shares(&mut self) {
        let shares = shares(&self.rules.configuration);
        for pool in self.pools.values_mut() {
            pool.set_teams(shares.clone());
        }
    }

    /// An agent lists the entries linked to it. Dials those that are not linked here; of two
    /// entries, the one with the lower id dials.
    pub(super) fn handle_entries(&mut self, entries: Vec<(Process, Name)>) -> Vec<Action> {
        let me = &self.settings.me;
        let unlinked = entries.into_iter().filter(|(entry, address)| {
            *me < *entry && !address.is_empty() && !self.entries.contains(entry)
        });
        unlinked
            .map(|(entry, address)| Action::Dial(entry, address))
            .collect()
    }

    /// Applies the usage of teams at another entry.
    pub(super) fn apply_usage_news(
        &mut self,
        entry: &Process,
        news: &[(Name, Vec<Usage>)],
        now: Now,
    ) -> Vec<Action> {
        for (pool, usages) in news {
            self.pool(pool).apply_usage(entry, usages, now.up);
        }
        Vec::new()
    }

    /// Sends the other entries the usage of teams here, if that is due and has changed.
    pub(super) fn send_usage(&mut self, now: Now) -> Vec<Action> {
        if now.up < self.next_usage_report {
            return Vec::new();
        }
        self.next_usage_report = now.up + USAGE_INTERVAL;
        let pools = self.pools.iter_mut();
        let news = pools.map(|(name, pool)| (name.clone(), pool.usage_updates()));
        let news: Vec<_> = news.filter(|(_, usages)| !usages.is_empty()).collect();
        if news.is_empty() {
            return Vec::new();
        }
        let entries = self.entries.iter();
        entries
            .map(|entry| Action::Send(entry.clone(), Frame::UsageUpdates(news.clone())))
            .collect()
    }

    /// Stops the jobs that can no longer end before their deadline, so that other jobs can use
    /// their slots and their callers are answered at once.
    pub(super) fn stop_infeasible_jobs(&mut self, now: Now) -> Vec<Action> {
        if now.up < self.next_feasibility_check {
            return Vec::new();
        }
        self.next_feasibility_check = now.up + FEASIBILITY_CHECK_INTERVAL;
        let loads = self.pools.iter();
        self.loads = loads.fold(PoolLoads::default(), |loads, (name, pool)| {
            loads.with_pool(name.clone(), pool.load_percent())
        });
        let infeasible: Vec<Job> = self
            .pools
            .values()
            .flat_map(|pool| pool.infeasible_jobs(now.up))
            .collect();
        let mut actions = Vec::new();
        for job in infeasible {
            actions.extend(self.stop(job, StopReason::Deadline, now));
        }
        actions
    }
}
