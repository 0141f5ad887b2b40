//! What engines state about themselves in their answers.
//!
//! An engine names the request rate that it takes from all hosts together, says that it
//! leaves, or turns a host away for some time. A statement is about one instance of an
//! engine, which its start time identifies, and is dropped with that instance.
//!
//! The newest answer over all hosts decides the rate, until one comes without a limit. The
//! coordinator collects the statements, and its quota pool has a bucket for each engine
//! with a limit, from which hosts draw one token for each request. A host that has no
//! coordinator sends an equal share of the rate.
//!
//! Leaving does not end. The time for which a host is turned away binds that host, and
//! other hosts prefer other engines.

mod book;
mod record;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::engine_statements::record::EngineRecord;
use crate::decision::shared_map::{MapDelta, version_token};
use crate::ids::{EndpointId, MapVersion};

pub use book::StatementBook;

/// Lowest rate at which requests are sent to an engine, in requests per second. Without
/// any request no answer could end its limit.
const MIN_LIMIT: f64 = 0.2;
/// Time without a reply of the coordinator after which a host sends its own share.
const LONE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which an engine turns a host away with one answer.
pub const MAX_TURN_AWAY: Duration = Duration::from_secs(30);
/// Part of the drain bound for a request that was selected before its end.
const LEAVING_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of engines whose statements a host keeps.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of events that are kept until they are taken.
const MAX_EVENTS: usize = 256;

/// What one answer of an engine states.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerStatement {
    /// Requests per second that the engine takes from all hosts together, if it names a
    /// limit.
    pub limit: Option<f64>,
    /// Whether the engine leaves.
    pub is_leaving: bool,
    /// Whether the engine turns the host away for some time.
    pub turn_away: TurnAway,
}

/// Time for which an answer turns the host away.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum TurnAway {
    /// The answer names no time.
    #[default]
    Unstated,
    /// The engine wants no request for this time.
    For(Duration),
    /// The answer names a time that cannot be read.
    Unreadable,
}

/// A single fact that an engine stated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatedFact {
    /// The limit in requests per second; `None` if the answer names none.
    Limit(Option<f64>),
    /// The engine leaves.
    Leaving,
    /// The engine wants no request from the reporting host for this time.
    TurnedAway(Duration),
}

/// A fact that a host heard from an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatementObservation {
    /// Engine that answered.
    pub engine: EndpointId,
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The fact.
    pub fact: StatedFact,
    /// Time since the answer.
    pub age: Duration,
}

/// A host's part of the statements, sent to the coordinator in each exchange.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatementReport {
    /// Version of the statements that the host has.
    pub version: MapVersion,
    /// Observations that the coordinator may not have.
    pub observations: Vec<StatementObservation>,
}

/// What an engine states, as the coordinator sends it to hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineStatement {
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Limit in requests per second.
    pub limit: Option<f64>,
    /// Whether the engine leaves.
    pub is_leaving: bool,
    /// Time for which the engine still turns some host away.
    pub turned_away: Option<Duration>,
}

/// What a host knows of an engine when it selects one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownStatement {
    /// Limit in requests per second.
    pub limit: Option<f64>,
    /// Time since this host heard that the engine leaves.
    pub leaving_for: Option<Duration>,
    /// Remaining time for which the engine has turned this host away.
    pub turned_away_for: Option<Duration>,
    /// Remaining time for which the engine has turned another host away.
    pub avoided_for: Option<Duration>,
}

impl KnownStatement {
    /// Returns whether the engine leaves and must get no request any more, if every host
    /// has to have stopped within `drain_bound`.
    pub fn is_gone(&self, drain_bound: Duration) -> bool {
        let usable_for = drain_bound.saturating_sub(LEAVING_MARGIN);
        self.leaving_for.is_some_and(|leaving_for| leaving_for >= usable_for)
    }
}

/// Returns the indices of the engines that may get a request, by what they state.
///
/// These are engines that do not turn this host away and do not leave. If all that do not
/// turn it away leave, they are used until shortly before `drain_bound`.
pub fn find_willing_engines(known: &[KnownStatement], drain_bound: Duration) -> Vec<usize> {
    let open = (0..known.len()).filter(|index| known[*index].turned_away_for.is_none());
    let open: Vec<usize> = open.collect();
    let stays = |index: &usize| known[*index].leaving_for.is_none();
    if open.iter().any(stays) {
        open.into_iter().filter(stays).collect()
    } else {
        open.into_iter().filter(|index| !known[*index].is_gone(drain_bound)).collect()
    }
}

/// A change of what an engine states, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementChange {
    /// The limit in requests per second.
    Limit(Option<f64>),
    /// The engine leaves.
    Leaving,
    /// The engine turns a host away for this time.
    TurnedAway(Duration),
    /// The time for which the engine turned this host away has ended.
    TakesRequests,
    /// An answer named a longer time than [`MAX_TURN_AWAY`].
    BoundedDelay,
    /// An answer named a time that cannot be read.
    UnreadableDelay,
    /// The instance that made the statement is gone.
    Forgotten,
}

