//! Client for the HTTP API of engines, which `docs/INTERFACES.md` describes.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

use crate::decision::placement::{EngineOrder, OrderOutcome};
use crate::decision::routing::LoadReport;
use crate::endpoint::client::client_builder;
use crate::ids::{ModelName, RequestId, Tokens};

/// Time without an event on a stream after which its connection is considered
/// lost.
///
/// An engine sends an event at least every third of this time, even while the
/// request is queued.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time to open a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time until the response head of a generation arrives.
const HEADER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest duration of any other call, including its response body.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a call after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of one event of a stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Maximum size of a load report.
const MAX_LOAD_BYTES: usize = 256 * 1024;

/// A request to generate tokens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateCall {
    /// Identifier of the request, used to resume and to cancel it.
    pub request: RequestId,
    /// Model to run.
    pub model: ModelName,
    /// Adapter to apply to the model, if any.
    pub adapter: Option<ModelName>,
    /// Complete prompt.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Index of the first token to send.
    pub offset: Tokens,
    /// Text of the tokens before `offset`, for an engine that has not received
    /// the request before.
    pub generated: Arc<str>,
}

/// One generated token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TokenEvent {
    /// Zero-based index of the token within the response.
    pub index: Tokens,
    /// Text of the token.
    pub text: Arc<str>,
}

/// An event on the response stream of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineEvent {
    /// The engine has accepted the request. This is always the first event.
    Accepted {
        /// Identifier of the request, by which a response to another request is
        /// detected.
        request: RequestId,
    },
    /// Keep-alive: the engine is still working on the request.
    Alive {},
    /// The next generated token.
    Token(TokenEvent),
    /// The response is complete.
    Finish {
        /// Why the generation ended: `stop` or `length`.
        reason: Arc<str>,
        /// Number of prompt tokens as counted by the engine.
        prompt_tokens: Tokens,
    },
}

/// Error of a call to an engine.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The HTTP client cannot be built.
    #[error("cannot build the engine client")]
    Client(#[source] reqwest::Error),
    /// The connection could not be opened.
    #[error("cannot connect to the engine")]
    Unreachable(#[source] reqwest::Error),
    /// The connection failed after it had been opened.
    #[error("the connection to the engine was lost")]
    ConnectionLost(#[source] reqwest::Error),
    /// The response head or the next event did not arrive within its time limit.
    #[error("the engine was silent beyond the time limit")]
    TimedOut,
    /// The stream ended before the response was complete.
    #[error("the stream ended before the answer was complete")]
    StreamEnded,
    /// The engine responded with a status other than 200.
    #[error("the engine answered with status {0}")]
    Status(u16),
    /// The engine sent data that does not conform to its interface.
    #[error("cannot decode the answer of the engine")]
    InvalidData,
    /// The response belongs to another request.
    #[error("the answer belongs to another request")]
    WrongRequest,
}

/// A stream of events from one engine.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>> + Send>>;

/// HTTP client for all engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pooled: reqwest::Client,
    /// Opens a new connection for every call.
    unpooled: reqwest::Client,
}

#[derive(Serialize)]
struct CancelCall<'a> {
    request: &'a str,
}

impl EngineClient {
    /// Creates a client with its connection pools.
    ///
    /// # Errors
    ///
    /// [`EngineError::Client`] if the HTTP client cannot be built.
    pub fn new() -> Result<EngineClient, EngineError> {
        let builder = || client_builder(CONNECT_TIMEOUT).pool_idle_timeout(IDLE_TIMEOUT);
        let pooled = builder().build().map_err(EngineError::Client)?;
        let unpooled = builder().pool_max_idle_per_host(0).build().map_err(EngineError::Client)?;
        Ok(EngineClient { pooled, unpooled })
    }

    /// Starts or resumes a generation and returns its stream of events.
    ///
    /// The stream has an error in the place of an event of another request, or of one
    /// that the engine has not accepted.
    ///
    /// # Errors
    ///
    /// [`EngineError`] if no response with status 200 arrives within
    /// `HEADER_TIMEOUT`.
    pub async fn generate(
        &self,
        address: &str,
        call: &GenerateCall,
    ) -> Result<EngineStream, EngineError> {
        let request = self.pooled.post(format!("http://{address}/v1/generate")).json(call);
        let response = timeout(HEADER_TIMEOUT, request.send())
            .await
            .map_err(|_| EngineError::TimedOut)?
            .map_err(classify_error)?;
        if response.status().as_u16() != 200 {
            return Err(EngineError::Status(response.status().as_u16()));
        }
        let parts = response.bytes_stream().map(|part| part.map_err(EngineError::ConnectionLost));
        let events = limit_events(parts).eventsource().map(|event| match event {
            Ok(event) => serde_json::from_str(&event.data).map_err(|_| EngineError::InvalidData),
            Err(eventsource_stream::EventStreamError::Transport(error)) => Err(error),
            Err(_) => Err(EngineError::InvalidData),
        });
        let request = call.request.clone();
        let mut is_accepted = false;
        Ok(Box::pin(events.map(move |event| match event? {
            EngineEvent::Accepted { request: accepted } if accepted != request => {
                Err(EngineError::WrongRequest)
            }
            event @ EngineEvent::Accepted { .. } => {
                is_accepted = true;
                Ok(event)
            }
            event if is_accepted => Ok(event),
            _ => Err(EngineError::InvalidData),
        })))
    }

