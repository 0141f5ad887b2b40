//! Contents and ongoing changes of single engines, as the planner knows them.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::decision::fleet_planner::EngineNotice;
use crate::decision::model_plan::EngineSnapshot;
use crate::gateway::declaration::GenerationRule;
use crate::gateway::ports::{EngineOrder, OrderKind};
use crate::gateway::registry::{EngineEntry, EnginePhase};
use crate::ids::ModelName;

/// Time for which memory stays reserved for a model while the engine could receive the
/// order to load it.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(2_500);
/// Maximum time for which memory stays reserved on an engine that finishes other orders
/// first. It covers a load, and the drain and unload of another model.
const MAX_RESERVATION_TIME: Duration = Duration::from_secs(20);
/// Time for which a place is kept for the adapter for which another one is unloaded.
const KEPT_PLACE_TIME: Duration = Duration::from_millis(500);
/// Time after which an order counts as unanswered. Calls to engines end earlier.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum interval between two reports that an engine is asked for because it does not
/// serve what it holds.
const VERIFY_INTERVAL: Duration = Duration::from_secs(2);

/// Adapter on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct HeldAdapter {
    pub(super) model: ModelName,
    pub(super) adapter: Arc<str>,
    /// Time of the last use, or at which the ledger entry was created if that is
    /// later.
    pub(super) used_at: Duration,
    /// Time from which requests for the adapter may be sent.
    pub(super) ready_at: Duration,
}

/// Contents and ongoing changes of one engine.
///
/// Each change is stored with the time at which it began.
#[derive(Debug)]
pub(super) struct EngineLedger {
    pub(super) entry: Arc<EngineEntry>,
    /// Whether the engine has said in an answer that it leaves.
    pub(super) is_leaving: bool,
    /// Number of orders that the engine has accepted.
    pub(super) order_count: u64,
    pub(super) models: BTreeSet<ModelName>,
    pub(super) adapters: Vec<HeldAdapter>,
    pub(super) loading: Option<(ModelName, Duration)>,
    pub(super) draining: Option<(ModelName, Duration)>,
    pub(super) unloading: Option<(ModelName, Duration)>,
    /// Model for which another one is drained, and the time at which the memory
    /// was reserved for it.
    pub(super) reserved: Option<(ModelName, Duration)>,
    /// Time until which the engine was last seen to work on other orders while its memory
    /// was reserved.
    reserved_busy_until: Duration,
    /// Adapter for which another one is unloaded, with the time of the order.
    kept_place: Option<(ModelName, Arc<str>, Duration)>,
    /// Time of the last report request because the engine does not serve what it holds.
    pub(super) verified_at: Option<Duration>,
    /// Order that awaits its answer: the number of orders that it expects, and the time
    /// at which it was planned.
    open_order: Option<(u64, Duration)>,
    /// Whether a complete report has confirmed the ledger. Orders are sent only
    /// then.
    pub(super) is_confirmed: bool,
    /// Time of the last report request, or of the last answer that has to be
    /// confirmed by a later report.
    pub(super) requested_at: Option<Duration>,
}

impl EngineLedger {
    pub(super) fn new(entry: Arc<EngineEntry>) -> EngineLedger {
        let mut ledger = EngineLedger {
            is_leaving: false,
            order_count: 0,
            models: BTreeSet::new(),
            adapters: Vec::new(),
            loading: None,
            draining: None,
            unloading: None,
            reserved: None,
            reserved_busy_until: Duration::ZERO,
            kept_place: None,
            verified_at: None,
            open_order: None,
            // The registry entry does not contain the number of orders that
            // the engine has accepted.
            is_confirmed: false,
            requested_at: None,
            entry: entry.clone(),
        };
        ledger.models = entry.models.iter().map(|held| held.name.clone()).collect();
        ledger.add_listed_adapters();
        ledger
    }

