//! Sends a request to engines and judges what comes back.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName};
use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::decision::retry_budget::RetryBudget;
use crate::edge::forward::accept::AdmittedRequest;
use crate::edge::forward::place::{ChosenEngine, choose};
use crate::edge::forward::record::{RequestEnd, RequestRecord, TryRecord};
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::edge::forward::relay::{StreamRelay, relay_stream};
use crate::edge::forward::{AnswerAbort, AnswerBody};
use crate::endpoint::HttpLink;
use crate::gateway::clock::boot_time;
use crate::gateway::declaration::RepeatRule;
use crate::gateway::registry::EngineEntry;
use crate::gateway::state::GatewayState;
use crate::gateway::wire::{AnswerMark, EngineHeader};

/// Longest answer that is no event stream, in bytes: it is held until it is
/// whole, and a longer one counts as broken.
const WHOLE_LIMIT: usize = 8 * 1024 * 1024;
/// Time for a connection to an engine.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection for a request that can be repeated.
const REPEATABLE_IDLE: Duration = Duration::from_secs(10);
/// Longest idle time of a connection for one that cannot.
const ONCE_IDLE: Duration = Duration::from_millis(1_500);
/// Sendings of one request at most, refused ones included.
const SEND_LIMIT: usize = 3;
/// Multiple of the objective after which a repeatable request that is not
/// answered goes to another engine.
const SILENCE_FACTOR: u32 = 4;
/// Shortest such time.
const SILENCE_LEAST: Duration = Duration::from_millis(900);
/// Time to come again after engines have refused.
const NOT_RUN_RETRY: Duration = Duration::from_millis(500);

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Counts a request at an engine until it is dropped.
pub struct EngineUse {
    state: Arc<GatewayState>,
    /// The engine.
    pub entry: Arc<EngineEntry>,
}

impl EngineUse {
    fn new(state: &Arc<GatewayState>, entry: Arc<EngineEntry>) -> EngineUse {
        state.traffic().begin(&entry.id);
        EngineUse { state: state.clone(), entry }
    }
}

impl Drop for EngineUse {
    fn drop(&mut self) {
        self.state.traffic().end(&self.entry.id);
    }
}

/// An answer whose body is still to be read.
pub struct OpenAnswer {
    /// Status and headers.
    pub parts: Parts,
    /// What the headers say.
    pub mark: AnswerMark,
    /// Body.
    pub body: Incoming,
    /// Connection that it arrives on.
    pub link: HttpLink,
    /// Counts the request at the engine.
    pub engine: EngineUse,
}

