//! The control thread: knowledge of the fleet, the lease, the exchange.

mod knowledge;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::decision::coordinator::{
    Coordinator, CoordinatorReply, HostReport, KnowledgeAge, QuotaAnswer,
};
use crate::decision::coordinator_lease::{CoordinatorLease, LeaseAction};
use crate::decision::directory::EngineDirectory;
use crate::decision::fleet_planner::{AdapterStep, PlannerCall};
use crate::decision::freshness::exchange_interval;
use crate::decision::quota_bank::QuotaPurse;
use crate::gateway::clock::boot_time;
use crate::gateway::declaration::ServiceName;
use crate::gateway::peers::CoordinatorClient;
use crate::gateway::ports::{EngineCall, EngineOrder, LeaseAnswer, LeaseCall, OrderAnswer};
use crate::gateway::registry::EngineEntry;
use crate::gateway::state::{CoordinatorAsk, FleetSnapshot, FleetView, GatewayState};
use crate::ids::{EndpointId, HostId, ModelName, Tokens, WorkspaceId};

/// Time between two looks at the lease.
const LEASE_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two steps of the planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks at entries that may have lapsed.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an exchange after which the coordinator counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(600);
/// Time that a request waits for its tokens where no coordinator is found.
const QUOTA_PATIENCE: Duration = Duration::from_millis(450);
/// Time between two tries to find one.
const QUOTA_PAUSE: Duration = Duration::from_millis(40);
/// Time between two tries to give an adapter a place.
const ADAPTER_PAUSE: Duration = Duration::from_millis(5);
/// Time that an adapter waits for a place.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(150);

pub use knowledge::{follow_declarations, follow_engines};

/// State of the control thread; no lock is held while it waits.
pub struct ControlContext {
    state: Arc<GatewayState>,
    lease: Mutex<CoordinatorLease>,
    coordinator: Mutex<Option<Coordinator>>,
    directory: Mutex<EngineDirectory>,
    contact: Mutex<CoordinatorContact>,
    lease_calls: mpsc::Sender<LeaseCall>,
    engine_calls: mpsc::Sender<EngineCall>,
    watch_declarations: watch::Sender<bool>,
    watch_engines: watch::Sender<bool>,
}

/// Sides of the adapter's channels that the control thread sends on.
#[derive(Debug)]
pub struct ControlPorts {
    /// Calls on the lease record.
    pub lease: mpsc::Sender<LeaseCall>,
    /// Calls to engines.
    pub orders: mpsc::Sender<EngineCall>,
    /// Whether declarations are watched.
    pub watch_declarations: watch::Sender<bool>,
    /// Whether the registry is watched.
    pub watch_engines: watch::Sender<bool>,
}

#[derive(Default)]
struct CoordinatorContact {
    client: Option<CoordinatorClient>,
    heard_at: Option<Duration>,
    notice_version: u64,
    registry_version: u64,
    engines: HashMap<EndpointId, EngineEntry>,
}

