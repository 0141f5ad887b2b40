//! Plans the orders that bring the engines to the accepted configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::configuration::{EndpointKind, FleetConfiguration, ModelSpec};
use crate::decision::fencing::FencingToken;
use crate::decision::placement::{EngineLedger, ModelPhase, OrderAction};
use crate::ids::{EndpointId, ModelName};

/// An order that the plan wants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// The engine.
    pub engine: EndpointId,
    /// What to do.
    pub action: OrderAction,
}

struct PlanDraft<'a> {
    configuration: &'a FleetConfiguration,
    ledger: &'a EngineLedger,
    fence: FencingToken,
    orders: Vec<PlannedOrder>,
    taken: BTreeSet<EndpointId>,
    loads: usize,
}

/// Plans at most one order for each engine.
///
/// Loads come before unloads, and an unload leaves at least one replica that
/// certainly serves the accepted version, or the last one that serves at all.
pub fn plan_orders(
    configuration: &FleetConfiguration,
    ledger: &EngineLedger,
    fence: FencingToken,
) -> Vec<PlannedOrder> {
    let mut draft = PlanDraft {
        configuration,
        ledger,
        fence,
        orders: Vec::new(),
        taken: BTreeSet::new(),
        loads: ledger.loads_under_way(),
    };
    let mut models: Vec<(&ModelName, &ModelSpec)> = configuration.models.iter().collect();
    // The model with the fewest replicas goes first: one without any is not
    // reachable.
    models.sort_by_key(|(model, spec)| ledger.serving(model, &spec.version).len());
    for (model, spec) in &models {
        let versions = std::iter::once(&spec.version).chain(spec.next.as_ref());
        versions.for_each(|version| draft.load_missing(model, spec, version));
    }
    models.iter().for_each(|(model, spec)| draft.unload_surplus(model, spec));
    draft.unload_undeclared();
    draft.orders
}

impl PlanDraft<'_> {
    fn engines(&self) -> impl Iterator<Item = &EndpointId> {
        let is_engine = |(_, spec): &(&EndpointId, &crate::configuration::EndpointSpec)| {
            spec.kind == EndpointKind::Engine
        };
        self.configuration.endpoints.iter().filter(is_engine).map(|(engine, _)| engine)
    }

    fn room(&self, engine: &EndpointId) -> Option<u64> {
        let spec = self.configuration.endpoints.get(engine)?;
        let report = self.ledger.usable(engine, spec.checks_fence, self.fence)?;
        let free = report.memory_mb.checked_sub(self.ledger.worst_memory(engine))?;
        let open = !spec.leaving && !self.taken.contains(engine) && !self.ledger.has_order(engine);
        open.then_some(free)
    }

    fn load_missing(&mut self, model: &ModelName, spec: &ModelSpec, version: &Arc<str>) {
        let holds = |engine: &&EndpointId| self.ledger.may_hold(engine, model, version);
        let held = self.engines().filter(holds).count();
        for _ in held..spec.replicas as usize {
            if self.loads >= self.configuration.weight_store.in_flight as usize {
                return;
            }
            let fits = self
                .engines()
                .filter(|engine| !self.ledger.may_hold(engine, model, version))
                .filter_map(|engine| self.room(engine).map(|room| (room, engine)))
                .filter(|(room, _)| *room >= spec.memory_mb)
                .max();
            let Some((_, engine)) = fits else { return };
            let action = OrderAction::Load {
                model: model.clone(),
                version: version.clone(),
                memory_mb: spec.memory_mb,
            };
            let engine = engine.clone();
            self.loads += 1;
            self.order(engine, action);
        }
    }

    /// Unloads other versions once the accepted one serves, and replicas
    /// beyond the declared number.
    fn unload_surplus(&mut self, model: &ModelName, spec: &ModelSpec) {
        let serving = self.ledger.serving(model, &spec.version).len();
        let enough = serving >= (spec.replicas as usize).max(1);
        if !enough {
            return;
        }
        let kept: Vec<&Arc<str>> =
            std::iter::once(&spec.version).chain(spec.next.as_ref()).collect();
        let mut surplus = serving - (spec.replicas as usize).max(1);
        for engine in self.engines().cloned().collect::<Vec<_>>() {
            for version in self.versions(&engine, model) {
                let old = !kept.contains(&&version);
                let beyond = version == spec.version && surplus > 0;
                let unloads = (old || beyond) && self.unload(&engine, model, &version);
                surplus -= usize::from(unloads && beyond);
            }
        }
    }

    /// Unloads models that are not declared any more.
    fn unload_undeclared(&mut self) {
        for engine in self.engines().cloned().collect::<Vec<_>>() {
            let report = self.ledger.usable(&engine, false, self.fence);
            let undeclared: Vec<(ModelName, Arc<str>)> = report
                .iter()
                .flat_map(|report| &report.replicas)
                .filter(|replica| !self.configuration.models.contains_key(&replica.model))
                .map(|replica| (replica.model.clone(), replica.version.clone()))
                .collect();
            for (model, version) in undeclared {
                self.unload(&engine, &model, &version);
            }
        }
    }

    fn versions(&self, engine: &EndpointId, model: &ModelName) -> Vec<Arc<str>> {
        let report = self.ledger.usable(engine, false, self.fence);
        report
            .iter()
            .flat_map(|report| &report.replicas)
            .filter(|replica| replica.model == *model && replica.phase == ModelPhase::Serving)
            .map(|replica| replica.version.clone())
            .collect()
    }

    fn unload(&mut self, engine: &EndpointId, model: &ModelName, version: &Arc<str>) -> bool {
        if self.room(engine).is_none() {
            return false;
        }
        let (model, version) = (model.clone(), version.clone());
        self.order(engine.clone(), OrderAction::Unload { model, version });
        true
    }

    fn order(&mut self, engine: EndpointId, action: OrderAction) {
        self.taken.insert(engine.clone());
        self.orders.push(PlannedOrder { engine, action });
    }
}
