//! What engines state about themselves, over hosts, coordinators and instances.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use skylarkgw::decision::coordinator::{Coordinator, HostReport};
use skylarkgw::decision::engine_statements::{
    AnswerStatement, EngineStatements, KnownStatement, MAX_TURN_AWAY, StatedFact, StatementChange,
    StatementObservation, StatementReport, TurnAway, find_willing_engines,
};
use skylarkgw::decision::fleet_planner::PlannerCall;
use skylarkgw::decision::quota_pool::{PoolStart, QuotaTolerance};
use skylarkgw::decision::store_order::StoreStamp;
use skylarkgw::gateway::ports::{EngineReport, OrderKind};
use skylarkgw::gateway::registry::EngineEntry;
use skylarkgw::ids::EndpointId;

use crate::samples::{declaration, engine, ms};

const ENGINES: usize = 4;
const HOSTS: usize = 6;
/// Bound on the time in which hosts send to an engine that leaves.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// Interval between two exchanges of a host, in milliseconds.
const EXCHANGE_MS: u64 = 100;
/// Time after which a host in touch has heard what another one heard, in milliseconds.
const SHARING_MS: u64 = 3 * EXCHANGE_MS;
/// Time of a run with faults, in milliseconds.
const FAULT_MS: u64 = 20_000;

/// One instance of an engine, as it behaves.
#[derive(Clone, Copy, Debug, Default)]
struct Instance {
    started_ms: u64,
    is_leaving: bool,
    limit: Option<f64>,
    /// Time until which requests are turned away, in milliseconds.
    turns_away_until: u64,
    /// Requests that this instance answered.
    requests: usize,
}

/// What a host was told by an instance of an engine, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    started_ms: u64,
    leaving_at: Option<u64>,
    turned_away_until: u64,
}

struct StatementHost {
    statements: EngineStatements,
    told: [Told; ENGINES],
    /// Time until which the host does not reach the coordinator, in milliseconds.
    cut_until: u64,
    /// Time since which it has been in touch, in milliseconds.
    in_touch_since: u64,
}

impl StatementHost {
    fn new(now: u64) -> StatementHost {
        StatementHost {
            statements: EngineStatements::default(),
            told: Default::default(),
            cut_until: 0,
            in_touch_since: now,
        }
    }
}

struct StatementFleet {
    coordinator: Coordinator,
    token: u64,
    hosts: Vec<StatementHost>,
    engines: [Instance; ENGINES],
    now: u64,
    random: ChaCha8Rng,
    violations: Vec<String>,
}

fn engine_id(index: usize) -> EndpointId {
    format!("i-{index}").into()
}

fn entry(index: usize, started_ms: u64) -> EngineEntry {
    EngineEntry { started_ms, ..(*engine(&engine_id(index), &["sage"])).clone() }
}

impl StatementFleet {
    fn new(seed: u64) -> StatementFleet {
        let tolerance = QuotaTolerance::default();
        let mut fleet = StatementFleet {
            coordinator: Coordinator::new(ms(0), 1, tolerance, PoolStart::AfterLoss),
            token: 1,
            hosts: (0..HOSTS).map(|_| StatementHost::new(0)).collect(),
            engines: [Instance { started_ms: 1, ..Instance::default() }; ENGINES],
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            violations: Vec::new(),
        };
        fleet.list_engines();
        fleet
    }

    /// Gives the coordinator and all hosts the current registry.
    fn list_engines(&mut self) {
        let entries = (0..ENGINES).map(|index| entry(index, self.engines[index].started_ms));
        let entries: Vec<_> = entries.map(std::sync::Arc::new).collect();
        self.coordinator.update_registry(StoreStamp::default(), &entries);
        for host in &mut self.hosts {
            host.statements.update_registry(|id| {
                entries.iter().find(|entry| entry.id == *id).map(|entry| entry.started_ms)
            });
        }
    }

    fn exchange(&mut self, number: usize) {
        let (now, host) = (ms(self.now), &mut self.hosts[number]);
        if host.cut_until > self.now {
            return;
        }
        let report = HostReport {
            host: format!("edge-{number}").into(),
            statements: host.statements.build_report(now),
            ..HostReport::default()
        };
        let reply = self.coordinator.exchange(now, report);
        host.statements.apply_reply(now, reply.statements);
    }

    /// Returns whether some host in touch was told long ago that an instance leaves.
    fn is_leaving_shared(&self, index: usize) -> bool {
        let started_ms = self.engines[index].started_ms;
        self.hosts.iter().any(|host| {
            let told = host.told[index];
            let at = told.leaving_at.filter(|_| told.started_ms == started_ms);
            at.is_some_and(|at| at.max(host.in_touch_since) + SHARING_MS < self.now)
        })
    }

