//! State shared by the control thread and the traffic thread.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use spdlog::info;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};

use crate::decision::cold_engines::ColdEngines;
use crate::decision::coordinator::{EngineLimits, QuotaAnswer};
use crate::decision::dispatch::engine_loads::{EngineLoads, EngineNumber};
use crate::decision::dispatch::traffic::TrafficStats;
use crate::decision::dispatch::wait_queue::{QueueLimits, WaitQueue, WaitTarget};
use crate::decision::engine_statements::{EngineStatements, KnownStatement};
use crate::decision::evacuations::EvacuationView;
use crate::decision::fleet_planner::{AdapterRequest, EngineNotice};
use crate::decision::memory_budget::BudgetLimits;
use crate::decision::obligations::ServiceLog;
use crate::decision::prompt_guard::PromptGuard;
use crate::decision::quota_pool::{LocalQuota, QuotaDraw};
use crate::decision::route_table::RouteTable;
use crate::decision::stop_plan::StopPlan;
use crate::decision::store_order::StorePosition;
use crate::endpoint::{ByteBudget, ConnectionPool};
use crate::gateway::clock::time_since_boot;
use crate::gateway::declaration::FleetDeclaration;
use crate::gateway::engine_index::EngineIndex;
use crate::gateway::registry::EngineEntry;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::wire::HeaderCodec;
use crate::ids::{EndpointId, Revision, WorkspaceId};
use crate::telemetry::Metrics;

/// Part of the memory of the process that is used for clients.
const CLIENT_MEMORY_DIVISOR: usize = 2;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that is left to idle connections to engines, to other
/// hosts and to the store.
const OTHER_DESCRIPTORS_DIVISOR: usize = 8;

/// An immutable view of the fleet from which requests are routed.
///
/// Every change replaces the whole snapshot.
#[derive(Debug, Default)]
pub struct FleetSnapshot {
    /// Declaration in force.
    pub declaration: Option<Arc<FleetDeclaration>>,
    /// Routes and keys of the declaration, indexed for lookup.
    pub route_table: Arc<RouteTable>,
    /// Engines that may receive requests.
    pub engines: Arc<EngineIndex>,
    /// Origin of the engines.
    pub registry: RegistryOrigin,
    /// Data centres to whose engines nothing is sent.
    pub evacuations: Arc<EvacuationView>,
    /// State from the last reply of the coordinator.
    pub view: Arc<FleetView>,
}

impl FleetSnapshot {
    /// Returns the revision of the declaration in force, or zero without one.
    pub fn revision(&self) -> Revision {
        self.declaration.as_ref().map_or(0, |declaration| declaration.revision)
    }
}

/// Origin of a copy of the engine registry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RegistryOrigin {
    /// Position of the store up to which the copy contains all changes.
    pub position: StorePosition,
    /// Where the copy came from.
    pub source: RegistrySource,
}

/// Where a host got its copy of the engine registry or of the evacuations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RegistrySource {
    /// Read by the host itself.
    #[default]
    Store,
    /// Received from the coordinator.
    Coordinator,
    /// Received from a deputy.
    Deputy,
}

impl RegistrySource {
    /// Returns the short name of the source in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            RegistrySource::Store => "store",
            RegistrySource::Coordinator => "coordinator",
            RegistrySource::Deputy => "deputy",
        }
    }
}

/// Fleet-wide state that the coordinator sends to every host.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Number of hosts from which the coordinator receives reports.
    pub hosts: u32,
    /// Number of requests of all hosts that run at each engine.
    pub loads: EngineLoads,
    /// Numbers of the engines in `loads`.
    pub numbers: Arc<HashMap<EndpointId, EngineNumber>>,
    /// Requests of this host that are part of `loads`, by the number of the engine.
    pub reported: HashMap<EngineNumber, u32>,
    /// Time since boot at which `loads` arrived.
    pub loads_at: Duration,
    /// Placement on each engine.
    pub placement: Arc<HashMap<EndpointId, Arc<EngineNotice>>>,
}

impl FleetView {
    /// Returns the number of requests of other hosts that run at an engine.
    pub fn running_elsewhere(&self, engine: &EndpointId) -> u32 {
        let Some(number) = self.numbers.get(engine) else { return 0 };
        let own = self.reported.get(number).copied().unwrap_or_default();
        self.loads.get(*number).saturating_sub(own)
    }
}

