//! HTTP interface for clients: an OpenAI-compatible API, routes to plain services
//! and a reverse proxy.

mod chat;
pub mod forward;
mod listener;
mod refusal;
mod request;
mod service;

use std::sync::Arc;

use poem::endpoint::make;
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route};
use tokio::sync::Semaphore;

pub use listener::{ClientAcceptor, ClientListener, serve_until_stopped};
pub use refusal::{EdgeRefusal, RefusalReason, RunOutcome};

use crate::control::ControlHandle;
use crate::decision::keys::KeyHasher;
use crate::endpoint::{EngineClient, ServiceClient};
use crate::ids::{DataCentre, HostId};
use crate::platform::PlatformClient;
use crate::telemetry::Metrics;

/// Dependencies shared by all handlers of client requests.
#[derive(Clone, Debug)]
pub struct EdgeContext {
    /// Name of this host, used in logs.
    pub host: HostId,
    /// Data centre of this host, used in logs.
    pub data_centre: DataCentre,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Computes the keyed hashes of API keys.
    pub hasher: KeyHasher,
    /// HTTP client for the engines.
    pub engines: EngineClient,
    /// HTTP client for the plain services.
    pub services: Arc<ServiceClient>,
    /// Platform client, which stores the records of idempotency keys.
    pub platform: PlatformClient,
    /// Metrics of this host.
    pub metrics: Arc<Metrics>,
    /// Maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// One permit for each request that may run concurrently.
    pub permits: Arc<Semaphore>,
}

/// Builds the routes of the client interface.
pub fn build_client_routes(context: EdgeContext) -> impl Endpoint<Output = Response> + 'static {
    let context = Arc::new(context);
    let with = |handler: fn(Arc<EdgeContext>, Request) -> HandlerFuture| {
        let context = context.clone();
        make(move |request: Request| handler(context.clone(), request))
    };
    Route::new()
        .at(
            "/v1/models",
            poem::get(with(|context, request| Box::pin(chat::serve_models(context, request)))),
        )
        .at(
            "/v1/chat/completions",
            poem::post(with(|context, request| {
                Box::pin(chat::serve_chat_completion(context, request))
            })),
        )
        .at(
            "/v1/completions",
            poem::post(with(|context, request| {
                Box::pin(chat::serve_text_completion(context, request))
            })),
        )
        .at(
            "/:route",
            with(|context, request| Box::pin(service::serve_service_call(context, request))),
        )
        .at(
            "/:route/*rest",
            with(|context, request| Box::pin(service::serve_service_call(context, request))),
        )
        .catch_all_error(|error: poem::Error| async move {
            EdgeRefusal::from_routing_error(&error).into_response()
        })
}

type HandlerFuture = futures::future::BoxFuture<'static, poem::Result<Response>>;
