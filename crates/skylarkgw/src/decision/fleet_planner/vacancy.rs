//! Observes for the log which models have no replica, and why they wait for one.
//!
//! The observation compares the ledgers before and after each planning call. It does
//! not influence what is planned.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::fleet_planner::ledger::EngineLedger;
use crate::decision::fleet_planner::{FleetPlanner, STORE_RATE_SHARE};
use crate::decision::model_demand::DemandEstimate;
use crate::decision::model_plan::EngineSnapshot;
use crate::gateway::declaration::{FleetDeclaration, GenerationRule, ModelRule, ServiceName};
use crate::gateway::ports::OrderAnswer;
use crate::gateway::registry::EnginePhase;
use crate::ids::{EndpointId, ModelName};

/// Minimum interval between two events on what a model waits for.
const WAIT_EVENT_INTERVAL: Duration = Duration::from_millis(500);
/// Demand above which a model counts as requested, in slots.
const REQUESTED_SLOTS: f64 = 0.02;
/// Share of the slots up to which the remaining replicas of a displaced model may be
/// used if its successor is not requested.
const FULL_SHARE: f64 = 0.8;

/// Change of what the planner knows about replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementEvent {
    /// A model has no replica any more, or has had none since the coordinator started.
    Vacant {
        /// The model.
        model: ModelName,
        /// Engine that held the last replica, if one is known.
        engine: Option<EndpointId>,
        /// Label of the reason why it is gone.
        cause: &'static str,
    },
    /// What a model without a replica waits for has changed.
    Waiting {
        /// The model.
        model: ModelName,
        /// What it waits for.
        wait: VacancyWait,
        /// Time for which it has had no replica.
        vacant: Duration,
    },
    /// A model has a replica again.
    Filled {
        /// The model.
        model: ModelName,
        /// Engine that holds it.
        engine: EndpointId,
        /// Time for which it had no replica.
        vacant: Duration,
        /// Times that it waited, by label of the reason.
        waits: Vec<(&'static str, Duration)>,
    },
    /// A load, an unload or a reservation of memory has ended.
    ChangeEnded {
        /// Engine that the change concerned.
        engine: EndpointId,
        /// Model that was loaded or unloaded, or for which memory was reserved.
        model: ModelName,
        /// Label of the kind of change.
        kind: &'static str,
        /// Label of the outcome.
        outcome: &'static str,
        /// Time from the begin of the change to its end.
        lasted: Duration,
    },
    /// An engine has not answered an order.
    Unanswered {
        /// Engine that got the order.
        engine: EndpointId,
    },
}

/// What a model without a replica waits for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VacancyWait {
    /// Label of the reason why no change was begun for it.
    pub reason: &'static str,
    /// Label of what a pending change waits for; empty if none is pending.
    pub detail: &'static str,
    /// Engine of the pending change.
    pub engine: Option<EndpointId>,
    /// Number of ready engines of the service.
    pub ready: usize,
    /// Number of these that can receive an order for the model.
    pub idle: usize,
    /// Number of these that could hold the model, after displacing another one if
    /// necessary.
    pub fitting: usize,
    /// Number of loads from the weight store that may begin.
    pub store_loads: u32,
}

