//! Engines that take few requests because they have just started.
//!
//! An engine is cold for some time after its start, and may become cold again. It states
//! in its registry entry for how long it stays cold. Each host turns these statements into
//! one value for each instance: the time, on the host's own clock, until which the
//! instance counts as cold.
//!
//! A statement is counted from when this host first saw it, so its way through the store,
//! the coordinator or a deputy makes that time later and never earlier. An instance that
//! appears counts as cold from then, for the time that the declaration names, before it
//! has stated anything.
//!
//! While an engine is cold, every request to it is drawn from the pool of the
//! coordinator, see [`pool`].

pub mod pool;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::dispatch::engine_choice::{EngineCandidate, choose_engine};
use crate::gateway::declaration::{FleetDeclaration, ServiceName};
use crate::gateway::registry::EngineEntry;
use crate::gateway::settings::ColdTolerance;
use crate::ids::{DataCentre, EndpointId};

/// Time after a return of a data centre within which a statement may have been published
/// before the return.
const STATEMENT_DELAY: Duration = Duration::from_secs(1);
/// Time for which the record of an engine that the registry does not list is kept.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which this host leaves cold engines alone after a draw without an answer.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);
/// Longest time between a draw and the arrival of its request at the engine.
const SEND_DELAY_S: f64 = 0.6;
/// Largest burst of a cold engine, in seconds of its rate.
const MAX_BURST_S: f64 = 0.25;
/// Part of its slots below which a warm engine is preferred to a cold one.
const WARM_SLOT_DIVISOR: u32 = 2;
/// Share of recent failures from which a warm engine is not preferred to a cold one.
const MAX_FAILURE_SHARE: f64 = 0.5;
/// Maximum number of events that are kept until they are taken.
const MAX_EVENTS: usize = 256;

/// Rate at which all hosts together send requests to a cold engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ColdRate {
    /// Requests per second.
    pub per_s: f64,
    /// Requests that may be sent at once.
    pub burst: f64,
}

impl ColdRate {
    /// Creates the rate of a service whose cold engines take `per_s` requests per second.
    ///
    /// The burst is what `tolerance` leaves of one second, if requests arrive up to
    /// [`SEND_DELAY_S`] after they were drawn.
    pub fn new(per_s: f64, tolerance: ColdTolerance) -> ColdRate {
        let tolerated = per_s * tolerance.overshoot + tolerance.slack;
        let spare = tolerated - per_s * (1.0 + SEND_DELAY_S);
        ColdRate { per_s, burst: spare.min(per_s * MAX_BURST_S).max(1.0) }
    }

    /// Returns the rate of a service, or `None` if its engines are never cold or the
    /// deployment does not limit them.
    pub fn find(
        declaration: Option<&FleetDeclaration>,
        service: &ServiceName,
        tolerance: Option<ColdTolerance>,
    ) -> Option<ColdRate> {
        let rule = declaration?.services.get(service)?;
        let is_limited = !rule.cold_start.is_zero() && rule.cold_requests_per_s > 0.0;
        is_limited.then_some(ColdRate::new(rule.cold_requests_per_s, tolerance?))
    }
}

/// Why an engine counts as cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdCause {
    /// The instance has appeared in the registry, or has returned to it.
    Appeared,
    /// The engine states it.
    Stated,
    /// The evacuation of its data centre has ended.
    Returned,
}

impl ColdCause {
    /// Returns the short name of the cause in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ColdCause::Appeared => "appeared",
            ColdCause::Stated => "stated",
            ColdCause::Returned => "returned",
        }
    }
}

/// An engine that has begun to count as cold.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdEvent {
    /// The engine.
    pub engine: EndpointId,
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Why it counts as cold.
    pub cause: ColdCause,
    /// Time for which it counts as cold.
    pub cold_for: Duration,
}

