//! Metrics of a gateway host's calls to the store, to the coordinator and to
//! engines.

use std::time::Duration;

use prometheus::{CounterVec, GaugeVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::decision::dispatch::pace_board::LimitedEngine;
use crate::decision::prompt_evidence::AnswerProgress;

/// The part of a coordinator's work on which time is spent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CoordinatorWork {
    /// Reports of hosts and their replies.
    Exchange,
    /// Draws of quota tokens for single requests.
    Draw,
    /// Placement of models and adapters.
    Placement,
    /// Updates of the engine registry.
    Registry,
}

impl CoordinatorWork {
    fn label(self) -> &'static str {
        match self {
            CoordinatorWork::Exchange => "exchange",
            CoordinatorWork::Draw => "draw",
            CoordinatorWork::Placement => "placement",
            CoordinatorWork::Registry => "registry",
        }
    }
}

/// Counters of the calls by which a host follows the fleet.
#[derive(Debug)]
pub struct FleetMetrics {
    store_calls: IntCounterVec,
    exchanges: IntCounterVec,
    quota_draws: IntCounterVec,
    coordinator_draws: IntCounterVec,
    engine_draws: IntCounterVec,
    cold_draws: IntCounterVec,
    cold_engines: IntGauge,
    reply_items: IntCounterVec,
    work: CounterVec,
    connections: IntCounterVec,
    closed_connections: IntCounterVec,
    interruptions: IntCounterVec,
    limited_requests: IntCounter,
    statement_changes: IntCounterVec,
    registry_copies: IntCounterVec,
    target_events: IntCounterVec,
    unserved_targets: IntGauge,
    evacuated_centres: IntGauge,
    hedges: IntCounter,
    pace: GaugeVec,
    client_bytes: IntGauge,
    client_descriptors: IntGauge,
    evictions: IntCounterVec,
}

