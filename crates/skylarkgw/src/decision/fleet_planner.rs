//! Turns planned changes of placement into orders to engines.
//!
//! The planner keeps a ledger for each engine. Each order carries the number of
//! orders that the engine has accepted according to the ledger, so the engine
//! refuses an order that arrives late or that is based on a stale ledger.
//! Everything that an engine may hold in the worst case counts against its memory.

mod adapters;
mod ledger;
mod registry;
mod store_loads;
mod vacancy;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::evacuations::EvacuationView;
use crate::decision::fleet_planner::ledger::{EngineLedger, MemoryRule};
use crate::decision::fleet_planner::store_loads::StoreLoads;
use crate::decision::fleet_planner::vacancy::VacancyLog;
use crate::decision::model_demand::DemandEstimate;
use crate::decision::model_plan::{EngineSnapshot, ModelDemand, PlanChange, plan_change};
use crate::decision::obligations::{ObligationBook, ServiceObligation};
use crate::gateway::declaration::{FleetDeclaration, GenerationRule, ServiceName, ServiceRule};
use crate::gateway::ports::{EngineOrder, EngineReport, OrderAnswer, OrderKind};
use crate::ids::{EndpointId, ModelName};

pub use adapters::{AdapterDecision, AdapterRequest};
pub use store_loads::RecentLoads;
pub use vacancy::{PlacementEvent, VacancyWait};

/// Time between the start of draining a model and its unload. Hosts receive the
/// notice with their next exchange and may send requests for the model until then.
const DRAIN_DELAY: Duration = Duration::from_millis(250);
/// Time from the acceptance of a load order for an adapter until requests for it
/// are sent.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(15);
/// Minimum interval between two requests for the report of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between two requests for the report of an engine that unloads a
/// model.
const UNLOAD_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between two requests for the report of an engine whose load is
/// overdue.
const OVERDUE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a load may take beyond the declared load time before a report is requested.
const LOAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Time from the end of a load until hosts send requests to the new replica.
const LISTING_TIME: Duration = Duration::from_millis(1_500);
/// Time for which an adapter that an engine has rejected is not loaded there in advance.
const REJECTED_ADAPTER_TIME: Duration = Duration::from_secs(5);
/// Time for which the end of the last load of a model is kept.
const LOAD_RECORD_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of changes of placement that begin for one service in one call of
/// [`FleetPlanner::plan_calls`].
const MAX_CHANGES_PER_CALL: usize = 4;
/// Time for which a request keeps a slot of an engine busy, in seconds.
const REQUEST_SLOT_TIME_S: f64 = 1.2;
/// Largest share of the engines of a service that may count as suspect.
const MAX_SUSPECT_SHARE: f64 = 0.34;
/// Largest share of the models of a service that may count as failing while engines hold
/// them. Beyond it, the hosts or their network are more likely at fault than replicas.
const MAX_FAILING_SHARE: f64 = 0.25;
/// Share of the declared rate of the weight store that is used.
const STORE_RATE_SHARE: f64 = 0.9;

/// Call to an engine that the planner requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlannerCall {
    /// Send an order and pass the answer to [`FleetPlanner::record_answer`].
    Order(EngineOrder),
    /// Request a report and pass it to [`FleetPlanner::record_report`].
    Report {
        /// Engine to call.
        engine: EndpointId,
        /// Address of the engine.
        address: SocketAddr,
    },
}

/// Placement on one engine that the coordinator sends to hosts in addition to the
/// registry.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineNotice {
    /// Models that are draining or unloading and get no new requests.
    pub closing: Vec<ModelName>,
    /// Adapters that the engine holds, by model.
    pub adapters: Vec<(ModelName, Vec<Arc<str>>)>,
}

impl EngineNotice {
    /// Returns whether the engine holds an adapter.
    pub fn holds_adapter(&self, model: &ModelName, adapter: &Arc<str>) -> bool {
        let held = self.adapters.iter().find(|(name, _)| name == model);
        held.is_some_and(|(_, adapters)| adapters.contains(adapter))
    }
}

