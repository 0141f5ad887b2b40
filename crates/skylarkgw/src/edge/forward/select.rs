//! Selects the engine to which a request is sent.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::decision::cold_engines::{ColdRate, choose_warm_first};
use crate::decision::coordinator::{EngineLimits, QuotaAnswer};
use crate::decision::dispatch::engine_choice::{
    EngineCandidate, ExpectedCount, choose_engine_in_time, compute_patience, compute_retry_after,
    should_queue,
};
use crate::decision::dispatch::homes::{find_allowed_centres, is_allowed};
use crate::decision::dispatch::wait_queue::{compute_headroom, has_place};
use crate::decision::engine_statements::{KnownStatement, find_willing_engines};
use crate::decision::fleet_planner::AdapterRequest;
use crate::decision::freshness::exchange_interval;
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::gateway::clock::time_since_boot;
use crate::gateway::registry::{EngineEntry, EnginePhase};
use crate::gateway::state::{CoordinatorRequest, FleetSnapshot, GatewayState};
use crate::ids::{DataCentre, EndpointId};

/// Time that a request waits for the coordinator to assign its adapter to an
/// engine.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(220);
/// Time that a request waits for the coordinator to draw it from the limit of an engine.
const LIMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Retry delay after a draw without an answer.
const LIMIT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Expected time until a missing model or adapter is available, in milliseconds;
/// the retry delay reported to the client is derived from it.
const LOAD_WAIT_MS: f64 = 900.0;

/// Part of the retry delay by which rounding to hundredths of a second cannot end it early.
const RETRY_ROUNDING: Duration = Duration::from_millis(5);

/// Shortest times until an engine may take a request again.
#[derive(Clone, Debug, Default)]
struct EngineWaits {
    /// Time until a token is expected for an engine with a limit.
    limit: Option<Duration>,
    /// Remaining time for which an engine turns this host away.
    turned_away: Option<Duration>,
    /// Cold engines for which no request can be drawn now.
    resting: Vec<EndpointId>,
}

/// The engine selected for a request, and the estimates behind the selection.
pub struct SelectedEngine {
    /// Registry entry of the engine.
    pub entry: Arc<EngineEntry>,
    /// Number of requests that are known to run at the engine.
    pub running: u32,
    /// Estimated time until the engine starts the request, in milliseconds.
    pub wait_ms: f64,
    /// Whether the engine had said that it leaves when it was selected.
    pub is_leaving: bool,
    /// Whether another engine could have been selected.
    pub has_alternative: bool,
    /// Whether the request was drawn as one to a cold engine.
    pub is_drawn_cold: bool,
}

impl SelectedEngine {
    /// Returns whether the engine has stated since its selection that it takes no
    /// request or has become cold, or its data centre has been evacuated.
    pub fn is_withdrawn(&self, state: &GatewayState) -> bool {
        if !state.snapshot.load().evacuations.allows(&self.entry.data_centre) {
            return true;
        }
        let statement = state.find_statement(&self.entry);
        let has_left = !self.is_leaving && statement.leaving_for.is_some();
        statement.turned_away_for.is_some()
            || statement.is_gone(state.settings.bounds.drain)
            || has_left && self.has_alternative
            || !self.is_drawn_cold && state.is_cold(&self.entry)
    }
}

/// What a request asks of the place at its engine.
#[derive(Clone, Copy, Debug)]
pub struct PlaceTerms {
    /// Longest time that the request may wait in all, here and at the engine.
    pub patience: Duration,
    /// Time that it has waited here.
    pub waited: Duration,
    /// Whether it takes only a free place, and leaves some to more urgent requests.
    pub must_yield: bool,
    /// Whether it waits here already, so that only its patience ends the wait.
    pub is_queued: bool,
}

impl PlaceTerms {
    /// Returns the terms of a request that is sent or refused at once.
    fn at_once(admitted: &AdmittedRequest) -> PlaceTerms {
        let time_left = admitted.deadline.saturating_duration_since(Instant::now());
        let patience = compute_patience(admitted.route.latency_objective, time_left);
        PlaceTerms { patience, waited: Duration::ZERO, must_yield: false, is_queued: false }
    }

    /// Returns the longest time that the request may wait from now on.
    fn patience_left(&self) -> Duration {
        self.patience.saturating_sub(self.waited)
    }
}

