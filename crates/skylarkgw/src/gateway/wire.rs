//! Request and response headers, as the platform adapter converts them.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;

use crate::decision::engine_statements::AnswerStatement;
use crate::ids::{EndpointId, ModelName, RequestId, Tokens};

/// A segment of a prompt, which several requests may have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the segment's text.
    pub id: Arc<str>,
    /// Length of the segment, in tokens.
    pub tokens: Tokens,
}

/// The model, and optionally the adapter, that a request addresses.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelTarget {
    /// Name of the model.
    pub model: ModelName,
    /// Name of the adapter.
    pub adapter: Option<Arc<str>>,
}

/// Information that a client sends in the headers of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClientHeaders {
    /// Identifier of this attempt, chosen by the client.
    pub request_id: Option<RequestId>,
    /// Time until the client's deadline, counted from the arrival of the request.
    pub time_left: Option<Duration>,
    /// Requested model.
    pub target: Option<ModelTarget>,
    /// Number of prompt tokens and maximum number of tokens to generate.
    pub token_counts: Option<(Tokens, Tokens)>,
    /// Segments of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// API key of the client.
    pub key: Option<Arc<str>>,
}

/// Information that the gateway adds to the headers of a request to an engine.
#[derive(Clone, Debug)]
pub struct EngineHeaders<'a> {
    /// Time until the client's deadline.
    pub time_left: Duration,
    /// Engine to which the request is addressed; any other engine rejects it.
    pub engine: &'a EndpointId,
    /// Workspace of the client.
    pub workspace: Option<&'a str>,
    /// Urgency, from 0 for the most urgent to 9 for the least urgent.
    pub urgency: Option<u8>,
    /// Identifier of the last event that the client has received, if the request
    /// resumes a stream.
    pub resume_after: Option<&'a str>,
}

/// Information about a response, taken from its status and headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request to which the response belongs.
    pub request_id: Option<RequestId>,
    /// Whether the response reports that the request was not executed.
    pub is_not_executed: bool,
    /// Whether the response carries the engine's signature.
    pub is_signed: bool,
    /// Time after which the engine closes the connection if it stays idle.
    pub idle_limit: Option<Duration>,
    /// What the engine states about itself.
    pub statement: AnswerStatement,
}

/// Conversion of a platform's headers.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// Decodes the headers of a client request.
    pub decode_client_headers: fn(&HeaderMap) -> ClientHeaders,
    /// Replaces the headers that only the gateway may set on a request to an engine.
    ///
    /// Values that the client sent in those headers are removed.
    pub set_engine_headers: fn(&mut HeaderMap, &EngineHeaders<'_>),
    /// Decodes the status and the headers of an engine's response.
    pub decode_response_headers: fn(http::StatusCode, &HeaderMap) -> ResponseMetadata,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
}
