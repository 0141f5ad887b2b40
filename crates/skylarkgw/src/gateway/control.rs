//! Tasks of the control thread.
//!
//! They follow the declaration and the engine registry, maintain the
//! coordinator lease, exchange reports with the coordinator and, on the
//! coordinator, plan the placement of models.

mod cold;
mod deputy;
mod draws;
mod evacuation;
mod exchange;
mod knowledge;
mod load;
mod placement;
mod quarantine;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep};

use crate::decision::coordinator::{Coordinator, CoordinatorReply, HostReport, KnowledgeAge};
use crate::decision::coordinator_lease::{
    CoordinatorLease, LeaseAction, compute_capacity, takeover_delay,
};
use crate::decision::declaration_confirmation::DeclarationConfirmation;
use crate::decision::deputies::DeputyGuide;
use crate::decision::directory::EngineDirectory;
use crate::decision::evacuations::EvacuationBook;
use crate::decision::fleet_planner::{AdapterDecision, AdapterRequest, PlannerCall};
use crate::decision::quota_pool::PoolStart;
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::exchange::CoordinatorContact;
use crate::gateway::control::placement::{log_obligation_events, log_placement_events};
use crate::gateway::control::quarantine::log_quarantine_events;
use crate::gateway::engine_index::EngineIndex;
use crate::gateway::ports::{
    EngineCall, EngineOrder, LeaseAnswer, LeaseCall, OrderAnswer, WatchMode,
};
use crate::gateway::state::{FleetSnapshot, GatewayState};
use crate::ids::EndpointId;
use crate::telemetry::CoordinatorWork;

/// Interval at which the lease state is checked.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between two runs of the placement planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the time that planning may take. Where a plan takes long, in a large fleet on a
/// slow host, the next one begins later.
const PLAN_TIME_DIVISOR: u32 = 8;
/// Time without a registry update after which the engines are published again.
/// The directory stops listing missing entries some time after a store outage,
/// without an update.
const DIRECTORY_REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// Delay between two attempts to place an adapter.
const ADAPTER_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest time that placing an adapter may take.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(150);

pub use draws::serve_coordinator_requests;
pub use evacuation::follow_evacuations;
pub use exchange::run_exchange;
pub use knowledge::{follow_declarations, follow_engines};
pub use load::log_coordinator_load;

/// State shared by the tasks of the control thread.
///
/// No lock is held across an `.await`.
pub struct ControlContext {
    state: Arc<GatewayState>,
    /// Time since boot at which this host started.
    started_at: Duration,
    /// Capacity of this host to coordinate the fleet.
    capacity: f64,
    lease: Mutex<CoordinatorLease>,
    coordinator: Mutex<Option<Coordinator>>,
    directory: Mutex<EngineDirectory>,
    confirmation: Mutex<DeclarationConfirmation>,
    evacuations: Mutex<EvacuationBook>,
    /// Change count of the directory when its engines were last published.
    published: Mutex<Option<u64>>,
    contact: Mutex<CoordinatorContact>,
    guide: Mutex<DeputyGuide>,
    lease_calls: mpsc::Sender<LeaseCall>,
    engine_calls: mpsc::Sender<EngineCall>,
    watch_declarations: watch::Sender<WatchMode>,
    watch_engines: watch::Sender<WatchMode>,
    watch_evacuations: watch::Sender<WatchMode>,
}

/// Sending halves of the adapter's channels that the control thread uses.
#[derive(Debug)]
pub struct ControlPorts {
    /// Reads and writes of the lease record.
    pub lease_calls: mpsc::Sender<LeaseCall>,
    /// Orders to engines and requests for their reports.
    pub engine_calls: mpsc::Sender<EngineCall>,
    /// Whether and how the adapter watches the declaration.
    pub watch_declarations: watch::Sender<WatchMode>,
    /// Whether and how the adapter watches the engine registry.
    pub watch_engines: watch::Sender<WatchMode>,
    /// Whether and how the adapter watches the evacuations.
    pub watch_evacuations: watch::Sender<WatchMode>,
}

