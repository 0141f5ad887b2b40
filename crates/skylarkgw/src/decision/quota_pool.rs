//! Quotas over all hosts: a pool of token buckets at the coordinator, and a
//! local balance on every host.
//!
//! The coordinator holds one token bucket for each workspace. Hosts draw tokens
//! ahead of their demand, so a request rarely waits for the coordinator. Drawn
//! tokens leave the bucket, so no two hosts spend the same ones. A host that
//! loses the coordinator continues at its last rate for [`FALLBACK_DURATION`],
//! and the pool withholds these tokens. This limits a noisy neighbour without a
//! static split, which would starve small workspaces.
//!
//! An engine that names a request rate has a bucket of its own in the same pool. Hosts
//! draw its tokens one request at a time, because twenty hosts that each kept a token
//! in reserve would exceed a rate of a few requests per second.
//!
//! A workspace may use rate x window + burst in any window. A plain token
//! bucket grants its burst only once, so the bucket also refills by a part of
//! the burst, and a log of the grants in the window enforces the bound.

mod local_quota;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::freshness::silence_timeout;
use crate::gateway::declaration::WorkspaceRule;
use crate::ids::{EndpointId, HostId, Revision, Tokens, WorkspaceId};

pub use local_quota::LocalQuota;

/// Time since the coordinator's last answer up to which a host may spend at its
/// last rate, and since a host's last report up to which the coordinator
/// withholds tokens for it.
pub const FALLBACK_DURATION: Duration = Duration::from_millis(4_500);
/// Share of the tolerated excess that the buckets of a new coordinator start
/// with if it does not know when its predecessor stopped. It has no record of what
/// that one granted, and the coordinator may fail twice in one window.
const INITIAL_LEVEL_SHARE: f64 = 0.45;
/// Time in which a workspace earns the tokens that all hosts together may hold, in
/// seconds: what they draw ahead, and what requests of different sizes leave over.
const HELD_TIME_S: f64 = 0.85;
/// Time constant of the demand estimate, in seconds.
const DEMAND_TIME_CONSTANT_S: f64 = 1.0;

/// Least time between two refills of the buckets, so that their cost does not grow
/// with the number of draws.
const REFILL_INTERVAL: Duration = Duration::from_millis(20);

/// Share of the burst that is refilled within a window, beyond the rate.
const BURST_REFILL_SHARE: f64 = 0.75;
/// Number of intervals that the log of a window is divided into.
const WINDOW_INTERVALS: u32 = 32;
/// Tokens that one request to an engine takes from the engine's bucket.
const TOKENS_PER_REQUEST: Tokens = 1_000;
/// Capacity of the bucket of an engine, in seconds of its rate. It holds one request at
/// least.
const ENGINE_BURST_S: f64 = 0.5;
/// Longest retry delay returned to a client.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(6);
/// Shortest retry delay. A client that retried at once would be refused again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The token bucket of one workspace or engine, with a log of its grants.
#[derive(Debug)]
struct RateBucket {
    /// Refill rate in tokens per second.
    rate: f64,
    /// Capacity in tokens.
    burst: f64,
    /// Tokens in the bucket; negative after a grant larger than the burst.
    level: f64,
    /// Tokens of refused requests that are expected to be retried.
    backlog: f64,
    /// Start of each interval of the window and tokens granted in it, oldest
    /// first.
    granted: VecDeque<(Duration, f64)>,
    /// Moving average of the tokens that each host draws per second.
    drawn_per_s: HashMap<HostId, f64>,
    /// Sum of `drawn_per_s`.
    total_drawn_per_s: f64,
}

impl RateBucket {
    fn new(rate: f64, burst: f64, level: f64) -> RateBucket {
        RateBucket {
            rate,
            burst,
            level,
            backlog: 0.0,
            granted: VecDeque::new(),
            drawn_per_s: HashMap::new(),
            total_drawn_per_s: 0.0,
        }
    }
    /// Returns the number of tokens that may still be granted in the window.
    fn remaining_tokens(&self, window: Duration) -> f64 {
        let granted: f64 = self.granted.iter().map(|(_, tokens)| tokens).sum();
        self.rate * window.as_secs_f64() + self.burst - granted
    }

