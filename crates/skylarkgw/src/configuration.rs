//! The configuration of the fleet, as declared by operators.

mod check;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use check::ConfigurationError;

use crate::ids::{DataCentre, EndpointId, KeyHash, ModelName, Revision, Tokens, WorkspaceId};

/// One revision of the configuration of the fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfiguration {
    /// Revision number. Zero before the first change is accepted.
    pub revision: Revision,
    /// Identifier of the change that created this revision, chosen by the client.
    pub change: Arc<str>,
    /// Models by the name that clients use.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Adapters by the name that clients use.
    pub adapters: BTreeMap<ModelName, AdapterSpec>,
    /// Workspaces with their allowances.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
    /// API keys by their keyed hash.
    pub keys: BTreeMap<KeyHash, KeySpec>,
    /// Model engines and plain services.
    pub endpoints: BTreeMap<EndpointId, EndpointSpec>,
    /// Routes to plain services by the first segment of their path.
    pub routes: BTreeMap<Arc<str>, RouteSpec>,
    /// Limits of the weight store.
    pub weight_store: WeightStoreSpec,
}

/// The declaration of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version in force.
    pub version: Arc<str>,
    /// Version that is being rolled out, if any.
    #[serde(default)]
    pub next: Option<Arc<str>>,
    /// Accelerator memory of one replica, in mebibytes.
    pub memory_mb: u64,
    /// Number of replicas over all engines.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
}

/// Replicas of a model that is declared without a number.
const DEFAULT_REPLICAS: u32 = 1;

fn default_replicas() -> u32 {
    DEFAULT_REPLICAS
}

/// Limits of the store from which engines load model weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreSpec {
    /// Largest number of concurrent loads.
    pub in_flight: u32,
    /// Largest number of loads started per minute.
    pub loads_per_minute: u32,
}

/// Concurrent loads from a weight store without declared limits.
const DEFAULT_LOADS_IN_FLIGHT: u32 = 10;
/// Loads started per minute from a weight store without declared limits.
const DEFAULT_LOADS_PER_MINUTE: u32 = 96;

impl Default for WeightStoreSpec {
    fn default() -> WeightStoreSpec {
        WeightStoreSpec {
            in_flight: DEFAULT_LOADS_IN_FLIGHT,
            loads_per_minute: DEFAULT_LOADS_PER_MINUTE,
        }
    }
}

/// The declaration of an adapter for a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Model that the adapter extends.
    pub base: ModelName,
}

/// The declaration of a workspace with its allowance over all hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Sustained rate of the allowance, in tokens per second.
    pub rate: Tokens,
    /// Largest number of tokens that may be spent at once.
    pub burst: Tokens,
    /// Whether withdrawing a key also ends the running streams of that key.
    #[serde(default)]
    pub cut_streams: bool,
}

/// The declaration of an API key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// Workspace to which requests with this key are charged.
    pub workspace: WorkspaceId,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// The declaration of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// IP address and port.
    pub address: Arc<str>,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Whether the endpoint is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the engine rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Number of requests that the endpoint runs concurrently. Further requests are
    /// queued at the endpoint.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// Slots of an endpoint that is declared without a number.
const DEFAULT_SLOTS: u32 = 32;

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

/// The declaration of a route to plain services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Endpoints that serve the route.
    pub endpoints: Vec<EndpointId>,
    /// Whether the route accepts requests without an API key.
    #[serde(default)]
    pub open: bool,
    /// Calls that may be retried. All other calls run at most once.
    #[serde(default)]
    pub idempotent: Vec<CallPattern>,
}

/// A pattern of calls on a route: an HTTP method and a path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path prefix, starting with the slash after the route's name.
    pub path: Arc<str>,
}

/// A resolved model name: the model and adapter that an engine has to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedModel {
    /// Model to run.
    pub model: ModelName,
    /// Adapter to apply, if the name is that of an adapter.
    pub adapter: Option<ModelName>,
}

impl FleetConfiguration {
    /// Returns whether an endpoint is leaving or is not declared.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        self.endpoints.get(endpoint).is_none_or(|spec| spec.leaving)
    }

    /// Resolves the name of a model or adapter, or returns `None` if it is not
    /// declared.
    pub fn resolve_model(&self, name: &str) -> Option<ResolvedModel> {
        if let Some((model, _)) = self.models.get_key_value(name) {
            return Some(ResolvedModel { model: model.clone(), adapter: None });
        }
        let (adapter, spec) = self.adapters.get_key_value(name)?;
        self.models
            .contains_key(&spec.base)
            .then(|| ResolvedModel { model: spec.base.clone(), adapter: Some(adapter.clone()) })
    }

    /// Returns the names that clients may use: models first, then adapters, each in
    /// lexical order.
    pub fn addressable_names(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys().chain(self.adapters.keys())
    }
}

impl RouteSpec {
    /// Returns whether a call on this route may be retried.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent
            .iter()
            .any(|pattern| &*pattern.method == method && path.starts_with(&*pattern.path))
    }
}

/// Largest number of change records in the head document.
pub const HISTORY_LENGTH: usize = 128;

/// The platform object with the accepted configuration and its history.
///
/// A change is accepted by one conditional write of this object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeadDocument {
    /// Accepted configuration.
    pub configuration: Arc<FleetConfiguration>,
    /// Latest changes, with the newest last.
    pub history: Vec<ChangeRecord>,
}

/// The record of an accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Identifier of the change, chosen by the client.
    pub id: Arc<str>,
    /// Revision that the change created.
    pub revision: Revision,
    /// Author of the change.
    pub author: Arc<str>,
    /// Effect of the change, as a statement of the operator language.
    pub summary: Arc<str>,
    /// Time of acceptance, in seconds since the Unix epoch.
    pub accepted_at: u64,
}