    /// Sends a request from a host, as the gateway does, and checks the rules.
    fn send(&mut self, number: usize) {
        let now = ms(self.now);
        let known: Vec<KnownStatement> = (0..ENGINES)
            .map(|index| {
                let started_ms = self.engines[index].started_ms;
                self.hosts[number].statements.find(now, &engine_id(index), started_ms)
            })
            .collect();
        let willing = find_willing_engines(&known, DRAIN_BOUND);
        if willing.is_empty() {
            return;
        }
        let index = willing[self.random.random_range(0..willing.len())];
        let is_shared = self.is_leaving_shared(index);
        let (host, instance) = (&mut self.hosts[number], &mut self.engines[index]);
        let told = &mut host.told[index];
        if told.started_ms != instance.started_ms {
            *told = Told { started_ms: instance.started_ms, ..Told::default() };
        }
        let mut break_rule = |rule: &str| {
            self.violations.push(format!("{rule} at {} ms: host {number}, {index}", self.now));
        };
        if told.leaving_at.is_some_and(|at| self.now > at + DRAIN_BOUND.as_millis() as u64) {
            break_rule("DRAIN");
        }
        if self.now < told.turned_away_until {
            break_rule("BUDGET");
        }
        let is_settled = self.now > host.in_touch_since + SHARING_MS;
        let has_staying = known.iter().enumerate().any(|(other, known)| {
            other != index && known.leaving_for.is_none() && known.turned_away_for.is_none()
        });
        if is_shared && is_settled && host.cut_until <= self.now && has_staying {
            break_rule("a notice that another host heard");
        }
        instance.requests += 1;
        let is_refused = self.now < instance.turns_away_until;
        let turn_away = if is_refused {
            let time = ms(instance.turns_away_until - self.now);
            told.turned_away_until = instance.turns_away_until;
            TurnAway::For(time)
        } else {
            TurnAway::Unstated
        };
        if instance.is_leaving {
            told.leaving_at.get_or_insert(self.now);
        }
        let (limit, is_leaving) = (instance.limit, instance.is_leaving);
        let statement = AnswerStatement { limit, is_leaving, turn_away };
        let (id, started_ms) = (engine_id(index), instance.started_ms);
        host.statements.record_answer(now, &id, started_ms, &statement, !is_refused);
        if !is_refused && host.statements.limit(&id, started_ms) != limit {
            self.violations.push(format!("limit {limit:?} of {index} is not known"));
        }
    }

    fn restart_engine(&mut self, index: usize) {
        let started_ms = self.engines[index].started_ms + 1;
        let former = self.engines[index].started_ms;
        self.engines[index] = Instance { started_ms, ..Instance::default() };
        self.list_engines();
        // Nothing that the former instance stated is known of the next one, also if one of
        // its answers arrives late.
        let statement = AnswerStatement { is_leaving: true, ..AnswerStatement::default() };
        let (now, id) = (ms(self.now), engine_id(index));
        for host in &mut self.hosts {
            host.statements.record_answer(now, &id, former, &statement, true);
            let known = host.statements.find(now, &id, started_ms);
            assert_eq!(known, KnownStatement::default(), "instance {started_ms} of {index}");
        }
    }

    fn begin_fault(&mut self) {
        let index = self.random.random_range(0..ENGINES);
        let number = self.random.random_range(0..HOSTS);
        match self.random.random_range(0..8) {
            0 | 1 => self.engines[index].is_leaving = true,
            2 | 3 => {
                let time = self.random.random_range(200..6_000);
                self.engines[index].turns_away_until = self.now + time;
            }
            4 => {
                let limit = self.random.random_range(0.5..5.0);
                self.engines[index].limit = self.random.random_bool(0.6).then_some(limit);
            }
            5 => self.restart_engine(index),
            6 => {
                let until = self.now + self.random.random_range(300..3_000);
                self.hosts[number].cut_until = until;
                self.hosts[number].in_touch_since = until;
            }
            _ if self.random.random_bool(0.5) => self.hosts[number] = StatementHost::new(self.now),
            _ => {
                self.token += 1;
                let tolerance = QuotaTolerance::default();
                let start = PoolStart::AfterLoss;
                self.coordinator = Coordinator::new(ms(self.now), self.token, tolerance, start);
                self.list_engines();
                for host in &mut self.hosts {
                    host.in_touch_since = host.in_touch_since.max(self.now);
                }
            }
        }
    }

    fn run(&mut self, duration: u64, has_faults: bool) {
        for _ in 0..duration / 10 {
            self.now += 10;
            if has_faults && self.random.random_bool(0.02) {
                self.begin_fault();
            }
            for number in 0..HOSTS {
                if (self.now / 10 + number as u64).is_multiple_of(EXCHANGE_MS / 10) {
                    self.exchange(number);
                }
                if self.random.random_bool(0.3) {
                    self.send(number);
                }
            }
        }
    }
}

// Guards against requests to engines that leave or turned the host away, while engines
// restart and hosts and coordinators come and go, and against engines that stay unused.
#[test]
fn hosts_keep_to_what_engines_state_under_random_faults() {
    for seed in 0..60 {
        let mut fleet = StatementFleet::new(seed);
        fleet.run(FAULT_MS, true);
        assert!(fleet.violations.is_empty(), "seed {seed}: {:?}", fleet.violations);
        for index in 0..ENGINES {
            if fleet.engines[index].is_leaving {
                fleet.restart_engine(index);
            }
        }
        fleet.run(8_000, false);
        let before = fleet.engines.map(|instance| instance.requests);
        fleet.run(2_000, false);
        for (index, instance) in fleet.engines.iter().enumerate() {
            assert!(instance.requests > before[index], "seed {seed}: engine {index} is unused");
        }
    }
}

