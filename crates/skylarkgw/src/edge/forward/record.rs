//! What is logged and counted of one request.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use tokio::time::Instant;

use crate::gateway::clock::time_since_boot;
use crate::gateway::state::GatewayState;
use crate::ids::{EndpointId, ModelName, RequestId, Tokens, WorkspaceId};
use crate::telemetry::{RequestClass, RequestOutcome, allow_request_line};

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The caller got an engine's whole answer.
    Answered,
    /// The request was refused and has not run.
    Refused,
    /// The request may have run and brought no whole answer.
    Failed,
    /// The caller went away.
    Abandoned,
}

impl RequestEnd {
    fn label(self) -> &'static str {
        match self {
            RequestEnd::Answered => "answered",
            RequestEnd::Refused => "refused",
            RequestEnd::Failed => "failed",
            RequestEnd::Abandoned => "abandoned",
        }
    }

    fn outcome(self) -> RequestOutcome {
        match self {
            RequestEnd::Answered => RequestOutcome::Answered,
            RequestEnd::Refused => RequestOutcome::NotRun,
            RequestEnd::Failed => RequestOutcome::Unknown,
            RequestEnd::Abandoned => RequestOutcome::Abandoned,
        }
    }
}

/// One sending of a request.
#[derive(Clone, Debug)]
pub struct TryRecord {
    /// Engine that it went to.
    pub engine: EndpointId,
    /// Why it was chosen: requests known there and the estimated wait.
    pub running: u32,
    /// Estimated wait, in milliseconds.
    pub wait_ms: f64,
    /// What came of it.
    pub outcome: &'static str,
}

/// Collects the decisions on a request; logs and counts when it is dropped.
pub struct RequestRecord {
    state: Arc<GatewayState>,
    id: Option<RequestId>,
    started: Instant,
    end: RequestEnd,
    /// Route.
    pub route: Option<Arc<str>>,
    /// Workspace.
    pub workspace: Option<WorkspaceId>,
    /// Model.
    pub model: Option<ModelName>,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Tokens counted against the quota.
    pub tokens: Tokens,
    /// Sendings in order.
    pub tries: Vec<TryRecord>,
    /// Status of the answer.
    pub status: u16,
    /// Reason of a refusal or failure.
    pub reason: &'static str,
    /// Time to come again that the caller was told.
    pub retry_after: Option<Duration>,
    /// Time to the head of the answer or the first event.
    pub first: Option<Duration>,
    /// Longest time between two passings of events of a stream.
    longest_pause: Duration,
    event_at: Option<Instant>,
    /// Revision and age of the declaration that decided.
    pub declaration: (u64, Duration),
}

impl RequestRecord {
    /// Starts the record of a request that has just arrived.
    pub fn new(state: Arc<GatewayState>, id: Option<RequestId>) -> RequestRecord {
        state.metrics.running.inc();
        RequestRecord {
            state,
            id,
            started: Instant::now(),
            end: RequestEnd::Abandoned,
            route: None,
            workspace: None,
            model: None,
            is_stream: false,
            tokens: 0,
            tries: Vec::new(),
            status: 0,
            reason: "",
            retry_after: None,
            first: None,
            longest_pause: Duration::ZERO,
            event_at: None,
            declaration: (0, Duration::ZERO),
        }
    }

    /// Returns when the request arrived.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Notes the head of the answer or the first event.
    pub fn note_first(&mut self) {
        self.first.get_or_insert(self.started.elapsed());
    }

    /// Notes events that are passed on.
    pub fn note_events(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
    }

    /// Notes how the request ended.
    pub fn finish(&mut self, end: RequestEnd) {
        self.end = end;
    }

    fn tries_text(&self) -> String {
        let text = |one: &TryRecord| {
            format!(
                "{}:{} running={} wait_ms={:.0}",
                one.engine, one.outcome, one.running, one.wait_ms
            )
        };
        self.tries.iter().map(text).collect::<Vec<_>>().join("; ")
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let metrics = &self.state.metrics;
        metrics.running.dec();
        let workspace = self.workspace.as_deref().unwrap_or("");
        let class = if self.is_stream { RequestClass::Model } else { RequestClass::Service };
        metrics.request_ended(workspace, class, self.end.outcome());
        if !self.reason.is_empty() {
            metrics.refused(workspace, self.reason);
        }
        let total = self.started.elapsed();
        if let Some(first) = self.first {
            metrics.first_token(workspace, class, first.as_secs_f64());
        }
        metrics.whole_answer(workspace, class, total.as_secs_f64());
        if !allow_request_line(time_since_boot(), self.end == RequestEnd::Answered) {
            return;
        }
        let millis = |time: Duration| time.as_millis() as u64;
        let id = self.id.as_deref().unwrap_or_default().to_owned();
        let route = self.route.as_deref().unwrap_or_default().to_owned();
        let workspace = workspace.to_owned();
        let model = self.model.as_deref().unwrap_or_default().to_owned();
        let (end, reason, status, tokens) =
            (self.end.label(), self.reason, self.status, self.tokens);
        let tries = self.tries_text();
        let first_ms = self.first.map_or(-1, |first| millis(first) as i64);
        let retry_after_ms = self.retry_after.map_or(-1, |after| millis(after) as i64);
        let (revision, age_ms) = (self.declaration.0, millis(self.declaration.1));
        let registry_age_ms = millis(self.state.registry_age(time_since_boot()));
        let (pause_ms, total_ms) = (millis(self.longest_pause), millis(total));
        info!("request ended", kv: {
            request = id, route, workspace, model, end, reason, status, tokens, tries, first_ms,
            pause_ms, total_ms, retry_after_ms, revision, declaration_age_ms = age_ms, registry_age_ms
        });
    }
}
