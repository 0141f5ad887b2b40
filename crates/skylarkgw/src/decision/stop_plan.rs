//! Which requests a host that stops still takes.
//!
//! A host that stops closes its idle connections soon, but requests may still arrive on
//! connections that were opened before and not used yet. The process ends at a fixed
//! time, and a request that an engine still executes then is cut off.

use std::time::Duration;

/// Times in the stop of a host, since boot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// Time at which the host closes idle connections.
    pub closes_at: Duration,
    /// Time at which the process ends, whatever requests are running.
    pub ends_at: Duration,
}

impl StopPlan {
    /// Returns whether a request that has arrived at `now` is taken.
    ///
    /// Until the idle connections are closed, the load balancer may still send requests
    /// to this host, and all of them are taken. Afterwards only those are whose
    /// `deadline` passes before the process ends, so that none is cut off without an
    /// answer.
    pub fn takes_request(&self, now: Duration, deadline: Duration) -> bool {
        now < self.closes_at || deadline <= self.ends_at
    }
}
