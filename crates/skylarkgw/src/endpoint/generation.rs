//! Runs one generation to completion, resuming it over new connections and on
//! other engines where needed.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::configuration::EndpointKind;
use crate::control::{Admission, ControlHandle, RouteGrant};
use crate::decision::host::HostInput;
use crate::decision::routing::RouteTarget;
use crate::endpoint::engine::{EngineClient, EngineError, EngineEvent, GenerateCall, next_event};
use crate::ids::{EndpointId, Tokens};
use crate::telemetry::Metrics;

/// Pause between two rounds of load polling.
pub const LOAD_POLL_PAUSE: Duration = Duration::from_millis(400);

/// Maximum number of consecutive attempts that yield no token.
const MAX_ATTEMPTS_WITHOUT_PROGRESS: u32 = 4;
/// Maximum number of engines that may end under a request before it fails. The request
/// may be the cause.
const MAX_ENDED_ENGINES: u32 = 2;
/// Maximum number of checks whether an engine has ended.
const MAX_END_CHECKS: u32 = 3;
/// Delay before the next attempt, from the second attempt without progress on.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// An event that a generation sends to the request handler.
#[derive(Clone, Debug)]
pub enum GenerationEvent {
    /// Text of the next token.
    Token(Arc<str>),
    /// The response is complete.
    Finish {
        /// Why the generation ended, as reported by the engine.
        reason: Arc<str>,
        /// Number of prompt tokens as counted by the engine.
        prompt_tokens: Tokens,
        /// Number of generated tokens.
        generated_tokens: Tokens,
    },
    /// The response cannot be completed.
    Failed(GenerationFailure),
}

/// Reason why a response cannot be completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Error)]
pub enum GenerationFailure {
    /// No engine accepted the request, which was certainly not executed.
    #[error("no engine took the request")]
    NotRun,
    /// All attempts failed after an engine may have started to execute the
    /// request.
    #[error("the engines failed before the answer was complete")]
    Interrupted,
    /// The engine rejected the request as invalid, with status 400 or 422.
    #[error("the engine rejected the request")]
    Rejected,
}

/// State and dependencies of one running generation.
#[derive(Debug)]
pub struct GenerationTask {
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// HTTP client for the engines.
    pub engines: EngineClient,
    /// This host's metrics.
    pub metrics: Arc<Metrics>,
    /// The call to send; its offset advances with every token.
    pub call: GenerateCall,
    /// Model and prompt prefix by which endpoints are selected.
    pub target: RouteTarget,
    /// Token reservation, together with the first endpoint to try.
    pub admission: Admission,
    /// Number of prompt tokens in the reservation.
    pub prompt_tokens: Tokens,
    /// Text of the tokens generated so far.
    pub generated: String,
}

/// How an attempt on one connection or one endpoint ended.
enum AttemptEnd {
    Finished,
    ReceiverClosed,
    Failed(EngineError),
    /// The engine took the request and ended before it sent a token.
    EngineEnded,
}

impl GenerationTask {
    /// Runs until the response is complete or has failed, or until the receiver of
    /// `events` is closed or dropped, which also cancels the request at its engine.
    pub async fn run(mut self, events: mpsc::Sender<GenerationEvent>) {
        let mut excluded: Vec<EndpointId> = Vec::new();
        let mut attempts_without_progress = 0;
        let mut ended_engines = 0;
        let mut may_have_run = false;
        let mut grant = self.admission.take_route();
        loop {
            let Some(route) = grant.take() else {
                let failure = if may_have_run {
                    GenerationFailure::Interrupted
                } else {
                    GenerationFailure::NotRun
                };
                let _ = events.send(GenerationEvent::Failed(failure)).await;
                return;
            };
            let previous_offset = self.call.offset;
            let end = self.run_on_endpoint(route, &events, &mut excluded, &mut may_have_run).await;
            match end {
                AttemptEnd::Finished | AttemptEnd::ReceiverClosed => return,
                AttemptEnd::Failed(EngineError::Status(400 | 422)) => {
                    let failure = GenerationEvent::Failed(GenerationFailure::Rejected);
                    let _ = events.send(failure).await;
                    return;
                }
                AttemptEnd::Failed(_) => {}
                AttemptEnd::EngineEnded => ended_engines += 1,
            }
            attempts_without_progress =
                if self.call.offset > previous_offset { 0 } else { attempts_without_progress + 1 };
            // With no grant left, the next iteration reports the failure.
            if attempts_without_progress >= MAX_ATTEMPTS_WITHOUT_PROGRESS
                || ended_engines >= MAX_ENDED_ENGINES
            {
                continue;
            }
            if attempts_without_progress > 1 {
                sleep(RETRY_DELAY).await;
            }
            grant = self.request_next_route(&mut excluded).await;
        }
    }

