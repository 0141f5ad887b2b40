//! Answers of the gateway's own.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};

use crate::edge::forward::AnswerBody;
use crate::edge::forward::record::{RequestEnd, RequestRecord};

/// Why a request gets no endpoint's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No declaration is known, or it is too old to judge by.
    NoDeclaration,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// Withdrawn keys may not be known here.
    StaleKeys,
    /// The head is not a request that can be forwarded.
    BadRequest,
    /// The body is longer than the limit.
    BodyTooLong,
    /// The body did not arrive.
    BodyBroken,
    /// The workspace has used its quota.
    OverQuota,
    /// No engine holds the model.
    NoEngine,
    /// No engine that holds the model has room for the adapter now.
    NoAdapter,
    /// All engines are full for longer than the caller waits.
    Overloaded,
    /// Engines refused the request, which has not run.
    NotRun,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// An engine may have run the request and gave no whole answer.
    NoAnswer,
    /// The deadline passed while an engine may have run the request.
    AnswerTimeout,
}

impl RefusalReason {
    /// Returns the name in logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            RefusalReason::NoDeclaration => "no-declaration",
            RefusalReason::NoRoute => "no-route",
            RefusalReason::UnknownKey => "unknown-key",
            RefusalReason::StaleKeys => "stale-keys",
            RefusalReason::BadRequest => "bad-request",
            RefusalReason::BodyTooLong => "body-too-long",
            RefusalReason::BodyBroken => "body-broken",
            RefusalReason::OverQuota => "over-quota",
            RefusalReason::NoEngine => "no-engine",
            RefusalReason::NoAdapter => "no-adapter",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::NotRun => "not-run",
            RefusalReason::DeadlinePassed => "deadline-passed",
            RefusalReason::NoAnswer => "no-answer",
            RefusalReason::AnswerTimeout => "answer-timeout",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            RefusalReason::NoDeclaration
            | RefusalReason::StaleKeys
            | RefusalReason::NoEngine
            | RefusalReason::NoAdapter
            | RefusalReason::Overloaded
            | RefusalReason::NotRun
            | RefusalReason::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
            RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
            RefusalReason::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BodyBroken => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::NoAnswer => StatusCode::BAD_GATEWAY,
            RefusalReason::AnswerTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the request has certainly not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, RefusalReason::NoAnswer | RefusalReason::AnswerTimeout)
    }
}

/// A request that is refused, with the time after which it may come again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come again, where that is known.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Creates a refusal without a time to come again.
    pub fn new(reason: RefusalReason) -> RequestRefusal {
        RequestRefusal { reason, retry_after: None }
    }

    /// Creates a refusal with a time to come again.
    pub fn after(reason: RefusalReason, retry_after: Duration) -> RequestRefusal {
        RequestRefusal { reason, retry_after: Some(retry_after) }
    }

    /// Builds the answer and closes the record.
    pub fn answer(self, mut record: RequestRecord) -> Response<AnswerBody> {
        let status = self.reason.status();
        record.status = status.as_u16();
        record.reason = self.reason.label();
        record.retry_after = self.retry_after;
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