/// Locks a mutex, including one that is poisoned.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No holder leaves a partial update behind, so the value of a poisoned lock
    // is still consistent.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlContext {
    /// Creates the state of a host that does not hold the lease.
    pub fn new(state: Arc<GatewayState>, ports: ControlPorts) -> ControlContext {
        let settings = &state.settings;
        let capacity = compute_capacity(settings.cores, settings.link_mbps);
        let mut lease = CoordinatorLease::new(
            settings.host.clone(),
            state.incarnation,
            settings.peers,
            settings.bounds.lease,
        );
        lease.set_takeover_delay(takeover_delay(capacity, None));
        let directory = EngineDirectory::new(settings.renewal_interval);
        ControlContext {
            state,
            started_at: time_since_boot(),
            capacity,
            lease: Mutex::new(lease),
            coordinator: Mutex::default(),
            directory: Mutex::new(directory),
            confirmation: Mutex::default(),
            evacuations: Mutex::default(),
            published: Mutex::default(),
            contact: Mutex::default(),
            guide: Mutex::default(),
            lease_calls: ports.lease_calls,
            engine_calls: ports.engine_calls,
            watch_declarations: ports.watch_declarations,
            watch_engines: ports.watch_engines,
            watch_evacuations: ports.watch_evacuations,
        }
    }

    /// Processes the report of a host and returns the reply, or `None` if this
    /// host is not the coordinator.
    pub fn handle_report(&self, report: HostReport) -> Option<CoordinatorReply> {
        let now = time_since_boot();
        let lease = lock(&self.lease).remaining(now);
        let revision = self.state.snapshot.load().revision();
        let known_version = report.evacuation_version;
        let (reply, token, stamp, events) = self.with_coordinator(|now, coordinator| {
            let reply =
                self.measure_work(CoordinatorWork::Exchange, || coordinator.exchange(now, report));
            let stamp = coordinator.registry_stamp();
            (reply, coordinator.token(), stamp, coordinator.take_quarantine_events())
        })?;
        if !events.is_empty() {
            self.record_refused_parts();
            log_quarantine_events(events);
        }
        let age = KnowledgeAge {
            revision,
            declaration: self.state.declaration_age(now),
            registry: now.saturating_sub(stamp.as_of),
            registry_position: stamp.position,
            evacuations: None,
        };
        let (evacuation_age, evacuations) = self.share_evacuations(now, token, known_version);
        let age = KnowledgeAge { evacuations: evacuation_age, ..age };
        self.count_reply(&reply);
        Some(CoordinatorReply { age, evacuations, lease, ..reply })
    }

    /// Returns an engine that holds an adapter, after ordering an engine to load
    /// it where necessary.
    ///
    /// Returns `None` if this host is not the coordinator, if no declaration
    /// describes the models of the service, if no engine serves the model, if no
    /// engine holds the adapter and this host may not send orders, or if the adapter
    /// is not placed within `ADAPTER_TIMEOUT`.
    pub async fn place_adapter(self: &Arc<Self>, request: &AdapterRequest) -> Option<EndpointId> {
        let started = time_since_boot();
        let declaration = self.state.snapshot.load().declaration.clone()?;
        let slots = declaration.services.get(&request.service)?.generation.as_ref()?.adapter_slots;
        while time_since_boot().saturating_sub(started) < ADAPTER_TIMEOUT {
            let order_token = lock(&self.lease).order_token(time_since_boot());
            let decision = self.with_coordinator(|now, coordinator| {
                let planner = coordinator.planner_mut();
                planner.place_adapter(now, order_token, request, slots)
            })?;
            match decision {
                AdapterDecision::Ready { engine, at } => {
                    sleep(at.saturating_sub(time_since_boot())).await;
                    return Some(engine);
                }
                AdapterDecision::Order(order) => self.send_order_in_task(order).await,
                AdapterDecision::Wait => sleep(ADAPTER_RETRY_DELAY).await,
                AdapterDecision::NoEngine => return None,
            }
        }
        None
    }

    /// Calls `action` with the coordinator state, or returns `None` if this host does
    /// not hold the lease for that state.
    fn with_coordinator<T>(
        &self,
        action: impl FnOnce(Duration, &mut Coordinator) -> T,
    ) -> Option<T> {
        let now = time_since_boot();
        let token = lock(&self.lease).token(now)?;
        let mut coordinator = lock(&self.coordinator);
        let coordinator =
            coordinator.as_mut().filter(|coordinator| coordinator.token() == token)?;
        Some(action(now, coordinator))
    }

    /// Sends an order in a task of its own and waits until it is answered.
    ///
    /// The caller may be a call of another host, which is aborted at its deadline. The
    /// planner needs the answer all the same.
    async fn send_order_in_task(self: &Arc<Self>, order: EngineOrder) {
        let control = self.clone();
        let sent = tokio::spawn(async move { control.send_order(order).await });
        if let Err(error) = sent.await {
            let error = error.to_string();
            warn!("task of an order failed", kv: { error });
        }
    }

    /// Sends an order to its engine and records the answer in the planner, unless
    /// this host has lost the lease in the meantime.
    async fn send_order(&self, order: EngineOrder) {
        let (reply, answer) = oneshot::channel();
        let holder = self.state.settings.host.clone();
        let call = EngineCall::Order { order: order.clone(), holder, reply };
        // The right to give orders may have ended since the order was planned.
        let may_order = lock(&self.lease).order_token(time_since_boot()) == Some(order.token)
            && self.may_call_engine(&order.engine);
        let answer = match may_order {
            true => match self.engine_calls.send(call).await {
                Ok(()) => answer.await.unwrap_or(OrderAnswer::Unknown),
                Err(_) => OrderAnswer::Undelivered,
            },
            false => OrderAnswer::Undelivered,
        };
        let (engine, model) = (order.engine.to_string(), order.model.to_string());
        let adapter = order.adapter.as_deref().unwrap_or_default().to_owned();
        let (kind, answer_label) = (format!("{:?}", order.kind), format!("{answer:?}"));
        let (token, expected) = (order.token, order.expected_count);
        info!("order given", kv: { engine, kind, model, adapter, token, expected, answer = answer_label });
        let recorded = self.with_coordinator(|now, coordinator| {
            coordinator.record_answer(now, &order, answer);
        });
        if recorded.is_none() {
            warn!("order answered after the coordinator lease was lost", kv: { token });
        }
    }

    /// Requests an engine's report and records it in the planner.
    async fn request_report(&self, engine: EndpointId, address: std::net::SocketAddr) {
        if !self.may_call_engine(&engine) {
            return;
        }
        let (reply, report) = oneshot::channel();
        if self.engine_calls.send(EngineCall::Report { address, reply }).await.is_err() {
            return;
        }
        let Ok(report) = report.await else { return };
        self.with_coordinator(|now, coordinator| {
            coordinator.record_report(now, &engine, report);
        });
    }

    /// Replaces the shared snapshot with a changed copy.
    fn update_snapshot(&self, change: impl FnOnce(&mut FleetSnapshot)) {
        let current = self.state.snapshot.load();
        let mut snapshot = FleetSnapshot {
            declaration: current.declaration.clone(),
            route_table: current.route_table.clone(),
            engines: current.engines.clone(),
            registry: current.registry,
            evacuations: current.evacuations.clone(),
            view: current.view.clone(),
        };
        change(&mut snapshot);
        self.state.snapshot.store(Arc::new(snapshot));
    }

    /// Publishes the engines of the directory to the traffic thread and, on the
    /// coordinator, to its planner.
    fn publish_engines(&self) {
        let now = time_since_boot();
        self.observe_cold_engines(now);
        let (engines, stamp, change_count) = {
            let directory = lock(&self.directory);
            let (stamp, change_count) = (directory.stamp(), directory.change_count());
            if change_count.is_some() && *lock(&self.published) == change_count {
                drop(directory);
                if let Some(coordinator) = lock(&self.coordinator).as_mut() {
                    coordinator.confirm_registry(stamp);
                }
                return;
            }
            (directory.engines(now).cloned().collect::<Vec<_>>(), stamp, change_count)
        };
        // A host that selects an engine must know that it is cold.
        let declaration = self.state.snapshot.load().declaration.clone();
        self.update_cold_engines(now, declaration.as_deref());
        let index = Arc::new(EngineIndex::new(engines.clone()));
        if index != self.state.snapshot.load().engines {
            self.update_snapshot(|snapshot| snapshot.engines = index);
            let starts: HashMap<&EndpointId, u64> =
                engines.iter().map(|entry| (&entry.id, entry.started_ms)).collect();
            let find_start = |engine: &EndpointId| starts.get(engine).copied();
            self.state.lock_engine_statements().update_registry(find_start);
            self.state.log_statement_events();
        }
        // The state outlives a short lapse of the lease, so it must not miss updates
        // that arrive meanwhile.
        if let Some(coordinator) = lock(&self.coordinator).as_mut() {
            self.measure_work(CoordinatorWork::Registry, || {
                coordinator.update_registry(stamp, &engines);
            });
        }
        *lock(&self.published) = change_count;
    }

    /// Starts the release of the lease and waits until it is released, for at most
    /// `timeout`.
    pub async fn release_lease(&self, timeout: Duration) {
        lock(&self.lease).start_release();
        let started = time_since_boot();
        while !lock(&self.lease).has_released()
            && time_since_boot().saturating_sub(started) < timeout
        {
            sleep(LEASE_POLL_INTERVAL).await;
        }
    }
}

