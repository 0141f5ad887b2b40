//! Places adapters on engines that hold their models.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::dispatch::homes::is_allowed;
use crate::decision::fleet_planner::ledger::{EngineLedger, HeldAdapter};
use crate::decision::fleet_planner::{FleetPlanner, PlannerCall};
use crate::decision::obligations::ServiceObligation;
use crate::gateway::declaration::{FleetDeclaration, GenerationRule, ServiceName};
use crate::gateway::ports::{EngineOrder, OrderKind};
use crate::ids::{DataCentre, EndpointId, ModelName};

/// Time since its last use after which an adapter may be unloaded.
const ADAPTER_MIN_IDLE: Duration = Duration::from_millis(500);
/// Time after its last use in which requests may still run with an adapter. Its unload
/// waits for them, and the engine accepts no other order meanwhile.
const ADAPTER_RUN_TIME: Duration = Duration::from_secs(2);
/// Time after its load for which an adapter that is not served yet is kept.
const UNSERVED_ADAPTER_TIME: Duration = Duration::from_secs(4);
/// Time without service after which an adapter displaces one that is in use.
const URGENT_ADAPTER_TIME: Duration = Duration::from_secs(5);
/// Time after the last request for an adapter during which it is preloaded onto
/// engines.
const REQUESTED_ADAPTER_LIFETIME: Duration = Duration::from_secs(4);

/// A request for an engine that holds an adapter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct AdapterRequest {
    /// Service whose engines are considered.
    pub service: ServiceName,
    /// Model to which the adapter belongs.
    pub model: ModelName,
    /// Name of the adapter.
    pub adapter: Arc<str>,
    /// Data centres whose engines may be used; `None` for all.
    pub allowed: Option<Arc<[DataCentre]>>,
    /// Engines to which the host cannot send now, which are used only if there are no
    /// others.
    pub resting: Vec<EndpointId>,
}

/// How to proceed with a request for an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdapterDecision {
    /// Send the request to an engine once it has loaded the adapter.
    Ready {
        /// Engine that holds or loads the adapter.
        engine: EndpointId,
        /// Time at which the adapter is loaded.
        at: Duration,
    },
    /// Send this order, then repeat the request.
    Order(EngineOrder),
    /// Repeat the request later, since no engine can accept an order or free an adapter
    /// slot now.
    Wait,
    /// No engine serves the model, or none holds the adapter and this host may not
    /// send orders.
    NoEngine,
}

