//! Requests of the load generator and their results.

use std::sync::Arc;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde_json::{Value, json};
use skylarkgw::endpoint::{EngineEvent, GenerateCall};
use thiserror::Error;
use tokio::time::Instant;

use crate::load::experiment::{FlowKind, FlowSettings, LoadSettings};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Error that prevents a load from running.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum LoadError {
    /// The HTTP client cannot be built, or the authority file is not valid PEM.
    #[error("cannot build the HTTP client")]
    Client(#[from] reqwest::Error),
    /// The file of the certificate authority cannot be read.
    #[error("cannot read the authority file")]
    Authority(#[from] std::io::Error),
    /// A histogram cannot be built.
    #[error("cannot build the histogram")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The response had a 2xx status and was complete.
    Answered,
    /// The request was refused with status 429, because the workspace's
    /// allowance was used up.
    RefusedAllowance,
    /// The request was refused with another status, and the `skylark-outcome`
    /// header did not report an unknown outcome. It was not executed.
    RefusedOther,
    /// The `skylark-outcome` header reported that it is unknown whether the
    /// request was executed.
    Unknown,
    /// The connection failed, the request timed out, or the response was
    /// incomplete or malformed.
    Failed,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Time from the intended start to the first token, or to the end of a
    /// response that is not streamed.
    ///
    /// This is `None` if neither was received.
    pub first_latency: Option<Duration>,
    /// Time from the intended start to the end of the response.
    pub total_latency: Duration,
    /// Number of tokens received.
    pub tokens: u64,
}

/// Client and target addresses of a flow.
#[derive(Debug)]
pub struct LoadTarget {
    flow: FlowSettings,
    targets: Vec<Arc<str>>,
    http: reqwest::Client,
    scheme: &'static str,
    /// Random number that keeps the identifiers of requests unique across runs.
    run_id: u64,
}

impl LoadTarget {
    /// Creates a target with its own HTTP client.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError`] if the client cannot be built or the authority
    /// file cannot be read.
    pub fn new(flow: FlowSettings, settings: &LoadSettings) -> Result<LoadTarget, LoadError> {
        let mut builder = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .timeout(REQUEST_TIMEOUT)
            .retry(reqwest::retry::never());
        let mut scheme = "http";
        if let Some(path) = &settings.authority_file {
            let authority = reqwest::Certificate::from_pem(&std::fs::read(path)?)?;
            builder = builder.tls_certs_only([authority]);
            scheme = "https";
        }
        let uses_shared_targets = flow.targets.is_empty();
        let targets =
            if uses_shared_targets { settings.targets.clone() } else { flow.targets.clone() };
        Ok(LoadTarget { flow, targets, http: builder.build()?, scheme, run_id: rand::random() })
    }

    /// Returns the settings of the flow.
    pub fn flow(&self) -> &FlowSettings {
        &self.flow
    }

    /// Sends one request and returns its result.
    ///
    /// `draw` is a random number that selects the model, the address and the
    /// prompt words that are specific to the request.
    pub async fn call(
        &self,
        request_number: u64,
        draw: u64,
        intended_start: Instant,
    ) -> CallResult {
        let address = &self.targets[(draw >> 32) as usize % self.targets.len()];
        let mut progress = CallProgress { first_latency: None, tokens: 0 };
        let request = self.build_request(address, request_number, draw);
        let outcome = self.execute_request(request, intended_start, &mut progress).await;
        CallResult {
            outcome: outcome.unwrap_or(RequestOutcome::Failed),
            first_latency: progress.first_latency,
            total_latency: intended_start.elapsed(),
            tokens: progress.tokens,
        }
    }

    fn build_request(
        &self,
        address: &str,
        request_number: u64,
        draw: u64,
    ) -> reqwest::RequestBuilder {
        let models = &self.flow.models;
        let model = models.get(draw as usize % models.len().max(1)).cloned().unwrap_or_default();
        let order = format!("{}-{:x}-{request_number}", self.flow.name, self.run_id);
        match self.flow.kind {
            FlowKind::Chat => self
                .http
                .post(format!("{}://{address}/v1/chat/completions", self.scheme))
                .bearer_auth(&self.flow.key)
                .json(&json!({
                    "model": model,
                    "messages": [{"role": "user", "content": self.build_prompt(&model, draw)}],
                    "max_tokens": self.flow.tokens,
                    "stream": true,
                })),
            FlowKind::Engine => {
                self.http.post(format!("http://{address}/v1/generate")).json(&GenerateCall {
                    request: order.into(),
                    prompt: self.build_prompt(&model, draw).into(),
                    model,
                    adapter: None,
                    max_tokens: self.flow.tokens,
                    offset: 0,
                    generated: "".into(),
                })
            }
            FlowKind::Order | FlowKind::KeyedOrder => {
                let request = self
                    .http
                    .post(format!("{}://{address}/stock/orders", self.scheme))
                    .bearer_auth(&self.flow.key)
                    .json(&json!({"order": order}));
                match self.flow.kind {
                    FlowKind::KeyedOrder => request.header("idempotency-key", order),
                    _ => request,
                }
            }
        }
    }

    fn build_prompt(&self, model: &str, draw: u64) -> String {
        let shared_prompt = (0..self.flow.shared_words).map(|word| format!("{model}{word} "));
        let own_prompt =
            (0..self.flow.own_words).map(|word| format!("{} ", draw.wrapping_add(word.into())));
        shared_prompt.chain(own_prompt).collect()
    }

    async fn execute_request(
        &self,
        request: reqwest::RequestBuilder,
        intended_start: Instant,
        progress: &mut CallProgress,
    ) -> Result<RequestOutcome, reqwest::Error> {
        let response = request.send().await?;
        let status = response.status().as_u16();
        if !(200..300).contains(&status) {
            let outcome = response.headers().get("skylark-outcome");
            let is_unknown = outcome.is_some_and(|value| value == "unknown");
            return Ok(match status {
                429 => RequestOutcome::RefusedAllowance,
                _ if is_unknown => RequestOutcome::Unknown,
                _ => RequestOutcome::RefusedOther,
            });
        }
        match self.flow.kind {
            FlowKind::Chat | FlowKind::Engine => {
                Ok(read_stream(response, self.flow.kind, intended_start, progress).await)
            }
            FlowKind::Order | FlowKind::KeyedOrder => {
                response.bytes().await?;
                progress.first_latency = Some(intended_start.elapsed());
                Ok(RequestOutcome::Answered)
            }
        }
    }
}

struct CallProgress {
    first_latency: Option<Duration>,
    tokens: u64,
}

async fn read_stream(
    response: reqwest::Response,
    kind: FlowKind,
    intended_start: Instant,
    progress: &mut CallProgress,
) -> RequestOutcome {
    let mut events = response.bytes_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        let is_token = match kind {
            FlowKind::Engine => match serde_json::from_str(&event.data) {
                Ok(EngineEvent::Finish { .. }) => return RequestOutcome::Answered,
                Ok(event) => matches!(event, EngineEvent::Token(_)),
                Err(_) => return RequestOutcome::Failed,
            },
            _ => {
                if event.data == "[DONE]" {
                    return RequestOutcome::Answered;
                }
                let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
                chunk["choices"][0]["delta"]["content"].is_string()
            }
        };
        if is_token {
            progress.tokens += 1;
            progress.first_latency.get_or_insert_with(|| intended_start.elapsed());
        }
    }
    RequestOutcome::Failed
}