/// What became of one sending.
pub enum TryOutcome {
    /// The engine has certainly not run the request.
    NotRun(&'static str),
    /// The engine may have run it, and no answer came.
    MayHaveRun(&'static str),
    /// The head of an answer came.
    Answered(Box<OpenAnswer>),
}

/// Serves an admitted request until its answer is whole or its stream begins.
///
/// # Errors
///
/// [`AnswerAbort`] closes the caller's connection.
pub async fn serve_admitted(
    mut admitted: AdmittedRequest,
    mut record: RequestRecord,
) -> Result<Response<AnswerBody>, AnswerAbort> {
    let mut tried = HashSet::new();
    let mut runs = 0;
    let mut last_failure: Option<(Parts, Bytes)> = None;
    let mut refusal = RequestRefusal::after(RefusalReason::NotRun, NOT_RUN_RETRY);
    while record.tries.len() < SEND_LIMIT {
        if Instant::now() >= admitted.deadline {
            refusal = RequestRefusal::new(RefusalReason::DeadlinePassed);
            break;
        }
        let chosen = match choose(&admitted, &tried).await {
            Ok(chosen) => chosen,
            Err(reason) => {
                if record.tries.is_empty() {
                    refusal = reason;
                }
                break;
            }
        };
        if !spend_budget(&admitted, record.tries.len()) {
            break;
        }
        tried.insert(chosen.entry.id.clone());
        admitted.quota.settle();
        let outcome = send_once(&admitted, &chosen, None, &mut record).await;
        let open = match outcome {
            TryOutcome::NotRun(_) => continue,
            TryOutcome::MayHaveRun(label) => {
                runs += 1;
                if may_run_again(&admitted, runs) {
                    continue;
                }
                record.reason = label;
                refusal = no_answer(&admitted);
                break;
            }
            TryOutcome::Answered(open) => *open,
        };
        runs += 1;
        if admitted.route.is_stream && open.parts.status.is_success() {
            return Ok(relay_stream(StreamRelay::new(admitted, open, tried, runs, record)));
        }
        match read_whole(&admitted, open, &mut record).await {
            WholeOutcome::Whole(parts, body) => {
                let may_repeat = may_run_again(&admitted, runs);
                if parts.status.is_server_error() && may_repeat {
                    last_failure = Some((parts, body));
                    continue;
                }
                return Ok(whole_answer(parts, body, record));
            }
            WholeOutcome::Broken => {
                if may_run_again(&admitted, runs) {
                    continue;
                }
                refusal = no_answer(&admitted);
                break;
            }
        }
    }
    if let Some((parts, body)) = last_failure {
        return Ok(whole_answer(parts, body, record));
    }
    if runs > 0 && refusal.reason.is_not_run() {
        refusal = RequestRefusal::new(RefusalReason::NoAnswer);
    }
    Ok(refusal.answer(record))
}

/// Returns whether the request may run on one engine more than on `runs`.
pub fn may_run_again(admitted: &AdmittedRequest, runs: u32) -> bool {
    let is_repeatable = admitted.route.repeat != RepeatRule::AtMostOnce;
    let has_time = Instant::now() < admitted.deadline;
    is_repeatable && has_time && runs < admitted.route.attempt_limit
}

/// Returns the refusal of a request that may have run without a whole answer.
fn no_answer(admitted: &AdmittedRequest) -> RequestRefusal {
    let has_time = Instant::now() < admitted.deadline;
    let reason = if has_time { RefusalReason::NoAnswer } else { RefusalReason::AnswerTimeout };
    RequestRefusal::new(reason)
}

/// Takes a repeat from the budget, or notes the first sending.
pub fn spend_budget(admitted: &AdmittedRequest, sent: usize) -> bool {
    let bounds = &admitted.state.settings.bounds;
    let hosts = admitted.state.host_count();
    let make = || RetryBudget::new(bounds.retry_ratio, bounds.retry_slack, hosts);
    let mut traffic = admitted.state.traffic();
    let budget = traffic.budget(&admitted.service, make);
    budget.set_host_count(bounds.retry_slack, hosts);
    if sent == 0 {
        budget.record_request();
        return true;
    }
    budget.try_spend()
}

/// Sends a request to one engine and waits for the head of the answer.
pub async fn send_once(
    admitted: &AdmittedRequest,
    chosen: &ChosenEngine,
    resume_after: Option<&str>,
    record: &mut RequestRecord,
) -> TryOutcome {
    let engine = EngineUse::new(&admitted.state, chosen.entry.clone());
    if let Some(target) = &admitted.header.target
        && let Some(adapter) = &target.adapter
    {
        admitted.state.traffic().note_adapter(&chosen.entry.id, &target.model, adapter);
    }
    record.tries.push(TryRecord {
        engine: chosen.entry.id.clone(),
        running: chosen.running,
        wait_ms: chosen.wait_ms,
        outcome: "cancelled",
    });
    let outcome = send_request(admitted, engine, resume_after).await;
    let (label, failed) = match &outcome {
        TryOutcome::NotRun(label) => (*label, *label != "refused"),
        TryOutcome::MayHaveRun(label) => (*label, true),
        TryOutcome::Answered(open) => {
            let failed = open.parts.status.is_server_error();
            (if failed { "failed" } else { "answered" }, failed)
        }
    };
    admitted.state.traffic().note_outcome(boot_time(), &chosen.entry.id, failed);
    if let Some(last) = record.tries.last_mut() {
        last.outcome = label;
    }
    outcome
}

async fn send_request(
    admitted: &AdmittedRequest,
    engine: EngineUse,
    resume_after: Option<&str>,
) -> TryOutcome {
    let state = &admitted.state;
    let address = engine.entry.address;
    let once = admitted.route.repeat == RepeatRule::AtMostOnce;
    let freshest = if once { ONCE_IDLE } else { REPEATABLE_IDLE };
    let left = admitted.deadline.saturating_duration_since(Instant::now());
    let mut link = match state.pool.take(address, freshest, CONNECT_LIMIT.min(left)).await {
        Ok(link) => link,
        Err(error) => return TryOutcome::NotRun(error.label()),
    };
    let request = engine_request(admitted, &engine.entry, resume_after);
    let wait = answer_limit(admitted);
    let response = match timeout_at(wait, link.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_unsent() => return TryOutcome::NotRun(error.label()),
        Ok(Err(error)) => return TryOutcome::MayHaveRun(error.label()),
        Err(_) => return TryOutcome::MayHaveRun("silent"),
    };
    let (parts, body) = response.into_parts();
    let mark = (state.codec.decode_answer)(parts.status, &parts.headers);
    if mark.request.is_some() && mark.request != admitted.header.id {
        return TryOutcome::MayHaveRun("other-answer");
    }
    if mark.not_run {
        return TryOutcome::NotRun("refused");
    }
    if mark.request.is_none() || (parts.status.is_success() && !mark.is_signed) {
        return TryOutcome::MayHaveRun("unsigned");
    }
    TryOutcome::Answered(Box::new(OpenAnswer { parts, mark, body, link, engine }))
}

/// Returns when a sending is given up.
fn answer_limit(admitted: &AdmittedRequest) -> Instant {
    if admitted.route.repeat != RepeatRule::Repeatable {
        return admitted.deadline;
    }
    let silence = (admitted.route.latency_objective * SILENCE_FACTOR).max(SILENCE_LEAST);
    admitted.deadline.min(Instant::now() + silence)
}

fn engine_request(
    admitted: &AdmittedRequest,
    entry: &EngineEntry,
    resume_after: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut headers = admitted.parts.headers.clone();
    remove_hop_headers(&mut headers);
    headers.remove(header::EXPECT);
    let workspace = admitted.workspace.as_ref();
    let rank = workspace.and_then(|workspace| workspace.rank).unwrap_or(admitted.route.rank);
    let engine_header = EngineHeader {
        time_left: admitted.deadline.saturating_duration_since(Instant::now()),
        engine: &entry.id,
        workspace: workspace.map(|workspace| &*workspace.name),
        urgency: admitted.header.target.as_ref().map(|_| urgency(admitted, rank)),
        resume_after,
    };
    (admitted.state.codec.encode_engine)(&mut headers, &engine_header);
    if headers.contains_key(header::CONTENT_LENGTH) || !admitted.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, admitted.body.len().into());
    }
    let path = admitted.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(admitted.body.clone()));
    *request.method_mut() = admitted.parts.method.clone();
    *request.headers_mut() = headers;
    // The path comes from a URI that was parsed before.
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    request
}