/// Plans orders to engines from a ledger of each of them.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    engines: BTreeMap<EndpointId, EngineLedger>,
    store_loads: StoreLoads,
    /// Request rates that engines have named, in requests per second.
    limits: HashMap<EndpointId, f64>,
    /// Engines that serve none of the requests sent to them.
    suspects: HashSet<EndpointId>,
    /// Models whose listed replicas did not serve them at the last planning call.
    failing: HashSet<ModelName>,
    /// Time at which an engine last rejected an adapter.
    rejected_adapters: HashMap<(EndpointId, ModelName, Arc<str>), Duration>,
    /// Time of the last request for each adapter.
    requested_adapters: HashMap<(ModelName, Arc<str>), Duration>,
    /// Time at which each model was last seen loading.
    loading_at: HashMap<ModelName, Duration>,
    /// Models without a replica, for the log.
    vacancies: VacancyLog,
    /// Whether the next list may be older than the known one.
    is_restored: bool,
    /// Data centres to whose engines nothing is sent.
    evacuations: EvacuationView,
    /// Listed engines in them.
    evacuated: HashSet<EndpointId>,
}

impl FleetPlanner {
    /// Creates the planner of a coordinator whose term begins at `now`, after a predecessor
    /// that may have begun loads. Without one, [`FleetPlanner::default`] applies.
    pub fn after_predecessor(now: Duration) -> FleetPlanner {
        let store_loads = StoreLoads::after_predecessor(now);
        FleetPlanner { store_loads, ..FleetPlanner::default() }
    }

    /// Adds loads from the weight store that a host heard of from a predecessor.
    pub fn adopt_store_loads(&mut self, now: Duration, told: RecentLoads) {
        self.store_loads.adopt(now, told);
    }

    /// Returns the loads from the weight store that a successor has to count, or `None`
    /// while those of the predecessors are unknown.
    pub fn recent_store_loads(&self, now: Duration) -> Option<RecentLoads> {
        self.store_loads.recent(now)
    }

    /// Records that an engine has said that it leaves, so that its models count as lost.
    pub fn set_engine_leaving(&mut self, engine: &EndpointId) {
        if let Some(ledger) = self.engines.get_mut(engine) {
            ledger.is_leaving = true;
        }
    }

    /// Returns requests for reports that are due at `now`.
    ///
    /// They need no fencing token, so a host that may not send orders yet prepares for
    /// them.
    pub fn plan_reports(
        &mut self,
        now: Duration,
        declaration: &FleetDeclaration,
    ) -> Vec<PlannerCall> {
        self.request_reports(now, declaration)
    }

    /// Returns the calls to engines that are due at `now`, and records the changes
    /// that they begin in the ledgers.
    ///
    /// Orders carry the fencing token `token`. `demand` estimates how many slots
    /// each model needs, `obligations` holds what is requested and not served, `running`
    /// is the moving average of the number of requests on each engine, and `window` is
    /// the period over which the rate of loads from the weight store is limited.
    #[expect(clippy::too_many_arguments, reason = "each is an input of its own")]
    pub fn plan_calls(
        &mut self,
        now: Duration,
        token: u64,
        declaration: &FleetDeclaration,
        demand: &mut DemandEstimate,
        obligations: &ObligationBook,
        running: &HashMap<EndpointId, f64>,
        window: Duration,
    ) -> Vec<PlannerCall> {
        let mut calls = self.request_reports(now, declaration);
        calls.extend(self.unload_drained(now, token));
        let served = self.list_served_models();
        for ledger in self.engines.values_mut() {
            ledger.expire_reservation(now, &served);
            if let Some((model, _)) = &ledger.loading {
                self.loading_at.insert(model.clone(), now);
            }
        }
        self.rejected_adapters.retain(|_, at| now.saturating_sub(*at) < REJECTED_ADAPTER_TIME);
        self.loading_at.retain(|_, at| now.saturating_sub(*at) < LOAD_RECORD_LIFETIME);
        self.store_loads.expire(now, window);
        for service in declaration.services.values() {
            let Some(rule) = &service.generation else { continue };
            self.update_suspects(&service.name, obligations);
            let unserved = obligations.list_obligations(&service.name);
            let judged_from = obligations.judged_from();
            calls.extend(self.load_unserved_adapters(
                now,
                token,
                &service.name,
                rule,
                &unserved,
                judged_from,
            ));
            let demand = self.assess_demand(now, service, rule, demand, &unserved, obligations);
            let limit = (rule.store_loads_per_s * window.as_secs_f64() * STORE_RATE_SHARE) as usize;
            let mut engines = self.snapshot_engines(&service.name, rule, running);
            for _ in 0..MAX_CHANGES_PER_CALL {
                let store_loads = self.store_loads.remaining(limit);
                let Some(change) = plan_change(rule, &engines, &demand, store_loads) else { break };
                let touched = self.list_touched_engines(&change);
                calls.extend(self.begin_change(now, token, change));
                self.refresh_snapshots(&mut engines, &touched, rule, running);
            }
        }
        // Changes of models take precedence over adapters that are served, since an
        // engine carries out one order at a time.
        calls.extend(self.preload_adapters(now, token, declaration));
        calls
    }