impl StatementChange {
    /// Returns the short name of the change in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            StatementChange::Limit(_) => "limit",
            StatementChange::Leaving => "leaving",
            StatementChange::TurnedAway(_) => "turned-away",
            StatementChange::TakesRequests => "takes-requests",
            StatementChange::BoundedDelay => "bounded-delay",
            StatementChange::UnreadableDelay => "unreadable-delay",
            StatementChange::Forgotten => "forgotten",
        }
    }

    /// Returns the limit in requests per second or the time in seconds; -1 if there is
    /// none.
    pub fn value(&self) -> f64 {
        match self {
            StatementChange::Limit(limit) => limit.unwrap_or(-1.0),
            StatementChange::TurnedAway(time) => time.as_secs_f64(),
            _ => -1.0,
        }
    }
}

/// A change of what this host knows of an engine's statement.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementEvent {
    /// The engine.
    pub engine: EndpointId,
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether an answer to this host made the change, not the coordinator.
    pub is_own: bool,
    /// The change.
    pub change: StatementChange,
}

/// Tokens of a host that has no coordinator.
#[derive(Clone, Copy, Debug)]
struct LoneBucket {
    /// Requests that may be sent.
    level: f64,
    advanced_at: Duration,
}

/// The statements that one host knows.
#[derive(Debug, Default)]
pub struct EngineStatements {
    records: HashMap<EndpointId, EngineRecord>,
    /// Version of the statements that the coordinator sent.
    version: MapVersion,
    replied_at: Duration,
    /// Engines for which no token was left, with the time until which none is drawn.
    exhausted: HashMap<EndpointId, Duration>,
    lone_buckets: HashMap<EndpointId, LoneBucket>,
    events: Vec<StatementEvent>,
}

impl EngineStatements {
    /// Records what an answer of the instance that started at `started_ms` states, and
    /// returns whether the known statement has changed.
    ///
    /// A refusal or failure without a limit does not end one.
    pub fn record_answer(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        started_ms: u64,
        statement: &AnswerStatement,
        is_success: bool,
    ) -> bool {
        let is_known = self.records.contains_key(engine);
        if !is_known && *statement == AnswerStatement::default() {
            return false;
        }
        let mut changes = Vec::new();
        let Some(record) = self.record_mut(now, engine, started_ms) else { return false };
        if statement.limit != record.limit() && (statement.limit.is_some() || is_success) {
            record.set_own_limit(now, statement.limit);
            changes.push(StatementChange::Limit(statement.limit));
        }
        if statement.is_leaving && record.leaving_since.is_none() {
            record.leaving_since = Some(now);
            changes.push(StatementChange::Leaving);
        }
        changes.extend(record.note_odd_delay(&statement.turn_away));
        if let TurnAway::For(time) = statement.turn_away {
            changes.extend(record.turn_away(now, time.min(MAX_TURN_AWAY)));
        }
        self.push_events(engine, started_ms, true, &changes);
        !changes.is_empty()
    }

