//! Fault injection for the HTTP stand-ins.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poem::http::StatusCode;
use poem::{Endpoint, IntoResponse, Middleware, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// The faults that a stand-in injects.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Whether every call gets a response with status 503 and is not executed.
    pub refuse: bool,
    /// Whether every call stays without a response and is not executed.
    pub silent: bool,
    /// Number of the next writes that are executed but get no response.
    pub lose_answers: u32,
    /// Delay of the response to a write after its execution, in milliseconds.
    pub delay_ms: u64,
    /// Delay before the execution of a write, in milliseconds.
    pub hold_ms: u64,
    /// Number of the next calls that get a malformed response and are not
    /// executed.
    pub garbage: u32,
    /// Number of the next streams of an engine that are closed after a few
    /// tokens.
    pub break_streams: u32,
    /// Number of the next streams of an engine that stall after a few tokens.
    pub silence_streams: u32,
}

/// The active faults, which are set over HTTP.
#[derive(Clone, Debug, Default)]
pub struct FaultState {
    plan: Arc<Mutex<FaultPlan>>,
}

impl FaultState {
    /// Returns the active faults.
    pub fn plan(&self) -> FaultPlan {
        self.lock().clone()
    }

    /// Replaces the active faults.
    pub fn set(&self, plan: FaultPlan) {
        *self.lock() = plan;
    }

    /// Uses up one occurrence of a counted fault and returns whether one was
    /// left.
    pub fn consume(&self, counter: impl Fn(&mut FaultPlan) -> &mut u32) -> bool {
        let mut plan = self.lock();
        let remaining = counter(&mut plan);
        let is_consumed = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_consumed
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FaultPlan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Middleware that applies the active faults to every call of the endpoints
/// that it wraps.
#[derive(Clone, Debug)]
pub struct FaultLayer {
    state: FaultState,
}

impl FaultLayer {
    /// Creates a layer that applies the faults of `state`.
    pub fn new(state: FaultState) -> FaultLayer {
        FaultLayer { state }
    }
}

impl<E: Endpoint> Middleware<E> for FaultLayer {
    type Output = FaultEndpoint<E>;

    fn transform(&self, endpoint: E) -> FaultEndpoint<E> {
        FaultEndpoint { endpoint, state: self.state.clone() }
    }
}

/// An endpoint wrapped by [`FaultLayer`].
pub struct FaultEndpoint<E> {
    endpoint: E,
    state: FaultState,
}

impl<E: Endpoint> Endpoint for FaultEndpoint<E> {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let plan = self.state.plan();
        let is_write = !matches!(request.method().as_str(), "GET" | "HEAD");
        if plan.silent {
            std::future::pending::<()>().await;
        }
        if plan.refuse {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        if self.state.consume(|plan| &mut plan.garbage) {
            return Ok("}{ this is not what was agreed".into_response());
        }
        if is_write && plan.hold_ms > 0 {
            sleep(Duration::from_millis(plan.hold_ms)).await;
        }
        let loses_answer = is_write && self.state.consume(|plan| &mut plan.lose_answers);
        let response = self.endpoint.call(request).await?.into_response();
        if loses_answer {
            std::future::pending::<()>().await;
        }
        if is_write && plan.delay_ms > 0 {
            sleep(Duration::from_millis(plan.delay_ms)).await;
        }
        Ok(response)
    }
}

/// Returns an endpoint that sets the active faults from a JSON body.
pub fn fault_endpoint(state: FaultState) -> impl Endpoint<Output = Response> {
    poem::endpoint::make(move |mut request: Request| {
        let state = state.clone();
        async move {
            let body = request.take_body().into_bytes().await?;
            Ok::<_, poem::Error>(match serde_json::from_slice(&body) {
                Ok(plan) => {
                    state.set(plan);
                    StatusCode::OK.into_response()
                }
                Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
            })
        }
    })
}