    /// Updates which engines of a service serve none of the requests sent to them.
    ///
    /// If most engines seem to, something else is wrong, such as the network of the
    /// hosts, and none of them counts as suspect.
    fn update_suspects(&mut self, service: &ServiceName, obligations: &ObligationBook) {
        let ids = self.engines.iter().filter(|(_, ledger)| ledger.entry.service == *service);
        let ids: Vec<&EndpointId> = ids.map(|(id, _)| id).collect();
        let suspects: Vec<&EndpointId> =
            ids.iter().copied().filter(|id| obligations.is_suspect(id)).collect();
        let is_bounded = suspects.len() as f64 <= ids.len() as f64 * MAX_SUSPECT_SHARE;
        let suspects: HashSet<EndpointId> =
            suspects.into_iter().filter(|_| is_bounded).cloned().collect();
        self.suspects.retain(|id| !ids.contains(&id) && self.engines.contains_key(id));
        self.suspects.extend(suspects);
    }

    /// Returns what is requested of the models of a service, and has the ledgers of
    /// engines verified that do not serve what they hold.
    fn assess_demand(
        &mut self,
        now: Duration,
        service: &ServiceRule,
        rule: &GenerationRule,
        demand: &mut DemandEstimate,
        unserved: &[ServiceObligation],
        obligations: &ObligationBook,
    ) -> ModelDemand {
        let slots = self.min_slots(&service.name);
        let models = unserved.iter().filter(|obligation| obligation.adapter.is_none());
        let failing = models.clone().filter(|obligation| {
            let loaded_at = self.loading_at.get(&obligation.model);
            let listed_at = loaded_at.map_or(Duration::ZERO, |at| *at + LISTING_TIME);
            obligation.run.is_failing(listed_at.max(obligations.judged_from()))
        });
        let failing: HashSet<ModelName> =
            failing.map(|obligation| obligation.model.clone()).collect();
        let max_failing = rule.models.len() as f64 * MAX_FAILING_SHARE;
        let failing = if failing.len() as f64 <= max_failing { failing } else { HashSet::new() };
        self.failing.clone_from(&failing);
        for ledger in self.engines.values_mut() {
            if ledger.models.iter().any(|model| failing.contains(model)) {
                ledger.verify(now);
            }
        }
        let idle = rule.models.iter().map(|model| &model.name);
        let idle = idle.filter(|model| !obligations.is_requested(&service.name, model));
        ModelDemand {
            slots: demand.estimate_slots(now, &service.name, slots),
            unserved: models.map(|obligation| obligation.model.clone()).collect(),
            idle: if obligations.has_observed_idleness(now) {
                idle.cloned().collect()
            } else {
                HashSet::new()
            },
            failing,
        }
    }

