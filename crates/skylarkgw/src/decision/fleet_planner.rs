//! Turns the plan of models into orders, one engine at a time.
//!
//! The planner keeps a ledger of each engine. An order carries the number of
//! orders that the ledger knows of, so an order that is carried out late, or
//! one that rests on a stale ledger, is refused by the engine. What an engine
//! may hold in the worst case counts against its memory.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::model_demand::DemandEstimate;
use crate::decision::model_plan::{PlanChange, PlannedEngine, plan_change};
use crate::gateway::declaration::{FleetDeclaration, GenerationRule, ServiceName};
use crate::gateway::ports::{EngineOrder, EngineReport, OrderAnswer, OrderKind};
use crate::gateway::registry::{EngineEntry, EnginePhase};
use crate::ids::{EndpointId, ModelName};

/// Time between closing a model to new requests and giving it up: hosts hear
/// of it with their next exchange.
const CLOSE_PAUSE: Duration = Duration::from_millis(250);
/// Time that an adapter is kept after its last use.
const ADAPTER_KEEP: Duration = Duration::from_millis(500);
/// Time that an adapter needs before requests for it are sent.
const ADAPTER_LOAD: Duration = Duration::from_millis(15);
/// Time after which an engine is asked again what it holds.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// Time after which an engine is asked whether it has given a model up.
const UNLOAD_ASK_PAUSE: Duration = Duration::from_millis(300);
/// Time that a load may take beyond three times the declared one.
const LOAD_GRACE: Duration = Duration::from_secs(3);
/// Time in which room that was made for a model is kept for it: closing, giving
/// up and the report that shows it.
const RESERVED_TIME: Duration = Duration::from_millis(2_500);
/// Changes that begin in one step at most.
const CHANGES_PER_STEP: usize = 4;
/// Time for which an adapter that was asked for is kept in mind.
const ADAPTER_MEMORY: Duration = Duration::from_secs(4);
/// Part of the promised rate of the weight store that is used.
const STORE_SHARE: f64 = 0.9;

/// One adapter on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
struct HeldAdapter {
    model: ModelName,
    adapter: Arc<str>,
    used_at: Duration,
    ready_at: Duration,
}

#[derive(Debug)]
struct EngineLedger {
    entry: Arc<EngineEntry>,
    order_count: u64,
    models: HashSet<ModelName>,
    adapters: Vec<HeldAdapter>,
    loading: Option<(ModelName, Duration)>,
    closing: Option<(ModelName, Duration)>,
    unloading: Option<(ModelName, Duration)>,
    reserved: Option<(ModelName, Duration)>,
    has_call: bool,
    is_known: bool,
    asked_at: Option<Duration>,
}

/// What the planner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlannerCall {
    /// Give an order and report the answer.
    Order(EngineOrder),
    /// Ask an engine what it holds.
    Report {
        /// The engine.
        engine: EndpointId,
        /// Its address.
        address: SocketAddr,
    },
}

/// Where a request for an adapter can go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdapterDecision {
    /// The engine holds the adapter once the time has come.
    Ready {
        /// The engine.
        engine: EndpointId,
        /// When it holds the adapter.
        at: Duration,
    },
    /// An order has to be given first.
    Order(EngineOrder),
    /// An order to every candidate is under way.
    Wait,
    /// No engine holds the model.
    NoEngine,
}

/// What hosts need to know beyond the registry.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlacementNotice {
    /// Models that get no new requests on an engine.
    pub closing: Vec<(EndpointId, ModelName)>,
    /// Adapters that engines hold.
    pub adapters: Vec<(EndpointId, ModelName, Arc<str>)>,
}

/// Ledgers of all engines.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    engines: HashMap<EndpointId, EngineLedger>,
    store_loads: VecDeque<Duration>,
    wanted_adapters: HashMap<(ModelName, Arc<str>), Duration>,
}

impl EngineLedger {
    fn new(entry: Arc<EngineEntry>) -> EngineLedger {
        let mut ledger = EngineLedger {
            order_count: 0,
            models: HashSet::new(),
            adapters: Vec::new(),
            loading: None,
            closing: None,
            unloading: None,
            reserved: None,
            has_call: false,
            // Its registry entry does not say how many orders it has accepted.
            is_known: false,
            asked_at: None,
            entry: entry.clone(),
        };
        ledger.models = entry.models.iter().map(|held| held.name.clone()).collect();
        for held in &entry.models {
            ledger.note_adapters(Duration::ZERO, &held.name, &held.adapters);
        }
        ledger
    }