/// Renews the lease, or watches it and takes it when it is free, until the
/// adapter closes its channel.
pub async fn maintain_lease(control: Arc<ControlContext>) {
    loop {
        let now = time_since_boot();
        // A host that asks deputies leaves the lease to them.
        let has_contact = control.has_contact(now) || control.asks_deputies(now);
        let (action, token) = {
            let mut lease = lock(&control.lease);
            let action = lease.step(now, has_contact);
            (action, lease.token(now))
        };
        control.apply_token(now, token);
        let write = match action {
            LeaseAction::Wait => {
                sleep(LEASE_POLL_INTERVAL).await;
                continue;
            }
            LeaseAction::Read => None,
            LeaseAction::Write { expected, record } => Some((expected, record)),
        };
        let (reply, answer) = oneshot::channel();
        let sent_at = time_since_boot();
        if control.lease_calls.send(LeaseCall { write, reply }).await.is_err() {
            return;
        }
        let answer = answer.await.unwrap_or(LeaseAnswer::Unknown);
        let now = time_since_boot();
        if let LeaseAnswer::Found { era, record: Some(record), .. } = &answer {
            control.record_named_era(now, record.era);
            control.record_named_era(now, *era);
            control.state.lock_prompt_guard().adopt_refused(now, &record.refused_parts);
        }
        let token = {
            let mut lease = lock(&control.lease);
            lease.handle_answer(now, sent_at, answer);
            lease.token(now)
        };
        control.record_lease_start(now);
        control.apply_token(now, token);
    }
}

