//! What an adapter has to decode and encode for the gateway.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;

use crate::ids::{EndpointId, ModelName, RequestId, Tokens};

/// One part of a prompt that requests may share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the part's text.
    pub id: Arc<str>,
    /// Its length in tokens.
    pub tokens: Tokens,
}

/// Model, and optionally one of its adapters.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelTarget {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<Arc<str>>,
}

/// What a caller says in the headers of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClientHeaders {
    /// Identifier of this attempt of the caller.
    pub request_id: Option<RequestId>,
    /// Time that the caller waits, counted from the arrival.
    pub time_left: Option<Duration>,
    /// Model that is asked for.
    pub target: Option<ModelTarget>,
    /// Prompt tokens and the most tokens to generate.
    pub token_counts: Option<(Tokens, Tokens)>,
    /// Parts of the prompt in order.
    pub prompt: Vec<PromptPart>,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
}

/// What the gateway tells an engine beside what the caller sent.
#[derive(Clone, Debug)]
pub struct EngineHeaders<'a> {
    /// Time that is left until the caller's deadline.
    pub time_left: Duration,
    /// Engine that the request is meant for; others refuse it.
    pub engine: &'a EndpointId,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Urgency from 0, first, to 9.
    pub urgency: Option<u8>,
    /// Last event that the caller has, where the stream continues.
    pub resume_after: Option<&'a str>,
}

/// What an engine's answer says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Request that it answers.
    pub request_id: Option<RequestId>,
    /// Whether the engine says that the request has not run.
    pub is_not_executed: bool,
    /// Whether the answer bears the engine's signature.
    pub is_signed: bool,
    /// Time after which the engine closes the connection if it stays idle.
    pub idle_limit: Option<Duration>,
}

/// Headers of callers and engines, in the names of one platform.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// Decodes a caller's headers.
    pub decode_client_headers: fn(&HeaderMap) -> ClientHeaders,
    /// Removes what only the gateway may set, and sets it.
    pub set_engine_headers: fn(&mut HeaderMap, &EngineHeaders<'_>),
    /// Decodes the headers of an engine's answer with its status.
    pub decode_response_headers: fn(http::StatusCode, &HeaderMap) -> ResponseMetadata,
    /// Path that readiness is asked under.
    pub readiness_path: &'static str,
}