    fn note_adapters(&mut self, now: Duration, model: &ModelName, adapters: &[Arc<str>]) {
        for adapter in adapters {
            let is_held =
                self.adapters.iter().any(|held| held.model == *model && held.adapter == *adapter);
            if !is_held {
                self.adapters.push(HeldAdapter {
                    model: model.clone(),
                    adapter: adapter.clone(),
                    used_at: now,
                    ready_at: now,
                });
            }
        }
    }

    fn update(&mut self, entry: &Arc<EngineEntry>) {
        if entry.started_ms != self.entry.started_ms {
            *self = EngineLedger::new(entry.clone());
            return;
        }
        self.entry = entry.clone();
        // The entry may be older than the last order, so it adds what the
        // engine holds and never takes away.
        let listed = entry.models.iter().map(|held| &held.name);
        let mut loaded =
            listed.filter(|name| self.loading.as_ref().is_some_and(|(model, _)| model == *name));
        if let Some(model) = loaded.next().cloned() {
            self.models.insert(model);
            self.loading = None;
        }
    }

    /// Returns all models that the engine may hold.
    fn possible_models(&self) -> HashSet<&ModelName> {
        let listed = self.entry.models.iter().map(|held| &held.name);
        let loading = self.loading.iter().map(|(model, _)| model);
        self.models.iter().chain(listed).chain(loading).collect()
    }

    fn is_ready(&self) -> bool {
        self.entry.phase == EnginePhase::Ready && self.entry.leaves_in.is_none()
    }

    fn is_idle(&self) -> bool {
        let has_change =
            self.loading.is_some() || self.closing.is_some() || self.unloading.is_some();
        self.is_ready() && self.is_known && !self.has_call && !has_change
    }

    fn takes_adapters(&self) -> bool {
        let has_order = self.loading.is_some() || self.unloading.is_some();
        self.is_known && !self.has_call && !has_order
    }

    fn planned(&self, rule: &GenerationRule, running: f64) -> PlannedEngine {
        let size = |model: &ModelName| {
            let models = rule.models.iter().find(|rule| rule.name == *model);
            models.map_or(rule.weights_mb, |rule| rule.weights_mb)
        };
        let possible = self.possible_models();
        let taken: f64 = possible.iter().map(|model| size(model)).sum();
        let adapter_mb = rule.models.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
        let adapters_mb = adapter_mb * f64::from(rule.adapter_slots);
        let leaving = [&self.closing, &self.unloading];
        let leaves = |model: &ModelName| {
            leaving.iter().any(|change| change.as_ref().is_some_and(|(name, _)| name == model))
        };
        let loading = self.loading.as_ref().map(|(model, _)| model);
        let serves = |model: &&ModelName| Some(*model) != loading && !leaves(model);
        let models = possible.into_iter().filter(serves);
        let copies = self.entry.copies_in_memory.iter().chain(&self.entry.copies_on_disk);
        PlannedEngine {
            id: self.entry.id.clone(),
            models: models.cloned().collect(),
            loading: loading.cloned(),
            reserved: self.reserved.as_ref().map(|(model, _)| model.clone()),
            free_mb: rule.weights_mb - adapters_mb - taken,
            is_idle: self.is_idle(),
            copies: copies.cloned().collect(),
            slots: self.entry.slots,
            running,
        }
    }

    fn order(
        &self,
        token: u64,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<Arc<str>>,
    ) -> EngineOrder {
        EngineOrder {
            engine: self.entry.id.clone(),
            address: self.entry.address,
            kind,
            model: model.clone(),
            adapter,
            expected_count: self.order_count,
            token,
        }
    }
}

impl FleetPlanner {
    /// Takes in the registry.
    pub fn update_registry(&mut self, engines: &[Arc<EngineEntry>]) {
        let ids: HashSet<&EndpointId> = engines.iter().map(|entry| &entry.id).collect();
        self.engines.retain(|id, _| ids.contains(id));
        for entry in engines {
            self.engines
                .entry(entry.id.clone())
                .and_modify(|ledger| ledger.update(entry))
                .or_insert_with(|| EngineLedger::new(entry.clone()));
        }
    }

