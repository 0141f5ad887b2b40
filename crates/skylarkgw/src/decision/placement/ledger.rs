//! Tracks the replicas and pending orders of engines and accounts for their memory
//! in the worst case.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::FleetConfiguration;
use crate::decision::fencing::FencingToken;
use crate::decision::placement::{EngineOrder, ORDER_LIFETIME, OrderAction, OrderNumber};
use crate::ids::{EndpointId, ModelName};

/// Maximum age at which an engine's last report is still relied on.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Interval at which an unconfirmed fencing order is sent again.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Phase in the lifecycle of a replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ModelPhase {
    /// The replica is being loaded.
    Loading,
    /// The replica serves requests.
    Serving,
    /// The replica is being unloaded.
    Unloading,
}

/// Replica of a model as its engine reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaReport {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: Arc<str>,
    /// Memory that the replica takes, in mebibytes.
    pub memory_mb: u64,
    /// Phase of the replica.
    pub phase: ModelPhase,
}

/// Part of an engine's load report that concerns placement: its memory, its replicas
/// and the last order that it accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineReport {
    /// Total memory for models, in mebibytes.
    pub memory_mb: u64,
    /// Replicas in memory.
    pub replicas: Vec<ReplicaReport>,
    /// Highest fencing token that the engine has received, or zero if it ignores
    /// them.
    pub fence: FencingToken,
    /// Fencing token and sequence number of the order that the engine accepted
    /// last.
    pub last_order: Option<(FencingToken, OrderNumber)>,
}

/// Order that may still arrive or be applied.
#[derive(Debug)]
struct PendingOrder {
    order: EngineOrder,
    sent_at: Duration,
}

/// Last report and pending order of one engine.
#[derive(Debug, Default)]
struct LedgerEntry {
    report: Option<EngineReport>,
    /// Time at which the last report was requested.
    requested_at: Duration,
    pending: Option<PendingOrder>,
    fence_sent_at: Option<Duration>,
}

/// Reports and pending orders of all engines, as the lease holder tracks them.
#[derive(Debug, Default)]
pub struct FleetLedger {
    engines: BTreeMap<EndpointId, LedgerEntry>,
    reset_at: Duration,
    now: Duration,
}

impl FleetLedger {
    /// Records a report that was requested at `requested_at`.
    ///
    /// Reports that were requested before the last reset or before the last recorded
    /// report are ignored. A report that was requested before the pending order was
    /// sent does not confirm that order.
    pub fn record_report(
        &mut self,
        requested_at: Duration,
        engine: &EndpointId,
        report: &EngineReport,
    ) {
        if requested_at < self.reset_at {
            return;
        }
        let entry = self.engines.entry(engine.clone()).or_default();
        if requested_at < entry.requested_at {
            return;
        }
        entry.requested_at = requested_at;
        entry.report = Some(report.clone());
        let is_applied = |pending: &PendingOrder| {
            let order_id = (pending.order.fence, pending.order.number);
            requested_at >= pending.sent_at && report.last_order == Some(order_id)
        };
        if entry.pending.as_ref().is_some_and(is_applied) {
            entry.pending = None;
        }
    }

    /// Removes a pending order that the engine has refused.
    pub fn drop_refused_order(&mut self, engine: &EndpointId, number: OrderNumber) {
        let Some(entry) = self.engines.get_mut(engine) else { return };
        if entry.pending.as_ref().is_some_and(|pending| pending.order.number == number) {
            entry.pending = None;
        }
    }

    /// Removes pending orders that can no longer arrive.
    ///
    /// An order is removed only once a report that was requested after the end of
    /// its lifetime, with an allowance for clock drift, does not confirm it.
    pub fn drop_expired_orders(&mut self, now: Duration) {
        self.now = now;
        for entry in self.engines.values_mut() {
            let is_expired = |pending: &PendingOrder| {
                let expires_at =
                    pending.sent_at + ORDER_LIFETIME + ORDER_LIFETIME / super::DRIFT_DIVISOR;
                now >= expires_at && entry.requested_at >= expires_at
            };
            if entry.pending.as_ref().is_some_and(is_expired) {
                entry.pending = None;
            }
        }
    }

    /// Records an order as pending, before it is sent.
    pub fn record_order(&mut self, now: Duration, engine: &EndpointId, order: EngineOrder) {
        let entry = self.engines.entry(engine.clone()).or_default();
        entry.pending = Some(PendingOrder { order, sent_at: now });
    }

    /// Returns whether an order to an engine is pending.
    pub fn has_pending_order(&self, engine: &EndpointId) -> bool {
        self.engines.get(engine).is_some_and(|entry| entry.pending.is_some())
    }

    /// Returns all pending orders, by engine.
    pub fn pending_orders(&self) -> BTreeMap<EndpointId, EngineOrder> {
        self.engines
            .iter()
            .filter_map(|(engine, entry)| {
                entry.pending.as_ref().map(|pending| (engine.clone(), pending.order.clone()))
            })
            .collect()
    }

    /// Clears the ledger and ignores reports that were requested before `now`.
    pub fn reset(&mut self, now: Duration) {
        self.engines.clear();
        self.reset_at = now;
        self.now = now;
    }

