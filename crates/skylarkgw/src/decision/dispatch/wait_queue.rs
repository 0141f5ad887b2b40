//! Requests that wait at a host for a free place at an engine.
//!
//! A request of a route that yields to more urgent ones is sent only to an engine with more
//! free places than it leaves to them. Meanwhile it waits at its host, where it takes no
//! place and no memory of an engine, and it leaves fewer places free the longer it has
//! waited. It is refused as soon as it cannot make its latency objective any more.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use crate::decision::dispatch::engine_choice::EngineCandidate;
use crate::decision::dispatch::urgency::{RequestUrgency, RoutePrecedent, UrgencyLevel};
use crate::gateway::declaration::ServiceName;
use crate::ids::ModelName;

/// Share of an engine's places that yielding requests leave free when they arrive.
const HEADROOM_SHARE: f64 = 1.0 / 3.0;
/// Share of its patience after which a yielding request takes the last free place.
const HEADROOM_TIME_SHARE: f64 = 0.5;
/// Share of failed requests from which an engine counts as having no free place.
const MAX_FAILURE_SHARE: f64 = 0.2;
/// Time after the last request of a route for which others still yield to it.
const PRESSURE_TIME: Duration = Duration::from_secs(2);
/// Time for which no request begins to wait for a model after one has waited in vain, unless
/// one is sent before.
const CLOSED_TIME: Duration = Duration::from_millis(500);
/// Divisor of the memory of the process that gives the bytes of all waiting requests.
const MEMORY_DIVISOR: usize = 16;
/// Number of requests that may wait for each megabyte of memory of the process.
const ENTRIES_PER_MB: usize = 2;

/// What the more urgent requests of a service ask of a less urgent one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UrgentPressure {
    /// Whether the request leaves places free.
    pub must_yield: bool,
    /// Shortest latency objective of the more urgent requests that it does not yield to. It
    /// accepts no longer queue at an engine than they do.
    pub shortest_objective: Option<Duration>,
}

/// Returns the number of places that a yielding request leaves free at an engine, after it
/// has waited for `waited` of `patience`, the longest time that it can wait.
pub fn compute_headroom(slots: u32, waited: Duration, patience: Duration) -> u32 {
    let time = patience.as_secs_f64() * HEADROOM_TIME_SHARE;
    let left = 1.0 - (waited.as_secs_f64() / time.max(f64::MIN_POSITIVE)).min(1.0);
    (f64::from(slots) * HEADROOM_SHARE * left) as u32
}

/// Returns whether an engine has a free place besides `headroom` others.
///
/// An engine that is down looks free, because nothing runs there. One that fails does not
/// count until its failures lie back.
pub fn has_place(candidate: &EngineCandidate, headroom: u32) -> bool {
    candidate.failure_share < MAX_FAILURE_SHARE && candidate.running + headroom < candidate.slots
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of requests.
    pub entries: usize,
    /// Maximum number of bytes of their bodies and heads.
    pub bytes: usize,
}

impl QueueLimits {
    /// Returns the bounds for a process with `memory_mb` megabytes of memory.
    pub fn new(memory_mb: usize) -> QueueLimits {
        QueueLimits {
            entries: memory_mb * ENTRIES_PER_MB,
            bytes: memory_mb * 1024 * 1024 / MEMORY_DIVISOR,
        }
    }
}

/// What a request waits for: any engine of a service, or one that holds a model.
pub type WaitTarget = (ServiceName, Option<ModelName>);

/// A request that is to wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitRequest {
    /// Urgency of the request.
    pub urgency: RequestUrgency,
    /// Level of that urgency, for metrics.
    pub level: UrgencyLevel,
    /// Last time, since boot, at which it can be sent and still make its objective.
    pub last_moment: Duration,
    /// What it waits for.
    pub target: WaitTarget,
    /// Number of bytes that it holds in memory.
    pub bytes: usize,
}

/// Position in a queue: by urgency, then by the last moment, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitTicket {
    urgency: RequestUrgency,
    last_moment: Duration,
    number: u64,
}

/// Why a request may not begin to wait.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EnterError {
    /// The queue is full of requests that go first.
    #[error("the queue is full of more urgent requests")]
    Full,
    /// A request with the same target has just waited in vain.
    #[error("the last request with this target waited in vain")]
    Closed,
}

/// How a wait ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitOutcome {
    /// The request is sent to an engine.
    Sent,
    /// The request cannot make its objective any more, or its engines became unavailable.
    Refused,
    /// A more urgent request took its place in the queue.
    Displaced,
    /// The host stops.
    Stopped,
    /// The client left.
    Abandoned,
}

impl WaitOutcome {
    /// Returns the label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            WaitOutcome::Sent => "sent",
            WaitOutcome::Refused => "refused",
            WaitOutcome::Displaced => "displaced",
            WaitOutcome::Stopped => "stopped",
            WaitOutcome::Abandoned => "abandoned",
        }
    }
}

