//! Which requests an exhausted allowance serves first.
//!
//! While a workspace asks for more than its allowance, its tokens go to the most urgent
//! kinds of each service, and among equals to the requests that cost least. Hosts report
//! the demand by class, the coordinator finds the class up to which the tokens suffice, and
//! hosts refuse the rest before it takes tokens. The token buckets are not concerned, so
//! the bound of a window holds as it does without.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Tokens, WorkspaceId};

/// Class of requests of one workspace; the least one is served first.
pub type QuotaClass = u8;

/// Number of cost bands for each position among the kinds of a service.
const COST_BANDS: u8 = 3;
/// Number of binary orders of magnitude in one cost band.
const BAND_BITS: u32 = 4;
/// Binary order of magnitude at which the second band begins.
const FIRST_BAND_BITS: u32 = 8;
/// Last position that has classes of its own.
const MAX_POSITION: u8 = 9;
/// Time constant of the demand estimates, in seconds.
const DEMAND_TIME_CONSTANT_S: f64 = 1.0;
/// Demand below which a class is not reported, in tokens per second.
const MIN_DEMAND_PER_S: f64 = 1.0;
/// Time after a refusal or a cut for which a host reports the demand of a workspace.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Time after which a report or a cut counts no more. A host that has lost the coordinator
/// spends at its last rate and refuses nothing by class.
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time in which the tokens in a bucket may be spent beyond its rate, in seconds.
const LEVEL_TIME_S: f64 = 1.0;
/// Shortest and longest retry delay of a request that is refused by its class, in seconds.
const RETRY_AFTER_S: [f64; 2] = [0.5, 3.0];

/// Returns the class of a request that takes `tokens`, and whose route has `position` among
/// the ranks of its service.
pub fn classify(position: u8, tokens: Tokens) -> QuotaClass {
    let bits = tokens.max(1).ilog2();
    let band = (bits + BAND_BITS).saturating_sub(FIRST_BAND_BITS) / BAND_BITS;
    position.min(MAX_POSITION) * COST_BANDS + (band as u8).min(COST_BANDS - 1)
}

/// Up to which class the tokens of a workspace suffice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuotaCut {
    /// First class for which the tokens do not suffice.
    pub class: QuotaClass,
    /// Share of the requests of that class that are served, from 0 to 1.
    pub share: f64,
    /// Demand divided by the tokens that there are, over 1.
    pub excess: f64,
}

impl QuotaCut {
    /// Returns whether a request may ask for tokens. `draw` is a random number from 0 to 1.
    pub fn admits(&self, class: QuotaClass, draw: f64) -> bool {
        class < self.class || class == self.class && draw < self.share
    }

    /// Returns the delay after which a refused request may be retried: longer the more the
    /// demand exceeds the tokens. `jitter`, from 0 to 1, spreads clients.
    pub fn retry_after(&self, jitter: f64) -> Duration {
        let [shortest, longest] = RETRY_AFTER_S;
        let delay = (shortest * self.excess).clamp(shortest, longest);
        Duration::from_secs_f64(delay * (1.0 + jitter * 0.5))
    }
}

/// Demand of a workspace at one host by class, and the cut that applies there.
#[derive(Debug, Default)]
pub struct ClassDemand {
    /// Moving averages in tokens per second.
    per_s: BTreeMap<QuotaClass, f64>,
    advanced_at: Duration,
    reported_until: Duration,
    cut: Option<(Duration, QuotaCut)>,
}

impl ClassDemand {
    /// Adds the tokens of a request to the demand, and returns the cut if the request must
    /// not ask for tokens. `draw` is a random number from 0 to 1.
    pub fn record_request(
        &mut self,
        now: Duration,
        class: QuotaClass,
        tokens: Tokens,
        draw: f64,
    ) -> Option<QuotaCut> {
        self.advance(now);
        *self.per_s.entry(class).or_default() += tokens as f64 / DEMAND_TIME_CONSTANT_S;
        let (set_at, cut) = self.cut?;
        let is_valid = now.saturating_sub(set_at) < MAX_AGE;
        (is_valid && !cut.admits(class, draw)).then_some(cut)
    }

