//! One generation from start to end, over as many connections as it takes.

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

/// Time between two load reports of an engine.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

const ATTEMPTS_WITHOUT_PROGRESS: u32 = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What a generation brings its caller.
#[derive(Clone, Debug)]
pub enum GenerationEvent {
    /// A token.
    Token(Arc<str>),
    /// The whole answer was sent.
    Finish {
        /// Why it ended.
        reason: Arc<str>,
        /// Tokens of the prompt.
        prompt_tokens: Tokens,
        /// Tokens generated.
        generated_tokens: Tokens,
    },
    /// The answer cannot be completed.
    Failed(GenerationFailure),
}

/// Why an answer cannot be completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Error)]
pub enum GenerationFailure {
    /// No engine took the request; it certainly did not run.
    #[error("no engine took the request")]
    NotRun,
    /// Engines failed after they may have begun.
    #[error("the engines failed before the answer was complete")]
    Interrupted,
    /// The engine rejects the request itself.
    #[error("the engine rejected the request")]
    Rejected,
}

/// Everything that one generation needs.
#[derive(Debug)]
pub struct GenerationTask {
    /// The control thread.
    pub control: ControlHandle,
    /// Client of the engines.
    pub engines: EngineClient,
    /// This host's metrics.
    pub metrics: Arc<Metrics>,
    /// What to generate.
    pub call: GenerateCall,
    /// What the request needs of an endpoint.
    pub target: RouteTarget,
    /// The reservation, with its first endpoint.
    pub admission: Admission,
    /// Tokens of the prompt as they were reserved.
    pub prompt_tokens: Tokens,
    /// Text generated so far.
    pub generated: String,
}

enum PassEnd {
    Finished,
    CallerGone,
    Broken(EngineError),
}

impl GenerationTask {
    /// Runs until the answer is complete, fails, or the caller goes away.
    ///
    /// Closing `events` ends the task and cancels the request at its engine.
    pub async fn run(mut self, events: mpsc::Sender<GenerationEvent>) {
        let mut excluded: Vec<EndpointId> = Vec::new();
        let mut fruitless = 0;
        let mut begun = false;
        let mut grant = self.admission.take_route();
        loop {
            let Some(route) = grant.take() else {
                let failure =
                    if begun { GenerationFailure::Interrupted } else { GenerationFailure::NotRun };
                let _ = events.send(GenerationEvent::Failed(failure)).await;
                return;
            };
            let before = self.call.offset;
            let end = self.pass(route, &events, &mut excluded, &mut begun).await;
            match end {
                PassEnd::Finished | PassEnd::CallerGone => return,
                PassEnd::Broken(EngineError::Status(400 | 422)) => {
                    let failure = GenerationEvent::Failed(GenerationFailure::Rejected);
                    let _ = events.send(failure).await;
                    return;
                }
                PassEnd::Broken(_) => {}
            }
            fruitless = if self.call.offset > before { 0 } else { fruitless + 1 };
            if fruitless >= ATTEMPTS_WITHOUT_PROGRESS {
                continue;
            }
            if fruitless > 1 {
                sleep(RETRY_PAUSE).await;
            }
            grant = self.next_route(&mut excluded).await;
        }
    }

    async fn next_route(&self, excluded: &mut Vec<EndpointId>) -> Option<RouteGrant> {
        let answer = self.control.reroute(self.target.clone(), excluded.clone()).await.ok()?;
        match answer {
            Ok(grant) => Some(grant),
            Err(_) if !excluded.is_empty() => {
                // Every other engine is out of reach: the first one may be back.
                excluded.clear();
                self.control.reroute(self.target.clone(), Vec::new()).await.ok()?.ok()
            }
            Err(_) => None,
        }
    }

