//! Entries of the engine registry, as published by the engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::declaration::ServiceName;
use crate::ids::{DataCentre, EndpointId, ModelName};

/// Phase of an engine's life cycle.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnginePhase {
    /// The engine accepts requests.
    Ready,
    /// The engine completes running requests and accepts no new ones.
    Draining,
}

/// A model that is loaded on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HeldModel {
    /// Name of the model.
    pub name: ModelName,
    /// Adapters of the model that are loaded.
    pub adapters: Vec<Arc<str>>,
}

/// Registry entry of one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineEntry {
    /// Identifier of the engine.
    pub id: EndpointId,
    /// Service to which the engine belongs.
    pub service: ServiceName,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Data centre of the engine.
    pub data_centre: DataCentre,
    /// Number of requests that the engine processes concurrently.
    pub slots: u32,
    /// Phase of the engine's life cycle.
    pub phase: EnginePhase,
    /// Time until the engine is terminated, if it has received notice of that.
    pub leaves_in: Option<Duration>,
    /// Models that are loaded.
    pub models: Vec<HeldModel>,
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Models whose weights are cached in the engine's host memory.
    pub copies_in_memory: Vec<ModelName>,
    /// Models whose weights are cached on the engine's disk.
    pub copies_on_disk: Vec<ModelName>,
    /// Time for which the engine stays cold, counted from when it published the entry;
    /// zero if it states that it is not cold.
    pub cold_for: Option<Duration>,
    /// Whether the store does not list the entry, and a host keeps it because it may have
    /// expired in an outage of the store.
    pub is_awaited: bool,
}

/// The engine registry as the store returned it.
#[derive(Clone, Debug, Default)]
pub struct RegistryCopy {
    /// Entries that name an engine to use.
    pub entries: Vec<EngineEntry>,
    /// Identifiers whose entries exist and name no engine to use.
    pub unusable: Vec<EndpointId>,
}

impl EngineEntry {
    /// Returns the entry without its adapters and cached weights.
    ///
    /// Hosts forward requests without them, and they change much more often than
    /// the rest. Only the coordinator uses them, which reads the store itself.
    pub fn without_inventory(&self) -> EngineEntry {
        let held = self.models.iter();
        let models =
            held.map(|held| HeldModel { name: held.name.clone(), adapters: Vec::new() }).collect();
        EngineEntry {
            models,
            copies_in_memory: Vec::new(),
            copies_on_disk: Vec::new(),
            ..self.clone()
        }
    }
}
