//! Tests of an exhausted allowance: one workspace sends six times its usual, and its most
//! urgent and its small requests go first, over all hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use skylarkgw::decision::quota_pool::{LocalQuota, PoolStart, QuotaPool, QuotaTolerance};
use skylarkgw::decision::quota_priority::{DemandBook, classify};

use crate::samples::{ms, workspace};

/// Rate of the workspace in tokens per second, which is also its burst.
const RATE: u64 = 20_000;
const SHOP: &str = "shop";
const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: ms_const(8_000), overshoot: 0.1, slack_tokens: 17_000.0 };
/// Interval of the exchange of each host, in milliseconds.
const EXCHANGE_MS: u64 = 120;
/// Time before which the hosts do not know the demand yet.
const SETTLED_MS: u64 = 4_000;
const END_MS: u64 = 12_000;

const fn ms_const(millis: u64) -> std::time::Duration {
    std::time::Duration::from_millis(millis)
}

/// A kind of requests: its position, tokens and requests per second.
#[derive(Clone, Copy)]
struct Kind {
    position: u8,
    tokens: u64,
    per_s: f64,
}

const LIVE: Kind = Kind { position: 0, tokens: 1_100, per_s: 50.0 };
const BATCH: Kind = Kind { position: 2, tokens: 1_100, per_s: 50.0 };
const ORDER: Kind = Kind { position: 0, tokens: 200, per_s: 20.0 };

/// Hosts and a coordinator that serve one workspace.
struct Fleet {
    pool: QuotaPool,
    book: DemandBook,
    quotas: BTreeMap<Arc<str>, LocalQuota>,
    spent: Vec<(u64, u64)>,
}

impl Fleet {
    fn new(hosts: usize) -> Fleet {
        let mut pool = QuotaPool::new(ms(0), TOLERANCE, PoolStart::First);
        pool.set_workspaces(ms(0), &[workspace(SHOP, "key", RATE)]);
        let names = (0..hosts).map(|host| Arc::from(format!("host-{host}")));
        let quotas = names.map(|host| (host, LocalQuota::new(ms(0)))).collect();
        Fleet { pool, book: DemandBook::default(), quotas, spent: Vec::new() }
    }

    /// Replaces the coordinator by one that knows nothing.
    fn change_coordinator(&mut self, now: u64) {
        self.pool = QuotaPool::new(ms(now), TOLERANCE, PoolStart::AfterRelease);
        self.pool.set_workspaces(ms(now), &[workspace(SHOP, "key", RATE)]);
        self.book = DemandBook::default();
    }

    /// Exchanges the reports of the hosts whose turn it is.
    fn exchange(&mut self, now: u64) {
        for (number, (host, quota)) in self.quotas.iter_mut().enumerate() {
            if !(now + number as u64).is_multiple_of(EXCHANGE_MS) {
                continue;
            }
            self.pool.record_report(ms(now), host);
            self.pool.return_tokens(ms(now), SHOP, quota.take_unneeded(ms(now)));
            let demand = quota.classes.build_report(ms(now));
            let demands = (!demand.is_empty()).then(|| (SHOP.into(), demand));
            self.book.record_report(ms(now), host, demands.into_iter().collect());
            let (refill, level) = self.pool.supply(ms(now), SHOP).expect("a bucket");
            quota.classes.set_cut(ms(now), self.book.find_cut(SHOP, refill, level));
            let wanted = quota.tokens_to_request(ms(now));
            let grant = self.pool.draw(ms(now), host, SHOP, wanted, 0).expect("a grant");
            quota.add_grant(ms(now), grant.tokens, grant.fallback_per_s);
        }
    }

    /// Sends a request to a host and returns whether it is admitted.
    fn request(&mut self, now: u64, host: usize, kind: Kind, draw: f64) -> bool {
        let host: Arc<str> = format!("host-{host}").into();
        let quota = self.quotas.get_mut(&host).expect("a host");
        let class = classify(kind.position, kind.tokens);
        if quota.classes.record_request(ms(now), class, kind.tokens, draw).is_some() {
            return false;
        }
        quota.record_demand(ms(now), kind.tokens);
        if !quota.try_spend(ms(now), kind.tokens) {
            let part = quota.take_available(ms(now), kind.tokens);
            let missing = kind.tokens - part;
            let grant = self.pool.draw(ms(now), &host, SHOP, missing, missing);
            if grant.is_none_or(|grant| grant.tokens < missing) {
                quota.refund(part);
                quota.classes.record_shortage(ms(now));
                return false;
            }
        }
        self.spent.push((now, kind.tokens));
        true
    }

