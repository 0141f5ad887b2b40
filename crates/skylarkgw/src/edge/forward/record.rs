//! Log line and metrics of one request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use tokio::time::Instant;

use crate::decision::dispatch::urgency::UrgencyLevel;
use crate::decision::dispatch::wait_queue::WaitOutcome;
use crate::decision::engine_statements::KnownStatement;
use crate::decision::obligations::{ServiceTarget, UnservedCause};
use crate::decision::prompt_evidence::AnswerProgress;
use crate::gateway::clock::time_since_boot;
use crate::gateway::state::GatewayState;
use crate::ids::{EndpointId, ModelName, PartHash, RequestId, Tokens, WorkspaceId};
use crate::telemetry::{RequestClass, RequestOutcome, allow_request_log};

/// Maximum number of prompt parts in the log line of a request.
const MAX_LOGGED_PARTS: usize = 8;

/// Time without an answer after which a request that its client abandons counts as not
/// served.
const ABANDONED_WAIT: Duration = Duration::from_millis(1_500);

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// An engine's complete response was returned.
    Answered,
    /// The request was refused and not executed.
    Refused,
    /// The request may have been executed, but there is no complete response.
    Failed,
    /// The client disconnected.
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

/// One attempt to send a request to an engine.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Engine to which the request was sent.
    pub engine: EndpointId,
    /// Address of that engine.
    pub address: SocketAddr,
    /// Time at which the attempt began.
    pub sent_at: Instant,
    /// Number of requests known to run at the engine when it was selected.
    pub running: u32,
    /// Wait estimated when the engine was selected, in milliseconds.
    pub wait_ms: f64,
    /// Label of the outcome.
    pub outcome: &'static str,
    /// How far the answer had come when the attempt ended.
    pub progress: AnswerProgress,
    /// What the engine had stated about itself.
    pub statement: KnownStatement,
}

/// Record of the decisions of the reverse proxy on one request, which is logged and
/// counted when it is dropped.
pub struct RequestRecord {
    state: Arc<GatewayState>,
    id: Option<RequestId>,
    started: Instant,
    end: RequestEnd,
    /// Name of the route, once it is found.
    pub route: Option<Arc<str>>,
    /// Workspace of the client, once it is found.
    pub workspace: Option<WorkspaceId>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Requested adapter of the model.
    pub adapter: Option<Arc<str>>,
    /// Model and adapter that the request addresses, once it is admitted.
    pub target: Option<ServiceTarget>,
    /// Why a refused request was not served, if that is a matter of its engines.
    pub unserved_cause: Option<UnservedCause>,
    /// Whether an answer for the target has begun.
    is_served: bool,
    /// Whether the route responds with an event stream.
    pub is_stream: bool,
    /// Parts of the prompt that other prompts may share.
    pub shared_parts: Vec<PartHash>,
    /// Tokens counted against the quota.
    pub tokens: Tokens,
    /// Position among the requests of its service, once the request is admitted.
    pub urgency: Option<UrgencyLevel>,
    /// Time that the request waited at this host for a free place, and how that ended.
    pub wait: Option<(Duration, WaitOutcome)>,
    /// Attempts in chronological order.
    pub attempts: Vec<AttemptRecord>,
    /// HTTP status of the response.
    pub status: u16,
    /// Label of the reason of a refusal or failure; empty if there is none.
    pub reason: &'static str,
    /// Retry delay that was reported to the client.
    pub retry_after: Option<Duration>,
    /// Time from the arrival to the complete response or the first event.
    pub first_latency: Option<Duration>,
    /// Longest time between two relays of events to the client; one relay may carry
    /// several events.
    longest_pause: Duration,
    last_event_at: Option<Instant>,
    /// Revision and age of the declaration that applied to the request.
    pub declaration: (u64, Duration),
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
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
            adapter: None,
            target: None,
            unserved_cause: None,
            is_served: false,
            is_stream: false,
            shared_parts: Vec::new(),
            tokens: 0,
            urgency: None,
            wait: None,
            attempts: Vec::new(),
            status: 0,
            reason: "",
            retry_after: None,
            first_latency: None,
            longest_pause: Duration::ZERO,
            last_event_at: None,
            declaration: (0, Duration::ZERO),
        }
    }

    /// Returns the time at which the request arrived.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Records the time of the complete response or of the first event.
    pub fn record_first_event(&mut self) {
        self.first_latency.get_or_insert(self.started.elapsed());
    }

    /// Records for the placement of models that the target is served.
    pub fn record_service(&mut self) {
        self.is_served = true;
        if let Some(target) = &self.target {
            self.state.lock_service_log().record_served(time_since_boot(), target);
        }
    }

    /// Records for the placement of models whether the target was served, unless the
    /// client disconnected.
    fn record_target_outcome(&mut self) {
        if self.is_served {
            return;
        }
        if self.end == RequestEnd::Abandoned {
            self.record_abandoned_wait();
            return;
        }
        // An engine that rejects what the client sent has served the target.
        if self.end == RequestEnd::Answered && self.status < 500 {
            self.record_service();
            return;
        }
        let failure = (self.end != RequestEnd::Refused).then_some(UnservedCause::NoService);
        let Some(cause) = self.unserved_cause.or(failure) else { return };
        if let Some(target) = &self.target {
            self.state.lock_service_log().record_unserved(time_since_boot(), target, cause);
        }
    }

    /// Records a request whose client left while its engine had been silent for so long
    /// that it counts as not served.
    fn record_abandoned_wait(&mut self) {
        let Some(last) = self.attempts.last() else { return };
        if self.started.elapsed() < ABANDONED_WAIT || self.first_latency.is_some() {
            return;
        }
        let now = time_since_boot();
        let mut log = self.state.lock_service_log();
        log.record_failed_attempt(now, &last.engine, false);
        if let Some(target) = &self.target {
            log.record_unserved(now, target, UnservedCause::NoService);
        }
    }

    /// Records that events are relayed to the client.
    pub fn record_events(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
    }

    /// Records how the request ended.
    pub fn finish(&mut self, end: RequestEnd) {
        self.end = end;
    }

    /// Formats the attempts for the log line.
    fn format_attempts(&self) -> String {
        let format_attempt = |attempt: &AttemptRecord| {
            format!(
                "{}:{} running={} wait_ms={:.0} progress={}{}",
                attempt.engine,
                attempt.outcome,
                attempt.running,
                attempt.wait_ms,
                attempt.progress.label(),
                format_statement(&attempt.statement)
            )
        };
        self.attempts.iter().map(format_attempt).collect::<Vec<_>>().join("; ")
    }
}

