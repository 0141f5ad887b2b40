//! Towards callers: the OpenAI conventions and plain routes over HTTP.

mod answer;
mod chat;
pub mod forward;
mod listener;
mod request;
mod service;

use std::sync::Arc;

use poem::endpoint::make;
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route};
use tokio::sync::Semaphore;

pub use answer::{EdgeRefusal, RefusalReason, RunOutcome};
pub use listener::{ClientAcceptor, ClientListener, serve_until_stopped};

use crate::control::ControlHandle;
use crate::decision::keys::KeyHasher;
use crate::endpoint::{EngineClient, ServiceClient};
use crate::ids::{DataCentre, HostId};
use crate::platform::PlatformClient;
use crate::telemetry::Metrics;

/// Everything that requests of callers need.
#[derive(Clone, Debug)]
pub struct EdgeContext {
    /// Name of this host, for logs.
    pub host: HostId,
    /// Its data centre, for logs.
    pub data_centre: DataCentre,
    /// The control thread.
    pub control: ControlHandle,
    /// Hashes callers' keys.
    pub hasher: KeyHasher,
    /// Client of the engines.
    pub engines: EngineClient,
    /// Client of the plain services.
    pub services: ServiceClient,
    /// The platform, for records of orders.
    pub platform: PlatformClient,
    /// This host's metrics.
    pub metrics: Arc<Metrics>,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Requests that may run at once.
    pub permits: Arc<Semaphore>,
}

/// Builds the callers' interface.
pub fn build_client_routes(context: EdgeContext) -> impl Endpoint<Output = Response> + 'static {
    let context = Arc::new(context);
    let with = |handler: fn(Arc<EdgeContext>, Request) -> HandlerFuture| {
        let context = context.clone();
        make(move |request: Request| handler(context.clone(), request))
    };
    Route::new()
        .at(
            "/v1/models",
            poem::get(with(|context, request| Box::pin(chat::models(context, request)))),
        )
        .at(
            "/v1/chat/completions",
            poem::post(with(|context, request| Box::pin(chat::chat_completion(context, request)))),
        )
        .at(
            "/v1/completions",
            poem::post(with(|context, request| Box::pin(chat::text_completion(context, request)))),
        )
        .at("/:route", with(|context, request| Box::pin(service::call(context, request))))
        .at("/:route/*rest", with(|context, request| Box::pin(service::call(context, request))))
        .catch_all_error(|error: poem::Error| async move {
            EdgeRefusal::from_routing(&error).into_response()
        })
}

type HandlerFuture = futures::future::BoxFuture<'static, poem::Result<Response>>;
