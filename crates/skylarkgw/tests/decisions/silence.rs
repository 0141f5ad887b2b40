//! Sound engines that are silent for about a second and then go on.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::decision::fleet_planner::{FleetPlanner, PlannerCall};
use skylarkgw::decision::model_demand::DemandEstimate;
use skylarkgw::decision::obligations::{ObligationBook, ServiceLog, ServiceTarget, UnservedCause};
use skylarkgw::gateway::ports::{EngineOrder, EngineReport, OrderAnswer, OrderKind};
use skylarkgw::gateway::registry::EngineEntry;

use crate::samples::{MODEL_SERVICE, declaration, engine, ms};

const MODELS: [&str; 2] = ["common", "rare"];
const WINDOW: Duration = Duration::from_secs(5);
/// Interval between two planning calls, in milliseconds.
const STEP_MS: u64 = 100;
/// Longest silence of a sound engine, in milliseconds.
const SILENCE_MS: u64 = 1_500;

/// Planner and outcomes of requests, with a clock in milliseconds.
struct SilentFleet {
    planner: FleetPlanner,
    obligations: ObligationBook,
    log: ServiceLog,
    entries: Vec<Arc<EngineEntry>>,
    now: u64,
}

impl SilentFleet {
    fn new(entries: Vec<Arc<EngineEntry>>) -> SilentFleet {
        SilentFleet {
            planner: FleetPlanner::default(),
            obligations: ObligationBook::new(Duration::ZERO),
            log: ServiceLog::default(),
            entries,
            now: 0,
        }
    }

    /// Advances the clock by [`STEP_MS`] and returns the orders that are due.
    fn step(&mut self) -> Vec<EngineOrder> {
        self.now += STEP_MS;
        let now = ms(self.now);
        self.planner.update_registry(&self.entries);
        self.obligations.update_engines(now, &self.entries);
        self.obligations.record_report(now, self.log.build_report(now));
        self.obligations.check(now, true, |_| None);
        let calls = self.planner.plan_calls(
            now,
            7,
            &declaration(&MODELS),
            &mut DemandEstimate::default(),
            &self.obligations,
            &HashMap::new(),
            WINDOW,
        );
        let orders = calls.into_iter().filter_map(|call| match call {
            PlannerCall::Order(order) => Some(order),
            PlannerCall::Report { .. } => None,
        });
        orders.collect()
    }

    fn report(&mut self, id: &str, models: &[&str], order_count: u64, is_busy: bool) {
        let models = models.iter().map(|name| ((*name).into(), Vec::new())).collect();
        let report =
            EngineReport { models, order_count, is_busy, pending: Vec::new(), started_ms: 1 };
        self.planner.record_report(ms(self.now), &id.into(), report);
    }

    fn answer(&mut self, order: &EngineOrder, answer: OrderAnswer) {
        self.planner.record_answer(ms(self.now), order, answer);
    }
}

/// Guards against an adapter that is not loaded for seconds, because its engine accepted
/// no connection for a moment and the order counted as rejected by it.
#[test]
fn adapter_is_ordered_again_soon_after_an_order_that_was_not_delivered() {
    let mut fleet = SilentFleet::new(vec![engine("e1", &MODELS)]);
    fleet.step();
    fleet.report("e1", &MODELS, 0, false);
    let target = ServiceTarget {
        service: MODEL_SERVICE.into(),
        model: "rare".into(),
        adapter: Some("a1".into()),
    };
    fleet.log.record_unserved(ms(fleet.now), &target, UnservedCause::NoAdapter);
    let orders = fleet.step();
    assert_eq!(orders.len(), 1, "{orders:?}");
    fleet.answer(&orders[0], OrderAnswer::Undelivered);
    let ordered_at = fleet.now;
    fleet.report("e1", &MODELS, 0, false);
    let again = (0..60).find_map(|_| fleet.step().pop()).expect("another order");
    assert_eq!((again.kind, again.adapter), (OrderKind::Load, Some("a1".into())));
    assert!(fleet.now - ordered_at <= SILENCE_MS, "after {} ms", fleet.now - ordered_at);
}

/// Guards against a model that is loaded twice, because its engine was silent after the
/// order to load it.
#[test]
fn model_is_loaded_nowhere_else_while_its_engine_does_not_answer_the_order() {
    let mut fleet = SilentFleet::new(vec![engine("e1", &["common"]), engine("e2", &["common"])]);
    fleet.step();
    fleet.report("e1", &["common"], 0, false);
    fleet.report("e2", &["common"], 0, false);
    let orders = fleet.step();
    assert_eq!(orders.len(), 1, "{orders:?}");
    fleet.answer(&orders[0], OrderAnswer::Unknown);
    for _ in 0..SILENCE_MS / STEP_MS {
        assert_eq!(fleet.step(), Vec::new());
    }
    // The engine carries out the order, and says so in its next report.
    fleet.report(&orders[0].engine, &["common"], 1, true);
    for _ in 0..SILENCE_MS / STEP_MS {
        assert_eq!(fleet.step(), Vec::new());
    }
    fleet.report(&orders[0].engine, &MODELS, 1, false);
    assert_eq!(fleet.step(), Vec::new());
}

/// Guards against orders on false grounds after a report that an engine made before it
/// carried out an order late.
#[test]
fn order_after_a_report_from_before_a_late_order_expects_what_it_showed() {
    let mut fleet = SilentFleet::new(vec![engine("e1", &["common"]), engine("e2", &["common"])]);
    fleet.step();
    fleet.report("e1", &["common"], 0, false);
    fleet.report("e2", &["common"], 0, false);
    let first = fleet.step().pop().expect("an order");
    fleet.answer(&first, OrderAnswer::Unknown);
    fleet.now += SILENCE_MS;
    fleet.report(&first.engine, &["common"], 0, false);
    let second = fleet.step().pop().expect("the order again");
    assert_eq!(second.engine, first.engine);
    assert_eq!(second.expected_count, first.expected_count);
}

/// Guards against a sound engine that is suspect, because its clients left while it was
/// silent.
#[test]
fn engine_that_is_silent_for_a_second_is_not_suspect() {
    let mut fleet = SilentFleet::new(vec![engine("e1", &MODELS), engine("e2", &MODELS)]);
    fleet.step();
    let id = "e1".into();
    let target =
        ServiceTarget { service: MODEL_SERVICE.into(), model: "rare".into(), adapter: None };
    for _ in 0..=SILENCE_MS / STEP_MS {
        fleet.log.record_failed_attempt(ms(fleet.now), &id, false);
        fleet.log.record_unserved(ms(fleet.now), &target, UnservedCause::NoService);
        fleet.step();
        assert!(!fleet.obligations.is_suspect(&id), "at {} ms", fleet.now);
    }
    fleet.log.record_served_attempt(ms(fleet.now), &id);
    fleet.log.record_served(ms(fleet.now), &target);
    for _ in 0..SILENCE_MS / STEP_MS {
        fleet.step();
        assert!(!fleet.obligations.is_suspect(&id), "at {} ms", fleet.now);
    }
    assert_eq!(fleet.obligations.count_unserved(), 0);
}
