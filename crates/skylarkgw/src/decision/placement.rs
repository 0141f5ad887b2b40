//! Placement: which engine holds which model, and the orders that change it.
//!
//! One host holds the lease and sends orders. What an engine may hold is
//! counted in the worst way: all that it reports, every load that may still
//! arrive, and every unload that may not. No order takes the last serving
//! replica of a model away.
//!
//! Engines that check fencing numbers are fenced first. Engines that ignore
//! them get orders only after the intent is recorded in the platform, and a
//! new holder first waits until no order of the last one can still arrive.

mod ledger;
mod plan;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::{EndpointKind, FleetConfiguration, ModelSpec};
use crate::decision::fencing::{FencingToken, LeaseClient};
use crate::decision::shares::{PlatformCall, PlatformOutcome};
use crate::ids::{EndpointId, ModelName, ObjectVersion};

pub use ledger::{EngineLedger, EngineReport, ModelPhase, REPORT_LIFE, ReplicaReport};
pub use plan::{PlannedOrder, plan_orders};

/// Name of the lease on all engines.
pub const LEASE_OBJECT: &str = "placement/lease";
/// Name of the recorded intents.
pub const INTENTS_OBJECT: &str = "placement/intents";
/// Length of the lease.
pub const PLACEMENT_LEASE: Duration = Duration::from_millis(6_000);
/// Time after which an order that was sent is not applied any more, by the
/// interface of the engines.
pub const ORDER_LIFE: Duration = Duration::from_millis(3_000);

const PLAN_INTERVAL: Duration = Duration::from_millis(250);
const DRIFT_DIVISOR: u32 = 10;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Number of an order; rises within a process life, also where the same lease
/// was lost and won back.
pub type OrderNumber = u64;

/// What an order does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Only raises the engine's fencing number.
    Fence,
    /// Loads a model.
    Load {
        /// The model.
        model: ModelName,
        /// Its version.
        version: Arc<str>,
        /// Memory that it takes, in mebibytes.
        memory_mb: u64,
    },
    /// Unloads a model.
    Unload {
        /// The model.
        model: ModelName,
        /// Its version.
        version: Arc<str>,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Fencing number of the holder that sends it.
    pub fence: FencingToken,
    /// Its number.
    pub number: OrderNumber,
    /// What it does.
    pub action: OrderAction,
}

/// How the sending of an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine has taken it.
    Taken,
    /// The engine has refused it.
    Refused,
    /// It may have arrived, or may yet.
    Unknown,
}

/// What the holder does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementEffect {
    /// A call to the platform.
    Platform(PlatformCall),
    /// An order to an engine.
    Order {
        /// The engine.
        engine: EndpointId,
        /// The order.
        order: EngineOrder,
    },
}

/// Orders that were recorded before they were sent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct IntentRecord {
    /// Fencing number of the holder that wrote it.
    pub fence: FencingToken,
    /// Orders that may be under way, by engine.
    pub orders: BTreeMap<EndpointId, EngineOrder>,
}

impl HolderState {
    /// Writes an empty record, after which an earlier holder that was paused
    /// can no longer record an order, and so not send one.
    fn claim_intents(&mut self, expected: ObjectVersion) -> Vec<PlacementEffect> {
        self.step = HolderStep::ClaimingIntents;
        self.busy = true;
        let record = IntentRecord { fence: self.fence, orders: BTreeMap::new() };
        let value = serde_json::to_string(&record).unwrap_or_default().into();
        let name = INTENTS_OBJECT.into();
        vec![PlacementEffect::Platform(PlatformCall::Write { name, expected, value })]
    }

    /// Drops loads beyond the weight store's rate.
    fn spend_load_credit(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        planned: &mut Vec<PlannedOrder>,
    ) {
        let rate = f64::from(configuration.weight_store.loads_per_minute) / SECONDS_PER_MINUTE;
        let elapsed = now.saturating_sub(self.credited_at).as_secs_f64();
        let most = f64::from(configuration.weight_store.in_flight).max(1.0);
        self.load_credit = (self.load_credit + elapsed * rate).min(most);
        self.credited_at = now;
        planned.retain(|order| match order.action {
            OrderAction::Load { .. } if self.load_credit < 1.0 => false,
            OrderAction::Load { .. } => {
                self.load_credit -= 1.0;
                true
            }
            _ => true,
        });
    }
}

