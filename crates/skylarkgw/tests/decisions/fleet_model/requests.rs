//! The requests that are sent in a simulated fleet, and whether it serves them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use skylarkgw::decision::fleet_planner::AdapterDecision;
use skylarkgw::decision::model_demand::ModelUse;
use skylarkgw::decision::obligations::{ServiceTarget, UnservedCause};
use skylarkgw::gateway::declaration::GenerationRule;
use skylarkgw::gateway::registry::{EngineEntry, EnginePhase};
use skylarkgw::ids::{EndpointId, ModelName};

use crate::fleet_model::{FleetModel, STEP, Target, TargetState, service_bound};
use crate::samples::{MODEL_SERVICE, adapter_request};

/// Number of engines to which one request is sent.
const MAX_ATTEMPTS: usize = 3;
/// Number of orders that placing one adapter may take.
const MAX_PLACEMENT_STEPS: usize = 4;

impl FleetModel {
    /// Sends the requests of one step, and compares the time without service with the
    /// bound.
    pub(super) fn send_requests(&mut self, rule: &GenerationRule) {
        let now = self.now();
        let can_order = self.coordinator.is_some() && now >= self.store_lost_until;
        for state in self.targets.values_mut().filter(|_| !can_order) {
            state.excused += STEP;
        }
        let demand = self.demand.clone();
        for (target, rate) in demand {
            if !self.rng.random_bool((rate * STEP.as_secs_f64()).min(1.0)) {
                continue;
            }
            let service = MODEL_SERVICE.into();
            let usage = ModelUse { arrivals: 1, ..ModelUse::default() };
            self.report.uses.push((service, target.0.clone(), usage));
            let served = self.serve(&target, rule);
            self.report_outcome(&target, served);
            self.record_outcome(target, served.is_ok());
        }
    }

    /// Records an outcome for the coordinator as a host does.
    fn report_outcome(&mut self, target: &Target, served: Result<(), UnservedCause>) {
        let now = self.now();
        let target = ServiceTarget {
            service: MODEL_SERVICE.into(),
            model: target.0.clone(),
            adapter: target.1.clone(),
        };
        match served {
            Ok(()) => self.service_log.record_served(now, &target),
            Err(cause) => self.service_log.record_unserved(now, &target, cause),
        }
    }

    fn record_outcome(&mut self, target: Target, is_served: bool) {
        let now = self.now();
        let unserved = self
            .targets
            .iter()
            .filter(|((_, adapter), state)| adapter.is_none() && state.unserved_since.is_some());
        let unserved = unserved.count();
        let bound = service_bound(&self.rule(), unserved);
        let state = self.targets.entry(target.clone()).or_default();
        if is_served {
            *state = TargetState::default();
            return;
        }
        let since = *state.unserved_since.get_or_insert_with(|| {
            state.excused = Duration::ZERO;
            now
        });
        let wait = now.saturating_sub(since).saturating_sub(state.excused);
        self.longest_wait = self.longest_wait.max(wait);
        if wait > bound {
            self.late_requests.push(format!("{target:?} at {now:?}, unserved for {wait:?}"));
        }
    }

    /// Serves one request as a host does.
    fn serve(&mut self, target: &Target, rule: &GenerationRule) -> Result<(), UnservedCause> {
        let (model, adapter) = target;
        let mut tried: HashSet<EndpointId> = HashSet::new();
        for _ in 0..MAX_ATTEMPTS {
            let is_usable = |entry: &&Arc<EngineEntry>| {
                let notice = self.placement.get(&entry.id);
                entry.phase == EnginePhase::Ready
                    && entry.leaves_in.is_none()
                    && !tried.contains(&entry.id)
                    && entry.models.iter().any(|held| held.name == *model)
                    && !notice.is_some_and(|notice| notice.closing.contains(model))
            };
            let usable = self.registry.iter().filter(is_usable).map(|entry| entry.id.clone());
            let mut usable: Vec<EndpointId> = usable.collect();
            if usable.is_empty() {
                return Err(UnservedCause::NoService);
            }
            if let Some(adapter) = adapter {
                let holds = |id: &EndpointId| {
                    self.placement
                        .get(id)
                        .is_some_and(|notice| notice.holds_adapter(model, adapter))
                };
                if usable.iter().any(holds) {
                    usable.retain(holds);
                } else {
                    let placed = self.place_adapter(model, adapter, rule);
                    usable.retain(|id| Some(id) == placed.as_ref());
                }
            }
            let id = usable.choose(&mut self.rng).cloned().ok_or(UnservedCause::NoAdapter)?;
            if let Some(adapter) = adapter {
                self.report.adapter_uses.push((id.clone(), model.clone(), adapter.clone()));
            }
            let engine = self.engines.iter().find(|engine| engine.entry.id == id);
            let can_serve = engine.is_some_and(|engine| {
                let has_adapter = adapter.as_ref().is_none_or(|adapter| {
                    engine.adapters.contains(&(model.clone(), adapter.clone()))
                });
                engine.is_running()
                    && engine.lies_until <= self.now()
                    && engine.models.contains(model)
                    && has_adapter
            });
            if can_serve {
                self.service_log.record_served_attempt(self.now(), &id);
                return Ok(());
            }
            self.service_log.record_failed_attempt(self.now(), &id, false);
            tried.insert(id);
        }
        Err(UnservedCause::NoService)
    }

    fn place_adapter(
        &mut self,
        model: &ModelName,
        adapter: &Arc<str>,
        rule: &GenerationRule,
    ) -> Option<EndpointId> {
        let now = self.now();
        let request = adapter_request(model, adapter);
        for _ in 0..MAX_PLACEMENT_STEPS {
            let coordinator = self.coordinator.as_mut()?;
            let token = self.gives_orders.then_some(self.token);
            let planner = coordinator.planner_mut();
            let slots = rule.adapter_slots;
            match planner.place_adapter(now, token, &request, slots) {
                AdapterDecision::Ready { engine, .. } => return Some(engine),
                AdapterDecision::Order(order) => self.send_order(&order, rule),
                AdapterDecision::Wait | AdapterDecision::NoEngine => return None,
            }
        }
        None
    }
}
