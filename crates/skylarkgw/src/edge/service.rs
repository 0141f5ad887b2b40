//! Calls to plain services under a declared route.

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
use crate::edge::answer::{EdgeRefusal, RefusalReason, RunOutcome};
use crate::edge::request::{
    CheckedCaller, PresentedKey, RequestRecord, admit, check_caller, read_body, with_request_id,
};
use crate::endpoint::{ServiceAnswer, ServiceCall, ServiceError};
use crate::ids::EndpointId;
use crate::telemetry::RequestClass;

/// Header with the caller's key for calls that may not be repeated.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header that marks an answer kept from an earlier call.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Tokens that a call to a plain service costs its workspace.
pub const SERVICE_CALL_TOKENS: u64 = 1;

const PASSED_HEADERS: [&str; 5] =
    ["accept", "accept-language", "content-type", "if-match", "if-none-match"];
const IDEMPOTENCY_KEY_LIMIT: usize = 255;
const ATTEMPTS: usize = 3;
const RECORD_RETRIES: u32 = 5;
const RECORD_PAUSE: Duration = Duration::from_millis(400);

/// A call that is checked and ready to be sent.
struct ServicePlan {
    route: Arc<str>,
    caller: CheckedCaller,
    call: ServiceCall,
    idempotency_key: Option<String>,
}

/// Serves every path below a declared route.
pub async fn call(context: Arc<EdgeContext>, mut request: Request) -> poem::Result<Response> {
    let mut record = RequestRecord::new(&context, RequestClass::Service);
    match serve(&context, &mut request, &mut record).await {
        Ok(response) => {
            record.answered();
            Ok(with_request_id(response, &record.id))
        }
        Err(refusal) => Ok(record.refuse(refusal)),
    }
}

/// Serves a request; what is refused before the record of its idempotency key
/// was read says nothing of an earlier call under that key.
async fn serve(
    context: &Arc<EdgeContext>,
    request: &mut Request,
    record: &mut RequestRecord,
) -> Result<Response, EdgeRefusal> {
    let keyed = request.headers().contains_key(IDEMPOTENCY_HEADER);
    let plan = ServicePlan::read(context, request, record).await;
    let plan = plan.map_err(|refusal| match keyed {
        true => refusal.after_earlier_call(),
        false => refusal,
    })?;
    match plan.admit(context).await {
        Ok(admission) => serve_admitted(context, &plan, admission).await,
        Err(refusal) => match plan.recorded_key() {
            Some(key) => refuse_keyed(context, &plan, key, refusal).await,
            None => Err(refusal),
        },
    }
}

async fn serve_admitted(
    context: &Arc<EdgeContext>,
    plan: &ServicePlan,
    mut admission: Admission,
) -> Result<Response, EdgeRefusal> {
    let route = admission.take_route().ok_or(RefusalReason::NotReady)?;
    let result = match plan.recorded_key() {
        Some(key) => keyed_call(context, plan, key, route).await,
        None => send(context, plan, route)
            .await
            .map(plain_response)
            .map_err(|error| service_refusal(&error)),
    };
    if result.is_ok() {
        admission.set_used(SERVICE_CALL_TOKENS);
    }
    result
}

/// Answers a keyed call that was not admitted by what an earlier one left.
async fn refuse_keyed(
    context: &EdgeContext,
    plan: &ServicePlan,
    key: &str,
    refusal: EdgeRefusal,
) -> Result<Response, EdgeRefusal> {
    let call = PlatformCall::Read { name: plan.record_name(key) };
    let outcome = context.platform.perform(call).await;
    match classify_earlier_call(&outcome, &plan.digest()) {
        EarlierCall::NotRun => Err(refusal),
        EarlierCall::Unknown => Err(refusal.after_earlier_call()),
        EarlierCall::Answered(answer) => {
            finish_response(KeyedCallResult::Answer { answer, replayed: true }, None)
        }
    }
}

