//! Judges what all hosts together admitted.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkgw::ids::{Tokens, WorkspaceId};

use crate::network::TestRequest;

/// Requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    /// Requests made at hosts that took any.
    pub asked: u64,
    /// Requests refused for the allowance.
    pub refused: u64,
}

/// Everything that was admitted and refused.
#[derive(Debug, Default)]
pub struct AdmissionJudge {
    admitted: BTreeMap<WorkspaceId, Vec<(Duration, Tokens)>>,
    counts: BTreeMap<WorkspaceId, RequestCounts>,
}

impl AdmissionJudge {
    /// Notes a request.
    pub fn ask(&mut self, workspace: &WorkspaceId) {
        self.counts.entry(workspace.clone()).or_default().asked += 1;
    }

    /// Notes an admission at a true time.
    pub fn admit(&mut self, now: Duration, request: &TestRequest) {
        self.admitted.entry(request.workspace.clone()).or_default().push((now, request.used));
    }

    /// Notes a refusal.
    pub fn refuse(&mut self, workspace: &WorkspaceId) {
        self.counts.entry(workspace.clone()).or_default().refused += 1;
    }

    /// Returns the requests of a workspace so far.
    pub fn counts(&self, workspace: &str) -> RequestCounts {
        self.counts.get(workspace).copied().unwrap_or_default()
    }

    /// Returns the tokens admitted of a workspace so far.
    pub fn admitted_tokens(&self, workspace: &str) -> Tokens {
        let admitted = self.admitted.get(workspace);
        admitted.map_or(0, |admitted| admitted.iter().map(|(_, used)| used).sum())
    }

    /// Returns by how many tokens the worst interval of any workspace exceeds
    /// burst + rate x time; zero or less is within the bound.
    pub fn excess(&self, rate: f64, burst: f64) -> f64 {
        let of = |admitted: &Vec<(Duration, Tokens)>| worst_excess(admitted, rate, burst);
        self.admitted.values().map(of).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Looks at every interval at once: the sum up to its end, less what was paced,
/// against the lowest such value before its start.
fn worst_excess(admitted: &[(Duration, Tokens)], rate: f64, burst: f64) -> f64 {
    let (mut sum, mut lowest, mut worst) = (0.0, f64::INFINITY, f64::NEG_INFINITY);
    for (at, used) in admitted {
        let paced = rate * at.as_secs_f64();
        lowest = f64::min(lowest, sum - paced);
        sum += *used as f64;
        worst = f64::max(worst, sum - paced - lowest - burst);
    }
    worst
}
