//! Changes are in force in time although a part of the hosts lost the store.

use std::time::Duration;

use skylarkgw::decision::freshness::{
    EXCHANGE_INTERVAL, WATCH_WAIT, can_check_keys, needs_store_read,
};

use crate::samples::ms;

/// Bound of the deployments for a declaration and for a leaving engine.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// Time to ask the store, with a slow host and pages.
const ASKING: Duration = Duration::from_millis(300);

#[test]
fn change_is_in_force_in_time_though_the_coordinator_lost_the_store() {
    for cut_after in (0..WATCH_WAIT.as_millis() as u64).step_by(10) {
        // The last proof is from time zero; the change comes with the cut.
        let (change, mut now) = (ms(cut_after), ms(cut_after));
        while !needs_store_read(false, false, now) {
            now += EXCHANGE_INTERVAL;
            assert!(now < ms(10_000), "nobody asks the store");
        }
        let known = now + ASKING;
        assert!(known < change + IN_FORCE, "cut {cut_after} ms after a proof, known at {known:?}");
    }
}

#[test]
fn calm_hosts_leave_the_store_to_the_coordinator() {
    let oldest = WATCH_WAIT + EXCHANGE_INTERVAL * 2;
    assert!(!needs_store_read(false, false, oldest));
    assert!(needs_store_read(true, false, Duration::ZERO));
    assert!(needs_store_read(false, true, Duration::ZERO));
}

#[test]
fn keys_are_refused_before_a_withdrawal_can_be_overdue() {
    let revocation = ms(5_000);
    assert!(can_check_keys(revocation, ms(2_500)));
    assert!(!can_check_keys(revocation, ms(4_200)));
    assert!(!can_check_keys(ms(500), ms(1)));
}
