//! Engines as the queue's hosts meet them: memory, fencing, late orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::decision::placement::{
    EngineOrder, EngineReport, ModelPhase, ORDER_LIFETIME, OrderAction, OrderOutcome,
    REPORT_MAX_AGE, ReplicaReport,
};
use skylarkgw::ids::{EndpointId, ModelName};

const LOAD_TIME: Duration = Duration::from_millis(1_200);

/// One engine.
#[derive(Clone, Debug)]
pub struct QueueEngine {
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Whether its process runs.
    pub alive: bool,
    report: EngineReport,
    loading: Vec<(Duration, ModelName, Arc<str>)>,
}

/// What engines found wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineFaults {
    /// Loads that did not fit into the memory.
    pub overcommits: u64,
    /// Orders that took the last serving replica of a model away.
    pub last_replicas: u64,
}

/// All engines.
#[derive(Clone, Debug, Default)]
pub struct QueueEngines {
    /// Engines by name.
    pub engines: BTreeMap<EndpointId, QueueEngine>,
    /// What they found wrong.
    pub faults: EngineFaults,
    /// Models that were reachable once.
    pub reached: BTreeSet<ModelName>,
    /// Orders that were applied.
    pub applied: u64,
    deaths: Vec<(Duration, ModelName)>,
}

impl QueueEngine {
    /// Creates an engine with empty memory.
    pub fn new(checks_fence: bool, memory_mb: u64) -> QueueEngine {
        let report = EngineReport { memory_mb, ..EngineReport::default() };
        QueueEngine { checks_fence, alive: true, report, loading: Vec::new() }
    }

    fn used(&self) -> u64 {
        self.report.replicas.iter().map(|replica| replica.memory_mb).sum()
    }

    fn serves(&self, model: &str) -> bool {
        let serves = |replica: &ReplicaReport| {
            &*replica.model == model && replica.phase == ModelPhase::Serving
        };
        self.alive && self.report.replicas.iter().any(serves)
    }
}

impl QueueEngines {
    /// Returns an engine's report, if its process runs.
    pub fn report(&self, engine: &str) -> Option<EngineReport> {
        self.engines.get(engine).filter(|engine| engine.alive).map(|engine| engine.report.clone())
    }

    /// Returns whether a model is served anywhere.
    pub fn is_reachable(&self, model: &str) -> bool {
        self.engines.values().any(|engine| engine.serves(model))
    }

    /// Ends an engine's process; its memory is lost.
    pub fn kill(&mut self, now: Duration, engine: &str) {
        if let Some(engine) = self.engines.get_mut(engine) {
            let models = engine.report.replicas.iter().map(|replica| replica.model.clone());
            self.deaths.extend(models.map(|model| (now, model)));
            *engine = QueueEngine {
                alive: false,
                ..QueueEngine::new(engine.checks_fence, engine.report.memory_mb)
            };
        }
    }

    /// Starts an engine's process anew.
    pub fn restart(&mut self, engine: &str) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.alive = true;
        }
    }

    /// Ends the loads that are due.
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
                    self.reached.insert(model);
                }
            }
        }
    }

    /// Returns whether a replica died so lately that an unload under way may
    /// have been decided before anyone could know.
    fn died_unseen(&self, now: Duration, model: &ModelName) -> bool {
        let window = REPORT_MAX_AGE + ORDER_LIFETIME;
        self.deaths.iter().any(|(at, name)| name == model && *at + window > now)
    }

    /// Applies an order, as the engine does on its arrival.
    pub fn apply(&mut self, now: Duration, name: &str, order: &EngineOrder) -> OrderOutcome {
        self.advance(now);
        let Some(engine) = self.engines.get_mut(name).filter(|engine| engine.alive) else {
            return OrderOutcome::Unknown;
        };
        if engine.checks_fence {
            if order.fence < engine.report.fence {
                return OrderOutcome::Refused;
            }
            engine.report.fence = order.fence;
        }
        self.applied += 1;
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
                engine.loading.push((now + LOAD_TIME, model.clone(), version.clone()));
                let over = engine.used() > engine.report.memory_mb;
                self.faults.overcommits += u64::from(over);
            }
            OrderAction::Unload { model, version } => {
                engine
                    .report
                    .replicas
                    .retain(|replica| replica.model != *model || replica.version != *version);
                let gone = self.reached.contains(model) && !self.is_reachable(model);
                let unseen = self.died_unseen(now, model);
                self.faults.last_replicas += u64::from(gone && !unseen);
            }
        }
        OrderOutcome::Accepted
    }
}