/// Change on an engine: its kind, its model and the time at which it began.
type OngoingChange = (&'static str, ModelName, Duration);

/// State of an engine at the last observation.
#[derive(Debug)]
struct EngineObservation {
    started_ms: u64,
    serving: Vec<ModelName>,
    changes: Vec<OngoingChange>,
}

/// Model without a replica.
#[derive(Debug)]
struct ModelVacancy {
    since: Duration,
    wait: VacancyWait,
    logged_at: Option<Duration>,
    logged: (&'static str, &'static str),
    waits: Vec<(&'static str, Duration)>,
    counted_at: Duration,
}

impl ModelVacancy {
    /// Adds the time since the last call to the reason that applied since then.
    fn count_wait(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.counted_at);
        self.counted_at = now;
        match self.waits.iter_mut().find(|(reason, _)| *reason == self.wait.reason) {
            Some((_, total)) => *total += elapsed,
            None if elapsed.is_zero() => {}
            None => self.waits.push((self.wait.reason, elapsed)),
        }
    }
}

/// Observed engines, models without a replica, and events for the log.
#[derive(Debug, Default)]
pub(super) struct VacancyLog {
    engines: HashMap<EndpointId, EngineObservation>,
    vacancies: HashMap<(ServiceName, ModelName), ModelVacancy>,
    /// Answers to the last order for a model, by engine.
    answers: HashMap<EndpointId, OrderAnswer>,
    events: Vec<PlacementEvent>,
}

impl VacancyLog {
    /// Records the answer to an order for a model.
    pub(super) fn record_answer(&mut self, engine: &EndpointId, answer: OrderAnswer) {
        self.answers.insert(engine.clone(), answer);
    }

    /// Records that an engine has not answered an order.
    pub(super) fn record_unanswered(&mut self, engine: &EndpointId) {
        self.events.push(PlacementEvent::Unanswered { engine: engine.clone() });
    }
}

impl FleetPlanner {
    /// Returns what has changed since the last call.
    pub fn take_placement_events(&mut self) -> Vec<PlacementEvent> {
        std::mem::take(&mut self.vacancies.events)
    }

    /// Records which changes have ended and which models have lost or gained their
    /// last replica since the last call.
    pub fn observe_replicas(&mut self, now: Duration, declaration: &FleetDeclaration) {
        let mut lost: HashMap<ModelName, (EndpointId, &'static str)> = HashMap::new();
        let log = &mut self.vacancies;
        for (id, seen) in &log.engines {
            let ledger = self.engines.get(id);
            let same_run = ledger.filter(|ledger| ledger.entry.started_ms == seen.started_ms);
            for change in &seen.changes {
                let answer = log.answers.get(id).copied();
                if let Some(outcome) = change_outcome(change, same_run, answer) {
                    let (kind, model, since) = change.clone();
                    log.events.push(PlacementEvent::ChangeEnded {
                        engine: id.clone(),
                        model,
                        kind,
                        outcome,
                        lasted: now.saturating_sub(since),
                    });
                }
            }
            for model in &seen.serving {
                let cause = match self.evacuated.contains(id) {
                    true => Some("evacuated"),
                    false => loss_cause(model, ledger, same_run),
                };
                if let Some(cause) = cause {
                    lost.insert(model.clone(), (id.clone(), cause));
                }
            }
        }
        log.engines =
            self.engines.iter().map(|(id, ledger)| (id.clone(), observe(ledger))).collect();
        log.answers.retain(|id, _| self.engines.contains_key(id));
        for service in declaration.services.values() {
            let Some(rule) = &service.generation else { continue };
            let mut holders: HashMap<&ModelName, &EndpointId> = HashMap::new();
            for (id, seen) in &log.engines {
                if self.engines[id].entry.service == service.name {
                    holders.extend(seen.serving.iter().map(|model| (model, id)));
                }
            }
            for model in &rule.models {
                let key = (service.name.clone(), model.name.clone());
                match holders.get(&model.name) {
                    Some(engine) => {
                        let Some(mut vacancy) = log.vacancies.remove(&key) else { continue };
                        vacancy.count_wait(now);
                        log.events.push(PlacementEvent::Filled {
                            model: key.1,
                            engine: (*engine).clone(),
                            vacant: now.saturating_sub(vacancy.since),
                            waits: vacancy.waits,
                        });
                    }
                    None if !log.vacancies.contains_key(&key) => {
                        let (engine, cause) = match lost.remove(&model.name) {
                            Some((engine, cause)) => (Some(engine), cause),
                            None => (None, "not-seen"),
                        };
                        let model = key.1.clone();
                        log.events.push(PlacementEvent::Vacant { model, engine, cause });
                        let wait = VacancyWait { reason: "planning", ..VacancyWait::default() };
                        log.vacancies.insert(
                            key,
                            ModelVacancy {
                                since: now,
                                wait,
                                logged_at: None,
                                logged: Default::default(),
                                waits: Vec::new(),
                                counted_at: now,
                            },
                        );
                    }
                    None => {}
                }
            }
        }
    }

    /// Records that no change may be planned now.
    pub fn observe_idle_planner(&mut self, now: Duration) {
        let wait = VacancyWait { reason: "no-order-right", ..VacancyWait::default() };
        for (key, vacancy) in &mut self.vacancies.vacancies {
            set_wait(&mut self.vacancies.events, now, &key.1, vacancy, wait.clone());
        }
    }

    /// Records what each model without a replica waits for, right after a call of
    /// [`FleetPlanner::plan_calls`] with the same arguments.
    pub fn observe_waits(
        &mut self,
        now: Duration,
        declaration: &FleetDeclaration,
        demand: &mut DemandEstimate,
        running: &HashMap<EndpointId, f64>,
        window: Duration,
    ) {
        for service in declaration.services.values() {
            let Some(rule) = &service.generation else { continue };
            let keys = self.vacancies.vacancies.keys();
            let vacant: Vec<ModelName> = keys
                .filter(|(name, _)| *name == service.name)
                .map(|(_, model)| model.clone())
                .collect();
            if vacant.is_empty() {
                continue;
            }
            let limit = (rule.store_loads_per_s * window.as_secs_f64() * STORE_RATE_SHARE) as usize;
            let store_loads = self.store_loads.remaining(limit);
            let mut engines = self.snapshot_engines(&service.name, rule, running);
            for engine in &mut engines {
                // Orders for adapters follow the planned changes and do not prevent them.
                let could_begin = |ledger: &EngineLedger| {
                    can_begin_change(ledger) && !ledger.has_earlier_order(now)
                };
                engine.is_idle = self.engines.get(&engine.id).is_some_and(could_begin);
            }
            let demand = demand.estimate_slots(now, &service.name, self.min_slots(&service.name));
            for name in vacant {
                let Some(model) = rule.models.iter().find(|model| model.name == name) else {
                    continue;
                };
                let pending = self.engines.values().filter(|ledger| {
                    ledger.entry.service == service.name
                        && has_pending(ledger, &name)
                        && ledger.is_ready()
                });
                let pending = pending.min_by(|a, b| {
                    let is_reserved = |ledger: &EngineLedger| !is_loading(ledger, &name);
                    is_reserved(a).cmp(&is_reserved(b)).then(a.entry.id.cmp(&b.entry.id))
                });
                let wait = match pending {
                    Some(ledger) => explain_pending(ledger, &engines, model, store_loads),
                    None => explain_absent(rule, &engines, model, &demand, store_loads),
                };
                let wait = VacancyWait { ready: engines.len(), store_loads, ..wait };
                let key = (service.name.clone(), name.clone());
                if let Some(vacancy) = self.vacancies.vacancies.get_mut(&key) {
                    set_wait(&mut self.vacancies.events, now, &name, vacancy, wait);
                }
            }
        }
    }
}

/// Records what a model waits for, with an event if that has changed and the last one
/// is at least [`WAIT_EVENT_INTERVAL`] old.
fn set_wait(
    events: &mut Vec<PlacementEvent>,
    now: Duration,
    model: &ModelName,
    vacancy: &mut ModelVacancy,
    wait: VacancyWait,
) {
    vacancy.count_wait(now);
    let labels = (wait.reason, wait.detail);
    let is_due = vacancy.logged_at.is_none_or(|at| now.saturating_sub(at) >= WAIT_EVENT_INTERVAL);
    if labels != vacancy.logged && is_due {
        vacancy.logged = labels;
        vacancy.logged_at = Some(now);
        let vacant = now.saturating_sub(vacancy.since);
        let (model, wait) = (model.clone(), wait.clone());
        events.push(PlacementEvent::Waiting { model, wait, vacant });
    }
    vacancy.wait = wait;
}

/// Returns the models that an engine serves and the changes that it carries out.
fn observe(ledger: &EngineLedger) -> EngineObservation {
    let serves = |model: &&ModelName| !is_loading(ledger, model) && !ledger.is_being_removed(model);
    let serving = if ledger.is_ready() {
        ledger.possible_models().into_iter().filter(serves).cloned().collect()
    } else {
        Vec::new()
    };
    EngineObservation {
        started_ms: ledger.entry.started_ms,
        serving,
        changes: ongoing_changes(ledger),
    }
}

/// Returns the changes of an engine that end with an event.
fn ongoing_changes(ledger: &EngineLedger) -> Vec<OngoingChange> {
    let changes = [
        ("load", &ledger.loading),
        ("unload", &ledger.unloading),
        ("reservation", &ledger.reserved),
    ];
    let changes = changes.into_iter().filter_map(|(kind, change)| {
        let (model, since) = change.clone()?;
        Some((kind, model, since))
    });
    changes.collect()
}

/// Returns whether a change of models can begin on an engine without an unanswered
/// order.
fn can_begin_change(ledger: &EngineLedger) -> bool {
    let has_change =
        ledger.loading.is_some() || ledger.draining.is_some() || ledger.unloading.is_some();
    ledger.is_ready() && ledger.is_confirmed && !has_change
}

/// Returns whether an engine loads a model.
fn is_loading(ledger: &EngineLedger, model: &ModelName) -> bool {
    ledger.loading.as_ref().is_some_and(|(loading, _)| loading == model)
}

/// Returns whether an engine loads a model or has memory reserved for it.
fn has_pending(ledger: &EngineLedger, model: &ModelName) -> bool {
    let is_reserved = ledger.reserved.as_ref().is_some_and(|(reserved, _)| reserved == model);
    is_reserved || is_loading(ledger, model)
}

/// Returns the label of how a change ended, or `None` if it is still going on.
fn change_outcome(
    change: &OngoingChange,
    ledger: Option<&EngineLedger>,
    answer: Option<OrderAnswer>,
) -> Option<&'static str> {
    let Some(ledger) = ledger else { return Some("engine-gone") };
    if ongoing_changes(ledger).contains(change) {
        return None;
    }
    let (kind, model, _) = change;
    let holds = ledger.models.contains(model);
    let outcome = match (*kind, answer) {
        ("reservation", _) if holds || is_loading(ledger, model) => "done",
        ("reservation", _) if ledger.reserved.is_some() => "replaced",
        ("reservation", _) => "lapsed",
        ("load", _) if holds => "done",
        ("unload", _) if !holds => "done",
        (_, Some(OrderAnswer::Conflict | OrderAnswer::Rejected | OrderAnswer::Fenced)) => "refused",
        (_, Some(OrderAnswer::Undelivered)) => "undelivered",
        (_, Some(OrderAnswer::Unknown)) => "unknown",
        _ => "not-reported",
    };
    Some(outcome)
}

/// Returns the label of the reason why an engine does not serve a model any more, or
/// `None` if it still does.
///
/// `same_run` is its ledger unless the engine has restarted.
fn loss_cause(
    model: &ModelName,
    ledger: Option<&EngineLedger>,
    same_run: Option<&EngineLedger>,
) -> Option<&'static str> {
    let Some(ledger) = same_run else {
        return Some(if ledger.is_some() { "restarted" } else { "entry-removed" });
    };
    if ledger.entry.phase != EnginePhase::Ready {
        Some("draining")
    } else if ledger.entry.leaves_in.is_some() || ledger.is_leaving {
        Some("leaving")
    } else if ledger.is_being_removed(model) {
        Some("unloaded")
    } else if !ledger.possible_models().contains(model) {
        Some("not-reported")
    } else {
        None
    }
}

