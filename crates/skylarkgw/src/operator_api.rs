//! The HTTP interface for operators: health checks, metrics, host status and
//! emergency withdrawal of API keys.

use std::sync::Arc;

use poem::endpoint::make_sync;
use poem::http::{StatusCode, header};
use poem::web::Json;
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, post};
use serde::{Deserialize, Serialize};

use crate::control::ControlHandle;
use crate::decision::host::HostInput;
use crate::decision::membership::{MemberEntry, MemberPhase};
use crate::ids::{HostId, KeyHash, Revision};

pub use crate::decision::routing::EndpointView;
use crate::telemetry::Metrics;

/// Largest request body that the interface accepts, in bytes.
pub const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// Dependencies of the request handlers.
#[derive(Clone, Debug)]
pub struct OperatorContext {
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Metrics of this host.
    pub metrics: Arc<Metrics>,
    /// Bearer token required to withdraw keys. `None` disables authentication.
    pub token: Option<Arc<str>>,
}

/// The status that a host reports about itself, its members and its endpoints.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostStatus {
    /// Name of the reporting host.
    pub host: HostId,
    /// Whether the host accepts client requests.
    pub serving: bool,
    /// Revision in force on the host.
    pub revision: Revision,
    /// Number of withdrawn keys that the configuration in force may still declare.
    pub withdrawn: usize,
    /// The reporting host, followed by its live members.
    pub members: Vec<MemberEntry>,
    /// State of the endpoints as observed by the host.
    pub endpoints: Vec<EndpointView>,
}

/// A request to withdraw API keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawalRequest {
    /// Keyed hashes of the keys.
    pub hashes: Vec<KeyHash>,
}

/// Builds the routes of the operator interface.
pub fn build_operator_routes(
    context: OperatorContext,
) -> impl Endpoint<Output = Response> + 'static {
    let context = Arc::new(context);
    let handle = |handler: fn(&OperatorContext) -> Response| {
        let context = context.clone();
        make_sync(move |_| handler(&context))
    };
    let (withdraw_context, status_context) = (context.clone(), context.clone());
    Route::new()
        .at("/healthz", get(handle(|_| "ok".into_response())))
        .at("/readyz", get(handle(report_readiness)))
        .at("/metrics", get(handle(report_metrics)))
        .at("/v1/status", get(poem::endpoint::make(move |_| report_status(status_context.clone()))))
        .at(
            "/v1/withdraw",
            post(poem::endpoint::make(move |request| {
                withdraw_keys(withdraw_context.clone(), request)
            })),
        )
        .map_to_response()
}

fn report_readiness(context: &OperatorContext) -> Response {
    let is_ready = context
        .control
        .fresh_snapshot()
        .is_some_and(|snapshot| snapshot.serving && snapshot.phase == MemberPhase::Live);
    if is_ready { "ready".into_response() } else { StatusCode::SERVICE_UNAVAILABLE.into_response() }
}

fn report_metrics(context: &OperatorContext) -> Response {
    let snapshot = context.control.snapshot();
    context.metrics.revision.set(snapshot.configuration.revision as i64);
    context.metrics.serving.set(i64::from(snapshot.serving));
    context.metrics.members.set(snapshot.members.len() as i64 - 1);
    match context.metrics.encode() {
        Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn report_status(context: Arc<OperatorContext>) -> poem::Result<Response> {
    let snapshot = context.control.snapshot();
    let endpoints = context.control.endpoint_views().await.unwrap_or_default();
    let host = snapshot.members.first().map(|member| member.host.clone()).unwrap_or_default();
    let status = HostStatus {
        host,
        serving: snapshot.serving,
        revision: snapshot.configuration.revision,
        withdrawn: snapshot.withdrawn.len(),
        members: snapshot.members.clone(),
        endpoints,
    };
    Ok(Json(status).into_response())
}

async fn withdraw_keys(
    context: Arc<OperatorContext>,
    mut request: Request,
) -> poem::Result<Response> {
    if !context.is_authorized(&request) {
        return Ok(StatusCode::UNAUTHORIZED.into_response());
    }
    let body = request.take_body().into_bytes_limit(BODY_LIMIT_BYTES).await?;
    let Ok(withdrawal) = serde_json::from_slice::<WithdrawalRequest>(&body) else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    context.control.send(HostInput::Withdraw { hashes: withdrawal.hashes });
    Ok(StatusCode::ACCEPTED.into_response())
}

impl OperatorContext {
    fn is_authorized(&self, request: &Request) -> bool {
        let Some(token) = &self.token else { return true };
        let presented = request.header(header::AUTHORIZATION.as_str()).unwrap_or_default();
        // Comparing hashes keeps the duration independent of how much of the token
        // matches.
        let expected = blake3::hash(format!("Bearer {token}").as_bytes());
        blake3::hash(presented.as_bytes()) == expected
    }
}
