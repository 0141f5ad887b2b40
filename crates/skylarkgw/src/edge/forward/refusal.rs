//! Refusals: responses that the gateway generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};

use crate::decision::obligations::UnservedCause;
use crate::edge::forward::ResponseBody;
use crate::edge::forward::record::{RequestEnd, RequestRecord};

/// Reason why a request to the reverse proxy gets no response from an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No declaration has been received, or it is too old to rule out a route.
    NoDeclaration,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The declaration is too old to check keys: a key may have been added or
    /// withdrawn since.
    StaleKeys,
    /// The request names no host and cannot be forwarded.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request gave way to others, or there is no memory for it.
    MemoryFull,
    /// The body was cut off or did not arrive before the deadline.
    BodyIncomplete,
    /// This host stops and may end before the request does.
    Stopping,
    /// The workspace has used up its quota.
    OverQuota,
    /// Engines have crashed on a part of the prompt.
    PromptRefused,
    /// No available engine holds the model.
    NoEngine,
    /// No engine that holds the model has the adapter, and none was assigned to load
    /// it in time, for example because none has room for it.
    NoAdapter,
    /// Every available engine that holds the model has named a request rate that is used
    /// up.
    EngineLimited,
    /// Every available engine that holds the model has turned this host away for a time
    /// that has not ended.
    TurnedAway,
    /// The estimated wait at the selected engine exceeds what the latency objective
    /// or the deadline allows.
    Overloaded,
    /// Every attempt failed before the request was executed.
    NotRun,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// An engine may have executed the request but returned no complete response.
    NoResponse,
    /// The deadline passed while an engine may have been executing the request.
    ResponseTimeout,
}

impl RefusalReason {
    /// Returns the label in logs, metrics and response bodies.
    pub fn label(self) -> &'static str {
        match self {
            RefusalReason::NoDeclaration => "no-declaration",
            RefusalReason::NoRoute => "no-route",
            RefusalReason::UnknownKey => "unknown-key",
            RefusalReason::StaleKeys => "stale-keys",
            RefusalReason::BadRequest => "bad-request",
            RefusalReason::BodyTooLarge => "body-too-long",
            RefusalReason::MemoryFull => "memory-full",
            RefusalReason::BodyIncomplete => "body-broken",
            RefusalReason::Stopping => "stopping",
            RefusalReason::OverQuota => "over-quota",
            RefusalReason::PromptRefused => "prompt-refused",
            RefusalReason::NoEngine => "no-engine",
            RefusalReason::NoAdapter => "no-adapter",
            RefusalReason::EngineLimited => "engine-limited",
            RefusalReason::TurnedAway => "turned-away",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::NotRun => "not-run",
            RefusalReason::DeadlinePassed => "deadline-passed",
            RefusalReason::NoResponse => "no-answer",
            RefusalReason::ResponseTimeout => "answer-timeout",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            RefusalReason::NoDeclaration
            | RefusalReason::StaleKeys
            | RefusalReason::MemoryFull
            | RefusalReason::Stopping
            | RefusalReason::PromptRefused
            | RefusalReason::NoEngine
            | RefusalReason::NoAdapter
            | RefusalReason::EngineLimited
            | RefusalReason::TurnedAway
            | RefusalReason::Overloaded
            | RefusalReason::NotRun
            | RefusalReason::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
            RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
            RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::NoResponse => StatusCode::BAD_GATEWAY,
            RefusalReason::ResponseTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns why a refused request was not served, or `None` if the reason has nothing
    /// to do with engines.
    pub fn unserved_cause(self) -> Option<UnservedCause> {
        match self {
            RefusalReason::NoEngine
            | RefusalReason::EngineLimited
            | RefusalReason::TurnedAway
            | RefusalReason::NotRun
            | RefusalReason::NoResponse
            | RefusalReason::ResponseTimeout => Some(UnservedCause::NoService),
            RefusalReason::NoAdapter => Some(UnservedCause::NoAdapter),
            RefusalReason::Overloaded => Some(UnservedCause::Overloaded),
            _ => None,
        }
    }

    /// Returns whether the request was certainly not executed.
    pub fn is_not_run(self) -> bool {
        !matches!(self, RefusalReason::NoResponse | RefusalReason::ResponseTimeout)
    }
}

/// Refusal of a request, with the delay after which it may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Delay before a retry, if one is known.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Creates a refusal without a retry delay.
    pub fn new(reason: RefusalReason) -> RequestRefusal {
        RequestRefusal { reason, retry_after: None }
    }

    /// Creates a refusal with a retry delay.
    pub fn with_retry_after(reason: RefusalReason, retry_after: Duration) -> RequestRefusal {
        RequestRefusal { reason, retry_after: Some(retry_after) }
    }

    /// Completes the record and builds the response.
    pub fn into_response(self, mut record: RequestRecord) -> Response<ResponseBody> {
        let status = self.reason.status();
        record.status = status.as_u16();
        record.reason = self.reason.label();
        record.retry_after = self.retry_after;
        record.unserved_cause = self.reason.unserved_cause();
        record.finish(if self.reason.is_not_run() {
            RequestEnd::Refused
        } else {
            RequestEnd::Failed
        });
        let body = Full::new(Bytes::from_static(self.reason.label().as_bytes()));
        let body = body.map_err(|never| match never {}).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
