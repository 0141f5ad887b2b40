//! Forwards calls to plain services under declared routes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use poem::http::StatusCode;
use poem::{Body, Request, Response};
use tokio::time::sleep;

use crate::configuration::RouteSpec;
use crate::control::{Admission, RouteGrant};
use crate::decision::host::AdmissionRequest;
use crate::decision::idempotency::{
    CallOutcome, EarlierCall, KeyedCall, KeyedCallAction, KeyedCallResult, MAX_STORED_ANSWER_BYTES,
    StoredAnswer, classify_earlier_call,
};
use crate::decision::routing::RouteTarget;
use crate::decision::shares::{PlatformCall, PlatformOutcome};
use crate::edge::EdgeContext;
use crate::edge::refusal::{EdgeRefusal, RefusalReason, RunOutcome};
use crate::edge::request::{
    AuthenticatedClient, PresentedKey, RequestRecord, authenticate, read_body, request_admission,
    with_request_id,
};
use crate::endpoint::{ServiceCall, ServiceError, ServiceResponse};
use crate::ids::EndpointId;
use crate::telemetry::RequestClass;

/// Request header with the idempotency key of a call that must not be repeated.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Response header that marks a stored response of an earlier call.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Number of tokens that a call to a plain service costs its workspace.
pub const SERVICE_CALL_TOKENS: u64 = 1;

/// Request headers that are forwarded to the service, besides the idempotency key.
const FORWARDED_HEADERS: [&str; 5] =
    ["accept", "accept-language", "content-type", "if-match", "if-none-match"];
/// Longest idempotency key that a client may send, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Maximum number of endpoints to which one call is sent.
const MAX_ATTEMPTS: usize = 3;
/// Maximum number of retries of an unconfirmed write of a call record.
const MAX_RECORD_RETRIES: u32 = 5;
/// Delay before the first retry of such a write; the n-th retry follows the one
/// before it after n times this delay.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Validated call that is ready for admission.
struct ServicePlan {
    route: Arc<str>,
    client: AuthenticatedClient,
    call: ServiceCall,
    idempotency_key: Option<String>,
}

/// Serves the paths below a declared route.
pub async fn serve_service_call(
    context: Arc<EdgeContext>,
    mut request: Request,
) -> poem::Result<Response> {
    let mut record = RequestRecord::new(&context, RequestClass::Service);
    match process_call(&context, &mut request, &mut record).await {
        Ok(response) => {
            record.record_answered();
            Ok(with_request_id(response, &record.id))
        }
        Err(refusal) => Ok(record.into_refusal_response(refusal)),
    }
}

/// Validates, admits and sends a call.
///
/// A call with an idempotency key may be refused before the record of that key is
/// read. Whether an earlier call under the key was executed is then unknown.
async fn process_call(
    context: &Arc<EdgeContext>,
    request: &mut Request,
    record: &mut RequestRecord,
) -> Result<Response, EdgeRefusal> {
    let has_idempotency_key = request.headers().contains_key(IDEMPOTENCY_HEADER);
    let plan = ServicePlan::read(context, request, record).await;
    let plan = plan.map_err(|refusal| match has_idempotency_key {
        true => refusal.with_earlier_call(),
        false => refusal,
    })?;
    match plan.request_admission(context).await {
        Ok(admission) => serve_admitted(context, &plan, admission).await,
        Err(refusal) => match plan.recorded_key() {
            Some(key) => respond_from_record(context, &plan, key, refusal).await,
            None => Err(refusal),
        },
    }
}

/// Sends an admitted call. If it has an idempotency key and is not idempotent by
/// itself, it is recorded under that key.
async fn serve_admitted(
    context: &Arc<EdgeContext>,
    plan: &ServicePlan,
    mut admission: Admission,
) -> Result<Response, EdgeRefusal> {
    let route = admission.take_route().ok_or(RefusalReason::NotReady)?;
    let result = match plan.recorded_key() {
        Some(key) => send_keyed(context, plan, key, route).await,
        None => send_with_retries(context, plan, route)
            .await
            .map(build_response)
            .map_err(|error| to_refusal(&error)),
    };
    if result.is_ok() {
        admission.set_used_tokens(SERVICE_CALL_TOKENS);
    }
    result
}

