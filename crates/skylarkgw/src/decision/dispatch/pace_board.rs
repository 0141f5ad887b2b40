//! The coordinator's side of the pace of engines: the answers that all hosts report, and
//! the pages of estimates that it sends to them.
//!
//! Each reply has the next few engines by their numbers, so that the bytes of a host do
//! not grow with the fleet. In a large one the estimates just arrive less often.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::dispatch::engine_loads::EngineNumber;
use crate::decision::dispatch::engine_pace::{EnginePace, LoadLevel, PaceBook, PaceCode, PaceSum};
use crate::gateway::declaration::ServiceName;
use crate::gateway::registry::EngineEntry;
use crate::ids::{EndpointId, HostId};

/// Number of times per second that a host of a smaller fleet gets each estimate.
const ROUNDS_PER_S: f64 = 1.0;
/// Maximum number of estimates that a host gets per second.
const MAX_CODES_PER_S: f64 = 600.0;
/// Shortest time between two computations of all estimates.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a page after which the cursor of a host is dropped.
const CURSOR_LIFETIME: Duration = Duration::from_secs(5);
/// Time between two computations of all estimates, for each engine.
const REFRESH_TIME_PER_ENGINE: Duration = Duration::from_micros(100);

/// Estimates of engines with consecutive numbers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PacePage {
    first: EngineNumber,
    codes: Vec<PaceCode>,
}

impl PacePage {
    /// Iterates over the numbers of the engines and their estimates; `None` stands for an
    /// engine of which nothing is known.
    pub fn iter(&self) -> impl Iterator<Item = (EngineNumber, Option<EnginePace>)> {
        (self.first..).zip(self.codes.iter().map(|code| code.decode()))
    }

    /// Returns the number of estimates.
    pub fn len(&self) -> usize {
        self.codes.len()
    }

    /// Returns whether there is no estimate.
    pub fn is_empty(&self) -> bool {
        self.codes.is_empty()
    }
}

/// Where the next page of a host begins.
#[derive(Clone, Copy, Debug)]
struct PageCursor {
    next: usize,
    sent_at: Duration,
}

/// Engine of a number.
#[derive(Debug)]
struct ListedEngine {
    id: EndpointId,
    service: ServiceName,
    started_ms: u64,
    slots: u32,
}

/// Engine that takes less than others of its service.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedEngine {
    /// Identifier of the engine.
    pub id: EndpointId,
    /// Number of places that it has.
    pub slots: u32,
    /// What it takes well.
    pub pace: EnginePace,
}

/// Answers of all engines, by their numbers.
#[derive(Debug, Default)]
pub struct PaceBoard {
    book: PaceBook<EngineNumber>,
    engines: Vec<Option<ListedEngine>>,
    codes: Vec<PaceCode>,
    refreshed_at: Option<Duration>,
    cursors: HashMap<HostId, PageCursor>,
}

impl PaceBoard {
    /// Sets the engine of a number. The answers of another instance are forgotten.
    pub fn set_engine(&mut self, number: EngineNumber, entry: &EngineEntry) {
        let index = number as usize;
        if self.engines.len() <= index {
            self.engines.resize_with(index + 1, || None);
            self.codes.resize(index + 1, PaceCode::default());
        }
        let is_same =
            |listed: &ListedEngine| listed.id == entry.id && listed.started_ms == entry.started_ms;
        if !self.engines[index].as_ref().is_some_and(is_same) {
            self.remove_engine(number);
            let (id, service) = (entry.id.clone(), entry.service.clone());
            let (started_ms, slots) = (entry.started_ms, entry.slots);
            self.engines[index] = Some(ListedEngine { id, service, started_ms, slots });
        }
    }

    /// Removes the engine of a number.
    pub fn remove_engine(&mut self, number: EngineNumber) {
        self.book.remove(&number);
        if let Some(engine) = self.engines.get_mut(number as usize) {
            *engine = None;
            self.codes[number as usize] = PaceCode::default();
        }
    }

    /// Adds the answers that a host reports.
    pub fn record(&mut self, now: Duration, sums: &[(EngineNumber, LoadLevel, PaceSum)]) {
        for (number, level, sum) in sums {
            if let Some(Some(engine)) = self.engines.get(*number as usize) {
                self.book.record(now, *number, &engine.service, *level, sum);
            }
        }
    }

    /// Returns the estimate for the engine of a number, if anything is known about its
    /// service.
    pub fn estimate(&self, now: Duration, number: EngineNumber) -> Option<EnginePace> {
        let engine = self.engines.get(number as usize)?.as_ref()?;
        self.book.estimate(now, &number, &engine.service)
    }

    /// Returns the engines that are clearly slower than others of their service or have
    /// places that are not useful, as hosts are told.
    pub fn find_limited(&self) -> Vec<LimitedEngine> {
        let engines = self.engines.iter().zip(&self.codes);
        let engines = engines.filter_map(|(engine, code)| {
            let (engine, pace) = (engine.as_ref()?, code.decode()?);
            let (id, slots) = (engine.id.clone(), engine.slots);
            pace.is_limited().then_some(LimitedEngine { id, slots, pace })
        });
        engines.collect()
    }

    /// Returns the next page for a host.
    pub fn take_page(&mut self, now: Duration, host: &HostId) -> Option<PacePage> {
        self.refresh(now);
        let count = self.codes.len();
        let cursor = self.cursors.get(host);
        let time =
            cursor.map_or(Duration::from_secs(1), |cursor| now.saturating_sub(cursor.sent_at));
        let rate = MAX_CODES_PER_S.min(count as f64 * ROUNDS_PER_S);
        let length = (time.as_secs_f64() * rate) as usize;
        if length == 0 || count == 0 {
            return None;
        }
        let first = cursor.map(|cursor| cursor.next).filter(|next| *next < count).unwrap_or(0);
        let next = (first + length).min(count);
        self.cursors.insert(host.clone(), PageCursor { next, sent_at: now });
        Some(PacePage { first: first as EngineNumber, codes: self.codes[first..next].to_vec() })
    }

    /// Computes all estimates anew if that is due.
    fn refresh(&mut self, now: Duration) {
        let interval =
            MIN_REFRESH_INTERVAL.max(REFRESH_TIME_PER_ENGINE * self.engines.len() as u32);
        let is_recent = |at: Duration| now.saturating_sub(at) < interval;
        if self.refreshed_at.is_some_and(is_recent) {
            return;
        }
        self.refreshed_at = Some(now);
        let is_used = |cursor: &PageCursor| now.saturating_sub(cursor.sent_at) < CURSOR_LIFETIME;
        self.cursors.retain(|_, cursor| is_used(cursor));
        for number in 0..self.engines.len() {
            let pace = self.estimate(now, number as EngineNumber);
            self.codes[number] = pace.map_or_else(PaceCode::default, |pace| pace.encode());
        }
    }
}
