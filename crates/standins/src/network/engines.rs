//! Simulated engines, with limited memory, fencing and late orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::decision::placement::{
    EngineOrder, EngineReport, ModelPhase, ORDER_LIFETIME, OrderAction, OrderOutcome,
    REPORT_MAX_AGE, ReplicaReport,
};
use skylarkgw::ids::{EndpointId, ModelName};

const LOAD_DURATION: Duration = Duration::from_millis(1_200);

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    /// Whether the engine refuses orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Whether the engine's process runs.
    pub is_running: bool,
    report: EngineReport,
    loading: Vec<(Duration, ModelName, Arc<str>)>,
}

/// Numbers of harmful orders that the engines have applied.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineFaults {
    /// Number of loads that exceeded an engine's memory.
    pub overcommits: u64,
    /// Number of unload orders after which no engine served a model that had
    /// been served before.
    ///
    /// Orders shortly after the loss of a replica of the model do not count,
    /// because the hosts may not have received a report of the loss yet.
    pub last_replicas: u64,
}

/// All simulated engines of a network.
#[derive(Clone, Debug, Default)]
pub struct SimulatedEngines {
    /// Engines by name.
    pub engines: BTreeMap<EndpointId, SimulatedEngine>,
    /// Numbers of harmful orders applied so far.
    pub faults: EngineFaults,
    /// Models that have been served at least once.
    pub once_served: BTreeSet<ModelName>,
    /// Number of orders applied.
    pub applied_orders: u64,
    lost_replicas: Vec<(Duration, ModelName)>,
}

impl SimulatedEngine {
    /// Creates a running engine with empty memory.
    pub fn new(checks_fence: bool, memory_mb: u64) -> SimulatedEngine {
        let report = EngineReport { memory_mb, ..EngineReport::default() };
        SimulatedEngine { checks_fence, is_running: true, report, loading: Vec::new() }
    }

    fn used_memory_mb(&self) -> u64 {
        self.report.replicas.iter().map(|replica| replica.memory_mb).sum()
    }

    fn serves(&self, model: &str) -> bool {
        let serves = |replica: &ReplicaReport| {
            &*replica.model == model && replica.phase == ModelPhase::Serving
        };
        self.is_running && self.report.replicas.iter().any(serves)
    }
}

impl SimulatedEngines {
    /// Returns an engine's report, or `None` if its process does not run.
    pub fn report(&self, engine: &str) -> Option<EngineReport> {
        self.engines
            .get(engine)
            .filter(|engine| engine.is_running)
            .map(|engine| engine.report.clone())
    }

    /// Returns whether any running engine serves a model.
    pub fn is_reachable(&self, model: &str) -> bool {
        self.engines.values().any(|engine| engine.serves(model))
    }

    /// Kills an engine's process, which loses its models, its fencing token and
    /// its record of the last order.
    pub fn kill(&mut self, now: Duration, engine: &str) {
        if let Some(engine) = self.engines.get_mut(engine) {
            let models = engine.report.replicas.iter().map(|replica| replica.model.clone());
            self.lost_replicas.extend(models.map(|model| (now, model)));
            *engine = SimulatedEngine {
                is_running: false,
                ..SimulatedEngine::new(engine.checks_fence, engine.report.memory_mb)
            };
        }
    }

    /// Starts an engine's process with empty memory.
    pub fn restart(&mut self, engine: &str) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.is_running = true;
        }
    }

    /// Completes the loads that are due.
    pub fn advance(&mut self, now: Duration) {
        for engine in self.engines.values_mut() {
            let due: Vec<(Duration, ModelName, Arc<str>)> =
                engine.loading.extract_if(.., |(at, _, _)| *at <= now).collect();
            for (_, model, version) in due {
                let mut replicas = engine.report.replicas.iter_mut();
                let found =
                    replicas.find(|replica| replica.model == model && replica.version == version);
                if let Some(replica) = found {
                    replica.phase = ModelPhase::Serving;
                    self.once_served.insert(model);
                }
            }
        }
    }

    /// Returns whether a replica of a model was lost so recently that an unload
    /// may have been decided before any host could have received a report of
    /// the loss.
    ///
    /// A host decides on reports of up to [`REPORT_MAX_AGE`], and the order
    /// takes up to [`ORDER_LIFETIME`] to arrive.
    fn was_recently_lost(&self, now: Duration, model: &ModelName) -> bool {
        let window = REPORT_MAX_AGE + ORDER_LIFETIME;
        self.lost_replicas.iter().any(|(at, name)| name == model && *at + window > now)
    }

    /// Applies an order that arrives at an engine at the simulated time `now`.
    ///
    /// Returns [`OrderOutcome::Unknown`] if the engine's process does not run,
    /// and [`OrderOutcome::Refused`] if the engine checks fencing tokens and
    /// that of the order is outdated.
    pub fn apply(&mut self, now: Duration, name: &str, order: &EngineOrder) -> OrderOutcome {
        self.advance(now);
        let Some(engine) = self.engines.get_mut(name).filter(|engine| engine.is_running) else {
            return OrderOutcome::Unknown;
        };
        if engine.checks_fence {
            if order.fence < engine.report.fence {
                return OrderOutcome::Refused;
            }
            engine.report.fence = order.fence;
        }
        self.applied_orders += 1;
        engine.report.last_order = Some((order.fence, order.number));
        match &order.action {
            OrderAction::Fence => {}
            OrderAction::Load { model, version, memory_mb } => {
                let replica = ReplicaReport {
                    model: model.clone(),
                    version: version.clone(),
                    memory_mb: *memory_mb,
                    phase: ModelPhase::Loading,
                };
                engine.report.replicas.push(replica);
                engine.loading.push((now + LOAD_DURATION, model.clone(), version.clone()));
                let is_overcommitted = engine.used_memory_mb() > engine.report.memory_mb;
                self.faults.overcommits += u64::from(is_overcommitted);
            }
            OrderAction::Unload { model, version } => {
                engine
                    .report
                    .replicas
                    .retain(|replica| replica.model != *model || replica.version != *version);
                let is_unserved = self.once_served.contains(model) && !self.is_reachable(model);
                let has_recent_loss = self.was_recently_lost(now, model);
                self.faults.last_replicas += u64::from(is_unserved && !has_recent_loss);
            }
        }
        OrderOutcome::Accepted
    }
}
