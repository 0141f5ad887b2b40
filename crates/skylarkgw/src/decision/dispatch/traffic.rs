//! Statistics of the traffic that one host forwards.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::dispatch::host_pace::HostPace;
use crate::decision::dispatch::retry_budget::RetryBudget;
use crate::decision::model_demand::ModelUse;
use crate::gateway::declaration::ServiceName;
use crate::ids::{EndpointId, ModelName};

/// Weight of the newest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// Time in which the failure share of an engine halves without new outcomes.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Moving average of failures, as of `updated_at`.
#[derive(Clone, Copy, Debug, Default)]
struct FailureShare {
    share: f64,
    updated_at: Duration,
}

/// Running requests, failure shares, demand and retry budgets of one host.
#[derive(Debug, Default)]
pub struct TrafficStats {
    running: HashMap<EndpointId, u32>,
    failures: HashMap<EndpointId, FailureShare>,
    /// Usage of each model since the last report to the coordinator.
    uses: HashMap<(ServiceName, ModelName), ModelUse>,
    /// Adapters used since the last report to the coordinator.
    adapter_uses: HashMap<(EndpointId, ModelName, Arc<str>), ()>,
    budgets: HashMap<ServiceName, RetryBudget>,
    /// Pace of the engines.
    pub pace: HostPace,
}

impl TrafficStats {
    /// Records that a request is sent to an engine.
    pub fn begin_request(&mut self, engine: &EndpointId) {
        *self.running.entry(engine.clone()).or_default() += 1;
    }

    /// Records that a request has ended on an engine.
    pub fn end_request(&mut self, engine: &EndpointId) {
        if let Some(running) = self.running.get_mut(engine) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(engine);
            }
        }
    }

    /// Returns the number of requests of this host on an engine.
    pub fn running_requests(&self, engine: &str) -> u32 {
        self.running.get(engine).copied().unwrap_or_default()
    }

    /// Iterates over the engines with requests of this host and their number.
    pub fn running_by_engine(&self) -> impl Iterator<Item = (&EndpointId, u32)> {
        self.running.iter().map(|(engine, running)| (engine, *running))
    }

    /// Records whether a request failed on an engine.
    pub fn record_outcome(&mut self, now: Duration, engine: &EndpointId, failed: bool) {
        let share = self.failure_share(now, engine);
        let sample = if failed { 1.0 } else { 0.0 };
        let share = share + (sample - share) * FAILURE_WEIGHT;
        // A share below 1 % counts as zero.
        if share < 0.01 {
            self.failures.remove(engine);
        } else {
            self.failures.insert(engine.clone(), FailureShare { share, updated_at: now });
        }
    }

    /// Returns the share of recent requests on an engine that failed, from 0 to 1.
    pub fn failure_share(&self, now: Duration, engine: &str) -> f64 {
        self.failures.get(engine).map_or(0.0, |failure| {
            let age = now.saturating_sub(failure.updated_at).as_secs_f64();
            failure.share * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
        })
    }

    /// Returns a mutable reference to the usage of a model since the last report.
    pub fn model_use(&mut self, service: &ServiceName, model: &ModelName) -> &mut ModelUse {
        self.uses.entry((service.clone(), model.clone())).or_default()
    }

    /// Returns the usage of all models since the last report and clears it.
    pub fn take_model_uses(&mut self) -> Vec<(ServiceName, ModelName, ModelUse)> {
        let uses = std::mem::take(&mut self.uses).into_iter();
        uses.map(|((service, model), usage)| (service, model, usage)).collect()
    }

    /// Records that a request uses an adapter on an engine.
    pub fn record_adapter_use(
        &mut self,
        engine: &EndpointId,
        model: &ModelName,
        adapter: &Arc<str>,
    ) {
        self.adapter_uses.insert((engine.clone(), model.clone(), adapter.clone()), ());
    }

    /// Returns the adapters used since the last report and clears them.
    pub fn take_adapter_uses(&mut self) -> Vec<(EndpointId, ModelName, Arc<str>)> {
        std::mem::take(&mut self.adapter_uses).into_keys().collect()
    }

    /// Returns the retry budget of a service, created by `create` if missing.
    pub fn retry_budget(
        &mut self,
        service: &ServiceName,
        create: impl FnOnce() -> RetryBudget,
    ) -> &mut RetryBudget {
        self.budgets.entry(service.clone()).or_insert_with(create)
    }
}