/// Why no engine is selected.
pub enum SelectionError {
    /// The request cannot be served in time.
    Refused(RequestRefusal),
    /// No engine has a free place for the request, but one may get it in time; holds the
    /// shortest estimated wait in milliseconds.
    NoPlace(f64),
}

impl From<RequestRefusal> for SelectionError {
    fn from(refusal: RequestRefusal) -> SelectionError {
        SelectionError::Refused(refusal)
    }
}

/// Selects an engine that is not in `tried`, for a request that does not wait here.
///
/// # Errors
///
/// [`RequestRefusal`] if no engine can start the request in time.
pub async fn select_engine(
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
) -> Result<SelectedEngine, RequestRefusal> {
    let selection = select_place(admitted, tried, PlaceTerms::at_once(admitted)).await;
    selection.map_err(|error| match error {
        SelectionError::Refused(refusal) => refusal,
        SelectionError::NoPlace(wait_ms) => refuse_without_place(admitted, wait_ms),
    })
}

/// Returns the refusal of a request for which there is no place in time.
pub fn refuse_without_place(admitted: &AdmittedRequest, wait_ms: f64) -> RequestRefusal {
    let time_left = admitted.deadline.saturating_duration_since(Instant::now());
    let retry_after = compute_retry_after(wait_ms, time_left, rand::rng().random());
    RequestRefusal::with_retry_after(RefusalReason::NoPlace, retry_after)
}

/// Selects an engine that is not in `tried` and has a place on the given terms.
///
/// # Errors
///
/// [`SelectionError`] if there is none.
pub async fn select_place(
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
    terms: PlaceTerms,
) -> Result<SelectedEngine, SelectionError> {
    let target = admitted.header.target.as_ref();
    match try_select_place(admitted, tried, terms).await {
        // The engines that hold the adapter rest now, so another one may load it.
        Err(SelectionError::Refused(refusal))
            if refusal.reason == RefusalReason::EngineLimited
                && target.is_some_and(|target| target.adapter.is_some()) =>
        {
            try_select_place(admitted, tried, terms).await
        }
        result => result,
    }
}

async fn try_select_place(
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
    terms: PlaceTerms,
) -> Result<SelectedEngine, SelectionError> {
    let snapshot = admitted.state.snapshot.load_full();
    let time_left = admitted.deadline.saturating_duration_since(Instant::now());
    let refuse = |reason, wait_ms| {
        RequestRefusal::with_retry_after(
            reason,
            compute_retry_after(wait_ms, time_left, rand::rng().random()),
        )
    };
    let mut usable = find_usable_engines(&snapshot, admitted);
    remove_evacuated_engines(&snapshot, &mut usable)
        .map_err(|reason| refuse(reason, LOAD_WAIT_MS))?;
    let allowed = find_homes(admitted);
    if !usable.is_empty() {
        usable.retain(|entry| is_allowed(allowed.as_deref(), &entry.data_centre));
        if usable.is_empty() {
            return Err(refuse(RefusalReason::OutsideRegions, LOAD_WAIT_MS).into());
        }
    }
    let mut waits = remove_unwilling_engines(admitted, tried, &mut usable);
    if usable.is_empty() && waits.limit.is_none() {
        return Err(SelectionError::Refused(match waits.turned_away {
            Some(wait) => refuse_turned_away(wait),
            None => refuse(RefusalReason::NoEngine, LOAD_WAIT_MS),
        }));
    }
    let adapter = admitted.header.target.as_ref().and_then(|target| target.adapter.as_ref());
    if adapter.is_some() && !usable.iter().any(|entry| has_adapter(&snapshot, admitted, entry)) {
        let engine = request_adapter(admitted, allowed, &waits.resting).await;
        usable.retain(|entry| Some(&entry.id) == engine.as_ref());
        if usable.is_empty() && waits.limit.is_none() {
            return Err(SelectionError::Refused(match waits.turned_away {
                Some(wait) => refuse_turned_away(wait),
                None => refuse(RefusalReason::NoAdapter, LOAD_WAIT_MS),
            }));
        }
    } else if adapter.is_some() {
        usable.retain(|entry| has_adapter(&snapshot, admitted, entry));
    }
    if terms.must_yield {
        remove_full_engines(&snapshot, admitted, &terms, &mut usable)?;
    }
    loop {
        let candidates: Vec<EngineCandidate> =
            usable.iter().map(|entry| build_candidate(&snapshot, admitted, entry)).collect();
        let is_cold: Vec<bool> = usable.iter().map(|entry| admitted.state.is_cold(entry)).collect();
        let starts_in_time = |engine: &EngineCandidate| {
            should_queue(engine.estimate_wait_ms(), terms.patience_left())
        };
        let tie = rand::rng().random();
        let chosen = choose_warm_first(&candidates, &is_cold, tie)
            .filter(|index| starts_in_time(&candidates[*index]))
            .or_else(|| choose_engine_in_time(&candidates, tie, starts_in_time));
        let Some(index) = chosen else {
            let wait = waits.limit.into_iter().chain(waits.turned_away).min();
            let wait_ms = wait.map_or(LOAD_WAIT_MS, |wait| wait.as_secs_f64() * 1_000.0);
            return Err(refuse(RefusalReason::EngineLimited, wait_ms).into());
        };
        let running = candidates[index].running;
        let wait_ms = candidates[index].estimate_wait_ms();
        if !should_queue(wait_ms, terms.patience_left()) {
            return Err(refuse(RefusalReason::Overloaded, wait_ms).into());
        }
        let entry = usable.swap_remove(index);
        match draw_request(admitted, &snapshot, &entry).await {
            None => {
                let is_drawn_cold = is_cold[index];
                let is_leaving = admitted.state.find_statement(&entry).leaving_for.is_some();
                let has_alternative = !usable.is_empty();
                return Ok(SelectedEngine {
                    entry,
                    running,
                    wait_ms,
                    is_leaving,
                    has_alternative,
                    is_drawn_cold,
                });
            }
            Some(wait) => {
                waits.limit = waits.limit.into_iter().chain([wait]).min();
                remove_resting_engines(admitted, false, &mut usable, &mut waits);
            }
        }
    }
}

