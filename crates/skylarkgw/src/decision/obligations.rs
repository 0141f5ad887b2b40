//! Models and adapters that are requested and not served.
//!
//! Hosts see how requests end, and the coordinator decides where models are loaded. A
//! replica that is listed need not serve: its engine may have ended, fail, be full or
//! turn requests away. A target that no host serves is an obligation, which placement
//! fulfils in order of age. An engine that serves none of the requests sent to it is
//! suspect, and its replicas fulfil nothing.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::dispatch::outcomes::{
    OUTCOME_LIFETIME, OutcomeLog, OutcomeReport, OutcomeState, UnservedRun,
};
use crate::decision::invariant::Invariant;
use crate::gateway::declaration::{GenerationRule, ServiceName};
use crate::gateway::registry::EngineEntry;
use crate::ids::{EndpointId, ModelName};

/// Time without service after which a target is logged.
const LOGGED_TIME: Duration = Duration::from_secs(2);
/// Part of [`service_bound`] for the detection of a lost replica, the unload of another
/// model and the listing of the new replica.
const SERVICE_MARGIN: Duration = Duration::from_secs(7);

/// Returns the time within which a requested target is served while orders can be given
/// and `unserved` models are not served.
///
/// The entries of its engines lapse, an engine finishes its order (one load), gives up
/// another model, loads the model, and is listed. Other models may be first at the
/// weight store. Adapters do not use it, but may wait for their model.
pub fn service_bound(rule: &GenerationRule, unserved: usize) -> Duration {
    let longest = rule.models.iter().map(|model| model.store_load).max().unwrap_or_default();
    let store_s = unserved as f64 / rule.store_loads_per_s.max(f64::MIN_POSITIVE);
    // A service without a rate loads from copies only, so the queue does not count.
    let queue = Duration::try_from_secs_f64(store_s).unwrap_or_default();
    longest * 2 + SERVICE_MARGIN + queue
}

/// A model, or one of its adapters, that requests address.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceTarget {
    /// Service that generates the tokens.
    pub service: ServiceName,
    /// Name of the model.
    pub model: ModelName,
    /// Name of the adapter, if the requests name one.
    pub adapter: Option<Arc<str>>,
}

impl ServiceTarget {
    /// Returns the model as a target of its own, if this is an adapter.
    fn model_target(&self) -> Option<ServiceTarget> {
        self.adapter.is_some().then(|| ServiceTarget { adapter: None, ..self.clone() })
    }
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnservedCause {
    /// No engine could be selected, or the attempts failed.
    NoService,
    /// An engine holds the model, and none was found in time that has the adapter.
    NoAdapter,
    /// The engines that hold the target were full.
    Overloaded,
}

/// Outcomes of the requests of one host, by target and by engine.
#[derive(Debug, Default)]
pub struct ServiceLog {
    targets: OutcomeLog<ServiceTarget>,
    engines: OutcomeLog<EndpointId>,
}

/// A host's part of the obligations, sent to the coordinator in each exchange.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceReport {
    /// Outcomes by model and adapter.
    pub targets: Vec<OutcomeReport<ServiceTarget>>,
    /// Outcomes by engine.
    pub engines: Vec<OutcomeReport<EndpointId>>,
}

impl ServiceLog {
    /// Records that an answer for a target has begun. A served adapter proves that its
    /// model is served as well.
    pub fn record_served(&mut self, now: Duration, target: &ServiceTarget) {
        self.targets.record_served(now, target);
        if let Some(model) = target.model_target() {
            self.targets.record_served(now, &model);
        }
    }

    /// Records a request for a target that was not served. Unless only the adapter is
    /// missing, its model was not served either.
    pub fn record_unserved(&mut self, now: Duration, target: &ServiceTarget, cause: UnservedCause) {
        let is_overload = cause == UnservedCause::Overloaded;
        self.targets.record_unserved(now, target, is_overload);
        let model = target.model_target().filter(|_| cause != UnservedCause::NoAdapter);
        if let Some(model) = model {
            self.targets.record_unserved(now, &model, is_overload);
        }
    }

    /// Records that an engine served an attempt.
    pub fn record_served_attempt(&mut self, now: Duration, engine: &EndpointId) {
        self.engines.record_served(now, engine);
    }

    /// Records that an engine did not serve an attempt; `is_refusal` is whether it stated
    /// that it had not run it, as a full engine does.
    pub fn record_failed_attempt(&mut self, now: Duration, engine: &EndpointId, is_refusal: bool) {
        self.engines.record_unserved(now, engine, is_refusal);
    }

