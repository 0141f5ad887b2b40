//! Channels between the gateway and a platform adapter.
//!
//! The adapter makes every call to the platform and decodes the responses. The
//! gateway decides which calls are made.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::decision::evacuations::DeclaredEvacuation;
use crate::decision::store_order::StorePosition;
use crate::gateway::declaration::FleetDeclaration;
use crate::gateway::registry::RegistryCopy;
use crate::ids::{EndpointId, ModelName, ObjectVersion, PartHash, StoreEra};

/// Result of one read or watch of the store.
#[derive(Clone, Debug)]
pub enum StoreUpdate<T> {
    /// The store returned the current value.
    Current {
        /// The value.
        value: T,
        /// Position of the store up to which the value contains all changes.
        position: StorePosition,
        /// Time since boot at which the value was current.
        as_of: Duration,
    },
    /// The store returned no usable response.
    Failed,
}

/// Whether and how the adapter watches a kind of object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchMode {
    /// It makes no calls.
    Off,
    /// It watches.
    On {
        /// Delay between an answer with changes and the next watch.
        batch_delay: Duration,
    },
}

/// The lease record in the store, which names the coordinator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseRecord {
    /// Host that holds the lease.
    pub holder: Arc<str>,
    /// Incarnation of the holder, which increases with every restart.
    pub incarnation: u64,
    /// Address at which other hosts reach the holder.
    pub address: SocketAddr,
    /// Fencing token, which increases with every new holder.
    pub token: u64,
    /// Era of the store that the holder expected when it wrote the record. `None` if it
    /// knew none, and in records of older versions.
    pub era: Option<StoreEra>,
    /// Whether the holder has released the lease.
    pub is_released: bool,
    /// Prompt parts that are refused, each with the time from the write until a trial
    /// is due.
    pub refused_parts: Vec<(PartHash, Duration)>,
}

/// Result of a read or a conditional write of the lease record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAnswer {
    /// The current record, after a read, a write or a conflict.
    Found {
        /// Version of the record.
        version: ObjectVersion,
        /// Era of the store in which it answered.
        era: Option<StoreEra>,
        /// The record, or `None` if it cannot be decoded.
        record: Option<LeaseRecord>,
        /// Whether the record was written by this call.
        is_written: bool,
    },
    /// The record does not exist.
    Missing {
        /// Era of the store in which it answered.
        era: Option<StoreEra>,
    },
    /// The call failed without effect.
    Refused,
    /// No response arrived; a write may have taken effect or may do so later.
    Unknown,
}

/// A read or a conditional write of the lease record.
#[derive(Debug)]
pub struct LeaseCall {
    /// Version that the record must have, `None` if it must not exist, with the new
    /// record. A call without a write reads the record.
    pub write: Option<(Option<ObjectVersion>, LeaseRecord)>,
    /// Receives the result.
    pub reply: oneshot::Sender<LeaseAnswer>,
}

/// Action that an order requests from an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Loads a model or an adapter.
    Load,
    /// Unloads a model or an adapter.
    Unload,
}

/// An order of the coordinator to load or unload a model or an adapter, which the
/// platform adapter sends to an engine.
///
/// [`decision::placement::EngineOrder`](crate::decision::placement::EngineOrder) is
/// a different type, which does not pass through a platform adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Engine to which the order is addressed; any other engine rejects it.
    pub engine: EndpointId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Requested action.
    pub kind: OrderKind,
    /// Model to load or unload, or to which the adapter belongs.
    pub model: ModelName,
    /// Adapter to load or unload; `None` means the model itself.
    pub adapter: Option<Arc<str>>,
    /// Number of orders that the engine must have accepted before this one.
    ///
    /// The engine refuses an order whose count differs, so an order that arrives
    /// late has no effect.
    pub expected_count: u64,
    /// Fencing token of the coordinator that sends the order.
    pub token: u64,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine accepted the order and carries it out.
    Accepted,
    /// The engine is already in the requested state.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine refused the order because its fencing token is too low.
    Fenced,
    /// The order was rejected because another engine has the address or because the order
    /// is not valid there. It will not be carried out.
    Rejected,
    /// The order was not delivered and will not be carried out.
    Undelivered,
    /// The outcome is unknown; the order may still be carried out.
    Unknown,
}

/// State of an engine, as reported by the engine itself to the platform adapter.
///
/// [`decision::placement::EngineReport`](crate::decision::placement::EngineReport)
/// is a different type, which does not pass through a platform adapter.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Loaded models, each with its loaded adapters.
    pub models: Vec<(ModelName, Vec<Arc<str>>)>,
    /// Number of orders accepted since the engine started.
    pub order_count: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Adapters that are being loaded, as pairs of model and adapter.
    pub pending: Vec<(ModelName, Arc<str>)>,
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// A call to an engine.
#[derive(Debug)]
pub enum EngineCall {
    /// Sends an order.
    Order {
        /// The order.
        order: EngineOrder,
        /// Name of this host, the holder of the lease.
        holder: Arc<str>,
        /// Receives the engine's answer.
        reply: oneshot::Sender<OrderAnswer>,
    },
    /// Requests a report.
    Report {
        /// Address of the engine.
        address: SocketAddr,
        /// Receives the report; dropped if none arrives.
        reply: oneshot::Sender<EngineReport>,
    },
}

/// The gateway's ends of all channels to the adapter.
#[derive(Debug)]
pub struct GatewayPorts {
    /// Updates of the declaration.
    pub declarations: mpsc::Receiver<StoreUpdate<Arc<FleetDeclaration>>>,
    /// Updates of the engine registry.
    pub engines: mpsc::Receiver<StoreUpdate<RegistryCopy>>,
    /// Updates of the evacuations; closed if the deployment has none.
    pub evacuations: mpsc::Receiver<StoreUpdate<Vec<DeclaredEvacuation>>>,
    /// Whether and how the adapter watches the declaration; initially not.
    pub watch_declarations: watch::Sender<WatchMode>,
    /// Whether and how the adapter watches the engine registry; initially not.
    pub watch_engines: watch::Sender<WatchMode>,
    /// Whether and how the adapter watches the evacuations; initially not.
    pub watch_evacuations: watch::Sender<WatchMode>,
    /// Reads and writes of the lease record.
    pub lease_calls: mpsc::Sender<LeaseCall>,
    /// Orders to engines and requests for their reports.
    pub engine_calls: mpsc::Sender<EngineCall>,
}