impl FleetPlanner {
    /// Returns orders that make unserved adapters available, the longest unserved one
    /// first, at most one for each engine.
    ///
    /// They precede changes of models, since an engine carries out one order at a time
    /// and refuses adapters while it loads a model. An adapter displaces the least recently
    /// used one that is served, and one with running requests only if it is failing.
    pub(super) fn load_unserved_adapters(
        &mut self,
        now: Duration,
        token: u64,
        service: &ServiceName,
        rule: &GenerationRule,
        obligations: &[ServiceObligation],
        judged_from: Duration,
    ) -> Vec<PlannerCall> {
        let unserved = obligations
            .iter()
            .filter_map(|obligation| Some((obligation, obligation.adapter.as_ref()?)));
        let is_unserved = |held: &HeldAdapter| {
            obligations.iter().any(|obligation| {
                obligation.model == held.model && obligation.adapter.as_ref() == Some(&held.adapter)
            })
        };
        let mut calls = Vec::new();
        for (obligation, adapter) in unserved {
            let model = &obligation.model;
            let holds = |ledger: &EngineLedger| {
                let mut held = ledger.adapters.iter();
                held.any(|held| held.model == *model && held.adapter == *adapter)
            };
            let can_serve = |ledger: &&mut EngineLedger| {
                let serves = ledger.models.contains(model) && !ledger.is_being_removed(model);
                ledger.entry.service == *service && ledger.is_ready() && serves
            };
            let mut serving: Vec<&mut EngineLedger> =
                self.engines.values_mut().filter(can_serve).collect();
            // The replicas of suspect engines are used if there are no others.
            let is_sound = |ledger: &EngineLedger| !self.suspects.contains(&ledger.entry.id);
            if serving.iter().any(|ledger| is_sound(ledger)) {
                serving.retain(|ledger| is_sound(ledger));
            }
            let is_failing = obligation.run.is_failing(judged_from);
            if serving.iter().any(|ledger| holds(ledger)) && !is_failing {
                continue;
            }
            if is_failing {
                // The ledger may be wrong, and only a report tells.
                let holders = serving.iter_mut().filter(|ledger| holds(ledger));
                holders.for_each(|ledger| ledger.verify(now));
            }
            let usable = serving.into_iter().filter(|ledger| {
                // A model that waits for an idle engine comes first there.
                let is_free = ledger.reserved.is_none() || !ledger.is_idle();
                let key = (ledger.entry.id.clone(), model.clone(), adapter.clone());
                let is_accepted = !self.rejected_adapters.contains_key(&key);
                ledger.can_take_adapter_order() && !holds(ledger) && is_free && is_accepted
            });
            let Some(ledger) = usable.min_by(|a, b| {
                let order =
                    |ledger: &EngineLedger| (ledger.adapters.len(), ledger.entry.id.clone());
                order(a).cmp(&order(b))
            }) else {
                continue;
            };
            let order = if ledger.adapters.len() < rule.adapter_slots as usize {
                ledger.open_order(now, token, OrderKind::Load, model, Some(adapter.clone()))
            } else {
                let is_kept = |held: &HeldAdapter| {
                    is_unserved(held) && now < held.ready_at + UNSERVED_ADAPTER_TIME
                };
                let waited = now.saturating_sub(obligation.run.first_at);
                let min_idle = if waited > URGENT_ADAPTER_TIME {
                    Duration::ZERO
                } else if is_failing {
                    ADAPTER_MIN_IDLE
                } else {
                    ADAPTER_RUN_TIME
                };
                let displaceable = ledger.adapters.iter().filter(|held| !is_kept(held));
                let held = displaceable.min_by_key(|held| held.used_at).cloned();
                let is_idle = |held: &HeldAdapter| now.saturating_sub(held.used_at) >= min_idle;
                let Some(held) = held.filter(is_idle) else { continue };
                ledger.keep_place(now, model, adapter);
                ledger.open_order(now, token, OrderKind::Unload, &held.model, Some(held.adapter))
            };
            calls.push(PlannerCall::Order(order));
        }
        calls
    }

    /// Returns orders to load recently requested adapters, at most one for each idle
    /// engine that holds their model.
    ///
    /// An engine accepts no orders for adapters while it loads a model, so
    /// adapters are loaded in advance.
    pub(super) fn preload_adapters(
        &mut self,
        now: Duration,
        token: u64,
        declaration: &FleetDeclaration,
    ) -> Vec<PlannerCall> {
        self.requested_adapters
            .retain(|_, at| now.saturating_sub(*at) < REQUESTED_ADAPTER_LIFETIME);
        // By model, because an engine serves few of them.
        let mut requested: HashMap<&ModelName, Vec<(&Duration, &Arc<str>)>> = HashMap::new();
        for ((model, adapter), at) in &self.requested_adapters {
            requested.entry(model).or_default().push((at, adapter));
        }
        let mut calls = Vec::new();
        for ledger in self.engines.values_mut().filter(|ledger| ledger.is_idle()) {
            let service = declaration.services.get(&ledger.entry.service);
            let Some(rule) = service.and_then(|service| service.generation.as_ref()) else {
                continue;
            };
            if ledger.adapters.len() >= rule.adapter_slots as usize {
                continue;
            }
            let adapters = ledger.models.iter().flat_map(|model| {
                let adapters = requested.get(model).into_iter().flatten();
                adapters.map(move |(at, adapter)| (*at, model, *adapter))
            });
            let missing = adapters.filter(|(_, model, adapter)| {
                let holds = |held: &HeldAdapter| held.model == **model && held.adapter == **adapter;
                !ledger.adapters.iter().any(holds)
            });
            // The adapter that was requested last comes first.
            let next =
                missing.min_by(|a, b| b.0.cmp(a.0).then_with(|| (a.1, a.2).cmp(&(b.1, b.2))));
            if let Some((_, model, adapter)) = next {
                let (model, adapter) = (model.clone(), adapter.clone());
                let order = ledger.open_order(now, token, OrderKind::Load, &model, Some(adapter));
                calls.push(PlannerCall::Order(order));
            }
        }
        calls
    }

