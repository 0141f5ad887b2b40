//! What engines hold, counted in the worst way.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::fencing::FencingToken;
use crate::decision::placement::{EngineOrder, ORDER_LIFE, OrderAction, OrderNumber};
use crate::ids::{EndpointId, ModelName};

/// Age at which an engine's last report no longer speaks for it.
pub const REPORT_LIFE: Duration = Duration::from_millis(3_000);

const FENCE_RETRY: Duration = Duration::from_millis(1_000);

/// Where a replica stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ModelPhase {
    /// It is being loaded.
    Loading,
    /// It serves.
    Serving,
    /// It is being unloaded.
    Unloading,
}

/// One replica on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaReport {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: Arc<str>,
    /// Memory that it takes, in mebibytes.
    pub memory_mb: u64,
    /// Where it stands.
    pub phase: ModelPhase,
}

/// What an engine says of its memory.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineReport {
    /// Memory for models, in mebibytes.
    pub memory_mb: u64,
    /// Replicas in memory.
    pub replicas: Vec<ReplicaReport>,
    /// Highest fencing number seen; zero if it ignores them.
    pub fence: FencingToken,
    /// Order that it took last.
    pub last_order: Option<(FencingToken, OrderNumber)>,
}

#[derive(Debug)]
struct PendingOrder {
    order: EngineOrder,
    sent_at: Duration,
}

#[derive(Debug, Default)]
struct EngineEntry {
    report: Option<EngineReport>,
    asked_at: Duration,
    pending: Option<PendingOrder>,
    fence_sent_at: Option<Duration>,
}

/// All engines as the holder sees them.
#[derive(Debug, Default)]
pub struct EngineLedger {
    engines: BTreeMap<EndpointId, EngineEntry>,
    since: Duration,
    now: Duration,
}

impl EngineLedger {
    /// Takes in a report that was asked for at `asked_at`.
    ///
    /// A report that was asked for before the pending order was sent says
    /// nothing about it.
    pub fn report(&mut self, asked_at: Duration, engine: &EndpointId, report: &EngineReport) {
        if asked_at < self.since {
            return;
        }
        let entry = self.engines.entry(engine.clone()).or_default();
        if asked_at < entry.asked_at {
            return;
        }
        entry.asked_at = asked_at;
        entry.report = Some(report.clone());
        let applied = |pending: &PendingOrder| {
            let name = (pending.order.fence, pending.order.number);
            asked_at >= pending.sent_at && report.last_order == Some(name)
        };
        if entry.pending.as_ref().is_some_and(applied) {
            entry.pending = None;
        }
    }

    /// Forgets an order that the engine has refused.
    pub fn refused(&mut self, engine: &EndpointId, number: OrderNumber) {
        let Some(entry) = self.engines.get_mut(engine) else { return };
        if entry.pending.as_ref().is_some_and(|pending| pending.order.number == number) {
            entry.pending = None;
        }
    }

    /// Forgets orders that can no longer arrive and that the engine, asked
    /// after that, does not know.
    pub fn expire(&mut self, now: Duration) {
        self.now = now;
        for entry in self.engines.values_mut() {
            let dead = |pending: &PendingOrder| {
                let end = pending.sent_at + ORDER_LIFE + ORDER_LIFE / super::DRIFT_DIVISOR;
                now >= end && entry.asked_at >= end
            };
            if entry.pending.as_ref().is_some_and(dead) {
                entry.pending = None;
            }
        }
    }

    /// Notes an order that is about to be sent.
    pub fn order_sent(&mut self, now: Duration, engine: &EndpointId, order: EngineOrder) {
        let entry = self.engines.entry(engine.clone()).or_default();
        entry.pending = Some(PendingOrder { order, sent_at: now });
    }

    /// Returns whether an order may be under way to an engine.
    pub fn has_order(&self, engine: &EndpointId) -> bool {
        self.engines.get(engine).is_some_and(|entry| entry.pending.is_some())
    }

    /// Returns the orders that may be under way.
    pub fn orders_under_way(&self) -> BTreeMap<EndpointId, EngineOrder> {
        self.engines
            .iter()
            .filter_map(|(engine, entry)| {
                entry.pending.as_ref().map(|pending| (engine.clone(), pending.order.clone()))
            })
            .collect()
    }

