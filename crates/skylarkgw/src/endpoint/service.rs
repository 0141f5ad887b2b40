//! HTTP client for plain services.
//!
//! A connection is used again only for calls that may be repeated, and only if the
//! service named the request in its last answer. An answer on such a connection
//! counts only if it names its request; otherwise it may belong to an earlier call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::net::lookup_host;
use tokio::time::{Instant, timeout_at};

use crate::endpoint::connection::{ConnectionError, HttpConnection};
use crate::endpoint::pool::ConnectionPool;
use crate::endpoint::segments::SegmentBody;
use crate::ids::RequestId;

/// Header that names the request, in calls and in answers.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Response header by which a service reports, with status 503, whether it executed
/// a call that it refused.
pub const OUTCOME_HEADER: &str = "skylark-outcome";
/// Value of [`OUTCOME_HEADER`] for a call that was not executed.
pub const NOT_RUN: &str = "not-run";
/// Maximum size of the response body of a service.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Longest time to open a connection to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest duration of a call, including its response body and a repetition.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest idle time of a pooled connection that is used again.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Identifier of the request, sent in the `x-request-id` header.
    pub request: RequestId,
    /// HTTP method.
    pub method: http::Method,
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
    /// No connection was opened, so no byte of the call was sent.
    #[error("cannot connect to the service")]
    Unreachable(#[source] ConnectionError),
    /// The address of the service does not name a host that can be found.
    #[error("cannot find the service at {address}")]
    UnknownAddress {
        /// Declared address.
        address: String,
    },
    /// The service refused the call and reported that it did not execute it, or
    /// the call was never sent.
    #[error("the service did not execute the call")]
    NotExecuted,
    /// The connection failed or timed out after the call may have been executed.
    #[error("the answer of the service was lost")]
    ResponseLost(#[source] ConnectionError),
    /// The call was executed, but the response body exceeds
    /// `MAX_RESPONSE_BYTES`.
    #[error("the answer of the service is too large")]
    ResponseTooLarge,
}

impl ServiceError {
    /// Returns whether the call was certainly not executed.
    pub fn is_not_run(&self) -> bool {
        match self {
            ServiceError::Unreachable(_)
            | ServiceError::UnknownAddress { .. }
            | ServiceError::NotExecuted => true,
            ServiceError::ResponseLost(_) | ServiceError::ResponseTooLarge => false,
        }
    }
}

/// HTTP client for all plain services.
#[derive(Debug, Default)]
pub struct ServiceClient {
    pool: ConnectionPool,
}

impl ServiceClient {
    /// Creates a client without open connections.
    pub fn new() -> ServiceClient {
        ServiceClient::default()
    }

    /// Sends a call and reads the complete response.
    ///
    /// A call that may be repeated is sent once more, over a new connection, if a
    /// reused connection fails or its answer does not name the call.
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
        let unknown = || ServiceError::UnknownAddress { address: address.to_owned() };
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let found = timeout_at(deadline, lookup_host(address)).await.map_err(|_| unknown())?;
        let socket = found.ok().and_then(|mut found| found.next()).ok_or_else(unknown)?;
        let pooled = call.idempotent.then(|| self.pool.acquire_idle(socket, MAX_IDLE)).flatten();
        let Some(connection) = pooled else {
            return self.send_first(address, socket, call, deadline).await;
        };
        match self.send_pooled(address, socket, connection, call, deadline).await {
            Ok(result) => result,
            Err(lost) => {
                let result = self.send_first(address, socket, call, deadline).await;
                // What the second attempt reports says nothing about the first one.
                result.map_err(|error| match lost {
                    Some(lost) if error.is_not_run() => ServiceError::ResponseLost(lost),
                    _ => error,
                })
            }
        }
    }

    /// Sends a call as the first one over a new connection, so that the first answer can
    /// only belong to it.
    async fn send_first(
        &self,
        address: &str,
        socket: SocketAddr,
        call: &ServiceCall,
        deadline: Instant,
    ) -> Result<ServiceResponse, ServiceError> {
        let connect_timeout = CONNECT_TIMEOUT.min(deadline.duration_since(Instant::now()));
        let mut connection = HttpConnection::connect(socket, connect_timeout)
            .await
            .map_err(ServiceError::Unreachable)?;
        let response = send_call(&mut connection, address, call, deadline).await?;
        self.read_response(socket, connection, response, call, deadline).await
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }

    /// Sends a call over a reused connection.
    ///
    /// Without an answer that certainly belongs to the call, the error holds the cause,
    /// or `None` if the call was certainly not executed.
    async fn send_pooled(
        &self,
        address: &str,
        socket: SocketAddr,
        mut connection: HttpConnection,
        call: &ServiceCall,
        deadline: Instant,
    ) -> Result<Result<ServiceResponse, ServiceError>, Option<ConnectionError>> {
        let response = match send_call(&mut connection, address, call, deadline).await {
            Ok(response) if is_named(response.headers(), call) => response,
            Ok(_) => return Err(Some(ConnectionError::OtherAnswer)),
            Err(ServiceError::ResponseLost(error)) => return Err(Some(error)),
            Err(_) => return Err(None),
        };
        match self.read_response(socket, connection, response, call, deadline).await {
            Err(ServiceError::ResponseLost(error)) => Err(Some(error)),
            result => Ok(result),
        }
    }

    /// Reads the body of an answer, and keeps the connection if it can be used again.
    async fn read_response(
        &self,
        socket: SocketAddr,
        connection: HttpConnection,
        response: Response<Incoming>,
        call: &ServiceCall,
        deadline: Instant,
    ) -> Result<ServiceResponse, ServiceError> {
        let (parts, mut body) = response.into_parts();
        let find = |name: &str| {
            parts.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        if parts.status.as_u16() == 503 && find(OUTCOME_HEADER) == NOT_RUN {
            return Err(ServiceError::NotExecuted);
        }
        let content_type = find("content-type").to_owned();
        let mut bytes = BytesMut::new();
        let lost = || ServiceError::ResponseLost(ConnectionError::ResponseTimeout);
        while let Some(frame) = timeout_at(deadline, body.frame()).await.map_err(|_| lost())? {
            let frame = frame.map_err(|error| {
                ServiceError::ResponseLost(ConnectionError::Body(Box::new(error)))
            })?;
            let Ok(data) = frame.into_data() else { continue };
            bytes.extend_from_slice(&data);
            if bytes.len() > MAX_RESPONSE_BYTES {
                return Err(ServiceError::ResponseTooLarge);
            }
        }
        if call.idempotent && is_named(&parts.headers, call) {
            self.pool.release(socket, connection, None);
        }
        Ok(ServiceResponse { status: parts.status.as_u16(), content_type, body: bytes.freeze() })
    }
}

/// Returns whether an answer names the request of a call.
fn is_named(headers: &HeaderMap, call: &ServiceCall) -> bool {
    headers.get(REQUEST_ID_HEADER).is_some_and(|name| name.as_bytes() == call.request.as_bytes())
}

/// Sends a call over a connection and waits for the response head.
async fn send_call(
    connection: &mut HttpConnection,
    address: &str,
    call: &ServiceCall,
    deadline: Instant,
) -> Result<Response<Incoming>, ServiceError> {
    let request = build_request(address, call).ok_or(ServiceError::NotExecuted)?;
    match timeout_at(deadline, connection.send(request.map(SegmentBody::from))).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if error.is_unsent() => Err(ServiceError::Unreachable(error)),
        Ok(Err(error)) => Err(ServiceError::ResponseLost(error)),
        Err(_) => Err(ServiceError::ResponseLost(ConnectionError::ResponseTimeout)),
    }
}

/// Builds the HTTP request of a call, or returns `None` if a header or the path is not
/// valid.
fn build_request(address: &str, call: &ServiceCall) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder().method(call.method.clone()).uri(&*call.path);
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    if !call.body.is_empty() {
        request = request.header(header::CONTENT_LENGTH, call.body.len());
    }
    let id = HeaderValue::from_str(&call.request).ok()?;
    request
        .header(header::HOST, address)
        .header(REQUEST_ID_HEADER, id)
        .body(Full::new(call.body.clone()))
        .ok()
}