/// Queue of one host, in which each request has a waker of type `W`.
#[derive(Debug)]
pub struct WaitQueue<W> {
    limits: QueueLimits,
    waiting: BTreeMap<WaitTicket, (WaitRequest, W)>,
    bytes: usize,
    next_number: u64,
    /// Time of the last request of each route of a service.
    arrivals: HashMap<(ServiceName, Arc<str>), Duration>,
    /// Targets for which a request has waited in vain, with the end of the time for which
    /// no other one begins to wait.
    closed_until: HashMap<WaitTarget, Duration>,
}

impl<W: Clone> WaitQueue<W> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> WaitQueue<W> {
        WaitQueue {
            limits,
            waiting: BTreeMap::new(),
            bytes: 0,
            next_number: 0,
            arrivals: HashMap::new(),
            closed_until: HashMap::new(),
        }
    }

    /// Records the arrival of a request of a route.
    pub fn record_arrival(&mut self, now: Duration, service: &ServiceName, route: &Arc<str>) {
        self.arrivals.insert((service.clone(), route.clone()), now);
    }

    /// Returns what the requests of the routes `precedents` that have arrived lately ask of
    /// a request that they go before.
    pub fn find_pressure(
        &self,
        now: Duration,
        service: &ServiceName,
        precedents: &[RoutePrecedent],
    ) -> UrgentPressure {
        let has_arrived = |precedent: &&RoutePrecedent| {
            let at = self.arrivals.get(&(service.clone(), precedent.route.clone()));
            at.is_some_and(|at| now.saturating_sub(*at) < PRESSURE_TIME)
        };
        let recent: Vec<&RoutePrecedent> = precedents.iter().filter(has_arrived).collect();
        let others = recent.iter().filter(|precedent| !precedent.is_yielded_to);
        UrgentPressure {
            must_yield: recent.iter().any(|precedent| precedent.is_yielded_to),
            shortest_objective: others.map(|precedent| precedent.objective).min(),
        }
    }

    /// Returns whether a request with the given urgency and last moment may take a free
    /// place at once: none that waits for the same target goes before it.
    pub fn may_go(
        &self,
        urgency: RequestUrgency,
        last_moment: Duration,
        target: &WaitTarget,
    ) -> bool {
        let ticket = WaitTicket { urgency, last_moment, number: 0 };
        !self.waiting.range(..ticket).any(|(_, (other, _))| other.target == *target)
    }

    /// Adds a request and returns its ticket with the wakers of the requests that it
    /// displaces: a full queue drops its last requests for one that goes before them.
    ///
    /// # Errors
    ///
    /// [`EnterError`] if the request may not wait.
    pub fn enter(
        &mut self,
        now: Duration,
        request: WaitRequest,
        waker: W,
    ) -> Result<(WaitTicket, Vec<W>), EnterError> {
        self.closed_until.retain(|_, until| now < *until);
        if self.closed_until.contains_key(&request.target) {
            return Err(EnterError::Closed);
        }
        let (urgency, last_moment) = (request.urgency, request.last_moment);
        let ticket = WaitTicket { urgency, last_moment, number: self.next_number };
        let last = self.find_displaced(&ticket, request.bytes).ok_or(EnterError::Full)?;
        self.next_number += 1;
        let displaced = last.iter().filter_map(|last| self.remove(last)).collect();
        self.bytes += request.bytes;
        self.waiting.insert(ticket, (request, waker));
        Ok((ticket, displaced))
    }

    /// Returns the requests that have to leave the queue for another one, or `None` if one
    /// of them goes before it.
    fn find_displaced(&self, ticket: &WaitTicket, bytes: usize) -> Option<Vec<WaitTicket>> {
        let (mut entries, mut held) = (self.waiting.len() + 1, self.bytes + bytes);
        let mut displaced = Vec::new();
        let mut last = self.waiting.iter().rev();
        while entries > self.limits.entries || held > self.limits.bytes {
            let (other, (request, _)) = last.next().filter(|(other, _)| *other > ticket)?;
            entries -= 1;
            held -= request.bytes;
            displaced.push(*other);
        }
        Some(displaced)
    }

    /// Removes a request and returns its waker, or `None` if it does not wait any more.
    pub fn remove(&mut self, ticket: &WaitTicket) -> Option<W> {
        let (request, waker) = self.waiting.remove(ticket)?;
        self.bytes -= request.bytes;
        Some(waker)
    }

    /// Returns whether a request still waits.
    pub fn is_waiting(&self, ticket: &WaitTicket) -> bool {
        self.waiting.contains_key(ticket)
    }

    /// Records how the wait for a target ended.
    pub fn record_outcome(&mut self, now: Duration, target: &WaitTarget, outcome: WaitOutcome) {
        match outcome {
            WaitOutcome::Sent => {
                self.closed_until.remove(target);
            }
            WaitOutcome::Refused => {
                self.closed_until.insert(target.clone(), now + CLOSED_TIME);
            }
            WaitOutcome::Displaced | WaitOutcome::Stopped | WaitOutcome::Abandoned => {}
        }
    }

    /// Returns the wakers of the requests whose target `is_affected`, the first one first.
    pub fn find_wakers(&self, is_affected: impl Fn(&WaitTarget) -> bool) -> Vec<W> {
        let waiting = self.waiting.values();
        let affected = waiting.filter(|(request, _)| is_affected(&request.target));
        affected.map(|(_, waker)| waker.clone()).collect()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the bytes of the requests that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