    /// Returns the state of all ready engines of a service, ordered by
    /// identifier.
    fn snapshot_engines(
        &self,
        service: &ServiceName,
        rule: &GenerationRule,
        running: &HashMap<EndpointId, f64>,
    ) -> Vec<EngineSnapshot> {
        let memory = MemoryRule::new(rule);
        let ledgers = self.engines.values();
        let ready = ledgers.filter(|ledger| ledger.entry.service == *service && ledger.is_ready());
        ready.map(|ledger| self.snapshot_engine(ledger, &memory, running)).collect()
    }

    fn snapshot_engine(
        &self,
        ledger: &EngineLedger,
        memory: &MemoryRule<'_>,
        running: &HashMap<EndpointId, f64>,
    ) -> EngineSnapshot {
        let id = &ledger.entry.id;
        let limit = self.limits.get(id);
        let slots = f64::from(ledger.entry.slots.max(1));
        let limited_share = limit.map(|limit| limit * REQUEST_SLOT_TIME_S / slots);
        let snapshot = ledger.snapshot(memory, running.get(id).copied().unwrap_or_default());
        EngineSnapshot { limited_share, is_suspect: self.suspects.contains(id), ..snapshot }
    }

    /// Returns the engines whose state a change alters: its own, and those whose
    /// reservation for the model a load may end.
    fn list_touched_engines(&self, change: &PlanChange) -> HashSet<EndpointId> {
        let (engine, loaded) = match change {
            PlanChange::Load { engine, model, .. } => (engine, Some(model)),
            PlanChange::Drain { engine, .. } | PlanChange::Reserve { engine, .. } => (engine, None),
        };
        let is_reserved = |ledger: &EngineLedger| {
            let reserved = ledger.reserved.as_ref().map(|(model, _)| model);
            loaded.is_some() && reserved == loaded
        };
        let reserved = self.engines.iter().filter(|(_, ledger)| is_reserved(ledger));
        reserved.map(|(id, _)| id).chain([engine]).cloned().collect()
    }

    /// Brings the snapshots of some engines up to date.
    fn refresh_snapshots(
        &self,
        engines: &mut [EngineSnapshot],
        touched: &HashSet<EndpointId>,
        rule: &GenerationRule,
        running: &HashMap<EndpointId, f64>,
    ) {
        let memory = MemoryRule::new(rule);
        for snapshot in engines.iter_mut().filter(|snapshot| touched.contains(&snapshot.id)) {
            if let Some(ledger) = self.engines.get(&snapshot.id) {
                *snapshot = self.snapshot_engine(ledger, &memory, running);
            }
        }
    }

    /// Returns the models that an engine serves, as far as the ledgers tell.
    fn list_served_models(&self) -> HashSet<ModelName> {
        let sound = self
            .engines
            .values()
            .filter(|ledger| ledger.is_ready() && !self.suspects.contains(&ledger.entry.id));
        let models = sound.flat_map(|ledger| {
            ledger.models.iter().filter(|model| !ledger.is_being_removed(model))
        });
        models.filter(|model| !self.failing.contains(*model)).cloned().collect()
    }

    /// Returns whether an engine serves a model, as far as the ledgers tell.
    fn is_served(&self, model: &ModelName) -> bool {
        let serves = |ledger: &EngineLedger| {
            let holds = ledger.models.contains(model) && !ledger.is_being_removed(model);
            holds && ledger.is_ready() && !self.suspects.contains(&ledger.entry.id)
        };
        !self.failing.contains(model) && self.engines.values().any(serves)
    }

    /// Returns the lowest number of slots of any engine of a service, or zero if it
    /// has no engines.
    fn min_slots(&self, service: &ServiceName) -> u32 {
        let entries = self.engines.values().map(|ledger| &ledger.entry);
        let entries = entries.filter(|entry| entry.service == *service);
        entries.map(|entry| entry.slots).min().unwrap_or_default()
    }

