//! Outcomes of requests by what they address: a model, an adapter or an engine.
//!
//! Each host reports since when requests have not been served and when one last was.
//! Both are levels that are sent again with every exchange, so they survive a lost
//! exchange and a change of coordinator. A host that gets no further requests cannot
//! know that another one serves them, so a new coordinator judges only its own term.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time after the last request at which an outcome is forgotten.
pub const OUTCOME_LIFETIME: Duration = Duration::from_secs(30);
/// Time for which a host reports that a request was served. It covers several exchanges,
/// some of which may fail.
const SERVED_REPORT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of keys of which a host keeps the outcomes.
const MAX_KEYS: usize = 1_024;
/// Maximum number of keys in one report.
const MAX_REPORTED_KEYS: usize = 64;
/// Time between unserved requests after which what they address counts as failing.
const FAILING_TIME: Duration = Duration::from_secs(2);
/// The same time if all of the requests were refused because engines were full.
const OVERLOADED_TIME: Duration = Duration::from_secs(6);
/// Lowest number of unserved requests from which what they address counts as failing.
const MIN_FAILED_REQUESTS: u32 = 2;

/// Requests since one was last served.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct UnservedSpan {
    /// Time since the first of the requests.
    pub first_age: Duration,
    /// Time since the last of the requests.
    pub last_age: Duration,
    /// Number of the requests.
    pub requests: u32,
    /// Whether all of them were refused because engines were full.
    pub is_overload: bool,
}

/// Outcomes of a host's requests for one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OutcomeReport<K> {
    /// What the requests address.
    pub key: K,
    /// Time since the host last served one.
    pub served_age: Option<Duration>,
    /// Requests since then that were not served.
    pub unserved: Option<UnservedSpan>,
}

/// Unserved requests, at times since boot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnservedRun {
    /// Time of the first request.
    pub first_at: Duration,
    /// Time of the last request.
    pub last_at: Duration,
    /// Number of the requests.
    pub requests: u32,
    /// Whether all of them were refused because engines were full.
    pub is_overload: bool,
}

impl UnservedRun {
    /// Returns whether requests have failed for so long that what they address counts as
    /// failing. Only the time from `judged_from` on counts, from which it could serve.
    pub fn is_failing(&self, judged_from: Duration) -> bool {
        let time = if self.is_overload { OVERLOADED_TIME } else { FAILING_TIME };
        let since = self.first_at.max(judged_from);
        self.requests >= MIN_FAILED_REQUESTS && self.last_at.saturating_sub(since) >= time
    }

    /// Adds the requests that another host reported.
    fn merge(&mut self, other: UnservedRun) {
        // Each report holds the whole run of its host, so the counts are not added.
        self.requests = self.requests.max(other.requests);
        if other.last_at > self.last_at {
            self.requests = self.requests.max(MIN_FAILED_REQUESTS);
        }
        self.first_at = self.first_at.min(other.first_at);
        self.last_at = self.last_at.max(other.last_at);
        self.is_overload &= other.is_overload;
    }
}

/// Outcomes of requests for one key, at times since boot.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeState {
    /// Time at which a request was last served.
    pub served_at: Duration,
    /// Requests since then that were not served.
    pub unserved: Option<UnservedRun>,
}

impl OutcomeState {
    /// Returns the time of the last request.
    pub fn requested_at(&self) -> Duration {
        self.unserved.map_or(self.served_at, |run| run.last_at.max(self.served_at))
    }

    /// Adds a host's report, and returns the run of unserved requests that it ends.
    pub fn merge_report<K>(
        &mut self,
        now: Duration,
        report: &OutcomeReport<K>,
    ) -> Option<UnservedRun> {
        let at = |age: Duration| now.saturating_sub(age);
        self.served_at = self.served_at.max(report.served_age.map(at).unwrap_or_default());
        let ended = self.unserved.take_if(|run| run.last_at <= self.served_at);
        if let Some(span) = report.unserved.filter(|span| at(span.last_age) > self.served_at) {
            let run = UnservedRun {
                first_at: at(span.first_age).max(self.served_at),
                last_at: at(span.last_age),
                requests: span.requests,
                is_overload: span.is_overload,
            };
            match &mut self.unserved {
                Some(known) => known.merge(run),
                None => self.unserved = Some(run),
            }
        }
        ended
    }
}

/// Outcomes of the requests of one host.
#[derive(Debug)]
pub struct OutcomeLog<K> {
    outcomes: HashMap<K, OutcomeState>,
}

impl<K> Default for OutcomeLog<K> {
    fn default() -> OutcomeLog<K> {
        OutcomeLog { outcomes: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash + Ord> OutcomeLog<K> {
    /// Records a request that was served.
    pub fn record_served(&mut self, now: Duration, key: &K) {
        if let Some(state) = self.find_state(now, key) {
            *state = OutcomeState { served_at: now, unserved: None };
        }
    }

    /// Records a request that was not served; `is_overload` is whether it was refused
    /// because engines were full.
    pub fn record_unserved(&mut self, now: Duration, key: &K, is_overload: bool) {
        let Some(state) = self.find_state(now, key) else { return };
        let run = UnservedRun { first_at: now, last_at: now, requests: 0, is_overload };
        let run = state.unserved.get_or_insert(run);
        run.last_at = now;
        run.requests += 1;
        run.is_overload &= is_overload;
    }

    /// Returns the state of a key, or `None` if the log is full of keys that were
    /// requested of late.
    fn find_state(&mut self, now: Duration, key: &K) -> Option<&mut OutcomeState> {
        if !self.outcomes.contains_key(key) {
            if self.outcomes.len() >= MAX_KEYS {
                self.remove_old_outcomes(now);
            }
            if self.outcomes.len() >= MAX_KEYS {
                return None;
            }
        }
        Some(self.outcomes.entry(key.clone()).or_default())
    }

    fn remove_old_outcomes(&mut self, now: Duration) {
        let is_recent =
            |state: &OutcomeState| now.saturating_sub(state.requested_at()) < OUTCOME_LIFETIME;
        self.outcomes.retain(|_, state| is_recent(state));
    }

    /// Builds the report of the next exchange: what is not served, and what was served of
    /// late.
    pub fn build_report(&mut self, now: Duration) -> Vec<OutcomeReport<K>> {
        self.remove_old_outcomes(now);
        let age = |at: Duration| now.saturating_sub(at);
        let is_served = |state: &OutcomeState| {
            !state.served_at.is_zero() && age(state.served_at) < SERVED_REPORT_TIME
        };
        let reported =
            self.outcomes.iter().filter(|(_, state)| state.unserved.is_some() || is_served(state));
        let mut reports: Vec<OutcomeReport<K>> = reported
            .map(|(key, state)| OutcomeReport {
                key: key.clone(),
                served_age: (!state.served_at.is_zero()).then(|| age(state.served_at)),
                unserved: state.unserved.map(|run| UnservedSpan {
                    first_age: age(run.first_at),
                    last_age: age(run.last_at),
                    requests: run.requests,
                    is_overload: run.is_overload,
                }),
            })
            .collect();
        if reports.len() > MAX_REPORTED_KEYS {
            let wait = |report: &OutcomeReport<K>| {
                report.unserved.map_or(Duration::ZERO, |span| span.first_age)
            };
            reports.sort_by(|a, b| wait(b).cmp(&wait(a)).then_with(|| a.key.cmp(&b.key)));
            reports.truncate(MAX_REPORTED_KEYS);
        }
        reports
    }
}