    /// Returns what to do now, with the fencing token for orders.
    ///
    /// `demand` says how many slots each model needs, `running` how many
    /// requests each engine has, and `window` the time in which loads from the
    /// weight store are counted.
    pub fn plan_calls(
        &mut self,
        now: Duration,
        token: u64,
        declaration: &FleetDeclaration,
        demand: &mut DemandEstimate,
        running: &HashMap<EndpointId, f64>,
        window: Duration,
    ) -> Vec<PlannerCall> {
        let mut calls = self.ask_unknown(now, declaration);
        calls.extend(self.give_up_closed(now, token));
        for ledger in self.engines.values_mut() {
            ledger.reserved.take_if(|(_, since)| now.saturating_sub(*since) > RESERVED_TIME);
        }
        while self.store_loads.front().is_some_and(|at| now.saturating_sub(*at) > window) {
            self.store_loads.pop_front();
        }
        for service in declaration.services.values() {
            let Some(rule) = &service.generation else { continue };
            let slots = self.slots(&service.name);
            let demand = demand.estimate_slots(now, &service.name, slots);
            let limit = (rule.store_loads_per_s * window.as_secs_f64() * STORE_SHARE) as usize;
            for _ in 0..CHANGES_PER_STEP {
                let store_loads = limit.saturating_sub(self.store_loads.len()) as u32;
                let engines = self.planned(&service.name, rule, running);
                let Some(change) = plan_change(rule, &engines, &demand, store_loads) else { break };
                calls.extend(self.begin(now, token, change));
            }
        }
        // Models go first: an engine carries out one order at a time.
        calls.extend(self.load_ahead(now, token, declaration));
        calls
    }

    fn planned(
        &self,
        service: &ServiceName,
        rule: &GenerationRule,
        running: &HashMap<EndpointId, f64>,
    ) -> Vec<PlannedEngine> {
        let ledgers = self.engines.values();
        let ready = ledgers.filter(|ledger| ledger.entry.service == *service && ledger.is_ready());
        let running =
            |ledger: &EngineLedger| running.get(&ledger.entry.id).copied().unwrap_or_default();
        let mut engines: Vec<PlannedEngine> =
            ready.map(|ledger| ledger.planned(rule, running(ledger))).collect();
        engines.sort_by(|a, b| a.id.cmp(&b.id));
        engines
    }

    /// Returns the slots of the smallest engine of a service.
    fn slots(&self, service: &ServiceName) -> u32 {
        let entries = self.engines.values().map(|ledger| &ledger.entry);
        let entries = entries.filter(|entry| entry.service == *service);
        entries.map(|entry| entry.slots).min().unwrap_or_default()
    }

    fn begin(&mut self, now: Duration, token: u64, change: PlanChange) -> Option<PlannerCall> {
        match change {
            PlanChange::Load { engine, model, from_store } => {
                let ledger = self.engines.get_mut(&engine)?;
                if from_store {
                    self.store_loads.push_back(now);
                }
                ledger.loading = Some((model.clone(), now));
                ledger.reserved = None;
                ledger.has_call = true;
                Some(PlannerCall::Order(ledger.order(token, OrderKind::Load, &model, None)))
            }
            PlanChange::Close { engine, model, successor } => {
                let ledger = self.engines.get_mut(&engine)?;
                ledger.closing = Some((model, now));
                ledger.reserved = Some((successor, now));
                None
            }
        }
    }

    /// Loads adapters that were asked for lately onto engines that hold their
    /// model: while a model is loaded, an engine takes no order for adapters.
    fn load_ahead(
        &mut self,
        now: Duration,
        token: u64,
        declaration: &FleetDeclaration,
    ) -> Vec<PlannerCall> {
        self.wanted_adapters.retain(|_, at| now.saturating_sub(*at) < ADAPTER_MEMORY);
        let mut wanted: Vec<_> = self.wanted_adapters.iter().collect();
        wanted.sort_by(|a, b| b.1.cmp(a.1).then_with(|| a.0.cmp(b.0)));
        let mut calls = Vec::new();
        for ledger in self.engines.values_mut().filter(|ledger| ledger.is_idle()) {
            let service = declaration.services.get(&ledger.entry.service);
            let Some(rule) = service.and_then(|service| service.generation.as_ref()) else {
                continue;
            };
            if ledger.adapters.len() >= rule.adapter_slots as usize {
                continue;
            }
            let missing = wanted.iter().map(|(wanted, _)| *wanted).find(|(model, adapter)| {
                let holds = |held: &HeldAdapter| held.model == *model && held.adapter == *adapter;
                ledger.models.contains(model) && !ledger.adapters.iter().any(holds)
            });
            if let Some((model, adapter)) = missing {
                ledger.has_call = true;
                let order = ledger.order(token, OrderKind::Load, model, Some(adapter.clone()));
                calls.push(PlannerCall::Order(order));
            }
        }
        calls
    }

