//! Request rates that engines name in their answers.
//!
//! An engine in need names the rate that it takes from all hosts together. The newest
//! answer over all hosts applies, until one comes without a limit. The coordinator
//! collects the limits, and its quota pool has a bucket for each of these engines, from
//! which hosts draw one token for each request. A host that has no coordinator sends an
//! equal share of the rate.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::shared_map::{MapDelta, SharedMap, version_token};
use crate::ids::EndpointId;

/// Lowest rate at which requests are sent to an engine, in requests per second. Without
/// any request no answer could end its limit.
const MIN_LIMIT: f64 = 0.2;
/// Time without a reply of the coordinator after which a host sends its own share.
const LONE_TIMEOUT: Duration = Duration::from_secs(1);

/// A limit that an engine named, changed or dropped.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LimitObservation {
    /// Engine that answered.
    pub engine: EndpointId,
    /// Limit in requests per second; `None` if the answer names none.
    pub limit: Option<f64>,
    /// Time since the answer.
    pub age: Duration,
}

/// A host's part of the limits, sent to the coordinator in each exchange.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LimitReport {
    /// Version of the limits that the host has.
    pub version: u64,
    /// Observations that the coordinator may not have.
    pub observations: Vec<LimitObservation>,
}

#[derive(Clone, Copy, Debug)]
struct OwnObservation {
    limit: Option<f64>,
    at: Duration,
    /// Whether the last report contains it.
    is_reported: bool,
}

/// Tokens of a host that has no coordinator.
#[derive(Clone, Copy, Debug)]
struct LoneBucket {
    /// Requests that may be sent.
    level: f64,
    advanced_at: Duration,
}

/// The limits that one host knows.
#[derive(Debug, Default)]
pub struct EngineLimits {
    /// Limits that the coordinator sent, in requests per second, with the time at which
    /// each arrived.
    shared: HashMap<EndpointId, (f64, Duration)>,
    /// Observations that differ from those and have not been confirmed.
    own: HashMap<EndpointId, OwnObservation>,
    /// Version of the limits that the coordinator sent.
    version: u64,
    replied_at: Duration,
    /// Engines for which no token was left, with the time until which none is drawn.
    exhausted: HashMap<EndpointId, Duration>,
    lone_buckets: HashMap<EndpointId, LoneBucket>,
}

impl EngineLimits {
    /// Records the limit of an answer, in requests per second, and returns whether the
    /// known limit has changed.
    ///
    /// A refusal or failure without a limit does not end one.
    pub fn record_answer(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        limit: Option<f64>,
        is_success: bool,
    ) -> bool {
        if limit == self.limit(engine) || (limit.is_none() && !is_success) {
            return false;
        }
        self.own.insert(engine.clone(), OwnObservation { limit, at: now, is_reported: false });
        true
    }

    /// Returns the limit of an engine, in requests per second, if it has named one.
    pub fn limit(&self, engine: &str) -> Option<f64> {
        match self.own.get(engine) {
            Some(own) => own.limit,
            None => self.shared.get(engine).map(|(limit, _)| *limit),
        }
    }

    /// Builds the report of the next exchange.
    pub fn build_report(&mut self, now: Duration) -> LimitReport {
        let observations = self.own.iter_mut().map(|(engine, own)| {
            own.is_reported = true;
            let age = now.saturating_sub(own.at);
            LimitObservation { engine: engine.clone(), limit: own.limit, age }
        });
        LimitReport { observations: observations.collect(), version: self.version }
    }

    /// Applies the coordinator's reply to the last report.
    ///
    /// `delta` is `None` if the host has the current version.
    pub fn apply_reply(&mut self, now: Duration, delta: Option<MapDelta<f64>>) {
        self.replied_at = now;
        self.lone_buckets.clear();
        self.exhausted.retain(|_, until| now < *until);
        self.own.retain(|_, own| !own.is_reported);
        let Some(delta) = delta else { return };
        if version_token(delta.version) != version_token(self.version) {
            // A new coordinator may not have what the previous one sent.
            for (engine, (limit, at)) in self.shared.drain() {
                let own = OwnObservation { limit: Some(limit), at, is_reported: false };
                self.own.entry(engine).or_insert(own);
            }
        }
        self.version = delta.version;
        let mut shared: HashMap<EndpointId, f64> =
            self.shared.iter().map(|(engine, (limit, _))| (engine.clone(), *limit)).collect();
        delta.apply_to(&mut shared);
        let known = std::mem::take(&mut self.shared);
        let at = |engine: &EndpointId, limit: f64| {
            known.get(engine).filter(|(known, _)| *known == limit).map_or(now, |(_, at)| *at)
        };
        self.shared = shared
            .into_iter()
            .map(|(engine, limit)| {
                let at = at(&engine, limit);
                (engine, (limit, at))
            })
            .collect();
    }