impl ServicePlan {
    async fn read(
        context: &EdgeContext,
        request: &mut Request,
        record: &mut RequestRecord,
    ) -> Result<ServicePlan, EdgeRefusal> {
        let key = PresentedKey::take(request);
        let path = request.uri().path().to_owned();
        let (route, rest) = split_route(&path);
        let is_open = |route: &RouteSpec| route.open;
        let open_route = |snapshot: &crate::decision::host::HostSnapshot| {
            snapshot.configuration.routes.get(route).is_some_and(is_open)
        };
        let (caller, _) = check_caller(context, &key, open_route).await?;
        record.set_workspace(caller.workspace.as_ref());
        record.take_permit(context)?;
        let body = read_body(context, request, &key).await?;
        // The key may have been withdrawn while the body was on its way.
        let (caller, snapshot) = check_caller(context, &key, open_route).await?;
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
            headers: passed_headers(request, caller.workspace.as_deref()),
            body,
        };
        let idempotency_key = idempotency_key(request)?;
        Ok(ServicePlan { route: route.clone(), caller, call, idempotency_key })
    }

    /// Returns the idempotency key, if the call has to be recorded under it.
    fn recorded_key(&self) -> Option<&str> {
        self.idempotency_key.as_deref().filter(|_| !self.call.idempotent)
    }

    async fn admit(&self, context: &EdgeContext) -> Result<Admission, EdgeRefusal> {
        let workspace = self.caller.workspace.clone();
        let tokens = if workspace.is_some() { SERVICE_CALL_TOKENS } else { 0 };
        let target = RouteTarget::Service { route: self.route.clone() };
        admit(context, AdmissionRequest { workspace, target, tokens }).await
    }

    /// Returns the name of the record of an idempotency key.
    ///
    /// The workspace is part of it, so that no caller meets another's record.
    fn record_name(&self, key: &str) -> Arc<str> {
        let workspace = self.caller.workspace.as_deref().unwrap_or("");
        let mut hasher = blake3::Hasher::new();
        for part in [workspace, &self.route, key] {
            hasher.update(&(part.len() as u64).to_le_bytes()).update(part.as_bytes());
        }
        format!("orders/{}", hasher.finalize().to_hex()).into()
    }

    fn digest(&self) -> Arc<str> {
        let mut hasher = blake3::Hasher::new();
        for part in [self.call.method.as_str().as_bytes(), self.call.path.as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
        }
        hasher.update(&self.call.body);
        hasher.finalize().to_hex().as_str().into()
    }
}

fn split_route(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    match path.find('/') {
        Some(at) => (&path[..at], &path[at..]),
        None => (path, "/"),
    }
}

