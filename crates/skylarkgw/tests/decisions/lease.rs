//! The coordinator's lease under lost answers, freezes and races.

use std::time::Duration;

use skylarkgw::decision::coordinator_lease::{CoordinatorLease, LeaseAction};
use skylarkgw::gateway::ports::{LeaseAnswer, LeaseRecord};

use crate::samples::ms;

/// Bound of the deployment: pause between the orders of two holders.
const LEASE: Duration = Duration::from_millis(3_000);

/// A store with one record that is written under a condition.
#[derive(Default)]
struct RecordStore {
    version: u64,
    record: Option<LeaseRecord>,
}

impl RecordStore {
    fn call(&mut self, step: &LeaseAction) -> Option<LeaseAnswer> {
        let is_written = match step {
            LeaseAction::Wait => return None,
            LeaseAction::Read => false,
            LeaseAction::Write { expected, record } => {
                let current = self.record.as_ref().map(|_| self.version);
                let holds = *expected == current;
                if holds {
                    self.version += 1;
                    self.record = Some(record.clone());
                }
                holds
            }
        };
        Some(match &self.record {
            None => LeaseAnswer::Missing,
            Some(record) => LeaseAnswer::Found {
                version: self.version,
                record: Some(record.clone()),
                is_written,
            },
        })
    }
}

fn host(name: &str) -> CoordinatorLease {
    CoordinatorLease::new(name.into(), 1, "127.0.0.1:7".parse().expect("an address"), LEASE)
}

fn turn(lease: &mut CoordinatorLease, store: &mut RecordStore, now: u64) {
    let step = lease.step(ms(now), false);
    if let Some(answer) = store.call(&step) {
        lease.handle_answer(ms(now), ms(now), answer);
    }
}

#[test]
fn first_host_creates_the_record_and_may_give_orders_at_once() {
    let (mut store, mut first) = (RecordStore::default(), host("a"));
    (0..5).for_each(|step| turn(&mut first, &mut store, step * 400));
    assert_eq!(first.token(ms(1_700)), Some(1));
    assert_eq!(first.order_token(ms(1_700)), Some(1));
}

#[test]
fn two_hosts_never_hold_the_lease_at_once_and_pause_between_their_orders() {
    for cut_at in (1_000..4_000).step_by(130) {
        let (mut store, mut first, mut second) = (RecordStore::default(), host("a"), host("b"));
        let (mut last_order, mut first_order) = (0, None);
        for now in (0..16_000).step_by(20) {
            // The first holder loses the store for good at some moment.
            if now < cut_at {
                turn(&mut first, &mut store, now);
            } else {
                first.step(ms(now), false);
            }
            turn(&mut second, &mut store, now);
            let both = first.token(ms(now)).is_some() && second.token(ms(now)).is_some();
            assert!(!both, "two holders at {now} ms, cut at {cut_at} ms");
            if first.order_token(ms(now)).is_some() {
                last_order = now;
            }
            if second.order_token(ms(now)).is_some() {
                first_order.get_or_insert(now);
            }
        }
        let first_order = first_order.expect("the second host takes over");
        assert!(
            first_order >= last_order + LEASE.as_millis() as u64,
            "orders at {last_order} and {first_order} ms, cut at {cut_at} ms"
        );
    }
}

#[test]
fn holder_that_tells_how_long_its_lease_lasts_is_succeeded_sooner() {
    let takeover = |told: bool| {
        let (mut store, mut first, mut second) = (RecordStore::default(), host("a"), host("b"));
        for now in (0..2_000).step_by(20) {
            turn(&mut first, &mut store, now);
            if let Some((version, remaining)) = first.remaining(ms(now)).filter(|_| told) {
                second.note_remaining(ms(now), version, remaining);
            }
        }
        let mut now = 2_600;
        while second.token(ms(now)).is_none() {
            assert!(first.token(ms(now)).is_none() || now < 4_300);
            turn(&mut second, &mut store, now);
            now += 20;
            assert!(now < 20_000, "nobody takes over");
        }
        now
    };
    assert!(takeover(true) < takeover(false));
}

#[test]
fn lost_answer_of_a_renewal_is_not_taken_for_a_renewal() {
    let (mut store, mut first) = (RecordStore::default(), host("a"));
    (0..2).for_each(|step| turn(&mut first, &mut store, step * 400));
    let held_from = 400;
    for now in (1_300..6_000).step_by(100) {
        let step = first.step(ms(now), false);
        if step != LeaseAction::Wait {
            store.call(&step);
            first.handle_answer(ms(now), ms(now), LeaseAnswer::Unknown);
        }
        if now > held_from + 3_000 {
            assert_eq!(first.token(ms(now)), None, "at {now} ms");
        }
    }
}

#[test]
fn host_that_stops_gives_the_lease_up() {
    let (mut store, mut first, mut second) = (RecordStore::default(), host("a"), host("b"));
    (0..4).for_each(|step| turn(&mut first, &mut store, step * 300));
    first.start_release();
    (4..8).for_each(|step| turn(&mut first, &mut store, step * 300));
    assert!(first.has_released());
    (8..12).for_each(|step| turn(&mut second, &mut store, step * 300));
    assert_eq!(second.token(ms(3_400)), Some(2));
    assert_eq!(second.order_token(ms(3_400)), None);
}