    /// Requests that an engine stop working on a request.
    ///
    /// # Errors
    ///
    /// [`EngineError`] if no response arrives. The status of a response is not
    /// checked.
    pub async fn cancel(&self, address: &str, request: &str) -> Result<(), EngineError> {
        let call = self
            .pooled
            .post(format!("http://{address}/v1/cancel"))
            .timeout(CALL_TIMEOUT)
            .json(&CancelCall { request });
        call.send().await.map(|_| ()).map_err(classify_error)
    }

    /// Sends an order over a new connection, so that it cannot be held up in a
    /// pooled connection that has stopped responding.
    ///
    /// The outcome is `Refused` if the engine responds with a client error or no
    /// connection is opened, and `Unknown` after any other failure.
    pub async fn send_order(&self, address: &str, order: &EngineOrder) -> OrderOutcome {
        let call = self
            .unpooled
            .post(format!("http://{address}/v1/orders"))
            .timeout(CALL_TIMEOUT)
            .json(order);
        match call.send().await {
            Ok(response) if response.status().is_success() => OrderOutcome::Accepted,
            Ok(response) if response.status().is_client_error() => OrderOutcome::Refused,
            Err(error) if error.is_connect() => OrderOutcome::Refused,
            _ => OrderOutcome::Unknown,
        }
    }

    /// Fetches the load report of an engine.
    ///
    /// # Errors
    ///
    /// [`EngineError`] if no valid report arrives within `CALL_TIMEOUT`.
    pub async fn fetch_load(&self, address: &str) -> Result<LoadReport, EngineError> {
        let call = self.pooled.get(format!("http://{address}/v1/load")).timeout(CALL_TIMEOUT);
        let response = call.send().await.map_err(classify_error)?;
        if response.status().as_u16() != 200 {
            return Err(EngineError::Status(response.status().as_u16()));
        }
        let mut parts = response.bytes_stream();
        let mut body = BytesMut::new();
        while let Some(part) = parts.next().await {
            body.extend_from_slice(&part.map_err(classify_error)?);
            if body.len() > MAX_LOAD_BYTES {
                return Err(EngineError::InvalidData);
            }
        }
        serde_json::from_slice(&body).map_err(|_| EngineError::InvalidData)
    }
}

/// Ends a stream with an error when it contains an event of more than
/// [`MAX_EVENT_BYTES`].
fn limit_events(
    parts: impl Stream<Item = Result<Bytes, EngineError>> + Send + 'static,
) -> impl Stream<Item = Result<Bytes, EngineError>> + Send {
    let mut event_bytes = 0;
    parts.map(move |part| {
        let part = part?;
        // An event ends at an empty line, which may be split between two parts. The
        // count is then too high by at most one event.
        let event_end =
            part.windows(2).rposition(|bytes| matches!(bytes, b"\n\n" | b"\r\r" | b"\n\r"));
        event_bytes = event_end.map_or(event_bytes + part.len(), |end| part.len() - end);
        if event_bytes > MAX_EVENT_BYTES { Err(EngineError::InvalidData) } else { Ok(part) }
    })
}

/// Waits for the next event of a stream.
///
/// # Errors
///
/// [`EngineError`] if no event arrives within [`STREAM_IDLE_TIMEOUT`], or if the
/// stream ends, breaks or sends invalid data. The generation can then only be
/// continued over a new connection.
pub async fn next_event(stream: &mut EngineStream) -> Result<EngineEvent, EngineError> {
    match timeout(STREAM_IDLE_TIMEOUT, stream.next()).await {
        Ok(Some(event)) => event,
        Ok(None) => Err(EngineError::StreamEnded),
        Err(_) => Err(EngineError::TimedOut),
    }
}

fn classify_error(error: reqwest::Error) -> EngineError {
    if error.is_connect() {
        EngineError::Unreachable(error)
    } else {
        EngineError::ConnectionLost(error)
    }
}
