//! Estimates how long engines hold the place of a request, how much slower than others
//! of their service they work, and how many of their places are useful.
//!
//! The estimates come from the answers of engines to ordinary requests. Hosts add up
//! what they see and the coordinator adds up the sums of all hosts, in a [`PaceBook`]
//! each. An engine without recent answers is assumed to work like the others of its
//! service, and a service without any is assumed to hold a place for
//! [`PRIOR_HOLD_MS`], so an engine that had slowed down gets requests again and shows
//! whether it has recovered.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::declaration::ServiceName;

/// Time for which a request holds a place at an engine of a service without any answers,
/// in milliseconds.
pub const PRIOR_HOLD_MS: f64 = 1_500.0;
/// Time in which the weight of an answer halves. It covers several times the length of a
/// short disturbance, and ends well within one that lasts.
const HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Time in which the weight of an answer halves in the estimates of a whole service.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight of the service's estimate in that of an engine, as a number of answers.
const PRIOR_WEIGHT: f64 = 4.0;
/// Weight of [`PRIOR_HOLD_MS`] in the estimate of a service, as a number of answers.
const SERVICE_PRIOR_WEIGHT: f64 = 2.0;
/// Number of answers below which a level of load shows nothing about useful places.
const MIN_LEVEL_WEIGHT: f64 = 6.0;
/// Factor between two neighbouring values of a slowdown, which is rounded towards 1.
/// Engines that differ by less are equal, so that hosts do not all prefer the same one,
/// and a short disturbance changes nothing.
const SLOWDOWN_STEP: f64 = 1.25;
/// Largest number of steps of a slowdown, in either direction.
const MAX_SLOWDOWN_STEPS: i8 = 16;
/// Number of steps from which an engine counts as clearly slower than others.
const LIMITED_STEPS: i8 = 2;
/// Factor between two neighbouring values of the time for which a place is held.
const HOLD_STEP: f64 = 1.06;

/// Number of levels of load at which answers are counted.
pub const LOAD_LEVELS: usize = 3;
/// Upper limits of the lower levels, as shares of an engine's places.
const LEVEL_LIMITS: [f64; LOAD_LEVELS - 1] = [0.5, 0.75];
/// Factor by which a level of load must complete more requests than the one below.
const MIN_LEVEL_GAIN: f64 = 1.1;

/// Level of load at which an answer was made, from 0 to [`LOAD_LEVELS`] - 1.
pub type LoadLevel = u8;

/// Returns the level of load of an engine with `slots` places that runs `running`
/// requests, including the new one.
pub fn find_load_level(running: u32, slots: u32) -> LoadLevel {
    let share = f64::from(running) / f64::from(slots.max(1));
    LEVEL_LIMITS.iter().filter(|limit| share > **limit).count() as LoadLevel
}

/// Sums over answers of one engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PaceSum {
    /// Number of answers.
    pub answers: u32,
    /// Requests that ran when those for the answers were sent, including these.
    pub running: u32,
    /// Time for which they held a place, in milliseconds.
    pub held_ms: u32,
    /// Time that the engine spent on parts whose usual time is known, in milliseconds.
    pub worked_ms: u32,
    /// Usual time of these parts, in milliseconds.
    pub usual_ms: u32,
}

impl PaceSum {
    /// Adds other answers.
    pub fn add(&mut self, other: &PaceSum) {
        self.answers = self.answers.saturating_add(other.answers);
        self.running = self.running.saturating_add(other.running);
        self.held_ms = self.held_ms.saturating_add(other.held_ms);
        self.worked_ms = self.worked_ms.saturating_add(other.worked_ms);
        self.usual_ms = self.usual_ms.saturating_add(other.usual_ms);
    }
}

/// What an engine takes well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    /// Time for which a request holds a place, in milliseconds.
    pub hold_ms: f64,
    /// Factor by which the engine takes longer than others of its service.
    pub slowdown: f64,
    /// Highest level of load at which another request adds to what the engine completes.
    pub useful_level: LoadLevel,
}

impl Default for EnginePace {
    fn default() -> EnginePace {
        EnginePace { hold_ms: PRIOR_HOLD_MS, slowdown: 1.0, useful_level: LOAD_LEVELS as u8 - 1 }
    }
}

impl EnginePace {
    /// Returns whether the engine is clearly slower than others of its service, or some of
    /// its places are not useful.
    pub fn is_limited(&self) -> bool {
        count_slowdown_steps(self.slowdown) >= LIMITED_STEPS
            || usize::from(self.useful_level) < LOAD_LEVELS - 1
    }

