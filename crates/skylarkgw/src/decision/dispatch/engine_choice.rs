//! Chooses the engine that runs a request.
//!
//! The cost of an engine is the estimated time until the request runs, plus costs
//! for a slow engine, network distance and recent failures. Hosts that decide from the
//! same counts would all choose the same engine, so each host counts its own requests
//! immediately, draws what the counts cannot show yet, and breaks ties by a random
//! number for each request.

use std::time::Duration;

use crate::decision::dispatch::engine_pace::EnginePace;

/// Time that is added if all slots of an engine are busy, as a share of the time for
/// which a request holds a slot. It is proportional to the share of busy slots, because
/// the engine prefills the prompts of other requests between the tokens of a request.
const BUSY_SHARE: f64 = 0.04;
/// Cost that is added for an engine in another data centre, in milliseconds of
/// waiting.
const DISTANCE_COST_MS: f64 = 8.0;
/// Cost that is added if all recent requests on an engine failed, in milliseconds
/// of waiting. It is proportional to the share of failed requests.
const FAILURE_COST_MS: f64 = 2_000.0;

/// Cost that is added for an engine that turns another host away, in milliseconds of
/// waiting. It may have no place for this host either.
const AVOIDANCE_COST_MS: f64 = 1_000.0;

/// Engine that could serve a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Number of requests that the engine processes concurrently.
    pub slots: u32,
    /// Number of requests of all hosts on the engine, as far as this host has
    /// received counts.
    pub running: u32,
    /// Whether the engine is in the data centre of this host.
    pub is_local: bool,
    /// Share of recent requests on the engine that failed, from 0 to 1.
    pub failure_share: f64,
    /// Whether the engine turns another host away.
    pub is_avoided: bool,
    /// What the engine takes well.
    pub pace: EnginePace,
    /// Usual time to the first part of an answer without a queue, in milliseconds, if it
    /// is known.
    pub first_ms: Option<f64>,
    /// Requests that may run in addition to `running`, or fewer if negative, since the
    /// counts were made; drawn for each request, see [`ExpectedCount::draw`].
    pub unseen: f64,
}

/// Number of requests of other hosts that run at an engine by now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedCount {
    /// Expected number.
    pub mean: f64,
    /// Standard deviation.
    pub deviation: f64,
}

impl ExpectedCount {
    /// Estimates the number from a count that is `age` old and from the mean of earlier
    /// counts.
    ///
    /// Requests that were counted end, and others arrive, within the time `hold` for which
    /// a place is held. An older count shows no more than the mean.
    pub fn new(count: u32, mean: f64, age: Duration, hold: Duration) -> ExpectedCount {
        let kept = (-age.as_secs_f64() / hold.as_secs_f64().max(1e-3)).exp();
        let expected = mean + (f64::from(count) - mean) * kept;
        // Arrivals are independent of each other.
        ExpectedCount { mean: expected, deviation: (mean * (1.0 - kept)).sqrt() }
    }

    /// Returns how far the number may be from its mean; `random` is from 0 to 1.
    ///
    /// Hosts with the same counts draw different numbers, and so do not all choose the
    /// engine with the lowest count.
    pub fn draw(&self, random: f64) -> f64 {
        // A uniform distribution has this range, as a multiple of its deviation.
        (random * 2.0 - 1.0) * 3.0_f64.sqrt() * self.deviation
    }
}

impl EngineCandidate {
    /// Returns the estimated time until a new request runs, in milliseconds.
    pub fn estimate_wait_ms(&self) -> f64 {
        self.estimate_queue_ms(f64::from(self.running), self.slots)
    }

    /// Returns the estimated time until a request runs behind `running` others, if the
    /// engine takes `places` of them at once.
    fn estimate_queue_ms(&self, running: f64, places: u32) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let queued = (running + 1.0 - f64::from(places)).max(0.0);
        self.pace.hold_ms * (queued / slots + running / slots * BUSY_SHARE)
    }

    /// Returns the estimated wait plus the costs of a slow engine, distance and failures,
    /// in milliseconds.
    ///
    /// A request beyond the useful places of an engine delays the others as if it queued.
    /// It is not refused for that, so this is a matter of the choice alone, and so is the
    /// time by which the engine takes longer than others for the request itself.
    fn compute_cost_ms(&self) -> f64 {
        let (expected, places) = (f64::from(self.running), self.pace.useful_slots(self.slots));
        // A draw must not make an engine that is expected to have a place look full.
        let free_limit = (f64::from(places) - 1.0).max(expected);
        let running = (expected + self.unseen).clamp(0.0, free_limit);
        let wait_ms = self.estimate_queue_ms(running, places);
        let first_ms = self.first_ms.unwrap_or(self.pace.hold_ms * BUSY_SHARE);
        let slowness_ms = first_ms * (self.pace.slowdown - 1.0);
        let distance = if self.is_local { 0.0 } else { DISTANCE_COST_MS };
        let avoidance = if self.is_avoided { AVOIDANCE_COST_MS } else { 0.0 };
        let failures = self.failure_share * FAILURE_COST_MS;
        wait_ms + slowness_ms + distance + avoidance + failures
    }
}

