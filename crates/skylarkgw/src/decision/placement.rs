//! Places models on engines and issues the orders that load and unload them.
//!
//! The host that holds the placement lease sends all orders. Memory is
//! accounted for in the worst case: an engine is assumed to hold everything
//! that it reports, plus every load that may still arrive, and no pending
//! unload is assumed to have succeeded. No order removes the last serving
//! replica of a declared model.
//!
//! Engines that check fencing tokens are fenced before they receive any other
//! order. Every load and unload is recorded as an intent in the platform before
//! it is sent, which also protects engines that ignore fencing tokens. A new
//! holder first waits until no order of the previous holder can still arrive.

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

pub use ledger::{EngineReport, FleetLedger, ModelPhase, REPORT_MAX_AGE, ReplicaReport};
pub use plan::{PlannedOrder, plan_orders};

/// Platform object that stores the lease for placing models on all engines.
pub const LEASE_OBJECT: &str = "placement/lease";
/// Platform object that stores the [`IntentRecord`].
pub const INTENTS_OBJECT: &str = "placement/intents";
/// Duration of the placement lease.
pub const LEASE_DURATION: Duration = Duration::from_millis(6_000);
/// Time after which an engine no longer applies an order, counted from its sending.
///
/// The engine interface guarantees this bound.
pub const ORDER_LIFETIME: Duration = Duration::from_millis(3_000);

/// Interval between two planning passes.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Divisor of the order lifetime that gives the margin for clock drift between this
/// host and the engines.
const DRIFT_DIVISOR: u32 = 10;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Sequence number of an order.
///
/// It increases for as long as the process runs, including when the lease is
/// lost and acquired again.
pub type OrderNumber = u64;

/// Action that an engine takes on an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Raises the engine's fencing token and changes nothing else.
    Fence,
    /// Loads a model.
    Load {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: Arc<str>,
        /// Memory that the replica takes, in mebibytes.
        memory_mb: u64,
    },
    /// Unloads a model.
    Unload {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: Arc<str>,
    },
}

/// Order of the placement lease holder to an engine, with a fencing token and a
/// sequence number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Fencing token of the lease holder that sends the order.
    pub fence: FencingToken,
    /// Sequence number of the order.
    pub number: OrderNumber,
    /// Action that the engine takes.
    pub action: OrderAction,
}

/// Result of sending an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order, or the order was not delivered. It will not be
    /// applied.
    Refused,
    /// The result is unknown: the order may have arrived or may still arrive.
    Unknown,
}

/// Side effect that the lease holder requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementEffect {
    /// Call the platform.
    Platform(PlatformCall),
    /// Send an order to an engine.
    Order {
        /// Engine that receives the order.
        engine: EndpointId,
        /// Order to send.
        order: EngineOrder,
    },
}

/// Orders that are recorded in the platform before they are sent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct IntentRecord {
    /// Fencing token of the lease holder that wrote the record.
    pub fence: FencingToken,
    /// Pending orders, by engine.
    pub orders: BTreeMap<EndpointId, EngineOrder>,
}

impl HolderState {
    /// Overwrites the intent record with an empty one.
    ///
    /// The write changes the version of the record, so a previous holder that
    /// was paused can no longer record an order and therefore cannot send one.
    fn claim_intent_record(&mut self, expected: ObjectVersion) -> Vec<PlacementEffect> {
        self.step = HolderStep::ClaimingIntents;
        self.has_call = true;
        let record = IntentRecord { fence: self.fence, orders: BTreeMap::new() };
        let value = serde_json::to_string(&record).unwrap_or_default().into();
        let name = INTENTS_OBJECT.into();
        vec![PlacementEffect::Platform(PlatformCall::Write { name, expected, value })]
    }

    /// Drops the planned loads that exceed the rate of the weight store.
    ///
    /// Loads take tokens from a token bucket that refills at `loads_per_minute` and
    /// holds up to `in_flight` tokens, but at least one.
    fn take_load_tokens(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        planned: &mut Vec<PlannedOrder>,
    ) {
        let tokens_per_s =
            f64::from(configuration.weight_store.loads_per_minute) / SECONDS_PER_MINUTE;
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let capacity = f64::from(configuration.weight_store.in_flight).max(1.0);
        self.load_tokens = (self.load_tokens + elapsed * tokens_per_s).min(capacity);
        self.refilled_at = now;
        planned.retain(|order| match order.action {
            OrderAction::Load { .. } if self.load_tokens < 1.0 => false,
            OrderAction::Load { .. } => {
                self.load_tokens -= 1.0;
                true
            }
            _ => true,
        });
    }
}

/// Progress of a lease holder from acquiring the lease to sending orders.
#[derive(Debug)]
enum HolderStep {
    /// Waiting until no order of a previous holder can still arrive.
    AwaitingExpiry { until: Duration },
    /// Reading the intent record for its version and fencing token.
    ReadingIntents,
    /// Overwriting the intent record to lock out previous holders.
    ClaimingIntents,
    /// Fencing engines and planning orders.
    Ready,
    /// Recording intents.
    ///
    /// Only `new_orders` are sent after the write. The record also lists pending
    /// orders, which are not sent again: one of them may be confirmed during
    /// the write.
    WritingIntents { new_orders: BTreeMap<EndpointId, EngineOrder> },
}