    /// Returns whether the coordinator has not replied for so long that this host sends
    /// its own share of the limits.
    pub fn is_alone(&self, now: Duration) -> bool {
        now.saturating_sub(self.replied_at) > LONE_TIMEOUT
    }

    /// Takes one request of this host's share of a limit and returns whether there was
    /// one.
    ///
    /// The share grows from zero, so hosts that lose the coordinator together do not
    /// all send at once.
    pub fn try_spend_share(&mut self, now: Duration, engine: &EndpointId, hosts: u32) -> bool {
        let Some(limit) = self.limit(engine) else { return true };
        let rate = limit.max(MIN_LIMIT) / f64::from(hosts.max(1));
        let bucket = LoneBucket { level: 0.0, advanced_at: now };
        let bucket = self.lone_buckets.entry(engine.clone()).or_insert(bucket);
        let elapsed = now.saturating_sub(bucket.advanced_at).as_secs_f64();
        bucket.level = (bucket.level + rate * elapsed).min(1.0);
        bucket.advanced_at = now;
        let is_allowed = bucket.level >= 1.0;
        if is_allowed {
            bucket.level -= 1.0;
        }
        is_allowed
    }

    /// Records that no token was left for an engine, and that none is expected for a
    /// time.
    pub fn record_exhausted(&mut self, now: Duration, engine: &EndpointId, retry_after: Duration) {
        self.exhausted.insert(engine.clone(), now + retry_after);
    }

    /// Returns the time for which no token is expected for an engine.
    pub fn find_wait(&self, now: Duration, engine: &EndpointId) -> Option<Duration> {
        let until = self.exhausted.get(engine).filter(|until| now < **until)?;
        // Without a limit the engine takes requests again.
        self.limit(engine).map(|_| *until - now)
    }
}

/// The limits of all engines, as the coordinator knows them.
#[derive(Debug)]
pub struct LimitBook {
    /// Newest observation of each engine: its time and the limit in requests per second.
    observations: HashMap<EndpointId, (Duration, Option<f64>)>,
    shared: SharedMap<f64>,
}

impl LimitBook {
    /// Creates the book of a coordinator with the given fencing token.
    pub fn new(token: u64) -> LimitBook {
        LimitBook { observations: HashMap::new(), shared: SharedMap::new(token) }
    }

    /// Records an observation made at `at`, and returns whether it changes the limit of
    /// the engine.
    pub fn record(&mut self, engine: &EndpointId, at: Duration, limit: Option<f64>) -> bool {
        let known = self.observations.get(engine);
        if known.is_some_and(|(known_at, _)| at < *known_at) {
            return false;
        }
        let limit = limit.map(|limit| limit.max(MIN_LIMIT));
        let has_changed = known.and_then(|(_, limit)| *limit) != limit;
        self.observations.insert(engine.clone(), (at, limit));
        if has_changed {
            self.share();
        }
        has_changed
    }

    /// Returns whether any host has observed an answer of an engine.
    pub fn has_observed(&self, engine: &EndpointId) -> bool {
        self.observations.contains_key(engine)
    }

    /// Removes engines for which `is_kept` returns false, and returns them.
    pub fn retain(&mut self, is_kept: impl Fn(&EndpointId) -> bool) -> Vec<EndpointId> {
        let gone = self.observations.keys().filter(|engine| !is_kept(engine));
        let gone: Vec<EndpointId> = gone.cloned().collect();
        for engine in &gone {
            self.observations.remove(engine);
        }
        if !gone.is_empty() {
            self.share();
        }
        gone
    }

    /// Returns the limit of an engine, in requests per second.
    pub fn limit(&self, engine: &EndpointId) -> Option<f64> {
        self.observations.get(engine).and_then(|(_, limit)| *limit)
    }

    /// Returns the changes since `version`, or `None` if it is the current one.
    pub fn delta_since(&self, version: u64) -> Option<MapDelta<f64>> {
        self.shared.delta_since(version)
    }

    fn share(&mut self) {
        let limits = self.observations.iter();
        let limits = limits.filter_map(|(engine, (_, limit))| Some((engine.clone(), (*limit)?)));
        self.shared.replace(limits.collect());
    }
}