/// Responds to a keyed call that was not admitted, based on the record of an
/// earlier call under the same key.
async fn respond_from_record(
    context: &EdgeContext,
    plan: &ServicePlan,
    key: &str,
    refusal: EdgeRefusal,
) -> Result<Response, EdgeRefusal> {
    let call = PlatformCall::Read { name: plan.record_name(key) };
    let outcome = context.platform.perform(call).await;
    match classify_earlier_call(&outcome, &plan.compute_digest()) {
        EarlierCall::NotRun => Err(refusal),
        EarlierCall::Unknown => Err(refusal.with_earlier_call()),
        EarlierCall::Answered(answer) => {
            build_keyed_response(KeyedCallResult::Answer { answer, replayed: true }, None)
        }
    }
}

impl ServicePlan {
    /// Authenticates the client, reads the request and validates it.
    async fn read(
        context: &EdgeContext,
        request: &mut Request,
        record: &mut RequestRecord,
    ) -> Result<ServicePlan, EdgeRefusal> {
        let key = PresentedKey::take_from(request);
        let path = request.uri().path().to_owned();
        let (route, rest) = split_route(&path);
        let is_open = |route: &RouteSpec| route.open;
        let open_route = |snapshot: &crate::decision::host::HostSnapshot| {
            snapshot.configuration.routes.get(route).is_some_and(is_open)
        };
        let (client, _) = authenticate(context, &key, open_route).await?;
        record.set_workspace(client.workspace.as_ref());
        record.acquire_permit(context)?;
        let body = read_body(context, request, &key).await?;
        // The key may have been withdrawn while the body was being received.
        let (client, snapshot) = authenticate(context, &key, open_route).await?;
        drop(key);
        let routes = &snapshot.configuration.routes;
        let (route, spec) = routes.get_key_value(route).ok_or(RefusalReason::NotFound)?;
        let method = request.method().clone();
        let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
        let call = ServiceCall {
            request: record.id.clone(),
            idempotent: spec.is_idempotent(method.as_str(), rest),
            method,
            path: format!("{rest}{query}"),
            headers: collect_headers(request, client.workspace.as_deref()),
            body,
        };
        let idempotency_key = read_idempotency_key(request)?;
        Ok(ServicePlan { route: route.clone(), client, call, idempotency_key })
    }

    /// Returns the idempotency key if the call has to be recorded under it.
    ///
    /// A call that is idempotent by itself needs no record.
    fn recorded_key(&self) -> Option<&str> {
        self.idempotency_key.as_deref().filter(|_| !self.call.idempotent)
    }

    async fn request_admission(&self, context: &EdgeContext) -> Result<Admission, EdgeRefusal> {
        let workspace = self.client.workspace.clone();
        let tokens = if workspace.is_some() { SERVICE_CALL_TOKENS } else { 0 };
        let target = RouteTarget::Service { route: self.route.clone() };
        request_admission(context, AdmissionRequest { workspace, target, tokens }).await
    }

    /// Returns the name of the record of an idempotency key.
    ///
    /// The name contains a hash of workspace, route and key. The workspace is
    /// included so that clients of one workspace cannot reach the records of
    /// another.
    fn record_name(&self, key: &str) -> Arc<str> {
        let workspace = self.client.workspace.as_deref().unwrap_or("");
        let mut hasher = blake3::Hasher::new();
        for part in [workspace, &self.route, key] {
            hasher.update(&(part.len() as u64).to_le_bytes()).update(part.as_bytes());
        }
        format!("orders/{}", hasher.finalize().to_hex()).into()
    }

    /// Computes a hash of method, path, query and body, by which a different call
    /// under the same idempotency key is detected.
    fn compute_digest(&self) -> Arc<str> {
        let mut hasher = blake3::Hasher::new();
        for part in [self.call.method.as_str().as_bytes(), self.call.path.as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
        }
        hasher.update(&self.call.body);
        hasher.finalize().to_hex().as_str().into()
    }
}