/// Formats what an engine had stated about itself, with times in milliseconds.
fn format_statement(statement: &KnownStatement) -> String {
    let limit = statement.limit.map(|limit| format!(" limit={limit}"));
    let format_time =
        |name: &str, time: Option<Duration>| Some(format!(" {name}={}", time?.as_millis()));
    let parts = [
        limit,
        format_time("leaving_ms", statement.leaving_for),
        format_time("turned_away_ms", statement.turned_away_for),
        format_time("avoided_ms", statement.avoided_for),
    ];
    parts.into_iter().flatten().collect()
}

/// Formats prompt parts for a log line.
pub fn format_parts(parts: impl Iterator<Item = PartHash>) -> String {
    parts.take(MAX_LOGGED_PARTS).map(|part| format!("{part:016x}")).collect::<Vec<_>>().join(",")
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.record_target_outcome();
        let metrics = &self.state.metrics;
        metrics.running.dec();
        let workspace = self.workspace.as_deref().unwrap_or("");
        let class = if self.is_stream { RequestClass::Model } else { RequestClass::Service };
        metrics.count_request(workspace, class, self.end.outcome());
        if !self.reason.is_empty() {
            metrics.count_refusal(workspace, self.reason);
        }
        let total = self.started.elapsed();
        if let Some(first) = self.first_latency {
            metrics.observe_first_token(workspace, class, first.as_secs_f64());
        }
        metrics.observe_whole_answer(workspace, class, total.as_secs_f64());
        if !allow_request_log(time_since_boot(), self.end == RequestEnd::Answered) {
            return;
        }
        let to_millis = |time: Duration| time.as_millis() as u64;
        let id = self.id.as_deref().unwrap_or_default().to_owned();
        let route = self.route.as_deref().unwrap_or_default().to_owned();
        let workspace = workspace.to_owned();
        let model = self.model.as_deref().unwrap_or_default().to_owned();
        let adapter = self.adapter.as_deref().unwrap_or_default().to_owned();
        let (end, reason, status, tokens) =
            (self.end.label(), self.reason, self.status, self.tokens);
        let tries = self.format_attempts();
        let urgency = self.urgency.map_or(-1, i64::from);
        let queued_ms = self.wait.map_or(-1, |(waited, _)| to_millis(waited) as i64);
        let queue_end = self.wait.map_or("", |(_, outcome)| outcome.label());
        let parts = format_parts(self.shared_parts.iter().copied());
        let first_ms = self.first_latency.map_or(-1, |first| to_millis(first) as i64);
        let retry_after_ms = self.retry_after.map_or(-1, |after| to_millis(after) as i64);
        let (revision, age_ms) = (self.declaration.0, to_millis(self.declaration.1));
        let registry_age_ms = to_millis(self.state.registry_age(time_since_boot()));
        let registry = self.state.snapshot.load().registry;
        let (registry_revision, registry_source) =
            (registry.position.revision, registry.source.label());
        let registry_era = registry.position.era.map_or(-1, i64::from);
        let (pause_ms, total_ms) = (to_millis(self.longest_pause), to_millis(total));
        info!("request ended", kv: {
            request = id, route, workspace, model, adapter, end, reason, status, tokens, urgency, queued_ms,
            queue_end, tries, parts,
            first_ms, pause_ms, total_ms, retry_after_ms, revision, declaration_age_ms = age_ms, registry_age_ms,
            registry_revision, registry_era, registry_source
        });
    }
}