    /// Requests another endpoint from the control thread.
    async fn request_next_route(&self, excluded: &mut Vec<EndpointId>) -> Option<RouteGrant> {
        let answer = self.control.reroute(self.target.clone(), excluded.clone()).await.ok()?;
        match answer {
            Ok(grant) => Some(grant),
            Err(_) if !excluded.is_empty() => {
                // No endpoint outside the excluded ones is available. One of the
                // excluded ones may have recovered.
                excluded.clear();
                self.control.reroute(self.target.clone(), Vec::new()).await.ok()?.ok()
            }
            Err(_) => None,
        }
    }

    /// Runs the request at one endpoint, over at most two connections.
    async fn run_on_endpoint(
        &mut self,
        mut route: RouteGrant,
        events: &mpsc::Sender<GenerationEvent>,
        excluded: &mut Vec<EndpointId>,
        may_have_run: &mut bool,
    ) -> AttemptEnd {
        let Some(address) = self.find_address(route.endpoint()) else {
            excluded.push(route.endpoint().clone());
            return AttemptEnd::Failed(EngineError::Status(404));
        };
        let first_offset = self.call.offset;
        let mut has_reconnected = false;
        loop {
            let end = self.run_connection(&address, events, may_have_run).await;
            let AttemptEnd::Failed(error) = end else {
                if matches!(end, AttemptEnd::ReceiverClosed) {
                    self.spawn_cancel(&address);
                }
                return end;
            };
            // The connection may be lost while the engine itself is healthy, so
            // a second one is opened before the request moves to another engine.
            let is_connection_lost = matches!(
                error,
                EngineError::TimedOut | EngineError::ConnectionLost(_) | EngineError::StreamEnded
            );
            if is_connection_lost && !has_reconnected {
                has_reconnected = true;
                continue;
            }
            if !matches!(error, EngineError::Status(400 | 422)) {
                route.mark_failed();
            }
            excluded.push(route.endpoint().clone());
            let has_progress = self.call.offset > first_offset;
            if has_reconnected && !has_progress && self.has_ended(&address, &error).await {
                return AttemptEnd::EngineEnded;
            }
            return AttemptEnd::Failed(error);
        }
    }

    /// Returns whether an engine has ended that lost one connection and failed with
    /// `error` on the next.
    ///
    /// An engine that ends closes its connections and its listener one after the other,
    /// so a lost connection proves nothing yet.
    async fn has_ended(&self, address: &str, error: &EngineError) -> bool {
        match error {
            EngineError::Unreachable(_) => return true,
            EngineError::ConnectionLost(_) | EngineError::StreamEnded => {}
            _ => return false,
        }
        for _ in 0..MAX_END_CHECKS {
            sleep(RETRY_DELAY).await;
            match self.engines.fetch_load(address).await {
                Err(EngineError::Unreachable(_)) => return true,
                Err(EngineError::ConnectionLost(_)) => {}
                _ => return false,
            }
        }
        false
    }

