//! A simulated fleet of engines, of which models and adapters are requested while engines,
//! orders, the coordinator and the store fail.

mod engines;
mod requests;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use skylarkgw::decision::coordinator::{Coordinator, HostReport};
use skylarkgw::decision::fleet_planner::{EngineNotice, PlannerCall, RecentLoads};
use skylarkgw::decision::obligations::ServiceLog;
use skylarkgw::decision::quota_pool::{PoolStart, QuotaTolerance};
use skylarkgw::decision::store_order::{StorePosition, StoreStamp};
use skylarkgw::gateway::declaration::{FleetDeclaration, GenerationRule, ModelRule};
use skylarkgw::gateway::ports::{EngineOrder, OrderAnswer};
use skylarkgw::gateway::registry::EngineEntry;
use skylarkgw::ids::{EndpointId, MapVersion, ModelName};

use crate::fleet_model::engines::{ADAPTER_MB, ADAPTER_SLOTS, SimulatedEngine, place_initially};
use crate::samples::{MODEL_SERVICE, declaration, engine, ms};

const STEP: Duration = Duration::from_millis(50);
const PLAN_STEPS: u64 = 2;
const EXCHANGE_STEPS: u64 = 8;
const REGISTRY_STEPS: u64 = 6;
/// Period over which loads from the weight store are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Time after the end of an engine at which the registry drops its entry.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

/// A model, and optionally one of its adapters.
pub type Target = (ModelName, Option<Arc<str>>);

/// Sizes of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub engines: usize,
    pub models: usize,
    pub adapters: usize,
    pub store_loads_per_s: f64,
}

/// A fault or change that begins at a time.
#[derive(Clone, Debug)]
pub enum FleetFault {
    /// Engines crash, and restart empty after `down` if given.
    Crash { engines: usize, down: Option<Duration> },
    /// The engines that hold the only replica of a model crash for good.
    CrashLastHolders { models: usize },
    /// Engines stay in the registry and fail every request.
    Lie { engines: usize, lasting: Duration },
    /// Engines go down and up by turns.
    Flap { engines: usize, rounds: u32 },
    /// Empty engines join.
    Join { engines: usize },
    /// Engines leave at a notice of two seconds.
    Leave { engines: usize },
    /// A share of the orders gets no answer; each is lost or carried out late.
    LoseOrders { share: f64, lasting: Duration },
    /// A share of the answers to orders never reaches the planner.
    LoseAnswers { share: f64, lasting: Duration },
    /// The coordinator is lost; another one takes over after the pause.
    LoseCoordinator { pause: Duration },
    /// The store neither reports changes of the registry nor renews the lease.
    LoseStore { lasting: Duration },
    /// Other models get most of the requests.
    ShiftDemand,
}

/// Requests for one target since it was last served.
#[derive(Clone, Copy, Debug, Default)]
struct TargetState {
    unserved_since: Option<Duration>,
    /// Part of the time since then in which no order could be given.
    excused: Duration,
}

/// The simulated fleet.
pub struct FleetModel {
    rng: ChaCha8Rng,
    step: u64,
    declaration: FleetDeclaration,
    engines: Vec<SimulatedEngine>,
    coordinator: Option<Coordinator>,
    token: u64,
    returns_at: Duration,
    store_lost_until: Duration,
    lost_orders: (f64, Duration),
    lost_answers: (f64, Duration),
    /// Engines that are to restart, by index.
    restarts: Vec<(Duration, usize)>,
    /// Faults that are still to come, by the time at which they begin.
    faults: Vec<(Duration, FleetFault)>,
    registry: Vec<Arc<EngineEntry>>,
    placement: HashMap<EndpointId, Arc<EngineNotice>>,
    notice_version: MapVersion,
    report: HostReport,
    service_log: ServiceLog,
    /// Targets with the mean number of requests per second.
    demand: Vec<(Target, f64)>,
    targets: BTreeMap<Target, TargetState>,
    /// Loads from the weight store of which a coordinator told, and when it did.
    heard_loads: Option<(RecentLoads, Duration)>,
    /// Times at which loads from the weight store began.
    store_loads: Vec<Duration>,
    /// Whether the coordinator gives orders.
    pub gives_orders: bool,
    /// Longest time for which a requested target was not served, less the excused part.
    pub longest_wait: Duration,
    /// Requests for a target that had not been served for longer than its bound.
    pub late_requests: Vec<String>,
}

fn model_name(number: usize) -> ModelName {
    format!("model-{number:03}").into()
}

