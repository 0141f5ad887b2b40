//! Requests to cold engines, drawn from the coordinator one at a time.
//!
//! The coordinator has one token bucket for each cold engine from which hosts draw. Its
//! bound holds for one second, in which a share of the rate for each of hundreds of hosts
//! is less than one request, so hosts hold no tokens in reserve.

use std::collections::HashMap;
use std::time::Duration;

use crate::decision::cold_engines::ColdRate;
use crate::ids::EndpointId;

/// Time after its last draw for which a bucket is kept.
const BUCKET_LIFETIME: Duration = Duration::from_secs(10);
/// Longest time that a host is told to wait for the next token, in seconds.
const MAX_WAIT_S: f64 = 1.0;

/// The token bucket of one engine.
#[derive(Debug)]
struct ColdBucket {
    /// Requests that may be sent.
    level: f64,
    /// Refused draws that are expected to be repeated.
    backlog: f64,
    advanced_at: Duration,
}

/// The token buckets of all cold engines, held by the coordinator.
#[derive(Debug)]
pub struct ColdPool {
    started_at: Duration,
    buckets: HashMap<EndpointId, ColdBucket>,
}

impl ColdPool {
    /// Creates the pool of a coordinator whose term begins at `now`.
    pub fn new(now: Duration) -> ColdPool {
        ColdPool { started_at: now, buckets: HashMap::new() }
    }

    /// Draws one request to an engine.
    ///
    /// # Errors
    ///
    /// The time after which another draw may succeed, if no token is left.
    pub fn draw(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        rate: ColdRate,
    ) -> Result<(), Duration> {
        if !self.buckets.contains_key(engine) {
            let is_used =
                |bucket: &ColdBucket| now.saturating_sub(bucket.advanced_at) < BUCKET_LIFETIME;
            self.buckets.retain(|_, bucket| is_used(bucket));
        }
        // What a predecessor granted is unknown, so a bucket is empty when the term begins
        // and has filled since.
        let new = ColdBucket { level: 0.0, backlog: 0.0, advanced_at: self.started_at };
        let bucket = self.buckets.entry(engine.clone()).or_insert(new);
        let earned = now.saturating_sub(bucket.advanced_at).as_secs_f64() * rate.per_s;
        bucket.advanced_at = now;
        bucket.level = (bucket.level + earned).min(rate.burst);
        bucket.backlog = (bucket.backlog - earned).max(0.0);
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return Ok(());
        }
        bucket.backlog = (bucket.backlog + 1.0).min(rate.per_s * MAX_WAIT_S);
        let missing = bucket.backlog.max(1.0) - bucket.level;
        Err(Duration::from_secs_f64((missing / rate.per_s).min(MAX_WAIT_S)))
    }

    /// Takes back the token of a request that is not sent.
    pub fn give_back(&mut self, engine: &EndpointId) {
        if let Some(bucket) = self.buckets.get_mut(engine) {
            bucket.level += 1.0;
        }
    }
}
