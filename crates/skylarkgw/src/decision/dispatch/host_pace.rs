//! What one host learns about the pace of engines, and what the coordinator tells it.

use std::collections::HashMap;
use std::time::Duration;

use crate::decision::dispatch::engine_loads::{EngineLoads, EngineNumber};
use crate::decision::dispatch::engine_pace::{
    EnginePace, LOAD_LEVELS, LoadLevel, PaceBook, PaceSum, find_load_level,
};
use crate::decision::dispatch::pace_board::PacePage;
use crate::gateway::declaration::ServiceName;
use crate::ids::{EndpointId, ModelName};

/// Largest multiple of the usual time as which one answer counts.
const MAX_OUTLIER: f64 = 8.0;
/// Number of answers after which the weight of earlier ones has halved in what is usual
/// for a model or a service.
const USUAL_HALF_LIFE_ANSWERS: f64 = 100.0;
/// Time constant of the mean count of requests at an engine.
const MEAN_COUNT_TIME: Duration = Duration::from_secs(2);
/// Time after which an estimate of the coordinator gives way to what this host has seen.
/// In a fleet of thousands of engines, the next one arrives after several seconds.
const SHARED_LIFETIME: Duration = Duration::from_secs(15);

/// Multiple of the usual time after which an answer is late enough for a second attempt
/// elsewhere. Few answers of an engine that works as usual take so long.
const HEDGE_FACTOR: u32 = 3;

/// Returns the time after which a request that may be repeated goes to a second engine,
/// if an answer usually takes `usual` and the first engine was expected to start it after
/// `wait`.
pub fn hedge_delay(usual: Duration, wait: Duration) -> Duration {
    wait + usual * HEDGE_FACTOR
}

/// Answer of an engine that is complete.
#[derive(Clone, Debug)]
pub struct PaceSample {
    /// Engine that made the answer.
    pub engine: EndpointId,
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Service of the engine.
    pub service: ServiceName,
    /// Model that made the answer, if there is one.
    pub model: Option<ModelName>,
    /// Requests known to run at the engine when the request was sent.
    pub running: u32,
    /// Number of places of the engine.
    pub slots: u32,
    /// Time from the sending of the request to the first part of the answer.
    pub first: Duration,
    /// Time from the first part of the answer to its end.
    pub rest: Duration,
    /// Number of parts after the first; 0 if the answer has a single one.
    pub rest_parts: u32,
}

/// Means over the answers of one model or service, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct UsualTimes {
    answers: f64,
    first_ms: f64,
    parts: f64,
    rest_ms: f64,
}

impl UsualTimes {
    fn decay(&mut self) {
        let factor = 0.5_f64.powf(1.0 / USUAL_HALF_LIFE_ANSWERS);
        self.answers *= factor;
        self.first_ms *= factor;
        self.parts *= factor;
        self.rest_ms *= factor;
    }

    /// Returns the mean time to the first part of an answer that has not queued.
    fn first_mean_ms(&self) -> Option<f64> {
        (self.answers > 0.0).then(|| self.first_ms / self.answers)
    }

    /// Returns the mean time of one part after the first.
    fn part_mean_ms(&self) -> Option<f64> {
        (self.parts > 0.0).then(|| self.rest_ms / self.parts)
    }
}

/// Means of the counts that the coordinator has sent, by the number of the engine.
#[derive(Clone, Debug, Default)]
struct MeanCounts {
    means: Vec<f32>,
    updated_at: Duration,
}

/// What one host knows about the pace of engines.
#[derive(Debug, Default)]
pub struct HostPace {
    own: PaceBook<EndpointId>,
    started: HashMap<EndpointId, u64>,
    usual: HashMap<ServiceName, HashMap<Option<ModelName>, UsualTimes>>,
    unreported: HashMap<EndpointId, [PaceSum; LOAD_LEVELS]>,
    shared: HashMap<EngineNumber, (Duration, EnginePace)>,
    counts: MeanCounts,
    /// Fencing token of the coordinator that numbered the engines.
    token: u64,
}

impl HostPace {
    /// Adds a complete answer.
    ///
    /// One that may have queued says nothing about the time to its first part.
    pub fn record(&mut self, now: Duration, sample: &PaceSample) {
        if self.started.insert(sample.engine.clone(), sample.started_ms) != Some(sample.started_ms)
        {
            self.forget(&sample.engine);
        }
        let to_ms = |time: Duration| time.as_secs_f64() * 1_000.0;
        let (first_ms, rest_ms) = (to_ms(sample.first), to_ms(sample.rest));
        let has_queued = sample.running >= sample.slots;
        let is_whole = sample.rest_parts == 0;
        if has_queued && is_whole {
            return;
        }
        let models = self.usual.entry(sample.service.clone()).or_default();
        let usual = models.entry(sample.model.clone()).or_default();
        let (mut worked_ms, usual_ms) = if is_whole {
            (first_ms, usual.first_mean_ms())
        } else {
            let parts = f64::from(sample.rest_parts);
            (rest_ms, usual.part_mean_ms().map(|part_ms| part_ms * parts))
        };
        // A client that reads slowly, or a single outlier, must not pass for a slow engine.
        if let Some(usual_ms) = usual_ms {
            worked_ms = worked_ms.min(usual_ms * MAX_OUTLIER);
        }
        usual.decay();
        if !has_queued {
            usual.answers += 1.0;
            usual.first_ms += first_ms;
        }
        usual.parts += f64::from(sample.rest_parts);
        usual.rest_ms += rest_ms;
        let held_ms = if has_queued { rest_ms } else { first_ms + rest_ms };
        let sum = PaceSum {
            answers: 1,
            running: sample.running + 1,
            held_ms: held_ms.round() as u32,
            worked_ms: worked_ms.round() as u32,
            usual_ms: usual_ms.unwrap_or(worked_ms).round() as u32,
        };
        let level = find_load_level(sample.running + 1, sample.slots);
        self.own.record(now, sample.engine.clone(), &sample.service, level, &sum);
        let levels = self.unreported.entry(sample.engine.clone()).or_default();
        levels[usize::from(level)].add(&sum);
    }

