//! Restores models that no engine serves.
//!
//! Such a model comes before all demand. It gets an engine at once: an idle one that can
//! load it, an idle one that gives up another model for it, or else one that is still
//! busy, whose memory is reserved so that nothing else uses it in between.

use crate::decision::model_plan::{EngineSnapshot, ModelPlan, PlanChange};
use crate::gateway::declaration::ModelRule;
use crate::ids::ModelName;

/// Weight of the runs of a displaced model that an unload waits for.
const RUNS_WEIGHT: f64 = 4.0;

/// A model to restore.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelVacancy {
    /// Name of the model.
    pub model: ModelName,
    /// Whether requests for it have not been served.
    pub is_requested: bool,
    /// Whether engines hold it and do not serve it.
    pub is_failing: bool,
}

impl ModelPlan<'_> {
    /// Returns the next change that restores one of `vacancies`, which are in order of
    /// precedence, if one can begin now.
    pub(super) fn plan_restore(
        &self,
        vacancies: &[ModelVacancy],
        store_loads: u32,
    ) -> Option<PlanChange> {
        vacancies.iter().find_map(|vacancy| {
            let model = *self.models.get(&vacancy.model)?;
            if !vacancy.is_failing && self.serving_replicas(&vacancy.model) > 0 {
                return None;
            }
            if self.is_loading(&vacancy.model) {
                return None;
            }
            if self.pending.contains_key(&vacancy.model) {
                // The reserved engine may have other orders to finish for seconds.
                return self.plan_immediate_load(model, store_loads);
            }
            self.plan_replica(model, f64::INFINITY, store_loads)
                .or_else(|| self.plan_last_replica(vacancy, model, store_loads))
                .or_else(|| self.plan_reservation(vacancy, model))
        })
    }

    /// Returns whether an engine loads a model.
    fn is_loading(&self, model: &ModelName) -> bool {
        let mut sound = self.engines.iter().filter(|engine| !engine.is_suspect);
        sound.any(|engine| engine.loading.as_ref() == Some(model))
    }

    /// Plans a load of a model into the free memory of an idle engine.
    fn plan_immediate_load(&self, model: &ModelRule, store_loads: u32) -> Option<PlanChange> {
        let can_load = |engine: &&EngineSnapshot| {
            let has_copy = engine.copies.contains(&model.name);
            let has_room = engine.free_mb >= model.weights_mb && (has_copy || store_loads > 0);
            let is_usable = engine.is_idle && !engine.is_suspect && has_room;
            is_usable && !engine.models.contains(&model.name) && !self.is_kept_for_vacancy(engine)
        };
        let engine = self.engines.iter().filter(can_load).min_by(|a, b| {
            let order = |engine: &EngineSnapshot| {
                (!engine.copies.contains(&model.name), engine.is_limited())
            };
            let load = |engine| self.compute_engine_load(engine);
            order(a).cmp(&order(b)).then(load(a).total_cmp(&load(b)))
        })?;
        let from_store = !engine.copies.contains(&model.name);
        Some(PlanChange::Load { engine: engine.id.clone(), model: model.name.clone(), from_store })
    }

    /// Plans to displace the last replica of a model that nobody requests, if a requested
    /// model finds no other memory on any engine.
    fn plan_last_replica(
        &self,
        vacancy: &ModelVacancy,
        model: &ModelRule,
        store_loads: u32,
    ) -> Option<PlanChange> {
        if !vacancy.is_requested || self.find_room(model).is_some() {
            return None;
        }
        let engines = self.engines.iter().filter(|engine| {
            let may_load = store_loads > 0 || engine.copies.contains(&model.name);
            engine.is_idle && may_load && !self.is_kept_for_vacancy(engine)
        });
        let victims = engines.flat_map(|engine| {
            let idle = engine.models.iter().filter(|victim| self.idle_models.contains(*victim));
            idle.map(move |victim| (engine, victim))
        });
        let mut victims = victims.filter(|(engine, victim)| {
            !engine.models.contains(&model.name) && self.frees_room(engine, victim, model)
        });
        let (engine, victim) = victims.next()?;
        let (engine, victim) = (engine.id.clone(), victim.clone());
        Some(PlanChange::Drain { engine, model: victim, successor: model.name.clone() })
    }

    /// Plans to reserve an engine that cannot receive an order now for a requested model.
    fn plan_reservation(&self, vacancy: &ModelVacancy, model: &ModelRule) -> Option<PlanChange> {
        if !vacancy.is_requested {
            return None;
        }
        let engine = self.find_room(model)?;
        Some(PlanChange::Reserve { engine: engine.id.clone(), model: model.name.clone() })
    }

    /// Returns the least loaded engine that can hold a model once it is idle.
    fn find_room(&self, model: &ModelRule) -> Option<&EngineSnapshot> {
        let can_hold = |engine: &&EngineSnapshot| {
            let has_room = engine.free_mb >= model.weights_mb
                || engine.models.iter().any(|victim| {
                    self.is_expendable(victim) && self.frees_room(engine, victim, model)
                });
            // An engine that neither takes orders nor works may be out of reach.
            let is_reachable = engine.is_idle || engine.is_working;
            let holds =
                engine.models.contains(&model.name) || engine.loading.as_ref() == Some(&model.name);
            has_room && !holds && is_reachable && !self.is_kept_for_vacancy(engine)
        };
        self.engines.iter().filter(can_hold).min_by(|a, b| {
            let order = |engine: &EngineSnapshot| {
                let has_copy = engine.copies.contains(&model.name);
                (engine.is_suspect, !engine.is_idle, !has_copy)
            };
            let load = |engine| self.compute_engine_load(engine);
            order(a).cmp(&order(b)).then(load(a).total_cmp(&load(b)))
        })
    }

    /// Returns whether a model fits on an engine without one that it holds.
    fn frees_room(&self, engine: &EngineSnapshot, victim: &ModelName, model: &ModelRule) -> bool {
        let freed_mb = self.models.get(victim).map_or(0.0, |rule| rule.weights_mb);
        engine.free_mb + freed_mb >= model.weights_mb
    }

    /// Returns the cost of displacing a model on an engine for one that no engine serves,
    /// in slots. The unload waits until the runs of the displaced model end, so a model
    /// with many of them costs more.
    pub(super) fn compute_restore_cost(&self, engine: &EngineSnapshot, victim: &ModelName) -> f64 {
        self.compute_displacement_cost(engine, victim) + RUNS_WEIGHT * self.compute_need(victim)
    }

    /// Returns whether memory of an engine is reserved for a model that no engine serves.
    pub(super) fn is_kept_for_vacancy(&self, engine: &EngineSnapshot) -> bool {
        let reserved = engine.reserved.as_ref();
        reserved.is_some_and(|model| {
            self.serving_replicas(model) == 0 || self.failing_models.contains(model)
        })
    }

    /// Plans the displacement of another model on an idle engine whose reserved model
    /// does not fit yet.
    pub(super) fn plan_reserved_drain(&self, engine: &EngineSnapshot) -> Option<PlanChange> {
        let name = engine.reserved.as_ref().filter(|_| engine.is_idle)?;
        let model = self.models.get(name)?;
        if engine.free_mb >= model.weights_mb || !self.is_kept_for_vacancy(engine) {
            return None;
        }
        let victims = engine
            .models
            .iter()
            .filter(|victim| self.is_expendable(victim) && self.frees_room(engine, victim, model));
        let victim = victims.min_by(|a, b| {
            let cost = |victim| self.compute_restore_cost(engine, victim);
            cost(a).total_cmp(&cost(b))
        })?;
        let (engine, model) = (engine.id.clone(), victim.clone());
        Some(PlanChange::Drain { engine, model, successor: name.clone() })
    }
}