fn set_flag(flag: &watch::Sender<bool>, value: bool) {
    flag.send_if_modified(|current| std::mem::replace(current, value) != value);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each holder leaves the value whole, so a panic elsewhere does no harm.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlContext {
    /// Creates the control state.
    pub fn new(state: Arc<GatewayState>, ports: ControlPorts) -> ControlContext {
        let settings = &state.settings;
        let lease = CoordinatorLease::new(
            settings.host.clone(),
            state.incarnation,
            settings.peers,
            settings.bounds.lease,
        );
        ControlContext {
            state,
            lease: Mutex::new(lease),
            coordinator: Mutex::default(),
            directory: Mutex::default(),
            contact: Mutex::default(),
            lease_calls: ports.lease,
            engine_calls: ports.orders,
            watch_declarations: ports.watch_declarations,
            watch_engines: ports.watch_engines,
        }
    }

    /// Answers a report if this host is the coordinator.
    pub fn exchange(&self, report: HostReport) -> Option<CoordinatorReply> {
        let now = boot_time();
        let lease = lock(&self.lease).remaining(now);
        let declaration = self.state.snapshot.load().declaration.clone();
        let age = KnowledgeAge {
            revision: declaration.map_or(0, |declaration| declaration.revision),
            declaration: self.state.declaration_age(now),
            registry: self.state.registry_age(now),
        };
        self.with_coordinator(|now, coordinator| {
            let reply = coordinator.exchange(now, report);
            CoordinatorReply { age, lease, ..reply }
        })
    }

    /// Draws tokens for one request if this host is the coordinator.
    pub fn draw(&self, host: &HostId, workspace: &str, tokens: Tokens) -> Option<QuotaAnswer> {
        self.with_coordinator(|now, coordinator| coordinator.draw(now, host, workspace, tokens))
    }

    /// Finds or makes a place for an adapter if this host is the coordinator.
    pub async fn place_adapter(
        &self,
        service: &ServiceName,
        model: &ModelName,
        adapter: &Arc<str>,
    ) -> Option<EndpointId> {
        let started = boot_time();
        let declaration = self.state.snapshot.load().declaration.clone()?;
        let slots = declaration.services.get(service)?.generation.as_ref()?.adapter_slots;
        while boot_time().saturating_sub(started) < ADAPTER_PATIENCE {
            let order_token = lock(&self.lease).order_token(boot_time());
            let step = self.with_coordinator(|now, coordinator| {
                let planner = coordinator.planner_mut();
                planner.place_adapter(now, order_token, service, model, adapter, slots)
            })?;
            match step {
                AdapterStep::Ready { engine, at } => {
                    sleep(at.saturating_sub(boot_time())).await;
                    return Some(engine);
                }
                AdapterStep::Order(order) => self.give_order(order).await,
                AdapterStep::Wait => sleep(ADAPTER_PAUSE).await,
                AdapterStep::NoEngine => return None,
            }
        }
        None
    }

    fn with_coordinator<T>(&self, act: impl FnOnce(Duration, &mut Coordinator) -> T) -> Option<T> {
        let now = boot_time();
        let token = lock(&self.lease).token(now)?;
        let mut coordinator = lock(&self.coordinator);
        let coordinator =
            coordinator.as_mut().filter(|coordinator| coordinator.token() == token)?;
        Some(act(now, coordinator))
    }

    async fn give_order(&self, order: EngineOrder) {
        let (reply, answer) = oneshot::channel();
        let holder = self.state.settings.host.clone();
        let call = EngineCall::Order { order: order.clone(), holder, reply };
        let answer = match self.engine_calls.send(call).await {
            Ok(()) => answer.await.unwrap_or(OrderAnswer::Unknown),
            Err(_) => OrderAnswer::Rejected,
        };
        let (engine, model) = (order.engine.to_string(), order.model.to_string());
        let adapter = order.adapter.as_deref().unwrap_or_default().to_owned();
        let (kind, answer_label) = (format!("{:?}", order.kind), format!("{answer:?}"));
        let (token, expected) = (order.token, order.expected_count);
        info!("order given", kv: { engine, kind, model, adapter, token, expected, answer = answer_label });
        let done = self.with_coordinator(|now, coordinator| {
            coordinator.planner_mut().ordered(now, &order, answer);
            coordinator.refresh_notice();
        });
        if done.is_none() {
            warn!("order answered after the lease was lost", kv: { token });
        }
    }

    async fn ask_report(&self, engine: EndpointId, address: std::net::SocketAddr) {
        let (reply, report) = oneshot::channel();
        if self.engine_calls.send(EngineCall::Report { address, reply }).await.is_err() {
            return;
        }
        let Ok(report) = report.await else { return };
        self.with_coordinator(|now, coordinator| {
            coordinator.planner_mut().reported(now, &engine, report);
            coordinator.refresh_notice();
        });
    }

    fn set_snapshot(&self, change: impl FnOnce(&mut FleetSnapshot)) {
        let current = self.state.snapshot.load();
        let mut snapshot = FleetSnapshot {
            declaration: current.declaration.clone(),
            table: current.table.clone(),
            engines: current.engines.clone(),
            view: current.view.clone(),
        };
        change(&mut snapshot);
        self.state.snapshot.store(Arc::new(snapshot));
    }

    fn publish_engines(&self) {
        let now = boot_time();
        let engines: Vec<Arc<EngineEntry>> = lock(&self.directory).engines(now).cloned().collect();
        let mut by_service: HashMap<ServiceName, Vec<Arc<EngineEntry>>> = HashMap::new();
        for engine in &engines {
            by_service.entry(engine.service.clone()).or_default().push(engine.clone());
        }
        for engines in by_service.values_mut() {
            engines.sort_by(|a, b| a.id.cmp(&b.id));
        }
        if by_service != self.state.snapshot.load().engines {
            self.set_snapshot(|snapshot| snapshot.engines = by_service);
        }
        self.with_coordinator(|_, coordinator| coordinator.update_engines(&engines));
    }

    fn has_contact(&self, now: Duration) -> bool {
        let heard_at = lock(&self.contact).heard_at;
        heard_at.is_some_and(|heard_at| now.saturating_sub(heard_at) < LOST_AFTER)
    }

    /// Gives the lease up and waits until it is, at most for `limit`.
    pub async fn retire(&self, limit: Duration) {
        lock(&self.lease).start_release();
        let started = boot_time();
        while !lock(&self.lease).has_released() && boot_time().saturating_sub(started) < limit {
            sleep(LEASE_INTERVAL).await;
        }
    }
}

/// Holds or watches the lease until the task is ended.
pub async fn keep_lease(control: Arc<ControlContext>) {
    loop {
        let now = boot_time();
        let has_contact = control.has_contact(now);
        let (step, token) = {
            let mut lease = lock(&control.lease);
            let step = lease.step(now, has_contact);
            (step, lease.token(now))
        };
        control.note_token(now, token);
        let write = match step {
            LeaseAction::Wait => {
                sleep(LEASE_INTERVAL).await;
                continue;
            }
            LeaseAction::Read => None,
            LeaseAction::Write { expected, record } => Some((expected, record)),
        };
        let (reply, answer) = oneshot::channel();
        let sent_at = boot_time();
        if control.lease_calls.send(LeaseCall { write, reply }).await.is_err() {
            return;
        }
        let answer = answer.await.unwrap_or(LeaseAnswer::Unknown);
        let now = boot_time();
        let token = {
            let mut lease = lock(&control.lease);
            lease.handle_answer(now, sent_at, answer);
            lease.token(now)
        };
        control.note_token(now, token);
    }
}

impl ControlContext {
    /// Starts or ends the coordinator's state with the lease.
    fn note_token(&self, now: Duration, token: Option<u64>) {
        let known = lock(&self.coordinator).as_ref().map(Coordinator::token);
        if known == token {
            return;
        }
        match token {
            Some(token) => {
                let is_first = self.state.settings.is_first_start && token == 1;
                let quota = self.state.settings.bounds.quota;
                let mut coordinator = Coordinator::new(now, token, quota, is_first);
                if let Some(declaration) = &self.state.snapshot.load().declaration {
                    coordinator.apply_declaration(now, declaration);
                }
                let engines: Vec<_> = lock(&self.directory).engines(now).cloned().collect();
                coordinator.update_engines(&engines);
                *lock(&self.coordinator) = Some(coordinator);
                info!("coordinator lease taken", kv: { token });
            }
            None => {
                *lock(&self.coordinator) = None;
                let token = known.unwrap_or_default();
                warn!("coordinator lease ended", kv: { token });
            }
        }
    }

    fn report(&self, now: Duration) -> HostReport {
        let (notice_version, registry_version) = {
            let contact = lock(&self.contact);
            (contact.notice_version, contact.registry_version)
        };
        let mut traffic = self.state.traffic();
        let mut purses = self.state.purses();
        HostReport {
            host: self.state.settings.host.clone(),
            running: traffic.all_running(),
            uses: traffic.take_uses(),
            adapter_uses: traffic.take_adapter_uses(),
            wanted: purses
                .iter_mut()
                .map(|(workspace, purse)| (workspace.clone(), purse.wanted(now)))
                .collect(),
            notice_version,
            registry_version,
        }
    }

    /// Takes in a reply to a report that was sent at `sent_at`.
    fn take_reply(&self, sent_at: Duration, reply: CoordinatorReply) {
        let now = boot_time();
        if let Some((version, remaining)) = reply.lease {
            lock(&self.lease).note_remaining(now, version, remaining);
        }
        self.take_knowledge(sent_at, &reply.age, reply.registry);
        {
            let mut purses = self.state.purses();
            for (workspace, tokens, coast_per_s) in reply.grants {
                let purse = purses.entry(workspace).or_insert_with(|| QuotaPurse::new(now));
                purse.deposit(now, tokens, coast_per_s);
            }
        }
        let view = &self.state.snapshot.load().view;
        let mut view = FleetView {
            hosts: reply.hosts,
            running_elsewhere: reply.running_elsewhere.into_iter().collect(),
            closing: view.closing.clone(),
            adapters: view.adapters.clone(),
        };
        let mut contact = lock(&self.contact);
        if contact.heard_at.is_none() {
            let hosts = reply.hosts;
            info!("coordinator found", kv: { hosts });
        }
        contact.heard_at = Some(now);
        if let Some((version, notice)) = reply.notice {
            contact.notice_version = version;
            view.closing = notice.closing.into_iter().collect();
            view.adapters = notice.adapters.into_iter().collect();
        }
        self.state.metrics.members.set(i64::from(view.hosts));
        self.set_snapshot(|snapshot| snapshot.view = Arc::new(view));
    }

    async fn client(&self) -> Option<CoordinatorClient> {
        let (holder, address) = lock(&self.lease).coordinator()?;
        if holder == self.state.settings.host {
            return None;
        }
        let client = lock(&self.contact).client.clone();
        if let Some(client) = client.filter(|client| client.address == address) {
            return Some(client);
        }
        let client = CoordinatorClient::open(address).await?;
        lock(&self.contact).client = Some(client.clone());
        Some(client)
    }

    async fn exchange_once(&self) {
        let now = boot_time();
        self.watch_without_contact(now);
        if lock(&self.lease).token(now).is_some() {
            let report = self.report(now);
            if let Some(reply) = self.exchange(report) {
                self.take_reply(now, reply);
            }
            return;
        }
        let Some(client) = self.client().await else { return };
        let report = self.report(now);
        match client.exchange(report).await {
            Some(Some(reply)) => {
                self.catch_up(&client, reply.age.revision).await;
                self.take_reply(now, reply);
            }
            Some(None) => lock(&self.contact).heard_at = None,
            None => {
                let mut contact = lock(&self.contact);
                contact.client = None;
                if contact.heard_at.is_none_or(|at| now.saturating_sub(at) >= LOST_AFTER)
                    && contact.heard_at.take().is_some()
                {
                    warn!("coordinator lost");
                }
            }
        }
    }

    /// Draws tokens from whoever is the coordinator, as soon as there is one:
    /// the lease changes hands within a few hundred milliseconds.
    async fn draw_anywhere(
        &self,
        host: HostId,
        workspace: WorkspaceId,
        tokens: Tokens,
    ) -> QuotaAnswer {
        loop {
            if let Some(answer) = self.draw(&host, &workspace, tokens) {
                return answer;
            }
            if let Some(client) = self.client().await
                && let Some(answer) = client.draw(host.clone(), workspace.clone(), tokens).await
            {
                return answer;
            }
            sleep(QUOTA_PAUSE).await;
        }
    }

    async fn answer_ask(&self, ask: CoordinatorAsk) {
        match ask {
            CoordinatorAsk::Quota { workspace, tokens, reply } => {
                let host = self.state.settings.host.clone();
                let answer = timeout(QUOTA_PATIENCE, self.draw_anywhere(host, workspace, tokens));
                if let Ok(answer) = answer.await {
                    // A caller that is gone does not need the tokens; they are lost.
                    let _ = reply.send(answer);
                }
            }
            CoordinatorAsk::Adapter { service, model, adapter, reply } => {
                let is_coordinator = lock(&self.lease).token(boot_time()).is_some();
                let engine = if is_coordinator {
                    self.place_adapter(&service, &model, &adapter).await
                } else {
                    match self.client().await {
                        Some(client) => client.adapter(service, model, adapter).await,
                        None => None,
                    }
                };
                if let Some(engine) = engine {
                    let _ = reply.send(engine);
                }
            }
        }
    }
}

/// Exchanges with the coordinator until the task is ended.
pub async fn keep_exchange(control: Arc<ControlContext>) {
    loop {
        control.exchange_once().await;
        sleep(exchange_interval(control.state.host_count())).await;
    }
}

/// Answers questions of the traffic thread until it ends.
pub async fn answer_asks(control: Arc<ControlContext>, mut asks: mpsc::Receiver<CoordinatorAsk>) {
    while let Some(ask) = asks.recv().await {
        let control = control.clone();
        tokio::spawn(async move { control.answer_ask(ask).await });
    }
}

/// Plans placement while this host holds the lease.
pub async fn keep_placement(control: Arc<ControlContext>) {
    loop {
        sleep(PLAN_INTERVAL).await;
        let Some(declaration) = control.state.snapshot.load().declaration.clone() else { continue };
        let order_token = lock(&control.lease).order_token(boot_time());
        let window = control.state.settings.bounds.load_window;
        let calls = control.with_coordinator(|now, coordinator| {
            coordinator.plan(now, order_token, &declaration, window)
        });
        for call in calls.unwrap_or_default() {
            let control = control.clone();
            tokio::spawn(async move {
                match call {
                    PlannerCall::Order(order) => control.give_order(order).await,
                    PlannerCall::Report { engine, address } => {
                        control.ask_report(engine, address).await;
                    }
                }
            });
        }
    }
}