/// Returns the index of the candidate with the lowest cost, or `None` if there
/// are no candidates.
///
/// `tie` is a random number that selects among candidates of equal cost.
pub fn choose_engine(candidates: &[EngineCandidate], tie: u64) -> Option<usize> {
    let count = candidates.len();
    (0..count).map(|step| (step + tie as usize % count) % count).min_by(|a, b| {
        candidates[*a].compute_cost_ms().total_cmp(&candidates[*b].compute_cost_ms())
    })
}

/// Returns the index of the candidate with the lowest cost, like [`choose_engine`], unless
/// a request cannot start there in time and can at others.
///
/// Of those, engines that fail or turn requests away do not count. A slow engine does: an
/// answer from there is better than a refusal.
pub fn choose_engine_in_time(
    candidates: &[EngineCandidate],
    tie: u64,
    starts_in_time: impl Fn(&EngineCandidate) -> bool,
) -> Option<usize> {
    let index = choose_engine(candidates, tie)?;
    if starts_in_time(&candidates[index]) {
        return Some(index);
    }
    let is_sound = |engine: &EngineCandidate| engine.failure_share == 0.0 && !engine.is_avoided;
    let others = (0..candidates.len()).filter(|other| {
        let engine = &candidates[*other];
        is_sound(engine) && starts_in_time(engine)
    });
    let cost_ms = |index: usize| candidates[index].compute_cost_ms();
    others.min_by(|a, b| cost_ms(*a).total_cmp(&cost_ms(*b))).or(Some(index))
}

/// Share of the latency objective, and of the time to the deadline, that a request
/// may spend waiting for a slot.
const WAIT_SHARE: f64 = 0.6;
/// The same share for a request that no queue at an engine delays: it goes before the
/// others there, or waits at its host until a place is free.
const FIRST_WAIT_SHARE: f64 = 0.8;
/// Shortest retry delay after a refusal; loading a new replica takes longer.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry delay after a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3_500);
/// Share of the time to the deadline within which a client should retry.
const RETRY_SHARE: f64 = 0.3;

/// Returns the longest time that a request may wait for a slot.
///
/// `objective` is the latency objective of the route, and `time_left` the time to the
/// deadline of the request. A queue that exceeds the latency objective delays every request
/// without increasing throughput, so a request may wait for `WAIT_SHARE` of `objective` and
/// of `time_left`. This prevents head-of-line blocking during an overload.
pub fn compute_patience(objective: Duration, time_left: Duration) -> Duration {
    objective.min(time_left).mul_f64(WAIT_SHARE)
}

/// Returns the longest time that a request may wait for a slot if it goes before the others
/// that wait at an engine, or waits at its host for a free place.
///
/// The arguments are those of [`compute_patience`]. Such a wait is more certain to end with
/// the next free slot.
pub fn compute_first_patience(objective: Duration, time_left: Duration) -> Duration {
    objective.min(time_left).mul_f64(FIRST_WAIT_SHARE)
}

/// Returns whether a request should wait for a slot rather than be refused.
///
/// `wait_ms` is the estimated wait, and `patience` the longest time that the request may
/// wait.
pub fn should_queue(wait_ms: f64, patience: Duration) -> bool {
    wait_ms <= patience.as_secs_f64() * 1_000.0
}

/// Returns the delay after which a client that was refused for lack of slots
/// should retry.
///
/// The delay is at least the estimated wait `wait_ms` and `MIN_RETRY_AFTER`, and at
/// most `MAX_RETRY_AFTER` and `RETRY_SHARE` of the time to the deadline `time_left`.
/// If these bounds conflict, the upper bound applies.
///
/// `jitter`, from 0 to 1, spreads clients that were refused at the same time, so
/// that their retries do not arrive as a thundering herd.
pub fn compute_retry_after(wait_ms: f64, time_left: Duration, jitter: f64) -> Duration {
    let shortest_s = MIN_RETRY_AFTER.as_secs_f64().max(wait_ms / 1_000.0);
    let longest_s = MAX_RETRY_AFTER.as_secs_f64().min(time_left.as_secs_f64() * RETRY_SHARE);
    let range_s = (longest_s - shortest_s).max(0.0);
    Duration::from_secs_f64(shortest_s.min(longest_s).max(0.0) + range_s * jitter)
}
