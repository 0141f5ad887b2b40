//! Quotas over all hosts: one bank, and a purse on every host.
//!
//! The coordinator holds one token bucket for each workspace. Hosts draw ahead
//! of their demand, so a request rarely waits for the bank; what a host has
//! drawn is gone from the bucket, so no two hosts spend the same tokens. A host
//! that loses the coordinator goes on for [`FALLBACK_DURATION`] at the rate that it
//! had, which the bank keeps back for it. This answers the noisy neighbour
//! without a split that starves small workspaces.
//!
//! A workspace may use rate times window plus burst in any window. A plain
//! token bucket gives its burst only once, so the bucket refills by a part of
//! the burst as well, and a log of the window keeps the whole within the bound.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::declaration::WorkspaceRule;
use crate::ids::{HostId, Tokens, WorkspaceId};

/// Time for which a host without a coordinator spends at its last rate.
pub const FALLBACK_DURATION: Duration = Duration::from_millis(4_500);
/// Time without a report after which a host is taken to coast; also the time
/// after which a host starts to.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(450);
/// Demand that a purse covers ahead, in seconds.
const PURSE_HORIZON_S: f64 = 0.6;
/// Part of the tolerance that a new holder's buckets start with, as what the
/// holder before granted is not known; two holders may follow in one window.
const START_SHARE: f64 = 0.45;
/// Time constant of the demand estimate, in seconds.
const DEMAND_MEMORY_S: f64 = 1.0;
/// Most tokens that a purse holds, in seconds of its demand.
const PURSE_LIMIT_S: f64 = 1.0;

/// Part of the burst that comes back within a window.
const RETURNED_SHARE: f64 = 0.75;
/// Spans that the log of a window is kept in.
const WINDOW_SPANS: u32 = 32;
/// Longest time to come again that a caller is told.
const LONGEST_RETRY: Duration = Duration::from_secs(6);
/// Shortest one; a refused caller that returns at once is refused again.
const SHORTEST_RETRY: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct BankAccount {
    rate: f64,
    burst: f64,
    level: f64,
    /// Tokens that refused requests wait for.
    backlog: f64,
    /// Tokens granted in each span of the window, oldest first.
    granted: VecDeque<(Duration, f64)>,
    drawn_per_s: HashMap<HostId, f64>,
}

impl BankAccount {
    /// Returns the tokens that may still be granted in the window.
    fn room(&self, window: Duration) -> f64 {
        let granted: f64 = self.granted.iter().map(|(_, tokens)| tokens).sum();
        self.rate * window.as_secs_f64() + self.burst - granted
    }

    fn note_granted(&mut self, now: Duration, window: Duration, tokens: f64) {
        let span = window / WINDOW_SPANS;
        match self.granted.back_mut() {
            Some((since, granted)) if now.saturating_sub(*since) < span => *granted += tokens,
            _ => self.granted.push_back((now, tokens)),
        }
    }
}

/// How exactly quotas are kept.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuotaTolerance {
    /// Time in which the tokens of a workspace are counted.
    pub window: Duration,
    /// Part of rate times window plus burst by which it may be exceeded.
    pub overshoot: f64,
    /// Tokens by which it may be exceeded beside that.
    pub slack_tokens: f64,
}

impl QuotaTolerance {
    fn tolerance(&self, rate: f64, burst: f64) -> f64 {
        (rate * self.window.as_secs_f64() + burst) * self.overshoot + self.slack_tokens
    }
}

/// Buckets of all workspaces.
#[derive(Debug, Default)]
pub struct QuotaPool {
    accounts: HashMap<WorkspaceId, BankAccount>,
    advanced_at: Duration,
    heard_at: HashMap<HostId, Duration>,
    promise: QuotaTolerance,
    started_at: Duration,
    starts_full: bool,
}

/// What a host gets from the bank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaGrant {
    /// Tokens to spend.
    pub tokens: Tokens,
    /// Tokens a second to go on with if the coordinator is lost.
    pub fallback_per_s: f64,
    /// Time after which a refused request may find tokens.
    pub retry_after: Duration,
}

