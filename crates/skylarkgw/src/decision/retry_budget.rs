//! Retry budget of one service on one host.
//!
//! Each request earns a part of a repeat, and repeats spend whole ones, so
//! that failing endpoints do not multiply the load. This answers the retry
//! storm. The hosts' budgets add up to less than the budget of the fleet.

/// Part of the promised ratio that is earned; the rest covers requests that
/// are counted in different windows.
const EARNED_SHARE: f64 = 0.7;
/// Part of the fleet's slack that is divided among the hosts.
const SLACK_SHARE: f64 = 0.5;

/// Repeats that a host may still send to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    level: f64,
    earned: f64,
    limit: f64,
}

impl RetryBudget {
    /// Creates the budget of one of `hosts` hosts.
    ///
    /// `ratio` is the repeats for each request and `slack` the repeats beyond
    /// that, both over the whole fleet.
    pub fn new(ratio: f64, slack: f64, hosts: u32) -> RetryBudget {
        let limit = slack * SLACK_SHARE / f64::from(hosts.max(1));
        RetryBudget { level: limit, earned: ratio * EARNED_SHARE, limit }
    }

    /// Takes in the number of hosts; a level above the new limit is lost.
    pub fn set_host_count(&mut self, slack: f64, hosts: u32) {
        self.limit = slack * SLACK_SHARE / f64::from(hosts.max(1));
        self.level = self.level.min(self.limit);
    }

    /// Notes the first sending of a request.
    pub fn record_request(&mut self) {
        self.level = (self.level + self.earned).min(self.limit);
    }

    /// Takes one repeat and returns whether it was there.
    pub fn try_spend(&mut self) -> bool {
        let is_enough = self.level >= 1.0;
        if is_enough {
            self.level -= 1.0;
        }
        is_enough
    }
}
