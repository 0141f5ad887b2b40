//! Attempts to send a request to an engine, and the records of their outcomes.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, timeout};

use crate::decision::prompt_evidence::AnswerProgress;
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::crash::examine_interruption;
use crate::edge::forward::pace::{find_hedge_delay, record_answer_pace};
use crate::edge::forward::record::{AttemptRecord, RequestRecord};
use crate::edge::forward::select::{SelectedEngine, select_engine};
use crate::edge::forward::send::{
    AttemptOutcome, AttemptTerms, EngineRequestGuard, MAX_ATTEMPTS, WITHDRAWN, begin_attempt,
    may_run_again, send_request, spend_retry_budget,
};
use crate::gateway::clock::time_since_boot;
use crate::gateway::registry::EngineEntry;
use crate::ids::EndpointId;

/// Multiple of the latency objective after which a repeatable request without a
/// response is also sent to another engine.
const RESPONSE_TIMEOUT_FACTOR: u32 = 4;
/// Lower limit of the time after which such a request is also sent to another engine.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// An attempt whose response is awaited.
#[derive(Clone, Debug)]
pub struct OpenAttempt {
    /// Index in the record of the request.
    pub index: usize,
    /// Whether an earlier attempt went to the same address.
    pub is_resent: bool,
    entry: Arc<EngineEntry>,
    started: Instant,
}

impl OpenAttempt {
    /// Adds an attempt to the record of its request, and counts it at its engine.
    fn open(
        admitted: &AdmittedRequest,
        selected: &SelectedEngine,
        record: &mut RequestRecord,
    ) -> (OpenAttempt, EngineRequestGuard) {
        let state = &admitted.state;
        let engine = EngineRequestGuard::new(state, selected.entry.clone());
        if let Some(target) = &admitted.header.target
            && let Some(adapter) = &target.adapter
        {
            let mut traffic = state.lock_traffic();
            traffic.record_adapter_use(&selected.entry.id, &target.model, adapter);
        }
        let statement = state.find_statement(&selected.entry);
        if statement.limit.is_some() {
            state.metrics.fleet.count_limited_request();
        }
        let address = selected.entry.address;
        let attempt = OpenAttempt {
            index: record.attempts.len(),
            is_resent: record.attempts.iter().any(|attempt| attempt.address == address),
            entry: selected.entry.clone(),
            started: Instant::now(),
        };
        record.attempts.push(AttemptRecord {
            engine: selected.entry.id.clone(),
            address,
            sent_at: attempt.started,
            running: selected.running,
            wait_ms: selected.wait_ms,
            outcome: "cancelled",
            progress: AnswerProgress::Waiting,
            statement,
        });
        (attempt, engine)
    }

    /// Records the outcome of the attempt.
    async fn close(
        self,
        admitted: &AdmittedRequest,
        outcome: &AttemptOutcome,
        record: &mut RequestRecord,
    ) {
        let (label, failed) = match outcome {
            AttemptOutcome::NotRun(label) => (*label, !["refused", WITHDRAWN].contains(label)),
            AttemptOutcome::MayHaveRun(label) => (*label, true),
            AttemptOutcome::Answered(pending) => {
                let failed = pending.parts.status.is_server_error();
                (if failed { "failed" } else { "answered" }, failed)
            }
        };
        let (now, engine) = (time_since_boot(), &self.entry.id);
        // A request that was not sent shows nothing about the engine.
        let is_sent = label != WITHDRAWN;
        if is_sent {
            admitted.state.lock_traffic().record_outcome(now, engine, failed);
        }
        if is_sent && (failed || matches!(outcome, AttemptOutcome::NotRun(_))) {
            let mut log = admitted.state.lock_service_log();
            log.record_failed_attempt(now, engine, label == "refused");
        }
        if let Some(attempt) = record.attempts.get_mut(self.index) {
            attempt.outcome = label;
            if matches!(outcome, AttemptOutcome::Answered(_)) {
                attempt.progress = AnswerProgress::Begun;
            }
        }
        if let AttemptOutcome::MayHaveRun(_) = outcome {
            examine_interruption(admitted, &self.entry, AnswerProgress::Waiting).await;
        }
    }
}