    /// Adds a grant to the log of the window.
    fn record_grant(&mut self, now: Duration, window: Duration, tokens: f64) {
        let interval = window / WINDOW_INTERVALS;
        match self.granted.back_mut() {
            Some((since, granted)) if now.saturating_sub(*since) < interval => *granted += tokens,
            _ => self.granted.push_back((now, tokens)),
        }
    }

    /// Refills the bucket for `elapsed` seconds and drops grants that have left the
    /// window. Rates are in tokens per second.
    fn refill(
        &mut self,
        now: Duration,
        elapsed: f64,
        rate: f64,
        withheld_per_s: f64,
        window: Duration,
    ) {
        self.backlog = (self.backlog - rate * elapsed).max(0.0);
        while self.granted.front().is_some_and(|(since, _)| {
            now.saturating_sub(*since) > window + window / WINDOW_INTERVALS
        }) {
            self.granted.pop_front();
        }
        let refill = (rate - withheld_per_s).max(0.0) * elapsed;
        self.level = (self.level + refill).min(self.burst);
    }

    /// Grants up to `wanted` tokens, or none if fewer than `min_tokens` are available.
    fn draw(
        &mut self,
        now: Duration,
        window: Duration,
        host: &HostId,
        wanted: Tokens,
        min_tokens: Tokens,
    ) -> QuotaGrant {
        let required = (min_tokens as f64).min(self.burst);
        let remaining_tokens = self.remaining_tokens(window);
        let granted =
            if self.level < required || self.level <= 0.0 || remaining_tokens < min_tokens as f64 {
                0.0
            } else {
                (wanted as f64).min(self.level).min(remaining_tokens).max(min_tokens as f64).floor()
            };
        self.level -= granted;
        self.record_grant(now, window, granted);
        let drawn = self.drawn_per_s.entry(host.clone()).or_default();
        *drawn += granted / DEMAND_TIME_CONSTANT_S;
        let drawn = *drawn;
        self.total_drawn_per_s += granted / DEMAND_TIME_CONSTANT_S;
        let fallback_per_s = drawn.min(self.rate * drawn / self.total_drawn_per_s.max(1.0));
        let mut retry_after = Duration::ZERO;
        if granted < min_tokens as f64 {
            // Requests refused earlier are expected to be retried before this one.
            self.backlog += min_tokens as f64;
            let missing = (self.backlog - self.level).max(0.0) / self.rate.max(1.0);
            let wait = Duration::from_secs_f64(missing.min(MAX_RETRY_AFTER.as_secs_f64()));
            retry_after = wait.max(MIN_RETRY_AFTER);
        }
        QuotaGrant { tokens: granted as Tokens, fallback_per_s, retry_after }
    }

    /// Takes back tokens that were granted and not spent.
    ///
    /// They leave the log at its newest grants, so a window counts what was granted less
    /// what was returned in it. What is spent in a window exceeds that by no more than
    /// hosts held at its start, as it does without returns.
    fn take_back(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.burst);
        let mut remaining = tokens;
        for (_, granted) in self.granted.iter_mut().rev() {
            let part = remaining.min(*granted);
            *granted -= part;
            remaining -= part;
        }
    }
}

/// The window over which quotas are counted, and the excess that is tolerated.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuotaTolerance {
    /// Time over which the tokens of a workspace are counted.
    pub window: Duration,
    /// Tolerated excess as a fraction of rate x window + burst.
    pub overshoot: f64,
    /// Tolerated excess beyond that, in tokens.
    pub slack_tokens: f64,
}

impl QuotaTolerance {
    /// Returns the number of tokens by which the quota may be exceeded in a
    /// window.
    fn max_excess(&self, rate: f64, burst: f64) -> f64 {
        (rate * self.window.as_secs_f64() + burst) * self.overshoot + self.slack_tokens
    }
}

/// Quota of a workspace, as a declaration states it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkspaceQuota {
    /// Tokens per second; zero means no limit.
    pub tokens_per_s: Tokens,
    /// Number of tokens that may be used at once in excess of the rate.
    pub burst_tokens: Tokens,
}

