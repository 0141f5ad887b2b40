//! Changes are in force within the bound even if some hosts lose the store.

use std::time::Duration;

use skylarkgw::decision::freshness::{
    COORDINATOR_BATCH_DELAY, EXCHANGE_INTERVAL, EXCHANGE_TIMEOUT, WATCH_WAIT, can_check_keys,
    contact_timeout, exchange_interval, needs_store_read, silence_timeout, watch_wait,
};

use crate::samples::ms;

/// Bound within which deployments put a declaration or the departure of an
/// engine into force.
const IN_FORCE_BOUND: Duration = Duration::from_millis(2_000);
/// Time to read the store from a slow host, including all pages.
const STORE_READ_TIME: Duration = Duration::from_millis(300);

#[test]
fn change_is_in_force_in_time_when_the_coordinator_loses_the_store() {
    for outage_at in (0..WATCH_WAIT.as_millis() as u64).step_by(10) {
        // The last answer of the store is from time zero. The change and the
        // outage happen at the same time.
        let (change_at, mut now) = (ms(outage_at), ms(outage_at));
        while !needs_store_read(false, false, now) {
            now += EXCHANGE_INTERVAL;
            assert!(now < ms(10_000), "the host never reads the store");
        }
        let read_at = now + STORE_READ_TIME;
        assert!(
            read_at < change_at + IN_FORCE_BOUND,
            "store lost {outage_at} ms after an answer, change known at {read_at:?}"
        );
    }
}

#[test]
fn hosts_leave_store_reads_to_a_coordinator_that_is_current() {
    let oldest_age = WATCH_WAIT + EXCHANGE_INTERVAL * 2;
    assert!(!needs_store_read(false, false, oldest_age));
    assert!(needs_store_read(true, false, Duration::ZERO));
    assert!(needs_store_read(false, true, Duration::ZERO));
}

#[test]
fn keys_are_refused_before_the_bound_on_withdrawals_has_passed() {
    let revocation = ms(5_000);
    assert!(can_check_keys(revocation, ms(2_500)));
    assert!(!can_check_keys(revocation, ms(4_200)));
    assert!(!can_check_keys(ms(500), ms(1)));
}

/// Guards against store calls of all hosts after every change: the next watch of the
/// coordinator waited so long that its copy seemed outdated to them.
#[test]
fn change_does_not_make_hosts_read_the_store() {
    for event_at in (0..=WATCH_WAIT.as_millis() as u64).step_by(10) {
        // The watch with the event confirms the state only of the time it was sent.
        let age = ms(event_at) + COORDINATOR_BATCH_DELAY;
        let confirmed_at = age + watch_wait(age) + EXCHANGE_INTERVAL;
        assert!(
            !needs_store_read(false, false, confirmed_at),
            "event {event_at} ms into a watch, copy {confirmed_at:?} old"
        );
    }
}

/// Guards against a fleet that turns to the store because one exchange was late: the
/// time between two exchanges of a large fleet left none for a second attempt.
#[test]
fn one_late_exchange_does_not_lose_the_coordinator() {
    for hosts in [1, 12, 50, 133] {
        let second_reply = exchange_interval(hosts) + EXCHANGE_TIMEOUT + EXCHANGE_INTERVAL;
        assert!(second_reply < contact_timeout(hosts), "{hosts} hosts");
        let read_at = contact_timeout(hosts) + WATCH_WAIT + STORE_READ_TIME;
        assert!(read_at < IN_FORCE_BOUND, "{hosts} hosts: change known after {read_at:?}");
    }
}

/// Size of the largest fleet that is planned for.
const MAX_HOSTS: u32 = 1_100;
/// Bound within which the largest deployments put a declaration into force.
const LARGE_IN_FORCE_BOUND: Duration = Duration::from_millis(4_000);

/// Pattern: any number of hosts, each of which reports at its interval. Guards against a
/// fleet of 295 hosts in which every host counted as silent between two reports: half of
/// its quotas was withheld, and half of the running requests were not counted.
#[test]
fn no_host_that_reports_at_its_interval_counts_as_silent_or_lost() {
    for hosts in 1..=MAX_HOSTS {
        let second_reply = exchange_interval(hosts) + EXCHANGE_TIMEOUT + EXCHANGE_INTERVAL;
        assert!(second_reply < contact_timeout(hosts), "{hosts} hosts");
        let late_report = exchange_interval(hosts) + EXCHANGE_INTERVAL;
        assert!(late_report < silence_timeout(hosts), "{hosts} hosts");
        let read_at = contact_timeout(hosts) + WATCH_WAIT + STORE_READ_TIME;
        let bound = if hosts <= 295 { IN_FORCE_BOUND } else { LARGE_IN_FORCE_BOUND };
        assert!(read_at < bound, "{hosts} hosts: change known after {read_at:?}");
    }
}