    /// Builds the report of the next exchange.
    pub fn build_report(&mut self, now: Duration) -> ServiceReport {
        ServiceReport {
            targets: self.targets.build_report(now),
            engines: self.engines.build_report(now),
        }
    }
}

/// A target that is requested and not served by any host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceObligation {
    /// Name of the model.
    pub model: ModelName,
    /// Name of the adapter, if the requests name one.
    pub adapter: Option<Arc<str>>,
    /// Requests that were not served.
    pub run: UnservedRun,
}

/// A change of an obligation, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ObligationEvent {
    /// A target has not been served for two seconds.
    Unserved {
        /// The target.
        target: ServiceTarget,
        /// Number of requests that were not served.
        requests: u32,
    },
    /// A target that had been logged as unserved is served again.
    Served {
        /// The target.
        target: ServiceTarget,
        /// Time from the first unserved request to the first answer.
        waited: Duration,
    },
    /// A target is still requested and has not been served within [`service_bound`].
    Late {
        /// The target.
        target: ServiceTarget,
        /// Time without service in which orders could be given.
        waited: Duration,
        /// The bound.
        bound: Duration,
    },
    /// An engine serves none of the requests sent to it, or does so again.
    Suspect {
        /// The engine.
        engine: EndpointId,
        /// Whether it is suspect now.
        is_suspect: bool,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetState {
    outcome: OutcomeState,
    /// Time in which orders could be given until the first unserved request was known.
    orderable_before: Duration,
    is_logged: bool,
    is_late: bool,
}

/// The outcomes that all hosts reported, as the coordinator keeps them.
#[derive(Debug, Default)]
pub struct ObligationBook {
    targets: HashMap<ServiceTarget, TargetState>,
    engines: HashMap<EndpointId, OutcomeState>,
    /// Start of each engine in the registry, and the time at which it was first seen.
    engine_runs: HashMap<EndpointId, (u64, Duration)>,
    suspects: HashSet<EndpointId>,
    /// Time of the last request for each model.
    requested_at: HashMap<(ServiceName, ModelName), Duration>,
    /// Time in which orders could be given, until `counted_at`.
    orderable: Duration,
    counted_at: Duration,
    /// Time at which the coordinator started.
    started_at: Duration,
    events: Vec<ObligationEvent>,
}

impl ObligationBook {
    /// Creates the book of a coordinator that starts at `now`.
    pub fn new(now: Duration) -> ObligationBook {
        ObligationBook { counted_at: now, started_at: now, ..ObligationBook::default() }
    }

    /// Records the outcomes that a host reported.
    pub fn record_report(&mut self, now: Duration, report: ServiceReport) {
        for report in report.targets {
            let state = self.targets.entry(report.key.clone()).or_default();
            let was_served = state.outcome.unserved.is_none();
            let ended = state.outcome.merge_report(now, &report);
            if was_served || ended.is_some() {
                state.orderable_before = self.orderable;
                state.is_late = false;
            }
            let requested_at = state.outcome.requested_at();
            let model = (report.key.service.clone(), report.key.model.clone());
            let known = self.requested_at.entry(model).or_default();
            *known = (*known).max(requested_at);
            if let Some(run) = ended.filter(|_| std::mem::take(&mut state.is_logged)) {
                let waited = state.outcome.served_at.saturating_sub(run.first_at);
                self.events.push(ObligationEvent::Served { target: report.key, waited });
            }
        }
        for report in report.engines {
            self.engines.entry(report.key.clone()).or_default().merge_report(now, &report);
        }
    }

    /// Takes over which engines are registered. A restarted engine is judged anew.
    pub fn update_engines(&mut self, now: Duration, engines: &[Arc<EngineEntry>]) {
        let known = std::mem::take(&mut self.engine_runs);
        let runs = engines.iter().map(|entry| {
            let run = known.get(&entry.id).copied();
            let run = run.filter(|(started_ms, _)| *started_ms == entry.started_ms);
            (entry.id.clone(), run.unwrap_or((entry.started_ms, now)))
        });
        self.engine_runs = runs.collect();
    }

    /// Returns the time from which failures count that hosts report: a new coordinator does
    /// not know what its predecessor has repaired since.
    pub fn judged_from(&self) -> Duration {
        self.started_at
    }

    /// Advances the time in which orders can be given, logs targets that are not served,
    /// and checks them against [`service_bound`].
    ///
    /// `find_rule` returns the rule of a service that generates tokens.
    pub fn check<'a>(
        &mut self,
        now: Duration,
        can_order: bool,
        find_rule: impl Fn(&ServiceName) -> Option<&'a GenerationRule>,
    ) {
        let elapsed = now.saturating_sub(self.counted_at);
        self.counted_at = now;
        if can_order {
            self.orderable += elapsed;
        }
        let is_recent = |at: Duration| now.saturating_sub(at) < OUTCOME_LIFETIME;
        self.requested_at.retain(|_, at| is_recent(*at));
        self.targets.retain(|_, state| is_recent(state.outcome.requested_at()));
        self.engines.retain(|_, outcome| is_recent(outcome.requested_at()));
        self.update_suspects();
        let unserved_models = self
            .targets
            .iter()
            .filter(|(target, state)| target.adapter.is_none() && state.outcome.unserved.is_some());
        let unserved = unserved_models.count();
        let mut bounds: HashMap<ServiceName, Option<Duration>> = HashMap::new();
        for (target, state) in &mut self.targets {
            let Some(run) = state.outcome.unserved else { continue };
            if !state.is_logged && run.last_at.saturating_sub(run.first_at) >= LOGGED_TIME {
                state.is_logged = true;
                let (target, requests) = (target.clone(), run.requests);
                self.events.push(ObligationEvent::Unserved { target, requests });
            }
            let waited = self.orderable.saturating_sub(state.orderable_before);
            let is_requested = now.saturating_sub(run.last_at) < LOGGED_TIME;
            let bound = match bounds.get(&target.service) {
                Some(bound) => *bound,
                None => {
                    let bound =
                        find_rule(&target.service).map(|rule| service_bound(rule, unserved));
                    bounds.insert(target.service.clone(), bound);
                    bound
                }
            };
            let Some(bound) = bound else { continue };
            let is_in_time = waited <= bound || !is_requested;
            if !state.is_late && !Invariant::TargetServedInBound.check(is_in_time) {
                state.is_late = true;
                let target = target.clone();
                self.events.push(ObligationEvent::Late { target, waited, bound });
            }
        }
    }

    fn update_suspects(&mut self) {
        let failing = self.engines.iter().filter(|(engine, outcome)| {
            let seen_at = self.engine_runs.get(*engine).map(|(_, seen_at)| *seen_at);
            let judged_from = seen_at.map(|seen_at| seen_at.max(self.started_at));
            let run = outcome.unserved.zip(judged_from);
            run.is_some_and(|(run, judged_from)| run.is_failing(judged_from))
        });
        let suspects: HashSet<EndpointId> = failing.map(|(engine, _)| engine.clone()).collect();
        for engine in suspects.symmetric_difference(&self.suspects) {
            let is_suspect = suspects.contains(engine);
            self.events.push(ObligationEvent::Suspect { engine: engine.clone(), is_suspect });
        }
        self.suspects = suspects;
    }

    /// Returns whether an engine serves none of the requests sent to it.
    pub fn is_suspect(&self, engine: &EndpointId) -> bool {
        self.suspects.contains(engine)
    }

    /// Returns the obligations of a service, oldest first.
    pub fn list_obligations(&self, service: &ServiceName) -> Vec<ServiceObligation> {
        let of_service = self.targets.iter().filter(|(target, _)| target.service == *service);
        let mut obligations: Vec<ServiceObligation> = of_service
            .filter_map(|(target, state)| {
                let (model, adapter) = (target.model.clone(), target.adapter.clone());
                Some(ServiceObligation { model, adapter, run: state.outcome.unserved? })
            })
            .collect();
        obligations.sort_by(|a, b| {
            let order = a.run.first_at.cmp(&b.run.first_at);
            order.then_with(|| (&a.model, &a.adapter).cmp(&(&b.model, &b.adapter)))
        });
        obligations
    }

    /// Returns whether a model was requested of late, as far as this coordinator knows.
    pub fn is_requested(&self, service: &ServiceName, model: &ModelName) -> bool {
        self.requested_at.contains_key(&(service.clone(), model.clone()))
    }

    /// Returns whether the coordinator has existed for so long that a model of which it
    /// knows no request has not been requested of late.
    pub fn has_observed_idleness(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) >= OUTCOME_LIFETIME
    }

    /// Returns the number of targets that are requested and not served.
    pub fn count_unserved(&self) -> usize {
        self.targets.values().filter(|state| state.outcome.unserved.is_some()).count()
    }

    /// Returns what has changed since the last call.
    pub fn take_events(&mut self) -> Vec<ObligationEvent> {
        std::mem::take(&mut self.events)
    }
}