impl FleetMetrics {
    /// Creates the counters and registers them.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if a name is already registered, which is a
    /// defect.
    pub fn new(registry: &Registry) -> Result<FleetMetrics, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        let work = CounterVec::new(
            Opts::new("skylark_coordinator_work_seconds", "Time spent as coordinator"),
            &["work"],
        )?;
        registry.register(Box::new(work.clone()))?;
        let limited_requests = IntCounter::new(
            "skylark_limited_engine_requests_total",
            "Requests sent to engines that had named a request rate",
        )?;
        registry.register(Box::new(limited_requests.clone()))?;
        let hedges = IntCounter::new(
            "skylark_hedged_requests_total",
            "Requests that were also sent to a second engine because the first took long",
        )?;
        registry.register(Box::new(hedges.clone()))?;
        let pace = GaugeVec::new(
            Opts::new(
                "skylark_engine_pace",
                "Pace of the engines that take less than others of their service, on the coordinator",
            ),
            &["engine", "value"],
        )?;
        registry.register(Box::new(pace.clone()))?;
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let unserved_targets = IntGauge::new(
            "skylark_unserved_targets",
            "Models and adapters that are requested and not served, on the coordinator",
        )?;
        registry.register(Box::new(unserved_targets.clone()))?;
        let evacuated_centres = IntGauge::new(
            "skylark_evacuated_data_centres",
            "Data centres to whose engines nothing is sent",
        )?;
        registry.register(Box::new(evacuated_centres.clone()))?;
        let cold_engines =
            IntGauge::new("skylark_cold_engines", "Engines that count as cold at this host")?;
        registry.register(Box::new(cold_engines.clone()))?;
        Ok(FleetMetrics {
            cold_engines,
            unserved_targets,
            evacuated_centres,
            hedges,
            pace,
            client_bytes: gauge("skylark_client_bytes", "Memory that is held for clients")?,
            client_descriptors: gauge(
                "skylark_client_descriptors",
                "Descriptors of client connections and of their requests",
            )?,
            evictions: counter(
                "skylark_client_evictions_total",
                "Connections and answers that gave way to others by what they waited for",
                &["phase"],
            )?,
            target_events: counter(
                "skylark_target_events_total",
                "Models and adapters that were not served for two seconds, for longer than the bound, or are served again",
                &["event"],
            )?,
            store_calls: counter(
                "skylark_store_calls_total",
                "Calls to the store by call, kind of object and outcome",
                &["call", "kind", "outcome"],
            )?,
            exchanges: counter(
                "skylark_exchanges_total",
                "Reports sent to the coordinator by outcome",
                &["outcome"],
            )?,
            quota_draws: counter(
                "skylark_quota_draws_total",
                "Draws of quota tokens for single requests by outcome",
                &["outcome"],
            )?,
            coordinator_draws: counter(
                "skylark_coordinator_draws_total",
                "Draws of quota tokens that this host answered as coordinator, by its declaration compared with that of the drawing host",
                &["declaration"],
            )?,
            engine_draws: counter(
                "skylark_engine_draws_total",
                "Draws of single requests to engines that named a request rate by outcome",
                &["outcome"],
            )?,
            cold_draws: counter(
                "skylark_cold_engine_draws_total",
                "Draws of single requests to cold engines by outcome",
                &["outcome"],
            )?,
            reply_items: counter(
                "skylark_coordinator_reply_items_total",
                "Entries in replies of this host as coordinator by part of the reply",
                &["part"],
            )?,
            work,
            limited_requests,
            statement_changes: counter(
                "skylark_engine_statement_changes_total",
                "Changes of what engines state about themselves by change and source",
                &["change", "source"],
            )?,
            connections: counter(
                "skylark_engine_connections_total",
                "Connections taken for requests to engines by origin",
                &["origin"],
            )?,
            closed_connections: counter(
                "skylark_client_connections_closed_total",
                "Client connections that were closed by who closed them and why",
                &["reason"],
            )?,
            interruptions: counter(
                "skylark_interrupted_answers_total",
                "Attempts that ended without a complete answer by how far the answer had come",
                &["progress"],
            )?,
            registry_copies: counter(
                "skylark_registry_copies_total",
                "Copies of the engine registry by source, and whether they are older than the one in use",
                &["source", "age"],
            )?,
        })
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: &str, kind: &str, outcome: &str) {
        self.store_calls.with_label_values(&[call, kind, outcome]).inc();
    }

    /// Counts a report to the coordinator.
    pub fn count_exchange(&self, outcome: &str) {
        self.exchanges.with_label_values(&[outcome]).inc();
    }

    /// Counts a draw of quota tokens for one request.
    pub fn count_quota_draw(&self, outcome: &str) {
        self.quota_draws.with_label_values(&[outcome]).inc();
    }

    /// Counts a draw of quota tokens that this host answered as coordinator.
    pub fn count_coordinator_draw(&self, declaration: &str) {
        self.coordinator_draws.with_label_values(&[declaration]).inc();
    }

    /// Counts a draw of one request to an engine that is cold or has named a limit.
    pub fn count_engine_draw(&self, is_cold: bool, outcome: &str) {
        let draws = if is_cold { &self.cold_draws } else { &self.engine_draws };
        draws.with_label_values(&[outcome]).inc();
    }

    /// Sets the number of engines that count as cold.
    pub fn set_cold_engines(&self, engines: usize) {
        self.cold_engines.set(engines as i64);
    }

    /// Counts entries in a part of a reply.
    pub fn count_reply_items(&self, part: &str, items: usize) {
        self.reply_items.with_label_values(&[part]).inc_by(items as u64);
    }

    /// Adds time that this host spent as coordinator.
    pub fn add_coordinator_work(&self, work: CoordinatorWork, time: Duration) {
        self.work.with_label_values(&[work.label()]).inc_by(time.as_secs_f64());
    }

    /// Returns the time that this host has spent on a part of the coordinator's
    /// work, in seconds.
    pub fn coordinator_work_s(&self, work: CoordinatorWork) -> f64 {
        self.work.with_label_values(&[work.label()]).get()
    }

    /// Counts a connection taken for a request to an engine.
    pub fn count_connection(&self, is_reused: bool) {
        self.connections.with_label_values(&[if is_reused { "reused" } else { "opened" }]).inc();
    }

    /// Counts a client connection that was closed.
    pub fn count_closed_connection(&self, reason: &str) {
        self.closed_connections.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt that ended without a complete answer.
    pub fn count_interruption(&self, progress: AnswerProgress) {
        self.interruptions.with_label_values(&[progress.label()]).inc();
    }

    /// Counts a request that was sent to an engine with a limit.
    pub fn count_limited_request(&self) {
        self.limited_requests.inc();
    }

    /// Counts a change of what an engine states about itself.
    pub fn count_statement_change(&self, change: &str, source: &str) {
        self.statement_changes.with_label_values(&[change, source]).inc();
    }

    /// Counts a change of whether a model or adapter is served.
    pub fn count_target_event(&self, event: &str) {
        self.target_events.with_label_values(&[event]).inc();
    }

    /// Sets the number of models and adapters that are requested and not served.
    pub fn set_unserved_targets(&self, targets: usize) {
        self.unserved_targets.set(targets as i64);
    }

    /// Sets the number of data centres to whose engines nothing is sent.
    pub fn set_evacuated_centres(&self, centres: usize) {
        self.evacuated_centres.set(centres as i64);
    }

    /// Counts a request that was also sent to a second engine.
    pub fn count_hedge(&self) {
        self.hedges.inc();
    }

    /// Sets the engines that take less than others of their service.
    pub fn set_limited_engines(&self, limited: &[LimitedEngine]) {
        self.pace.reset();
        for engine in limited {
            let values = [
                ("hold-ms", engine.pace.hold_ms),
                ("slowdown", engine.pace.slowdown),
                ("useful-slots", engine.pace.useful_slots(engine.slots).into()),
            ];
            for (name, value) in values {
                self.pace.with_label_values(&[&engine.id, name]).set(value);
            }
        }
    }

    /// Sets what is held for clients.
    pub fn set_client_use(&self, bytes: usize, descriptors: usize) {
        self.client_bytes.set(bytes as i64);
        self.client_descriptors.set(descriptors as i64);
    }

    /// Counts connections and answers that gave way to others.
    pub fn count_evictions(&self, phase: &str, evictions: u64) {
        self.evictions.with_label_values(&[phase]).inc_by(evictions);
    }

    /// Counts a copy of the engine registry that arrived.
    pub fn count_registry_copy(&self, source: &str, is_older: bool) {
        let age = if is_older { "older" } else { "current" };
        self.registry_copies.with_label_values(&[source, age]).inc();
    }
}