impl FleetModel {
    /// Creates a fleet in which each model has a replica and some have two.
    pub fn new(seed: u64, size: FleetSize, faults: Vec<(Duration, FleetFault)>) -> FleetModel {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let models: Vec<ModelRule> = (0..size.models)
            .map(|number| ModelRule {
                name: model_name(number),
                weights_mb: rng.random_range(43_000.0..73_000.0),
                store_load: ms(rng.random_range(3_400..5_800)),
                adapter_mb: ADAPTER_MB,
            })
            .collect();
        let rule = GenerationRule {
            weights_mb: 200_000.0,
            adapter_slots: ADAPTER_SLOTS,
            store_loads_per_s: size.store_loads_per_s,
            models,
        };
        let engines = place_initially(&rule, size.engines);
        let mut declaration = declaration(&[]);
        if let Some(service) = declaration.services.get_mut(MODEL_SERVICE) {
            service.generation = Some(rule);
        }
        let mut fleet = FleetModel {
            rng,
            step: 0,
            declaration,
            engines,
            coordinator: None,
            token: 0,
            returns_at: Duration::ZERO,
            store_lost_until: Duration::ZERO,
            lost_orders: (0.0, Duration::ZERO),
            lost_answers: (0.0, Duration::ZERO),
            restarts: Vec::new(),
            faults,
            registry: Vec::new(),
            placement: HashMap::new(),
            notice_version: 0,
            service_log: ServiceLog::default(),
            report: HostReport { host: "edge-1".into(), ..HostReport::default() },
            demand: Vec::new(),
            targets: BTreeMap::new(),
            heard_loads: None,
            store_loads: Vec::new(),
            gives_orders: true,
            longest_wait: Duration::ZERO,
            late_requests: Vec::new(),
        };
        fleet.draw_demand(size);
        fleet
    }

    /// Gives a few models most of the requests; each of the others gets one in some
    /// seconds, as does each adapter.
    fn draw_demand(&mut self, size: FleetSize) {
        let busy: Vec<usize> =
            (0..size.models).choose_multiple(&mut self.rng, size.models / 8).into_iter().collect();
        let models = (0..size.models).map(|number| {
            let rate = if busy.contains(&number) { 25.0 } else { 0.4 };
            ((model_name(number), None), rate)
        });
        let adapters = (0..size.adapters).map(|number| {
            let adapter: Arc<str> = format!("a{}", number / size.models).into();
            ((model_name(number % size.models), Some(adapter)), 0.4)
        });
        self.demand = models.chain(adapters).collect();
    }

    fn now(&self) -> Duration {
        STEP * self.step as u32
    }

    fn rule(&self) -> GenerationRule {
        let service = &self.declaration.services[MODEL_SERVICE];
        service.generation.clone().expect("the service generates tokens")
    }

    /// Runs the fleet for a time.
    pub fn run(&mut self, size: FleetSize, lasting: Duration) {
        let end = self.now() + lasting;
        let rule = self.rule();
        while self.now() < end {
            self.step += 1;
            self.begin_faults(size);
            self.advance_engines(&rule);
            self.follow_registry();
            self.advance_coordinator(&rule);
            self.send_requests(&rule);
            if self.step.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
        }
    }

    fn begin_faults(&mut self, size: FleetSize) {
        let now = self.now();
        let due: Vec<FleetFault> =
            self.faults.extract_if(.., |(at, _)| *at <= now).map(|(_, fault)| fault).collect();
        for fault in due {
            match fault {
                FleetFault::Crash { engines, down } => {
                    for index in self.choose_engines(engines) {
                        self.end_engine(index, down);
                    }
                }
                FleetFault::CrashLastHolders { models } => {
                    let counts = self.count_replicas();
                    let single: Vec<ModelName> = counts
                        .iter()
                        .filter(|(_, count)| **count == 1)
                        .map(|(model, _)| model.clone())
                        .collect();
                    let chosen: Vec<ModelName> =
                        single.choose_multiple(&mut self.rng, models).cloned().collect();
                    for model in chosen {
                        let holder = self.engines.iter().position(|engine| {
                            engine.is_running() && engine.models.contains(&model)
                        });
                        if let Some(index) = holder {
                            self.end_engine(index, None);
                        }
                    }
                }
                FleetFault::Lie { engines, lasting } => {
                    for index in self.choose_engines(engines) {
                        self.engines[index].lies_until = now + lasting;
                    }
                }
                FleetFault::Flap { engines, rounds } => {
                    for round in 1..rounds {
                        let fault = FleetFault::Crash { engines, down: Some(ms(1_500)) };
                        self.faults.push((now + ms(2_500) * round, fault));
                    }
                    for index in self.choose_engines(engines) {
                        self.end_engine(index, Some(ms(1_500)));
                    }
                }
                FleetFault::Join { engines } => {
                    (0..engines).for_each(|_| self.add_engine(Vec::new()))
                }
                FleetFault::Leave { engines } => {
                    for index in self.choose_engines(engines) {
                        self.engines[index].leaves_at = Some(now + ms(2_000));
                    }
                }
                FleetFault::LoseOrders { share, lasting } => {
                    self.lost_orders = (share, now + lasting)
                }
                FleetFault::LoseAnswers { share, lasting } => {
                    self.lost_answers = (share, now + lasting);
                }
                FleetFault::LoseCoordinator { pause } => self.lose_coordinator(pause),
                FleetFault::LoseStore { lasting } => {
                    self.store_lost_until = now + lasting;
                    self.lose_coordinator(lasting + ms(500));
                }
                FleetFault::ShiftDemand => self.draw_demand(size),
            }
        }
    }

