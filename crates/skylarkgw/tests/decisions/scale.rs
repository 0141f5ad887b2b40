//! Pattern: hundreds of hosts and thousands of engines, with most of the demand on a few
//! hot models. The coordinator's work grows with what changes, not with the fleet.

use std::sync::Arc;
use std::time::Duration;

use bincode::Options;
use skylarkgw::decision::coordinator::{Coordinator, CoordinatorReply, HostReport};
use skylarkgw::decision::dispatch::engine_loads::EngineLoads;
use skylarkgw::decision::freshness::exchange_interval;
use skylarkgw::decision::model_demand::ModelUse;
use skylarkgw::decision::quota_pool::{PoolStart, QuotaTolerance};
use skylarkgw::decision::store_order::StoreStamp;
use skylarkgw::gateway::declaration::FleetDeclaration;
use skylarkgw::gateway::ports::{EngineOrder, EngineReport, OrderAnswer};
use skylarkgw::gateway::registry::{EngineEntry, HeldModel};

use crate::samples::{MODEL_SERVICE, declaration, engine, ms};

/// Models per engine of the service, and models that an engine holds.
const MODEL_SHARE: f64 = 1.75;
const HELD_MODELS: usize = 2;
const ADAPTERS_PER_ENGINE: usize = 8;
/// Requests for each engine and second.
const REQUESTS_PER_ENGINE: usize = 5;
/// Share of the requests that go to the hot tenth of the models.
const HOT_SHARE: f64 = 0.7;

struct ScaledFleet {
    coordinator: Coordinator,
    declaration: FleetDeclaration,
    engines: Vec<Arc<EngineEntry>>,
    reports: Vec<HostReport>,
    now: u64,
    drawn: u64,
}

/// Returns the processor time of this thread, which other load on the machine does not
/// change much.
fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn engine_name(number: usize) -> Arc<str> {
    format!("i-{number:010x}").into()
}

fn model_name(number: usize) -> Arc<str> {
    format!("model{number:06}").into()
}

impl ScaledFleet {
    fn new(hosts: usize, engines: usize) -> ScaledFleet {
        let tolerance =
            QuotaTolerance { window: ms(8_000), overshoot: 0.1, slack_tokens: 17_000.0 };
        let mut coordinator = Coordinator::new(ms(0), 1, tolerance, PoolStart::AfterLoss);
        let models = (engines as f64 * MODEL_SHARE) as usize;
        let names: Vec<Arc<str>> = (0..models).map(model_name).collect();
        let names: Vec<&str> = names.iter().map(|name| &**name).collect();
        let mut declaration = declaration(&names);
        let service = declaration.services.get_mut(MODEL_SERVICE).expect("the service");
        let rule = service.generation.as_mut().expect("a rule");
        rule.adapter_slots = 8;
        rule.store_loads_per_s = engines as f64 * 0.15;
        coordinator.apply_declaration(ms(0), &declaration);
        let entries: Vec<Arc<EngineEntry>> = (0..engines)
            .map(|number| {
                let held = (0..HELD_MODELS).map(|place| HeldModel {
                    name: model_name((number * HELD_MODELS + place) % models),
                    adapters: (0..ADAPTERS_PER_ENGINE / HELD_MODELS)
                        .map(|adapter| format!("a{adapter}").into())
                        .collect(),
                });
                Arc::new(EngineEntry {
                    slots: 12,
                    models: held.collect(),
                    ..(*engine(&engine_name(number), &[])).clone()
                })
            })
            .collect();
        coordinator.update_registry(StoreStamp::default(), &entries);
        for entry in &entries {
            let models = entry.models.iter().map(|held| (held.name.clone(), held.adapters.clone()));
            let report = EngineReport {
                models: models.collect(),
                started_ms: entry.started_ms,
                ..EngineReport::default()
            };
            coordinator.record_report(ms(0), &entry.id, report);
        }
        coordinator.refresh_notices();
        let reports = (0..hosts).map(|host| HostReport {
            host: format!("edge-muscat-a-{host}").into(),
            ..HostReport::default()
        });
        let reports = reports.collect();
        ScaledFleet { coordinator, declaration, engines: entries, reports, now: 2_000, drawn: 7 }
    }