impl QuotaPool {
    /// Creates a bank. Its buckets start nearly empty unless nothing can have
    /// been spent before: a new holder does not know what the last one granted.
    pub fn new(now: Duration, promise: QuotaTolerance, starts_full: bool) -> QuotaPool {
        QuotaPool {
            advanced_at: now,
            started_at: now,
            promise,
            starts_full,
            ..QuotaPool::default()
        }
    }

    /// Takes in the declared workspaces.
    pub fn set_workspaces(&mut self, now: Duration, workspaces: &[WorkspaceRule]) {
        self.advance(now);
        let limited = workspaces.iter().filter(|workspace| workspace.tokens_per_s > 0);
        let mut accounts = HashMap::new();
        for workspace in limited {
            let (rate, burst) = (workspace.tokens_per_s as f64, workspace.burst_tokens as f64);
            let start = if self.starts_full {
                burst
            } else {
                self.promise.tolerance(rate, burst) * START_SHARE
            };
            let account = self.accounts.remove(&workspace.name);
            let mut account = account.unwrap_or_else(|| BankAccount {
                rate,
                burst,
                level: start.min(burst),
                backlog: 0.0,
                granted: VecDeque::new(),
                drawn_per_s: HashMap::new(),
            });
            account.rate = rate;
            account.burst = burst;
            account.level = account.level.min(burst);
            accounts.insert(workspace.name.clone(), account);
        }
        self.accounts = accounts;
    }

    /// Notes that a host is heard from.
    pub fn record_report(&mut self, now: Duration, host: &HostId) {
        self.heard_at.insert(host.clone(), now);
    }

    /// Grants up to `wanted` tokens, none if fewer than `least` are there.
    ///
    /// One request may be larger than the burst; it then needs a full bucket
    /// and leaves a debt.
    pub fn draw(
        &mut self,
        now: Duration,
        host: &HostId,
        workspace: &str,
        wanted: Tokens,
        least: Tokens,
    ) -> Option<QuotaGrant> {
        self.advance(now);
        let account = self.accounts.get_mut(workspace)?;
        let needed = (least as f64).min(account.burst);
        let room = account.room(self.promise.window);
        let granted = if account.level < needed || account.level <= 0.0 || room < least as f64 {
            0.0
        } else {
            (wanted as f64).min(account.level).min(room).max(least as f64).floor()
        };
        account.level -= granted;
        account.note_granted(now, self.promise.window, granted);
        let drawn = account.drawn_per_s.entry(host.clone()).or_default();
        *drawn += granted / DEMAND_MEMORY_S;
        let total: f64 = account.drawn_per_s.values().sum();
        let drawn = account.drawn_per_s.get(host).copied().unwrap_or_default();
        let fallback_per_s = drawn.min(account.rate * drawn / total.max(1.0));
        let mut retry_after = Duration::ZERO;
        if granted < least as f64 {
            // Whoever was refused before comes back before this one.
            account.backlog += least as f64;
            let missing = (account.backlog - account.level).max(0.0) / account.rate.max(1.0);
            let wait = Duration::from_secs_f64(missing.min(LONGEST_RETRY.as_secs_f64()));
            retry_after = wait.max(SHORTEST_RETRY);
        }
        Some(QuotaGrant { tokens: granted as Tokens, fallback_per_s, retry_after })
    }

