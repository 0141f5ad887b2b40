//! Faults that a stand-in can be told to show.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poem::http::StatusCode;
use poem::{Endpoint, IntoResponse, Middleware, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// What a stand-in does wrong.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Answers 503 without doing anything.
    pub refuse: bool,
    /// Never answers and does nothing.
    pub silent: bool,
    /// Does this many of the next writes and then loses their answers.
    pub lose_answers: u32,
    /// Answers the next writes late, in milliseconds, after doing them.
    pub delay_ms: u64,
    /// Does the next writes late, in milliseconds.
    pub hold_ms: u64,
    /// Answers this many of the next calls with text that fits nothing.
    pub garbage: u32,
    /// Breaks this many of the next streams after some tokens.
    pub break_streams: u32,
    /// Goes silent in this many of the next streams after some tokens.
    pub silence_streams: u32,
}

/// The faults in force, set over HTTP.
#[derive(Clone, Debug, Default)]
pub struct FaultState {
    plan: Arc<Mutex<FaultPlan>>,
}

impl FaultState {
    /// Returns the faults in force.
    pub fn plan(&self) -> FaultPlan {
        self.lock().clone()
    }

    /// Replaces the faults in force.
    pub fn set(&self, plan: FaultPlan) {
        *self.lock() = plan;
    }

    /// Takes one of a counted fault, if there are any left.
    pub fn take(&self, counter: impl Fn(&mut FaultPlan) -> &mut u32) -> bool {
        let mut plan = self.lock();
        let left = counter(&mut plan);
        let taken = *left > 0;
        *left = left.saturating_sub(1);
        taken
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FaultPlan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the faults in force to every call.
#[derive(Clone, Debug)]
pub struct FaultLayer {
    state: FaultState,
}

impl FaultLayer {
    /// Creates a layer over some faults.
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

/// An endpoint with faults.
pub struct FaultEndpoint<E> {
    endpoint: E,
    state: FaultState,
}

impl<E: Endpoint> Endpoint for FaultEndpoint<E> {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let plan = self.state.plan();
        let writes = !matches!(request.method().as_str(), "GET" | "HEAD");
        if plan.silent {
            std::future::pending::<()>().await;
        }
        if plan.refuse {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        if self.state.take(|plan| &mut plan.garbage) {
            return Ok("}{ this is not what was agreed".into_response());
        }
        if writes && plan.hold_ms > 0 {
            sleep(Duration::from_millis(plan.hold_ms)).await;
        }
        let loses = writes && self.state.take(|plan| &mut plan.lose_answers);
        let response = self.endpoint.call(request).await?.into_response();
        if loses {
            std::future::pending::<()>().await;
        }
        if writes && plan.delay_ms > 0 {
            sleep(Duration::from_millis(plan.delay_ms)).await;
        }
        Ok(response)
    }
}

/// Returns an endpoint that sets the faults from a JSON body.
pub fn fault_setter(state: FaultState) -> impl Endpoint<Output = Response> {
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
