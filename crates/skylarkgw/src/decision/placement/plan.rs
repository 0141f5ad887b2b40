//! Plans the orders that bring the engines in line with the accepted
//! configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::configuration::{EndpointKind, FleetConfiguration, ModelSpec};
use crate::decision::fencing::FencingToken;
use crate::decision::placement::{FleetLedger, ModelPhase, OrderAction};
use crate::ids::{EndpointId, ModelName};

/// Order that the plan proposes, before it has a sequence number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// Engine that receives the order.
    pub engine: EndpointId,
    /// Action that the engine takes.
    pub action: OrderAction,
}

/// Plan under construction.
struct PlanDraft<'a> {
    configuration: &'a FleetConfiguration,
    ledger: &'a FleetLedger,
    fence: FencingToken,
    orders: Vec<PlannedOrder>,
    /// Engines that have an order in this plan.
    ordered_engines: BTreeSet<EndpointId>,
    /// Number of engines with a load in progress or in this plan.
    load_count: usize,
}

/// Plans at most one order for each engine.
///
/// Replicas on engines that are leaving do not count, since they get no new requests.
/// Loads are planned before unloads. A replica of a declared model is unloaded
/// only if the declared number of other replicas, and at least one, certainly serve
/// the accepted version; until then, replicas of other versions stay. This condition
/// does not apply to models that are no longer declared.
pub fn plan_orders(
    configuration: &FleetConfiguration,
    ledger: &FleetLedger,
    fence: FencingToken,
) -> Vec<PlannedOrder> {
    let mut draft = PlanDraft {
        configuration,
        ledger,
        fence,
        orders: Vec::new(),
        ordered_engines: BTreeSet::new(),
        load_count: ledger.count_loading_engines(),
    };
    let mut models: Vec<(&ModelName, &ModelSpec)> = configuration.models.iter().collect();
    // Models with the fewest replicas come first, since a model without replicas
    // cannot be served.
    models.sort_by_key(|(model, spec)| {
        ledger.count_serving_engines(configuration, model, &spec.version)
    });
    for (model, spec) in &models {
        let versions = std::iter::once(&spec.version).chain(spec.next.as_ref());
        versions.for_each(|version| draft.load_missing(model, spec, version));
    }
    models.iter().for_each(|(model, spec)| draft.unload_surplus(model, spec));
    draft.unload_undeclared();
    draft.orders
}

impl PlanDraft<'_> {
    /// Returns the declared engines.
    fn engines(&self) -> impl Iterator<Item = &EndpointId> {
        let is_engine = |(_, spec): &(&EndpointId, &crate::configuration::EndpointSpec)| {
            spec.kind == EndpointKind::Engine
        };
        self.configuration.endpoints.iter().filter(is_engine).map(|(engine, _)| engine)
    }

    /// Returns the worst-case free memory of an engine that may receive an
    /// order, in mebibytes.
    ///
    /// Returns `None` for an engine that is leaving, has a pending order or an
    /// order in this plan, lacks a usable report, or has less memory than its
    /// replicas take in the worst case.
    fn compute_free_memory_mb(&self, engine: &EndpointId) -> Option<u64> {
        let spec = self.configuration.endpoints.get(engine)?;
        let report = self.ledger.usable_report(engine, spec.checks_fence, self.fence)?;
        let free_mb =
            report.memory_mb.checked_sub(self.ledger.compute_worst_case_memory_mb(engine))?;
        let is_available = !spec.leaving
            && !self.ordered_engines.contains(engine)
            && !self.ledger.has_pending_order(engine);
        is_available.then_some(free_mb)
    }

    /// Plans loads of a version until it has the declared number of replicas, on the
    /// engines with the most free memory.
    ///
    /// Stops if no engine has enough free memory, or if the weight store has reached
    /// its maximum number of concurrent loads.
    fn load_missing(&mut self, model: &ModelName, spec: &ModelSpec, version: &Arc<str>) {
        let holds = |engine: &&EndpointId| self.ledger.may_hold(engine, model, version);
        let stays = |engine: &&EndpointId| !self.configuration.is_leaving(engine);
        let held = self.engines().filter(stays).filter(holds).count();
        for _ in held..spec.replicas as usize {
            if self.load_count >= self.configuration.weight_store.in_flight as usize {
                return;
            }
            let target = self
                .engines()
                .filter(|engine| !self.ledger.may_hold(engine, model, version))
                .filter_map(|engine| {
                    self.compute_free_memory_mb(engine).map(|free_mb| (free_mb, engine))
                })
                .filter(|(free_mb, _)| *free_mb >= spec.memory_mb)
                .max();
            let Some((_, engine)) = target else { return };
            let action = OrderAction::Load {
                model: model.clone(),
                version: version.clone(),
                memory_mb: spec.memory_mb,
            };
            let engine = engine.clone();
            self.load_count += 1;
            self.push_order(engine, action);
        }
    }

    /// Unloads replicas of other versions, and replicas beyond the declared
    /// number, once enough replicas serve the accepted version.
    fn unload_surplus(&mut self, model: &ModelName, spec: &ModelSpec) {
        let serving = self.ledger.count_serving_engines(self.configuration, model, &spec.version);
        let has_enough = serving >= (spec.replicas as usize).max(1);
        if !has_enough {
            return;
        }
        let kept: Vec<&Arc<str>> =
            std::iter::once(&spec.version).chain(spec.next.as_ref()).collect();
        let mut surplus = serving - (spec.replicas as usize).max(1);
        for engine in self.engines().cloned().collect::<Vec<_>>() {
            for version in self.serving_versions(&engine, model) {
                let is_outdated = !kept.contains(&&version);
                let is_excess = version == spec.version && surplus > 0;
                let is_unloaded =
                    (is_outdated || is_excess) && self.try_unload(&engine, model, &version);
                surplus -= usize::from(is_unloaded && is_excess);
            }
        }
    }

    /// Unloads the replicas of models that are no longer declared.
    fn unload_undeclared(&mut self) {
        for engine in self.engines().cloned().collect::<Vec<_>>() {
            let report = self.ledger.usable_report(&engine, false, self.fence);
            let undeclared: Vec<(ModelName, Arc<str>)> = report
                .iter()
                .flat_map(|report| &report.replicas)
                .filter(|replica| !self.configuration.models.contains_key(&replica.model))
                .map(|replica| (replica.model.clone(), replica.version.clone()))
                .collect();
            for (model, version) in undeclared {
                self.try_unload(&engine, &model, &version);
            }
        }
    }

    /// Returns the versions of a model that an engine serves.
    fn serving_versions(&self, engine: &EndpointId, model: &ModelName) -> Vec<Arc<str>> {
        let report = self.ledger.usable_report(engine, false, self.fence);
        report
            .iter()
            .flat_map(|report| &report.replicas)
            .filter(|replica| replica.model == *model && replica.phase == ModelPhase::Serving)
            .map(|replica| replica.version.clone())
            .collect()
    }

    /// Plans an unload if the engine may receive an order, and returns whether the
    /// unload was planned.
    fn try_unload(&mut self, engine: &EndpointId, model: &ModelName, version: &Arc<str>) -> bool {
        if self.compute_free_memory_mb(engine).is_none() {
            return false;
        }
        let (model, version) = (model.clone(), version.clone());
        self.push_order(engine.clone(), OrderAction::Unload { model, version });
        true
    }

    /// Adds an order to the plan.
    fn push_order(&mut self, engine: EndpointId, action: OrderAction) {
        self.ordered_engines.insert(engine.clone());
        self.orders.push(PlannedOrder { engine, action });
    }
}