// Guards against an engine that is out of use for good because it names a huge time, and
// against log lines for each of its answers.
#[test]
fn huge_and_unreadable_times_are_bounded_and_logged_once() {
    let (mut statements, id) = (EngineStatements::default(), engine_id(0));
    let answer = |turn_away| AnswerStatement { turn_away, ..AnswerStatement::default() };
    for _ in 0..50 {
        statements.record_answer(ms(0), &id, 1, &answer(TurnAway::Unreadable), false);
        assert_eq!(statements.find(ms(0), &id, 1), KnownStatement::default());
    }
    for _ in 0..50 {
        statements.record_answer(ms(0), &id, 1, &answer(TurnAway::For(Duration::MAX)), false);
    }
    assert_eq!(statements.find(ms(0), &id, 1).turned_away_for, Some(MAX_TURN_AWAY));
    assert_eq!(statements.find(MAX_TURN_AWAY, &id, 1).turned_away_for, None);
    let changes: Vec<StatementChange> =
        statements.take_events().into_iter().map(|event| event.change).collect();
    let turned_away = StatementChange::TurnedAway(MAX_TURN_AWAY);
    let expected = [StatementChange::UnreadableDelay, StatementChange::BoundedDelay, turned_away];
    assert_eq!(changes, expected);
}

fn report_of(models: &[&str]) -> EngineReport {
    EngineReport {
        models: models.iter().map(|name| ((*name).into(), Vec::new())).collect(),
        order_count: 0,
        is_busy: false,
        pending: Vec::new(),
        started_ms: 1,
    }
}

// Guards against a model that is loaded elsewhere only when its only engine is gone.
#[test]
fn models_of_an_engine_that_leaves_are_loaded_elsewhere_at_once() {
    let (declaration, window) = (declaration(&["sage"]), Duration::from_secs(5));
    let mut coordinator =
        Coordinator::new(ms(0), 1, QuotaTolerance::default(), PoolStart::AfterLoss);
    let engines = [engine("i-0", &["sage"]), engine("i-1", &[])];
    coordinator.update_registry(StoreStamp::default(), &engines);
    coordinator.record_report(ms(0), &"i-0".into(), report_of(&["sage"]));
    coordinator.record_report(ms(0), &"i-1".into(), report_of(&[]));
    let plan = |coordinator: &mut Coordinator, now: u64| {
        let calls = coordinator.plan(ms(now), Some(1), &declaration, window);
        let orders = calls.into_iter().filter_map(|call| match call {
            PlannerCall::Order(order) => Some((order.engine, order.kind)),
            PlannerCall::Report { .. } => None,
        });
        orders.collect::<Vec<_>>()
    };
    assert_eq!(plan(&mut coordinator, 10_000), []);
    let observation = |started_ms| StatementObservation {
        engine: "i-0".into(),
        started_ms,
        fact: StatedFact::Leaving,
        age: ms(20),
    };
    let report = |started_ms| HostReport {
        host: "edge-0".into(),
        statements: StatementReport { version: 0, observations: vec![observation(started_ms)] },
        ..HostReport::default()
    };
    // A statement of another instance says nothing about this one.
    coordinator.exchange(ms(10_050), report(0));
    assert_eq!(plan(&mut coordinator, 10_100), []);
    let reply = coordinator.exchange(ms(10_150), report(1));
    let shared = reply.statements.expect("a change").changed;
    assert!(shared.iter().any(|(id, statement)| &**id == "i-0" && statement.is_leaving));
    assert_eq!(plan(&mut coordinator, 10_200), [("i-1".into(), OrderKind::Load)]);
}

// Guards against a notice that a new coordinator never hears of, and against one that ends
// with the coordinator or with an engine's absence from the registry.
#[test]
fn new_coordinator_hears_that_an_engine_leaves() {
    let mut fleet = StatementFleet::new(1);
    let statement = AnswerStatement { is_leaving: true, ..AnswerStatement::default() };
    fleet.hosts[0].statements.record_answer(ms(0), &engine_id(2), 1, &statement, true);
    for token in 2..5 {
        fleet.exchange(0);
        fleet.exchange(0);
        // The engine is not in the registry of the next coordinator at first.
        let start = PoolStart::AfterLoss;
        fleet.coordinator = Coordinator::new(ms(0), token, QuotaTolerance::default(), start);
        fleet.exchange(0);
        fleet.list_engines();
        fleet.exchange(0);
        fleet.hosts[1] = StatementHost::new(0);
        fleet.exchange(1);
        for host in &fleet.hosts[..2] {
            let known = host.statements.find(ms(10), &engine_id(2), 1);
            assert_eq!(known.leaving_for, Some(ms(10)), "token {token}");
        }
    }
}