    fn give_up_closed(&mut self, now: Duration, token: u64) -> Vec<PlannerCall> {
        let mut calls = Vec::new();
        for ledger in self.engines.values_mut().filter(|ledger| !ledger.has_call) {
            let Some((model, since)) = ledger.closing.clone() else { continue };
            if !ledger.is_known || now.saturating_sub(since) < CLOSE_PAUSE {
                continue;
            }
            ledger.closing = None;
            ledger.unloading = Some((model.clone(), now));
            ledger.has_call = true;
            calls.push(PlannerCall::Order(ledger.order(token, OrderKind::Unload, &model, None)));
        }
        calls
    }

    fn ask_unknown(&mut self, now: Duration, declaration: &FleetDeclaration) -> Vec<PlannerCall> {
        let services = &declaration.services;
        let mut calls = Vec::new();
        for ledger in self.engines.values_mut() {
            let service = services.get(&ledger.entry.service);
            let generates = service.is_some_and(|service| service.generation.is_some());
            let slow = ledger.loading.as_ref().is_some_and(|(model, since)| {
                let rules = service.and_then(|service| service.generation.as_ref());
                let rule =
                    rules.and_then(|rule| rule.models.iter().find(|rule| rule.name == *model));
                let expected = rule.map_or(Duration::ZERO, |rule| rule.store_load * 3);
                now.saturating_sub(*since) > expected + LOAD_GRACE
            });
            let unloads = ledger.unloading.is_some();
            let pause = if unloads { UNLOAD_ASK_PAUSE } else { ASK_PAUSE };
            let is_due =
                ledger.asked_at.is_none_or(|asked_at| now.saturating_sub(asked_at) > pause);
            let is_open = !ledger.is_known || slow || unloads;
            if generates && is_due && !ledger.has_call && is_open {
                ledger.asked_at = Some(now);
                let (engine, address) = (ledger.entry.id.clone(), ledger.entry.address);
                calls.push(PlannerCall::Report { engine, address });
            }
        }
        calls
    }

    /// Takes in the answer to an order.
    pub fn record_answer(&mut self, now: Duration, order: &EngineOrder, answer: OrderAnswer) {
        let Some(ledger) = self.engines.get_mut(&order.engine) else { return };
        ledger.has_call = false;
        match (answer, order.kind, &order.adapter) {
            (OrderAnswer::Accepted, OrderKind::Load, Some(adapter)) => {
                ledger.order_count += 1;
                ledger.note_adapters(now, &order.model, std::slice::from_ref(adapter));
                for held in ledger.adapters.iter_mut().rev().take(1) {
                    held.ready_at = now + ADAPTER_LOAD;
                }
            }
            (OrderAnswer::Accepted, OrderKind::Unload, Some(_)) => {
                ledger.order_count += 1;
                ledger.forget(&order.model, order.adapter.as_ref());
            }
            (OrderAnswer::Accepted, _, None) => {
                ledger.order_count += 1;
                // A report lags, so one that is asked for now may be from before.
                ledger.asked_at = Some(now);
            }
            (OrderAnswer::Holds, OrderKind::Unload, Some(_)) => {
                // An adapter that nothing uses is given up at once.
                ledger.order_count += 1;
                ledger.forget(&order.model, order.adapter.as_ref());
            }
            (OrderAnswer::Holds, OrderKind::Load, Some(adapter)) => {
                ledger.note_adapters(now, &order.model, std::slice::from_ref(adapter));
            }
            (OrderAnswer::Holds, _, None) => ledger.doubt(now),
            (OrderAnswer::Conflict | OrderAnswer::Rejected | OrderAnswer::Fenced, ..) => {
                ledger.loading = ledger.loading.take().filter(|_| order.adapter.is_some());
                ledger.unloading = ledger.unloading.take().filter(|_| order.adapter.is_some());
                ledger.doubt(now);
            }
            // It may be carried out; the load stays counted until a report.
            (OrderAnswer::Unknown, ..) => ledger.doubt(now),
        }
    }

