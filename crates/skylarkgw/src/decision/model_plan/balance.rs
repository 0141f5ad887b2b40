//! Balances the load between engines.
//!
//! All requests on an engine share its batch: each additional request slows down
//! the tokens of the others, and its prefill pauses them. A model whose
//! replicas are all on busy engines therefore has high latency long before its
//! slots are used up, even while other engines are idle. Balancing removes such
//! hot spots, which arise when a few models get most of the requests.

use crate::decision::model_plan::{EngineSnapshot, ModelPlan, PlanChange, STORE_LOAD_FACTOR};
use crate::ids::ModelName;

/// Share of the slots of an engine that may be in use before streams begin to
/// pause.
const BUSY_SHARE: f64 = 0.2;
/// Smallest difference in running requests between two engines that is balanced,
/// as a share of the slots of an engine.
const MIN_GAP_SHARE: f64 = 0.12;
/// Smallest work that must move to a new replica for it to be loaded, as a share of
/// the slots of an engine.
const MIN_MOVED_SHARE: f64 = 0.04;

/// Change with its gain, which is the work that moves times the difference in
/// running requests, in slots squared.
struct BalanceStep {
    gain: f64,
    change: PlanChange,
}

impl ModelPlan<'_> {
    /// Returns the load or displacement with the highest gain over all models.
    pub(super) fn plan_balance_change(&self, store_loads: u32) -> Option<PlanChange> {
        let steps = self.models.keys().filter_map(|model| {
            let step = self.find_best_step(model, store_loads)?;
            Some((step, *model))
        });
        let best = steps.max_by(|a, b| a.0.gain.total_cmp(&b.0.gain).then(b.1.cmp(a.1)));
        best.map(|(step, _)| step.change)
    }

    /// Returns the step with the highest gain that adds a replica of a model, if
    /// all of its replicas are on busy engines and no further one is pending.
    fn find_best_step(&self, model: &ModelName, store_loads: u32) -> Option<BalanceStep> {
        if self.pending.contains_key(model) {
            return None;
        }
        // An engine that takes fewer requests is idle without being able to take more.
        let holders = self.holders.get(model)?.iter().filter(|engine| !engine.is_limited());
        let lowest_running = holders.map(|engine| engine.running).reduce(f64::min)?;
        let replica_work = self.demand(model) / f64::from(self.serving_replicas(model) + 1);
        if lowest_running < self.slots * BUSY_SHARE || replica_work < self.slots * MIN_MOVED_SHARE {
            return None;
        }
        let targets = self.idle.iter().copied().filter(|engine| {
            let is_sound = !engine.is_suspect && !engine.is_limited();
            let is_available = engine.reserved.is_none() && is_sound;
            is_available && !engine.models.contains(model) && engine.running < lowest_running
        });
        let steps = targets.filter_map(|engine| {
            let from_store = !engine.copies.contains(model);
            if from_store && store_loads == 0 {
                return None;
            }
            self.plan_step_onto(model, lowest_running, engine, from_store)
        });
        steps.max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    /// Returns the step that adds a replica of a model on an engine, if enough work
    /// moves and its gain exceeds the loss from a displaced replica.
    ///
    /// `lowest_running` is the lowest number of running requests of the engines
    /// that hold the model.
    fn plan_step_onto(
        &self,
        model: &ModelName,
        lowest_running: f64,
        engine: &EngineSnapshot,
        from_store: bool,
    ) -> Option<BalanceStep> {
        let size_mb = self.models.get(model)?.weights_mb;
        let replica_work = self.demand(model) / f64::from(self.serving_replicas(model) + 1);
        let running_gap = lowest_running - engine.running;
        let moved_work = replica_work.min(running_gap / 2.0);
        if running_gap < self.slots * MIN_GAP_SHARE || moved_work < self.slots * MIN_MOVED_SHARE {
            return None;
        }
        let gain = if from_store {
            moved_work * running_gap / STORE_LOAD_FACTOR
        } else {
            moved_work * running_gap
        };
        if engine.free_mb >= size_mb {
            let (engine, model) = (engine.id.clone(), model.clone());
            return Some(BalanceStep {
                gain,
                change: PlanChange::Load { engine, model, from_store },
            });
        }
        let victims = engine.models.iter().filter(|victim| {
            let freed_mb = self.models.get(victim).map_or(0.0, |rule| rule.weights_mb);
            self.serving_replicas(victim) > 1 && engine.free_mb + freed_mb >= size_mb
        });
        let (gain, victim) = victims
            .map(|victim| (gain - self.compute_displacement_loss(victim, engine), victim))
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        let min_gain = self.slots * self.slots * MIN_GAP_SHARE * MIN_MOVED_SHARE;
        let change = PlanChange::Drain {
            engine: engine.id.clone(),
            model: victim.clone(),
            successor: model.clone(),
        };
        (gain > min_gain).then_some(BalanceStep { gain, change })
    }

    /// Returns the loss when the work of a displaced replica moves to the least
    /// busy other engine that holds the model, in slots squared.
    ///
    /// The loss is infinite if no other engine holds the model and there is demand
    /// for it.
    fn compute_displacement_loss(&self, victim: &ModelName, engine: &EngineSnapshot) -> f64 {
        let holders = self.holders.get(victim).into_iter().flatten();
        let others = holders.filter(|other| other.id != engine.id);
        let lowest_running =
            others.map(|other| other.running).reduce(f64::min).unwrap_or(f64::INFINITY);
        let work = self.compute_need(victim);
        if work > 0.0 { work * (lowest_running + work - engine.running).max(0.0) } else { 0.0 }
    }
}