    /// Records the start of a change and returns the order that it requires, if
    /// any.
    fn begin_change(
        &mut self,
        now: Duration,
        token: u64,
        change: PlanChange,
    ) -> Option<PlannerCall> {
        match change {
            PlanChange::Load { engine, model, from_store } => {
                let is_vacant = !self.is_served(&model);
                let others = self.engines.iter_mut().filter(|(id, _)| **id != engine);
                for (_, ledger) in others.filter(|_| is_vacant) {
                    ledger.release(&model);
                }
                let ledger = self.engines.get_mut(&engine)?;
                ledger.reserved = None;
                if from_store {
                    self.store_loads.record(now);
                }
                ledger.loading = Some((model.clone(), now));
                Some(PlannerCall::Order(ledger.open_order(
                    now,
                    token,
                    OrderKind::Load,
                    &model,
                    None,
                )))
            }
            PlanChange::Drain { engine, model, successor } => {
                let ledger = self.engines.get_mut(&engine)?;
                ledger.draining = Some((model, now));
                ledger.reserve(now, successor);
                None
            }
            PlanChange::Reserve { engine, model } => {
                self.engines.get_mut(&engine)?.reserve(now, model);
                None
            }
        }
    }

    /// Returns orders to unload the models that have drained for
    /// [`DRAIN_DELAY`].
    fn unload_drained(&mut self, now: Duration, token: u64) -> Vec<PlannerCall> {
        let mut calls = Vec::new();
        for ledger in self.engines.values_mut().filter(|ledger| !ledger.has_open_order()) {
            let Some((model, since)) = ledger.draining.clone() else { continue };
            if !ledger.is_confirmed || now.saturating_sub(since) < DRAIN_DELAY {
                continue;
            }
            ledger.draining = None;
            ledger.unloading = Some((model.clone(), now));
            calls.push(PlannerCall::Order(ledger.open_order(
                now,
                token,
                OrderKind::Unload,
                &model,
                None,
            )));
        }
        calls
    }

