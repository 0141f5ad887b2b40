//! Admission: reads a request, finds its route and workspace, and reserves its
//! quota tokens.

use std::sync::Arc;
use std::time::Duration;

use http::header::HOST;
use http::request::Parts;
use hyper::body::Incoming;
use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::decision::coordinator::QuotaAnswer;
use crate::decision::dispatch::urgency::{RequestUrgency, UrgencyLevel};
use crate::decision::freshness::{ABSENCE_MAX_AGE, can_check_keys};
use crate::decision::obligations::ServiceTarget;
use crate::decision::prompt_evidence::hash_shared_parts;
use crate::decision::quota_pool::{LocalQuota, QuotaDraw};
use crate::decision::route_table::RouteTable;
use crate::edge::forward::body::read_body;
use crate::edge::forward::client_memory::ClientMemory;
use crate::edge::forward::record::RequestRecord;
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::endpoint::SegmentedBytes;
use crate::gateway::clock::time_since_boot;
use crate::gateway::declaration::{RouteRule, ServiceName, WorkspaceRule};
use crate::gateway::state::{CoordinatorRequest, FleetSnapshot, GatewayState};
use crate::gateway::wire::{ClientHeaders, ModelTarget};
use crate::ids::{PartHash, Revision, Tokens};

/// Time that a request waits for the coordinator to grant quota tokens.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay reported to the client while the declaration is missing or too old,
/// as it is when the store cannot be reached.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Retry delay reported to the client by a host that stops. Any other host can take the
/// request at once.
pub const STOP_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Shortest retry delay reported to the client if no coordinator responds to a
/// quota request. The delay is drawn from one to three times this value, so that
/// clients do not retry at the same moment.
const QUOTA_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Part of the time before the deadline that is reserved for returning the
/// response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// A request that has been admitted and may be sent to an engine.
pub struct AdmittedRequest {
    /// Shared state of the gateway process.
    pub state: Arc<GatewayState>,
    /// Decoded headers of the client.
    pub header: ClientHeaders,
    /// Method, URI and headers of the request.
    pub parts: Parts,
    /// Complete request body.
    pub body: SegmentedBytes,
    /// Route that the request matched.
    pub route: Arc<RouteRule>,
    /// Service selected among the targets of the route.
    pub service: ServiceName,
    /// Workspace of the client; `None` if the request needs no key.
    pub workspace: Option<Arc<WorkspaceRule>>,
    /// Earlier one of the deadlines of the client and of the route, less
    /// [`RESPONSE_MARGIN`].
    pub deadline: Instant,
    /// Quota tokens reserved for the request.
    pub quota: QuotaReservation,
    /// Parts of the prompt that other prompts may share.
    pub shared_parts: Vec<PartHash>,
}

impl AdmittedRequest {
    /// Returns the urgency of the request.
    pub fn urgency(&self) -> RequestUrgency {
        RequestUrgency::new(&self.route, self.workspace.as_deref())
    }

    /// Returns the position of the request among those of its service, from 0 (first) to 9.
    pub fn urgency_level(&self) -> UrgencyLevel {
        let snapshot = self.state.snapshot.load();
        snapshot.route_table.urgencies().level(&self.service, &self.urgency())
    }
}

/// Reserved quota tokens, which are refunded on drop unless they were committed.
pub struct QuotaReservation {
    state: Arc<GatewayState>,
    workspace: Option<Arc<WorkspaceRule>>,
    tokens: Tokens,
}

impl QuotaReservation {
    /// Disables the refund on drop. The tokens of a request that may be executed are
    /// not refunded.
    pub fn commit(&mut self) {
        self.workspace = None;
    }
}

impl Drop for QuotaReservation {
    fn drop(&mut self) {
        let Some(workspace) = self.workspace.take() else { return };
        if let Some(quota) = self.state.lock_local_quotas().get_mut(&workspace.name) {
            quota.refund(self.tokens);
        }
    }
}

