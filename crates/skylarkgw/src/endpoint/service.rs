//! HTTP client for plain services.
//!
//! A call that must not be repeated is sent over a new connection: a pooled one
//! may have stopped responding, and a call lost on it could not be sent again.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use thiserror::Error;

use crate::endpoint::client::client_builder;
use crate::ids::RequestId;

/// Response header by which a service reports, with status 503, whether it executed
/// a call that it refused.
pub const OUTCOME_HEADER: &str = "skylark-outcome";
/// Value of [`OUTCOME_HEADER`] for a call that was not executed.
pub const NOT_RUN: &str = "not-run";
/// Maximum size of the response body of a service.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Longest time to open a connection to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest duration of a call, including its response body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a call after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Identifier of the request, sent in the `x-request-id` header.
    pub request: RequestId,
    /// HTTP method.
    pub method: reqwest::Method,
    /// Path and query, relative to the route.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

/// A response of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header; empty if there is none.
    pub content_type: String,
    /// Complete response body.
    pub body: Bytes,
}

/// Error of a call to a plain service.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// The HTTP client cannot be built.
    #[error("cannot build the service client")]
    Client(#[source] reqwest::Error),
    /// The request could not be built or no connection was opened, so no byte of the
    /// call was sent.
    #[error("cannot connect to the service")]
    Unreachable(#[source] reqwest::Error),
    /// The service refused the call and reported that it did not execute it, or
    /// the call was never sent.
    #[error("the service did not execute the call")]
    NotExecuted,
    /// The connection failed or timed out after the call may have been executed.
    #[error("the answer of the service was lost")]
    ResponseLost(#[source] reqwest::Error),
    /// The call was executed, but the response body exceeds
    /// `MAX_RESPONSE_BYTES`.
    #[error("the answer of the service is too large")]
    ResponseTooLarge,
}

impl ServiceError {
    /// Returns whether the call was certainly not executed.
    pub fn is_not_run(&self) -> bool {
        matches!(self, ServiceError::Unreachable(_) | ServiceError::NotExecuted)
    }
}

/// HTTP client for all plain services.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    pooled: reqwest::Client,
    /// Opens a new connection for every call.
    unpooled: reqwest::Client,
}

impl ServiceClient {
    /// Creates a client with its connection pools.
    ///
    /// # Errors
    ///
    /// [`ServiceError::Client`] if an HTTP client cannot be built.
    pub fn new() -> Result<ServiceClient, ServiceError> {
        let builder = || {
            client_builder(CONNECT_TIMEOUT)
                .timeout(RESPONSE_TIMEOUT)
                .redirect(reqwest::redirect::Policy::none())
        };
        let pooled = builder().pool_idle_timeout(IDLE_TIMEOUT).build();
        let unpooled = builder().pool_max_idle_per_host(0).build();
        Ok(ServiceClient {
            pooled: pooled.map_err(ServiceError::Client)?,
            unpooled: unpooled.map_err(ServiceError::Client)?,
        })
    }

    /// Sends a call once and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`ServiceError`] if no complete response arrives;
    /// [`ServiceError::is_not_run`] returns whether the call was certainly not
    /// executed.
    pub async fn send(
        &self,
        address: &str,
        call: &ServiceCall,
    ) -> Result<ServiceResponse, ServiceError> {
        let client = if call.idempotent { &self.pooled } else { &self.unpooled };
        let url = format!("http://{address}{}", call.path);
        let mut request = client.request(call.method.clone(), url).body(call.body.clone());
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let response = request.header("x-request-id", &*call.request).send().await;
        let response = response.map_err(|error| {
            if error.is_connect() || error.is_builder() {
                ServiceError::Unreachable(error)
            } else {
                ServiceError::ResponseLost(error)
            }
        })?;
        let header = |name: &str| {
            response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        if response.status().as_u16() == 503 && header(OUTCOME_HEADER) == NOT_RUN {
            return Err(ServiceError::NotExecuted);
        }
        let status = response.status().as_u16();
        let content_type = header("content-type").to_owned();
        let body = read_body(response).await?;
        Ok(ServiceResponse { status, content_type, body })
    }
}

async fn read_body(response: reqwest::Response) -> Result<Bytes, ServiceError> {
    let mut chunks = response.bytes_stream();
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk.map_err(ServiceError::ResponseLost)?);
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(ServiceError::ResponseTooLarge);
        }
    }
    Ok(body.freeze())
}