/// Returns what a model waits for that an engine loads or has reserved memory for.
fn explain_pending(
    ledger: &EngineLedger,
    engines: &[EngineSnapshot],
    model: &ModelRule,
    store_loads: u32,
) -> VacancyWait {
    let engine = Some(ledger.entry.id.clone());
    if is_loading(ledger, &model.name) {
        let detail = if ledger.has_open_order() {
            "answer"
        } else if ledger.is_confirmed {
            "engine"
        } else {
            "report"
        };
        return VacancyWait { reason: "loading", detail, engine, ..VacancyWait::default() };
    }
    let snapshot = engines.iter().find(|snapshot| snapshot.id == ledger.entry.id);
    let has_copy = snapshot.is_some_and(|snapshot| snapshot.copies.contains(&model.name));
    let has_memory = snapshot.is_some_and(|snapshot| snapshot.free_mb >= model.weights_mb);
    let detail = if ledger.draining.is_some() {
        "drain"
    } else if ledger.unloading.is_some() {
        "unload"
    } else if ledger.loading.is_some() {
        "other-load"
    } else if ledger.has_open_order() {
        "answer"
    } else if !ledger.is_confirmed {
        "report"
    } else if !has_memory {
        "memory"
    } else if !has_copy && store_loads == 0 {
        "store-rate"
    } else {
        "change-limit"
    };
    VacancyWait { reason: "reserved", detail, engine, ..VacancyWait::default() }
}