impl From<&WorkspaceRule> for WorkspaceQuota {
    fn from(rule: &WorkspaceRule) -> WorkspaceQuota {
        WorkspaceQuota { tokens_per_s: rule.tokens_per_s, burst_tokens: rule.burst_tokens }
    }
}

/// Request of a host for the tokens of one client request.
///
/// It carries the quota that the host knows, because the coordinator may have read an older
/// declaration than the host, or none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuotaDraw {
    /// Workspace whose quota is charged.
    pub workspace: WorkspaceId,
    /// Number of tokens.
    pub tokens: Tokens,
    /// Quota of the workspace in the declaration of the host.
    pub quota: WorkspaceQuota,
    /// Revision of that declaration.
    pub revision: Revision,
}

/// The token buckets of all workspaces, held by the coordinator.
#[derive(Debug, Default)]
pub struct QuotaPool {
    buckets: HashMap<WorkspaceId, RateBucket>,
    /// Revision of the declaration that the coordinator has read; zero before the first.
    revision: Revision,
    /// Workspaces without a limit in that declaration.
    unlimited: HashSet<WorkspaceId>,
    /// Revisions of the quotas that hosts know from newer declarations.
    drawn_revisions: HashMap<WorkspaceId, Revision>,
    /// Buckets of engines that have named a request rate.
    engine_buckets: HashMap<EndpointId, RateBucket>,
    advanced_at: Duration,
    /// Local time of the last report of each host.
    reported_at: HashMap<HostId, Duration>,
    tolerance: QuotaTolerance,
    started_at: Duration,
    start: PoolStart,
}

/// What is known about the coordinators before, and so about their grants.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PoolStart {
    /// Nothing can have been granted, so the buckets start full.
    First,
    /// The previous coordinator has stopped just before. Its buckets may have been
    /// empty, and any number of coordinators can follow one another in this way, so
    /// the buckets start empty.
    AfterRelease,
    /// The previous coordinator was lost some time before, so the buckets start with
    /// a share of the tolerated excess that hosts do not use up with the tokens that
    /// they hold.
    #[default]
    AfterLoss,
}

impl PoolStart {
    /// Returns the short name of the start in logs.
    pub fn label(self) -> &'static str {
        match self {
            PoolStart::First => "first",
            PoolStart::AfterRelease => "after-release",
            PoolStart::AfterLoss => "after-loss",
        }
    }
}

/// The coordinator's answer to a request for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaGrant {
    /// Tokens granted.
    pub tokens: Tokens,
    /// Tokens per second that the host may spend if it loses the coordinator.
    pub fallback_per_s: f64,
    /// Time after which a refused request may succeed; zero if enough tokens were
    /// granted.
    pub retry_after: Duration,
}

impl QuotaPool {
    /// Creates a pool without workspaces.
    ///
    /// `start` decides how many tokens the buckets contain, because a new coordinator
    /// has no record of what its predecessor granted.
    pub fn new(now: Duration, tolerance: QuotaTolerance, start: PoolStart) -> QuotaPool {
        QuotaPool { advanced_at: now, started_at: now, tolerance, start, ..QuotaPool::default() }
    }

