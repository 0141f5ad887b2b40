//! Limits on the age of state read from the store, and the decision whether a
//! host reads the store itself.
//!
//! A host receives changes from the coordinator, along with the age of the
//! coordinator's state. A coordinator that has lost the store still replies. A
//! host therefore reads the store itself as soon as that age shows that a
//! change could have been missed, long before the bound within which a change
//! must be in force.

use std::time::Duration;

/// Time for which a watch waits for a change. Its answer proves that the state
/// is current, so the state reaches this age when nothing changes.
pub const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Shortest wait of a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(100);
/// Delay between an answer with changes and the next watch of the coordinator, so
/// that the next answer contains all changes of that time.
pub const COORDINATOR_BATCH_DELAY: Duration = Duration::from_millis(120);
/// The same delay on any other host. All of them watch while there is no
/// coordinator.
pub const HOST_BATCH_DELAY: Duration = Duration::from_millis(250);
/// Age of the coordinator's state above which a host reads the store itself. It
/// exceeds [`WATCH_WAIT`] plus the time of an exchange.
pub const STORE_READ_AGE: Duration = Duration::from_millis(1_050);
/// Time after its start for which a host looks for the coordinator before it reads the
/// store. Where all hosts start at once, the store would get the calls of all of them.
const COORDINATOR_SEARCH_TIME: Duration = Duration::from_millis(600);
/// Minimum time between two exchanges of a host with the coordinator.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(80);
/// Time that the coordinator has for the exchange of one host. With many hosts,
/// each exchanges less often.
pub const EXCHANGE_TIME_PER_HOST: Duration = Duration::from_millis(1);
/// Longest time to wait for the reply to a report; a suspended coordinator does
/// not answer.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest time without a reply after which the coordinator counts as lost.
const MIN_CONTACT_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest time without a report or reply after which a host and its coordinator count
/// each other as silent.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(450);
/// Age of the declaration above which the absence of a route or key proves
/// nothing.
pub const ABSENCE_MAX_AGE: Duration = Duration::from_millis(2_000);
/// Maximum age of the declaration at which a host is ready.
pub const READY_MAX_AGE: Duration = Duration::from_millis(3_800);
/// Time by which the age of a declaration used to check keys must stay below the
/// bound on the revocation of keys. It covers the transfer of a request to the
/// engine and the delay of a watch.
pub const REVOCATION_MARGIN: Duration = Duration::from_millis(900);

/// Returns whether a host must read the store itself.
///
/// `is_behind` is whether the host has an older state than the coordinator, and
/// `age` is the age of the coordinator's state.
pub fn needs_store_read(is_coordinator: bool, is_behind: bool, age: Duration) -> bool {
    is_coordinator || is_behind || age > STORE_READ_AGE
}

/// Returns whether a host leaves the store to the coordinator that it still looks for, at
/// `uptime` after its start.
pub fn is_searching_coordinator(uptime: Duration) -> bool {
    uptime < COORDINATOR_SEARCH_TIME
}

/// Returns whether a declaration of the given age may be used to check keys.
///
/// `revocation` is the time within which a withdrawn key must be refused.
pub fn can_check_keys(revocation: Duration, age: Duration) -> bool {
    age <= revocation.saturating_sub(REVOCATION_MARGIN)
}

/// Returns the time between two exchanges of one of `hosts` hosts with the
/// coordinator.
pub fn exchange_interval(hosts: u32) -> Duration {
    EXCHANGE_INTERVAL.max(EXCHANGE_TIME_PER_HOST * hosts)
}

/// Returns the time for which a watch waits for a change if the state is `age` old.
///
/// An answer with changes proves only that the state was current when the watch was
/// sent, so the next watch must end sooner.
pub fn watch_wait(age: Duration) -> Duration {
    limit_watch_wait(WATCH_WAIT, age)
}

/// Returns the same time for a kind of object whose watches wait for `longest`.
pub fn limit_watch_wait(longest: Duration, age: Duration) -> Duration {
    longest.saturating_sub(age).max(MIN_WATCH_WAIT)
}

/// Returns the delay between an answer with changes and the next watch.
pub fn batch_delay(is_coordinator: bool) -> Duration {
    if is_coordinator { COORDINATOR_BATCH_DELAY } else { HOST_BATCH_DELAY }
}

/// Returns the time without a reply after which the coordinator of `hosts` hosts
/// counts as lost. One exchange may fail and be repeated within it.
pub fn contact_timeout(hosts: u32) -> Duration {
    let timeout = exchange_interval(hosts) + EXCHANGE_TIMEOUT + EXCHANGE_INTERVAL * 2;
    timeout.max(MIN_CONTACT_TIMEOUT)
}

/// Returns the time without a report or reply after which a host of `hosts` and its
/// coordinator count each other as silent: the host then spends quotas at its last rate,
/// the coordinator withholds them and leaves out the requests that run there.
pub fn silence_timeout(hosts: u32) -> Duration {
    MIN_SILENCE_TIMEOUT.max(exchange_interval(hosts) + EXCHANGE_TIMEOUT)
}
