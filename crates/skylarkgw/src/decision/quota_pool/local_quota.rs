//! The tokens of a workspace that a host has drawn, and its spending without a coordinator.

use std::time::Duration;

use crate::decision::freshness::silence_timeout;
use crate::decision::quota_pool::{DEMAND_TIME_CONSTANT_S, FALLBACK_DURATION};
use crate::ids::Tokens;

/// Time of estimated demand that a host draws ahead, in seconds.
const DEMAND_HORIZON_S: f64 = 0.6;
/// Multiple of the tokens for [`DEMAND_HORIZON_S`] above which a host returns the rest.
const RETURN_FACTOR: f64 = 1.5;
/// Balance up to which a host refills without a coordinator, in seconds of its
/// fallback rate.
const FALLBACK_LIMIT_S: f64 = 1.0;

/// The tokens of one workspace that one host has drawn from the pool.
#[derive(Debug)]
pub struct LocalQuota {
    /// Tokens that may be spent; negative after an overdraft during the
    /// fallback.
    balance: f64,
    /// Tokens per second added during the fallback.
    fallback_per_s: f64,
    /// Moving average of the demand, in tokens per second.
    demand_per_s: f64,
    /// Local time of the last answer from the coordinator.
    granted_at: Duration,
    /// Time after that answer from which the host spends at its last rate.
    fallback_delay: Duration,
    advanced_at: Duration,
}

impl LocalQuota {
    /// Creates a quota without tokens.
    pub fn new(now: Duration) -> LocalQuota {
        LocalQuota {
            balance: 0.0,
            fallback_per_s: 0.0,
            demand_per_s: 0.0,
            granted_at: now,
            fallback_delay: silence_timeout(1),
            advanced_at: now,
        }
    }

    /// Sets the number of hosts that report to the coordinator. With many of them, each
    /// gets an answer less often.
    pub fn set_host_count(&mut self, hosts: u32) {
        self.fallback_delay = silence_timeout(hosts);
    }

    /// Adds the tokens of a request to the demand estimate.
    pub fn record_demand(&mut self, now: Duration, tokens: Tokens) {
        self.advance(now);
        self.demand_per_s += tokens as f64 / DEMAND_TIME_CONSTANT_S;
    }

    /// Takes the tokens of a request and returns whether it may run.
    ///
    /// During the fallback, a request may leave a negative balance, because many
    /// requests need more tokens than a single host accumulates at its rate.
    pub fn try_spend(&mut self, now: Duration, tokens: Tokens) -> bool {
        self.advance(now);
        let since_grant = now.saturating_sub(self.granted_at);
        let is_in_fallback = (self.fallback_delay..FALLBACK_DURATION).contains(&since_grant);
        let may_overdraw = is_in_fallback && self.fallback_per_s > 0.0 && self.balance > 0.0;
        let is_allowed = self.balance >= tokens as f64 || may_overdraw;
        if is_allowed {
            self.balance -= tokens as f64;
        }
        is_allowed
    }

    /// Takes the available part of a request's tokens. The caller requests the
    /// rest from the coordinator.
    ///
    /// If only whole requests were paid from the balance, one smaller than any
    /// request would remain, and be spent in a later window than the one in
    /// which it was granted.
    pub fn take_available(&mut self, now: Duration, tokens: Tokens) -> Tokens {
        self.advance(now);
        let part = self.balance.clamp(0.0, tokens as f64).floor();
        self.balance -= part;
        part as Tokens
    }

    /// Refunds the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: Tokens) {
        self.balance += tokens as f64;
    }

    /// Adds the tokens of a grant and sets the fallback rate.
    pub fn add_grant(&mut self, now: Duration, tokens: Tokens, fallback_per_s: f64) {
        self.advance(now);
        self.balance += tokens as f64;
        self.fallback_per_s = fallback_per_s;
        self.granted_at = now;
    }

    /// Returns the number of tokens to request from the coordinator.
    pub fn tokens_to_request(&mut self, now: Duration) -> Tokens {
        self.advance(now);
        (self.demand_per_s * DEMAND_HORIZON_S - self.balance).max(0.0) as Tokens
    }

    /// Takes out the tokens to return to the coordinator.
    ///
    /// In a large fleet a host gets a request of a workspace seldom. What it had drawn
    /// ahead for the next one would be missing elsewhere.
    pub fn take_unneeded(&mut self, now: Duration) -> Tokens {
        self.advance(now);
        let needed = self.demand_per_s * DEMAND_HORIZON_S;
        if self.balance <= needed * RETURN_FACTOR {
            return 0;
        }
        let unneeded = (self.balance - needed).floor();
        self.balance -= unneeded;
        unneeded as Tokens
    }

    /// Returns the number of available tokens; negative after an overdraft.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.advanced_at).as_secs_f64();
        let fallback_from = self.advanced_at.max(self.granted_at + self.fallback_delay);
        let fallback_until = now.min(self.granted_at + FALLBACK_DURATION);
        let fallback_s = fallback_until.saturating_sub(fallback_from).as_secs_f64();
        self.advanced_at = now;
        self.demand_per_s *= (-elapsed / DEMAND_TIME_CONSTANT_S).exp();
        if fallback_s > 0.0 {
            let limit = self.fallback_per_s * FALLBACK_LIMIT_S;
            self.balance += (self.fallback_per_s * fallback_s).min((limit - self.balance).max(0.0));
        }
    }
}
