//! Record of what all hosts together admitted, and its check against the
//! allowance.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkgw::ids::{Tokens, WorkspaceId};

use crate::network::TestRequest;

/// Request counts of one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    /// Number of requests sent to serving hosts.
    pub asked: u64,
    /// Number of requests refused because the allowance was used up.
    pub refused: u64,
}

/// Records the requests of all workspaces and the tokens admitted for them.
#[derive(Debug, Default)]
pub struct AdmissionRecorder {
    admitted: BTreeMap<WorkspaceId, Vec<(Duration, Tokens)>>,
    counts: BTreeMap<WorkspaceId, RequestCounts>,
}

impl AdmissionRecorder {
    /// Counts a request that is sent to a serving host.
    pub fn record_request(&mut self, workspace: &WorkspaceId) {
        self.counts.entry(workspace.clone()).or_default().asked += 1;
    }

    /// Records the admission of a request at the simulated time `now`.
    ///
    /// All tokens that the request uses by its end count at this time.
    pub fn record_admission(&mut self, now: Duration, request: &TestRequest) {
        self.admitted.entry(request.workspace.clone()).or_default().push((now, request.used));
    }

    /// Counts a request that is refused because the allowance is used up.
    pub fn record_refusal(&mut self, workspace: &WorkspaceId) {
        self.counts.entry(workspace.clone()).or_default().refused += 1;
    }

    /// Returns the request counts of a workspace so far.
    pub fn counts(&self, workspace: &str) -> RequestCounts {
        self.counts.get(workspace).copied().unwrap_or_default()
    }

    /// Returns the tokens admitted for a workspace so far.
    pub fn admitted_tokens(&self, workspace: &str) -> Tokens {
        let admitted = self.admitted.get(workspace);
        admitted.map_or(0, |admitted| admitted.iter().map(|(_, used)| used).sum())
    }

    /// Returns the largest number of tokens by which the admissions for any
    /// workspace in any interval exceed burst + rate x length of the interval.
    ///
    /// `rate` is in tokens per second and `burst` in tokens. The bound holds if
    /// the result is zero or less. The result is negative infinity if nothing
    /// was admitted.
    pub fn max_excess(&self, rate: f64, burst: f64) -> f64 {
        let excess_of =
            |admitted: &Vec<(Duration, Tokens)>| max_interval_excess(admitted, rate, burst);
        self.admitted.values().map(excess_of).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Returns the largest number of tokens by which the admissions in any interval
/// exceed burst + rate x length of the interval.
///
/// One pass covers all intervals: it compares the admitted tokens less the
/// accrued ones at the end of an interval with the lowest such balance before
/// its start.
fn max_interval_excess(admitted: &[(Duration, Tokens)], rate: f64, burst: f64) -> f64 {
    let (mut sum, mut lowest_balance, mut max_excess) = (0.0, f64::INFINITY, f64::NEG_INFINITY);
    for (at, used) in admitted {
        let accrued = rate * at.as_secs_f64();
        lowest_balance = f64::min(lowest_balance, sum - accrued);
        sum += *used as f64;
        max_excess = f64::max(max_excess, sum - accrued - lowest_balance - burst);
    }
    max_excess
}