    /// Sets the workspaces of the declaration with the given revision. Buckets that exist
    /// already keep their levels, up to the new burst. A workspace with a rate of zero has no
    /// quota.
    ///
    /// Quotas that hosts know from newer declarations stay in force.
    pub fn set_workspaces<'a>(
        &mut self,
        now: Duration,
        revision: Revision,
        workspaces: impl IntoIterator<Item = &'a WorkspaceRule>,
    ) {
        self.advance(now);
        self.revision = revision;
        self.drawn_revisions.retain(|_, drawn| *drawn > revision);
        let (limited, unlimited): (Vec<_>, Vec<_>) =
            workspaces.into_iter().partition(|workspace| workspace.tokens_per_s > 0);
        self.unlimited = unlimited.into_iter().map(|workspace| workspace.name.clone()).collect();
        let names: HashSet<&WorkspaceId> =
            limited.iter().map(|workspace| &workspace.name).collect();
        let drawn = &self.drawn_revisions;
        self.buckets.retain(|name, _| names.contains(name) || drawn.contains_key(name));
        for workspace in limited {
            if !self.drawn_revisions.contains_key(&workspace.name) {
                self.set_quota(&workspace.name, workspace.into());
            }
        }
    }

    /// Sets the quota of a workspace. A bucket that exists already keeps its level, up to
    /// the new burst.
    fn set_quota(&mut self, workspace: &WorkspaceId, quota: WorkspaceQuota) {
        let (rate, burst) = (quota.tokens_per_s as f64, quota.burst_tokens as f64);
        let start = match self.start {
            PoolStart::First => burst,
            PoolStart::AfterRelease => 0.0,
            PoolStart::AfterLoss => {
                let max_excess = self.tolerance.max_excess(rate, burst);
                // Hosts may have held tokens when the window began.
                let unheld = (max_excess - rate * HELD_TIME_S).max(0.0);
                unheld.min(max_excess * INITIAL_LEVEL_SHARE)
            }
        };
        let bucket = self.buckets.entry(workspace.clone());
        let bucket = bucket.or_insert_with(|| RateBucket::new(rate, burst, start.min(burst)));
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst);
    }

    /// Records that a host has reported to the coordinator.
    pub fn record_report(&mut self, now: Duration, host: &HostId) {
        self.reported_at.insert(host.clone(), now);
    }

    /// Grants up to `wanted` tokens, or none if fewer than `min_tokens` are
    /// available.
    ///
    /// Returns `None` if there is no bucket for the workspace. A single request may be
    /// larger than the burst. It then requires a full bucket and leaves a
    /// negative level.
    pub fn draw(
        &mut self,
        now: Duration,
        host: &HostId,
        workspace: &str,
        wanted: Tokens,
        min_tokens: Tokens,
    ) -> Option<QuotaGrant> {
        self.advance(now);
        let bucket = self.buckets.get_mut(workspace)?;
        Some(bucket.draw(now, self.tolerance.window, host, wanted, min_tokens))
    }

    /// Returns the revision of the newest declaration by which the quota of a workspace is
    /// known.
    fn known_revision(&self, workspace: &str) -> Revision {
        self.drawn_revisions.get(workspace).copied().unwrap_or(self.revision)
    }

    /// Grants up to `wanted` tokens to a host that draws them ahead of its demand.
    ///
    /// `revision` is that of the host's declaration. If the quota is not known by that one
    /// yet, nothing is granted, so that the host draws for its next request, which states
    /// the quota. Returns `None` if there is no bucket for the workspace.
    pub fn draw_in_advance(
        &mut self,
        now: Duration,
        host: &HostId,
        workspace: &str,
        wanted: Tokens,
        revision: Revision,
    ) -> Option<QuotaGrant> {
        if revision > self.known_revision(workspace) {
            return Some(QuotaGrant::default());
        }
        self.draw(now, host, workspace, wanted, 0)
    }

    /// Grants the tokens of one client request, or none.
    ///
    /// Returns `None` if the workspace has no limit. That a workspace has no bucket does not
    /// show this: the quota of the host's declaration applies if that is newer, and a
    /// workspace that a newer declaration no longer contains gets no tokens.
    pub fn draw_for_request(
        &mut self,
        now: Duration,
        host: &HostId,
        draw: &QuotaDraw,
    ) -> Option<QuotaGrant> {
        if draw.revision > self.known_revision(&draw.workspace) {
            self.drawn_revisions.insert(draw.workspace.clone(), draw.revision);
            self.set_quota(&draw.workspace, draw.quota);
        }
        let grant = self.draw(now, host, &draw.workspace, draw.tokens, draw.tokens);
        if grant.is_none() && !self.unlimited.contains(&draw.workspace) {
            return Some(QuotaGrant { retry_after: MIN_RETRY_AFTER, ..QuotaGrant::default() });
        }
        grant
    }

    /// Grants one request to an engine, or none.
    ///
    /// Returns `None` if the engine has no limit.
    pub fn draw_request(
        &mut self,
        now: Duration,
        host: &HostId,
        engine: &EndpointId,
    ) -> Option<QuotaGrant> {
        self.advance(now);
        let bucket = self.engine_buckets.get_mut(engine)?;
        let tokens = TOKENS_PER_REQUEST;
        Some(bucket.draw(now, self.tolerance.window, host, tokens, tokens))
    }

    /// Sets or removes the limit of an engine, in requests per second.
    ///
    /// The bucket of an engine starts empty, since nothing is known about earlier
    /// requests, and keeps its level when the limit changes.
    pub fn set_engine_limit(&mut self, now: Duration, engine: &EndpointId, limit: Option<f64>) {
        self.advance(now);
        let Some(limit) = limit else {
            self.engine_buckets.remove(engine);
            return;
        };
        let tokens = TOKENS_PER_REQUEST as f64;
        let (rate, burst) = (limit * tokens, (limit * ENGINE_BURST_S).max(1.0) * tokens);
        let bucket = self.engine_buckets.entry(engine.clone());
        let bucket = bucket.or_insert_with(|| RateBucket::new(rate, burst, 0.0));
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst);
    }

    /// Removes the limits of engines for which `is_listed` returns `false`.
    pub fn retain_engines(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.engine_buckets.retain(|engine, _| is_listed(engine));
    }

    /// Takes back tokens of a workspace that a host has drawn and does not need.
    pub fn return_tokens(&mut self, now: Duration, workspace: &str, tokens: Tokens) {
        self.advance(now);
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.take_back(tokens as f64);
        }
    }

    /// Returns the level of a workspace's bucket, in tokens.
    pub fn level(&mut self, now: Duration, workspace: &str) -> Option<f64> {
        self.advance(now);
        self.buckets.get(workspace).map(|bucket| bucket.level)
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.advanced_at);
        if elapsed < REFILL_INTERVAL {
            return;
        }
        let elapsed = elapsed.as_secs_f64();
        self.advanced_at = now;
        self.reported_at
            .retain(|_, reported_at| now.saturating_sub(*reported_at) < FALLBACK_DURATION);
        let (window, started_at) = (self.tolerance.window, self.started_at);
        let is_first = self.start == PoolStart::First;
        let reported_at = &self.reported_at;
        let timeout = silence_timeout(reported_at.len() as u32);
        let is_silent = |host: &HostId| {
            reported_at.get(host).is_some_and(|at| now.saturating_sub(*at) >= timeout)
        };
        for bucket in self.buckets.values_mut() {
            // A silent host may be spending at its fallback rate, so the pool
            // withholds the average rate at which the host last drew.
            let silent_hosts = bucket.drawn_per_s.iter().filter(|(host, _)| is_silent(host));
            let withheld_per_s: f64 = silent_hosts.map(|(_, drawn)| *drawn).sum();
            // Grants of a predecessor are missing from the log, so the burst is
            // refilled only after a whole window has passed.
            let is_window_logged = is_first || now.saturating_sub(started_at) >= window;
            let burst_refill_per_s = bucket.burst * BURST_REFILL_SHARE / window.as_secs_f64();
            let rate = bucket.rate + if is_window_logged { burst_refill_per_s } else { 0.0 };
            bucket.refill(now, elapsed, rate, withheld_per_s, window);
            let decay = (-elapsed / DEMAND_TIME_CONSTANT_S).exp();
            bucket.drawn_per_s.retain(|host, drawn| {
                if !is_silent(host) {
                    *drawn *= decay;
                }
                reported_at.contains_key(host) && *drawn > 0.5
            });
            bucket.total_drawn_per_s = bucket.drawn_per_s.values().sum();
        }
        // A silent host may be sending its share of the limit of an engine.
        let silent_hosts = reported_at.keys().filter(|host| is_silent(host)).count();
        let silent_share = silent_hosts as f64 / reported_at.len().max(1) as f64;
        for bucket in self.engine_buckets.values_mut() {
            let rate = bucket.rate;
            bucket.refill(now, elapsed, rate, rate * silent_share, window);
            bucket.drawn_per_s.clear();
            bucket.total_drawn_per_s = 0.0;
        }
    }
}
