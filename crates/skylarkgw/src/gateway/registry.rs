//! Engines as they describe themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::declaration::ServiceName;
use crate::ids::{DataCentre, EndpointId, ModelName};

/// Whether an engine takes work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnginePhase {
    /// It takes work.
    Ready,
    /// It ends what runs and takes nothing new.
    Draining,
}

/// A model that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HeldModel {
    /// Name of the model.
    pub name: ModelName,
    /// Adapters of it that the engine holds.
    pub adapters: Vec<Arc<str>>,
}

/// One engine's own entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineEntry {
    /// Identifier of the engine.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub phase: EnginePhase,
    /// Time after which it is gone, where it leaves at short notice.
    pub leaves_in: Option<Duration>,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Start of this life, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Models whose weights it keeps in host memory.
    pub copies_in_memory: Vec<ModelName>,
    /// Models whose weights it keeps on disk.
    pub copies_on_disk: Vec<ModelName>,
}
