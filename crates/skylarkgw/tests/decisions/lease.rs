//! Tests of the coordinator lease with lost answers, unreachable stores and
//! concurrent hosts.

use std::time::Duration;

use skylarkgw::decision::coordinator_lease::{
    CoordinatorLease, LeaseAction, compute_capacity, takeover_delay,
};
use skylarkgw::gateway::ports::{LeaseAnswer, LeaseRecord};

use crate::samples::ms;

/// Lease duration, the default of the setting `bounds.lease_ms`. It is also the
/// minimum pause between the orders of two holders.
const LEASE_DURATION: Duration = Duration::from_millis(3_000);

/// A store with one record that is written conditionally.
#[derive(Default)]
struct RecordStore {
    version: u64,
    record: Option<LeaseRecord>,
}

impl RecordStore {
    fn call(&mut self, action: &LeaseAction) -> Option<LeaseAnswer> {
        let is_written = match action {
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
            None => LeaseAnswer::Missing { era: None },
            Some(record) => LeaseAnswer::Found {
                version: self.version,
                era: None,
                record: Some(record.clone()),
                is_written,
            },
        })
    }
}

fn host_lease(name: &str) -> CoordinatorLease {
    CoordinatorLease::new(
        name.into(),
        1,
        "127.0.0.1:7".parse().expect("the address should be valid"),
        LEASE_DURATION,
    )
}

/// Performs the next call of a host and passes the answer to it.
fn perform_step(lease: &mut CoordinatorLease, store: &mut RecordStore, now: u64) {
    let action = lease.step(ms(now), false);
    if let Some(answer) = store.call(&action) {
        lease.handle_answer(ms(now), ms(now), answer);
    }
}

#[test]
fn first_host_creates_the_record_and_gives_orders_at_once() {
    let (mut store, mut first) = (RecordStore::default(), host_lease("a"));
    (0..5).for_each(|step| perform_step(&mut first, &mut store, step * 400));
    assert_eq!(first.token(ms(1_700)), Some(1));
    assert_eq!(first.order_token(ms(1_700)), Some(1));
}

#[test]
fn two_hosts_never_hold_the_lease_together_and_pause_between_their_orders() {
    for cut_at in (1_000..4_000).step_by(130) {
        let (mut store, mut first, mut second) =
            (RecordStore::default(), host_lease("a"), host_lease("b"));
        let (mut last_order, mut first_order) = (0, None);
        for now in (0..16_000).step_by(20) {
            // From `cut_at` on, the first holder cannot reach the store.
            if now < cut_at {
                perform_step(&mut first, &mut store, now);
            } else {
                first.step(ms(now), false);
            }
            perform_step(&mut second, &mut store, now);
            let both = first.token(ms(now)).is_some() && second.token(ms(now)).is_some();
            assert!(!both, "two hosts hold the lease at {now} ms, cut at {cut_at} ms");
            if first.order_token(ms(now)).is_some() {
                last_order = now;
            }
            if second.order_token(ms(now)).is_some() {
                first_order.get_or_insert(now);
            }
        }
        assert!(!second.follows_release());
        let first_order = first_order.expect("the second host should give orders");
        assert!(
            first_order >= last_order + LEASE_DURATION.as_millis() as u64,
            "orders of two holders at {last_order} and {first_order} ms, cut at {cut_at} ms"
        );
    }
}

/// Guards against orders of two holders without the pause: the answer to the take is lost,
/// and the record then names the new holder as the previous one.
#[test]
fn take_whose_answer_is_lost_keeps_the_pause_between_orders() {
    let (mut store, mut first, mut second) =
        (RecordStore::default(), host_lease("a"), host_lease("b"));
    let (mut last_order, mut first_order, mut is_lost) = (0, None, false);
    for now in (0..16_000).step_by(20) {
        // From two seconds on, the first holder cannot reach the store.
        if now < 2_000 {
            perform_step(&mut first, &mut store, now);
        } else {
            first.step(ms(now), false);
        }
        let action = second.step(ms(now), false);
        let is_take = now >= 2_000 && matches!(action, LeaseAction::Write { .. });
        if let Some(answer) = store.call(&action) {
            let answer = if is_take && !is_lost { LeaseAnswer::Unknown } else { answer };
            is_lost |= is_take;
            second.handle_answer(ms(now), ms(now), answer);
        }
        if first.order_token(ms(now)).is_some() {
            last_order = now;
        }
        if second.order_token(ms(now)).is_some() {
            first_order.get_or_insert(now);
        }
    }
    let pause = first_order.expect("the second host should give orders") - last_order;
    assert!(pause >= LEASE_DURATION.as_millis() as u64, "a pause of {pause} ms");
}

