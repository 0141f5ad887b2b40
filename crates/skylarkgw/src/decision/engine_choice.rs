//! Chooses the engine of a request.
//!
//! The estimate is the time until the request runs: waiting work and the way
//! there. Two hosts that
//! decide from the same counts would herd, so each adds its own requests at
//! once and ties are broken by a number drawn for the request.

use std::time::Duration;

/// Time that a request holds a slot, in milliseconds; only the order of
/// candidates depends on it.
const SLOT_HOLD_MS: f64 = 1_500.0;
/// Cost of a share of busy slots, in milliseconds: prompts of others are read
/// between the tokens of a request.
const BUSY_COST_MS: f64 = 60.0;
/// Cost of another data centre, in milliseconds of waiting.
const DISTANCE_COST_MS: f64 = 8.0;
/// Cost of an engine whose last requests failed, in milliseconds.
const FAILURE_COST_MS: f64 = 2_000.0;

/// One engine that could serve a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests that all hosts have there, as far as known.
    pub running: u32,
    /// Whether it is in this host's data centre.
    pub is_local: bool,
    /// Share of its recent requests that failed, from 0 to 1.
    pub failure_share: f64,
}

impl EngineCandidate {
    /// Returns the estimated time until a request runs, in milliseconds.
    pub fn estimate_wait_ms(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let busy = f64::from(self.running) / slots;
        let queued = f64::from((self.running + 1).saturating_sub(self.slots));
        queued * SLOT_HOLD_MS / slots + busy * BUSY_COST_MS
    }

    fn cost_ms(&self) -> f64 {
        let distance = if self.is_local { 0.0 } else { DISTANCE_COST_MS };
        self.estimate_wait_ms() + distance + self.failure_share * FAILURE_COST_MS
    }
}

/// Returns the place of the candidate with the least cost.
///
/// `tie` chooses among equals.
pub fn choose_engine(candidates: &[EngineCandidate], tie: u64) -> Option<usize> {
    let count = candidates.len();
    (0..count)
        .map(|step| (step + tie as usize % count) % count)
        .min_by(|a, b| candidates[*a].cost_ms().total_cmp(&candidates[*b].cost_ms()))
}

/// Part of its latency objective that a request may spend waiting for a slot.
const WAIT_SHARE: f64 = 0.6;
/// Shortest time to come again after a refusal; new replicas take longer.
const SHORTEST_RETRY: Duration = Duration::from_millis(500);
/// Longest one.
const LONGEST_RETRY: Duration = Duration::from_millis(3_500);
/// Part of the time that a caller has left within which it returns.
const RETURN_SHARE: f64 = 0.3;

/// Returns whether a request should wait for a slot rather than return later.
///
/// A queue that is longer than the objective makes every request late and
/// serves none more, so beyond it a request is refused at once. This answers
/// head-of-line blocking in an overload.
pub fn should_queue(wait_ms: f64, objective: Duration, time_left: Duration) -> bool {
    let limit = objective.mul_f64(WAIT_SHARE).min(time_left.mul_f64(WAIT_SHARE));
    wait_ms <= limit.as_secs_f64() * 1_000.0
}

/// Returns when a caller that was refused for want of slots should return.
///
/// `draw`, from 0 to 1, spreads the callers of one moment, so that they do not
/// come back as a thundering herd.
pub fn compute_retry_after(wait_ms: f64, time_left: Duration, draw: f64) -> Duration {
    let least = SHORTEST_RETRY.as_secs_f64().max(wait_ms / 1_000.0);
    let most = LONGEST_RETRY.as_secs_f64().min(time_left.as_secs_f64() * RETURN_SHARE);
    let span = (most - least).max(0.0);
    Duration::from_secs_f64(least.min(most).max(0.0) + span * draw)
}