    fn lose_coordinator(&mut self, pause: Duration) {
        self.coordinator = None;
        self.returns_at = self.returns_at.max(self.now() + pause);
    }

    fn choose_engines(&mut self, count: usize) -> Vec<usize> {
        let running = self.engines.iter().enumerate().filter(|(_, engine)| engine.is_running());
        let indexes: Vec<usize> = running.map(|(index, _)| index).collect();
        indexes.choose_multiple(&mut self.rng, count).copied().collect()
    }

    /// Ends an engine, which restarts empty after `down` if given.
    fn end_engine(&mut self, index: usize, down: Option<Duration>) {
        let now = self.now();
        self.engines[index].ended_at = Some(now);
        if let Some(down) = down {
            self.restarts.push((now + down, index));
        }
    }

    fn add_engine(&mut self, copies: Vec<ModelName>) {
        let number = self.engines.len();
        let entry = EngineEntry {
            copies_on_disk: copies,
            started_ms: self.step,
            ..(*engine(&format!("i-{number:04}"), &[])).clone()
        };
        self.engines.push(SimulatedEngine::new(entry));
    }

    fn count_replicas(&self) -> BTreeMap<ModelName, usize> {
        let running = self.engines.iter().filter(|engine| engine.is_running());
        let mut counts = BTreeMap::new();
        for model in running.flat_map(|engine| &engine.models) {
            *counts.entry(model.clone()).or_default() += 1;
        }
        counts
    }