/// Reads a request, finds its route and workspace, and reserves its quota tokens.
///
/// # Errors
///
/// [`RequestRefusal`] if the request must not be sent.
pub async fn admit_request(
    state: &Arc<GatewayState>,
    parts: Parts,
    body: &mut Incoming,
    header: ClientHeaders,
    memory: &ClientMemory,
    record: &mut RequestRecord,
) -> Result<AdmittedRequest, RequestRefusal> {
    let snapshot = state.snapshot.load_full();
    let age = state.declaration_age(time_since_boot());
    let declaration = snapshot.declaration.as_ref();
    let declaration = declaration
        .ok_or(RequestRefusal::with_retry_after(RefusalReason::NoDeclaration, STORE_RETRY_AFTER))?;
    record.declaration = (declaration.revision, age);
    let route = find_route(&snapshot, &parts, age)?;
    record.route = Some(route.name.clone());
    record.is_stream = route.is_stream;
    record.model = header.target.as_ref().map(|target| target.model.clone());
    record.adapter = header.target.as_ref().and_then(|target| target.adapter.clone());
    let is_key_needed = declaration.requires_keys() && !route.is_public;
    let workspace = if is_key_needed {
        Some(find_workspace(state, &snapshot.route_table, &header, age)?)
    } else {
        None
    };
    record.workspace = workspace.as_ref().map(|workspace| workspace.name.clone());
    let shared_parts = hash_shared_parts(header.prompt.iter().map(|part| &*part.id));
    record.shared_parts.clone_from(&shared_parts);
    if !shared_parts.is_empty() {
        let refusal = state.lock_prompt_guard().find_refusal(time_since_boot(), &shared_parts);
        if let Some(retry_after) = refusal {
            return Err(RequestRefusal::with_retry_after(
                RefusalReason::PromptRefused,
                retry_after,
            ));
        }
    }
    let time_limit = header.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    let deadline = record.started() + time_limit.saturating_sub(RESPONSE_MARGIN);
    let limit = declaration.limits.body_bytes;
    let body = read_body(memory, &parts.headers, body, limit, deadline).await?;
    check_stop(state, deadline)?;
    let service = choose_service(&route)?;
    if let Some(target) = &header.target {
        state.lock_traffic().model_use(&service, &target.model).arrivals += 1;
    }
    let quota = reserve_quota(state, workspace.as_ref(), declaration.revision, &header).await?;
    record.tokens = quota.tokens;
    // A request that the quota refuses says nothing about its model.
    let generation = declaration.services.get(&service).and_then(|rule| rule.generation.as_ref());
    let is_declared = |target: &&ModelTarget| {
        generation.is_some_and(|rule| rule.models.iter().any(|model| model.name == target.model))
    };
    record.target = header.target.as_ref().filter(is_declared).map(|target| ServiceTarget {
        service: service.clone(),
        model: target.model.clone(),
        adapter: target.adapter.clone(),
    });
    Ok(AdmittedRequest {
        state: state.clone(),
        header,
        parts,
        body,
        route,
        service,
        workspace,
        deadline,
        quota,
        shared_parts,
    })
}

/// Finds the route of a request.
///
/// A declaration older than [`ABSENCE_MAX_AGE`] does not prove that there is no
/// route, because one may have been added since. The client is then told to retry.
fn find_route(
    snapshot: &FleetSnapshot,
    parts: &Parts,
    age: Duration,
) -> Result<Arc<RouteRule>, RequestRefusal> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).ok_or(RequestRefusal::new(RefusalReason::BadRequest))?;
    let route = snapshot.route_table.find_route(host, parts.uri.path()).cloned();
    route.ok_or(if age > ABSENCE_MAX_AGE {
        RequestRefusal::with_retry_after(RefusalReason::NoDeclaration, STORE_RETRY_AFTER)
    } else {
        RequestRefusal::new(RefusalReason::NoRoute)
    })
}

/// Finds the workspace of the client's key.
///
/// A declaration older than [`ABSENCE_MAX_AGE`] does not prove that a key is
/// unknown, because it may have been added since. The client is then told to retry.
fn find_workspace(
    state: &GatewayState,
    route_table: &RouteTable,
    header: &ClientHeaders,
    age: Duration,
) -> Result<Arc<WorkspaceRule>, RequestRefusal> {
    let bounds = &state.settings.bounds;
    if !can_check_keys(bounds.revocation, age) {
        return Err(RequestRefusal::with_retry_after(RefusalReason::StaleKeys, STORE_RETRY_AFTER));
    }
    let key = header.key.as_deref().ok_or(RequestRefusal::new(RefusalReason::UnknownKey))?;
    match route_table.find_workspace(key) {
        Some(workspace) => Ok(workspace.clone()),
        None if age > ABSENCE_MAX_AGE => {
            Err(RequestRefusal::with_retry_after(RefusalReason::StaleKeys, STORE_RETRY_AFTER))
        }
        None => Err(RequestRefusal::new(RefusalReason::UnknownKey)),
    }
}

