//! Evens out how busy engines are.
//!
//! All requests of an engine share its batch: each one more slows the tokens of
//! the others, and a prompt that is read stops them. A model whose replicas all
//! stand on busy engines therefore serves late long before its slots run out,
//! beside engines with nothing to do. This answers the hot spot that a skewed
//! popularity of models makes.

use crate::decision::model_plan::{ModelPlan, PlanChange, PlannedEngine, STORE_LOAD_FACTOR};
use crate::ids::ModelName;

/// Part of an engine's slots that may be busy before streams begin to pause.
const CALM_SHARE: f64 = 0.2;
/// Least difference between two engines that is evened out, in the same parts.
const GAP_SHARE: f64 = 0.12;
/// Least work that moves for a load, in the same parts.
const MOVED_SHARE: f64 = 0.04;

/// A change and how much it evens out, in slots squared.
struct BalanceStep {
    gain: f64,
    change: PlanChange,
}

impl ModelPlan<'_> {
    /// Returns the load or the exchange of models that evens out most.
    pub(super) fn balance(&self, store_loads: u32) -> Option<PlanChange> {
        let steps = self.models.keys().filter_map(|model| {
            let step = self.best_step(model, store_loads)?;
            Some((step, *model))
        });
        let best = steps.max_by(|a, b| a.0.gain.total_cmp(&b.0.gain).then(b.1.cmp(a.1)));
        best.map(|(step, _)| step.change)
    }

    fn best_step(&self, model: &ModelName, store_loads: u32) -> Option<BalanceStep> {
        if self.coming.contains_key(model) {
            return None;
        }
        let holders = self.engines.iter().filter(|engine| engine.models.contains(model));
        let calmest = holders.map(|engine| engine.running).reduce(f64::min)?;
        if calmest < self.slots * CALM_SHARE {
            return None;
        }
        let targets = self.engines.iter().filter(|engine| {
            let is_open = engine.is_idle && engine.reserved.is_none();
            is_open && !engine.models.contains(model) && engine.running < calmest
        });
        let steps = targets.filter_map(|engine| {
            let from_store = !engine.copies.contains(model);
            if from_store && store_loads == 0 {
                return None;
            }
            self.step_onto(model, calmest, engine, from_store)
        });
        steps.max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    fn step_onto(
        &self,
        model: &ModelName,
        calmest: f64,
        engine: &PlannedEngine,
        from_store: bool,
    ) -> Option<BalanceStep> {
        let size = self.models.get(model)?.weights_mb;
        let part = self.demand(model) / f64::from(self.ready(model) + 1);
        let gap = calmest - engine.running;
        let moved = part.min(gap / 2.0);
        if gap < self.slots * GAP_SHARE || moved < self.slots * MOVED_SHARE {
            return None;
        }
        let gain = if from_store { moved * gap / STORE_LOAD_FACTOR } else { moved * gap };
        if engine.free_mb >= size {
            let (engine, model) = (engine.id.clone(), model.clone());
            return Some(BalanceStep {
                gain,
                change: PlanChange::Load { engine, model, from_store },
            });
        }
        let victims = engine.models.iter().filter(|victim| {
            let frees = self.models.get(victim).map_or(0.0, |rule| rule.weights_mb);
            self.ready(victim) > 1 && engine.free_mb + frees >= size
        });
        let (gain, victim) = victims
            .map(|victim| (gain - self.loss(victim, engine), victim))
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        let least = self.slots * self.slots * GAP_SHARE * MOVED_SHARE;
        let change = PlanChange::Close {
            engine: engine.id.clone(),
            model: victim.clone(),
            successor: model.clone(),
        };
        (gain > least).then_some(BalanceStep { gain, change })
    }

    /// Returns what it costs that a model's work leaves an engine for the
    /// calmest of its other replicas.
    fn loss(&self, victim: &ModelName, engine: &PlannedEngine) -> f64 {
        let others = self
            .engines
            .iter()
            .filter(|other| other.id != engine.id && other.models.contains(victim));
        let calmest = others.map(|other| other.running).reduce(f64::min).unwrap_or(f64::INFINITY);
        let work = self.need(victim);
        if work > 0.0 { work * (calmest + work - engine.running).max(0.0) } else { 0.0 }
    }
}