/// Splits a path into the name of its route and the rest, which starts with `/`.
fn split_route(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    match path.find('/') {
        Some(at) => (&path[..at], &path[at..]),
        None => (path, "/"),
    }
}

/// Returns the headers of the call to the service.
fn collect_headers(request: &Request, workspace: Option<&str>) -> Vec<(&'static str, String)> {
    let mut headers: Vec<(&'static str, String)> = FORWARDED_HEADERS
        .iter()
        .filter_map(|name| request.header(name).map(|value| (*name, value.to_owned())))
        .collect();
    if let Some(workspace) = workspace {
        headers.push(("x-skylark-workspace", workspace.to_owned()));
    }
    if let Some(key) = request.header(IDEMPOTENCY_HEADER) {
        headers.push((IDEMPOTENCY_HEADER, key.to_owned()));
    }
    headers
}

/// Reads and validates the idempotency key of a request.
fn read_idempotency_key(request: &Request) -> Result<Option<String>, EdgeRefusal> {
    let Some(value) = request.headers().get(IDEMPOTENCY_HEADER) else { return Ok(None) };
    let key = value.to_str().map_err(|_| RefusalReason::BadIdempotencyKey)?;
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(RefusalReason::BadIdempotencyKey.into());
    }
    Ok(Some(key.to_owned()))
}

