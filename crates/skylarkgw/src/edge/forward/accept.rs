//! Reads a request and decides whether it may be sent at all.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};

use crate::decision::coordinator::QuotaAnswer;
use crate::decision::freshness::{ABSENCE_MAX_AGE, can_check_keys};
use crate::decision::quota_pool::LocalQuota;
use crate::edge::forward::record::RequestRecord;
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::gateway::clock::boot_time;
use crate::gateway::declaration::{RouteRule, ServiceName, WorkspaceRule};
use crate::gateway::state::{CoordinatorAsk, FleetSnapshot, GatewayState};
use crate::gateway::wire::CallerHeader;
use crate::ids::Tokens;

/// Time that a request waits for tokens of the bank.
const QUOTA_PATIENCE: Duration = Duration::from_millis(500);
/// Time to come again where the store is out of reach.
const STORE_RETRY: Duration = Duration::from_millis(600);
/// Shortest time to come again where no coordinator answers for a quota; up to
/// three times as long, so that callers do not return together.
const QUOTA_RETRY: Duration = Duration::from_millis(500);
/// Time that is kept of the deadline for the way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// A request that may be sent.
pub struct AdmittedRequest {
    /// Shared state.
    pub state: Arc<GatewayState>,
    /// What the caller said.
    pub header: CallerHeader,
    /// Method, path and headers.
    pub parts: Parts,
    /// Whole body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<RouteRule>,
    /// Service that the request goes to.
    pub service: ServiceName,
    /// Workspace of the caller.
    pub workspace: Option<Arc<WorkspaceRule>>,
    /// Time at which the caller or the route gives up.
    pub deadline: Instant,
    /// Tokens drawn for the request.
    pub quota: QuotaHold,
}

/// Tokens that are given back unless the request has been sent.
pub struct QuotaHold {
    state: Arc<GatewayState>,
    workspace: Option<Arc<WorkspaceRule>>,
    tokens: Tokens,
}

impl QuotaHold {
    /// Keeps the tokens: the request may run.
    pub fn settle(&mut self) {
        self.workspace = None;
    }
}

impl Drop for QuotaHold {
    fn drop(&mut self) {
        let Some(workspace) = self.workspace.take() else { return };
        if let Some(purse) = self.state.purses().get_mut(&workspace.name) {
            purse.refund(self.tokens);
        }
    }
}

/// Reads a request and finds route, workspace and tokens for it.
///
/// # Errors
///
/// [`RequestRefusal`] for a request that must not be sent.
pub async fn admit(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
    header: CallerHeader,
    record: &mut RequestRecord,
) -> Result<AdmittedRequest, RequestRefusal> {
    let (parts, body) = request.into_parts();
    let snapshot = state.snapshot.load_full();
    let age = state.declaration_age(boot_time());
    let declaration = snapshot.declaration.as_ref();
    let declaration =
        declaration.ok_or(RequestRefusal::after(RefusalReason::NoDeclaration, STORE_RETRY))?;
    record.declaration = (declaration.revision, age);
    let route = find_route(&snapshot, &parts, age)?;
    record.route = Some(route.name.clone());
    record.is_stream = route.is_stream;
    record.model = header.target.as_ref().map(|target| target.model.clone());
    let workspace = find_workspace(state, &snapshot, &route, &header, age)?;
    record.workspace = workspace.as_ref().map(|workspace| workspace.name.clone());
    let wait = header.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    let deadline = record.started() + wait.saturating_sub(ANSWER_MARGIN);
    let body = read_body(&parts.headers, body, declaration.limits.body_bytes, deadline).await?;
    let service = choose_service(&route)?;
    if let Some(target) = &header.target {
        state.traffic().model(&service, &target.model).arrivals += 1;
    }
    let quota = draw_quota(state, workspace.as_ref(), &header).await?;
    record.tokens = quota.tokens;
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
    })
}

