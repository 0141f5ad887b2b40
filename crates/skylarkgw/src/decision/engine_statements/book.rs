//! What all engines state, as the coordinator knows it.

use std::collections::HashMap;
use std::time::Duration;

use crate::decision::engine_statements::{EngineStatement, MAX_TURN_AWAY, MIN_LIMIT, StatedFact};
use crate::decision::shared_map::{MapDelta, SharedMap};
use crate::ids::{EndpointId, MapVersion};

/// What one instance of an engine states.
#[derive(Clone, Copy, Debug, Default)]
struct BookEntry {
    /// Start time of the engine, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// Newest answer: its time and the limit in requests per second.
    limit: Option<(Duration, Option<f64>)>,
    is_leaving: bool,
    /// Latest time until which some host is turned away.
    turned_away_until: Option<Duration>,
}

/// A [`BookEntry`] as it is shared, with times of the coordinator's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SharedEntry {
    started_ms: u64,
    limit: Option<f64>,
    is_leaving: bool,
    turned_away_until: Option<Duration>,
}

/// The statements of all engines, as the coordinator knows them.
#[derive(Debug)]
pub struct StatementBook {
    entries: HashMap<EndpointId, BookEntry>,
    shared: SharedMap<SharedEntry>,
}

impl StatementBook {
    /// Creates the book of a coordinator with the given fencing token.
    pub fn new(token: u64) -> StatementBook {
        StatementBook { entries: HashMap::new(), shared: SharedMap::new(token) }
    }

    /// Records a fact that the instance which started at `started_ms` stated at `at`, and
    /// returns whether it changes the statement of the engine.
    pub fn record(
        &mut self,
        engine: &EndpointId,
        started_ms: u64,
        at: Duration,
        fact: StatedFact,
    ) -> bool {
        let new = BookEntry { started_ms, ..BookEntry::default() };
        let entry = self.entries.entry(engine.clone()).or_insert(new);
        if entry.started_ms != started_ms {
            *entry = new;
        }
        let has_changed = match fact {
            StatedFact::Limit(limit) => entry.set_limit(at, limit),
            StatedFact::Leaving => !std::mem::replace(&mut entry.is_leaving, true),
            StatedFact::TurnedAway(time) => {
                let until = Some(at + time.min(MAX_TURN_AWAY));
                let is_later = until > entry.turned_away_until;
                if is_later {
                    entry.turned_away_until = until;
                }
                is_later
            }
        };
        if has_changed {
            self.share();
        }
        has_changed
    }

    /// Returns whether any host has observed the limit of an engine, or that it has none.
    pub fn has_observed(&self, engine: &EndpointId) -> bool {
        self.entries.get(engine).is_some_and(|entry| entry.limit.is_some())
    }

    /// Removes instances for which `is_kept` returns false, and returns their engines.
    ///
    /// `is_kept` gets the engine and its start time, in milliseconds since the Unix epoch.
    pub fn retain(&mut self, is_kept: impl Fn(&EndpointId, u64) -> bool) -> Vec<EndpointId> {
        let entries = self.entries.iter();
        let gone = entries.filter(|(engine, entry)| !is_kept(engine, entry.started_ms));
        let gone: Vec<EndpointId> = gone.map(|(engine, _)| engine.clone()).collect();
        for engine in &gone {
            self.entries.remove(engine);
        }
        if !gone.is_empty() {
            self.share();
        }
        gone
    }

    /// Ends the times for which engines turned hosts away.
    pub fn expire(&mut self, now: Duration) {
        let mut has_ended = false;
        for entry in self.entries.values_mut() {
            has_ended |= entry.turned_away_until.take_if(|until| now >= *until).is_some();
        }
        if has_ended {
            self.share();
        }
    }

    /// Returns the limit of an engine, in requests per second.
    pub fn limit(&self, engine: &EndpointId) -> Option<f64> {
        self.entries.get(engine).and_then(|entry| entry.limit?.1)
    }

    /// Returns whether the engine leaves.
    pub fn is_leaving(&self, engine: &EndpointId) -> bool {
        self.entries.get(engine).is_some_and(|entry| entry.is_leaving)
    }

    /// Returns the changes since `version`, or `None` if it is the current one.
    pub fn delta_since(
        &self,
        now: Duration,
        version: MapVersion,
    ) -> Option<MapDelta<EngineStatement>> {
        let delta = self.shared.delta_since(version)?;
        let to_statement = |entry: SharedEntry| EngineStatement {
            started_ms: entry.started_ms,
            limit: entry.limit,
            is_leaving: entry.is_leaving,
            turned_away: entry.turned_away_until.map(|until| until.saturating_sub(now)),
        };
        let changed = delta.changed.into_iter();
        Some(MapDelta {
            version: delta.version,
            is_complete: delta.is_complete,
            is_last: delta.is_last,
            changed: changed.map(|(engine, entry)| (engine, to_statement(entry))).collect(),
            removed: delta.removed,
        })
    }

    fn share(&mut self) {
        let entries = self.entries.iter();
        let entries = entries.filter_map(|(engine, entry)| Some((engine.clone(), entry.share()?)));
        self.shared.replace(entries.collect());
    }
}

impl BookEntry {
    /// Records the limit of an answer at `at`, and returns whether the limit has changed.
    fn set_limit(&mut self, at: Duration, limit: Option<f64>) -> bool {
        if self.limit.is_some_and(|(known_at, _)| at < known_at) {
            return false;
        }
        let limit = limit.map(|limit| limit.max(MIN_LIMIT));
        let known = self.limit.replace((at, limit)).and_then(|(_, limit)| limit);
        known != limit
    }

    /// Returns the entry as it is shared, or `None` if it states nothing.
    fn share(&self) -> Option<SharedEntry> {
        let limit = self.limit.and_then(|(_, limit)| limit);
        let is_stated = limit.is_some() || self.is_leaving || self.turned_away_until.is_some();
        is_stated.then_some(SharedEntry {
            started_ms: self.started_ms,
            limit,
            is_leaving: self.is_leaving,
            turned_away_until: self.turned_away_until,
        })
    }
}