/// State of this host while it holds the lease.
#[derive(Debug)]
struct HolderState {
    fence: FencingToken,
    step: HolderStep,
    /// Version of the intent record that this host wrote last.
    intents_version: ObjectVersion,
    /// Tokens in the bucket for loads, as of `refilled_at`.
    load_tokens: f64,
    refilled_at: Duration,
    /// Whether a read or a claim of the intent record awaits its outcome.
    has_call: bool,
}

/// State machine that places models on engines while this host holds the lease.
#[derive(Debug)]
pub struct PlacementMachine {
    lease: LeaseClient,
    ledger: FleetLedger,
    holder: Option<HolderState>,
    last_number: OrderNumber,
    next_plan_at: Duration,
    has_lease_call: bool,
}

impl PlacementMachine {
    /// Creates a machine for one incarnation of the host.
    ///
    /// `own_name` is the name under which this incarnation holds the lease.
    pub fn new(own_name: Arc<str>) -> PlacementMachine {
        PlacementMachine {
            lease: LeaseClient::new(LEASE_OBJECT.into(), own_name, LEASE_DURATION),
            ledger: FleetLedger::default(),
            holder: None,
            last_number: 0,
            next_plan_at: Duration::ZERO,
            has_lease_call: false,
        }
    }

    /// Returns the fencing token if this host holds the placement lease at `now`.
    pub fn token(&self, now: Duration) -> Option<FencingToken> {
        self.lease.token(now)
    }

    /// Records an engine's report that was requested at `requested_at`.
    pub fn record_report(
        &mut self,
        requested_at: Duration,
        engine: &EndpointId,
        report: &EngineReport,
    ) {
        self.ledger.record_report(requested_at, engine, report);
    }

    /// Records the result of sending an order.
    pub fn record_outcome(
        &mut self,
        engine: &EndpointId,
        number: OrderNumber,
        outcome: OrderOutcome,
    ) {
        if outcome == OrderOutcome::Refused {
            self.ledger.drop_refused_order(engine, number);
        }
    }

    /// Advances the machine to `now` and returns the effects to carry out.
    ///
    /// `wants_lease` states whether this host should acquire or keep the lease.
    pub fn tick(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        wants_lease: bool,
    ) -> Vec<PlacementEffect> {
        let mut effects = Vec::new();
        if !self.has_lease_call
            && let Some(call) = self.lease.poll(now, wants_lease)
        {
            self.has_lease_call = true;
            effects.push(PlacementEffect::Platform(call));
        }
        self.update_holder(now);
        self.ledger.drop_expired_orders(now);
        if now >= self.next_plan_at {
            self.next_plan_at = now + PLAN_INTERVAL;
            self.advance(now, configuration, &mut effects);
        }
        effects
    }

    /// Handles the outcome of a call to the platform on the object `name` and
    /// returns the effects to carry out.
    pub fn complete_call(
        &mut self,
        now: Duration,
        name: &str,
        outcome: PlatformOutcome,
    ) -> Vec<PlacementEffect> {
        if name == LEASE_OBJECT {
            self.has_lease_call = false;
            let next = self.lease.complete(now, outcome);
            self.has_lease_call = next.is_some();
            self.update_holder(now);
            return next.map(PlacementEffect::Platform).into_iter().collect();
        }
        self.complete_intents_call(now, outcome)
    }

    /// Resets the holder state and the ledger if the lease was acquired or lost, as
    /// the fencing token shows.
    fn update_holder(&mut self, now: Duration) {
        let fence = self.lease.token(now);
        if self.holder.as_ref().map(|holder| holder.fence) == fence {
            return;
        }
        self.holder = fence.map(|fence| HolderState {
            fence,
            step: HolderStep::AwaitingExpiry {
                until: now + ORDER_LIFETIME + ORDER_LIFETIME / DRIFT_DIVISOR,
            },
            intents_version: 0,
            load_tokens: 1.0,
            refilled_at: now,
            has_call: false,
        });
        self.ledger.reset(now);
    }

    /// Performs the next step of the holder, if this host holds the lease.
    fn advance(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let Some(holder) = &mut self.holder else { return };
        match &holder.step {
            HolderStep::AwaitingExpiry { until } if now >= *until => {
                // Discards reports that may predate a late order of the
                // previous holder.
                self.ledger.reset(now);
                holder.step = HolderStep::ReadingIntents;
            }
            HolderStep::ReadingIntents if !holder.has_call => {
                holder.has_call = true;
                let call = PlatformCall::Read { name: INTENTS_OBJECT.into() };
                effects.push(PlacementEffect::Platform(call));
            }
            HolderStep::Ready => {
                self.fence_engines(now, configuration, effects);
                self.plan_and_record(now, configuration, effects);
            }
            _ => {}
        }
    }

