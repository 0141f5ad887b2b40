//! Format of an experiment file.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

/// Settings of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the experiment, in milliseconds.
    pub duration_ms: u64,
    /// Addresses at which the hosts accept client requests. Each request is
    /// sent to a random one.
    pub targets: Vec<Arc<str>>,
    /// PEM file with the authority of the hosts' certificates. Plain HTTP is
    /// used if it is absent.
    #[serde(default)]
    pub authority_file: Option<PathBuf>,
    /// Flows of requests, which run concurrently.
    pub flows: Vec<FlowSettings>,
}

/// Kind of the requests of a flow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FlowKind {
    /// Streamed chat completions, sent to a host.
    #[default]
    Chat,
    /// Generations, sent directly to an engine over plain HTTP.
    Engine,
    /// Orders with idempotency keys, sent to a host.
    KeyedOrder,
    /// Orders without idempotency keys, sent to a host.
    Order,
}

/// Settings of one flow of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowSettings {
    /// Name of the flow in the report.
    pub name: Arc<str>,
    /// Kind of the requests.
    #[serde(default)]
    pub kind: FlowKind,
    /// API key of the client.
    #[serde(default)]
    pub key: Arc<str>,
    /// Models. Each request uses a random one.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Mean request rate before the first step, in requests per second.
    pub rate: f64,
    /// Changes of the rate over time, in the order of their times.
    #[serde(default)]
    pub steps: Vec<RateStep>,
    /// Number of tokens to generate per request.
    #[serde(default = "default_tokens")]
    pub tokens: u64,
    /// Number of prompt words that all requests for a model share.
    #[serde(default = "default_words")]
    pub shared_words: u32,
    /// Number of prompt words that are specific to a request.
    #[serde(default = "default_words")]
    pub own_words: u32,
    /// Maximum time to the first token that meets the objective, in
    /// milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Maximum mean time between tokens that meets the objective, in
    /// milliseconds.
    #[serde(default = "default_token_gap_ms")]
    pub token_gap_ms: u64,
    /// Target addresses of this flow, which replace those of the experiment.
    #[serde(default)]
    pub targets: Vec<Arc<str>>,
}

/// A change of a flow's rate.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// Time from which the change applies, in milliseconds since the start.
    pub at_ms: u64,
    /// Factor by which the flow's base rate is multiplied.
    pub factor: f64,
}

const DEFAULT_TOKENS: u64 = 32;
const DEFAULT_WORDS: u32 = 16;
const DEFAULT_FIRST_TOKEN_MS: u64 = 480;
const DEFAULT_TOKEN_GAP_MS: u64 = 32;

fn default_tokens() -> u64 {
    DEFAULT_TOKENS
}

fn default_words() -> u32 {
    DEFAULT_WORDS
}

fn default_first_token_ms() -> u64 {
    DEFAULT_FIRST_TOKEN_MS
}

fn default_token_gap_ms() -> u64 {
    DEFAULT_TOKEN_GAP_MS
}

impl LoadSettings {
    /// Returns the duration of the experiment.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

impl FlowSettings {
    /// Returns the request rate at a time since the start, in requests per
    /// second.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let at_ms = at.as_millis() as u64;
        let step = self.steps.iter().rfind(|step| step.at_ms <= at_ms);
        self.rate * step.map_or(1.0, |step| step.factor)
    }
}