/// Removes the engines of evacuated data centres.
///
/// # Errors
///
/// Returns the [`RefusalReason`] if there were engines and none is left, or if this host has
/// not heard of the evacuations yet.
fn remove_evacuated_engines(
    snapshot: &FleetSnapshot,
    usable: &mut Vec<Arc<EngineEntry>>,
) -> Result<(), RefusalReason> {
    if snapshot.evacuations.is_unknown {
        return Err(RefusalReason::EvacuationsUnknown);
    }
    let had_engines = !usable.is_empty();
    usable.retain(|entry| snapshot.evacuations.allows(&entry.data_centre));
    if had_engines && usable.is_empty() { Err(RefusalReason::Evacuated) } else { Ok(()) }
}

/// Removes the engines without a free place for a request that yields to others.
///
/// # Errors
///
/// [`SelectionError`] if none is left.
fn remove_full_engines(
    snapshot: &FleetSnapshot,
    admitted: &AdmittedRequest,
    terms: &PlaceTerms,
    usable: &mut Vec<Arc<EngineEntry>>,
) -> Result<(), SelectionError> {
    let mut shortest_ms = f64::INFINITY;
    usable.retain(|entry| {
        let candidate = build_candidate(snapshot, admitted, entry);
        shortest_ms = shortest_ms.min(candidate.estimate_wait_ms());
        let headroom = compute_headroom(candidate.slots, terms.waited, terms.patience);
        has_place(&candidate, headroom)
    });
    // Without any engine, the limits that they named decide.
    if !usable.is_empty() || shortest_ms.is_infinite() {
        return Ok(());
    }
    if terms.is_queued || should_queue(shortest_ms, terms.patience_left()) {
        return Err(SelectionError::NoPlace(shortest_ms));
    }
    Err(SelectionError::Refused(refuse_without_place(admitted, shortest_ms)))
}

/// Removes the engines that were tried and those that take no request by what they state
/// about themselves, and returns the shortest times until one of them may take a request
/// again.
///
/// An engine takes no request if it turned this host away, has used up the request rate
/// that it named, or leaves, unless all others leave as well.
fn remove_unwilling_engines(
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
    usable: &mut Vec<Arc<EngineEntry>>,
) -> EngineWaits {
    let (now, statements) = (time_since_boot(), admitted.state.lock_engine_statements());
    let find = |entry: &EngineEntry| statements.find(now, &entry.id, entry.started_ms);
    let mut waits = EngineWaits::default();
    // A tried engine that does not turn this host away may serve the next request.
    let mut has_failed = false;
    usable.retain(|entry| {
        let turned_away = find(entry).turned_away_for;
        waits.turned_away = waits.turned_away.into_iter().chain(turned_away).min();
        if tried.contains(&entry.id) {
            has_failed |= turned_away.is_none();
            return false;
        }
        let limit_wait = statements.find_wait(now, &entry.id, entry.started_ms);
        waits.limit = waits.limit.into_iter().chain(limit_wait).min();
        limit_wait.is_none()
    });
    let is_alone = statements.is_alone(now);
    remove_resting_engines(admitted, is_alone, usable, &mut waits);
    waits.turned_away.take_if(|_| has_failed);
    let known: Vec<KnownStatement> = usable.iter().map(|entry| find(entry)).collect();
    let willing = find_willing_engines(&known, admitted.state.settings.bounds.drain);
    *usable = willing.into_iter().map(|index| usable[index].clone()).collect();
    waits
}

