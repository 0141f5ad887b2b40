//! How old knowledge of the store may be, and who has to ask for it.
//!
//! A host hears of changes from the coordinator, with the age of what the
//! coordinator knows. One that is cut from the store goes on answering, so a
//! host asks the store itself as soon as that age says that a change could be
//! missed, long before the bound by which a change must be in force.

use std::time::Duration;

/// Time that a watch waits for a change. Its answer proves that what is known
/// is current, so this is the age that knowledge reaches in calm times.
pub const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Age of the coordinator's knowledge beyond which a host asks the store
/// itself; above [`WATCH_WAIT`] and the time of an exchange.
pub const ASK_AGE: Duration = Duration::from_millis(1_050);
/// Shortest time between two exchanges with the coordinator.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(80);
/// Time that the coordinator has for the exchange of one host; with many hosts
/// each exchanges less often.
pub const EXCHANGE_SHARE: Duration = Duration::from_millis(3);
/// Age of the declaration beyond which a missing route or key proves nothing.
pub const ABSENCE_MAX_AGE: Duration = Duration::from_millis(2_000);
/// Age of the declaration up to which a host counts as ready.
pub const READY_MAX_AGE: Duration = Duration::from_millis(3_800);
/// Time before the bound on withdrawn keys at which requests are refused: the
/// way to the engine and the delay of a watch count as well.
pub const REVOCATION_MARGIN: Duration = Duration::from_millis(900);

/// Returns whether a host has to ask the store itself, where the coordinator
/// knows its state of `age` ago.
pub fn needs_store_read(is_coordinator: bool, is_behind: bool, age: Duration) -> bool {
    is_coordinator || is_behind || age > ASK_AGE
}

/// Returns whether keys may still be judged by a declaration of an age.
pub fn can_check_keys(revocation: Duration, age: Duration) -> bool {
    age <= revocation.saturating_sub(REVOCATION_MARGIN)
}

/// Returns the time between two exchanges of a host among `hosts`.
pub fn exchange_interval(hosts: u32) -> Duration {
    EXCHANGE_INTERVAL.max(EXCHANGE_SHARE * hosts)
}
