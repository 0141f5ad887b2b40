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

/// Records all admitted and refused requests.
#[derive(Debug, Default)]
pub struct AdmissionRecorder {
    admitted: BTreeMap<WorkspaceId, Vec<(Duration, Tokens)>>,
    counts: BTreeMap<WorkspaceId, RequestCounts>,
}

impl AdmissionRecorder {
    /// Records a request.
    pub fn record_request(&mut self, workspace: &WorkspaceId) {
        self.counts.entry(workspace.clone()).or_default().asked += 1;
    }

    /// Records an admission at a true time.
    pub fn record_admission(&mut self, now: Duration, request: &TestRequest) {
        self.admitted.entry(request.workspace.clone()).or_default().push((now, request.used));
    }

    /// Records a refusal.
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

    /// Returns the largest number of tokens by which any interval of any
    /// workspace exceeds burst + rate x time.
    ///
    /// Zero or less is within the bound.
    pub fn max_excess(&self, rate: f64, burst: f64) -> f64 {
        let excess_of =
            |admitted: &Vec<(Duration, Tokens)>| max_interval_excess(admitted, rate, burst);
        self.admitted.values().map(excess_of).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Returns the largest excess over burst + rate x time of any interval.
///
/// One pass covers all intervals: it compares the admitted tokens less the
/// accrued ones at the end of an interval with the lowest such balance before
/// its start.
fn max_interval_excess(admitted: &[(Duration, Tokens)], rate: f64, burst: f64) -> f64 {
    let (mut sum, mut lowest_balance, mut max_overrun) = (0.0, f64::INFINITY, f64::NEG_INFINITY);
    for (at, used) in admitted {
        let accrued = rate * at.as_secs_f64();
        lowest_balance = f64::min(lowest_balance, sum - accrued);
        sum += *used as f64;
        max_overrun = f64::max(max_overrun, sum - accrued - lowest_balance - burst);
    }
    max_overrun
}
