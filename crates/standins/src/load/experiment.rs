//! What an experiment file says.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length, in milliseconds.
    pub duration_ms: u64,
    /// Callers' addresses of the hosts; each request takes one of them.
    pub targets: Vec<Arc<str>>,
    /// Authority of the hosts' certificates, PEM; absent means plain HTTP.
    #[serde(default)]
    pub authority_file: Option<PathBuf>,
    /// Streams of requests.
    pub flows: Vec<FlowSettings>,
}

/// What a flow sends.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FlowKind {
    /// Streamed chat completions at a host.
    #[default]
    Chat,
    /// Generations straight at an engine.
    Engine,
    /// Orders with idempotency keys at a host.
    KeyedOrder,
    /// Orders without idempotency keys at a host.
    Order,
}

/// One stream of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowSettings {
    /// Name in the report.
    pub name: Arc<str>,
    /// What it sends.
    #[serde(default)]
    pub kind: FlowKind,
    /// Key of the caller.
    #[serde(default)]
    pub key: Arc<str>,
    /// Models; each request takes one of them.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Requests a second.
    pub rate: f64,
    /// Changes of the rate over time.
    #[serde(default)]
    pub steps: Vec<RateStep>,
    /// Tokens to generate.
    #[serde(default = "default_tokens")]
    pub tokens: u64,
    /// Words of the prompt that all requests of a model share.
    #[serde(default = "default_words")]
    pub shared_words: u32,
    /// Words of the prompt that differ.
    #[serde(default = "default_words")]
    pub own_words: u32,
    /// Longest time to the first token that counts as attained, in
    /// milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Longest mean time between tokens that counts as attained, in
    /// milliseconds.
    #[serde(default = "default_token_gap_ms")]
    pub token_gap_ms: u64,
    /// Own addresses, in place of the experiment's.
    #[serde(default)]
    pub targets: Vec<Arc<str>>,
}

/// A change of a flow's rate.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// From when, in milliseconds since the start.
    pub at_ms: u64,
    /// Factor on the flow's rate.
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
    /// Returns the length of the experiment.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

impl FlowSettings {
    /// Returns the rate at a time since the start, in requests a second.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let at_ms = at.as_millis() as u64;
        let step = self.steps.iter().rfind(|step| step.at_ms <= at_ms);
        self.rate * step.map_or(1.0, |step| step.factor)
    }
}