/// Returns what a model waits for that no engine holds, loads or has reserved memory
/// for.
fn explain_absent(
    rule: &GenerationRule,
    engines: &[EngineSnapshot],
    model: &ModelRule,
    demand: &HashMap<ModelName, f64>,
    store_loads: u32,
) -> VacancyWait {
    let demand_of = |name: &ModelName| demand.get(name).copied().unwrap_or_default();
    let slots = engines.iter().map(|engine| f64::from(engine.slots)).fold(f64::INFINITY, f64::min);
    let mut replicas: HashMap<&ModelName, u32> = HashMap::new();
    for name in engines.iter().flat_map(|engine| &engine.models) {
        *replicas.entry(name).or_default() += 1;
    }
    let sizes_mb: HashMap<&ModelName, f64> =
        rule.models.iter().map(|model| (&model.name, model.weights_mb)).collect();
    let is_requested = demand_of(&model.name) > REQUESTED_SLOTS;
    let fits = |engine: &&EngineSnapshot, may_crowd: bool| {
        let is_victim = |victim: &Arc<str>| {
            let count = replicas.get(victim).copied().unwrap_or_default();
            let freed_mb = sizes_mb.get(victim).copied().unwrap_or_default();
            let need = demand_of(victim) / f64::from(count.max(2) - 1);
            count > 1
                && engine.free_mb + freed_mb >= model.weights_mb
                && (may_crowd || need < slots * FULL_SHARE)
        };
        engine.free_mb >= model.weights_mb || engine.models.iter().any(is_victim)
    };
    let idle: Vec<&EngineSnapshot> = engines
        .iter()
        .filter(|engine| engine.is_idle && !engine.models.contains(&model.name))
        .collect();
    let fitting = || idle.iter().copied().filter(|engine| fits(engine, is_requested));
    let has_copy = |engine: &EngineSnapshot| engine.copies.contains(&model.name);
    let reason = if idle.is_empty() {
        "no-idle-engine"
    } else if !idle.iter().any(|engine| fits(engine, true)) {
        "no-memory"
    } else if fitting().next().is_none() {
        "not-requested"
    } else if store_loads == 0 && !fitting().any(has_copy) {
        "no-store-rate"
    } else {
        "change-limit"
    };
    let fitting = fitting().count();
    VacancyWait { reason, idle: idle.len(), fitting, ..VacancyWait::default() }
}
