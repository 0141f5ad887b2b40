//! Client of plain services.
//!
//! A call that may not be repeated goes out on a connection of its own: a
//! pooled one may have gone silent, and a call lost on it could not be sent
//! again.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use thiserror::Error;

use crate::endpoint::client::client_builder;
use crate::ids::RequestId;

/// Header in which a service says whether it ran a call it refused.
pub const OUTCOME_HEADER: &str = "skylark-outcome";
/// Value of [`OUTCOME_HEADER`] for a call that did not run.
pub const NOT_RUN: &str = "not-run";
/// Largest answer of a service, in bytes.
pub const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Identifies the request.
    pub request: RequestId,
    /// HTTP method.
    pub method: reqwest::Method,
    /// Path and query below the route.
    pub path: String,
    /// Headers that may pass.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

/// A service's answer.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// Why a call to a service brought no answer.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// The client cannot be built.
    #[error("the service client cannot be built")]
    Client(#[source] reqwest::Error),
    /// No connection was opened, so no byte left.
    #[error("the service cannot be reached")]
    Unreachable(#[source] reqwest::Error),
    /// The service says that it did not run the call.
    #[error("the service did not run the call")]
    Declined,
    /// The call may have run.
    #[error("the service's answer was lost")]
    Lost(#[source] reqwest::Error),
    /// The call ran, but its answer is longer than the limit.
    #[error("the service's answer is too large")]
    TooLarge,
}

impl ServiceError {
    /// Returns whether the call certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, ServiceError::Unreachable(_) | ServiceError::Declined)
    }
}

/// Client of all plain services.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    pooled: reqwest::Client,
    single: reqwest::Client,
}

impl ServiceClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// [`ServiceError::Client`] if an HTTP client cannot be built.
    pub fn new() -> Result<ServiceClient, ServiceError> {
        let builder = || {
            client_builder(CONNECT_TIMEOUT)
                .timeout(ANSWER_TIMEOUT)
                .redirect(reqwest::redirect::Policy::none())
        };
        let pooled = builder().pool_idle_timeout(IDLE_TIMEOUT).build();
        let single = builder().pool_max_idle_per_host(0).build();
        Ok(ServiceClient {
            pooled: pooled.map_err(ServiceError::Client)?,
            single: single.map_err(ServiceError::Client)?,
        })
    }

    /// Sends a call once.
    ///
    /// # Errors
    ///
    /// [`ServiceError::is_not_run`] tells whether it certainly did not run.
    pub async fn send(
        &self,
        address: &str,
        call: &ServiceCall,
    ) -> Result<ServiceAnswer, ServiceError> {
        let client = if call.idempotent { &self.pooled } else { &self.single };
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
                ServiceError::Lost(error)
            }
        })?;
        let header = |name: &str| {
            response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        if response.status().as_u16() == 503 && header(OUTCOME_HEADER) == NOT_RUN {
            return Err(ServiceError::Declined);
        }
        let status = response.status().as_u16();
        let content_type = header("content-type").to_owned();
        let body = read_body(response).await?;
        Ok(ServiceAnswer { status, content_type, body })
    }
}

async fn read_body(response: reqwest::Response) -> Result<Bytes, ServiceError> {
    let mut chunks = response.bytes_stream();
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk.map_err(ServiceError::Lost)?);
        if body.len() > ANSWER_LIMIT_BYTES {
            return Err(ServiceError::TooLarge);
        }
    }
    Ok(body.freeze())
}