    /// Returns a number below `bound` that is drawn with a fixed seed.
    fn draw(&mut self, bound: usize) -> usize {
        self.drawn = self.drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.drawn >> 33) as usize % bound
    }

    fn draw_model(&mut self) -> usize {
        let models = (self.engines.len() as f64 * MODEL_SHARE) as usize;
        let is_hot = (self.draw(100) as f64) < HOT_SHARE * 100.0;
        self.draw(if is_hot { models / 10 } else { models })
    }

    /// Lets one second pass, with all reports, plans and answers to orders, and returns
    /// the time that the coordinator has worked.
    fn run_second(&mut self, rounds: usize) -> (Duration, Duration) {
        let (mut worked, mut planned) = (Duration::ZERO, Duration::ZERO);
        let hosts = self.reports.len();
        let requests = self.engines.len() * REQUESTS_PER_ENGINE / rounds;
        for _ in 0..rounds {
            self.now += 1_000 / rounds as u64;
            for _ in 0..requests {
                let (host, model) = (self.draw(hosts), self.draw_model());
                let usage = ModelUse { arrivals: 1, ..ModelUse::default() };
                let engine = model / HELD_MODELS;
                let report = &mut self.reports[host];
                report.uses.push((MODEL_SERVICE.into(), model_name(model), usage));
                if report.running.len() >= requests / hosts + 4 {
                    report.running.remove(0);
                }
                report.running.push(((engine % self.engines.len()) as u32, 1));
            }
            for host in 0..hosts {
                let mut report = self.reports[host].clone();
                self.reports[host].uses.clear();
                report.running.sort();
                report.running.dedup_by(|a, b| a.0 == b.0);
                let started = processor_time();
                let reply = self.coordinator.exchange(ms(self.now), report);
                worked += processor_time() - started;
                let report = &mut self.reports[host];
                report.notice_version =
                    reply.notices.map_or(report.notice_version, |delta| delta.version);
                report.registry_version =
                    reply.registry.map_or(report.registry_version, |delta| delta.version);
            }
            planned += self.plan();
        }
        (worked, planned)
    }

    /// Plans and answers all orders, and returns the time of it.
    fn plan(&mut self) -> Duration {
        let started = processor_time();
        let calls = self.coordinator.plan(ms(self.now), Some(1), &self.declaration, ms(5_000));
        for call in calls {
            use skylarkgw::decision::fleet_planner::PlannerCall;
            let PlannerCall::Order(order) = call else { continue };
            self.answer(&order);
        }
        processor_time() - started
    }

    fn answer(&mut self, order: &EngineOrder) {
        self.coordinator.record_answer(ms(self.now), order, OrderAnswer::Accepted);
    }
}

/// Returns the work of the coordinator in a second, the median of several, for exchanges
/// and for plans.
fn measure_work(hosts: usize, engines: usize) -> (Duration, Duration) {
    let mut fleet = ScaledFleet::new(hosts, engines);
    let mut seconds: Vec<(Duration, Duration)> = (0..5).map(|_| fleet.run_second(4)).collect();
    seconds.sort();
    seconds[seconds.len() / 2]
}

/// Bytes per second that one host may exchange with the coordinator.
const HOST_BYTES_PER_S: f64 = 9_000.0;

/// Guards against replies that fill the coordinator's link: each of them named every busy
/// engine, and at 300 hosts and 3,000 engines the fleet refused most requests.
#[test]
fn bytes_of_a_host_stay_within_the_bound_while_the_fleet_grows() {
    for (hosts, engines) in [(34, 300), (100, 1_002), (295, 204), (301, 3_000), (1_100, 4_700)] {
        let mut fleet = ScaledFleet::new(hosts, engines);
        fleet.run_second(2);
        let (mut bytes, mut counts, seconds) = (0.0, 0, 4);
        let interval = exchange_interval(hosts as u32).as_millis() as u64;
        for _ in 0..seconds * 1_000 / interval {
            fleet.now += interval;
            let report = fleet.reports[0].clone();
            bytes += bincode::options().serialized_size(&report).expect("a size") as f64;
            let reply = fleet.coordinator.exchange(ms(fleet.now), report);
            counts = counts.max(reply.loads.as_ref().map_or(0, EngineLoads::len));
            let reply = CoordinatorReply { notices: None, registry: None, ..reply };
            bytes += bincode::options().serialized_size(&reply).expect("a size") as f64;
        }
        let rate = bytes / seconds as f64;
        assert!(counts > engines / 2, "most engines are busy");
        assert!(rate < HOST_BYTES_PER_S, "{hosts} hosts, {engines} engines: {rate:.0} bytes/s");
    }
}

/// Guards against work for all engines with every answer of one: a few hundred answers a
/// second kept the coordinator of 1,000 engines busy all the time.
#[test]
fn answer_of_an_engine_changes_its_own_notice_alone() {
    let mut fleet = ScaledFleet::new(4, 1_002);
    fleet.run_second(2);
    let host = fleet.reports[0].clone();
    let reply = fleet.coordinator.exchange(ms(fleet.now), host.clone());
    let known = reply.notices.map_or(host.notice_version, |delta| delta.version);
    let engine = fleet.engines[500].clone();
    let models = engine.models.iter().map(|held| (held.name.clone(), vec!["new".into()]));
    let report = EngineReport {
        models: models.collect(),
        started_ms: engine.started_ms,
        order_count: 1_000,
        ..EngineReport::default()
    };
    fleet.coordinator.record_report(ms(fleet.now), &engine.id, report);
    let host = HostReport { notice_version: known, ..host };
    let delta = fleet.coordinator.exchange(ms(fleet.now), host).notices.expect("a change");
    let changed: Vec<_> = delta.changed.iter().map(|(id, _)| id.clone()).collect();
    assert_eq!(changed, std::slice::from_ref(&engine.id));
}

/// Guards against plans whose work grows faster than the fleet.
#[test]
fn work_of_a_second_grows_no_faster_than_the_engines() {
    let (small, large) = (measure_work(34, 300), measure_work(100, 1_002));
    let ratio = |small: Duration, large: Duration| large.as_secs_f64() / small.as_secs_f64();
    // Each of three times as many hosts gets the counts of three times as many engines.
    assert!(ratio(small.0, large.0) < 12.0, "exchanges: {small:?}, {large:?}");
    assert!(ratio(small.1, large.1) < 6.0, "plans: {small:?}, {large:?}");
}