#[derive(Debug)]
enum HolderStep {
    /// Waits until no order of an earlier holder can still arrive.
    WaitingOut {
        until: Duration,
    },
    ReadingIntents,
    ClaimingIntents,
    Ready,
    /// Only `fresh` is sent afterwards: the record also lists orders that are
    /// under way, and one of them may be confirmed while it is written.
    WritingIntents {
        fresh: BTreeMap<EndpointId, EngineOrder>,
    },
}

#[derive(Debug)]
struct HolderState {
    fence: FencingToken,
    step: HolderStep,
    intents_version: ObjectVersion,
    load_credit: f64,
    credited_at: Duration,
    busy: bool,
}

/// Places models on engines while it holds the lease.
#[derive(Debug)]
pub struct PlacementMachine {
    lease: LeaseClient,
    ledger: EngineLedger,
    holder: Option<HolderState>,
    last_number: OrderNumber,
    plan_at: Duration,
    lease_call: bool,
}

impl PlacementMachine {
    /// Creates a machine for a process life.
    pub fn new(own: Arc<str>) -> PlacementMachine {
        PlacementMachine {
            lease: LeaseClient::new(LEASE_OBJECT.into(), own, PLACEMENT_LEASE),
            ledger: EngineLedger::default(),
            holder: None,
            last_number: 0,
            plan_at: Duration::ZERO,
            lease_call: false,
        }
    }

    /// Returns the fencing number if this host places models at `now`.
    pub fn fence(&self, now: Duration) -> Option<FencingToken> {
        self.lease.fence(now)
    }

    /// Takes in an engine's report, which was asked for at `asked_at`.
    pub fn report(&mut self, asked_at: Duration, engine: &EndpointId, report: &EngineReport) {
        self.ledger.report(asked_at, engine, report);
    }

    /// Takes in how the sending of an order ended.
    pub fn order_done(&mut self, engine: &EndpointId, number: OrderNumber, outcome: OrderOutcome) {
        if outcome == OrderOutcome::Refused {
            self.ledger.refused(engine, number);
        }
    }

    /// Lets time pass and returns what to do.
    pub fn tick(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        wants: bool,
    ) -> Vec<PlacementEffect> {
        let mut effects = Vec::new();
        if !self.lease_call
            && let Some(call) = self.lease.poll(now, wants)
        {
            self.lease_call = true;
            effects.push(PlacementEffect::Platform(call));
        }
        self.follow_lease(now);
        self.ledger.expire(now);
        if now >= self.plan_at {
            self.plan_at = now + PLAN_INTERVAL;
            self.work(now, configuration, &mut effects);
        }
        effects
    }

    /// Takes in how a call to the platform ended.
    pub fn complete(
        &mut self,
        now: Duration,
        name: &str,
        outcome: PlatformOutcome,
    ) -> Vec<PlacementEffect> {
        if name == LEASE_OBJECT {
            self.lease_call = false;
            let next = self.lease.complete(now, outcome);
            self.lease_call = next.is_some();
            self.follow_lease(now);
            return next.map(PlacementEffect::Platform).into_iter().collect();
        }
        self.intents_done(now, outcome)
    }

    /// Starts anew whenever the fencing number has changed.
    fn follow_lease(&mut self, now: Duration) {
        let fence = self.lease.fence(now);
        if self.holder.as_ref().map(|holder| holder.fence) == fence {
            return;
        }
        self.holder = fence.map(|fence| HolderState {
            fence,
            step: HolderStep::WaitingOut { until: now + ORDER_LIFE + ORDER_LIFE / DRIFT_DIVISOR },
            intents_version: 0,
            load_credit: 1.0,
            credited_at: now,
            busy: false,
        });
        self.ledger.start_anew(now);
    }

    fn work(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let Some(holder) = &mut self.holder else { return };
        match &holder.step {
            HolderStep::WaitingOut { until } if now >= *until => {
                // From here on engines are asked for what they hold now.
                self.ledger.start_anew(now);
                holder.step = HolderStep::ReadingIntents;
            }
            HolderStep::ReadingIntents if !holder.busy => {
                holder.busy = true;
                let call = PlatformCall::Read { name: INTENTS_OBJECT.into() };
                effects.push(PlacementEffect::Platform(call));
            }
            HolderStep::Ready => {
                self.fence_engines(now, configuration, effects);
                self.plan(now, configuration, effects);
            }
            _ => {}
        }
    }