    /// Forgets everything; only what engines are asked from now on counts.
    pub fn start_anew(&mut self, now: Duration) {
        self.engines.clear();
        self.since = now;
        self.now = now;
    }

    /// Returns the latest report of an engine that answers.
    fn fresh(&self, engine: &EndpointId) -> Option<&EngineReport> {
        let entry = self.engines.get(engine)?;
        let is_fresh = self.now.saturating_sub(entry.asked_at) < REPORT_LIFE;
        entry.report.as_ref().filter(|_| is_fresh)
    }

    /// Returns whether an engine has to be fenced now.
    pub fn needs_fence(&self, now: Duration, engine: &EndpointId, fence: FencingToken) -> bool {
        let Some(entry) = self.engines.get(engine) else { return true };
        let fenced = entry.report.as_ref().is_some_and(|report| report.fence >= fence);
        let waits = entry.fence_sent_at.is_some_and(|at| now.saturating_sub(at) < FENCE_RETRY);
        !fenced && !waits
    }

    /// Notes that an engine was told the fencing number.
    pub fn fence_sent(&mut self, now: Duration, engine: &EndpointId) {
        self.engines.entry(engine.clone()).or_default().fence_sent_at = Some(now);
    }

    /// Returns an engine's report, if it may get orders: one that checks
    /// fencing numbers must know this one.
    pub fn usable(
        &self,
        engine: &EndpointId,
        checks_fence: bool,
        fence: FencingToken,
    ) -> Option<&EngineReport> {
        let report = self.fresh(engine)?;
        (!checks_fence || report.fence >= fence).then_some(report)
    }

    /// Returns the memory that an engine may take in the worst case.
    pub fn worst_memory(&self, engine: &EndpointId) -> u64 {
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

    /// Returns the engines that certainly serve a model's version: reported as
    /// serving, and no unload under way.
    pub fn serving(&self, model: &str, version: &str) -> Vec<&EndpointId> {
        self.engines
            .iter()
            .filter(|(_, entry)| !entry.may_unload(model, version))
            .filter(|(engine, _)| self.fresh(engine).is_some())
            .filter(|(_, entry)| entry.replica(model, version) == Some(ModelPhase::Serving))
            .map(|(engine, _)| engine)
            .collect()
    }

    /// Returns whether an engine that answers holds a model's version or may
    /// come to.
    ///
    /// One that does not answer counts as lost, so that its models are loaded
    /// elsewhere.
    pub fn may_hold(&self, engine: &EndpointId, model: &str, version: &str) -> bool {
        let Some(entry) = self.engines.get(engine) else { return false };
        if self.fresh(engine).is_none() {
            return false;
        }
        let loads = entry.pending.as_ref().is_some_and(|pending| {
            matches!(&pending.order.action, OrderAction::Load { model: name, version: loaded, .. }
                if **name == *model && **loaded == *version)
        });
        loads || entry.replica(model, version).is_some()
    }

    /// Returns the loads that are under way, reported or not.
    pub fn loads_under_way(&self) -> usize {
        let loading = |entry: &&EngineEntry| {
            let reported = entry.report.iter().flat_map(|report| &report.replicas);
            let reported = reported.filter(|replica| replica.phase == ModelPhase::Loading).count();
            let pending = entry.pending.as_ref();
            reported > 0
                || pending
                    .is_some_and(|pending| matches!(pending.order.action, OrderAction::Load { .. }))
        };
        self.engines.values().filter(loading).count()
    }
}

impl EngineEntry {
    fn replica(&self, model: &str, version: &str) -> Option<ModelPhase> {
        let mut replicas = self.report.iter().flat_map(|report| &report.replicas);
        let found =
            |replica: &&ReplicaReport| &*replica.model == model && &*replica.version == version;
        replicas.find(found).map(|replica| replica.phase)
    }

    fn may_unload(&self, model: &str, version: &str) -> bool {
        self.pending.as_ref().is_some_and(|pending| {
            matches!(&pending.order.action, OrderAction::Unload { model: name, version: gone }
                if **name == *model && **gone == *version)
        })
    }
}
