//! Estimates how many slots each model needs from the usage that all hosts
//! report.
//!
//! Token counts are a poor measure of demand because the speed of models differs
//! by a factor of ten. The demand for a model is its arrival rate times the slot
//! time of one request: the generation time, plus the prefill time, during which
//! all slots of the engine wait. Both are learned without queueing time: generation
//! from the first event of a stream on, and prefill from requests that did not
//! queue.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::declaration::ServiceName;
use crate::ids::ModelName;

/// Time constant of the arrival rate, in seconds.
const ARRIVAL_TIME_CONSTANT_S: f64 = 0.6;
/// Number of requests after which the weight of earlier samples has halved.
const SAMPLE_HALF_LIFE_REQUESTS: f64 = 60.0;
/// Prior for the generation time of one request, in seconds.
const PRIOR_GENERATION_S: f64 = 1.2;
/// Prior for the prefill time of one request, in seconds.
const PRIOR_PREFILL_S: f64 = 0.03;
/// Weight of the prior, as a number of requests.
const PRIOR_WEIGHT_REQUESTS: f64 = 2.0;

/// Usage of one model since the last report.
///
/// Streams count only if a single engine may have run them.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ModelUse {
    /// Number of requests that arrived, whether they were served or not.
    pub arrivals: u32,
    /// Number of streams that ended.
    pub streams: u32,
    /// Total time of these streams from their first event to their end.
    pub generating: Duration,
    /// Number of streams that reached their first event without queueing: fewer than
    /// half of the slots of their engine were in use.
    pub reads: u32,
    /// Total time of these streams from the arrival of the request to the first
    /// event, which is used as the prefill time.
    pub reading: Duration,
}

/// Arrival rate of one model and its exponentially weighted samples.
#[derive(Debug, Default)]
struct ModelEstimate {
    /// Arrival rate at `decayed_at`.
    arrivals_per_s: f64,
    decayed_at: Duration,
    /// Weighted number of samples in `generation_s`.
    streams: f64,
    /// Weighted sum of generation times, in seconds.
    generation_s: f64,
    /// Weighted number of samples in `prefill_s`.
    prefills: f64,
    /// Weighted sum of prefill times, in seconds.
    prefill_s: f64,
}

impl ModelEstimate {
    /// Decays the arrival rate to `now`.
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        self.arrivals_per_s *= (-elapsed / ARRIVAL_TIME_CONSTANT_S).exp();
    }

    /// Adds the usage that a host reported, and reduces the weight of earlier
    /// samples.
    fn record_use(&mut self, now: Duration, usage: &ModelUse) {
        self.decay(now);
        self.arrivals_per_s += f64::from(usage.arrivals) / ARRIVAL_TIME_CONSTANT_S;
        let add_samples = |count: &mut f64, sum: &mut f64, new_count: u32, time: Duration| {
            let retained = 0.5_f64.powf(f64::from(new_count) / SAMPLE_HALF_LIFE_REQUESTS);
            *count = *count * retained + f64::from(new_count);
            *sum = *sum * retained + time.as_secs_f64();
        };
        add_samples(&mut self.streams, &mut self.generation_s, usage.streams, usage.generating);
        add_samples(&mut self.prefills, &mut self.prefill_s, usage.reads, usage.reading);
    }

    /// Returns the number of slots that the model needs, on engines with `slots`
    /// each.
    fn estimate_slots(&self, slots: f64) -> f64 {
        let mean = |sum: f64, count: f64, prior: f64| {
            (sum + prior * PRIOR_WEIGHT_REQUESTS) / (count + PRIOR_WEIGHT_REQUESTS)
        };
        let generation_s = mean(self.generation_s, self.streams, PRIOR_GENERATION_S);
        let prefill_s = mean(self.prefill_s, self.prefills, PRIOR_PREFILL_S);
        self.arrivals_per_s * (generation_s + prefill_s * slots)
    }
}

/// Estimated demand for all models.
#[derive(Debug, Default)]
pub struct DemandEstimate {
    services: HashMap<ServiceName, HashMap<ModelName, ModelEstimate>>,
}

impl DemandEstimate {
    /// Adds the usage of a model that a host reported.
    pub fn record_use(
        &mut self,
        now: Duration,
        service: ServiceName,
        model: ModelName,
        usage: &ModelUse,
    ) {
        let models = self.services.entry(service).or_default();
        models.entry(model).or_default().record_use(now, usage);
    }

    /// Returns the number of slots that each model of a service needs, on engines
    /// with `slots` each.
    pub fn estimate_slots(
        &mut self,
        now: Duration,
        service: &str,
        slots: u32,
    ) -> HashMap<ModelName, f64> {
        let slots = f64::from(slots);
        let models = self.services.get_mut(service).into_iter().flatten();
        models
            .map(|(model, estimate)| {
                estimate.decay(now);
                (model.clone(), estimate.estimate_slots(slots))
            })
            .collect()
    }
}
