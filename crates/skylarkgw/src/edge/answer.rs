//! Refusals in the shape that OpenAI clients expect.

use std::time::Duration;

use poem::http::{HeaderValue, StatusCode, header};
use poem::{Body, IntoResponse, Response};
use serde::Serialize;
use thiserror::Error;

use crate::decision::host::{AdmissionReason, AdmissionRefusal};
use crate::decision::keys::KeyRefusal;
use crate::decision::routing::RouteRefusal;
use crate::endpoint::GenerationFailure;

/// Header that says whether a refused request may have run.
pub const OUTCOME_HEADER: &str = "skylark-outcome";
/// Header with the request's identifier.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const COME_BACK_SOON: Duration = Duration::from_secs(1);

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// The key is missing or not valid.
    #[error(transparent)]
    Key(#[from] KeyRefusal),
    /// The body is longer than the limit.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The body did not arrive in time or broke off.
    #[error("the body did not arrive whole in time")]
    BodyIncomplete,
    /// The body is not what the interface says.
    #[error("the body cannot be used: {0}")]
    BadBody(String),
    /// The key appears in a part of the request that is passed on.
    #[error("the key may only stand in the Authorization header")]
    KeyOutOfPlace,
    /// The idempotency key is too long or not printable.
    #[error("the idempotency key must be 1 to 255 printable ASCII characters")]
    BadIdempotencyKey,
    /// The idempotency key was used for another call.
    #[error("the idempotency key was used for another call")]
    IdempotencyKeyReused,
    /// No such model.
    #[error("the model '{0}' does not exist")]
    UnknownModel(String),
    /// No such route.
    #[error("there is nothing at this path")]
    NotFound,
    /// The method does not fit the path.
    #[error("this method is not supported here")]
    WrongMethod,
    /// The control thread refused.
    #[error("{}", .0.reason)]
    Admission(AdmissionRefusal),
    /// This host cannot tell whether keys are still valid, or is starting.
    #[error("this host is not ready")]
    NotReady,
    /// This host runs as many requests as it may.
    #[error("this host is busy")]
    Busy,
    /// Engines failed.
    #[error(transparent)]
    Generation(#[from] GenerationFailure),
    /// The service failed.
    #[error("the service did not answer")]
    Service(RunOutcome),
    /// The platform is needed for this call and cannot be reached.
    #[error("the call cannot be recorded now")]
    RecordUnavailable,
}

/// A refusal as the caller gets it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EdgeRefusal {
    reason: RefusalReason,
    earlier_call: bool,
}

impl From<RefusalReason> for EdgeRefusal {
    fn from(reason: RefusalReason) -> EdgeRefusal {
        EdgeRefusal { reason, earlier_call: false }
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
    /// Translates an error of the routing library.
    pub fn from_routing(error: &poem::Error) -> EdgeRefusal {
        let reason = match error.status() {
            StatusCode::METHOD_NOT_ALLOWED => RefusalReason::WrongMethod,
            _ => RefusalReason::NotFound,
        };
        EdgeRefusal { reason, earlier_call: false }
    }

    /// Notes that an earlier call under the same idempotency key may have run.
    pub fn after_earlier_call(self) -> EdgeRefusal {
        EdgeRefusal { earlier_call: true, ..self }
    }

    /// Returns the label of this refusal in metrics and in the error's `code`.
    pub fn code(&self) -> &'static str {
        self.parts().1
    }

    /// Returns whether the request may have run.
    pub fn outcome(&self) -> RunOutcome {
        match &self.reason {
            _ if self.earlier_call => RunOutcome::Unknown,
            RefusalReason::Service(outcome) => *outcome,
            RefusalReason::Generation(GenerationFailure::Interrupted) => RunOutcome::Unknown,
            _ => RunOutcome::NotRun,
        }
    }

    /// Returns the error's JSON, as it also stands in a broken stream.
    pub fn body(&self) -> String {
        let (status, code) = self.parts();
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

    fn parts(&self) -> (StatusCode, &'static str) {
        use StatusCode as Status;
        match &self.reason {
            RefusalReason::Key(KeyRefusal::Missing) => (Status::UNAUTHORIZED, "missing_api_key"),
            RefusalReason::Key(KeyRefusal::Invalid) => (Status::UNAUTHORIZED, "invalid_api_key"),
            RefusalReason::BodyTooLarge(_) => (Status::PAYLOAD_TOO_LARGE, "body_too_large"),
            RefusalReason::BodyIncomplete => (Status::REQUEST_TIMEOUT, "body_incomplete"),
            RefusalReason::BadBody(_) => (Status::BAD_REQUEST, "bad_body"),
            RefusalReason::KeyOutOfPlace => (Status::BAD_REQUEST, "key_out_of_place"),
            RefusalReason::BadIdempotencyKey => (Status::BAD_REQUEST, "bad_idempotency_key"),
            RefusalReason::IdempotencyKeyReused => {
                (Status::UNPROCESSABLE_ENTITY, "idempotency_key_reused")
            }
            RefusalReason::UnknownModel(_) => (Status::NOT_FOUND, "model_not_found"),
            RefusalReason::NotFound => (Status::NOT_FOUND, "not_found"),
            RefusalReason::WrongMethod => (Status::METHOD_NOT_ALLOWED, "method_not_allowed"),
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

    /// Returns when to come back, where waiting helps.
    fn retry_after(&self) -> Option<Duration> {
        match &self.reason {
            RefusalReason::Admission(refusal) => refusal.retry_after,
            RefusalReason::NotReady
            | RefusalReason::Busy
            | RefusalReason::RecordUnavailable
            | RefusalReason::Generation(
                GenerationFailure::NotRun | GenerationFailure::Interrupted,
            )
            | RefusalReason::Service(_) => Some(COME_BACK_SOON),
            _ => None,
        }
    }
}

impl IntoResponse for EdgeRefusal {
    fn into_response(self) -> Response {
        let (status, _) = self.parts();
        let outcome = match self.outcome() {
            RunOutcome::NotRun => "not-run",
            RunOutcome::Unknown => "unknown",
        };
        let mut response = Response::builder()
            .status(status)
            .content_type("application/json")
            .header(OUTCOME_HEADER, outcome)
            .body(Body::from_string(self.body()));
        if let Some(after) = self.retry_after() {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
