//! Tests of the events on models without a replica.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::decision::fleet_planner::{FleetPlanner, PlacementEvent, PlannerCall};
use skylarkgw::decision::model_demand::DemandEstimate;
use skylarkgw::decision::obligations::ObligationBook;
use skylarkgw::gateway::ports::{EngineReport, OrderAnswer};
use skylarkgw::gateway::registry::EngineEntry;

use crate::samples::{declaration, engine, ms};

const MODELS: [&str; 2] = ["common", "rare"];
const WINDOW: Duration = Duration::from_secs(5);

/// Planner with a clock in milliseconds.
#[derive(Default)]
struct ObservedPlanner {
    planner: FleetPlanner,
    now: u64,
}

impl ObservedPlanner {
    /// Advances the clock by 500 ms, plans with the given engines, and returns the calls
    /// and the events.
    fn step(&mut self, engines: &[Arc<EngineEntry>]) -> (Vec<PlannerCall>, Vec<PlacementEvent>) {
        self.now += 500;
        let now = ms(self.now);
        let (declaration, running) = (declaration(&MODELS), HashMap::new());
        let mut demand = DemandEstimate::default();
        self.planner.update_registry(engines);
        self.planner.observe_replicas(now, &declaration);
        let obligations = ObligationBook::default();
        let calls = self.planner.plan_calls(
            now,
            7,
            &declaration,
            &mut demand,
            &obligations,
            &running,
            WINDOW,
        );
        self.planner.observe_replicas(now, &declaration);
        self.planner.observe_waits(now, &declaration, &mut demand, &running, WINDOW);
        (calls, self.planner.take_placement_events())
    }

    fn report(&mut self, id: &str, models: &[&str], order_count: u64) {
        let models = models.iter().map(|name| ((*name).into(), Vec::new())).collect();
        let report = EngineReport {
            models,
            order_count,
            is_busy: false,
            pending: Vec::new(),
            started_ms: 1,
        };
        self.planner.record_report(ms(self.now), &id.into(), report);
    }

    /// Records the answer to the only order among the calls.
    fn answer(&mut self, calls: &[PlannerCall], answer: OrderAnswer) {
        let orders = calls.iter().filter_map(|call| match call {
            PlannerCall::Order(order) => Some(order),
            PlannerCall::Report { .. } => None,
        });
        let orders: Vec<_> = orders.collect();
        assert_eq!(orders.len(), 1, "{calls:?}");
        self.planner.record_answer(ms(self.now), orders[0], answer);
    }
}

fn reasons(events: &[PlacementEvent]) -> Vec<&'static str> {
    let reasons = events.iter().filter_map(|event| match event {
        PlacementEvent::Waiting { wait, .. } => Some(wait.reason),
        _ => None,
    });
    reasons.collect()
}

#[test]
fn model_of_an_ended_engine_is_observed_until_another_one_holds_it() {
    let mut planner = ObservedPlanner::default();
    let engines = [engine("e1", &["common", "rare"]), engine("e2", &["common"])];
    assert_eq!(planner.step(&engines).1, []);
    planner.report("e2", &["common"], 0);
    let (calls, events) = planner.step(&engines[1..]);
    let vacant = PlacementEvent::Vacant {
        model: "rare".into(),
        engine: Some("e1".into()),
        cause: "entry-removed",
    };
    assert_eq!(events[0], vacant);
    assert_eq!(reasons(&events), ["loading"]);
    planner.answer(&calls, OrderAnswer::Accepted);
    let (_, events) = planner.step(&engines[1..]);
    let [PlacementEvent::Waiting { wait, vacant, .. }] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!((wait.reason, wait.detail, *vacant), ("loading", "engine", ms(500)));
    let (_, events) = planner.step(&[engine("e2", &["common", "rare"])]);
    let ended = PlacementEvent::ChangeEnded {
        engine: "e2".into(),
        model: "rare".into(),
        kind: "load",
        outcome: "done",
        lasted: ms(1_000),
    };
    let filled = PlacementEvent::Filled {
        model: "rare".into(),
        engine: "e2".into(),
        vacant: ms(1_000),
        waits: vec![("loading", ms(1_000))],
    };
    assert_eq!(events, [ended, filled]);
}

