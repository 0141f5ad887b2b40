//! Client of an engine's HTTP API; `docs/INTERFACES.md` describes it.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

use crate::decision::placement::{EngineOrder, OrderOutcome};
use crate::decision::routing::LoadReport;
use crate::endpoint::client::client_builder;
use crate::ids::{ModelName, RequestId, Tokens};

/// Silence on a stream after which its connection counts as lost.
///
/// An engine sends an event at least every third of this, even while a request
/// waits.
pub const STREAM_SILENCE: Duration = Duration::from_millis(1_500);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const HEADER_TIMEOUT: Duration = Duration::from_millis(2_000);
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request to generate tokens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateCall {
    /// Identifies the request, for resumption and cancellation.
    pub request: RequestId,
    /// Model to run.
    pub model: ModelName,
    /// Adapter on top of it.
    pub adapter: Option<ModelName>,
    /// Whole prompt.
    pub prompt: Arc<str>,
    /// Largest number of tokens to generate.
    pub max_tokens: Tokens,
    /// Index of the first token to send.
    pub offset: Tokens,
    /// Text of the tokens before `offset`, for an engine that has not seen
    /// the request before.
    pub generated: Arc<str>,
}

/// One generated token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TokenEvent {
    /// Index from zero within the answer.
    pub index: Tokens,
    /// Text of the token.
    pub text: Arc<str>,
}

/// What an engine sends on a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineEvent {
    /// The engine has taken the request; always first.
    Accepted {
        /// The request, to tell crossed answers.
        request: RequestId,
    },
    /// The engine still works on it.
    Alive {},
    /// A token.
    Token(TokenEvent),
    /// The answer is complete.
    Finish {
        /// Why it ended: `stop` or `length`.
        reason: Arc<str>,
        /// Tokens of the prompt as the engine counts them.
        prompt_tokens: Tokens,
    },
}

/// Why an engine did not do what it was asked.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The client cannot be built.
    #[error("the engine client cannot be built")]
    Client(#[source] reqwest::Error),
    /// The connection could not be opened.
    #[error("the engine cannot be reached")]
    Unreachable(#[source] reqwest::Error),
    /// The connection broke.
    #[error("the connection to the engine broke")]
    Broken(#[source] reqwest::Error),
    /// Nothing came for too long.
    #[error("the engine was silent")]
    Silent,
    /// The stream ended before the answer was complete.
    #[error("the stream ended early")]
    Ended,
    /// The engine refused.
    #[error("the engine answered with status {0}")]
    Status(u16),
    /// The engine sent something else than its interface says.
    #[error("the engine's answer cannot be decoded")]
    Garbage,
    /// The answer belongs to another request.
    #[error("the answer belongs to another request")]
    Crossed,
}

/// Stream of an engine's events.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>> + Send>>;

/// Client of all engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: reqwest::Client,
    single: reqwest::Client,
}

#[derive(Serialize)]
struct CancelCall<'a> {
    request: &'a str,
}

impl EngineClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// [`EngineError::Client`] if the HTTP client cannot be built.
    pub fn new() -> Result<EngineClient, EngineError> {
        let builder = || client_builder(CONNECT_TIMEOUT).pool_idle_timeout(IDLE_TIMEOUT);
        let http = builder().build().map_err(EngineError::Client)?;
        let single = builder().pool_max_idle_per_host(0).build().map_err(EngineError::Client)?;
        Ok(EngineClient { http, single })
    }

    /// Starts or resumes a generation.
    ///
    /// # Errors
    ///
    /// [`EngineError`] if the engine did not take the request.
    pub async fn generate(
        &self,
        address: &str,
        call: &GenerateCall,
    ) -> Result<EngineStream, EngineError> {
        let request = self.http.post(format!("http://{address}/v1/generate")).json(call);
        let response = timeout(HEADER_TIMEOUT, request.send())
            .await
            .map_err(|_| EngineError::Silent)?
            .map_err(classify)?;
        if response.status().as_u16() != 200 {
            return Err(EngineError::Status(response.status().as_u16()));
        }
        let events = response.bytes_stream().eventsource().map(|event| match event {
            Ok(event) => serde_json::from_str(&event.data).map_err(|_| EngineError::Garbage),
            Err(eventsource_stream::EventStreamError::Transport(error)) => {
                Err(EngineError::Broken(error))
            }
            Err(_) => Err(EngineError::Garbage),
        });
        Ok(Box::pin(events))
    }

    /// Asks an engine to stop a request.
    ///
    /// # Errors
    ///
    /// [`EngineError`] if the engine did not confirm.
    pub async fn cancel(&self, address: &str, request: &str) -> Result<(), EngineError> {
        let call = self
            .http
            .post(format!("http://{address}/v1/cancel"))
            .timeout(REPORT_TIMEOUT)
            .json(&CancelCall { request });
        call.send().await.map(|_| ()).map_err(classify)
    }

    /// Sends an order on a connection of its own, so that none can linger in
    /// one that has gone silent.
    pub async fn order(&self, address: &str, order: &EngineOrder) -> OrderOutcome {
        let call = self
            .single
            .post(format!("http://{address}/v1/orders"))
            .timeout(REPORT_TIMEOUT)
            .json(order);
        match call.send().await {
            Ok(response) if response.status().is_success() => OrderOutcome::Accepted,
            Ok(response) if response.status().is_client_error() => OrderOutcome::Refused,
            Err(error) if error.is_connect() => OrderOutcome::Refused,
            _ => OrderOutcome::Unknown,
        }
    }

    /// Reads an engine's load.
    ///
    /// # Errors
    ///
    /// [`EngineError`] if no usable report came.
    pub async fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        let call = self.http.get(format!("http://{address}/v1/load")).timeout(REPORT_TIMEOUT);
        let response = call.send().await.map_err(classify)?;
        if response.status().as_u16() != 200 {
            return Err(EngineError::Status(response.status().as_u16()));
        }
        let body = response.bytes().await.map_err(classify)?;
        serde_json::from_slice(&body).map_err(|_| EngineError::Garbage)
    }
}

/// Returns the next event of a stream, or that it was silent or has ended.
///
/// # Errors
///
/// [`EngineError`] if the stream has to be resumed on a new connection.
pub async fn next_event(stream: &mut EngineStream) -> Result<EngineEvent, EngineError> {
    match timeout(STREAM_SILENCE, stream.next()).await {
        Ok(Some(event)) => event,
        Ok(None) => Err(EngineError::Ended),
        Err(_) => Err(EngineError::Silent),
    }
}

fn classify(error: reqwest::Error) -> EngineError {
    if error.is_connect() { EngineError::Unreachable(error) } else { EngineError::Broken(error) }
}