/// Removes the cold engines for which no request can be drawn now, and adds the shortest
/// time until one may be to `waits`.
fn remove_resting_engines(
    admitted: &AdmittedRequest,
    is_alone: bool,
    usable: &mut Vec<Arc<EngineEntry>>,
    waits: &mut EngineWaits,
) {
    let (now, cold_engines) = (time_since_boot(), admitted.state.lock_cold_engines());
    usable.retain(|entry| {
        let wait = cold_engines.find_wait(now, &entry.id, entry.started_ms, is_alone);
        waits.limit = waits.limit.into_iter().chain(wait).min();
        waits.resting.extend(wait.map(|_| entry.id.clone()));
        wait.is_none()
    });
}

/// Returns the refusal of a request while all its engines turn this host away, with the
/// shortest time until one of them does not.
fn refuse_turned_away(wait: Duration) -> RequestRefusal {
    RequestRefusal::with_retry_after(RefusalReason::TurnedAway, wait + RETRY_ROUNDING)
}

/// Draws one request from the limits of an engine, if it is cold or has named one.
///
/// Returns the time until another request may be drawn, or `None` if the request may be
/// sent.
async fn draw_request(
    admitted: &AdmittedRequest,
    snapshot: &FleetSnapshot,
    entry: &EngineEntry,
) -> Option<Duration> {
    let state = &admitted.state;
    let cold = if state.is_cold(entry) {
        let tolerance = state.settings.bounds.cold;
        ColdRate::find(snapshot.declaration.as_deref(), &admitted.service, tolerance)
    } else {
        None
    };
    let (named, is_alone) = {
        let statements = state.lock_engine_statements();
        let named = statements.limit(&entry.id, entry.started_ms);
        (named, statements.is_alone(time_since_boot()))
    };
    if named.is_none() && cold.is_none() {
        return None;
    }
    if is_alone && cold.is_some() {
        return Some(LIMIT_RETRY_DELAY);
    }
    if is_alone {
        let (now, hosts) = (time_since_boot(), state.host_count());
        let is_allowed = {
            let mut statements = state.lock_engine_statements();
            statements.try_spend_share(now, &entry.id, entry.started_ms, hosts)
        };
        return (!is_allowed).then_some(LIMIT_RETRY_DELAY);
    }
    let (reply, answer) = oneshot::channel();
    let limits = EngineLimits { named, cold };
    let request = CoordinatorRequest::EngineRequest { engine: entry.id.clone(), limits, reply };
    let answer = match state.coordinator_requests.try_send(request) {
        Ok(()) => timeout(LIMIT_TIMEOUT, answer).await.ok().and_then(Result::ok),
        // The queue of requests to the coordinator is full.
        Err(_) => None,
    };
    let now = time_since_boot();
    match answer {
        Some(QuotaAnswer::Granted) => None,
        Some(QuotaAnswer::Refused { retry_after }) => {
            if cold.is_some() {
                state.lock_cold_engines().record_exhausted(now, &entry.id, retry_after);
            } else {
                state.lock_engine_statements().record_exhausted(now, &entry.id, retry_after);
            }
            Some(retry_after)
        }
        None if cold.is_some() => Some(state.lock_cold_engines().record_unanswered(now)),
        None => Some(LIMIT_RETRY_DELAY),
    }
}

/// Returns the data centres in which a request may be processed, or `None` if it may be
/// processed in all.
fn find_homes(admitted: &AdmittedRequest) -> Option<Arc<[DataCentre]>> {
    let regions = &admitted.state.settings.regions;
    find_allowed_centres(&admitted.route, admitted.workspace.as_deref(), regions)
}

