//! What a host knows of its own traffic.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::model_demand::ModelUse;
use crate::decision::retry_budget::RetryBudget;
use crate::gateway::declaration::ServiceName;
use crate::ids::{EndpointId, ModelName};

/// Weight of the newest outcome in an engine's failure share.
const FAILURE_WEIGHT: f64 = 0.3;
/// Time in which a failure share without news halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, Default)]
struct FailureShare {
    share: f64,
    noted_at: Duration,
}

/// Counts of running requests, outcomes and demand.
#[derive(Debug, Default)]
pub struct TrafficStats {
    running: HashMap<EndpointId, u32>,
    failures: HashMap<EndpointId, FailureShare>,
    uses: HashMap<(ServiceName, ModelName), ModelUse>,
    adapter_uses: HashMap<(EndpointId, ModelName, Arc<str>), ()>,
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl TrafficStats {
    /// Notes that a request goes to an engine.
    pub fn begin_request(&mut self, engine: &EndpointId) {
        *self.running.entry(engine.clone()).or_default() += 1;
    }

    /// Notes that a request has left an engine.
    pub fn end_request(&mut self, engine: &EndpointId) {
        if let Some(running) = self.running.get_mut(engine) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(engine);
            }
        }
    }

    /// Returns the requests that this host has at an engine.
    pub fn running_requests(&self, engine: &str) -> u32 {
        self.running.get(engine).copied().unwrap_or_default()
    }

    /// Returns the requests that this host has at all engines.
    pub fn all_running(&self) -> Vec<(EndpointId, u32)> {
        self.running.iter().map(|(engine, running)| (engine.clone(), *running)).collect()
    }

    /// Notes how an engine served a request.
    pub fn record_outcome(&mut self, now: Duration, engine: &EndpointId, failed: bool) {
        let share = self.failure_share(now, engine);
        let newest = if failed { 1.0 } else { 0.0 };
        let share = share + (newest - share) * FAILURE_WEIGHT;
        if share < 0.01 {
            self.failures.remove(engine);
        } else {
            self.failures.insert(engine.clone(), FailureShare { share, noted_at: now });
        }
    }

    /// Returns the share of an engine's recent requests that failed.
    pub fn failure_share(&self, now: Duration, engine: &str) -> f64 {
        self.failures.get(engine).map_or(0.0, |failure| {
            let age = now.saturating_sub(failure.noted_at).as_secs_f64();
            failure.share * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
        })
    }

    /// Returns what was seen of a model since the last report.
    pub fn model_use(&mut self, service: &ServiceName, model: &ModelName) -> &mut ModelUse {
        self.uses.entry((service.clone(), model.clone())).or_default()
    }

    /// Returns what was seen of all models since the last call.
    pub fn take_model_uses(&mut self) -> Vec<(ServiceName, ModelName, ModelUse)> {
        let uses = std::mem::take(&mut self.uses).into_iter();
        uses.map(|((service, model), seen)| (service, model, seen)).collect()
    }

    /// Notes that a request uses an adapter.
    pub fn record_adapter_use(
        &mut self,
        engine: &EndpointId,
        model: &ModelName,
        adapter: &Arc<str>,
    ) {
        self.adapter_uses.insert((engine.clone(), model.clone(), adapter.clone()), ());
    }

    /// Returns the adapters used since the last call.
    pub fn take_adapter_uses(&mut self) -> Vec<(EndpointId, ModelName, Arc<str>)> {
        std::mem::take(&mut self.adapter_uses).into_keys().collect()
    }

    /// Returns the retry budget of a service; `make` creates a missing one.
    pub fn retry_budget(
        &mut self,
        service: &ServiceName,
        make: impl FnOnce() -> RetryBudget,
    ) -> &mut RetryBudget {
        self.budgets.entry(service.clone()).or_insert_with(make)
    }
}