#[test]
fn announced_remaining_time_allows_an_earlier_takeover() {
    let takeover_at = |is_announced: bool| {
        let (mut store, mut first, mut second) =
            (RecordStore::default(), host_lease("a"), host_lease("b"));
        for now in (0..2_000).step_by(20) {
            perform_step(&mut first, &mut store, now);
            if let Some((version, remaining)) = first.remaining(ms(now)).filter(|_| is_announced) {
                second.record_remaining(ms(now), version, remaining);
            }
        }
        let mut now = 2_600;
        while second.token(ms(now)).is_none() {
            assert!(first.token(ms(now)).is_none() || now < 4_300);
            perform_step(&mut second, &mut store, now);
            now += 20;
            assert!(now < 20_000, "no host takes over the lease");
        }
        now
    };
    assert!(takeover_at(true) < takeover_at(false));
}

#[test]
fn renewal_without_an_answer_does_not_extend_the_lease() {
    let (mut store, mut first) = (RecordStore::default(), host_lease("a"));
    (0..2).for_each(|step| perform_step(&mut first, &mut store, step * 400));
    let held_from = 400;
    for now in (1_300..6_000).step_by(100) {
        let action = first.step(ms(now), false);
        if action != LeaseAction::Wait {
            store.call(&action);
            first.handle_answer(ms(now), ms(now), LeaseAnswer::Unknown);
        }
        if now > held_from + 3_000 {
            assert_eq!(first.token(ms(now)), None, "at {now} ms");
        }
    }
}

#[test]
fn stopping_host_releases_the_lease() {
    let (mut store, mut first, mut second) =
        (RecordStore::default(), host_lease("a"), host_lease("b"));
    (0..4).for_each(|step| perform_step(&mut first, &mut store, step * 300));
    first.start_release();
    (4..8).for_each(|step| perform_step(&mut first, &mut store, step * 300));
    assert!(first.has_released());
    (8..12).for_each(|step| perform_step(&mut second, &mut store, step * 300));
    assert_eq!(second.token(ms(3_400)), Some(2));
    assert_eq!(second.order_token(ms(3_400)), None);
    assert!(second.follows_release());
}

/// Guards against a service that does not return after a restart of all hosts because
/// the smallest of them coordinates the fleet.
#[test]
fn larger_host_takes_over_before_smaller_ones() {
    for first_step in 0..10 {
        let mut store = RecordStore::default();
        let mut small: Vec<CoordinatorLease> =
            (0..20).map(|number| host_lease(&format!("small-{number}"))).collect();
        let mut large = host_lease("large");
        small.iter_mut().for_each(|lease| lease.set_takeover_delay(takeover_delay(0.1, None)));
        large.set_takeover_delay(takeover_delay(1.0, None));
        for now in (first_step * 20..4_000).step_by(20) {
            small.iter_mut().for_each(|lease| perform_step(lease, &mut store, now));
            // The large host starts later than the others.
            if now > 200 {
                perform_step(&mut large, &mut store, now);
            }
        }
        assert_eq!(large.token(ms(3_999)), Some(1));
    }
}

#[test]
fn host_without_larger_ones_takes_over_without_delay() {
    assert_eq!(takeover_delay(0.3, Some(0.3)), Duration::ZERO);
    assert!(takeover_delay(0.3, Some(1.0)) > takeover_delay(0.6, Some(1.0)));
    let (cores, link_mbps) = (0.084, 10.0);
    assert!(compute_capacity(cores, link_mbps) < compute_capacity(0.5, 200.0) / 2.0);
}