    /// Sends kinds of requests until [`END_MS`], and returns the share of each that is
    /// admitted once the demand is known.
    fn run(&mut self, kinds: &[Kind], change_at: Option<u64>) -> Vec<f64> {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut counts = vec![(0_u32, 0_u32); kinds.len()];
        for now in 0..END_MS {
            self.exchange(now);
            if change_at == Some(now) {
                self.change_coordinator(now);
            }
            for (kind, (admitted, sent)) in kinds.iter().zip(&mut counts) {
                if !rng.random_bool(kind.per_s / 1_000.0) {
                    continue;
                }
                let host = rng.random_range(0..self.quotas.len());
                let is_admitted = self.request(now, host, *kind, rng.random());
                if now >= SETTLED_MS {
                    *sent += 1;
                    *admitted += u32::from(is_admitted);
                }
            }
        }
        counts.iter().map(|(admitted, sent)| f64::from(*admitted) / f64::from(*sent)).collect()
    }

    /// Returns the most tokens spent in any window.
    fn max_spent(&self) -> u64 {
        let window = TOLERANCE.window.as_millis() as u64;
        let spent_from = |start: u64| {
            let spent = self.spent.iter().filter(|(at, _)| (start..start + window).contains(at));
            spent.map(|(_, tokens)| *tokens).sum()
        };
        self.spent.iter().map(|(start, _)| spent_from(*start)).max().unwrap_or_default()
    }
}

/// Returns the most tokens that may be spent in a window.
fn max_allowed() -> u64 {
    let allowed = RATE * 8 + RATE;
    allowed + allowed / 10 + TOLERANCE.slack_tokens as u64
}

// Small orders beside long generations, at six times the allowance.
#[test]
fn heavy_workspace_gets_its_orders_and_live_requests_before_its_batch() {
    for hosts in [12, 124, 300] {
        let mut fleet = Fleet::new(hosts);
        let shares = fleet.run(&[LIVE, BATCH, ORDER], None);
        let [live, batch, order] = shares[..] else { panic!("three shares") };
        assert!(order > 0.8, "{hosts} hosts: orders {order}");
        assert!(live > batch * 3.0, "{hosts} hosts: live {live}, batch {batch}");
        assert!(fleet.max_spent() <= max_allowed(), "{hosts} hosts: {}", fleet.max_spent());
    }
}

#[test]
fn change_of_the_coordinator_keeps_the_order_and_the_bound() {
    for hosts in [12, 124, 300] {
        let mut fleet = Fleet::new(hosts);
        let shares = fleet.run(&[LIVE, BATCH, ORDER], Some(6_000));
        let [live, batch, order] = shares[..] else { panic!("three shares") };
        assert!(order > batch && live > batch, "{hosts} hosts: {shares:?}");
        assert!(fleet.max_spent() <= max_allowed(), "{hosts} hosts: {}", fleet.max_spent());
    }
}

#[test]
fn workspace_within_its_allowance_is_not_cut() {
    for hosts in [12, 124, 300] {
        let mut fleet = Fleet::new(hosts);
        let light = |kind: Kind| Kind { per_s: kind.per_s / 8.0, ..kind };
        let shares = fleet.run(&[light(LIVE), light(BATCH), light(ORDER)], None);
        assert!(shares.iter().all(|share| *share == 1.0), "{hosts} hosts: {shares:?}");
    }
}

#[test]
fn small_requests_go_before_large_ones_of_the_same_position() {
    assert!(classify(0, 200) < classify(0, 1_100));
    assert_eq!(classify(0, 300), classify(0, 4_000));
    assert!(classify(0, 60_000) < classify(1, 1));
    assert!(classify(200, u64::MAX) >= classify(9, 1));
}
