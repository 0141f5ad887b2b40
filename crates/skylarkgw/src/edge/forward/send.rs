//! Sends a request to engines, evaluates the responses and retries where allowed.

mod attempts;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderName};
use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::decision::dispatch::retry_budget::RetryBudget;
use crate::decision::engine_statements::AnswerStatement;
use crate::decision::prompt_evidence::AnswerProgress;
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::crash::examine_interruption;
use crate::edge::forward::record::{RequestEnd, RequestRecord};
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::edge::forward::relay::{StreamRelay, relay_stream};
use crate::edge::forward::select::{SelectedEngine, select_engine};
use crate::edge::forward::send::attempts::{OpenAttempt, send_repeatable};
use crate::edge::forward::{ResponseAborted, ResponseBody};
use crate::endpoint::{HttpConnection, SegmentBody, SegmentedBytes};
use crate::gateway::clock::time_since_boot;
use crate::gateway::declaration::RetryPolicy;
use crate::gateway::registry::EngineEntry;
use crate::gateway::state::GatewayState;
use crate::gateway::wire::{EngineHeaders, ResponseMetadata};

pub use attempts::send_once;

/// Maximum size of a response body that is not an event stream. It is held until it
/// is complete; a longer one is treated as incomplete, as is one that exceeds the
/// memory for all held bodies.
const MAX_WHOLE_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time limit for opening a connection to an engine.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a pooled connection that is used for a request that may be
/// repeated or resumed.
const REPEATABLE_MAX_IDLE: Duration = Duration::from_secs(10);
/// Longest idle time of a pooled connection that is used for a request that must
/// not be repeated.
const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// Maximum number of attempts per request, including refused ones.
const MAX_ATTEMPTS: usize = 3;
/// Retry delay reported to the client after every attempt failed before the request
/// was executed.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Label of an attempt that was not sent, because its engine has stated since its
/// selection that it takes no request.
const WITHDRAWN: &str = "withdrawn";
/// Statuses by which clients learn that a request was not executed and never will be.
const PROMISE_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Counts a request as running at an engine until the guard is dropped.
pub struct EngineRequestGuard {
    state: Arc<GatewayState>,
    /// Registry entry of the engine.
    pub entry: Arc<EngineEntry>,
}

impl EngineRequestGuard {
    fn new(state: &Arc<GatewayState>, entry: Arc<EngineEntry>) -> EngineRequestGuard {
        state.lock_traffic().begin_request(&entry.id);
        EngineRequestGuard { state: state.clone(), entry }
    }
}

impl Drop for EngineRequestGuard {
    fn drop(&mut self) {
        self.state.lock_traffic().end_request(&self.entry.id);
    }
}

/// A response whose body has not been read yet.
pub struct PendingResponse {
    /// Index of its attempt in the record of the request.
    pub attempt: usize,
    /// Status and headers of the response.
    pub parts: Parts,
    /// Fields decoded from the headers.
    pub info: ResponseMetadata,
    /// Unread body.
    pub body: Incoming,
    /// Connection on which the response arrives.
    pub connection: HttpConnection,
    /// Guard that counts the request as running at the engine.
    pub engine: EngineRequestGuard,
}

/// How one attempt is made.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTerms<'a> {
    /// Identifier of the last event that was relayed to the client, if a stream is
    /// resumed.
    pub resume_after: Option<&'a str>,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
}

impl Default for AttemptTerms<'_> {
    fn default() -> Self {
        AttemptTerms { resume_after: None, connect_timeout: CONNECT_TIMEOUT }
    }
}

