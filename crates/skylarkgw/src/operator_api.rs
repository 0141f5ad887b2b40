//! The operators' interface: health, metrics, members, emergency withdrawal.

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

/// Largest body of an operator's request, in bytes.
pub const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// What the operators' interface needs.
#[derive(Clone, Debug)]
pub struct OperatorContext {
    /// The control thread.
    pub control: ControlHandle,
    /// This host's metrics.
    pub metrics: Arc<Metrics>,
    /// Token that operators present; none leaves orders open.
    pub token: Option<Arc<str>>,
}

/// What a host says of itself and of the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostStatus {
    /// Name of the host that answers.
    pub host: HostId,
    /// Whether it takes requests.
    pub serving: bool,
    /// Configuration in force on it.
    pub revision: Revision,
    /// Number of withdrawn keys that it knows.
    pub withdrawn: usize,
    /// Members that it hears from, itself first.
    pub members: Vec<MemberEntry>,
    /// Endpoints as this host sees them.
    pub endpoints: Vec<EndpointView>,
}

/// Keys to withdraw.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawOrder {
    /// Keyed hashes.
    pub hashes: Vec<KeyHash>,
}

/// Builds the operators' interface.
pub fn operator_routes(context: OperatorContext) -> impl Endpoint<Output = Response> + 'static {
    let context = Arc::new(context);
    let with = |handler: fn(&OperatorContext) -> Response| {
        let context = context.clone();
        make_sync(move |_| handler(&context))
    };
    let (withdrawing, reporting) = (context.clone(), context.clone());
    Route::new()
        .at("/healthz", get(with(|_| "ok".into_response())))
        .at("/readyz", get(with(ready)))
        .at("/metrics", get(with(metrics)))
        .at("/v1/status", get(poem::endpoint::make(move |_| status(reporting.clone()))))
        .at(
            "/v1/withdraw",
            post(poem::endpoint::make(move |request| withdraw(withdrawing.clone(), request))),
        )
        .map_to_response()
}

fn ready(context: &OperatorContext) -> Response {
    let ready = context
        .control
        .fresh_snapshot()
        .is_some_and(|snapshot| snapshot.serving && snapshot.phase == MemberPhase::Live);
    if ready { "ready".into_response() } else { StatusCode::SERVICE_UNAVAILABLE.into_response() }
}

fn metrics(context: &OperatorContext) -> Response {
    let snapshot = context.control.snapshot();
    context.metrics.revision.set(snapshot.configuration.revision as i64);
    context.metrics.serving.set(i64::from(snapshot.serving));
    context.metrics.members.set(snapshot.members.len() as i64 - 1);
    match context.metrics.encode() {
        Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn status(context: Arc<OperatorContext>) -> poem::Result<Response> {
    let snapshot = context.control.snapshot();
    let endpoints = context.control.endpoint_views().await.unwrap_or_default();
    let host = snapshot.members.first().map(|own| own.host.clone()).unwrap_or_default();
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

async fn withdraw(context: Arc<OperatorContext>, mut request: Request) -> poem::Result<Response> {
    if !context.allows(&request) {
        return Ok(StatusCode::UNAUTHORIZED.into_response());
    }
    let body = request.take_body().into_bytes_limit(BODY_LIMIT_BYTES).await?;
    let Ok(order) = serde_json::from_slice::<WithdrawOrder>(&body) else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    context.control.send(HostInput::Withdraw { hashes: order.hashes });
    Ok(StatusCode::ACCEPTED.into_response())
}

impl OperatorContext {
    fn allows(&self, request: &Request) -> bool {
        let Some(token) = &self.token else { return true };
        let presented = request.header(header::AUTHORIZATION.as_str()).unwrap_or_default();
        // Hashes are compared, so that the time taken tells nothing.
        let expected = blake3::hash(format!("Bearer {token}").as_bytes());
        blake3::hash(presented.as_bytes()) == expected
    }
}