    /// Returns the record of an instance, which replaces that of a former one, or `None`
    /// if the instance is a former one itself.
    fn record_mut(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        started_ms: u64,
    ) -> Option<&mut EngineRecord> {
        if !self.records.contains_key(engine) && self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.updated_at);
            if let Some(oldest) = oldest.map(|(engine, _)| engine.clone()) {
                self.records.remove(&oldest);
            }
        }
        let new = || EngineRecord::new(started_ms);
        let record = self.records.entry(engine.clone()).or_insert_with(new);
        if record.started_ms > started_ms {
            return None;
        }
        if record.started_ms < started_ms {
            *record = new();
        }
        record.updated_at = now;
        Some(record)
    }

    fn push_events(
        &mut self,
        engine: &EndpointId,
        started_ms: u64,
        is_own: bool,
        changes: &[StatementChange],
    ) {
        for change in changes.iter().copied().take(MAX_EVENTS.saturating_sub(self.events.len())) {
            let engine = engine.clone();
            self.events.push(StatementEvent { engine, started_ms, is_own, change });
        }
    }

    /// Returns what has changed since the last call.
    pub fn take_events(&mut self) -> Vec<StatementEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns what is known of the instance of an engine that started at `started_ms`.
    pub fn find(&self, now: Duration, engine: &str, started_ms: u64) -> KnownStatement {
        let record = self.records.get(engine).filter(|record| record.started_ms == started_ms);
        let Some(record) = record else { return KnownStatement::default() };
        let remaining = |until: Duration| Some(until.saturating_sub(now)).filter(|t| !t.is_zero());
        KnownStatement {
            limit: record.limit(),
            leaving_for: record.leaving_since.map(|since| now.saturating_sub(since)),
            turned_away_for: record.turned_away_until().and_then(remaining),
            avoided_for: record.avoided_until.and_then(remaining),
        }
    }

    /// Returns the limit of an engine, in requests per second, if it has named one.
    pub fn limit(&self, engine: &str, started_ms: u64) -> Option<f64> {
        let record = self.records.get(engine).filter(|record| record.started_ms == started_ms);
        record.and_then(EngineRecord::limit)
    }

    /// Drops the records of former instances. `find_start` returns the start time of an
    /// engine in the registry, in milliseconds since the Unix epoch.
    ///
    /// The record of an engine that is not in the registry is kept, as it may return.
    pub fn update_registry(&mut self, find_start: impl Fn(&EndpointId) -> Option<u64>) {
        let mut former = Vec::new();
        self.records.retain(|engine, record| {
            let started_ms = find_start(engine);
            record.is_listed = started_ms.is_some();
            let is_kept = started_ms.is_none_or(|started_ms| started_ms == record.started_ms);
            if !is_kept {
                former.push((engine.clone(), record.started_ms));
            }
            is_kept
        });
        for (engine, started_ms) in former {
            self.push_events(&engine, started_ms, true, &[StatementChange::Forgotten]);
        }
    }

    /// Ends the times for which engines turned hosts away.
    fn expire(&mut self, now: Duration) {
        let mut ended = Vec::new();
        self.records.retain(|engine, record| {
            if record.expire(now) {
                ended.push((engine.clone(), record.started_ms));
            }
            record.has_content()
        });
        for (engine, started_ms) in ended {
            self.push_events(&engine, started_ms, true, &[StatementChange::TakesRequests]);
        }
    }

    /// Builds the report of the next exchange.
    pub fn build_report(&mut self, now: Duration) -> StatementReport {
        self.expire(now);
        let mut observations = Vec::new();
        for (engine, record) in &mut self.records {
            for (fact, age) in record.report(now) {
                let (engine, started_ms) = (engine.clone(), record.started_ms);
                observations.push(StatementObservation { engine, started_ms, fact, age });
            }
        }
        StatementReport { observations, version: self.version }
    }

    /// Applies the coordinator's reply to the last report.
    ///
    /// `delta` is `None` if the host has the current version.
    pub fn apply_reply(&mut self, now: Duration, delta: Option<MapDelta<EngineStatement>>) {
        self.replied_at = now;
        self.lone_buckets.clear();
        self.exhausted.retain(|_, until| now < *until);
        let limits: HashMap<EndpointId, Option<f64>> =
            self.records.iter().map(|(engine, record)| (engine.clone(), record.limit())).collect();
        self.records.values_mut().for_each(EngineRecord::confirm_report);
        if let Some(delta) = delta {
            self.apply_delta(now, delta);
        }
        let limit_change = |(engine, record): (&EndpointId, &EngineRecord)| {
            let (limit, known) = (record.limit(), limits.get(engine).copied().flatten());
            let change = (limit != known).then_some(StatementChange::Limit(limit))?;
            Some((engine.clone(), record.started_ms, change))
        };
        let changes: Vec<_> = self.records.iter().filter_map(limit_change).collect();
        for (engine, started_ms, change) in changes {
            self.push_events(&engine, started_ms, false, &[change]);
        }
        self.records.retain(|_, record| record.has_content());
    }

    fn apply_delta(&mut self, now: Duration, delta: MapDelta<EngineStatement>) {
        if version_token(delta.version) != version_token(self.version) {
            // A new coordinator may not have what the previous one sent.
            self.records.values_mut().for_each(EngineRecord::reopen);
        }
        self.version = delta.version;
        if delta.is_complete {
            let changed = &delta.changed;
            let is_sent = |engine: &EndpointId| changed.iter().any(|(name, _)| name == engine);
            let records = self.records.iter_mut();
            let unsent = records.filter(|(engine, _)| !is_sent(engine));
            unsent.for_each(|(_, record)| record.clear_shared());
        }
        for engine in &delta.removed {
            if let Some(record) = self.records.get_mut(engine) {
                record.clear_shared();
            }
        }
        for (engine, statement) in delta.changed {
            let started_ms = statement.started_ms;
            let Some(record) = self.record_mut(now, &engine, started_ms) else { continue };
            let changes = record.apply_shared(now, &statement);
            self.push_events(&engine, started_ms, false, &changes);
        }
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
    pub fn try_spend_share(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        started_ms: u64,
        hosts: u32,
    ) -> bool {
        let Some(limit) = self.limit(engine, started_ms) else { return true };
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
    pub fn find_wait(
        &self,
        now: Duration,
        engine: &EndpointId,
        started_ms: u64,
    ) -> Option<Duration> {
        let until = self.exhausted.get(engine).filter(|until| now < **until)?;
        // Without a limit the engine takes requests again.
        self.limit(engine, started_ms).map(|_| *until - now)
    }
}