/// Outcome of one attempt.
pub enum AttemptOutcome {
    /// The engine has certainly not executed the request; holds the label of the
    /// cause.
    NotRun(&'static str),
    /// The engine may have executed the request, but there is no usable response;
    /// holds the label of the cause.
    MayHaveRun(&'static str),
    /// The response head has arrived.
    Answered(Box<PendingResponse>),
}

impl AttemptOutcome {
    /// Returns whether the engine may have executed the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, AttemptOutcome::NotRun(_))
    }
}

/// Serves an admitted request until its response is complete or its stream begins.
///
/// # Errors
///
/// None at present. The body of a stream ends with [`ResponseAborted`] if the
/// stream is interrupted and cannot be resumed.
pub async fn serve_admitted(
    mut admitted: AdmittedRequest,
    mut record: RequestRecord,
) -> Result<Response<ResponseBody>, ResponseAborted> {
    let mut tried = HashSet::new();
    let mut runs = 0;
    let mut last_failure: Option<(Parts, SegmentedBytes)> = None;
    let mut refusal = RequestRefusal::with_retry_after(RefusalReason::NotRun, NOT_RUN_RETRY_AFTER);
    while record.attempts.len() < MAX_ATTEMPTS {
        if Instant::now() >= admitted.deadline {
            refusal = RequestRefusal::new(RefusalReason::DeadlinePassed);
            break;
        }
        let selected = match select_engine(&admitted, &tried).await {
            Ok(selected) => selected,
            Err(reason) => {
                let is_turned_away = reason.reason == RefusalReason::TurnedAway;
                if record.attempts.is_empty() || is_turned_away {
                    refusal = reason;
                }
                break;
            }
        };
        if let Some(retry_after) = begin_attempt(&admitted) {
            refusal = RequestRefusal::with_retry_after(RefusalReason::PromptRefused, retry_after);
            break;
        }
        if !spend_retry_budget(&admitted, record.attempts.len()) {
            break;
        }
        admitted.quota.commit();
        let outcome = if admitted.route.repeat == RetryPolicy::Repeatable {
            send_repeatable(&admitted, selected, &mut tried, &mut runs, &mut record).await
        } else {
            tried.insert(selected.entry.id.clone());
            let terms = AttemptTerms::default();
            let outcome = send_once(&admitted, &selected, terms, &mut record).await;
            runs += u32::from(outcome.may_have_run());
            outcome
        };
        let pending = match outcome {
            AttemptOutcome::NotRun(_) => continue,
            AttemptOutcome::MayHaveRun(label) => {
                if may_run_again(&admitted, runs) {
                    continue;
                }
                record.reason = label;
                refusal = refuse_without_response(&admitted);
                break;
            }
            AttemptOutcome::Answered(pending) => *pending,
        };
        if admitted.route.is_stream && pending.parts.status.is_success() {
            return Ok(relay_stream(StreamRelay::new(admitted, pending, tried, runs, record)));
        }
        match read_whole_body(&admitted, pending, &mut record).await {
            BodyOutcome::Complete(parts, body) => {
                let may_repeat = may_run_again(&admitted, runs);
                if parts.status.is_server_error() && may_repeat {
                    last_failure = Some((parts, body));
                    continue;
                }
                return Ok(build_whole_response(parts, body, record));
            }
            BodyOutcome::Incomplete { is_suspect } => {
                if !is_suspect && may_run_again(&admitted, runs) {
                    continue;
                }
                refusal = refuse_without_response(&admitted);
                break;
            }
        }
    }
    if let Some((parts, body)) = last_failure {
        return Ok(build_whole_response(parts, body, record));
    }
    if runs > 0 && refusal.reason.is_not_run() {
        refusal = RequestRefusal::new(RefusalReason::NoResponse);
    }
    Ok(refusal.into_response(record))
}

/// Returns whether a request that may have been executed `runs` times may be sent
/// to another engine.
pub fn may_run_again(admitted: &AdmittedRequest, runs: u32) -> bool {
    let is_repeatable = admitted.route.repeat != RetryPolicy::AtMostOnce;
    let has_time = Instant::now() < admitted.deadline && !*admitted.state.process_end.borrow();
    is_repeatable && has_time && runs < admitted.route.attempt_limit
}

/// Returns the retry delay if the request must not be sent to an engine now, because of
/// a part of its prompt.
pub fn begin_attempt(admitted: &AdmittedRequest) -> Option<Duration> {
    if admitted.shared_parts.is_empty() {
        return None;
    }
    admitted.state.lock_prompt_guard().begin_attempt(time_since_boot(), &admitted.shared_parts)
}

/// Returns the refusal of a request that may have been executed, but for which
/// there is no complete response.
fn refuse_without_response(admitted: &AdmittedRequest) -> RequestRefusal {
    let has_time = Instant::now() < admitted.deadline;
    let reason = if has_time { RefusalReason::NoResponse } else { RefusalReason::ResponseTimeout };
    RequestRefusal::new(reason)
}

/// Spends one retry of the budget and returns whether there was one.
///
/// The first attempt, with `sent` equal to 0, is always allowed and adds to the
/// budget.
pub fn spend_retry_budget(admitted: &AdmittedRequest, sent: usize) -> bool {
    let bounds = &admitted.state.settings.bounds;
    let hosts = admitted.state.host_count();
    let create_budget = || RetryBudget::new(bounds.retry_ratio, bounds.retry_slack, hosts);
    let mut traffic = admitted.state.lock_traffic();
    let budget = traffic.retry_budget(&admitted.service, create_budget);
    budget.set_host_count(bounds.retry_slack, hosts);
    if sent == 0 {
        budget.record_request();
        return true;
    }
    budget.try_spend()
}

/// Sends a request and waits for the response head.
///
/// If an earlier attempt went to the same address, a refusal may belong to that one, so it
/// does not prove that this one was not executed.
async fn send_request(
    admitted: &AdmittedRequest,
    selected: &SelectedEngine,
    engine: EngineRequestGuard,
    terms: AttemptTerms<'_>,
    attempt: &OpenAttempt,
) -> AttemptOutcome {
    let state = &admitted.state;
    let address = engine.entry.address;
    let at_most_once = admitted.route.repeat == RetryPolicy::AtMostOnce;
    let max_idle = if at_most_once { AT_MOST_ONCE_MAX_IDLE } else { REPEATABLE_MAX_IDLE };
    let time_left = admitted.deadline.saturating_duration_since(Instant::now());
    let mut connection =
        match state.pool.acquire(address, max_idle, terms.connect_timeout.min(time_left)).await {
            Ok((connection, is_reused)) => {
                state.metrics.fleet.count_connection(is_reused);
                connection
            }
            Err(error) => return AttemptOutcome::NotRun(error.label()),
        };
    if selected.is_withdrawn(state) {
        return AttemptOutcome::NotRun(WITHDRAWN);
    }
    let request = build_engine_request(admitted, &engine.entry, terms.resume_after);
    let response = match state.wait_until(admitted.deadline, connection.send(request)).await {
        Some(Ok(response)) => response,
        Some(Err(error)) if error.is_unsent() => return AttemptOutcome::NotRun(error.label()),
        Some(Err(error)) => return AttemptOutcome::MayHaveRun(error.label()),
        None => return AttemptOutcome::MayHaveRun("silent"),
    };
    let (parts, body) = response.into_parts();
    let info = (state.codec.decode_response_headers)(parts.status, &parts.headers);
    if info.request_id.is_none() {
        return AttemptOutcome::MayHaveRun("unnamed-answer");
    }
    if info.request_id != admitted.header.request_id {
        return AttemptOutcome::MayHaveRun("other-answer");
    }
    record_statement(admitted, &engine.entry, &info.statement, parts.status.is_success());
    if info.is_not_executed {
        return if attempt.is_resent {
            AttemptOutcome::MayHaveRun("repeated-refusal")
        } else {
            AttemptOutcome::NotRun("refused")
        };
    }
    if PROMISE_STATUSES.contains(&parts.status) {
        return AttemptOutcome::MayHaveRun("unmarked-refusal");
    }
    if parts.status.is_success() && !info.is_signed {
        return AttemptOutcome::MayHaveRun("unsigned");
    }
    let attempt = attempt.index;
    let pending = PendingResponse { attempt, parts, info, body, connection, engine };
    AttemptOutcome::Answered(Box::new(pending))
}

/// Records what an engine states about itself in an answer, and logs a change.
fn record_statement(
    admitted: &AdmittedRequest,
    entry: &EngineEntry,
    statement: &AnswerStatement,
    is_success: bool,
) {
    let now = time_since_boot();
    let has_changed = admitted.state.lock_engine_statements().record_answer(
        now,
        &entry.id,
        entry.started_ms,
        statement,
        is_success,
    );
    if has_changed {
        admitted.state.log_statement_events();
    }
}

/// Builds the request to an engine from the request of the client.
fn build_engine_request(
    admitted: &AdmittedRequest,
    entry: &EngineEntry,
    resume_after: Option<&str>,
) -> Request<SegmentBody> {
    let mut headers = admitted.parts.headers.clone();
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(header::EXPECT);
    let workspace = admitted.workspace.as_ref();
    let rank = workspace.and_then(|workspace| workspace.rank).unwrap_or(admitted.route.rank);
    let engine_header = EngineHeaders {
        time_left: admitted.deadline.saturating_duration_since(Instant::now()),
        engine: &entry.id,
        workspace: workspace.map(|workspace| &*workspace.name),
        urgency: admitted.header.target.as_ref().map(|_| compute_urgency(admitted, rank)),
        resume_after,
    };
    (admitted.state.codec.set_engine_headers)(&mut headers, &engine_header);
    if headers.contains_key(header::CONTENT_LENGTH) || !admitted.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, admitted.body.len().into());
    }
    let path = admitted.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(SegmentBody::from(admitted.body.clone()));
    *request.method_mut() = admitted.parts.method.clone();
    *request.headers_mut() = headers;
    // This cannot fail, as the path is taken from a parsed URI.
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    request
}

