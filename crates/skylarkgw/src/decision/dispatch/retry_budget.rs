//! The retry budget of one service on one host.
//!
//! Each request earns a fraction of a retry, and each retry spends a whole one,
//! so failing endpoints do not multiply the load and cause a retry storm. The
//! budgets of all hosts add up to less than the budget of the fleet.

/// Share of the fleet's retry ratio that requests earn. The rest covers requests
/// that are counted in different windows.
const EARNED_RATIO_SHARE: f64 = 0.7;
/// Share of the fleet's slack that is divided among the hosts.
const HOSTS_SLACK_SHARE: f64 = 0.5;

/// The number of retries that a host may still send to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that may be sent now.
    level: f64,
    /// Retries that each request adds to the level.
    earned_per_request: f64,
    /// Maximum of the level, in retries.
    limit: f64,
}

impl RetryBudget {
    /// Creates the full budget of one of `hosts` hosts.
    ///
    /// `ratio` is the number of retries per request, and `slack` is the number
    /// of retries beyond that, both over the whole fleet.
    pub fn new(ratio: f64, slack: f64, hosts: u32) -> RetryBudget {
        let limit = slack * HOSTS_SLACK_SHARE / f64::from(hosts.max(1));
        RetryBudget { level: limit, earned_per_request: ratio * EARNED_RATIO_SHARE, limit }
    }

    /// Adapts the limit to the number of hosts. The part of the level above the
    /// new limit is lost.
    pub fn set_host_count(&mut self, slack: f64, hosts: u32) {
        self.limit = slack * HOSTS_SLACK_SHARE / f64::from(hosts.max(1));
        self.level = self.level.min(self.limit);
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.level = (self.level + self.earned_per_request).min(self.limit);
    }

    /// Takes one retry from the budget and returns whether one was available.
    pub fn try_spend(&mut self) -> bool {
        let is_allowed = self.level >= 1.0;
        if is_allowed {
            self.level -= 1.0;
        }
        is_allowed
    }
}