    /// Takes in a report that was asked for at `asked_at`.
    pub fn record_report(&mut self, now: Duration, engine: &EndpointId, report: EngineReport) {
        let Some(ledger) = self.engines.get_mut(engine) else { return };
        if report.started_ms != 0 && report.started_ms != ledger.entry.started_ms {
            return;
        }
        if report.order_count < ledger.order_count || ledger.has_call {
            return;
        }
        ledger.order_count = report.order_count;
        ledger.adapters.clear();
        for (model, adapters) in &report.models {
            ledger.note_adapters(now, model, adapters);
        }
        for (model, adapter) in &report.pending {
            ledger.note_adapters(now, model, std::slice::from_ref(adapter));
        }
        if !report.is_busy {
            // No order has been accepted since, so the report is complete.
            let models = report.models.into_iter().map(|(model, _)| model);
            ledger.models = models.collect();
            ledger.loading = None;
            ledger.unloading = None;
            ledger.is_known = true;
        }
        let models = &ledger.models;
        ledger.adapters.retain(|held| models.contains(&held.model));
    }

    /// Returns where a request for an adapter can go.
    pub fn place_adapter(
        &mut self,
        now: Duration,
        token: Option<u64>,
        service: &ServiceName,
        model: &ModelName,
        adapter: &Arc<str>,
        slots: u32,
    ) -> AdapterDecision {
        self.wanted_adapters.insert((model.clone(), adapter.clone()), now);
        let mut holders: Vec<&mut EngineLedger> = self
            .engines
            .values_mut()
            .filter(|ledger| ledger.entry.service == *service && ledger.is_ready())
            .filter(|ledger| ledger.models.contains(model) && !ledger.leaves(model))
            .collect();
        if holders.is_empty() {
            return AdapterDecision::NoEngine;
        }
        for ledger in &mut holders {
            let engine = ledger.entry.id.clone();
            let held = ledger.adapters.iter_mut();
            let mut held = held.filter(|held| held.model == *model && held.adapter == *adapter);
            if let Some(held) = held.next() {
                held.used_at = now;
                return AdapterDecision::Ready { engine, at: held.ready_at };
            }
        }
        let Some(token) = token else { return AdapterDecision::NoEngine };
        // An engine that loads or gives up a model refuses other orders.
        let usable = holders.into_iter().filter(|ledger| ledger.takes_adapters());
        let Some(ledger) = usable.min_by_key(|ledger| ledger.adapters.len()) else {
            return AdapterDecision::Wait;
        };
        if ledger.adapters.len() < slots as usize {
            ledger.has_call = true;
            let adapter = Some(adapter.clone());
            return AdapterDecision::Order(ledger.order(token, OrderKind::Load, model, adapter));
        }
        let oldest = ledger.adapters.iter().min_by_key(|held| held.used_at).cloned();
        match oldest.filter(|held| now.saturating_sub(held.used_at) > ADAPTER_KEEP) {
            Some(held) => {
                ledger.has_call = true;
                let adapter = Some(held.adapter);
                AdapterDecision::Order(ledger.order(token, OrderKind::Unload, &held.model, adapter))
            }
            None => AdapterDecision::Wait,
        }
    }

    /// Notes that a host uses an adapter.
    pub fn record_adapter_use(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        model: &ModelName,
        adapter: &Arc<str>,
    ) {
        self.wanted_adapters.insert((model.clone(), adapter.clone()), now);
        let Some(ledger) = self.engines.get_mut(engine) else { return };
        for held in &mut ledger.adapters {
            if held.model == *model && held.adapter == *adapter {
                held.used_at = now;
            }
        }
    }

    /// Returns what hosts have to know.
    pub fn build_notice(&self) -> PlacementNotice {
        let mut notice = PlacementNotice::default();
        for (id, ledger) in &self.engines {
            let leaving = [&ledger.closing, &ledger.unloading];
            let leaving =
                leaving.into_iter().flatten().map(|(model, _)| (id.clone(), model.clone()));
            notice.closing.extend(leaving);
            let adapters = ledger.adapters.iter();
            let adapters =
                adapters.map(|held| (id.clone(), held.model.clone(), held.adapter.clone()));
            notice.adapters.extend(adapters);
        }
        notice.closing.sort();
        notice.adapters.sort();
        notice
    }
}

impl EngineLedger {
    fn leaves(&self, model: &ModelName) -> bool {
        [&self.closing, &self.unloading].into_iter().flatten().any(|(name, _)| name == model)
    }

    fn forget(&mut self, model: &ModelName, adapter: Option<&Arc<str>>) {
        self.adapters.retain(|held| held.model != *model || Some(&held.adapter) != adapter);
    }

    fn doubt(&mut self, now: Duration) {
        self.is_known = false;
        // A report lags, so one that is asked for now may be from before.
        self.asked_at = Some(now);
    }
}
