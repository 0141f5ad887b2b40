//! Follows which engines are cold.

use std::time::Duration;

use spdlog::info;

use crate::decision::store_order::StoreStamp;
use crate::gateway::control::{ControlContext, lock};
use crate::gateway::declaration::{FleetDeclaration, ServiceName};

impl ControlContext {
    /// Applies the engines of the directory to what this host knows of cold engines.
    ///
    /// Nothing changes without a declaration or a copy of the registry, or if the
    /// deployment does not limit the requests to cold engines.
    pub(super) fn update_cold_engines(
        &self,
        now: Duration,
        declaration: Option<&FleetDeclaration>,
    ) {
        let is_limited = self.state.settings.bounds.cold.is_some();
        let Some(declaration) = declaration.filter(|_| is_limited) else { return };
        let find_cold_start = |service: &ServiceName| {
            let rule = declaration.services.get(service);
            let rule = rule.filter(|rule| rule.cold_requests_per_s > 0.0);
            rule.map_or(Duration::ZERO, |rule| rule.cold_start)
        };
        let (engines, is_settling) = {
            let directory = lock(&self.directory);
            if directory.stamp() == StoreStamp::default() {
                return;
            }
            let engines: Vec<_> = directory.engines(now).cloned().collect();
            (engines, directory.is_settling(now))
        };
        let engines = engines.iter().map(|entry| &**entry);
        self.state.lock_cold_engines().update(now, engines, find_cold_start, is_settling);
        self.observe_cold_engines(now);
    }

    /// Logs which engines have become cold, and sets the number of cold engines.
    pub(super) fn observe_cold_engines(&self, now: Duration) {
        let (events, count) = {
            let mut cold_engines = self.state.lock_cold_engines();
            (cold_engines.take_events(), cold_engines.count_cold(now))
        };
        self.state.metrics.fleet.set_cold_engines(count);
        for event in events {
            let (engine, started_ms) = (event.engine.to_string(), event.started_ms);
            let (cause, cold_ms) = (event.cause.label(), event.cold_for.as_millis() as u64);
            info!("engine is cold", kv: { engine, started_ms, cause, cold_ms });
        }
    }
}