/// Returns the engines of the service that are ready and are not due for termination. If
/// the service generates tokens, they also hold the requested model and are not about to
/// unload it.
fn find_usable_engines(
    snapshot: &FleetSnapshot,
    admitted: &AdmittedRequest,
) -> Vec<Arc<EngineEntry>> {
    let generates_tokens = snapshot
        .declaration
        .as_ref()
        .and_then(|declaration| declaration.services.get(&admitted.service))
        .is_some_and(|service| service.generation.is_some());
    let target = admitted.header.target.as_ref().filter(|_| generates_tokens);
    let engines = snapshot.engines.find(&admitted.service, target.map(|target| &target.model));
    let serves_model = |entry: &EngineEntry| {
        target.is_none_or(|target| {
            let notice = snapshot.view.placement.get(&entry.id);
            !notice.is_some_and(|notice| notice.closing.contains(&target.model))
        })
    };
    let is_available =
        |entry: &EngineEntry| entry.phase == EnginePhase::Ready && entry.leaves_in.is_none();
    engines.iter().filter(|entry| is_available(entry) && serves_model(entry)).cloned().collect()
}

/// Returns whether an engine holds the adapter of a request, if it names one.
fn has_adapter(snapshot: &FleetSnapshot, admitted: &AdmittedRequest, entry: &EngineEntry) -> bool {
    let Some(target) = &admitted.header.target else { return true };
    let Some(adapter) = &target.adapter else { return true };
    let notice = snapshot.view.placement.get(&entry.id);
    notice.is_some_and(|notice| notice.holds_adapter(&target.model, adapter))
}

/// Builds the selection candidate for an engine.
fn build_candidate(
    snapshot: &FleetSnapshot,
    admitted: &AdmittedRequest,
    entry: &EngineEntry,
) -> EngineCandidate {
    let elsewhere = snapshot.view.running_elsewhere(&entry.id);
    let is_avoided = admitted.state.find_statement(entry).avoided_for.is_some();
    let number = snapshot.view.numbers.get(&entry.id).copied();
    let now = time_since_boot();
    let traffic = admitted.state.lock_traffic();
    // Streams are counted in the estimates but not chosen by them: with them, more urgent
    // streams were refused.
    let is_whole = !admitted.route.is_stream;
    let pace = traffic.pace.estimate(now, &entry.id, number, &entry.service);
    let pace = pace.filter(|_| is_whole);
    let (elsewhere, unseen) = match pace {
        Some(pace) => {
            let mean = number.map_or(0.0, |number| traffic.pace.mean_count(number));
            // Each host has reported its requests at some time within the last interval.
            let age =
                traffic.pace.count_age(now) + exchange_interval(snapshot.view.hosts.max(1)) / 2;
            let hold = Duration::from_secs_f64(pace.hold_ms / 1_000.0);
            let count = ExpectedCount::new(elsewhere, mean, age, hold);
            (count.mean.round() as u32, count.draw(rand::rng().random()))
        }
        None => (elsewhere, 0.0),
    };
    let model = admitted.header.target.as_ref().map(|target| &target.model);
    let first = traffic.pace.usual_first(&entry.service, model);
    EngineCandidate {
        slots: entry.slots,
        running: traffic.running_requests(&entry.id) + elsewhere,
        is_local: entry.data_centre == admitted.state.settings.data_centre,
        failure_share: traffic.failure_share(now, &entry.id),
        is_avoided,
        pace: pace.unwrap_or_default(),
        first_ms: first.map(|first| first.as_secs_f64() * 1_000.0),
        unseen,
    }
}

/// Requests from the coordinator an engine that holds the adapter of a request; the
/// coordinator has it loaded if necessary.
///
/// Returns `None` if there is no such engine, or no reply within
/// [`ADAPTER_TIMEOUT`].
async fn request_adapter(
    admitted: &AdmittedRequest,
    allowed: Option<Arc<[DataCentre]>>,
    resting: &[EndpointId],
) -> Option<EndpointId> {
    let target = admitted.header.target.as_ref()?;
    let (reply, answer) = oneshot::channel();
    let request = AdapterRequest {
        service: admitted.service.clone(),
        model: target.model.clone(),
        adapter: target.adapter.clone()?,
        allowed,
        resting: resting.to_vec(),
    };
    let request = CoordinatorRequest::Adapter { request, reply };
    admitted.state.coordinator_requests.try_send(request).ok()?;
    timeout(ADAPTER_TIMEOUT, answer).await.ok()?.ok()
}