    /// Returns report requests to engines whose ledger is unconfirmed, whose load is
    /// overdue or that unload a model.
    ///
    /// An engine gets at most one request in each [`REPORT_INTERVAL`], or in each
    /// [`UNLOAD_REPORT_INTERVAL`] while it unloads a model.
    fn request_reports(
        &mut self,
        now: Duration,
        declaration: &FleetDeclaration,
    ) -> Vec<PlannerCall> {
        let services = &declaration.services;
        let mut calls = Vec::new();
        for (engine, ledger) in &mut self.engines {
            if ledger.expire_order(now) {
                self.vacancies.record_unanswered(engine);
            }
            let service = services.get(&ledger.entry.service);
            let generates = service.is_some_and(|service| service.generation.is_some());
            let is_overdue = ledger.loading.as_ref().is_some_and(|(model, since)| {
                let rules = service.and_then(|service| service.generation.as_ref());
                let rule =
                    rules.and_then(|rule| rule.models.iter().find(|rule| rule.name == *model));
                let expected = rule.map_or(Duration::ZERO, |rule| rule.store_load);
                now.saturating_sub(*since) > expected + LOAD_TIMEOUT_MARGIN
            });
            let is_unloading = ledger.unloading.is_some();
            let interval = if is_unloading {
                UNLOAD_REPORT_INTERVAL
            } else if is_overdue && ledger.is_confirmed {
                OVERDUE_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            let is_due = ledger
                .requested_at
                .is_none_or(|requested_at| now.saturating_sub(requested_at) > interval);
            let needs_report = !ledger.is_confirmed || is_overdue || is_unloading;
            if generates && is_due && !ledger.has_open_order() && needs_report {
                ledger.requested_at = Some(now);
                let (engine, address) = (ledger.entry.id.clone(), ledger.entry.address);
                calls.push(PlannerCall::Report { engine, address });
            }
        }
        calls
    }

    /// Records the answer to an order.
    pub fn record_answer(&mut self, now: Duration, order: &EngineOrder, answer: OrderAnswer) {
        let Some(ledger) = self.engines.get_mut(&order.engine) else { return };
        if !ledger.close_order(order.expected_count) {
            // The answer comes after the timeout, and a report may contain its effect.
            ledger.mark_unconfirmed(now);
            return;
        }
        if order.adapter.is_none() {
            self.vacancies.record_answer(&order.engine, answer);
        }
        match (answer, order.kind, &order.adapter) {
            (OrderAnswer::Accepted, OrderKind::Load, Some(adapter)) => {
                ledger.order_count += 1;
                ledger.add_adapters(now, &order.model, std::slice::from_ref(adapter));
                for held in ledger.adapters.iter_mut().rev().take(1) {
                    held.ready_at = now + ADAPTER_LOAD_TIME;
                }
            }
            (OrderAnswer::Accepted, OrderKind::Unload, Some(_)) => {
                ledger.order_count += 1;
                ledger.remove_adapter(&order.model, order.adapter.as_ref());
            }
            (OrderAnswer::Accepted, _, None) => {
                ledger.order_count += 1;
                // Reports lag behind, so one that is requested now may predate the
                // order. Setting the time delays the next request.
                ledger.requested_at = Some(now);
            }
            (OrderAnswer::Holds, OrderKind::Unload, Some(_)) => {
                // An unused adapter is unloaded immediately, so the engine has
                // accepted and completed the order.
                ledger.order_count += 1;
                ledger.remove_adapter(&order.model, order.adapter.as_ref());
            }
            (OrderAnswer::Holds, OrderKind::Load, Some(adapter)) => {
                ledger.add_adapters(now, &order.model, std::slice::from_ref(adapter));
            }
            (OrderAnswer::Holds, _, None) => ledger.mark_unconfirmed(now),
            (
                OrderAnswer::Conflict
                | OrderAnswer::Rejected
                | OrderAnswer::Fenced
                | OrderAnswer::Undelivered,
                ..,
            ) => {
                if let (OrderAnswer::Rejected, Some(adapter)) = (answer, &order.adapter) {
                    let key = (order.engine.clone(), order.model.clone(), adapter.clone());
                    self.rejected_adapters.insert(key, now);
                }
                ledger.loading = ledger.loading.take().filter(|_| order.adapter.is_some());
                ledger.unloading = ledger.unloading.take().filter(|_| order.adapter.is_some());
                ledger.mark_unconfirmed(now);
            }
            // The order may still be carried out, so a load stays counted until
            // a report shows otherwise.
            (OrderAnswer::Unknown, ..) => ledger.mark_unconfirmed(now),
        }
    }

    /// Records a report of an engine.
    ///
    /// Reports are ignored if they come from another run of the engine, if they
    /// cover fewer orders than the ledger, or while an order awaits its answer.
    pub fn record_report(&mut self, now: Duration, engine: &EndpointId, report: EngineReport) {
        let Some(ledger) = self.engines.get_mut(engine) else { return };
        if report.started_ms != 0 && report.started_ms != ledger.entry.started_ms {
            return;
        }
        if report.order_count < ledger.order_count || ledger.has_open_order() {
            return;
        }
        ledger.order_count = report.order_count;
        ledger.adapters.clear();
        for (model, adapters) in &report.models {
            ledger.add_adapters(now, model, adapters);
        }
        for (model, adapter) in &report.pending {
            ledger.add_adapters(now, model, std::slice::from_ref(adapter));
        }
        if !report.is_busy {
            // No order is being carried out or has been accepted since, so the
            // report is complete.
            let models = report.models.into_iter().map(|(model, _)| model);
            ledger.models = models.collect();
            ledger.loading = None;
            ledger.unloading = None;
            ledger.is_confirmed = true;
        }
        let models = &ledger.models;
        ledger.adapters.retain(|held| models.contains(&held.model));
    }

    /// Returns whether the planner keeps a ledger of an engine.
    pub fn has_engine(&self, engine: &EndpointId) -> bool {
        self.engines.contains_key(engine)
    }

    /// Returns the placement information for hosts, by engine.
    pub fn build_notices(&self) -> impl Iterator<Item = (&EndpointId, EngineNotice)> {
        self.engines.iter().map(|(engine, ledger)| (engine, ledger.build_notice()))
    }

    /// Returns the placement information for hosts on one engine.
    pub fn build_notice(&self, engine: &EndpointId) -> Option<EngineNotice> {
        Some(self.engines.get(engine)?.build_notice())
    }
}