/// Sends a call, and retries it at other endpoints after a failure.
///
/// It is retried only if it was certainly not executed or is idempotent. The error is
/// that of an attempt which may have been executed, if there was one.
async fn send_with_retries(
    context: &EdgeContext,
    plan: &ServicePlan,
    first: RouteGrant,
) -> Result<ServiceResponse, ServiceError> {
    let mut route = first;
    let mut excluded: Vec<EndpointId> = Vec::new();
    let mut lost: Option<ServiceError> = None;
    loop {
        let result = send_once(context, plan, &route).await;
        let error = match result {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        route.mark_failed();
        excluded.push(route.endpoint().clone());
        drop(route);
        let repeatable = error.is_not_run() || plan.call.idempotent;
        // A refusal by the last endpoint says nothing about the attempts before it.
        let error = match lost.take() {
            Some(earlier) if error.is_not_run() => earlier,
            _ => error,
        };
        if !repeatable || excluded.len() >= MAX_ATTEMPTS {
            return Err(error);
        }
        let target = RouteTarget::Service { route: plan.route.clone() };
        match context.control.reroute(target, excluded.clone()).await {
            Ok(Ok(next)) => route = next,
            _ => return Err(error),
        }
        lost = Some(error).filter(|error| !error.is_not_run());
    }
}

async fn send_once(
    context: &EdgeContext,
    plan: &ServicePlan,
    route: &RouteGrant,
) -> Result<ServiceResponse, ServiceError> {
    let snapshot = context.control.snapshot();
    let spec = snapshot.configuration.endpoints.get(route.endpoint());
    let address = spec.map(|spec| spec.address.clone()).ok_or(ServiceError::NotExecuted)?;
    context.services.send(&address, &plan.call).await
}

/// Sends a call under an idempotency key, after recording it in the platform.
async fn send_keyed(
    context: &Arc<EdgeContext>,
    plan: &ServicePlan,
    key: &str,
    route: RouteGrant,
) -> Result<Response, EdgeRefusal> {
    let name = plan.record_name(key);
    let mut route = Some(route);
    let (mut keyed_call, mut action) =
        KeyedCall::start(plan.call.request.clone(), plan.compute_digest());
    let mut response = None;
    loop {
        action = match action {
            KeyedCallAction::Read => {
                let call = PlatformCall::Read { name: name.clone() };
                keyed_call.handle_platform_outcome(context.platform.perform(call).await)
            }
            KeyedCallAction::Write { expected, record } => {
                let value = serde_json::to_string(&record).unwrap_or_default().into();
                let call = PlatformCall::Write { name: name.clone(), expected, value };
                let outcome = context.platform.perform(call.clone()).await;
                if response.is_some() {
                    spawn_record_retries(context, call, &outcome);
                }
                keyed_call.handle_platform_outcome(outcome)
            }
            KeyedCallAction::Send => match route.take() {
                Some(route) => {
                    let result = send_with_retries(context, plan, route).await;
                    let outcome = to_call_outcome(&result);
                    response = result.ok();
                    keyed_call.handle_call_outcome(outcome)
                }
                None => keyed_call.handle_call_outcome(CallOutcome::Unknown),
            },
            KeyedCallAction::Finish(finish) => return build_keyed_response(finish, response),
        };
    }
}

/// Retries in the background a write of a response record that the platform did
/// not confirm.
///
/// The write is conditional on the expected version, so repeating it is harmless.
fn spawn_record_retries(context: &Arc<EdgeContext>, call: PlatformCall, outcome: &PlatformOutcome) {
    if !matches!(outcome, PlatformOutcome::Unknown | PlatformOutcome::NotRun) {
        return;
    }
    let platform = context.platform.clone();
    tokio::spawn(async move {
        for attempt in 1..=MAX_RECORD_RETRIES {
            sleep(RECORD_RETRY_DELAY * attempt).await;
            let outcome = platform.perform(call.clone()).await;
            if matches!(outcome, PlatformOutcome::Written { .. } | PlatformOutcome::Conflict) {
                return;
            }
        }
    });
}

/// Converts the result of a call into the outcome to record.
///
/// A body that is too long or not UTF-8 is not stored.
fn to_call_outcome(result: &Result<ServiceResponse, ServiceError>) -> CallOutcome {
    match result {
        Ok(response) => CallOutcome::Answered(StoredAnswer {
            status: response.status,
            content_type: response.content_type.as_str().into(),
            body: std::str::from_utf8(&response.body)
                .ok()
                .filter(|body| body.len() <= MAX_STORED_ANSWER_BYTES)
                .map(Into::into),
        }),
        Err(error) if error.is_not_run() => CallOutcome::NotRun,
        Err(_) => CallOutcome::Unknown,
    }
}

/// Builds the response of a call under an idempotency key.
///
/// `service_response` is the response to this call, if the service returned one. It
/// takes precedence over the stored one, whose body may be missing.
fn build_keyed_response(
    finish: KeyedCallResult,
    service_response: Option<ServiceResponse>,
) -> Result<Response, EdgeRefusal> {
    match finish {
        KeyedCallResult::Answer { answer, replayed } => {
            let answer = service_response.unwrap_or_else(|| ServiceResponse {
                status: answer.status,
                content_type: answer.content_type.to_string(),
                body: answer
                    .body
                    .as_deref()
                    .map(|body| Bytes::from(body.to_owned()))
                    .unwrap_or_default(),
            });
            let mut response = build_response(answer);
            if replayed {
                let value = poem::http::HeaderValue::from_static("true");
                response.headers_mut().insert(REPLAYED_HEADER, value);
            }
            Ok(response)
        }
        KeyedCallResult::NotRun => Err(RefusalReason::Service(RunOutcome::NotRun).into()),
        KeyedCallResult::RecordUnavailable => {
            Err(EdgeRefusal::from(RefusalReason::RecordUnavailable).with_earlier_call())
        }
        KeyedCallResult::Unknown => Err(RefusalReason::Service(RunOutcome::Unknown).into()),
        KeyedCallResult::KeyReused => Err(RefusalReason::IdempotencyKeyReused.into()),
    }
}

fn build_response(response: ServiceResponse) -> Response {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Response::builder()
        .status(status)
        .content_type(&response.content_type)
        .body(Body::from_bytes(response.body))
}

fn to_refusal(error: &ServiceError) -> EdgeRefusal {
    let outcome = if error.is_not_run() { RunOutcome::NotRun } else { RunOutcome::Unknown };
    RefusalReason::Service(outcome).into()
}
