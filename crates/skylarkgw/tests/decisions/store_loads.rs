//! Loads from the weight store that count against its rate, over the terms of coordinators.

use std::time::Duration;

use skylarkgw::decision::coordinator::{Coordinator, HostReport};
use skylarkgw::decision::fleet_planner::{PlannerCall, RecentLoads};
use skylarkgw::decision::quota_pool::{PoolStart, QuotaTolerance};
use skylarkgw::decision::store_order::StoreStamp;
use skylarkgw::gateway::ports::{EngineReport, OrderAnswer};

use crate::samples::{declaration, engine, ms};

/// Period over which loads are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Models that no engine holds, and engines that could each load one.
const MODELS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
/// Loads that the samples allow in [`WINDOW`]: two a second, of which nine tenths are used.
const LIMIT: usize = 9;

/// Time at which a term starts, in milliseconds.
const START: u64 = 10_000;

/// A coordinator that has just started, and a host that reports to it.
struct TermModel {
    coordinator: Coordinator,
    report: HostReport,
    now: u64,
}

impl TermModel {
    /// Starts a term after a predecessor of which the host tells `told`.
    fn new(start: PoolStart, told: Option<RecentLoads>) -> TermModel {
        let mut coordinator = Coordinator::new(ms(START), 2, QuotaTolerance::default(), start);
        let engines: Vec<_> = MODELS.iter().map(|name| engine(&format!("i-{name}"), &[])).collect();
        coordinator.update_registry(StoreStamp::default(), &engines);
        let report =
            HostReport { host: "edge-1".into(), store_loads: told, ..HostReport::default() };
        TermModel { coordinator, report, now: START }
    }

    /// Reports to the coordinator and keeps what it replies, as a host does.
    fn exchange(&mut self) {
        let reply = self.coordinator.exchange(ms(self.now), self.report.clone());
        if let Some(delta) = reply.registry {
            self.report.registry_version = delta.version;
        }
        self.report.store_loads = reply.store_loads.or(self.report.store_loads);
    }

    /// Plans until `end` milliseconds after the start, and returns the number of loads that began.
    fn count_loads_until(&mut self, end: u64) -> usize {
        let mut loads = 0;
        while self.now < START + end {
            self.now += 100;
            self.exchange();
            let now = ms(self.now);
            for call in self.coordinator.plan(now, Some(2), &declaration(&MODELS), WINDOW) {
                match call {
                    PlannerCall::Order(order) => {
                        self.coordinator.record_answer(now, &order, OrderAnswer::Accepted);
                        loads += 1;
                    }
                    PlannerCall::Report { engine, .. } => {
                        let report = EngineReport { started_ms: 1, ..EngineReport::default() };
                        self.coordinator.record_report(now, &engine, report);
                    }
                }
            }
        }
        loads
    }
}

// Guards against a coordinator that takes loads which it has not heard of for none.
#[test]
fn no_load_begins_while_those_of_the_predecessor_are_unknown() {
    let mut term = TermModel::new(PoolStart::AfterLoss, None);
    assert_eq!(term.count_loads_until(4_900), 0);
    assert_eq!(term.report.store_loads, None, "what is unknown is not passed on");
    assert_eq!(term.count_loads_until(9_900), LIMIT);
}

// Guards against a coordinator that waits although no loads count against the rate.
#[test]
fn loads_begin_at_once_without_a_predecessor_or_if_it_began_none() {
    let none = RecentLoads::default();
    for (start, told) in [(PoolStart::First, None), (PoolStart::AfterLoss, Some(none))] {
        let mut term = TermModel::new(start, told);
        assert_eq!(term.count_loads_until(2_000), LIMIT, "{start:?}");
    }
}

// Guards against loads beyond the rate under two coordinators, and against ones that count
// for longer than the window.
#[test]
fn loads_of_the_predecessor_count_until_their_window_ends() {
    let told = RecentLoads { count: 6, age: ms(2_000) };
    let mut term = TermModel::new(PoolStart::AfterLoss, Some(told));
    assert_eq!(term.count_loads_until(2_500), LIMIT - 6);
    let recent = term.report.store_loads.expect("a number of loads");
    assert_eq!(recent.count as usize, LIMIT, "a successor has to count all of them");
    assert_eq!(term.count_loads_until(3_400), 6);
}

// Guards against the coordinator's own loads that count twice, because hosts repeat them.
#[test]
fn loads_that_a_host_repeats_count_once() {
    let mut term = TermModel::new(PoolStart::First, None);
    let first = term.count_loads_until(2_000);
    assert_eq!(first, LIMIT);
    assert_eq!(term.report.store_loads.map(|loads| loads.count as usize), Some(LIMIT));
    assert_eq!(term.count_loads_until(4_000), 0);
    assert_eq!(term.report.store_loads.map(|loads| loads.count as usize), Some(LIMIT));
}