impl ControlContext {
    /// Creates the coordinator state when this host takes the lease, and drops it
    /// when the lease ends.
    fn apply_token(&self, now: Duration, token: Option<u64>) {
        let current = lock(&self.coordinator).as_ref().map(Coordinator::token);
        if current == token {
            return;
        }
        match token {
            Some(token) => {
                let is_first_start = self.state.settings.is_first_start;
                let start = if is_first_start && lock(&self.lease).is_first_term() {
                    PoolStart::First
                } else if lock(&self.lease).follows_release() {
                    PoolStart::AfterRelease
                } else {
                    PoolStart::AfterLoss
                };
                let quota = self.state.settings.bounds.quota;
                let mut coordinator = Coordinator::new(now, token, quota, start);
                if let Some(declaration) = &self.state.snapshot.load().declaration {
                    coordinator.apply_declaration(now, declaration);
                }
                let refused = self.state.lock_prompt_guard().refused_parts(now);
                coordinator.adopt_refused(now, &refused);
                coordinator.set_evacuations(&self.state.snapshot.load().evacuations);
                let engines: Vec<_> = lock(&self.directory).engines(now).cloned().collect();
                coordinator.update_registry(lock(&self.directory).stamp(), &engines);
                *lock(&self.coordinator) = Some(coordinator);
                let revision = self.state.snapshot.load().revision();
                let (start, engines) = (start.label(), engines.len());
                info!("coordinator lease taken", kv: { token, start, revision, engines });
            }
            None => {
                *lock(&self.coordinator) = None;
                let token = current.unwrap_or_default();
                warn!("coordinator lease ended", kv: { token });
            }
        }
    }
}

/// Plans the placement of models while this host holds the lease, until the task
/// is cancelled.
pub async fn run_placement(control: Arc<ControlContext>) {
    let mut interval = PLAN_INTERVAL;
    loop {
        sleep(interval).await;
        let Some(declaration) = control.state.snapshot.load().declaration.clone() else { continue };
        if control.state.snapshot.load().evacuations.is_unknown {
            continue;
        }
        let started = Instant::now();
        let order_token = lock(&control.lease).order_token(time_since_boot());
        let window = control.state.settings.bounds.load_window;
        let planned = control.with_coordinator(|now, coordinator| {
            let calls = control.measure_work(CoordinatorWork::Placement, || {
                coordinator.plan(now, order_token, &declaration, window)
            });
            let obligations = coordinator.take_obligation_events();
            let unserved = coordinator.count_unserved_targets();
            (calls, coordinator.take_placement_events(), obligations, unserved)
        });
        interval = PLAN_INTERVAL.max(started.elapsed() * PLAN_TIME_DIVISOR);
        let (calls, events, obligations, unserved) = planned.unwrap_or_default();
        log_placement_events(events);
        log_obligation_events(obligations, &control.state.metrics.fleet);
        control.state.metrics.fleet.set_unserved_targets(unserved);
        for call in calls {
            let control = control.clone();
            tokio::spawn(async move {
                match call {
                    PlannerCall::Order(order) => control.send_order(order).await,
                    PlannerCall::Report { engine, address } => {
                        control.request_report(engine, address).await;
                    }
                }
            });
        }
    }
}