/// Refuses a request that may outlast this process, if the host stops.
fn check_stop(state: &GatewayState, deadline: Instant) -> Result<(), RequestRefusal> {
    let Some(plan) = state.stop_plan.get() else { return Ok(()) };
    let now = time_since_boot();
    let deadline = now + deadline.saturating_duration_since(Instant::now());
    if plan.takes_request(now, deadline) {
        return Ok(());
    }
    Err(RequestRefusal::with_retry_after(RefusalReason::Stopping, STOP_RETRY_AFTER))
}

/// Selects one of the route's services at random, in proportion to their weights.
fn choose_service(route: &RouteRule) -> Result<ServiceName, RequestRefusal> {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut drawn = rand::rng().random_range(0..total.max(1));
    let chosen = route.targets.iter().find(|target| {
        let is_chosen = drawn < target.weight;
        drawn = drawn.saturating_sub(target.weight);
        is_chosen
    });
    let chosen = chosen.ok_or(RequestRefusal::new(RefusalReason::NoEngine))?;
    Ok(chosen.service.clone())
}

/// Reserves the quota tokens of a request.
///
/// A request takes one token if the workspace counts requests. Otherwise, it takes
/// its prompt tokens plus its maximum number of generated tokens, or the default of
/// the workspace if the client does not send these counts. They are taken from the
/// tokens that this host holds for the workspace. If those do not suffice, the rest
/// is requested from the coordinator. `revision` is that of the declaration which
/// contains the workspace.
///
/// # Errors
///
/// [`RefusalReason::OverQuota`] if the coordinator refuses the rest or does not
/// reply within [`QUOTA_TIMEOUT`].
async fn reserve_quota(
    state: &Arc<GatewayState>,
    workspace: Option<&Arc<WorkspaceRule>>,
    revision: Revision,
    header: &ClientHeaders,
) -> Result<QuotaReservation, RequestRefusal> {
    let no_reservation = QuotaReservation { state: state.clone(), workspace: None, tokens: 0 };
    let Some(workspace) = workspace.filter(|workspace| workspace.tokens_per_s > 0) else {
        return Ok(no_reservation);
    };
    let estimated_tokens =
        header.token_counts.map_or(workspace.default_tokens, |(prompt, output)| prompt + output);
    let tokens = if workspace.counts_requests { 1 } else { estimated_tokens };
    let reservation =
        QuotaReservation { state: state.clone(), workspace: Some(workspace.clone()), tokens };
    let now = time_since_boot();
    let partial = {
        let mut quotas = state.lock_local_quotas();
        let quota = quotas.entry(workspace.name.clone()).or_insert_with(|| LocalQuota::new(now));
        quota.record_demand(now, tokens);
        if quota.try_spend(now, tokens) {
            return Ok(reservation);
        }
        quota.take_available(now, tokens)
    };
    let partial = QuotaReservation {
        state: state.clone(),
        workspace: Some(workspace.clone()),
        tokens: partial,
    };
    let missing_tokens = tokens - partial.tokens;
    let (reply, answer) = oneshot::channel();
    let draw = QuotaDraw {
        workspace: workspace.name.clone(),
        tokens: missing_tokens,
        quota: (&**workspace).into(),
        revision,
    };
    let request = CoordinatorRequest::Quota { draw, reply };
    let answer = match state.coordinator_requests.try_send(request) {
        Ok(()) => timeout(QUOTA_TIMEOUT, answer).await.ok().and_then(Result::ok),
        // The queue of requests to the coordinator is full.
        Err(_) => None,
    };
    let retry_after = match answer {
        Some(QuotaAnswer::Granted) => {
            // The tokens of `partial` now belong to `reservation`.
            let mut partial = partial;
            partial.commit();
            return Ok(reservation);
        }
        Some(QuotaAnswer::Refused { retry_after }) => retry_after,
        None => QUOTA_RETRY_AFTER.mul_f64(rand::rng().random_range(1.0..3.0)),
    };
    // Only the tokens of `partial` were taken, which are refunded when it is dropped.
    let mut reservation = reservation;
    reservation.commit();
    Err(RequestRefusal::with_retry_after(RefusalReason::OverQuota, retry_after))
}