/// Computes the urgency of a request at its engine, from 1 (most urgent) to 9.
///
/// Each step of the rank, up to 3, adds 2. A latency objective of 1.5 s or more adds
/// 2 as well, because the first event is not due so soon.
fn compute_urgency(admitted: &AdmittedRequest, rank: u8) -> u8 {
    let is_deferrable = admitted.route.latency_objective >= Duration::from_millis(1_500);
    (rank.min(3) * 2 + if is_deferrable { 3 } else { 1 }).min(9)
}

/// Returns whether the engine closes the connection after its response.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values.filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Removes the hop-by-hop headers, including those named in the `Connection`
/// header.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Outcome of reading a response body.
enum BodyOutcome {
    Complete(Parts, SegmentedBytes),
    Incomplete {
        /// Whether the request must not be sent to another engine, because it may have
        /// ended this one.
        is_suspect: bool,
    },
}

/// Reads a response body completely and returns the connection to the pool.
async fn read_whole_body(
    admitted: &AdmittedRequest,
    pending: PendingResponse,
    record: &mut RequestRecord,
) -> BodyOutcome {
    let PendingResponse { attempt, parts, info, mut body, connection, engine } = pending;
    let state = &admitted.state;
    let mut held = state.held_bodies.hold_body();
    let eviction = held.eviction();
    let read = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err("broke-off") };
            let is_held =
                frame.data_ref().is_none_or(|part| held.try_extend(part, MAX_WHOLE_BODY_BYTES));
            if !is_held {
                return Err("body-too-long");
            }
            state.held_bodies.settle().await;
        }
        Ok(())
    };
    let read = state.wait_until(admitted.deadline, async {
        tokio::select! {
            result = read => result,
            () = eviction => Err("body-evicted"),
        }
    });
    let read = read.await.unwrap_or(Err("body-silent"));
    match read.and_then(|()| held.into_bytes().ok_or("body-evicted")) {
        Ok(body) => {
            record.record_first_event();
            if let Some(attempt) = record.attempts.get_mut(attempt) {
                attempt.progress = AnswerProgress::Streaming;
            }
            if parts.status.is_success() {
                let now = time_since_boot();
                state.lock_service_log().record_served_attempt(now, &engine.entry.id);
                state.lock_prompt_guard().record_answer(time_since_boot(), &admitted.shared_parts);
            }
            if !closes_connection(&parts.headers) {
                state.pool.release(engine.entry.address, connection, info.idle_limit);
            }
            BodyOutcome::Complete(parts, body)
        }
        Err(label) => {
            let now = time_since_boot();
            state.lock_traffic().record_outcome(now, &engine.entry.id, true);
            state.lock_service_log().record_failed_attempt(now, &engine.entry.id, false);
            if let Some(attempt) = record.attempts.get_mut(attempt) {
                attempt.outcome = label;
            }
            let is_suspect =
                examine_interruption(admitted, &engine.entry, AnswerProgress::Begun).await;
            BodyOutcome::Incomplete { is_suspect }
        }
    }
}

/// Builds the response to the client from a complete response of an engine.
fn build_whole_response(
    mut parts: Parts,
    body: SegmentedBytes,
    mut record: RequestRecord,
) -> Response<ResponseBody> {
    remove_hop_by_hop_headers(&mut parts.headers);
    record.status = parts.status.as_u16();
    record.finish(RequestEnd::Answered);
    drop(record);
    if parts.status != StatusCode::NO_CONTENT {
        parts.headers.insert(header::CONTENT_LENGTH, body.len().into());
    }
    let body = SegmentBody::from(body).map_err(|never| match never {}).boxed_unsync();
    Response::from_parts(parts, body)
}