/// Guards against an order to an engine that carries out another one: a restored store
/// listed the loading model from before its unload, which ended the load in the ledger.
#[test]
fn older_entry_does_not_end_a_load() {
    let is_order = |call: &PlannerCall| matches!(call, PlannerCall::Order(_));
    for is_restored in [true, false] {
        let mut planner = ObservedPlanner::default();
        let mut calls = Vec::new();
        for _ in 0..2 {
            calls = planner.step(&[engine("e1", &[])]).0;
            planner.report("e1", &[], 2);
        }
        // Both models are vacant, and the engine loads one after the other.
        let order = calls.iter().find_map(|call| match call {
            PlannerCall::Order(order) => Some(order.clone()),
            PlannerCall::Report { .. } => None,
        });
        let order = order.expect("a vacant model should be loaded");
        let listed = engine("e1", &[&order.model]);
        planner.answer(&calls, OrderAnswer::Accepted);
        if is_restored {
            planner.planner.record_new_era();
        }
        let orders: Vec<_> =
            (0..3).flat_map(|_| planner.step(std::slice::from_ref(&listed)).0).collect();
        assert_eq!(orders.iter().any(is_order), !is_restored, "{orders:?}");
        if is_restored {
            assert!(!orders.is_empty(), "the engine should be asked for a report");
            planner.report("e1", &[&order.model], 3);
            assert!(planner.step(&[listed]).0.iter().any(is_order));
        }
    }
}

#[test]
fn restart_of_the_last_holder_is_told_from_its_removal() {
    let mut planner = ObservedPlanner::default();
    let engines = [engine("e1", &["rare"]), engine("e2", &["common"])];
    planner.step(&engines);
    let restarted = Arc::new(EngineEntry { started_ms: 2, ..(*engine("e1", &[])).clone() });
    let (_, events) = planner.step(&[restarted, engines[1].clone()]);
    assert!(matches!(&events[0], PlacementEvent::Vacant { cause: "restarted", .. }), "{events:?}");
    // No report has confirmed a ledger yet.
    assert_eq!(reasons(&events), ["no-idle-engine"]);
}

#[test]
fn refused_load_and_planner_without_the_right_to_orders_are_named() {
    let mut planner = ObservedPlanner::default();
    let engines = [engine("e1", &["common"])];
    planner.step(&engines);
    planner.report("e1", &["common"], 0);
    let (calls, _) = planner.step(&engines);
    planner.answer(&calls, OrderAnswer::Conflict);
    let (_, events) = planner.step(&engines);
    let refused = |event: &PlacementEvent| {
        matches!(event, PlacementEvent::ChangeEnded { kind: "load", outcome: "refused", .. })
    };
    assert!(events.iter().any(refused), "{events:?}");
    planner.now += 500;
    planner.planner.observe_idle_planner(ms(planner.now));
    let events = planner.planner.take_placement_events();
    assert_eq!(reasons(&events), ["no-order-right"]);
}

#[test]
fn engine_without_memory_is_told_from_a_spent_store_rate() {
    let mut planner = ObservedPlanner::default();
    let engines = [engine("e1", &["common", "x", "y", "z"])];
    planner.step(&engines);
    planner.report("e1", &["common", "x", "y", "z"], 0);
    assert_eq!(reasons(&planner.step(&engines).1), ["no-memory"]);
}

#[test]
fn order_without_an_answer_is_reported_once() {
    let mut planner = ObservedPlanner::default();
    let engines = [engine("e1", &["common"])];
    planner.step(&engines);
    planner.report("e1", &["common"], 0);
    let unanswered = |events: &[PlacementEvent]| {
        let is_unanswered =
            |event: &&PlacementEvent| matches!(event, PlacementEvent::Unanswered { .. });
        events.iter().filter(is_unanswered).count()
    };
    let counts: Vec<_> = (0..8).map(|_| unanswered(&planner.step(&engines).1)).collect();
    assert_eq!(counts, [0, 0, 0, 0, 0, 1, 0, 0]);
}
