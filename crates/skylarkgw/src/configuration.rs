//! The accepted configuration: what operators declared for the fleet.

mod check;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use check::ConfigurationError;

use crate::ids::{DataCentre, EndpointId, KeyHash, ModelName, Revision, Tokens, WorkspaceId};

/// Everything that one accepted revision declares.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfiguration {
    /// Number of this configuration; zero before the first acceptance.
    pub revision: Revision,
    /// Identifier that the client gave to the change which led here.
    pub change: Arc<str>,
    /// Models by the name that callers use.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Adapters by the name that callers use.
    pub adapters: BTreeMap<ModelName, AdapterSpec>,
    /// Workspaces with their allowance.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
    /// Keys by their keyed hash.
    pub keys: BTreeMap<KeyHash, KeySpec>,
    /// Engines and plain services.
    pub endpoints: BTreeMap<EndpointId, EndpointSpec>,
    /// Plain routes by the first segment of their path.
    pub routes: BTreeMap<Arc<str>, RouteSpec>,
    /// Limits of the weight store.
    pub weight_store: WeightStoreSpec,
}

/// One model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version that serves.
    pub version: Arc<str>,
    /// Version that is being rolled out beside it.
    #[serde(default)]
    pub next: Option<Arc<str>>,
    /// Accelerator memory of one replica, in mebibytes.
    pub memory_mb: u64,
    /// Replicas over all engines.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
}

const DEFAULT_REPLICAS: u32 = 1;

fn default_replicas() -> u32 {
    DEFAULT_REPLICAS
}

/// Limits of the store that engines load weights from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreSpec {
    /// Loads at the same time.
    pub in_flight: u32,
    /// Loads a minute.
    pub loads_per_minute: u32,
}

const DEFAULT_LOADS_IN_FLIGHT: u32 = 10;
const DEFAULT_LOADS_PER_MINUTE: u32 = 96;

impl Default for WeightStoreSpec {
    fn default() -> WeightStoreSpec {
        WeightStoreSpec {
            in_flight: DEFAULT_LOADS_IN_FLIGHT,
            loads_per_minute: DEFAULT_LOADS_PER_MINUTE,
        }
    }
}

/// One adapter on top of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Model that the adapter extends.
    pub base: ModelName,
}

/// One workspace and its allowance over all hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Sustained allowance, in tokens a second.
    pub rate: Tokens,
    /// Allowance that may be spent at once, in tokens.
    pub burst: Tokens,
    /// Whether a withdrawn key also ends streams that already run.
    #[serde(default)]
    pub cut_streams: bool,
}

/// One key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// Workspace that requests with this key run for.
    pub workspace: WorkspaceId,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// One endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// IP address and port.
    pub address: Arc<str>,
    /// Data centre that the endpoint stands in.
    pub data_centre: DataCentre,
    /// Engine or service.
    pub kind: EndpointKind,
    /// Whether the endpoint is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Requests that the endpoint runs side by side; more wait inside it.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

const DEFAULT_SLOTS: u32 = 32;

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

/// One route to plain services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Endpoints that serve the route.
    pub endpoints: Vec<EndpointId>,
    /// Whether the route is open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// Calls that may be repeated; all others run at most once.
    #[serde(default)]
    pub idempotent: Vec<CallPattern>,
}

/// A method and the start of a path below a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method in capitals.
    pub method: Arc<str>,
    /// Start of the path, from the slash behind the route's name.
    pub path: Arc<str>,
}

/// A model name resolved to what an engine has to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedModel {
    /// Model to run.
    pub model: ModelName,
    /// Adapter on top of it, if the caller addressed one.
    pub adapter: Option<ModelName>,
}

impl FleetConfiguration {
    /// Returns the model behind a name that a caller used, if one is declared.
    pub fn resolve_model(&self, name: &str) -> Option<ResolvedModel> {
        if let Some((model, _)) = self.models.get_key_value(name) {
            return Some(ResolvedModel { model: model.clone(), adapter: None });
        }
        let (adapter, spec) = self.adapters.get_key_value(name)?;
        self.models
            .contains_key(&spec.base)
            .then(|| ResolvedModel { model: spec.base.clone(), adapter: Some(adapter.clone()) })
    }

    /// Returns every name that callers may use, in order.
    pub fn addressable_names(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys().chain(self.adapters.keys())
    }
}

impl RouteSpec {
    /// Returns whether a call on this route may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent
            .iter()
            .any(|pattern| &*pattern.method == method && path.starts_with(&*pattern.path))
    }
}

/// Changes whose records the head keeps.
pub const HISTORY_LENGTH: usize = 128;

/// The object that accepts a configuration: one write of it is the acceptance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeadDocument {
    /// Configuration that is accepted.
    pub configuration: Arc<FleetConfiguration>,
    /// The latest changes, newest last.
    pub history: Vec<ChangeRecord>,
}

/// One accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Identifier that the client gave it.
    pub id: Arc<str>,
    /// Revision that it made.
    pub revision: Revision,
    /// Who made it.
    pub author: Arc<str>,
    /// What it did, in the operators' language.
    pub summary: Arc<str>,
    /// When it was accepted, in seconds since 1970.
    pub accepted_at: u64,
}