    /// Carries out due orders, and ends and restarts engines.
    fn advance_engines(&mut self, rule: &GenerationRule) {
        let now = self.now();
        let due: Vec<_> = self.restarts.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, index) in due {
            // Half of the engines start again under the same name.
            let entry = EngineEntry {
                models: Vec::new(),
                started_ms: self.step,
                ..self.engines[index].entry.clone()
            };
            if self.rng.random_bool(0.5) {
                self.engines[index] = SimulatedEngine::new(entry);
            } else {
                self.add_engine(entry.copies_on_disk);
            }
        }
        for engine in &mut self.engines {
            if engine.leaves_at.is_some_and(|at| at <= now) && engine.is_running() {
                engine.ended_at = Some(now);
            }
            engine.finish_order(now);
            let late: Vec<_> = engine.late_orders.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, order) in late {
                engine.handle_order(now, &order, rule);
            }
        }
    }

    /// Copies the registry, which lags behind the engines, unless the store is down.
    fn follow_registry(&mut self) {
        let now = self.now();
        if now < self.store_lost_until || !self.step.is_multiple_of(REGISTRY_STEPS) {
            return;
        }
        let is_listed = |engine: &&SimulatedEngine| {
            engine.ended_at.is_none_or(|at| now.saturating_sub(at) < ENTRY_LIFETIME)
        };
        let listed = self.engines.iter().filter(is_listed);
        self.registry = listed.map(|engine| Arc::new(engine.list(now))).collect();
        if let Some(coordinator) = &mut self.coordinator {
            let position = StorePosition { era: None, revision: self.step };
            let stamp = StoreStamp { position, as_of: now };
            coordinator.update_registry(stamp, &self.registry);
        }
    }

    /// Starts a new coordinator after a loss, and carries out what the current one plans.
    fn advance_coordinator(&mut self, rule: &GenerationRule) {
        let now = self.now();
        if self.coordinator.is_none() && now >= self.returns_at {
            self.token += 1;
            let tolerance =
                QuotaTolerance { window: ms(8_000), overshoot: 0.1, slack_tokens: 17_000.0 };
            let start = if self.token == 1 { PoolStart::First } else { PoolStart::AfterLoss };
            let mut coordinator = Coordinator::new(now, self.token, tolerance, start);
            let position = StorePosition { era: None, revision: self.step };
            let stamp = StoreStamp { position, as_of: now };
            coordinator.update_registry(stamp, &self.registry);
            self.coordinator = Some(coordinator);
        }
        if !self.step.is_multiple_of(PLAN_STEPS) {
            return;
        }
        let Some(coordinator) = &mut self.coordinator else { return };
        let token = self.gives_orders.then_some(self.token);
        let calls = coordinator.plan(now, token, &self.declaration, LOAD_WINDOW);
        for call in calls {
            match call {
                PlannerCall::Order(order) => self.send_order(&order, rule),
                PlannerCall::Report { engine, .. } => self.fetch_report(&engine),
            }
        }
    }

    fn send_order(&mut self, order: &EngineOrder, rule: &GenerationRule) {
        let now = self.now();
        let (share, until) = self.lost_orders;
        let is_lost = now < until && self.rng.random_bool(share);
        let late_at = now + ms(self.rng.random_range(2_000..12_000));
        let is_late = self.rng.random_bool(0.5);
        let engine = self.engines.iter_mut().find(|engine| engine.entry.id == order.engine);
        let answer = match engine {
            Some(engine) if is_lost => {
                if is_late {
                    engine.late_orders.push((late_at, order.clone()));
                }
                OrderAnswer::Unknown
            }
            Some(engine) => {
                let answer = engine.handle_order(now, order, rule);
                if answer == OrderAnswer::Accepted && engine.loads_from_store(order) {
                    self.store_loads.push(now);
                }
                answer
            }
            None => OrderAnswer::Undelivered,
        };
        let (share, until) = self.lost_answers;
        if now < until && self.rng.random_bool(share) {
            return;
        }
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.record_answer(now, order, answer);
        }
    }

    fn fetch_report(&mut self, id: &EndpointId) {
        let now = self.now();
        let engine = self.engines.iter().find(|engine| engine.entry.id == *id);
        let report = engine.filter(|engine| engine.is_running()).map(SimulatedEngine::report);
        if let (Some(report), Some(coordinator)) = (report, &mut self.coordinator) {
            coordinator.record_report(now, id, report);
        }
    }

    fn exchange(&mut self) {
        let now = self.now();
        let Some(coordinator) = &mut self.coordinator else { return };
        let report = HostReport {
            notice_version: self.notice_version,
            uses: std::mem::take(&mut self.report.uses),
            adapter_uses: std::mem::take(&mut self.report.adapter_uses),
            service: self.service_log.build_report(now),
            store_loads: self
                .heard_loads
                .map(|(loads, heard_at)| loads.after(now.saturating_sub(heard_at))),
            ..self.report.clone()
        };
        let reply = coordinator.exchange(now, report);
        if let Some(delta) = &reply.registry {
            self.report.registry_version = delta.version;
        }
        if let Some(loads) = reply.store_loads {
            self.heard_loads = Some((loads, now));
        }
        if let Some(delta) = reply.notices {
            self.notice_version = delta.version;
            delta.apply_to(&mut self.placement);
        }
    }

    /// Returns the largest number of loads from the weight store that began within
    /// [`LOAD_WINDOW`].
    pub fn count_most_store_loads(&self) -> usize {
        let loads = &self.store_loads;
        let count_from = |from: &Duration| {
            loads.iter().filter(|at| (*from..*from + LOAD_WINDOW).contains(*at)).count()
        };
        loads.iter().map(count_from).max().unwrap_or_default()
    }
}

/// Returns the time within which a requested target has to be served while orders can be
/// given and `unserved` targets are not served.
///
/// The entries of its engines lapse (4 s), an engine finishes its order (one load), gives
/// up another model (2 s), loads the model, and is listed (1 s). The other targets may be
/// first at the weight store.
pub fn service_bound(rule: &GenerationRule, unserved: usize) -> Duration {
    let longest = rule.models.iter().map(|model| model.store_load).max().unwrap_or_default();
    longest * 2 + ms(7_000) + Duration::from_secs_f64(unserved as f64 / rule.store_loads_per_s)
}
