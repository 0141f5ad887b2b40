//! Refusals of client requests, as responses in the format of the OpenAI API.

use std::time::Duration;

use poem::http::{HeaderValue, StatusCode, header};
use poem::{Body, IntoResponse, Response};
use serde::Serialize;
use thiserror::Error;

use crate::decision::host::{AdmissionReason, AdmissionRefusal};
use crate::decision::keys::KeyRefusal;
use crate::decision::routing::RouteRefusal;
use crate::endpoint::GenerationFailure;

/// Response header that reports whether a refused request may have been executed.
pub const OUTCOME_HEADER: &str = "skylark-outcome";
/// Response header with the identifier of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Retry delay reported to the client where no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a refused request may have been executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The request was certainly not executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

/// Reason why a request to the chat interface or to a plain service is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// The API key is missing or invalid.
    #[error(transparent)]
    Key(#[from] KeyRefusal),
    /// The request body exceeds the limit, given in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The request body was cut off or did not arrive in time.
    #[error("the body did not arrive whole in time")]
    BodyIncomplete,
    /// The request body does not conform to the interface.
    #[error("the body cannot be used: {0}")]
    BadBody(String),
    /// The API key occurs in a part of the request that would be forwarded.
    #[error("the key may only stand in the Authorization header")]
    KeyOutsideHeader,
    /// The idempotency key is empty, too long or not printable ASCII.
    #[error("the idempotency key must be 1 to 255 printable ASCII characters")]
    BadIdempotencyKey,
    /// The idempotency key was already used for a different call.
    #[error("the idempotency key was used for another call")]
    IdempotencyKeyReused,
    /// The requested model is not declared.
    #[error("the model '{0}' does not exist")]
    UnknownModel(String),
    /// No route matches the path.
    #[error("there is nothing at this path")]
    NotFound,
    /// The path does not support the HTTP method.
    #[error("this method is not supported here")]
    MethodNotAllowed,
    /// The control thread did not admit the request.
    #[error("{}", .0.reason)]
    Admission(AdmissionRefusal),
    /// This host is not serving, for example while it starts, or its state is too
    /// old to check keys or to admit requests.
    #[error("this host is not ready")]
    NotReady,
    /// This host has reached its limit of concurrent requests.
    #[error("this host is busy")]
    Busy,
    /// No engine completed the generation.
    #[error(transparent)]
    Generation(#[from] GenerationFailure),
    /// The service returned no usable response; holds whether it may have executed
    /// the call.
    #[error("the service did not answer")]
    Service(RunOutcome),
    /// The platform, which has to record the call, cannot be reached.
    #[error("the call cannot be recorded now")]
    RecordUnavailable,
}

/// A refusal that is returned to the client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EdgeRefusal {
    reason: RefusalReason,
    has_earlier_call: bool,
}

impl From<RefusalReason> for EdgeRefusal {
    fn from(reason: RefusalReason) -> EdgeRefusal {
        EdgeRefusal { reason, has_earlier_call: false }
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: String,
    #[serde(rename = "type")]
    kind: &'a str,
    param: Option<&'a str>,
    code: &'a str,
}

impl EdgeRefusal {
    /// Creates a refusal from an error of the HTTP routing library.
    pub fn from_routing_error(error: &poem::Error) -> EdgeRefusal {
        let reason = match error.status() {
            StatusCode::METHOD_NOT_ALLOWED => RefusalReason::MethodNotAllowed,
            _ => RefusalReason::NotFound,
        };
        EdgeRefusal { reason, has_earlier_call: false }
    }

    /// Marks that an earlier call under the same idempotency key may have been
    /// executed.
    pub fn with_earlier_call(self) -> EdgeRefusal {
        EdgeRefusal { has_earlier_call: true, ..self }
    }

    /// Returns the label of the refusal in metrics and in the `code` field of the
    /// error body.
    pub fn code(&self) -> &'static str {
        self.status_and_code().1
    }

    /// Returns whether the request, or an earlier one under its idempotency key,
    /// may have been executed.
    pub fn outcome(&self) -> RunOutcome {
        match &self.reason {
            _ if self.has_earlier_call => RunOutcome::Unknown,
            RefusalReason::Service(outcome) => *outcome,
            RefusalReason::Generation(GenerationFailure::Interrupted) => RunOutcome::Unknown,
            _ => RunOutcome::NotRun,
        }
    }

