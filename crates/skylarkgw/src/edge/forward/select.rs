//! Selects the engine to which a request is sent.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::decision::engine_choice::{
    EngineCandidate, choose_engine, compute_retry_after, should_queue,
};
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::gateway::clock::time_since_boot;
use crate::gateway::registry::{EngineEntry, EnginePhase};
use crate::gateway::state::{CoordinatorRequest, FleetSnapshot};
use crate::ids::EndpointId;

/// Time that a request waits for the coordinator to assign its adapter to an
/// engine.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(220);
/// Expected time until a missing model or adapter is available, in milliseconds;
/// the retry delay reported to the client is derived from it.
const LOAD_WAIT_MS: f64 = 900.0;

/// The engine selected for a request, and the estimates behind the selection.
pub struct SelectedEngine {
    /// Registry entry of the engine.
    pub entry: Arc<EngineEntry>,
    /// Number of requests that are known to run at the engine.
    pub running: u32,
    /// Estimated time until the engine starts the request, in milliseconds.
    pub wait_ms: f64,
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
    let mut usable = find_usable_engines(&snapshot, admitted, tried);
    if usable.is_empty() {
        return Err(refuse(RefusalReason::NoEngine, LOAD_WAIT_MS));
    }
    let adapter = admitted.header.target.as_ref().and_then(|target| target.adapter.as_ref());
    if adapter.is_some() && !usable.iter().any(|entry| has_adapter(&snapshot, admitted, entry)) {
        let engine = request_adapter(admitted).await;
        usable.retain(|entry| Some(&entry.id) == engine.as_ref());
        if usable.is_empty() {
            return Err(refuse(RefusalReason::NoAdapter, LOAD_WAIT_MS));
        }
    } else if adapter.is_some() {
        usable.retain(|entry| has_adapter(&snapshot, admitted, entry));
    }
    let candidates: Vec<EngineCandidate> =
        usable.iter().map(|entry| build_candidate(&snapshot, admitted, entry)).collect();
    let selected = choose_engine(&candidates, rand::rng().random());
    let index = selected.ok_or_else(|| refuse(RefusalReason::NoEngine, LOAD_WAIT_MS))?;
    let candidate = &candidates[index];
    let wait_ms = candidate.estimate_wait_ms();
    if !should_queue(wait_ms, admitted.route.latency_objective, time_left) {
        return Err(refuse(RefusalReason::Overloaded, wait_ms));
    }
    Ok(SelectedEngine { entry: usable.swap_remove(index), running: candidate.running, wait_ms })
}

/// Returns the engines of the service that are ready, are not due for termination
/// and have not been tried. If the service generates tokens, they also hold the
/// requested model and are not about to unload it.
fn find_usable_engines(
    snapshot: &FleetSnapshot,
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
) -> Vec<Arc<EngineEntry>> {
    let engines = snapshot.engines.get(&admitted.service).map(Vec::as_slice).unwrap_or_default();
    let generates_tokens = snapshot
        .declaration
        .as_ref()
        .and_then(|declaration| declaration.services.get(&admitted.service))
        .is_some_and(|service| service.generation.is_some());
    let target = admitted.header.target.as_ref().filter(|_| generates_tokens);
    let serves_model = |entry: &EngineEntry| {
        target.is_none_or(|target| {
            let is_held = entry.models.iter().any(|held| held.name == target.model);
            let notice = snapshot.view.placement.get(&entry.id);
            is_held && !notice.is_some_and(|notice| notice.closing.contains(&target.model))
        })
    };
    let is_available = |entry: &EngineEntry| {
        entry.phase == EnginePhase::Ready && entry.leaves_in.is_none() && !tried.contains(&entry.id)
    };
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
    let elsewhere = snapshot.view.running_elsewhere.get(&entry.id).copied().unwrap_or_default();
    let traffic = admitted.state.lock_traffic();
    EngineCandidate {
        slots: entry.slots,
        running: traffic.running_requests(&entry.id) + elsewhere,
        is_local: entry.data_centre == admitted.state.settings.data_centre,
        failure_share: traffic.failure_share(time_since_boot(), &entry.id),
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