/// Returns the urgency at an engine: rank first, then how soon the first event
/// is due.
fn urgency(admitted: &AdmittedRequest, rank: u8) -> u8 {
    let deferrable = admitted.route.latency_objective >= Duration::from_millis(1_500);
    (rank.min(3) * 2 + if deferrable { 3 } else { 1 }).min(9)
}

/// Returns whether the engine closes the connection after its answer.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(header::CONNECTION).iter();
    values.any(|value| value.to_str().is_ok_and(|value| value.eq_ignore_ascii_case("close")))
}

/// Removes headers that concern one connection, those named there included.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

enum WholeOutcome {
    Whole(Parts, Bytes),
    Broken,
}

async fn read_whole(
    admitted: &AdmittedRequest,
    open: OpenAnswer,
    record: &mut RequestRecord,
) -> WholeOutcome {
    let OpenAnswer { parts, mark, body, link, engine } = open;
    let read = timeout_at(admitted.deadline, Limited::new(body, WHOLE_LIMIT).collect()).await;
    match read {
        Ok(Ok(body)) => {
            record.note_first();
            let keeps =
                !parts.headers.get_all(header::CONNECTION).iter().any(|value| {
                    value.to_str().is_ok_and(|value| value.eq_ignore_ascii_case("close"))
                });
            if keeps {
                admitted.state.pool.give_back(engine.entry.address, link, mark.idle_limit);
            }
            WholeOutcome::Whole(parts, body.to_bytes())
        }
        Ok(Err(_)) | Err(_) => {
            admitted.state.traffic().note_outcome(boot_time(), &engine.entry.id, true);
            if let Some(last) = record.tries.last_mut() {
                last.outcome = "broke-off";
            }
            WholeOutcome::Broken
        }
    }
}

fn whole_answer(mut parts: Parts, body: Bytes, mut record: RequestRecord) -> Response<AnswerBody> {
    remove_hop_headers(&mut parts.headers);
    record.status = parts.status.as_u16();
    record.finish(RequestEnd::Answered);
    drop(record);
    if parts.status != StatusCode::NO_CONTENT {
        parts.headers.insert(header::CONTENT_LENGTH, body.len().into());
    }
    Response::from_parts(parts, Full::new(body).map_err(|never| match never {}).boxed_unsync())
}
