//! Quotas of teams over all entries, and jobs that cannot be in time any more.

use super::pending::StopReason;
use super::{Action, FEASIBILITY_CHECK_INTERVAL, State, USAGE_INTERVAL};
use cassiarock_id::{Job, Name, Process};
use cassiarock_policy::admission::{Share, Usage};
use cassiarock_process::Now;
use cassiarock_rule::Configuration;
use cassiarock_rule::request::Loads;
use cassiarock_wire::Frame;
use std::collections::HashMap;

/// The teams' shares by the configuration.
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
    /// The configuration moved on.
    pub(super) fn update_team_shares(&mut self) {
        let shares = shares(&self.rules.configuration);
        for pool in self.pools.values_mut() {
            pool.set_teams(shares.clone());
        }
    }

    /// An agent names the entries linked to it. Of two entries the lower one dials.
    pub(super) fn handle_entries(&mut self, entries: Vec<(Process, Name)>) -> Vec<Action> {
        let me = &self.settings.me;
        let unlinked = entries.into_iter().filter(|(entry, address)| {
            *me < *entry && !address.is_empty() && !self.entries.contains(entry)
        });
        unlinked
            .map(|(entry, address)| Action::Dial(entry, address))
            .collect()
    }

    /// Another entry tells what its teams have used.
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

    /// Tells the other entries what teams have used here, if that is due and news.
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
            .map(|entry| Action::Send(entry.clone(), Frame::News(news.clone())))
            .collect()
    }

    /// Gives up the jobs that cannot end before their deadline any more: their slots are
    /// of use to others, and their callers are told at once.
    pub(super) fn stop_infeasible_jobs(&mut self, now: Now) -> Vec<Action> {
        if now.up < self.next_feasibility_check {
            return Vec::new();
        }
        self.next_feasibility_check = now.up + FEASIBILITY_CHECK_INTERVAL;
        let loads = self.pools.iter();
        self.loads = loads.fold(Loads::default(), |loads, (name, pool)| {
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
