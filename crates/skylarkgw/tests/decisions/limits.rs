//! Request rates that engines name, shared by all hosts.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use skylarkgw::decision::coordinator::{Coordinator, HostReport, QuotaAnswer};
use skylarkgw::decision::engine_statements::{AnswerStatement, EngineStatements};
use skylarkgw::decision::quota_pool::{PoolStart, QuotaTolerance};
use skylarkgw::decision::store_order::StoreStamp;
use skylarkgw::ids::EndpointId;

use crate::samples::{engine, ms};

const ENGINE: &str = "i-1";
/// Start time of the engine, as in the registry.
const STARTED_MS: u64 = 1;
/// Interval between two exchanges of a host, in milliseconds.
const EXCHANGE_MS: u64 = 100;
/// Interval between two requests to the engine over all hosts, in milliseconds.
const REQUEST_MS: u64 = 40;
/// Time over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// A host and the time until which it does not reach the coordinator.
struct LimitedHost {
    limits: EngineStatements,
    cut_until: u64,
}

/// Hosts that send requests to one engine with a limit.
struct LimitedFleet {
    coordinator: Option<Coordinator>,
    token: u64,
    hosts: Vec<LimitedHost>,
    /// Limit that the engine names now.
    limit: Option<f64>,
    /// Times of the requests that the engine got.
    sent: VecDeque<u64>,
    now: u64,
    random: ChaCha8Rng,
}

fn name_limit(limit: Option<f64>) -> AnswerStatement {
    AnswerStatement { limit, ..AnswerStatement::default() }
}

fn new_coordinator(now: u64, token: u64) -> Coordinator {
    let tolerance = QuotaTolerance { window: ms(8_000), overshoot: 0.1, slack_tokens: 17_000.0 };
    let mut coordinator = Coordinator::new(ms(now), token, tolerance, PoolStart::AfterLoss);
    coordinator.update_registry(StoreStamp::default(), &[engine(ENGINE, &["sage"])]);
    coordinator
}