    /// Returns the error as JSON, for a response body or for the last event of a
    /// failed stream.
    pub fn to_json(&self) -> String {
        let (status, code) = self.status_and_code();
        let kind = match status.as_u16() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let param = matches!(self.reason, RefusalReason::UnknownModel(_)).then_some("model");
        let message = self.reason.to_string();
        let body = ErrorBody { error: ErrorDetail { message, kind, param, code } };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the HTTP status and the error code.
    fn status_and_code(&self) -> (StatusCode, &'static str) {
        use StatusCode as Status;
        match &self.reason {
            RefusalReason::Key(KeyRefusal::Missing) => (Status::UNAUTHORIZED, "missing_api_key"),
            RefusalReason::Key(KeyRefusal::Invalid) => (Status::UNAUTHORIZED, "invalid_api_key"),
            RefusalReason::BodyTooLarge(_) => (Status::PAYLOAD_TOO_LARGE, "body_too_large"),
            RefusalReason::BodyIncomplete => (Status::REQUEST_TIMEOUT, "body_incomplete"),
            RefusalReason::BadBody(_) => (Status::BAD_REQUEST, "bad_body"),
            RefusalReason::KeyOutsideHeader => (Status::BAD_REQUEST, "key_out_of_place"),
            RefusalReason::BadIdempotencyKey => (Status::BAD_REQUEST, "bad_idempotency_key"),
            RefusalReason::IdempotencyKeyReused => {
                (Status::UNPROCESSABLE_ENTITY, "idempotency_key_reused")
            }
            RefusalReason::UnknownModel(_) => (Status::NOT_FOUND, "model_not_found"),
            RefusalReason::NotFound => (Status::NOT_FOUND, "not_found"),
            RefusalReason::MethodNotAllowed => (Status::METHOD_NOT_ALLOWED, "method_not_allowed"),
            RefusalReason::Admission(refusal) => match refusal.reason {
                AdmissionReason::Allowance => (Status::TOO_MANY_REQUESTS, "allowance_exceeded"),
                AdmissionReason::TooLarge => (Status::BAD_REQUEST, "larger_than_burst"),
                AdmissionReason::Route(RouteRefusal::AllFull) => {
                    (Status::SERVICE_UNAVAILABLE, "endpoints_full")
                }
                AdmissionReason::Route(RouteRefusal::NoneServing) => {
                    (Status::SERVICE_UNAVAILABLE, "no_endpoint")
                }
            },
            RefusalReason::NotReady => (Status::SERVICE_UNAVAILABLE, "host_not_ready"),
            RefusalReason::Busy => (Status::SERVICE_UNAVAILABLE, "host_busy"),
            RefusalReason::Generation(GenerationFailure::Rejected) => {
                (Status::BAD_REQUEST, "rejected_by_engine")
            }
            RefusalReason::Generation(_) => (Status::BAD_GATEWAY, "engine_failed"),
            RefusalReason::Service(RunOutcome::NotRun) => {
                (Status::SERVICE_UNAVAILABLE, "service_unreachable")
            }
            RefusalReason::Service(RunOutcome::Unknown) => {
                (Status::GATEWAY_TIMEOUT, "service_answer_lost")
            }
            RefusalReason::RecordUnavailable => (Status::SERVICE_UNAVAILABLE, "record_unavailable"),
        }
    }

    /// Returns the delay after which a retry may succeed, if one may.
    fn retry_after(&self) -> Option<Duration> {
        match &self.reason {
            RefusalReason::Admission(refusal) => refusal.retry_after,
            RefusalReason::NotReady
            | RefusalReason::Busy
            | RefusalReason::RecordUnavailable
            | RefusalReason::Generation(
                GenerationFailure::NotRun | GenerationFailure::Interrupted,
            )
            | RefusalReason::Service(_) => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }
}

impl IntoResponse for EdgeRefusal {
    fn into_response(self) -> Response {
        let (status, _) = self.status_and_code();
        let outcome = match self.outcome() {
            RunOutcome::NotRun => "not-run",
            RunOutcome::Unknown => "unknown",
        };
        let mut response = Response::builder()
            .status(status)
            .content_type("application/json")
            .header(OUTCOME_HEADER, outcome)
            .body(Body::from_string(self.to_json()));
        if let Some(after) = self.retry_after() {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
