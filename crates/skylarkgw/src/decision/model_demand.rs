//! How many slots each model needs, from what all hosts see.
//!
//! Models differ in pace by a factor of ten, so tokens say little. A model's
//! demand is its arrivals times the slot time of one request: the time that it
//! generates, plus the time that its prompt is read, in which all slots of the
//! engine wait. Both are learned from requests that did not queue.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::declaration::ServiceName;
use crate::ids::ModelName;

/// Time constant of the arrival rate, in seconds.
const ARRIVAL_MEMORY_S: f64 = 0.6;
/// Requests after which what was learned of a model counts half.
const SAMPLE_MEMORY: f64 = 60.0;
/// Generating time of a model that nothing is known of, in seconds.
const PRIOR_GENERATE_S: f64 = 1.2;
/// Reading time of such a model, in seconds.
const PRIOR_READ_S: f64 = 0.03;
/// Requests that the prior weighs as much as.
const PRIOR_WEIGHT: f64 = 2.0;

/// What was seen of one model since the last report.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ModelUse {
    /// Requests that came, served or not.
    pub arrivals: u32,
    /// Streams that ended.
    pub streams: u32,
    /// Time from their first event to their end, all together.
    pub generating: Duration,
    /// Requests that did not have to queue.
    pub reads: u32,
    /// Time to their first event, all together.
    pub reading: Duration,
}

#[derive(Debug, Default)]
struct ModelEstimate {
    arrivals_per_s: f64,
    streams: f64,
    generate_s: f64,
    reads: f64,
    read_s: f64,
}

impl ModelEstimate {
    fn take(&mut self, seen: &ModelUse) {
        self.arrivals_per_s += f64::from(seen.arrivals) / ARRIVAL_MEMORY_S;
        let learn = |count: &mut f64, sum: &mut f64, more: u32, time: Duration| {
            let keep = 0.5_f64.powf(f64::from(more) / SAMPLE_MEMORY);
            *count = *count * keep + f64::from(more);
            *sum = *sum * keep + time.as_secs_f64();
        };
        learn(&mut self.streams, &mut self.generate_s, seen.streams, seen.generating);
        learn(&mut self.reads, &mut self.read_s, seen.reads, seen.reading);
    }

    fn slots(&self, slots: f64) -> f64 {
        let mean = |sum: f64, count: f64, prior: f64| {
            (sum + prior * PRIOR_WEIGHT) / (count + PRIOR_WEIGHT)
        };
        let generate_s = mean(self.generate_s, self.streams, PRIOR_GENERATE_S);
        let read_s = mean(self.read_s, self.reads, PRIOR_READ_S);
        self.arrivals_per_s * (generate_s + read_s * slots)
    }
}

/// Demand for all models.
#[derive(Debug, Default)]
pub struct DemandEstimate {
    models: HashMap<(ServiceName, ModelName), ModelEstimate>,
    decayed_at: Duration,
}

impl DemandEstimate {
    /// Takes in what a host saw.
    pub fn record_use(
        &mut self,
        now: Duration,
        service: ServiceName,
        model: ModelName,
        seen: &ModelUse,
    ) {
        self.decay(now);
        self.models.entry((service, model)).or_default().take(seen);
    }

    /// Returns the slots that the models of a service need, on engines with
    /// `slots` each.
    pub fn estimate_slots(
        &mut self,
        now: Duration,
        service: &str,
        slots: u32,
    ) -> HashMap<ModelName, f64> {
        self.decay(now);
        let models = self.models.iter().filter(|((name, _), _)| **name == *service);
        let slots = f64::from(slots);
        models.map(|((_, model), estimate)| (model.clone(), estimate.slots(slots))).collect()
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = (-elapsed / ARRIVAL_MEMORY_S).exp();
        self.models.values_mut().for_each(|estimate| estimate.arrivals_per_s *= factor);
    }
}