/// A request of the traffic thread that only the coordinator can answer.
#[derive(Debug)]
pub enum CoordinatorRequest {
    /// Draws quota tokens for one client request.
    Quota {
        /// Tokens to draw, and the quota that this host knows.
        draw: QuotaDraw,
        /// Receives the answer; dropped if no coordinator is reachable in time.
        reply: oneshot::Sender<QuotaAnswer>,
    },
    /// Draws one request to an engine from its limits.
    EngineRequest {
        /// Engine to which the request is to be sent.
        engine: EndpointId,
        /// Limits that this host knows.
        limits: EngineLimits,
        /// Receives the answer; dropped if no coordinator is reachable in time.
        reply: oneshot::Sender<QuotaAnswer>,
    },
    /// Finds an engine that holds an adapter, having it loaded if necessary.
    Adapter {
        /// The adapter, and where it may be used.
        request: AdapterRequest,
        /// Receives the engine; dropped if there is none.
        reply: oneshot::Sender<EndpointId>,
    },
}

/// Shared state of a gateway process.
pub struct GatewayState {
    /// Settings read at startup.
    pub settings: GatewaySettings,
    /// Conversion of the platform's headers.
    pub codec: HeaderCodec,
    /// Start time of this process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// View of the fleet from which requests are routed.
    pub snapshot: ArcSwap<FleetSnapshot>,
    /// Idle connections to engines, kept for reuse.
    pub pool: ConnectionPool,
    /// Memory and descriptors for clients: connections, requests and held answers.
    pub held_bodies: ByteBudget,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Queue of requests to the coordinator.
    pub coordinator_requests: mpsc::Sender<CoordinatorRequest>,
    /// Times in the stop of this host, once it has begun.
    pub stop_plan: OnceLock<StopPlan>,
    /// Set shortly before the process ends, to answer the requests that still run.
    pub process_end: watch::Sender<bool>,
    /// Number of open client connections.
    pub open_connections: AtomicU32,
    traffic: Mutex<TrafficStats>,
    wait_queue: Mutex<WaitQueue<Arc<Notify>>>,
    local_quotas: Mutex<HashMap<WorkspaceId, LocalQuota>>,
    prompt_guard: Mutex<PromptGuard>,
    engine_statements: Mutex<EngineStatements>,
    cold_engines: Mutex<ColdEngines>,
    service_log: Mutex<ServiceLog>,
    declaration_as_of_ms: AtomicU64,
    registry_as_of_ms: AtomicU64,
    evacuations_as_of_ms: AtomicU64,
}

impl GatewayState {
    /// Creates the state of a process that has received neither a declaration nor
    /// a registry.
    pub fn new(
        settings: GatewaySettings,
        codec: HeaderCodec,
        incarnation: u64,
        metrics: Arc<Metrics>,
        coordinator_requests: mpsc::Sender<CoordinatorRequest>,
    ) -> GatewayState {
        let evacuations = match settings.bounds.evacuation {
            Some(_) => EvacuationView::unknown(),
            None => EvacuationView::default(),
        };
        let snapshot =
            FleetSnapshot { evacuations: Arc::new(evacuations), ..FleetSnapshot::default() };
        let wait_queue = WaitQueue::new(QueueLimits::new(settings.memory_mb as usize));
        let limits = client_limits(&settings);
        GatewayState {
            settings,
            codec,
            incarnation,
            snapshot: ArcSwap::from_pointee(snapshot),
            pool: ConnectionPool::default(),
            held_bodies: ByteBudget::with_limits(limits),
            metrics,
            coordinator_requests,
            stop_plan: OnceLock::new(),
            process_end: watch::Sender::new(false),
            open_connections: AtomicU32::new(0),
            traffic: Mutex::default(),
            wait_queue: Mutex::new(wait_queue),
            local_quotas: Mutex::default(),
            prompt_guard: Mutex::default(),
            engine_statements: Mutex::default(),
            cold_engines: Mutex::default(),
            service_log: Mutex::default(),
            declaration_as_of_ms: AtomicU64::new(0),
            registry_as_of_ms: AtomicU64::new(0),
            evacuations_as_of_ms: AtomicU64::new(0),
        }
    }

    /// Locks the counts of requests.
    pub fn lock_traffic(&self) -> MutexGuard<'_, TrafficStats> {
        // `TrafficStats` holds only counts, and a panic leaves none partly updated.
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the requests that wait for a free place at an engine.
    pub fn lock_wait_queue(&self) -> MutexGuard<'_, WaitQueue<Arc<Notify>>> {
        // Every change is a single call, so a panic leaves none half done.
        self.wait_queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the waiting requests whose target `is_affected`, the first one first.
    pub fn wake_waiting(&self, is_affected: impl Fn(&WaitTarget) -> bool) {
        let wakers = self.lock_wait_queue().find_wakers(is_affected);
        wakers.iter().for_each(|waker| waker.notify_one());
    }