    /// Records that the allowance had too few tokens for a request.
    pub fn record_shortage(&mut self, now: Duration) {
        self.reported_until = now + REPORT_TIME;
    }

    /// Sets the cut that the coordinator sent, or removes it.
    pub fn set_cut(&mut self, now: Duration, cut: Option<QuotaCut>) {
        if cut.is_some() {
            self.record_shortage(now);
        }
        self.cut = cut.map(|cut| (now, cut));
    }

    /// Returns the demand by class, in tokens per second, while the allowance is short.
    pub fn build_report(&mut self, now: Duration) -> Vec<(QuotaClass, Tokens)> {
        self.advance(now);
        let is_short = now < self.reported_until;
        let classes = self.per_s.iter().filter(|_| is_short);
        classes.map(|(class, per_s)| (*class, *per_s as Tokens)).collect()
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let decay = (-elapsed / DEMAND_TIME_CONSTANT_S).exp();
        self.per_s.retain(|_, per_s| {
            *per_s *= decay;
            *per_s >= MIN_DEMAND_PER_S
        });
    }
}

/// Demand of one workspace over all hosts.
#[derive(Debug, Default)]
struct WorkspaceDemand {
    totals: BTreeMap<QuotaClass, Tokens>,
    /// Last report of each host with its time.
    reports: HashMap<HostId, (Duration, Vec<(QuotaClass, Tokens)>)>,
}

impl WorkspaceDemand {
    fn remove_report(&mut self, host: &HostId) {
        let Some((_, demand)) = self.reports.remove(host) else { return };
        for (class, per_s) in demand {
            if let Some(total) = self.totals.get_mut(&class) {
                *total = total.saturating_sub(per_s);
            }
        }
    }
}

/// The coordinator's record of the demand of workspaces whose allowance is short.
#[derive(Debug, Default)]
pub struct DemandBook {
    workspaces: HashMap<WorkspaceId, WorkspaceDemand>,
    expired_at: Duration,
}

impl DemandBook {
    /// Replaces what a host has reported on all workspaces.
    pub fn record_report(
        &mut self,
        now: Duration,
        host: &HostId,
        demands: Vec<(WorkspaceId, Vec<(QuotaClass, Tokens)>)>,
    ) {
        self.workspaces.values_mut().for_each(|demand| demand.remove_report(host));
        for (workspace, demand) in demands {
            let record = self.workspaces.entry(workspace).or_default();
            for (class, per_s) in &demand {
                *record.totals.entry(*class).or_default() += per_s;
            }
            record.reports.insert(host.clone(), (now, demand));
        }
        if now.saturating_sub(self.expired_at) >= MAX_AGE {
            self.expired_at = now;
            self.expire(now);
        }
    }

    /// Removes the reports of hosts that are silent.
    fn expire(&mut self, now: Duration) {
        for demand in self.workspaces.values_mut() {
            let is_old = |at: &Duration| now.saturating_sub(*at) >= MAX_AGE;
            let old = demand.reports.iter().filter(|(_, (at, _))| is_old(at));
            let old: Vec<HostId> = old.map(|(host, _)| host.clone()).collect();
            old.iter().for_each(|host| demand.remove_report(host));
        }
        self.workspaces.retain(|_, demand| !demand.reports.is_empty());
    }

    /// Returns the cut of a workspace whose bucket refills by `refill_per_s` and holds
    /// `level` tokens, or `None` if they suffice for all its requests.
    pub fn find_cut(&self, workspace: &str, refill_per_s: f64, level: f64) -> Option<QuotaCut> {
        let totals = &self.workspaces.get(workspace)?.totals;
        let available = refill_per_s + level.max(0.0) / LEVEL_TIME_S;
        let demand: Tokens = totals.values().sum();
        let mut left = available;
        let (class, per_s) =
            totals.iter().map(|(class, total)| (*class, *total as f64)).find(|(_, per_s)| {
                left -= per_s;
                left < 0.0
            })?;
        let share = ((left + per_s) / per_s).clamp(0.0, 1.0);
        Some(QuotaCut { class, share, excess: demand as f64 / available.max(1.0) })
    }
}