    /// Fences every engine that checks fencing tokens and has not yet reported
    /// the current one, repeatedly until it does.
    fn fence_engines(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let Some(holder) = &mut self.holder else { return };
        for (engine, spec) in &configuration.endpoints {
            let is_fenceable = spec.kind == EndpointKind::Engine && spec.checks_fence;
            if is_fenceable && self.ledger.needs_fence(now, engine, holder.fence) {
                self.last_number += 1;
                let order = EngineOrder {
                    fence: holder.fence,
                    number: self.last_number,
                    action: OrderAction::Fence,
                };
                self.ledger.record_fence_sent(now, engine);
                effects.push(PlacementEffect::Order { engine: engine.clone(), order });
            }
        }
    }

    /// Plans orders and writes them to the intent record.
    ///
    /// At most one order is pending for each engine.
    fn plan_and_record(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let Some(holder) = &mut self.holder else { return };
        let mut planned = plan_orders(configuration, &self.ledger, holder.fence);
        planned.retain(|order| !self.ledger.has_pending_order(&order.engine));
        holder.take_load_tokens(now, configuration, &mut planned);
        if planned.is_empty() {
            return;
        }
        let mut new_orders = BTreeMap::new();
        for PlannedOrder { engine, action } in planned {
            self.last_number += 1;
            let number = self.last_number;
            new_orders.insert(engine, EngineOrder { fence: holder.fence, number, action });
        }
        let mut orders = self.ledger.pending_orders();
        orders.extend(new_orders.clone());
        let record = IntentRecord { fence: holder.fence, orders };
        let value = serde_json::to_string(&record).unwrap_or_default().into();
        holder.step = HolderStep::WritingIntents { new_orders };
        effects.push(PlacementEffect::Platform(PlatformCall::Write {
            name: INTENTS_OBJECT.into(),
            expected: holder.intents_version,
            value,
        }));
    }

    /// Returns the models whose next version is served by the declared number of
    /// replicas, or none unless this host holds the lease and can send orders.
    pub fn rolled_out_models(
        &self,
        now: Duration,
        configuration: &FleetConfiguration,
    ) -> Vec<ModelName> {
        let is_ready = |holder: &HolderState| matches!(holder.step, HolderStep::Ready);
        if self.lease.token(now).is_none() || !self.holder.as_ref().is_some_and(is_ready) {
            return Vec::new();
        }
        let is_rolled_out = |(model, spec): &(&ModelName, &ModelSpec)| {
            let next = spec.next.as_ref();
            next.is_some_and(|next| {
                let serving = self.ledger.count_serving_engines(configuration, model, next);
                serving >= spec.replicas as usize
            })
        };
        let models = configuration.models.iter().filter(is_rolled_out);
        models.map(|(model, _)| model.clone()).collect()
    }

    /// Handles the outcome of a read or write of the intent record.
    fn complete_intents_call(
        &mut self,
        now: Duration,
        outcome: PlatformOutcome,
    ) -> Vec<PlacementEffect> {
        let Some(holder) = &mut self.holder else { return Vec::new() };
        match std::mem::replace(&mut holder.step, HolderStep::ReadingIntents) {
            HolderStep::WritingIntents { new_orders } => match outcome {
                PlatformOutcome::Written { version } => {
                    holder.intents_version = version;
                    holder.step = HolderStep::Ready;
                    self.send_recorded_orders(now, new_orders)
                }
                _ => {
                    holder.has_call = false;
                    Vec::new()
                }
            },
            HolderStep::ReadingIntents => {
                holder.has_call = false;
                let (version, record) = match outcome {
                    PlatformOutcome::Found { version, value } => {
                        (version, serde_json::from_str::<IntentRecord>(&value).unwrap_or_default())
                    }
                    PlatformOutcome::Missing => (0, IntentRecord::default()),
                    _ => return Vec::new(),
                };
                if record.fence > holder.fence {
                    // A later holder has written the record.
                    return Vec::new();
                }
                holder.claim_intent_record(version)
            }
            HolderStep::ClaimingIntents => {
                if let PlatformOutcome::Written { version } = outcome {
                    holder.intents_version = version;
                    holder.step = HolderStep::Ready;
                }
                holder.has_call = false;
                Vec::new()
            }
            step => {
                holder.step = step;
                Vec::new()
            }
        }
    }

    /// Sends the recorded orders for which this host still holds the lease.
    fn send_recorded_orders(
        &mut self,
        now: Duration,
        orders: BTreeMap<EndpointId, EngineOrder>,
    ) -> Vec<PlacementEffect> {
        let fence = self.lease.token(now);
        let mut effects = Vec::new();
        for (engine, order) in orders {
            if fence == Some(order.fence) && !self.ledger.has_pending_order(&engine) {
                self.ledger.record_order(now, &engine, order.clone());
                effects.push(PlacementEffect::Order { engine, order });
            }
        }
        effects
    }
}
