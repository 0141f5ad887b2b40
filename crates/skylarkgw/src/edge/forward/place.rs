//! Finds the engine that a request goes to.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::decision::engine_choice::{
    EngineCandidate, choose_engine, compute_retry_after, should_queue,
};
use crate::edge::forward::accept::AdmittedRequest;
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::gateway::clock::boot_time;
use crate::gateway::registry::{EngineEntry, EnginePhase};
use crate::gateway::state::{CoordinatorAsk, FleetSnapshot};
use crate::ids::EndpointId;

/// Time that a request waits for an adapter to get a place.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(220);
/// Time until a model or an adapter that is not there is expected, in
/// milliseconds.
const LOAD_WAIT_MS: f64 = 900.0;

/// The engine that a request goes to, and why.
pub struct ChosenEngine {
    /// The engine.
    pub entry: Arc<EngineEntry>,
    /// Requests known there.
    pub running: u32,
    /// Estimated time until the request runs, in milliseconds.
    pub wait_ms: f64,
}

/// Chooses an engine that was not tried before.
///
/// # Errors
///
/// [`RequestRefusal`] if none can take the request in time.
pub async fn choose(
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
) -> Result<ChosenEngine, RequestRefusal> {
    let snapshot = admitted.state.snapshot.load_full();
    let left = admitted.deadline.saturating_duration_since(Instant::now());
    let refuse = |reason, wait_ms| {
        RequestRefusal::after(reason, compute_retry_after(wait_ms, left, rand::rng().random()))
    };
    let mut usable = usable_engines(&snapshot, admitted, tried);
    if usable.is_empty() {
        return Err(refuse(RefusalReason::NoEngine, LOAD_WAIT_MS));
    }
    let adapter = admitted.header.target.as_ref().and_then(|target| target.adapter.as_ref());
    if adapter.is_some() && !usable.iter().any(|entry| has_adapter(&snapshot, admitted, entry)) {
        let engine = ask_adapter(admitted).await;
        usable.retain(|entry| Some(&entry.id) == engine.as_ref());
        if usable.is_empty() {
            return Err(refuse(RefusalReason::NoAdapter, LOAD_WAIT_MS));
        }
    } else if adapter.is_some() {
        usable.retain(|entry| has_adapter(&snapshot, admitted, entry));
    }
    let candidates: Vec<EngineCandidate> =
        usable.iter().map(|entry| candidate(&snapshot, admitted, entry)).collect();
    let chosen = choose_engine(&candidates, rand::rng().random());
    let place = chosen.ok_or_else(|| refuse(RefusalReason::NoEngine, LOAD_WAIT_MS))?;
    let candidate = &candidates[place];
    let wait_ms = candidate.estimate_wait_ms();
    if !should_queue(wait_ms, admitted.route.latency_objective, left) {
        return Err(refuse(RefusalReason::Overloaded, wait_ms));
    }
    Ok(ChosenEngine { entry: usable.swap_remove(place), running: candidate.running, wait_ms })
}

fn usable_engines(
    snapshot: &FleetSnapshot,
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
) -> Vec<Arc<EngineEntry>> {
    let engines = snapshot.engines.get(&admitted.service).map(Vec::as_slice).unwrap_or_default();
    let generates = snapshot
        .declaration
        .as_ref()
        .and_then(|declaration| declaration.services.get(&admitted.service))
        .is_some_and(|service| service.generation.is_some());
    let target = admitted.header.target.as_ref().filter(|_| generates);
    let holds = |entry: &EngineEntry| {
        target.is_none_or(|target| {
            let is_held = entry.models.iter().any(|held| held.name == target.model);
            let place = (entry.id.clone(), target.model.clone());
            is_held && !snapshot.view.closing.contains(&place)
        })
    };
    let takes_work = |entry: &EngineEntry| {
        entry.phase == EnginePhase::Ready && entry.leaves_in.is_none() && !tried.contains(&entry.id)
    };
    engines.iter().filter(|entry| takes_work(entry) && holds(entry)).cloned().collect()
}

fn has_adapter(snapshot: &FleetSnapshot, admitted: &AdmittedRequest, entry: &EngineEntry) -> bool {
    let Some(target) = &admitted.header.target else { return true };
    let Some(adapter) = &target.adapter else { return true };
    let place = (entry.id.clone(), target.model.clone(), adapter.clone());
    snapshot.view.adapters.contains(&place)
}

fn candidate(
    snapshot: &FleetSnapshot,
    admitted: &AdmittedRequest,
    entry: &EngineEntry,
) -> EngineCandidate {
    let elsewhere = snapshot.view.running_elsewhere.get(&entry.id).copied().unwrap_or_default();
    let traffic = admitted.state.traffic();
    EngineCandidate {
        slots: entry.slots,
        running: traffic.running_requests(&entry.id) + elsewhere,
        is_local: entry.data_centre == admitted.state.settings.data_centre,
        failure_share: traffic.failure_share(boot_time(), &entry.id),
    }
}

async fn ask_adapter(admitted: &AdmittedRequest) -> Option<EndpointId> {
    let target = admitted.header.target.as_ref()?;
    let (reply, answer) = oneshot::channel();
    let ask = CoordinatorAsk::Adapter {
        service: admitted.service.clone(),
        model: target.model.clone(),
        adapter: target.adapter.clone()?,
        reply,
    };
    admitted.state.asks.try_send(ask).ok()?;
    timeout(ADAPTER_PATIENCE, answer).await.ok()?.ok()
}
