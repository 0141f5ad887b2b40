//! What operators declare: routes, services, models, workspaces and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ModelName, Revision, Tokens, WorkspaceId};

/// Name of a service: a group of endpoints that can stand in for each other.
pub type ServiceName = Arc<str>;

/// Whether a request may be sent to a second endpoint after it may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// The request is idempotent.
    Repeatable,
    /// A stream that another endpoint can continue after the last event.
    Resumable,
    /// The request must not run twice.
    AtMostOnce,
}

/// One service that a route may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Value of the `Host` header, without a port.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Services to choose from.
    pub targets: Vec<RouteTarget>,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// Whether requests may be sent again.
    pub repeat: RetryPolicy,
    /// Longest time that a caller is kept waiting for the end of the answer.
    pub timeout: Duration,
    /// Latency objective: to the whole answer, or to the first event.
    pub latency_objective: Duration,
    /// Most endpoints that one request may be sent to.
    pub attempt_limit: u32,
    /// Rank; zero is the most urgent.
    pub rank: u8,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A model that a service can hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ModelRule {
    /// Name of the model.
    pub name: ModelName,
    /// Size of its weights, in megabytes.
    pub weights_mb: f64,
    /// Time to load it from the weight store.
    pub store_load: Duration,
    /// Size of one of its adapters, in megabytes.
    pub adapter_mb: f64,
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct GenerationRule {
    /// Memory for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Adapters that an engine holds at most.
    pub adapter_slots: u32,
    /// Loads from the weight store per second, over all engines.
    pub store_loads_per_s: f64,
    /// Declared models.
    pub models: Vec<ModelRule>,
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all hosts together.
    pub connection_limit: u32,
    /// What its engines hold, where they generate tokens.
    pub generation: Option<GenerationRule>,
}

/// One workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Rank that goes before the rank of the route.
    pub rank: Option<u8>,
    /// Quota, in tokens a second; zero means no limit.
    pub tokens_per_s: Tokens,
    /// Tokens beyond the rate that may be used at once.
    pub burst_tokens: Tokens,
    /// Tokens that a request without a count stands for.
    pub default_tokens: Tokens,
    /// Whether the quota counts requests instead of tokens.
    pub counts_requests: bool,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClientLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time between the first and the last byte of a request head.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// The whole declaration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FleetDeclaration {
    /// Version that the operator gave; only rises.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceRule>,
    /// Limits on callers.
    pub limits: ClientLimits,
}