    /// Sends the request over one connection and passes its tokens on.
    async fn pass(
        &mut self,
        mut route: RouteGrant,
        events: &mpsc::Sender<GenerationEvent>,
        excluded: &mut Vec<EndpointId>,
        begun: &mut bool,
    ) -> PassEnd {
        let Some(address) = self.address(route.endpoint()) else {
            excluded.push(route.endpoint().clone());
            return PassEnd::Broken(EngineError::Status(404));
        };
        let mut resumed = false;
        loop {
            let end = self.connection(&address, events, begun).await;
            let PassEnd::Broken(error) = end else {
                if matches!(end, PassEnd::CallerGone) {
                    self.cancel(&address);
                }
                return end;
            };
            // The connection may be lost while the engine is well, so one more
            // is tried there before the request moves on.
            let connection_lost =
                matches!(error, EngineError::Silent | EngineError::Broken(_) | EngineError::Ended);
            if connection_lost && !resumed {
                resumed = true;
                continue;
            }
            if !matches!(error, EngineError::Status(400 | 422)) {
                route.mark_failed();
            }
            excluded.push(route.endpoint().clone());
            return PassEnd::Broken(error);
        }
    }

    async fn connection(
        &mut self,
        address: &str,
        events: &mpsc::Sender<GenerationEvent>,
        begun: &mut bool,
    ) -> PassEnd {
        if self.call.offset > 0 {
            self.metrics.resumes.inc();
            self.call.generated = self.generated.as_str().into();
        }
        let opened = tokio::select! {
            opened = self.engines.generate(address, &self.call) => opened,
            () = events.closed() => return PassEnd::CallerGone,
        };
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                *begun |= matches!(error, EngineError::Silent | EngineError::Broken(_));
                return PassEnd::Broken(error);
            }
        };
        *begun = true;
        loop {
            let event = tokio::select! {
                event = next_event(&mut stream) => event,
                () = events.closed() => return PassEnd::CallerGone,
            };
            match event {
                Ok(event) => {
                    if let Some(end) = self.take(event, events).await {
                        return end;
                    }
                }
                Err(error) => return PassEnd::Broken(error),
            }
        }
    }

    /// Passes one event on; a token that came before is skipped.
    async fn take(
        &mut self,
        event: EngineEvent,
        events: &mpsc::Sender<GenerationEvent>,
    ) -> Option<PassEnd> {
        match event {
            EngineEvent::Accepted { request } if request != self.call.request => {
                Some(PassEnd::Broken(EngineError::Crossed))
            }
            EngineEvent::Accepted { .. } | EngineEvent::Alive {} => None,
            EngineEvent::Token(token) if token.index < self.call.offset => None,
            EngineEvent::Token(token) if token.index > self.call.offset => {
                Some(PassEnd::Broken(EngineError::Garbage))
            }
            EngineEvent::Token(token) => {
                self.call.offset += 1;
                self.generated.push_str(&token.text);
                self.admission.set_used(self.prompt_tokens + self.call.offset);
                let sent = events.send(GenerationEvent::Token(token.text)).await;
                sent.is_err().then_some(PassEnd::CallerGone)
            }
            EngineEvent::Finish { reason, prompt_tokens } => {
                let finish = GenerationEvent::Finish {
                    reason,
                    prompt_tokens,
                    generated_tokens: self.call.offset,
                };
                let _ = events.send(finish).await;
                Some(PassEnd::Finished)
            }
        }
    }

    fn address(&self, endpoint: &str) -> Option<Arc<str>> {
        let snapshot = self.control.snapshot();
        snapshot.configuration.endpoints.get(endpoint).map(|spec| spec.address.clone())
    }

    fn cancel(&self, address: &str) {
        let (engines, address) = (self.engines.clone(), address.to_owned());
        let request = self.call.request.clone();
        tokio::spawn(async move {
            // The closed connection says the same; this is for engines behind
            // something that keeps it open.
            let _ = engines.cancel(&address, &request).await;
        });
    }
}

/// Reads the load of all engines, again and again.
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
                    let asked_at = control.now();
                    let report = engines.load(&spec.address).await.ok();
                    let endpoint = id.clone();
                    control.send(HostInput::Report { endpoint, asked_at, report });
                }
            })
            .collect();
        polls.collect::<()>().await;
        sleep(REPORT_INTERVAL).await;
    }
}