/// Guards against a coordinator that cannot serve the fleet: after an outage of the
/// store every host had waited long enough to take the lease.
#[test]
fn larger_host_takes_over_first_after_an_outage_of_the_store() {
    let (mut store, mut small, mut large) =
        (RecordStore::default(), host_lease("small"), host_lease("large"));
    let mut former = host_lease("former");
    (0..5).for_each(|step| perform_step(&mut former, &mut store, step * 400));
    small.set_takeover_delay(takeover_delay(0.1, None));
    perform_step(&mut small, &mut store, 1_900);
    perform_step(&mut large, &mut store, 1_900);
    for now in (2_000..9_000).step_by(20) {
        for lease in [&mut small, &mut large] {
            if lease.step(ms(now), false) != LeaseAction::Wait {
                lease.handle_answer(ms(now), ms(now), LeaseAnswer::Refused);
            }
        }
    }
    for now in (9_000..12_000).step_by(20) {
        perform_step(&mut small, &mut store, now);
        // The larger host notices the return of the store later.
        if now > 9_300 {
            perform_step(&mut large, &mut store, now);
        }
    }
    assert_eq!(large.token(ms(11_980)), Some(2));
}

/// Guards against a coordinator that cannot serve the fleet and keeps the lease because
/// it took it while no larger host was there.
#[test]
fn small_holder_hands_the_lease_over_to_a_larger_host() {
    let (mut store, mut small, mut large) =
        (RecordStore::default(), host_lease("small"), host_lease("large"));
    let mut has_handed_over = false;
    for now in (0..6_000).step_by(20) {
        perform_step(&mut small, &mut store, now);
        if small.token(ms(now)).is_some() {
            has_handed_over |= small.hand_over(ms(now), 0.1, if now < 2_000 { 0.1 } else { 1.0 });
        }
        if now > 2_000 {
            perform_step(&mut large, &mut store, now);
        }
        small.set_takeover_delay(takeover_delay(0.1, Some(1.0)));
        assert!(small.token(ms(now)).is_none() || large.token(ms(now)).is_none());
    }
    assert!(has_handed_over);
    assert_eq!((small.token(ms(5_980)), large.token(ms(5_980))), (None, Some(2)));
    assert!(!large.hand_over(ms(9_000), 1.0, 1.0));
}

#[test]
fn holder_that_nobody_replaces_keeps_the_lease_after_a_handover() {
    let (mut store, mut small) = (RecordStore::default(), host_lease("small"));
    small.set_takeover_delay(takeover_delay(0.1, Some(1.0)));
    let mut handovers = 0;
    for now in (0..15_000).step_by(20) {
        perform_step(&mut small, &mut store, now);
        handovers += usize::from(small.hand_over(ms(now), 0.1, 1.0));
    }
    assert_eq!(handovers, 1);
    assert_eq!(small.token(ms(14_980)), Some(2));
    assert_eq!(small.order_token(ms(14_980)), Some(2));
}

#[test]
fn handover_takes_effect_although_a_renewal_is_on_its_way() {
    let (mut store, mut small) = (RecordStore::default(), host_lease("small"));
    (0..5).for_each(|step| perform_step(&mut small, &mut store, step * 400));
    let renewal = small.step(ms(2_450), false);
    assert!(matches!(renewal, LeaseAction::Write { .. }), "{renewal:?}");
    assert!(small.hand_over(ms(2_460), 0.1, 1.0));
    let answer = store.call(&renewal).expect("a write is answered");
    small.handle_answer(ms(2_470), ms(2_450), answer);
    assert_eq!(small.order_token(ms(2_480)), None);
    for now in (2_480..4_000).step_by(20) {
        let released = store.record.as_ref().is_some_and(|record| record.is_released);
        if released {
            return;
        }
        perform_step(&mut small, &mut store, now);
    }
    panic!("the lease is not released");
}

/// Guards against a lower token after a higher one: the record cannot be decoded, so
/// its token is not known. Each token is written once, so none exceeds the version.
#[test]
fn token_after_an_unreadable_record_is_higher_than_all_before() {
    let mut lease = host_lease("a");
    let mut written = None;
    for step in 0..20 {
        match lease.step(ms(step * 400), false) {
            LeaseAction::Wait => {}
            LeaseAction::Read => {
                let answer =
                    LeaseAnswer::Found { version: 70, era: None, record: None, is_written: false };
                lease.handle_answer(ms(step * 400), ms(step * 400), answer);
            }
            LeaseAction::Write { expected, record } => {
                written = Some((expected, record.token));
                break;
            }
        }
    }
    assert_eq!(written, Some((Some(70), 71)));
}