/// What this host knows of one instance of an engine.
#[derive(Clone, Debug)]
struct ColdRecord {
    started_ms: u64,
    data_centre: DataCentre,
    /// Time for which an engine of its service is cold after a start.
    cold_start: Duration,
    /// Last time for which the engine stated that it stays cold.
    stated: Option<Duration>,
    cold_until: Duration,
    /// Time at which its data centre returned from an evacuation.
    returned_at: Option<Duration>,
    /// Time until which no request can be drawn for the engine.
    exhausted_until: Duration,
    /// Time since which the registry does not list the engine.
    unlisted_since: Option<Duration>,
}

impl ColdRecord {
    /// Applies what the engine states if it differs from the last statement, and returns
    /// whether the engine has become cold.
    fn apply_statement(&mut self, now: Duration, stated: Option<Duration>, is_new: bool) -> bool {
        let Some(time) = stated.filter(|_| stated != self.stated) else { return false };
        self.stated = stated;
        let (until, was_cold) = (now + time, now < self.cold_until);
        let is_overtaken = self.returned_at.is_some_and(|at| now < at + STATEMENT_DELAY);
        if until > self.cold_until || (is_new && !is_overtaken) {
            self.cold_until = until;
        }
        !was_cold && now < self.cold_until
    }
}

/// The engines that count as cold at one host.
#[derive(Debug, Default)]
pub struct ColdEngines {
    records: HashMap<EndpointId, ColdRecord>,
    /// Whether a copy of the registry has been applied.
    has_copy: bool,
    /// Time until which no request to a cold engine is drawn.
    paused_until: Duration,
    events: Vec<ColdEvent>,
}