    /// Adds adapters of a model that are not yet in the ledger.
    pub(super) fn add_adapters(&mut self, now: Duration, model: &ModelName, adapters: &[Arc<str>]) {
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

    /// Adds the adapters of the registry entry, which are the only known ones until a
    /// report confirms the ledger.
    fn add_listed_adapters(&mut self) {
        for held in &self.entry.clone().models {
            self.add_adapters(Duration::ZERO, &held.name, &held.adapters);
        }
    }

    /// Updates the registry entry, and resets the ledger if the engine has
    /// restarted.
    ///
    /// `is_restored` is whether the entry may be older than the known one, because the
    /// store has begun a new era.
    pub(super) fn update_entry(&mut self, entry: &Arc<EngineEntry>, is_restored: bool) {
        if entry.started_ms != self.entry.started_ms {
            *self = EngineLedger::new(entry.clone());
            return;
        }
        let previous = std::mem::replace(&mut self.entry, entry.clone());
        if !self.is_confirmed {
            self.add_listed_adapters();
        }
        // The entry may be older than the last order, so it can confirm a
        // load but never removes a model.
        let lists = |entry: &EngineEntry, model: &ModelName| {
            entry.models.iter().any(|held| held.name == *model)
        };
        let is_loaded = |model: &ModelName| lists(entry, model) && !lists(&previous, model);
        match self.loading.take_if(|(model, _)| is_loaded(model)) {
            // An older entry may list the model from before its unload. A report tells.
            Some(loading) if is_restored => {
                self.loading = Some(loading);
                self.is_confirmed = false;
            }
            Some((model, _)) => {
                self.models.insert(model);
            }
            None => {}
        }
    }

    /// Returns all models that the engine may hold.
    pub(super) fn possible_models(&self) -> BTreeSet<&ModelName> {
        let listed = self.entry.models.iter().map(|held| &held.name);
        let loading = self.loading.iter().map(|(model, _)| model);
        self.models.iter().chain(listed).chain(loading).collect()
    }

    /// Returns whether the engine accepts requests, has not received notice of its
    /// termination and has not said that it leaves.
    pub(super) fn is_ready(&self) -> bool {
        let is_staying = self.entry.leaves_in.is_none() && !self.is_leaving;
        self.entry.phase == EnginePhase::Ready && is_staying
    }

    /// Returns whether a change of placement can begin on the engine.
    pub(super) fn is_idle(&self) -> bool {
        let has_change =
            self.loading.is_some() || self.draining.is_some() || self.unloading.is_some();
        self.is_ready() && self.is_confirmed && !self.has_open_order() && !has_change
    }

    /// Returns whether the engine carries out a change or has an order to answer.
    pub(super) fn is_working(&self) -> bool {
        let has_change =
            self.loading.is_some() || self.draining.is_some() || self.unloading.is_some();
        has_change || self.has_open_order()
    }

    /// Returns whether the engine can receive an order for an adapter.
    pub(super) fn can_take_adapter_order(&self) -> bool {
        let has_order = self.loading.is_some() || self.unloading.is_some();
        self.is_confirmed && !self.has_open_order() && !has_order
    }

    /// Returns the state of the engine for planning.
    pub(super) fn snapshot(&self, memory: &MemoryRule<'_>, running: f64) -> EngineSnapshot {
        let possible = self.possible_models();
        let used_mb: f64 = possible.iter().map(|model| memory.model_size_mb(model)).sum();
        let loading = self.loading.as_ref().map(|(model, _)| model);
        let is_serving =
            |model: &&ModelName| Some(*model) != loading && !self.is_being_removed(model);
        let models = possible.into_iter().filter(is_serving);
        let copies = self.entry.copies_in_memory.iter().chain(&self.entry.copies_on_disk);
        EngineSnapshot {
            id: self.entry.id.clone(),
            models: models.cloned().collect(),
            loading: loading.cloned(),
            reserved: self.reserved.as_ref().map(|(model, _)| model.clone()),
            free_mb: memory.models_mb - used_mb,
            is_idle: self.is_idle(),
            is_working: self.is_working(),
            copies: copies.cloned().collect(),
            slots: self.entry.slots,
            running,
            limited_share: None,
            is_suspect: false,
        }
    }

    /// Returns whether an order awaits its answer.
    pub(super) fn has_open_order(&self) -> bool {
        self.open_order.is_some()
    }

    /// Returns whether an order awaits its answer that was planned before `now`.
    pub(super) fn has_earlier_order(&self, now: Duration) -> bool {
        self.open_order.is_some_and(|(_, at)| at < now)
    }

    /// Closes the order that expects `expected_count` orders, and returns whether it was
    /// open.
    pub(super) fn close_order(&mut self, expected_count: u64) -> bool {
        self.open_order.take_if(|(expected, _)| *expected == expected_count).is_some()
    }

    /// Closes an order that has had no answer for [`ORDER_TIMEOUT`], and returns whether
    /// there was one. Only a report tells whether the engine has accepted it.
    pub(super) fn expire_order(&mut self, now: Duration) -> bool {
        let is_expired = |at: Duration| now.saturating_sub(at) > ORDER_TIMEOUT;
        let is_closed = self.open_order.take_if(|(_, at)| is_expired(*at)).is_some();
        if is_closed {
            self.mark_unconfirmed(now);
        }
        is_closed
    }

    /// Opens an order. Its expected count is the number of orders that the engine
    /// has accepted according to the ledger.
    pub(super) fn open_order(
        &mut self,
        now: Duration,
        token: u64,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<Arc<str>>,
    ) -> EngineOrder {
        self.open_order = Some((self.order_count, now));
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

impl EngineLedger {
    /// Returns the placement information for hosts.
    pub(super) fn build_notice(&self) -> EngineNotice {
        let removals = [&self.draining, &self.unloading].into_iter().flatten();
        let mut adapters: Vec<(ModelName, Vec<Arc<str>>)> = Vec::new();
        for held in &self.adapters {
            match adapters.iter_mut().find(|(model, _)| *model == held.model) {
                Some((_, names)) => names.push(held.adapter.clone()),
                None => adapters.push((held.model.clone(), vec![held.adapter.clone()])),
            }
        }
        // The order of the ledger changes with every report.
        adapters.iter_mut().for_each(|(_, names)| names.sort());
        adapters.sort();
        EngineNotice { closing: removals.map(|(model, _)| model.clone()).collect(), adapters }
    }

    /// Returns whether a model is draining or unloading.
    pub(super) fn is_being_removed(&self, model: &ModelName) -> bool {
        [&self.draining, &self.unloading].into_iter().flatten().any(|(name, _)| name == model)
    }

    /// Removes an adapter of a model from the ledger.
    pub(super) fn remove_adapter(&mut self, model: &ModelName, adapter: Option<&Arc<str>>) {
        self.adapters.retain(|held| held.model != *model || Some(&held.adapter) != adapter);
    }

    /// Keeps the place that becomes free for an adapter.
    pub(super) fn keep_place(&mut self, now: Duration, model: &ModelName, adapter: &Arc<str>) {
        self.kept_place = Some((model.clone(), adapter.clone(), now));
    }

    /// Returns the number of places that are kept for another adapter.
    pub(super) fn kept_places(
        &self,
        now: Duration,
        model: &ModelName,
        adapter: &Arc<str>,
    ) -> usize {
        let is_for_other = self.kept_place.as_ref().is_some_and(|(name, kept, at)| {
            let is_other = name != model || kept != adapter;
            is_other && now.saturating_sub(*at) < KEPT_PLACE_TIME
        });
        usize::from(is_for_other)
    }

    /// Reserves the memory for a model.
    pub(super) fn reserve(&mut self, now: Duration, model: ModelName) {
        if self.reserved.as_ref().is_none_or(|(reserved, _)| *reserved != model) {
            self.reserved = Some((model, now));
        }
        self.reserved_busy_until = now;
    }

    /// Ends the reservation for a model, and the drain of another one for it if that has
    /// not begun to unload.
    pub(super) fn release(&mut self, model: &ModelName) {
        if self.reserved.take_if(|(reserved, _)| reserved == model).is_some() {
            self.draining = None;
        }
    }

    /// Ends a reservation that has not been used for [`RESERVATION_LIFETIME`].
    ///
    /// The time for which the engine works on other orders does not count, up to
    /// [`MAX_RESERVATION_TIME`], for a model that is not among the `served` ones. The
    /// demand for a served model may change meanwhile.
    pub(super) fn expire_reservation(&mut self, now: Duration, served: &HashSet<ModelName>) {
        let Some((model, since)) = &self.reserved else { return };
        let is_waiting = self.is_working() && !served.contains(model);
        if is_waiting && now.saturating_sub(*since) < MAX_RESERVATION_TIME {
            self.reserved_busy_until = now;
        }
        let is_unused = now.saturating_sub(self.reserved_busy_until) > RESERVATION_LIFETIME;
        if is_unused || !self.is_ready() {
            self.reserved = None;
        }
    }

    /// Requests a report that confirms the ledger again, at most once in
    /// [`VERIFY_INTERVAL`].
    pub(super) fn verify(&mut self, now: Duration) {
        let is_due = self.verified_at.is_none_or(|at| now.saturating_sub(at) >= VERIFY_INTERVAL);
        if is_due && self.is_idle() {
            self.verified_at = Some(now);
            self.is_confirmed = false;
        }
    }

    /// Marks the ledger as unconfirmed until the next complete report.
    pub(super) fn mark_unconfirmed(&mut self, now: Duration) {
        self.is_confirmed = false;
        // Reports lag behind, so one that is requested now may predate the order.
        // Setting the time delays the next request.
        self.requested_at = Some(now);
    }
}

/// Memory of the engines of a service, by its declaration.
pub(super) struct MemoryRule<'a> {
    rule: &'a GenerationRule,
    sizes_mb: HashMap<&'a ModelName, f64>,
    /// Memory of one engine for models, beside its adapters.
    models_mb: f64,
}

impl<'a> MemoryRule<'a> {
    /// Indexes the declaration of a service.
    pub(super) fn new(rule: &'a GenerationRule) -> MemoryRule<'a> {
        let adapter_mb = rule.models.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
        MemoryRule {
            rule,
            sizes_mb: rule.models.iter().map(|model| (&model.name, model.weights_mb)).collect(),
            models_mb: rule.weights_mb - adapter_mb * f64::from(rule.adapter_slots),
        }
    }

    /// Returns the size of a model. One that is not declared counts as the whole memory.
    fn model_size_mb(&self, model: &ModelName) -> f64 {
        self.sizes_mb.get(model).copied().unwrap_or(self.rule.weights_mb)
    }
}