impl LimitedFleet {
    fn new(hosts: usize, limit: f64, seed: u64) -> LimitedFleet {
        let mut fleet = LimitedFleet {
            coordinator: Some(new_coordinator(0, 1)),
            token: 1,
            hosts: Vec::new(),
            limit: None,
            sent: VecDeque::new(),
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        (0..hosts).for_each(|_| fleet.add_host());
        fleet.run(2_000);
        fleet.limit = Some(limit);
        fleet.run(3_000);
        fleet.sent.clear();
        fleet
    }

    fn add_host(&mut self) {
        self.hosts.push(LimitedHost { limits: EngineStatements::default(), cut_until: 0 });
    }

    fn replace_coordinator(&mut self) {
        self.token += 1;
        self.coordinator = Some(new_coordinator(self.now, self.token));
    }

    fn exchange(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let Some(coordinator) = self.coordinator.as_mut().filter(|_| host.cut_until <= self.now)
        else {
            return;
        };
        let report = HostReport {
            host: format!("edge-{number}").into(),
            statements: host.limits.build_report(ms(self.now)),
            ..HostReport::default()
        };
        let reply = coordinator.exchange(ms(self.now), report);
        host.limits.apply_reply(ms(self.now), reply.statements);
    }

    /// Sends a request from a random host, as the gateway does, and returns whether the
    /// engine got it.
    fn send(&mut self) -> bool {
        let number = self.random.random_range(0..self.hosts.len());
        let (now, engine): (Duration, EndpointId) = (ms(self.now), ENGINE.into());
        let hosts = self.hosts.len() as u32;
        let host = &mut self.hosts[number];
        if let Some(limit) = host.limits.limit(ENGINE, STARTED_MS) {
            if host.limits.find_wait(now, &engine, STARTED_MS).is_some() {
                return false;
            }
            if host.limits.is_alone(now) {
                if !host.limits.try_spend_share(now, &engine, STARTED_MS, hosts) {
                    return false;
                }
            } else {
                let coordinator = self.coordinator.as_mut().filter(|_| host.cut_until <= self.now);
                let name = format!("edge-{number}").into();
                match coordinator.map(|known| known.draw_request(now, &name, &engine, limit)) {
                    Some(QuotaAnswer::Granted) => {}
                    Some(QuotaAnswer::Refused { retry_after }) => {
                        host.limits.record_exhausted(now, &engine, retry_after);
                        return false;
                    }
                    None => return false,
                }
            }
        }
        host.limits.record_answer(now, &engine, STARTED_MS, &name_limit(self.limit), true);
        true
    }

    fn run(&mut self, duration: u64) {
        for _ in 0..duration / 10 {
            self.now += 10;
            for number in 0..self.hosts.len() {
                if (self.now / 10 + number as u64).is_multiple_of(EXCHANGE_MS / 10) {
                    self.exchange(number);
                }
            }
            if self.now.is_multiple_of(REQUEST_MS) && self.send() {
                self.sent.push_back(self.now);
            }
        }
    }

    /// Returns the largest number of requests in any window, and clears them.
    fn take_busiest_window(&mut self) -> usize {
        let sent: Vec<u64> = std::mem::take(&mut self.sent).into();
        let count =
            |from: &u64| sent.iter().filter(|at| (*from..from + WINDOW_MS).contains(at)).count();
        sent.iter().map(count).max().unwrap_or_default()
    }
}

fn count_allowed(limit: f64) -> usize {
    (limit * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0) as usize
}

// Guards against hosts that each send up to the rate that an engine takes from all.
#[test]
fn hosts_together_keep_the_limit_of_an_engine_and_use_it() {
    for (seed, limit) in [(1, 1.0), (2, 2.4), (3, 8.0)] {
        let mut fleet = LimitedFleet::new(20, limit, seed);
        fleet.run(20_000);
        let total = fleet.sent.len() as f64;
        let busiest = fleet.take_busiest_window();
        assert!(busiest <= count_allowed(limit), "limit {limit}: {busiest} requests in 4 s");
        assert!(total >= limit * 20.0 * 0.5, "limit {limit}: {total} requests in 20 s");
    }
}

// Guards against excess while hosts join and leave, lose the coordinator or get a new
// one.
#[test]
fn hosts_keep_the_limit_while_they_join_leave_and_lose_the_coordinator() {
    for seed in 0..20 {
        for limit in [1.0, 2.2, 10.0] {
            let mut fleet = LimitedFleet::new(12, limit, seed);
            for _ in 0..12 {
                match fleet.random.random_range(0..6) {
                    0 => fleet.add_host(),
                    1 => {
                        fleet.hosts.pop();
                    }
                    2 => fleet.replace_coordinator(),
                    3 => fleet.coordinator = None,
                    4 => {
                        let until = fleet.now + 4_000;
                        fleet.hosts.iter_mut().step_by(2).for_each(|host| host.cut_until = until);
                    }
                    _ => {
                        let until = fleet.now + 2_000;
                        fleet.hosts[0].cut_until = until;
                    }
                }
                fleet.run(1_500);
                if fleet.coordinator.is_none() {
                    fleet.run(2_500);
                    fleet.replace_coordinator();
                }
            }
            let busiest = fleet.take_busiest_window();
            assert!(
                busiest <= count_allowed(limit),
                "seed {seed}, limit {limit}: {busiest} requests in 4 s"
            );
        }
    }
}

// Guards against a limit that outlasts the answers that name it, and against one that is
// not lowered.
#[test]
fn limit_follows_the_newest_answer() {
    let mut fleet = LimitedFleet::new(20, 6.0, 7);
    fleet.limit = Some(1.0);
    fleet.run(4_000);
    fleet.sent.clear();
    fleet.run(8_000);
    let busiest = fleet.take_busiest_window();
    assert!(busiest <= count_allowed(1.0), "{busiest} requests in 4 s");
    fleet.limit = None;
    fleet.run(8_000);
    fleet.sent.clear();
    fleet.run(2_000);
    assert_eq!(fleet.sent.len() as u64, 2_000 / REQUEST_MS);
}

// Guards against a limit that ends with a refusal that does not name it.
#[test]
fn refusal_without_a_limit_does_not_end_it() {
    let mut limits = EngineStatements::default();
    let engine: EndpointId = ENGINE.into();
    assert!(limits.record_answer(ms(0), &engine, STARTED_MS, &name_limit(Some(2.0)), true));
    assert!(!limits.record_answer(ms(1), &engine, STARTED_MS, &name_limit(None), false));
    assert_eq!(limits.limit(ENGINE, STARTED_MS), Some(2.0));
    assert!(limits.record_answer(ms(2), &engine, STARTED_MS, &name_limit(None), true));
    assert_eq!(limits.limit(ENGINE, STARTED_MS), None);
}

/// Draws a request to the engine from the coordinator every 10 ms for a while, and returns how
/// many were granted.
fn count_draws(coordinator: &mut Coordinator, from: u64, duration: u64, limit: f64) -> usize {
    let (host, engine) = ("edge-0".into(), ENGINE.into());
    let times = (from..from + duration).step_by(10);
    times
        .filter(|now| {
            let answer = coordinator.draw_request(ms(*now), &host, &engine, limit);
            answer == QuotaAnswer::Granted
        })
        .count()
}

// Guards against a coordinator that takes an engine which it has not read for one without a
// limit.
#[test]
fn limit_of_an_engine_holds_while_the_coordinator_has_not_read_the_registry() {
    let tolerance = QuotaTolerance { window: ms(8_000), overshoot: 0.1, slack_tokens: 17_000.0 };
    for limit in [1.0, 2.4, 8.0] {
        let mut coordinator = Coordinator::new(ms(0), 1, tolerance, PoolStart::AfterLoss);
        let unread = count_draws(&mut coordinator, 0, 4_000, limit);
        coordinator.update_registry(StoreStamp::default(), &[engine(ENGINE, &["sage"])]);
        let read = count_draws(&mut coordinator, 4_000, 4_000, limit);
        let allowed = count_allowed(limit);
        assert!(unread <= allowed, "limit {limit}: {unread} requests in 4 s before, of {allowed}");
        assert!(unread + read <= allowed * 2, "limit {limit}: {unread} and then {read} requests");
        assert!(read as f64 >= limit * 4.0 * 0.5, "limit {limit}: {read} requests in 4 s after");
    }
}