    /// Returns how to proceed with a request for an adapter.
    ///
    /// If no engine holds the adapter, the order loads it. If the engine with the
    /// fewest adapters, or the least recently used one, has no free adapter slot, the order unloads its least recently
    /// used adapter instead, unless that was used within `ADAPTER_MIN_IDLE`.
    ///
    /// `token` is the fencing token, if this host may send orders, and `slots`
    /// is the number of adapters that an engine can hold.
    pub fn place_adapter(
        &mut self,
        now: Duration,
        token: Option<u64>,
        request: &AdapterRequest,
        slots: u32,
    ) -> AdapterDecision {
        let AdapterRequest { service, model, adapter, allowed, resting } = request;
        self.requested_adapters.insert((model.clone(), adapter.clone()), now);
        let mut holders: Vec<&mut EngineLedger> = self
            .engines
            .values_mut()
            .filter(|ledger| ledger.entry.service == *service && ledger.is_ready())
            .filter(|ledger| is_allowed(allowed.as_deref(), &ledger.entry.data_centre))
            .filter(|ledger| ledger.models.contains(model) && !ledger.is_being_removed(model))
            .collect();
        if holders.is_empty() {
            return AdapterDecision::NoEngine;
        }
        // An engine that takes fewer requests, or none, is used if no other one holds the
        // model.
        let is_sound = |ledger: &EngineLedger| {
            let id = &ledger.entry.id;
            let is_limited = self.limits.contains_key(id) || resting.contains(id);
            !is_limited && !self.suspects.contains(id)
        };
        if holders.iter().any(|ledger| is_sound(ledger)) {
            holders.retain(|ledger| is_sound(ledger));
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
        // An engine refuses other orders while it loads or unloads a model.
        let usable = holders.into_iter().filter(|ledger| ledger.can_take_adapter_order());
        // Among engines that are equally full, the adapter that was used least recently
        // of all gives way.
        let order = |ledger: &&mut EngineLedger| {
            let oldest_use = ledger.adapters.iter().map(|held| held.used_at).min();
            (ledger.adapters.len(), oldest_use)
        };
        let Some(ledger) = usable.min_by_key(order) else {
            return AdapterDecision::Wait;
        };
        if ledger.adapters.len() + ledger.kept_places(now, model, adapter) < slots as usize {
            let adapter = Some(adapter.clone());
            return AdapterDecision::Order(ledger.open_order(
                now,
                token,
                OrderKind::Load,
                model,
                adapter,
            ));
        }
        let least_recent = ledger.adapters.iter().min_by_key(|held| held.used_at).cloned();
        match least_recent.filter(|held| now.saturating_sub(held.used_at) > ADAPTER_MIN_IDLE) {
            Some(held) => {
                let adapter = Some(held.adapter);
                AdapterDecision::Order(ledger.open_order(
                    now,
                    token,
                    OrderKind::Unload,
                    &held.model,
                    adapter,
                ))
            }
            None => AdapterDecision::Wait,
        }
    }

    /// Records that a host uses an adapter on an engine.
    pub fn record_adapter_use(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        model: &ModelName,
        adapter: &Arc<str>,
    ) {
        self.requested_adapters.insert((model.clone(), adapter.clone()), now);
        let Some(ledger) = self.engines.get_mut(engine) else { return };
        for held in &mut ledger.adapters {
            if held.model == *model && held.adapter == *adapter {
                held.used_at = now;
            }
        }
    }
}