    /// Raises the fencing number of engines that check it before anything else.
    fn fence_engines(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let Some(holder) = &mut self.holder else { return };
        for (engine, spec) in &configuration.endpoints {
            let engine_kind = spec.kind == EndpointKind::Engine && spec.checks_fence;
            if engine_kind && self.ledger.needs_fence(now, engine, holder.fence) {
                self.last_number += 1;
                let order = EngineOrder {
                    fence: holder.fence,
                    number: self.last_number,
                    action: OrderAction::Fence,
                };
                self.ledger.fence_sent(now, engine);
                effects.push(PlacementEffect::Order { engine: engine.clone(), order });
            }
        }
    }

    /// Plans orders, at most one under way for each engine, and records them.
    fn plan(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let Some(holder) = &mut self.holder else { return };
        let mut planned = plan_orders(configuration, &self.ledger, holder.fence);
        planned.retain(|order| !self.ledger.has_order(&order.engine));
        holder.spend_load_credit(now, configuration, &mut planned);
        if planned.is_empty() {
            return;
        }
        let mut fresh = BTreeMap::new();
        for PlannedOrder { engine, action } in planned {
            self.last_number += 1;
            let number = self.last_number;
            fresh.insert(engine, EngineOrder { fence: holder.fence, number, action });
        }
        let mut orders = self.ledger.orders_under_way();
        orders.extend(fresh.clone());
        let record = IntentRecord { fence: holder.fence, orders };
        let value = serde_json::to_string(&record).unwrap_or_default().into();
        holder.step = HolderStep::WritingIntents { fresh };
        effects.push(PlacementEffect::Platform(PlatformCall::Write {
            name: INTENTS_OBJECT.into(),
            expected: holder.intents_version,
            value,
        }));
    }

    /// Returns the models whose next version serves on all its replicas.
    pub fn rolled_out(&self, now: Duration, configuration: &FleetConfiguration) -> Vec<ModelName> {
        let is_ready = |holder: &HolderState| matches!(holder.step, HolderStep::Ready);
        if self.lease.fence(now).is_none() || !self.holder.as_ref().is_some_and(is_ready) {
            return Vec::new();
        }
        let is_out = |(model, spec): &(&ModelName, &ModelSpec)| {
            let next = spec.next.as_ref();
            next.is_some_and(|next| {
                self.ledger.serving(model, next).len() >= spec.replicas as usize
            })
        };
        let models = configuration.models.iter().filter(is_out);
        models.map(|(model, _)| model.clone()).collect()
    }

    fn intents_done(&mut self, now: Duration, outcome: PlatformOutcome) -> Vec<PlacementEffect> {
        let Some(holder) = &mut self.holder else { return Vec::new() };
        match std::mem::replace(&mut holder.step, HolderStep::ReadingIntents) {
            HolderStep::WritingIntents { fresh } => match outcome {
                PlatformOutcome::Written { version } => {
                    holder.intents_version = version;
                    holder.step = HolderStep::Ready;
                    self.send_recorded(now, fresh)
                }
                _ => {
                    holder.busy = false;
                    Vec::new()
                }
            },
            HolderStep::ReadingIntents => {
                holder.busy = false;
                let (version, record) = match outcome {
                    PlatformOutcome::Found { version, value } => {
                        (version, serde_json::from_str::<IntentRecord>(&value).unwrap_or_default())
                    }
                    PlatformOutcome::Missing => (0, IntentRecord::default()),
                    _ => return Vec::new(),
                };
                if record.fence > holder.fence {
                    // A later holder was there already.
                    return Vec::new();
                }
                holder.claim_intents(version)
            }
            HolderStep::ClaimingIntents => {
                if let PlatformOutcome::Written { version } = outcome {
                    holder.intents_version = version;
                    holder.step = HolderStep::Ready;
                }
                holder.busy = false;
                Vec::new()
            }
            step => {
                holder.step = step;
                Vec::new()
            }
        }
    }

    /// Sends what was recorded, if the lease still covers it.
    fn send_recorded(
        &mut self,
        now: Duration,
        orders: BTreeMap<EndpointId, EngineOrder>,
    ) -> Vec<PlacementEffect> {
        let fence = self.lease.fence(now);
        let mut effects = Vec::new();
        for (engine, order) in orders {
            if fence == Some(order.fence) && !self.ledger.has_order(&engine) {
                self.ledger.order_sent(now, &engine, order.clone());
                effects.push(PlacementEffect::Order { engine, order });
            }
        }
        effects
    }
}
