//! Channels between the gateway and an adapter.
//!
//! The adapter owns every call to the outside and decodes what comes back. The
//! gateway decides what to call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::gateway::declaration::FleetDeclaration;
use crate::gateway::registry::EngineEntry;
use crate::ids::{EndpointId, ModelName, ObjectVersion};

/// What a watch of the store brought.
#[derive(Clone, Debug)]
pub enum StoreUpdate<T> {
    /// The value was current at `as_of`, in time since boot.
    Current {
        /// The value.
        value: T,
        /// Time at which it was current.
        as_of: Duration,
    },
    /// The store gave no usable answer.
    Failed,
}

/// The record that names the coordinator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseRecord {
    /// Host that holds the lease.
    pub holder: Arc<str>,
    /// Its life; a restart takes a higher one.
    pub incarnation: u64,
    /// Address at which other hosts reach it.
    pub address: SocketAddr,
    /// Fencing token; rises with every holder.
    pub token: u64,
    /// Whether the holder has given the lease up.
    pub is_released: bool,
}

/// Answer to a read or a conditional write of the lease record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAnswer {
    /// The record as it is, after a read, a write or a conflict.
    Found {
        /// Version of the record.
        version: ObjectVersion,
        /// The record; `None` if it cannot be decoded.
        record: Option<LeaseRecord>,
        /// Whether the own write took effect.
        is_written: bool,
    },
    /// There is no record.
    Missing,
    /// The call had no effect.
    Refused,
    /// The call may take effect, now or later.
    Unknown,
}

/// A call on the lease record.
#[derive(Debug)]
pub struct LeaseCall {
    /// Version that the record must have and its new value; `None` reads.
    pub write: Option<(Option<ObjectVersion>, LeaseRecord)>,
    /// Takes the answer.
    pub reply: oneshot::Sender<LeaseAnswer>,
}

/// What an engine is told to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model or an adapter.
    Load,
    /// Give up a model or an adapter.
    Unload,
}

/// One order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Engine that is meant; others refuse the order.
    pub engine: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// What to do.
    pub kind: OrderKind,
    /// Model.
    pub model: ModelName,
    /// Adapter of the model.
    pub adapter: Option<Arc<str>>,
    /// Orders that the engine must have accepted before; guards against an
    /// order that is carried out late.
    pub expected_count: u64,
    /// Fencing token of the sender.
    pub token: u64,
}

/// How an engine took an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// The order holds already.
    Holds,
    /// Another order runs, or the count differs.
    Conflict,
    /// The fencing token is too low.
    Fenced,
    /// Another engine has the address, or the order makes no sense there.
    Rejected,
    /// Nothing is known; it may be carried out later.
    Unknown,
}

/// What an engine says of itself when asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Models with the adapters that it holds.
    pub models: Vec<(ModelName, Vec<Arc<str>>)>,
    /// Orders that it has accepted.
    pub order_count: u64,
    /// Whether an order runs.
    pub is_busy: bool,
    /// Adapters on their way to it, as model and adapter.
    pub pending: Vec<(ModelName, Arc<str>)>,
    /// Start of this life, in milliseconds of Unix time.
    pub started_ms: u64,
}

/// A call to an engine.
#[derive(Debug)]
pub enum EngineCall {
    /// Gives an order.
    Order {
        /// The order.
        order: EngineOrder,
        /// Name of this host.
        holder: Arc<str>,
        /// Takes the answer.
        reply: oneshot::Sender<OrderAnswer>,
    },
    /// Asks for a report.
    Report {
        /// Address of the engine.
        address: SocketAddr,
        /// Takes the report; dropped if there is none.
        reply: oneshot::Sender<EngineReport>,
    },
}

/// The gateway's side of all channels.
#[derive(Debug)]
pub struct GatewayPorts {
    /// Declarations as accepted.
    pub declarations: mpsc::Receiver<StoreUpdate<Arc<FleetDeclaration>>>,
    /// The registry of engines.
    pub engines: mpsc::Receiver<StoreUpdate<Vec<EngineEntry>>>,
    /// Whether the adapter watches declarations; otherwise it makes no calls.
    pub watch_declarations: watch::Sender<bool>,
    /// Whether the adapter watches the registry.
    pub watch_engines: watch::Sender<bool>,
    /// Calls on the lease record.
    pub lease: mpsc::Sender<LeaseCall>,
    /// Calls to engines.
    pub orders: mpsc::Sender<EngineCall>,
}