    /// Returns the number of useful places of an engine with `slots` places.
    pub fn useful_slots(&self, slots: u32) -> u32 {
        match LEVEL_LIMITS.get(usize::from(self.useful_level)) {
            Some(limit) => ((f64::from(slots) * limit) as u32).max(1),
            None => slots,
        }
    }

    /// Returns the estimate in the form in which it is sent.
    pub fn encode(&self) -> PaceCode {
        let hold = (self.hold_ms.max(1.0).ln() / HOLD_STEP.ln()).round() as u8;
        let steps = (count_slowdown_steps(self.slowdown) + MAX_SLOWDOWN_STEPS) as u8;
        PaceCode(hold.max(1), steps * LOAD_LEVELS as u8 + self.useful_level)
    }
}

/// Returns the number of steps of a slowdown, which is negative for a fast engine.
fn count_slowdown_steps(slowdown: f64) -> i8 {
    // Without the margin, a value that is a whole number of steps could lose one.
    let steps = (slowdown.ln() / SLOWDOWN_STEP.ln() * (1.0 + 1e-9)).trunc();
    (steps as i8).clamp(-MAX_SLOWDOWN_STEPS, MAX_SLOWDOWN_STEPS)
}

/// An [`EnginePace`] in two bytes: steps of the time for which a place is held, and steps
/// of the slowdown with the useful level. The default stands for no estimate.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceCode(u8, u8);

impl PaceCode {
    /// Returns the estimate, rounded to whole steps, if there is one.
    pub fn decode(self) -> Option<EnginePace> {
        let levels = LOAD_LEVELS as u8;
        let steps = i32::from(self.1 / levels) - i32::from(MAX_SLOWDOWN_STEPS);
        (self.0 > 0).then(|| EnginePace {
            hold_ms: HOLD_STEP.powi(self.0.into()),
            slowdown: SLOWDOWN_STEP.powi(steps),
            useful_level: self.1 % levels,
        })
    }
}

/// Weighted sums over answers.
#[derive(Clone, Copy, Debug, Default)]
struct WeightedSum {
    answers: f64,
    running: f64,
    held_ms: f64,
    worked_ms: f64,
    usual_ms: f64,
}

impl WeightedSum {
    fn add(&mut self, sum: &PaceSum) {
        self.answers += f64::from(sum.answers);
        self.running += f64::from(sum.running);
        self.held_ms += f64::from(sum.held_ms);
        self.worked_ms += f64::from(sum.worked_ms);
        self.usual_ms += f64::from(sum.usual_ms);
    }

    fn scale(&mut self, factor: f64) {
        self.answers *= factor;
        self.running *= factor;
        self.held_ms *= factor;
        self.worked_ms *= factor;
        self.usual_ms *= factor;
    }

    /// Returns the sums of a whole number of answers, none if less than half of one is left.
    fn to_sum(self) -> PaceSum {
        let answers = self.answers.round();
        let factor = if answers > 0.0 { answers / self.answers } else { 0.0 };
        let round = |sum: f64| (sum * factor).round() as u32;
        PaceSum {
            answers: answers as u32,
            running: round(self.running),
            held_ms: round(self.held_ms),
            worked_ms: round(self.worked_ms),
            usual_ms: round(self.usual_ms),
        }
    }

    /// Returns the number of requests that run at once, divided by the time spent on each.
    fn rate(&self) -> f64 {
        self.running / self.answers.max(1e-3) / self.ratio().max(1e-3)
    }

    /// Returns the time spent as a multiple of the usual one, or 1 if nothing is known.
    fn ratio(&self) -> f64 {
        if self.usual_ms > 0.0 { self.worked_ms / self.usual_ms } else { 1.0 }
    }
}

/// Weighted sums at each level of load, as of `decayed_at`.
#[derive(Clone, Copy, Debug, Default)]
struct LevelSums {
    levels: [WeightedSum; LOAD_LEVELS],
    decayed_at: Duration,
}

impl LevelSums {
    fn decay(&mut self, now: Duration, half_life: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = 0.5_f64.powf(elapsed / half_life.as_secs_f64());
        self.levels.iter_mut().for_each(|level| level.scale(factor));
    }

    fn add(&mut self, level: LoadLevel, sum: &PaceSum) {
        if let Some(level) = self.levels.get_mut(usize::from(level)) {
            level.add(sum);
        }
    }