    /// Returns the latest report of an engine, if it is younger than
    /// [`REPORT_MAX_AGE`].
    fn fresh_report(&self, engine: &EndpointId) -> Option<&EngineReport> {
        let entry = self.engines.get(engine)?;
        let is_fresh = self.now.saturating_sub(entry.requested_at) < REPORT_MAX_AGE;
        entry.report.as_ref().filter(|_| is_fresh)
    }

    /// Returns whether a fencing order has to be sent to an engine now.
    pub fn needs_fence(&self, now: Duration, engine: &EndpointId, fence: FencingToken) -> bool {
        let Some(entry) = self.engines.get(engine) else { return true };
        let is_fenced = entry.report.as_ref().is_some_and(|report| report.fence >= fence);
        let is_waiting =
            entry.fence_sent_at.is_some_and(|at| now.saturating_sub(at) < FENCE_RETRY_INTERVAL);
        !is_fenced && !is_waiting
    }

    /// Records that a fencing order was sent to an engine.
    pub fn record_fence_sent(&mut self, now: Duration, engine: &EndpointId) {
        self.engines.entry(engine.clone()).or_default().fence_sent_at = Some(now);
    }

    /// Returns the recent report of an engine, if the engine may receive orders.
    ///
    /// An engine that checks fencing tokens must have reported at least `fence`.
    pub fn usable_report(
        &self,
        engine: &EndpointId,
        checks_fence: bool,
        fence: FencingToken,
    ) -> Option<&EngineReport> {
        let report = self.fresh_report(engine)?;
        (!checks_fence || report.fence >= fence).then_some(report)
    }

    /// Returns the memory that the replicas on an engine take in the worst case,
    /// in mebibytes: all reported replicas and a pending load.
    ///
    /// Returns [`u64::MAX`] for an engine without an entry in the ledger.
    pub fn compute_worst_case_memory_mb(&self, engine: &EndpointId) -> u64 {
        let Some(entry) = self.engines.get(engine) else { return u64::MAX };
        let reported: u64 = entry
            .report
            .iter()
            .flat_map(|report| &report.replicas)
            .map(|replica| replica.memory_mb)
            .sum();
        let pending = entry.pending.as_ref().map_or(0, |pending| match &pending.order.action {
            OrderAction::Load { memory_mb, .. } => *memory_mb,
            OrderAction::Fence | OrderAction::Unload { .. } => 0,
        });
        reported + pending
    }

    /// Returns the engines that certainly serve a version of a model.
    ///
    /// Such an engine has recently reported the version as serving, and no
    /// unload of it is pending.
    pub fn serving_engines(&self, model: &str, version: &str) -> Vec<&EndpointId> {
        self.engines
            .iter()
            .filter(|(_, entry)| !entry.may_unload(model, version))
            .filter(|(engine, _)| self.fresh_report(engine).is_some())
            .filter(|(_, entry)| entry.replica_phase(model, version) == Some(ModelPhase::Serving))
            .map(|(engine, _)| engine)
            .collect()
    }

    /// Returns the number of engines that certainly serve a version of a model and
    /// are not leaving.
    pub fn count_serving_engines(
        &self,
        configuration: &FleetConfiguration,
        model: &str,
        version: &str,
    ) -> usize {
        let serving = self.serving_engines(model, version).into_iter();
        serving.filter(|engine| !configuration.is_leaving(engine)).count()
    }

    /// Returns whether an engine with a recent report holds a version of a model
    /// or may hold it once the pending order is applied.
    ///
    /// An engine without a recent report counts as lost, so that its models are
    /// loaded on other engines.
    pub fn may_hold(&self, engine: &EndpointId, model: &str, version: &str) -> bool {
        let Some(entry) = self.engines.get(engine) else { return false };
        if self.fresh_report(engine).is_none() {
            return false;
        }
        let is_load_pending = entry.pending.as_ref().is_some_and(|pending| {
            matches!(&pending.order.action, OrderAction::Load { model: name, version: loaded, .. }
                if **name == *model && **loaded == *version)
        });
        is_load_pending || entry.replica_phase(model, version).is_some()
    }

    /// Returns the number of engines with a load in progress, either reported or
    /// pending.
    pub fn count_loading_engines(&self) -> usize {
        let is_loading = |entry: &&LedgerEntry| {
            let reported = entry.report.iter().flat_map(|report| &report.replicas);
            let reported = reported.filter(|replica| replica.phase == ModelPhase::Loading).count();
            let pending = entry.pending.as_ref();
            reported > 0
                || pending
                    .is_some_and(|pending| matches!(pending.order.action, OrderAction::Load { .. }))
        };
        self.engines.values().filter(is_loading).count()
    }
}

impl LedgerEntry {
    /// Returns the phase in which the engine reported a version of a model, if it
    /// holds it.
    fn replica_phase(&self, model: &str, version: &str) -> Option<ModelPhase> {
        let mut replicas = self.report.iter().flat_map(|report| &report.replicas);
        let is_match =
            |replica: &&ReplicaReport| &*replica.model == model && &*replica.version == version;
        replicas.find(is_match).map(|replica| replica.phase)
    }

    /// Returns whether an unload of a version of a model is pending.
    fn may_unload(&self, model: &str, version: &str) -> bool {
        self.pending.as_ref().is_some_and(|pending| {
            matches!(&pending.order.action, OrderAction::Unload { model: name, version: unloaded }
                if **name == *model && **unloaded == *version)
        })
    }
}