impl ColdEngines {
    /// Applies a copy of the registry.
    ///
    /// `find_cold_start` returns the time for which engines of a service are cold after
    /// their start. While `is_settling`, the copy may lack engines that run and may hold
    /// older statements, so it makes no time shorter and no engine count as new.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        engines: impl IntoIterator<Item = &'a EngineEntry>,
        find_cold_start: impl Fn(&ServiceName) -> Duration,
        is_settling: bool,
    ) {
        let mut listed = HashMap::new();
        for entry in engines {
            let cold_start = find_cold_start(&entry.service);
            if !cold_start.is_zero() {
                listed.insert(entry.id.clone(), (entry, cold_start));
            }
        }
        for (engine, record) in &mut self.records {
            if !listed.contains_key(engine) {
                record.unlisted_since.get_or_insert(now);
            }
        }
        for (entry, cold_start) in listed.into_values() {
            self.apply_entry(now, entry, cold_start, is_settling);
        }
        let is_kept = |since: Duration| now.saturating_sub(since) < UNLISTED_LIFETIME;
        self.records.retain(|_, record| record.unlisted_since.is_none_or(is_kept));
        self.has_copy = true;
    }

    fn apply_entry(
        &mut self,
        now: Duration,
        entry: &EngineEntry,
        cold_start: Duration,
        is_settling: bool,
    ) {
        let stated = entry.cold_for;
        if let Some(record) = self.records.get_mut(&entry.id) {
            if record.started_ms > entry.started_ms {
                return;
            }
            let was_listed = record.unlisted_since.take().is_none() || is_settling;
            if record.started_ms == entry.started_ms && was_listed {
                record.cold_start = cold_start;
                if record.apply_statement(now, stated, !is_settling) {
                    let cold_for = record.cold_until - now;
                    self.push_event(&entry.id, entry.started_ms, ColdCause::Stated, cold_for);
                }
                return;
            }
        }
        // Engines that ran before this host did may state that they are not cold.
        let cold_for = match stated {
            Some(time) if !self.has_copy => time,
            stated => stated.unwrap_or_default().max(cold_start),
        };
        let former = self.records.get(&entry.id);
        let record = ColdRecord {
            started_ms: entry.started_ms,
            data_centre: entry.data_centre.clone(),
            cold_start,
            stated,
            cold_until: now + cold_for,
            returned_at: None,
            exhausted_until: former.map_or(Duration::ZERO, |former| former.exhausted_until),
            unlisted_since: None,
        };
        self.records.insert(entry.id.clone(), record);
        if !cold_for.is_zero() {
            self.push_event(&entry.id, entry.started_ms, ColdCause::Appeared, cold_for);
        }
    }

    /// Records that the evacuation of a data centre has ended. Its engines may have become
    /// cold shortly before, and count as cold until a newer statement says otherwise.
    pub fn record_return(&mut self, now: Duration, data_centre: &DataCentre) {
        let mut returned = Vec::new();
        for (engine, record) in &mut self.records {
            if record.data_centre == *data_centre {
                record.cold_until = record.cold_until.max(now + record.cold_start);
                record.returned_at = Some(now);
                returned.push((engine.clone(), record.started_ms, record.cold_until - now));
            }
        }
        for (engine, started_ms, cold_for) in returned {
            self.push_event(&engine, started_ms, ColdCause::Returned, cold_for);
        }
    }

    fn push_event(
        &mut self,
        engine: &EndpointId,
        started_ms: u64,
        cause: ColdCause,
        cold_for: Duration,
    ) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(ColdEvent { engine: engine.clone(), started_ms, cause, cold_for });
        }
    }

    /// Returns what has become cold since the last call.
    pub fn take_events(&mut self) -> Vec<ColdEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of listed engines that count as cold.
    pub fn count_cold(&self, now: Duration) -> usize {
        let listed = self.records.values().filter(|record| record.unlisted_since.is_none());
        listed.filter(|record| now < record.cold_until).count()
    }

    /// Returns the time for which an instance still counts as cold, or `None` if it does
    /// not.
    pub fn find_cold(&self, now: Duration, engine: &str, started_ms: u64) -> Option<Duration> {
        let record = self.records.get(engine).filter(|record| record.started_ms == started_ms)?;
        (now < record.cold_until).then(|| record.cold_until - now)
    }

    /// Returns the time for which no request can be drawn for a cold engine, or `None` if
    /// one may be drawn or the engine is not cold.
    ///
    /// A host that `is_alone`, without a coordinator, draws none.
    pub fn find_wait(
        &self,
        now: Duration,
        engine: &str,
        started_ms: u64,
        is_alone: bool,
    ) -> Option<Duration> {
        let cold_for = self.find_cold(now, engine, started_ms)?;
        let record = self.records.get(engine)?;
        let until = record.exhausted_until.max(self.paused_until);
        let pause = if is_alone { UNANSWERED_PAUSE } else { Duration::ZERO };
        let wait = until.saturating_sub(now).max(pause).min(cold_for);
        (!wait.is_zero()).then_some(wait)
    }

    /// Records that no request could be drawn for an engine, and that none is expected to
    /// be for a time.
    pub fn record_exhausted(&mut self, now: Duration, engine: &str, retry_after: Duration) {
        if let Some(record) = self.records.get_mut(engine) {
            record.exhausted_until = now + retry_after;
        }
    }

    /// Records that a draw had no answer, and returns the time after which one may be
    /// tried again.
    pub fn record_unanswered(&mut self, now: Duration) -> Duration {
        self.paused_until = now + UNANSWERED_PAUSE;
        UNANSWERED_PAUSE
    }
}

/// Returns the index of the engine that gets a request, or `None` if there are no
/// candidates.
///
/// A cold engine is usually the emptiest of all. It is chosen only if every warm engine has
/// taken half of its slots. `is_cold` tells for each candidate whether it is cold; `tie` is as for
/// [`choose_engine`].
pub fn choose_warm_first(
    candidates: &[EngineCandidate],
    is_cold: &[bool],
    tie: u64,
) -> Option<usize> {
    let has_room = |candidate: &EngineCandidate| {
        candidate.running < candidate.slots / WARM_SLOT_DIVISOR
            && !candidate.is_avoided
            && candidate.failure_share < MAX_FAILURE_SHARE
    };
    let warm = (0..candidates.len()).filter(|index| !is_cold[*index]);
    let open: Vec<usize> = warm.filter(|index| has_room(&candidates[*index])).collect();
    if open.is_empty() || !is_cold.contains(&true) {
        return choose_engine(candidates, tie);
    }
    let preferred: Vec<EngineCandidate> =
        open.iter().map(|index| candidates[*index].clone()).collect();
    choose_engine(&preferred, tie).map(|chosen| open[chosen])
}