    fn answers(&self) -> f64 {
        self.levels.iter().map(|level| level.answers).sum()
    }

    /// Returns the mean time for which a place is held, towards `prior_ms` with the
    /// weight of `weight` answers.
    fn hold_ms(&self, prior_ms: f64, weight: f64) -> f64 {
        let held_ms: f64 = self.levels.iter().map(|level| level.held_ms).sum();
        (held_ms + prior_ms * weight) / (self.answers() + weight)
    }

    /// Returns the mean of the usual times of the answers.
    fn usual_mean_ms(&self) -> f64 {
        let usual_ms: f64 = self.levels.iter().map(|level| level.usual_ms).sum();
        if usual_ms > 0.0 { usual_ms / self.answers() } else { 0.0 }
    }

    /// Returns the highest level at which clearly more requests are completed than at the
    /// one below. A level without enough answers counts as useful.
    fn useful_level(&self) -> LoadLevel {
        let is_known = |level: &WeightedSum| level.answers >= MIN_LEVEL_WEIGHT;
        let adds_little = |pair: &[WeightedSum]| {
            pair.iter().all(is_known) && pair[1].rate() < pair[0].rate() * MIN_LEVEL_GAIN
        };
        let last_useful = self.levels.windows(2).position(adds_little);
        last_useful.unwrap_or(LOAD_LEVELS - 1) as LoadLevel
    }
}

/// Answers of the engines of all services, by the engine.
#[derive(Debug)]
pub struct PaceBook<K> {
    engines: HashMap<K, LevelSums>,
    services: HashMap<ServiceName, LevelSums>,
}

impl<K> Default for PaceBook<K> {
    fn default() -> PaceBook<K> {
        PaceBook { engines: HashMap::new(), services: HashMap::new() }
    }
}

impl<K: Eq + Hash> PaceBook<K> {
    /// Adds answers that an engine of a service made at a level of load.
    pub fn record(
        &mut self,
        now: Duration,
        engine: K,
        service: &ServiceName,
        level: LoadLevel,
        sum: &PaceSum,
    ) {
        let engine = self.engines.entry(engine).or_default();
        engine.decay(now, HALF_LIFE);
        engine.add(level, sum);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), LevelSums::default());
        }
        if let Some(service) = self.services.get_mut(service) {
            service.decay(now, SERVICE_HALF_LIFE);
            service.add(level, sum);
        }
    }

    /// Iterates over the engines with recent answers and their sums at each level, rounded
    /// to whole answers.
    pub fn sums(&self, now: Duration) -> impl Iterator<Item = (&K, [PaceSum; LOAD_LEVELS])> {
        self.engines.iter().map(move |(engine, sums)| {
            let mut sums = *sums;
            sums.decay(now, HALF_LIFE);
            (engine, sums.levels.map(|level| level.to_sum()))
        })
    }

    /// Forgets an engine that is gone or has started again.
    pub fn remove(&mut self, engine: &K) {
        self.engines.remove(engine);
    }

    /// Removes the engines for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&K) -> bool) {
        self.engines.retain(|engine, _| is_kept(engine));
    }

    /// Returns the estimate for an engine of a service, or `None` if no engine of the
    /// service has answered.
    pub fn estimate(&self, now: Duration, engine: &K, service: &str) -> Option<EnginePace> {
        let service = self.services.get(service)?;
        let hold_ms = service.hold_ms(PRIOR_HOLD_MS, SERVICE_PRIOR_WEIGHT);
        let Some(engine) = self.engines.get(engine) else {
            return Some(EnginePace { hold_ms, ..EnginePace::default() });
        };
        let mut engine = *engine;
        engine.decay(now, HALF_LIFE);
        // Each level is compared with the same level at other engines, so an engine that
        // gets more requests than others does not look slow for that.
        let usual_ms: f64 = engine
            .levels
            .iter()
            .zip(&service.levels)
            .map(|(level, all)| level.usual_ms * all.ratio())
            .sum();
        let worked_ms: f64 = engine.levels.iter().map(|level| level.worked_ms).sum();
        let prior_ms = service.usual_mean_ms() * PRIOR_WEIGHT;
        let slowdown =
            if prior_ms > 0.0 { (worked_ms + prior_ms) / (usual_ms + prior_ms) } else { 1.0 };
        Some(EnginePace {
            hold_ms: engine.hold_ms(hold_ms, PRIOR_WEIGHT),
            slowdown,
            useful_level: engine.useful_level(),
        })
    }
}
