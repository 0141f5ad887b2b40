//! What the control thread and the traffic thread share.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use crate::decision::coordinator::QuotaAnswer;
use crate::decision::quota_pool::LocalQuota;
use crate::decision::route_table::RouteTable;
use crate::decision::traffic::TrafficLedger;
use crate::endpoint::LinkPool;
use crate::gateway::declaration::{FleetDeclaration, ServiceName};
use crate::gateway::registry::EngineEntry;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::wire::WireCodec;
use crate::ids::{EndpointId, ModelName, Tokens, WorkspaceId};
use crate::telemetry::Metrics;

/// What requests are decided by; replaced as a whole.
#[derive(Debug, Default)]
pub struct FleetSnapshot {
    /// Declaration in force.
    pub declaration: Option<Arc<FleetDeclaration>>,
    /// Its routes and keys.
    pub table: Arc<RouteTable>,
    /// Engines by service.
    pub engines: HashMap<ServiceName, Vec<Arc<EngineEntry>>>,
    /// What the coordinator said last.
    pub view: Arc<FleetView>,
}

/// What the coordinator tells the hosts.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Hosts that the coordinator hears from.
    pub hosts: u32,
    /// Requests that other hosts have at engines.
    pub running_elsewhere: HashMap<EndpointId, u32>,
    /// Models that get no new requests on an engine.
    pub closing: HashSet<(EndpointId, ModelName)>,
    /// Adapters that engines hold.
    pub adapters: HashSet<(EndpointId, ModelName, Arc<str>)>,
}

/// Something that only the coordinator can give.
#[derive(Debug)]
pub enum CoordinatorAsk {
    /// Tokens for one request.
    Quota {
        /// Workspace.
        workspace: WorkspaceId,
        /// Tokens.
        tokens: Tokens,
        /// Takes the answer; dropped if no coordinator is found.
        reply: oneshot::Sender<QuotaAnswer>,
    },
    /// An engine that holds an adapter.
    Adapter {
        /// Service.
        service: ServiceName,
        /// Model.
        model: ModelName,
        /// Adapter.
        adapter: Arc<str>,
        /// Takes the engine; dropped if there is none.
        reply: oneshot::Sender<EndpointId>,
    },
}

/// Shared state of a gateway process.
pub struct GatewayState {
    /// Settings.
    pub settings: GatewaySettings,
    /// Headers of the platform.
    pub codec: WireCodec,
    /// Start of this process, in milliseconds of Unix time.
    pub incarnation: u64,
    /// What requests are decided by.
    pub snapshot: ArcSwap<FleetSnapshot>,
    /// Kept connections to engines.
    pub pool: LinkPool,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Questions to the coordinator.
    pub asks: mpsc::Sender<CoordinatorAsk>,
    /// Whether the process is about to end.
    pub is_draining: AtomicBool,
    /// Callers' connections that are open.
    pub connections: AtomicU32,
    traffic: Mutex<TrafficLedger>,
    purses: Mutex<HashMap<WorkspaceId, LocalQuota>>,
    declared_ms: AtomicU64,
    listed_ms: AtomicU64,
}

impl GatewayState {
    /// Creates the state of a process that knows nothing yet.
    pub fn new(
        settings: GatewaySettings,
        codec: WireCodec,
        incarnation: u64,
        metrics: Arc<Metrics>,
        asks: mpsc::Sender<CoordinatorAsk>,
    ) -> GatewayState {
        GatewayState {
            settings,
            codec,
            incarnation,
            snapshot: ArcSwap::from_pointee(FleetSnapshot::default()),
            pool: LinkPool::default(),
            metrics,
            asks,
            is_draining: AtomicBool::new(false),
            connections: AtomicU32::new(0),
            traffic: Mutex::default(),
            purses: Mutex::default(),
            declared_ms: AtomicU64::new(0),
            listed_ms: AtomicU64::new(0),
        }
    }

    /// Locks the traffic ledger.
    pub fn traffic(&self) -> MutexGuard<'_, TrafficLedger> {
        // The ledger holds counts only; a panic leaves none half changed.
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the purses.
    pub fn purses(&self) -> MutexGuard<'_, HashMap<WorkspaceId, LocalQuota>> {
        self.purses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the declaration was current at a time since boot.
    pub fn note_declared(&self, as_of: Duration) {
        self.declared_ms.fetch_max(as_of.as_millis() as u64, Ordering::Relaxed);
    }

    /// Notes that the registry was current at a time since boot.
    pub fn note_listed(&self, as_of: Duration) {
        self.listed_ms.fetch_max(as_of.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the age of the declaration.
    pub fn declaration_age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.declared_ms.load(Ordering::Relaxed)))
    }

    /// Returns the age of the registry.
    pub fn registry_age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.listed_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether the process is about to end.
    pub fn draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Returns the hosts that share budgets, at least one.
    pub fn host_count(&self) -> u32 {
        self.snapshot.load().view.hosts.max(1)
    }
}