    /// Forgets the answers of an earlier instance of an engine.
    fn forget(&mut self, engine: &EndpointId) {
        self.own.remove(engine);
        self.unreported.remove(engine);
    }

    /// Removes the engines for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&EndpointId) -> bool) {
        self.own.retain(&is_kept);
        self.started.retain(|engine, _| is_kept(engine));
        self.unreported.retain(|engine, _| is_kept(engine));
    }

    /// Returns the answers since the last report and clears them.
    pub fn take_sums(
        &mut self,
        numbers: &HashMap<EndpointId, EngineNumber>,
    ) -> Vec<(EngineNumber, LoadLevel, PaceSum)> {
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        let numbered = unreported.filter_map(|(engine, sums)| Some((*numbers.get(&engine)?, sums)));
        let split = numbered.flat_map(|(number, sums)| {
            (0..).zip(sums).map(move |(level, sum)| (number, level, sum))
        });
        split.filter(|(_, _, sum)| sum.answers > 0).collect()
    }

    /// Forgets the estimates of a coordinator that no longer replies.
    pub fn clear_shared(&mut self) {
        self.shared.clear();
    }

    /// Records that the numbers of engines are those of the coordinator with `token`. A
    /// new one is sent all that this host has seen, since it knows no answers.
    pub fn set_numbering(&mut self, now: Duration, token: u64) {
        if self.token == token {
            return;
        }
        self.token = token;
        self.counts = MeanCounts::default();
        self.clear_shared();
        let sums = self.own.sums(now).map(|(engine, sums)| (engine.clone(), sums));
        self.unreported = sums.collect();
    }

    /// Adds the estimates of the coordinator with `token`, if the numbers are its own.
    pub fn apply_page(&mut self, now: Duration, token: u64, page: &PacePage) {
        if token != self.token {
            return;
        }
        for (number, pace) in page.iter() {
            match pace {
                Some(pace) => self.shared.insert(number, (now, pace)),
                None => self.shared.remove(&number),
            };
        }
    }

    /// Adds the counts of the coordinator to their means.
    pub fn record_counts(&mut self, now: Duration, loads: &EngineLoads) {
        let elapsed = now.saturating_sub(self.counts.updated_at).as_secs_f64();
        self.counts.updated_at = now;
        let weight = 1.0 - (-elapsed / MEAN_COUNT_TIME.as_secs_f64()).exp();
        let means = &mut self.counts.means;
        means.resize(means.len().max(loads.len()), 0.0);
        for (number, mean) in means.iter_mut().enumerate() {
            *mean += (loads.get(number as EngineNumber) as f32 - *mean) * weight as f32;
        }
    }

    /// Returns the time since the coordinator last sent counts.
    pub fn count_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.counts.updated_at)
    }

    /// Returns the mean of the counts of an engine.
    pub fn mean_count(&self, number: EngineNumber) -> f64 {
        self.counts.means.get(number as usize).copied().unwrap_or_default().into()
    }

    /// Returns the pace of an engine, or `None` if nothing is known about its service.
    ///
    /// The estimate of the coordinator, which has the answers of all hosts, goes before
    /// that of this host.
    pub fn estimate(
        &self,
        now: Duration,
        engine: &EndpointId,
        number: Option<EngineNumber>,
        service: &ServiceName,
    ) -> Option<EnginePace> {
        let shared = number.and_then(|number| self.shared.get(&number));
        let is_recent = |at: Duration| now.saturating_sub(at) < SHARED_LIFETIME;
        match shared.filter(|(at, _)| is_recent(*at)) {
            Some((_, pace)) => Some(*pace),
            None => self.own.estimate(now, engine, service)?.encode().decode(),
        }
    }

    /// Returns the usual time to the first part of an answer of a model or service without
    /// a queue, if it is known.
    pub fn usual_first(
        &self,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> Option<Duration> {
        let first_ms = self.usual.get(service)?.get(&model.cloned())?.first_mean_ms()?;
        Some(Duration::from_secs_f64(first_ms / 1_000.0))
    }
}