    /// Locks the quota tokens that this host holds for each workspace.
    pub fn lock_local_quotas(&self) -> MutexGuard<'_, HashMap<WorkspaceId, LocalQuota>> {
        self.local_quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what this host knows about prompt parts that crash engines.
    pub fn lock_prompt_guard(&self) -> MutexGuard<'_, PromptGuard> {
        // A panic leaves at most one observation out.
        self.prompt_guard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what engines have stated about themselves.
    pub fn lock_engine_statements(&self) -> MutexGuard<'_, EngineStatements> {
        // Every change is a single call, so a panic leaves none half done.
        self.engine_statements.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of cold engines.
    pub fn lock_cold_engines(&self) -> MutexGuard<'_, ColdEngines> {
        // Every change is a single call, so a panic leaves none half done.
        self.cold_engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether an engine counts as cold.
    pub fn is_cold(&self, entry: &EngineEntry) -> bool {
        let cold_engines = self.lock_cold_engines();
        cold_engines.find_cold(time_since_boot(), &entry.id, entry.started_ms).is_some()
    }

    /// Locks the outcomes of requests by model, adapter and engine.
    pub fn lock_service_log(&self) -> MutexGuard<'_, ServiceLog> {
        // A panic leaves at most one outcome out.
        self.service_log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is known of an engine's statements.
    pub fn find_statement(&self, entry: &EngineEntry) -> KnownStatement {
        let statements = self.lock_engine_statements();
        statements.find(time_since_boot(), &entry.id, entry.started_ms)
    }

    /// Logs and counts what has changed in the statements of engines.
    pub fn log_statement_events(&self) {
        let events = self.lock_engine_statements().take_events();
        for event in events {
            let (engine, started_ms) = (event.engine.to_string(), event.started_ms);
            let (change, value) = (event.change.label(), event.change.value());
            let source = if event.is_own { "answer" } else { "coordinator" };
            self.metrics.fleet.count_statement_change(change, source);
            info!("engine statement changed", kv: { engine, started_ms, change, value, source });
        }
    }

    /// Records that the declaration was current at `as_of`, in time since boot.
    pub fn record_declaration_time(&self, as_of: Duration) {
        self.declaration_as_of_ms.fetch_max(as_of.as_millis() as u64, Ordering::Relaxed);
    }

    /// Records that the registry was current at `as_of`, in time since boot.
    pub fn record_registry_time(&self, as_of: Duration) {
        self.registry_as_of_ms.fetch_max(as_of.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns whether the declaration has been confirmed to be current since the start.
    pub fn has_confirmed_declaration(&self) -> bool {
        self.declaration_as_of_ms.load(Ordering::Relaxed) > 0
    }

    /// Returns the time since the declaration was last confirmed to be current, or
    /// since boot if that has not happened yet.
    pub fn declaration_age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.declaration_as_of_ms.load(Ordering::Relaxed)))
    }

    /// Returns the time since the registry was last confirmed to be current, or
    /// since boot if that has not happened yet.
    pub fn registry_age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.registry_as_of_ms.load(Ordering::Relaxed)))
    }

    /// Records that the evacuations were current at `as_of`, in time since boot.
    pub fn record_evacuation_time(&self, as_of: Duration) {
        self.evacuations_as_of_ms.fetch_max(as_of.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the time since the evacuations were last confirmed to be current, or
    /// since boot if that has not happened yet.
    pub fn evacuation_age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.evacuations_as_of_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether the host is draining before it exits.
    pub fn is_draining(&self) -> bool {
        self.stop_plan.get().is_some()
    }

    /// Waits for the result of `future` until `deadline`, or until the process is about to
    /// end.
    pub async fn wait_until<T>(
        &self,
        deadline: Instant,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let mut end = self.process_end.subscribe();
        tokio::select! {
            result = timeout_at(deadline, future) => result.ok(),
            // The sender is part of this state, so it cannot be dropped.
            _ = end.wait_for(|is_set| *is_set) => None,
        }
    }

    /// Returns the number of hosts that share quotas and retry budgets, at least
    /// one.
    pub fn host_count(&self) -> u32 {
        self.snapshot.load().view.hosts.max(1)
    }
}

/// Returns what a process may hold for its clients.
fn client_limits(settings: &GatewaySettings) -> BudgetLimits {
    let bytes = settings.memory_mb as usize * 1024 * 1024 / CLIENT_MEMORY_DIVISOR;
    let Some(max_fds) = settings.max_fds else {
        let unlimited = usize::MAX;
        return BudgetLimits { bytes, descriptors: unlimited, all_descriptors: unlimited };
    };
    let sockets = max_fds.saturating_sub(FILE_DESCRIPTORS);
    let others = sockets / OTHER_DESCRIPTORS_DIVISOR;
    let descriptors = sockets - others;
    BudgetLimits { bytes, descriptors, all_descriptors: descriptors + others / 2 }
}
