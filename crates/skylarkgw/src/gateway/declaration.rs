//! The fleet declaration: the routes, services, models, workspaces and limits
//! that operators configure.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ModelName, RegionName, Revision, Tokens, WorkspaceId};

/// Name of a service, a group of interchangeable endpoints.
pub type ServiceName = Arc<str>;

/// Whether a request may be sent to another endpoint although an earlier attempt
/// may have been executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// The request is idempotent and may be repeated.
    Repeatable,
    /// The response is a stream that another endpoint can resume after the last
    /// event received.
    Resumable,
    /// The request must not be executed more than once.
    AtMostOnce,
}

/// A service to which a route sends requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service relative to the other targets of the route.
    pub weight: u32,
}

/// A rule that matches requests and selects a service for them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Value of the `Host` header, without a port.
    pub host: Arc<str>,
    /// Prefix of the path, with a slash at the start and at the end.
    pub path_prefix: Arc<str>,
    /// Services from which one is selected by weight.
    pub targets: Vec<RouteTarget>,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Whether requests may be retried.
    pub repeat: RetryPolicy,
    /// Longest time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Latency objective for the whole response or, for streams, the first event.
    pub latency_objective: Duration,
    /// Maximum number of endpoints to which one request may be sent.
    pub attempt_limit: u32,
    /// Priority rank; zero is the most urgent.
    pub rank: u8,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Regions in which requests may be processed; empty if they may be processed in all.
    pub allowed_regions: Vec<RegionName>,
}

/// A model that the engines of a service can load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ModelRule {
    /// Name of the model.
    pub name: ModelName,
    /// Size of the weights, in megabytes.
    pub weights_mb: f64,
    /// Time to load the model from the weight store.
    pub store_load: Duration,
    /// Size of one adapter of the model, in megabytes.
    pub adapter_mb: f64,
}

/// Models and capacity of the engines of a token-generating service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct GenerationRule {
    /// Memory of one engine for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters on one engine.
    pub adapter_slots: u32,
    /// Maximum rate of loads from the weight store over all engines, in loads per
    /// second.
    pub store_loads_per_s: f64,
    /// Models that the engines can load.
    pub models: Vec<ModelRule>,
}

/// Configuration of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections to one endpoint from all hosts together.
    pub connection_limit: u32,
    /// Time after its start for which an engine is cold; zero if engines are never cold.
    pub cold_start: Duration,
    /// Number of requests per second that a cold engine takes from all hosts together.
    pub cold_requests_per_s: f64,
    /// Models and capacity of its engines, if the service generates tokens.
    pub generation: Option<GenerationRule>,
}

/// Configuration of a workspace: its API keys, rank and quota.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// API keys of the workspace.
    pub keys: Vec<Arc<str>>,
    /// Priority rank that overrides the rank of the route.
    pub rank: Option<u8>,
    /// Quota, in tokens per second; zero means no limit.
    pub tokens_per_s: Tokens,
    /// Number of tokens that may be used at once in excess of the rate.
    pub burst_tokens: Tokens,
    /// Number of tokens charged for a request that states no token count.
    pub default_tokens: Tokens,
    /// Whether the quota counts requests instead of tokens.
    pub counts_requests: bool,
    /// Regions in which requests may be processed; empty if they may be processed in all.
    pub allowed_regions: Vec<RegionName>,
}

/// Size and time limits for client requests.
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

/// The complete configuration of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FleetDeclaration {
    /// Version assigned by the operator; it never decreases.
    pub revision: Revision,
    /// Routes of the fleet.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// Workspaces that may use the fleet.
    ///
    /// `None` means that requests need no key. With an empty list they need one, and
    /// none is valid.
    pub workspaces: Option<Vec<WorkspaceRule>>,
    /// Limits for client requests.
    pub limits: ClientLimits,
}

impl FleetDeclaration {
    /// Returns an iterator over the declared workspaces.
    pub fn iter_workspaces(&self) -> impl Iterator<Item = &WorkspaceRule> {
        self.workspaces.iter().flatten()
    }

    /// Returns whether a request needs a key, unless its route is public.
    ///
    /// This does not depend on whether any key is valid.
    pub fn requires_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Returns whether any request can be accepted: a route is public, or a key is valid or
    /// not needed.
    pub fn has_callers(&self) -> bool {
        !self.requires_keys()
            || self.routes.iter().any(|route| route.is_public)
            || self.iter_workspaces().any(|workspace| !workspace.keys.is_empty())
    }
}