fn find_route(
    snapshot: &FleetSnapshot,
    parts: &Parts,
    age: Duration,
) -> Result<Arc<RouteRule>, RequestRefusal> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).ok_or(RequestRefusal::new(RefusalReason::BadRequest))?;
    let route = snapshot.table.find_route(host, parts.uri.path()).cloned();
    route.ok_or(if age > ABSENCE_MAX_AGE {
        RequestRefusal::after(RefusalReason::NoDeclaration, STORE_RETRY)
    } else {
        RequestRefusal::new(RefusalReason::NoRoute)
    })
}

fn find_workspace(
    state: &GatewayState,
    snapshot: &FleetSnapshot,
    route: &RouteRule,
    header: &CallerHeader,
    age: Duration,
) -> Result<Option<Arc<WorkspaceRule>>, RequestRefusal> {
    if route.is_public || !snapshot.table.has_workspaces() {
        return Ok(None);
    }
    let bounds = &state.settings.bounds;
    if !can_check_keys(bounds.revocation, age) {
        return Err(RequestRefusal::after(RefusalReason::StaleKeys, STORE_RETRY));
    }
    let key = header.key.as_deref().ok_or(RequestRefusal::new(RefusalReason::UnknownKey))?;
    match snapshot.table.find_workspace(key) {
        Some(workspace) => Ok(Some(workspace.clone())),
        None if age > ABSENCE_MAX_AGE => {
            Err(RequestRefusal::after(RefusalReason::StaleKeys, STORE_RETRY))
        }
        None => Err(RequestRefusal::new(RefusalReason::UnknownKey)),
    }
}

async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, RequestRefusal> {
    let declared = headers.get(http::header::CONTENT_LENGTH);
    let declared = declared.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(RequestRefusal::new(RefusalReason::BodyTooLong));
    }
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(RequestRefusal::new(RefusalReason::BodyTooLong))
        }
        Ok(Err(_)) | Err(_) => Err(RequestRefusal::new(RefusalReason::BodyBroken)),
    }
}

/// Draws one of the route's services by weight.
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

async fn draw_quota(
    state: &Arc<GatewayState>,
    workspace: Option<&Arc<WorkspaceRule>>,
    header: &CallerHeader,
) -> Result<QuotaHold, RequestRefusal> {
    let none = QuotaHold { state: state.clone(), workspace: None, tokens: 0 };
    let Some(workspace) = workspace.filter(|workspace| workspace.tokens_per_s > 0) else {
        return Ok(none);
    };
    let used = header.usage.map_or(workspace.default_tokens, |(prompt, output)| prompt + output);
    let tokens = if workspace.counts_requests { 1 } else { used };
    let hold = QuotaHold { state: state.clone(), workspace: Some(workspace.clone()), tokens };
    let now = boot_time();
    let part = {
        let mut purses = state.purses();
        let purse = purses.entry(workspace.name.clone()).or_insert_with(|| LocalQuota::new(now));
        purse.record_demand(now, tokens);
        if purse.try_spend(now, tokens) {
            return Ok(hold);
        }
        purse.take_available(now, tokens)
    };
    let part = QuotaHold { state: state.clone(), workspace: Some(workspace.clone()), tokens: part };
    let missing = tokens - part.tokens;
    let (reply, answer) = oneshot::channel();
    let ask = CoordinatorAsk::Quota { workspace: workspace.name.clone(), tokens: missing, reply };
    let answer = match state.asks.try_send(ask) {
        Ok(()) => timeout(QUOTA_PATIENCE, answer).await.ok().and_then(Result::ok),
        // Too many questions wait already.
        Err(_) => None,
    };
    let retry_after = match answer {
        Some(QuotaAnswer::Granted) => {
            let mut part = part;
            part.settle();
            return Ok(hold);
        }
        Some(QuotaAnswer::Refused { retry_after }) => retry_after,
        None => QUOTA_RETRY.mul_f64(rand::rng().random_range(1.0..3.0)),
    };
    let mut hold = hold;
    hold.settle();
    Err(RequestRefusal::after(RefusalReason::OverQuota, retry_after))
}
