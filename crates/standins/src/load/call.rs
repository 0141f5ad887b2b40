//! One request of a load and what came of it.

use std::sync::Arc;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde_json::{Value, json};
use skylarkgw::endpoint::{EngineEvent, GenerateCall};
use thiserror::Error;
use tokio::time::Instant;

use crate::load::experiment::{FlowKind, FlowSettings, LoadSettings};

const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a load cannot run.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum LoadError {
    /// A client cannot be built.
    #[error("the HTTP client cannot be built")]
    Client(#[from] reqwest::Error),
    /// The authority's file cannot be read.
    #[error("the authority file cannot be read")]
    Authority(#[from] std::io::Error),
    /// A histogram cannot be built.
    #[error("the histogram cannot be built")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallVerdict {
    /// The whole answer came.
    Answered,
    /// The workspace's allowance was used up.
    RefusedAllowance,
    /// Refused for another reason, and it did not run.
    RefusedOther,
    /// Its outcome is not known.
    Unknown,
    /// The connection failed or the answer was cut.
    Failed,
}

/// What came of one request.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How it ended.
    pub verdict: CallVerdict,
    /// From the intended start to the first token or answer.
    pub first: Option<Duration>,
    /// From the intended start to the end.
    pub whole: Duration,
    /// Tokens received.
    pub tokens: u64,
}

/// Where a flow's requests go.
#[derive(Debug)]
pub struct LoadTarget {
    flow: FlowSettings,
    targets: Vec<Arc<str>>,
    http: reqwest::Client,
    scheme: &'static str,
    run: u64,
}

impl LoadTarget {
    /// Creates a target with a client of its own.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if the client cannot be built.
    pub fn new(flow: FlowSettings, settings: &LoadSettings) -> Result<LoadTarget, LoadError> {
        let mut builder = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .timeout(CALL_TIMEOUT)
            .retry(reqwest::retry::never());
        let mut scheme = "http";
        if let Some(path) = &settings.authority_file {
            let authority = reqwest::Certificate::from_pem(&std::fs::read(path)?)?;
            builder = builder.tls_certs_only([authority]);
            scheme = "https";
        }
        let shared = flow.targets.is_empty();
        let targets = if shared { settings.targets.clone() } else { flow.targets.clone() };
        Ok(LoadTarget { flow, targets, http: builder.build()?, scheme, run: rand::random() })
    }

    /// Returns the flow.
    pub fn flow(&self) -> &FlowSettings {
        &self.flow
    }

    /// Makes one request; `draw` picks its model and host.
    pub async fn call(&self, number: u64, draw: u64, intended: Instant) -> CallResult {
        let address = &self.targets[(draw >> 32) as usize % self.targets.len()];
        let mut progress = CallProgress { first: None, tokens: 0 };
        let request = self.request(address, number, draw);
        let verdict = self.exchange(request, intended, &mut progress).await;
        CallResult {
            verdict: verdict.unwrap_or(CallVerdict::Failed),
            first: progress.first,
            whole: intended.elapsed(),
            tokens: progress.tokens,
        }
    }

    fn request(&self, address: &str, number: u64, draw: u64) -> reqwest::RequestBuilder {
        let models = &self.flow.models;
        let model = models.get(draw as usize % models.len().max(1)).cloned().unwrap_or_default();
        let order = format!("{}-{:x}-{number}", self.flow.name, self.run);
        match self.flow.kind {
            FlowKind::Chat => self
                .http
                .post(format!("{}://{address}/v1/chat/completions", self.scheme))
                .bearer_auth(&self.flow.key)
                .json(&json!({
                    "model": model,
                    "messages": [{"role": "user", "content": self.prompt(&model, draw)}],
                    "max_tokens": self.flow.tokens,
                    "stream": true,
                })),
            FlowKind::Engine => {
                self.http.post(format!("http://{address}/v1/generate")).json(&GenerateCall {
                    request: order.into(),
                    prompt: self.prompt(&model, draw).into(),
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

    fn prompt(&self, model: &str, draw: u64) -> String {
        let shared = (0..self.flow.shared_words).map(|word| format!("{model}{word} "));
        let own =
            (0..self.flow.own_words).map(|word| format!("{} ", draw.wrapping_add(word.into())));
        shared.chain(own).collect()
    }

    async fn exchange(
        &self,
        request: reqwest::RequestBuilder,
        intended: Instant,
        progress: &mut CallProgress,
    ) -> Result<CallVerdict, reqwest::Error> {
        let response = request.send().await?;
        let status = response.status().as_u16();
        if !(200..300).contains(&status) {
            let outcome = response.headers().get("skylark-outcome");
            let unknown = outcome.is_some_and(|value| value == "unknown");
            return Ok(match status {
                429 => CallVerdict::RefusedAllowance,
                _ if unknown => CallVerdict::Unknown,
                _ => CallVerdict::RefusedOther,
            });
        }
        match self.flow.kind {
            FlowKind::Chat | FlowKind::Engine => {
                Ok(read_stream(response, self.flow.kind, intended, progress).await)
            }
            FlowKind::Order | FlowKind::KeyedOrder => {
                response.bytes().await?;
                progress.first = Some(intended.elapsed());
                Ok(CallVerdict::Answered)
            }
        }
    }
}

struct CallProgress {
    first: Option<Duration>,
    tokens: u64,
}

async fn read_stream(
    response: reqwest::Response,
    kind: FlowKind,
    intended: Instant,
    progress: &mut CallProgress,
) -> CallVerdict {
    let mut events = response.bytes_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        let is_token = match kind {
            FlowKind::Engine => match serde_json::from_str(&event.data) {
                Ok(EngineEvent::Finish { .. }) => return CallVerdict::Answered,
                Ok(event) => matches!(event, EngineEvent::Token(_)),
                Err(_) => return CallVerdict::Failed,
            },
            _ => {
                if event.data == "[DONE]" {
                    return CallVerdict::Answered;
                }
                let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
                chunk["choices"][0]["delta"]["content"].is_string()
            }
        };
        if is_token {
            progress.tokens += 1;
            progress.first.get_or_insert_with(|| intended.elapsed());
        }
    }
    CallVerdict::Failed
}