/// Sends a request to one engine, waits for the response head, and records the
/// attempt.
pub async fn send_once(
    admitted: &AdmittedRequest,
    selected: &SelectedEngine,
    terms: AttemptTerms<'_>,
    record: &mut RequestRecord,
) -> AttemptOutcome {
    let (attempt, engine) = OpenAttempt::open(admitted, selected, record);
    let outcome = send_request(admitted, selected, engine, terms, &attempt).await;
    attempt.close(admitted, &outcome, record).await;
    outcome
}

/// Sends a repeatable request to an engine and, while no response arrives, also to others.
/// Returns the first response without a server error, or the last outcome if there is none.
///
/// It is hedged once: if the first engine takes clearly longer than usual, the request
/// goes to another one where it need not queue.
///
/// An engine's silence does not end its attempt, since it may still answer when no other
/// engine can. `tried` holds the engines to which the request was sent, and `runs` is the
/// number of times that it may have been executed; both are updated.
pub async fn send_repeatable(
    admitted: &AdmittedRequest,
    selected: SelectedEngine,
    tried: &mut HashSet<EndpointId>,
    runs: &mut u32,
    record: &mut RequestRecord,
) -> AttemptOutcome {
    let response_timeout =
        (admitted.route.latency_objective * RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT);
    let mut hedge_delay =
        if admitted.route.is_stream { None } else { find_hedge_delay(admitted, selected.wait_ms) };
    let mut open: Vec<OpenAttempt> = Vec::new();
    let mut outcomes = FuturesUnordered::new();
    let mut failure = None;
    let mut next = Some(selected);
    loop {
        if let Some(selected) = next.take() {
            tried.insert(selected.entry.id.clone());
            let (attempt, engine) = OpenAttempt::open(admitted, &selected, record);
            open.push(attempt.clone());
            outcomes.push(async move {
                let terms = AttemptTerms::default();
                let outcome = send_request(admitted, &selected, engine, terms, &attempt).await;
                (attempt, outcome)
            });
        }
        let delay = hedge_delay.filter(|delay| *delay < response_timeout);
        let Ok(closed) = timeout(delay.unwrap_or(response_timeout), outcomes.next()).await else {
            let runs = *runs + open.len() as u32;
            let wait_limit = hedge_delay.take().and(delay);
            next = select_further(admitted, tried, runs, wait_limit, record).await;
            if next.is_some() && wait_limit.is_some() {
                admitted.state.metrics.fleet.count_hedge();
            }
            continue;
        };
        let Some((attempt, outcome)) = closed else {
            return failure.unwrap_or(AttemptOutcome::NotRun("not-sent"));
        };
        open.retain(|other| other.index != attempt.index);
        attempt.close(admitted, &outcome, record).await;
        *runs += u32::from(outcome.may_have_run());
        match outcome {
            AttemptOutcome::Answered(pending) if pending.parts.status.is_server_error() => {
                failure = Some(AttemptOutcome::Answered(pending));
            }
            AttemptOutcome::Answered(_) => {
                *runs += open.len() as u32;
                for attempt in open {
                    if attempt.started.elapsed() >= response_timeout {
                        let silence = AttemptOutcome::MayHaveRun("silent");
                        attempt.close(admitted, &silence, record).await;
                    } else if let Some(outrun) = record.attempts.get_mut(attempt.index) {
                        outrun.outcome = "outrun";
                        // The engine would have taken longer still.
                        let now = Instant::now();
                        record_answer_pace(admitted, &attempt.entry, outrun, now, 0);
                    }
                }
                return outcome;
            }
            _ if open.is_empty() => return failure.unwrap_or(outcome),
            _ => {}
        }
    }
}

/// Selects another engine for a request that may have been executed `runs` times, and
/// spends a retry on it. With `wait_limit`, the engine is expected to start it within that
/// time.
async fn select_further(
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
    runs: u32,
    wait_limit: Option<Duration>,
    record: &RequestRecord,
) -> Option<SelectedEngine> {
    if record.attempts.len() >= MAX_ATTEMPTS || !may_run_again(admitted, runs) {
        return None;
    }
    let selected = select_engine(admitted, tried).await.ok()?;
    if wait_limit.is_some_and(|limit| selected.wait_ms > limit.as_secs_f64() * 1_000.0) {
        return None;
    }
    let is_allowed =
        begin_attempt(admitted).is_none() && spend_retry_budget(admitted, record.attempts.len());
    is_allowed.then_some(selected)
}
