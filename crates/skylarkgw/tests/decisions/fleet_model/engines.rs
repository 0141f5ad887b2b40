//! The engines of a simulated fleet.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::gateway::declaration::GenerationRule;
use skylarkgw::gateway::ports::{EngineOrder, EngineReport, OrderAnswer, OrderKind};
use skylarkgw::gateway::registry::{EngineEntry, EnginePhase, HeldModel};
use skylarkgw::ids::ModelName;

use crate::samples::engine;

/// Time for which runs of a model delay its unload.
const UNLOAD_TIME: Duration = Duration::from_millis(900);
const COPY_LOAD_TIME: Duration = Duration::from_secs(1);
/// Number of adapters that an engine can hold.
pub(super) const ADAPTER_SLOTS: u32 = 8;
/// Size of an adapter, in megabytes.
pub(super) const ADAPTER_MB: f64 = 60.0;

/// An engine as it really is.
#[derive(Clone, Debug)]
pub(super) struct SimulatedEngine {
    pub(super) entry: EngineEntry,
    pub(super) models: BTreeSet<ModelName>,
    pub(super) adapters: Vec<(ModelName, Arc<str>)>,
    pub(super) order_count: u64,
    pub(super) in_progress: Option<(EngineOrder, Duration)>,
    pub(super) late_orders: Vec<(Duration, EngineOrder)>,
    pub(super) ended_at: Option<Duration>,
    pub(super) lies_until: Duration,
    pub(super) leaves_at: Option<Duration>,
}

impl SimulatedEngine {
    pub(super) fn new(entry: EngineEntry) -> SimulatedEngine {
        SimulatedEngine {
            models: entry.models.iter().map(|held| held.name.clone()).collect(),
            adapters: Vec::new(),
            order_count: 0,
            in_progress: None,
            late_orders: Vec::new(),
            ended_at: None,
            lies_until: Duration::ZERO,
            leaves_at: None,
            entry,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.ended_at.is_none()
    }

    /// Ends the order in progress if its time has come.
    pub(super) fn finish_order(&mut self, now: Duration) {
        let Some((order, _)) = self.in_progress.take_if(|(_, at)| *at <= now) else { return };
        match order.kind {
            OrderKind::Load => {
                self.models.insert(order.model.clone());
                if !self.entry.copies_on_disk.contains(&order.model) {
                    self.entry.copies_on_disk.push(order.model);
                }
            }
            OrderKind::Unload => {
                self.models.remove(&order.model);
                self.adapters.retain(|(model, _)| *model != order.model);
            }
        }
    }

    pub(super) fn handle_order(
        &mut self,
        now: Duration,
        order: &EngineOrder,
        rule: &GenerationRule,
    ) -> OrderAnswer {
        if !self.is_running() {
            return OrderAnswer::Undelivered;
        }
        if self.in_progress.is_some() || order.expected_count != self.order_count {
            return OrderAnswer::Conflict;
        }
        self.order_count += 1;
        match (order.kind, &order.adapter) {
            (OrderKind::Load, Some(adapter)) => {
                self.adapters.push((order.model.clone(), adapter.clone()));
                assert!(self.adapters.len() <= rule.adapter_slots as usize, "adapter slots");
                OrderAnswer::Accepted
            }
            (OrderKind::Unload, Some(adapter)) => {
                self.adapters.retain(|held| *held != (order.model.clone(), adapter.clone()));
                OrderAnswer::Holds
            }
            (OrderKind::Load, None) => {
                let has_copy = self.entry.copies_on_disk.contains(&order.model);
                let model = rule.models.iter().find(|model| model.name == order.model);
                let from_store = model.map_or(Duration::ZERO, |model| model.store_load);
                let time = if has_copy { COPY_LOAD_TIME } else { from_store };
                self.in_progress = Some((order.clone(), now + time));
                OrderAnswer::Accepted
            }
            (OrderKind::Unload, None) => {
                self.in_progress = Some((order.clone(), now + UNLOAD_TIME));
                OrderAnswer::Accepted
            }
        }
    }

    /// Returns whether an accepted order loads a model from the weight store.
    pub(super) fn loads_from_store(&self, order: &EngineOrder) -> bool {
        let has_copy = self.entry.copies_on_disk.contains(&order.model);
        order.kind == OrderKind::Load && order.adapter.is_none() && !has_copy
    }

    pub(super) fn report(&self) -> EngineReport {
        let adapters = |model: &ModelName| {
            let held = self.adapters.iter().filter(|(name, _)| name == model);
            held.map(|(_, adapter)| adapter.clone()).collect()
        };
        EngineReport {
            models: self.models.iter().map(|model| (model.clone(), adapters(model))).collect(),
            order_count: self.order_count,
            is_busy: self.in_progress.is_some(),
            pending: Vec::new(),
            started_ms: self.entry.started_ms,
        }
    }

    pub(super) fn list(&self, now: Duration) -> EngineEntry {
        let models =
            self.models.iter().map(|name| HeldModel { name: name.clone(), adapters: Vec::new() });
        let leaves_in = self.leaves_at.map(|at| at.saturating_sub(now));
        let phase = if leaves_in.is_some() { EnginePhase::Draining } else { EnginePhase::Ready };
        EngineEntry { models: models.collect(), leaves_in, phase, ..self.entry.clone() }
    }
}

/// Returns engines that hold each model once, and busy ones up to their memory.
pub(super) fn place_initially(rule: &GenerationRule, count: usize) -> Vec<SimulatedEngine> {
    let mut free_mb = vec![rule.weights_mb - f64::from(ADAPTER_SLOTS) * ADAPTER_MB; count];
    let mut models: Vec<Vec<ModelName>> = vec![Vec::new(); count];
    for round in 0..2 {
        for (number, model) in rule.models.iter().enumerate() {
            let start = number * 7 + round * 3;
            let fits = |index: &usize| {
                free_mb[*index] >= model.weights_mb && !models[*index].contains(&model.name)
            };
            let Some(index) = (start..start + count).map(|index| index % count).find(fits) else {
                continue;
            };
            free_mb[index] -= model.weights_mb;
            models[index].push(model.name.clone());
        }
    }
    let engines = models.into_iter().enumerate().map(|(number, models)| {
        let held = models.iter();
        let entry = EngineEntry {
            models: held
                .map(|name| HeldModel { name: name.clone(), adapters: Vec::new() })
                .collect(),
            copies_on_disk: models.clone(),
            ..(*engine(&format!("i-{number:04}"), &[])).clone()
        };
        SimulatedEngine::new(entry)
    });
    engines.collect()
}