fn passed_headers(request: &Request, workspace: Option<&str>) -> Vec<(&'static str, String)> {
    let mut headers: Vec<(&'static str, String)> = PASSED_HEADERS
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

fn idempotency_key(request: &Request) -> Result<Option<String>, EdgeRefusal> {
    let Some(value) = request.headers().get(IDEMPOTENCY_HEADER) else { return Ok(None) };
    let key = value.to_str().map_err(|_| RefusalReason::BadIdempotencyKey)?;
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_LIMIT {
        return Err(RefusalReason::BadIdempotencyKey.into());
    }
    Ok(Some(key.to_owned()))
}

/// Sends a call; tries other endpoints only while it certainly did not run,
/// or while it may be repeated.
async fn send(
    context: &EdgeContext,
    plan: &ServicePlan,
    first: RouteGrant,
) -> Result<ServiceAnswer, ServiceError> {
    let mut route = first;
    let mut excluded: Vec<EndpointId> = Vec::new();
    loop {
        let result = send_once(context, plan, &route).await;
        let error = match result {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        route.mark_failed();
        excluded.push(route.endpoint().clone());
        drop(route);
        let repeatable = error.is_not_run() || plan.call.idempotent;
        if !repeatable || excluded.len() >= ATTEMPTS {
            return Err(error);
        }
        let target = RouteTarget::Service { route: plan.route.clone() };
        match context.control.reroute(target, excluded.clone()).await {
            Ok(Ok(next)) => route = next,
            _ => return Err(error),
        }
    }
}

async fn send_once(
    context: &EdgeContext,
    plan: &ServicePlan,
    route: &RouteGrant,
) -> Result<ServiceAnswer, ServiceError> {
    let snapshot = context.control.snapshot();
    let spec = snapshot.configuration.endpoints.get(route.endpoint());
    let address = spec.map(|spec| spec.address.clone()).ok_or(ServiceError::Declined)?;
    context.services.send(&address, &plan.call).await
}

/// Sends a call under an idempotency key, recorded in the platform first.
async fn keyed_call(
    context: &Arc<EdgeContext>,
    plan: &ServicePlan,
    key: &str,
    route: RouteGrant,
) -> Result<Response, EdgeRefusal> {
    let name = plan.record_name(key);
    let mut route = Some(route);
    let (mut order, mut action) = KeyedCall::start(plan.call.request.clone(), plan.digest());
    let mut whole_answer = None;
    loop {
        action = match action {
            KeyedCallAction::Read => {
                let call = PlatformCall::Read { name: name.clone() };
                order.handle_platform_outcome(context.platform.perform(call).await)
            }
            KeyedCallAction::Write { expected, record } => {
                let value = serde_json::to_string(&record).unwrap_or_default().into();
                let call = PlatformCall::Write { name: name.clone(), expected, value };
                let outcome = context.platform.perform(call.clone()).await;
                if whole_answer.is_some() {
                    settle_later(context, call, &outcome);
                }
                order.handle_platform_outcome(outcome)
            }
            KeyedCallAction::Send => match route.take() {
                Some(route) => {
                    let result = send(context, plan, route).await;
                    let outcome = call_outcome(&result);
                    whole_answer = result.ok();
                    order.handle_call_outcome(outcome)
                }
                None => order.handle_call_outcome(CallOutcome::Unknown),
            },
            KeyedCallAction::Finish(finish) => return finish_response(finish, whole_answer),
        };
    }
}

/// Goes on writing an answer's record that the platform did not confirm.
///
/// The version it expects makes a second write harmless.
fn settle_later(context: &Arc<EdgeContext>, call: PlatformCall, outcome: &PlatformOutcome) {
    if !matches!(outcome, PlatformOutcome::Unknown | PlatformOutcome::NotRun) {
        return;
    }
    let platform = context.platform.clone();
    tokio::spawn(async move {
        for attempt in 1..=RECORD_RETRIES {
            sleep(RECORD_PAUSE * attempt).await;
            let outcome = platform.perform(call.clone()).await;
            if matches!(outcome, PlatformOutcome::Written { .. } | PlatformOutcome::Conflict) {
                return;
            }
        }
    });
}

fn call_outcome(result: &Result<ServiceAnswer, ServiceError>) -> CallOutcome {
    match result {
        Ok(answer) => CallOutcome::Answered(StoredAnswer {
            status: answer.status,
            content_type: answer.content_type.as_str().into(),
            body: std::str::from_utf8(&answer.body)
                .ok()
                .filter(|body| body.len() <= MAX_STORED_ANSWER_BYTES)
                .map(Into::into),
        }),
        Err(error) if error.is_not_run() => CallOutcome::NotRun,
        Err(_) => CallOutcome::Unknown,
    }
}

fn finish_response(
    finish: KeyedCallResult,
    whole_answer: Option<ServiceAnswer>,
) -> Result<Response, EdgeRefusal> {
    match finish {
        KeyedCallResult::Answer { answer, replayed } => {
            let answer = whole_answer.unwrap_or_else(|| ServiceAnswer {
                status: answer.status,
                content_type: answer.content_type.to_string(),
                body: answer
                    .body
                    .as_deref()
                    .map(|body| Bytes::from(body.to_owned()))
                    .unwrap_or_default(),
            });
            let mut response = plain_response(answer);
            if replayed {
                let value = poem::http::HeaderValue::from_static("true");
                response.headers_mut().insert(REPLAYED_HEADER, value);
            }
            Ok(response)
        }
        KeyedCallResult::NotRun => Err(RefusalReason::Service(RunOutcome::NotRun).into()),
        KeyedCallResult::RecordUnavailable => {
            Err(EdgeRefusal::from(RefusalReason::RecordUnavailable).after_earlier_call())
        }
        KeyedCallResult::Unknown => Err(RefusalReason::Service(RunOutcome::Unknown).into()),
        KeyedCallResult::KeyReused => Err(RefusalReason::IdempotencyKeyReused.into()),
    }
}

fn plain_response(answer: ServiceAnswer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Response::builder()
        .status(status)
        .content_type(&answer.content_type)
        .body(Body::from_bytes(answer.body))
}

fn service_refusal(error: &ServiceError) -> EdgeRefusal {
    let outcome = if error.is_not_run() { RunOutcome::NotRun } else { RunOutcome::Unknown };
    RefusalReason::Service(outcome).into()
}
