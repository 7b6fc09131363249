//! Quotas of teams over all entries, and jobs that cannot be in time any more.

use super::work::Stop;
use super::{Action, JUDGE_EVERY, State, TELL_EVERY};
use cassiarock_id::{Job, Name, Process};
use cassiarock_policy::admission::{Share, Usage};
use cassiarock_process::Now;
use cassiarock_rule::Configuration;
use cassiarock_rule::request::PoolLoads;
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
    pub(super) fn share_out(&mut self) {
        let shares = shares(&self.rules.configuration);
        for pool in self.pools.values_mut() {
            pool.set_teams(shares.clone());
        }
    }

    /// An agent names the entries linked to it. Of two entries the lower one dials.
    pub(super) fn meet(&mut self, entries: Vec<(Process, Name)>) -> Vec<Action> {
        let me = &self.setting.me;
        let strangers = entries.into_iter().filter(|(entry, address)| {
            *me < *entry && !address.is_empty() && !self.entries.contains(entry)
        });
        strangers
            .map(|(entry, address)| Action::Dial(entry, address))
            .collect()
    }

    /// Another entry tells what its teams have used.
    pub(super) fn hear(
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
    pub(super) fn tell(&mut self, now: Now) -> Vec<Action> {
        if now.up < self.told {
            return Vec::new();
        }
        self.told = now.up + TELL_EVERY;
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

    /// Gives up the jobs that cannot end before their deadline any more: their slots are
    /// of use to others, and their callers are told at once.
    pub(super) fn judge(&mut self, now: Now) -> Vec<Action> {
        if now.up < self.judged {
            return Vec::new();
        }
        self.judged = now.up + JUDGE_EVERY;
        let loads = self.pools.iter();
        self.loads = loads.fold(PoolLoads::default(), |loads, (name, pool)| {
            loads.with_pool(name.clone(), pool.load_percent())
        });
        let hopeless: Vec<Job> = self
            .pools
            .values()
            .flat_map(|pool| pool.infeasible_jobs(now.up))
            .collect();
        let mut actions = Vec::new();
        for job in hopeless {
            actions.extend(self.stop(job, Stop::Deadline, now));
        }
        actions
    }
}
