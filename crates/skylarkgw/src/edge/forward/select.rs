//! Selects the engine to which a request is sent.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::decision::coordinator::QuotaAnswer;
use crate::decision::dispatch::engine_choice::{
    EngineCandidate, ExpectedCount, choose_engine_in_time, compute_retry_after, should_queue,
};
use crate::decision::engine_statements::{KnownStatement, find_willing_engines};
use crate::decision::freshness::exchange_interval;
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::gateway::clock::time_since_boot;
use crate::gateway::registry::{EngineEntry, EnginePhase};
use crate::gateway::state::{CoordinatorRequest, FleetSnapshot, GatewayState};
use crate::ids::EndpointId;

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
#[derive(Clone, Copy, Debug, Default)]
struct EngineWaits {
    /// Time until a token is expected for an engine with a limit.
    limit: Option<Duration>,
    /// Remaining time for which an engine turns this host away.
    turned_away: Option<Duration>,
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
}

impl SelectedEngine {
    /// Returns whether the engine has stated since its selection that it takes no
    /// request.
    pub fn is_withdrawn(&self, state: &GatewayState) -> bool {
        let statement = state.find_statement(&self.entry);
        let has_left = !self.is_leaving && statement.leaving_for.is_some();
        statement.turned_away_for.is_some()
            || statement.is_gone(state.settings.bounds.drain)
            || has_left && self.has_alternative
    }
}

/// Selects an engine that is not in `tried`.
///
/// # Errors
///
/// [`RequestRefusal`] if no engine can start the request in time.
pub async fn select_engine(
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
) -> Result<SelectedEngine, RequestRefusal> {
    let snapshot = admitted.state.snapshot.load_full();
    let time_left = admitted.deadline.saturating_duration_since(Instant::now());
    let refuse = |reason, wait_ms| {
        RequestRefusal::with_retry_after(
            reason,
            compute_retry_after(wait_ms, time_left, rand::rng().random()),
        )
    };
    let mut usable = find_usable_engines(&snapshot, admitted);
    let mut waits = remove_unwilling_engines(admitted, tried, &mut usable);
    if usable.is_empty() && waits.limit.is_none() {
        return Err(match waits.turned_away {
            Some(wait) => refuse_turned_away(wait),
            None => refuse(RefusalReason::NoEngine, LOAD_WAIT_MS),
        });
    }
    let adapter = admitted.header.target.as_ref().and_then(|target| target.adapter.as_ref());
    if adapter.is_some() && !usable.iter().any(|entry| has_adapter(&snapshot, admitted, entry)) {
        let engine = request_adapter(admitted).await;
        usable.retain(|entry| Some(&entry.id) == engine.as_ref());
        if usable.is_empty() && waits.limit.is_none() {
            return Err(match waits.turned_away {
                Some(wait) => refuse_turned_away(wait),
                None => refuse(RefusalReason::NoAdapter, LOAD_WAIT_MS),
            });
        }
    } else if adapter.is_some() {
        usable.retain(|entry| has_adapter(&snapshot, admitted, entry));
    }
    loop {
        let candidates: Vec<EngineCandidate> =
            usable.iter().map(|entry| build_candidate(&snapshot, admitted, entry)).collect();
        let starts_in_time = |engine: &EngineCandidate| {
            let wait_ms = engine.estimate_wait_ms();
            should_queue(wait_ms, admitted.route.latency_objective, time_left)
        };
        let tie = rand::rng().random();
        let Some(index) = choose_engine_in_time(&candidates, tie, starts_in_time) else {
            let wait = waits.limit.into_iter().chain(waits.turned_away).min();
            let wait_ms = wait.map_or(LOAD_WAIT_MS, |wait| wait.as_secs_f64() * 1_000.0);
            return Err(refuse(RefusalReason::EngineLimited, wait_ms));
        };
        let running = candidates[index].running;
        let wait_ms = candidates[index].estimate_wait_ms();
        if !should_queue(wait_ms, admitted.route.latency_objective, time_left) {
            return Err(refuse(RefusalReason::Overloaded, wait_ms));
        }
        let entry = usable.swap_remove(index);
        match draw_request(admitted, &entry).await {
            None => {
                let is_leaving = admitted.state.find_statement(&entry).leaving_for.is_some();
                let has_alternative = !usable.is_empty();
                return Ok(SelectedEngine { entry, running, wait_ms, is_leaving, has_alternative });
            }
            wait => waits.limit = waits.limit.into_iter().chain(wait).min(),
        }
    }
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
    waits.turned_away.take_if(|_| has_failed);
    let known: Vec<KnownStatement> = usable.iter().map(|entry| find(entry)).collect();
    let willing = find_willing_engines(&known, admitted.state.settings.bounds.drain);
    *usable = willing.into_iter().map(|index| usable[index].clone()).collect();
    waits
}

/// Returns the refusal of a request while all its engines turn this host away, with the
/// shortest time until one of them does not.
fn refuse_turned_away(wait: Duration) -> RequestRefusal {
    RequestRefusal::with_retry_after(RefusalReason::TurnedAway, wait + RETRY_ROUNDING)
}

/// Draws one request from the limit of an engine, if it has named one.
///
/// Returns the time until another request may be drawn, or `None` if the request may be
/// sent.
async fn draw_request(admitted: &AdmittedRequest, entry: &EngineEntry) -> Option<Duration> {
    let state = &admitted.state;
    let (limit, is_alone) = {
        let statements = state.lock_engine_statements();
        let limit = statements.limit(&entry.id, entry.started_ms)?;
        (limit, statements.is_alone(time_since_boot()))
    };
    if is_alone {
        let (now, hosts) = (time_since_boot(), state.host_count());
        let is_allowed = {
            let mut statements = state.lock_engine_statements();
            statements.try_spend_share(now, &entry.id, entry.started_ms, hosts)
        };
        return (!is_allowed).then_some(LIMIT_RETRY_DELAY);
    }
    let (reply, answer) = oneshot::channel();
    let request = CoordinatorRequest::EngineRequest { engine: entry.id.clone(), limit, reply };
    let answer = match state.coordinator_requests.try_send(request) {
        Ok(()) => timeout(LIMIT_TIMEOUT, answer).await.ok().and_then(Result::ok),
        // The queue of requests to the coordinator is full.
        Err(_) => None,
    };
    match answer {
        Some(QuotaAnswer::Granted) => None,
        Some(QuotaAnswer::Refused { retry_after }) => {
            let now = time_since_boot();
            state.lock_engine_statements().record_exhausted(now, &entry.id, retry_after);
            Some(retry_after)
        }
        None => Some(LIMIT_RETRY_DELAY),
    }
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
    // A stream shares the steps of its engine with others, so its place is not held for a
    // time of its own; the estimate applies to whole answers.
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
async fn request_adapter(admitted: &AdmittedRequest) -> Option<EndpointId> {
    let target = admitted.header.target.as_ref()?;
    let (reply, answer) = oneshot::channel();
    let request = CoordinatorRequest::Adapter {
        service: admitted.service.clone(),
        model: target.model.clone(),
        adapter: target.adapter.clone()?,
        reply,
    };
    admitted.state.coordinator_requests.try_send(request).ok()?;
    timeout(ADAPTER_TIMEOUT, answer).await.ok()?.ok()
}