    /// Sends the request over one connection and forwards its tokens to `events`.
    async fn run_connection(
        &mut self,
        address: &str,
        events: &mpsc::Sender<GenerationEvent>,
        may_have_run: &mut bool,
    ) -> AttemptEnd {
        if self.call.offset > 0 {
            self.metrics.resumes.inc();
            self.call.generated = self.generated.as_str().into();
        }
        let opened = tokio::select! {
            opened = self.engines.generate(address, &self.call) => opened,
            () = events.closed() => return AttemptEnd::ReceiverClosed,
        };
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                *may_have_run |=
                    matches!(error, EngineError::TimedOut | EngineError::ConnectionLost(_));
                return AttemptEnd::Failed(error);
            }
        };
        *may_have_run = true;
        loop {
            let event = tokio::select! {
                event = next_event(&mut stream) => event,
                () = events.closed() => return AttemptEnd::ReceiverClosed,
            };
            match event {
                Ok(event) => {
                    if let Some(end) = self.process_event(event, events).await {
                        return end;
                    }
                }
                Err(error) => return AttemptEnd::Failed(error),
            }
        }
    }

    /// Processes one event of the engine and forwards it to `events`.
    ///
    /// A token with an index below the offset was already forwarded and is
    /// skipped. Returns how the attempt ended, or `None` if it continues.
    async fn process_event(
        &mut self,
        event: EngineEvent,
        events: &mpsc::Sender<GenerationEvent>,
    ) -> Option<AttemptEnd> {
        match event {
            EngineEvent::Accepted { .. } | EngineEvent::Alive {} => None,
            EngineEvent::Token(token) if token.index < self.call.offset => None,
            EngineEvent::Token(token) if token.index > self.call.offset => {
                Some(AttemptEnd::Failed(EngineError::InvalidData))
            }
            EngineEvent::Token(token) => {
                self.call.offset += 1;
                self.generated.push_str(&token.text);
                self.admission.set_used_tokens(self.prompt_tokens + self.call.offset);
                let sent = events.send(GenerationEvent::Token(token.text)).await;
                sent.is_err().then_some(AttemptEnd::ReceiverClosed)
            }
            EngineEvent::Finish { reason, prompt_tokens } => {
                let finish = GenerationEvent::Finish {
                    reason,
                    prompt_tokens,
                    generated_tokens: self.call.offset,
                };
                let _ = events.send(finish).await;
                Some(AttemptEnd::Finished)
            }
        }
    }

    fn find_address(&self, endpoint: &str) -> Option<Arc<str>> {
        let snapshot = self.control.snapshot();
        snapshot.configuration.endpoints.get(endpoint).map(|spec| spec.address.clone())
    }

    fn spawn_cancel(&self, address: &str) {
        let (engines, address) = (self.engines.clone(), address.to_owned());
        let request = self.call.request.clone();
        tokio::spawn(async move {
            // Closing the connection cancels the request as well. The explicit
            // call is for engines behind a proxy that keeps it open.
            let _ = engines.cancel(&address, &request).await;
        });
    }
}

/// Polls the load of all declared engines in an endless loop and passes the
/// reports to the control thread.
///
/// The report is `None` if an engine did not deliver a valid one.
pub async fn poll_engines(control: ControlHandle, engines: EngineClient) {
    loop {
        let configuration = control.snapshot().configuration.clone();
        let polls: FuturesUnordered<_> = configuration
            .endpoints
            .iter()
            .filter(|(_, spec)| spec.kind == EndpointKind::Engine)
            .map(|(id, spec)| {
                let (control, engines) = (control.clone(), engines.clone());
                async move {
                    let requested_at = control.now();
                    let report = engines.fetch_load(&spec.address).await.ok();
                    let endpoint = id.clone();
                    control.send(HostInput::Report { endpoint, requested_at, report });
                }
            })
            .collect();
        polls.collect::<()>().await;
        sleep(LOAD_POLL_PAUSE).await;
    }
}