    /// Returns the tokens in a workspace's bucket.
    pub fn level(&mut self, now: Duration, workspace: &str) -> Option<f64> {
        self.advance(now);
        self.accounts.get(workspace).map(|account| account.level)
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        self.heard_at.retain(|_, heard_at| now.saturating_sub(*heard_at) < FALLBACK_DURATION);
        let (window, started_at, starts_full) =
            (self.promise.window, self.started_at, self.starts_full);
        let heard_at = &self.heard_at;
        let is_silent = |host: &HostId| {
            heard_at.get(host).is_some_and(|at| now.saturating_sub(*at) >= CONTACT_TIMEOUT)
        };
        for account in self.accounts.values_mut() {
            // A silent host may be coasting: what it spends is not given again.
            let silent = account.drawn_per_s.iter().filter(|(host, _)| is_silent(host));
            let kept_back: f64 = silent.map(|(_, drawn)| *drawn).sum();
            // What the holder before granted is in no log, so the burst comes
            // back only once a window has passed.
            let is_logged = starts_full || now.saturating_sub(started_at) >= window;
            let returned = account.burst * RETURNED_SHARE / window.as_secs_f64();
            let rate = account.rate + if is_logged { returned } else { 0.0 };
            let refill = (rate - kept_back).max(0.0) * elapsed;
            account.backlog = (account.backlog - rate * elapsed).max(0.0);
            while account.granted.front().is_some_and(|(since, _)| {
                now.saturating_sub(*since) > window + window / WINDOW_SPANS
            }) {
                account.granted.pop_front();
            }
            account.level = (account.level + refill).min(account.burst);
            let decay = (-elapsed / DEMAND_MEMORY_S).exp();
            account.drawn_per_s.retain(|host, drawn| {
                if !is_silent(host) {
                    *drawn *= decay;
                }
                heard_at.contains_key(host) && *drawn > 0.5
            });
        }
    }
}

/// Tokens of one workspace on one host.
#[derive(Debug)]
pub struct LocalQuota {
    balance: f64,
    fallback_per_s: f64,
    demand_per_s: f64,
    refilled_at: Duration,
    advanced_at: Duration,
}

impl LocalQuota {
    /// Creates an empty purse.
    pub fn new(now: Duration) -> LocalQuota {
        LocalQuota {
            balance: 0.0,
            fallback_per_s: 0.0,
            demand_per_s: 0.0,
            refilled_at: now,
            advanced_at: now,
        }
    }

    /// Notes that a request wants tokens.
    pub fn record_demand(&mut self, now: Duration, tokens: Tokens) {
        self.advance(now);
        self.demand_per_s += tokens as f64 / DEMAND_MEMORY_S;
    }

    /// Takes tokens for a request and returns whether they were there.
    ///
    /// Without a coordinator a request may leave a debt, since the rate of one
    /// host is smaller than many a request.
    pub fn try_spend(&mut self, now: Duration, tokens: Tokens) -> bool {
        self.advance(now);
        let silence = now.saturating_sub(self.refilled_at);
        let is_coasting = (CONTACT_TIMEOUT..FALLBACK_DURATION).contains(&silence);
        let may_owe = is_coasting && self.fallback_per_s > 0.0 && self.balance > 0.0;
        let is_enough = self.balance >= tokens as f64 || may_owe;
        if is_enough {
            self.balance -= tokens as f64;
        }
        is_enough
    }

    /// Takes what is there of a request's tokens; the rest is asked of the bank.
    ///
    /// A balance that is smaller than any request would otherwise stay, and be
    /// spent in a later window than the one that it was granted in.
    pub fn take_available(&mut self, now: Duration, tokens: Tokens) -> Tokens {
        self.advance(now);
        let part = self.balance.clamp(0.0, tokens as f64).floor();
        self.balance -= part;
        part as Tokens
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: Tokens) {
        self.balance += tokens as f64;
    }

    /// Takes in a grant.
    pub fn add_grant(&mut self, now: Duration, tokens: Tokens, fallback_per_s: f64) {
        self.advance(now);
        self.balance += tokens as f64;
        self.fallback_per_s = fallback_per_s;
        self.refilled_at = now;
    }

    /// Returns the tokens to ask the bank for.
    pub fn tokens_to_request(&mut self, now: Duration) -> Tokens {
        self.advance(now);
        (self.demand_per_s * PURSE_HORIZON_S - self.balance).max(0.0) as Tokens
    }

    /// Returns the tokens at hand.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.advanced_at).as_secs_f64();
        let coast_from = self.advanced_at.max(self.refilled_at + CONTACT_TIMEOUT);
        let coast_until = now.min(self.refilled_at + FALLBACK_DURATION);
        let coasted = coast_until.saturating_sub(coast_from).as_secs_f64();
        self.advanced_at = now;
        self.demand_per_s *= (-elapsed / DEMAND_MEMORY_S).exp();
        if coasted > 0.0 {
            let limit = self.fallback_per_s * PURSE_LIMIT_S;
            self.balance += (self.fallback_per_s * coasted).min((limit - self.balance).max(0.0));
        }
    }
}
