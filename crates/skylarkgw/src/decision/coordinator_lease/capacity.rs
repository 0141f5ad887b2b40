//! Which hosts leave a free lease to others.

use std::time::Duration;

/// Longest time for which a host with little capacity leaves the lease to others.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(600);
/// Processor share, in cores, and link with which a host can coordinate a fleet of
/// any supported size.
const FULL_CAPACITY: (f64, f64) = (0.25, 100.0);

/// Returns the capacity of a host to coordinate a fleet, from 0 to 1.
///
/// `cores` is its share of processor cores and `link_mbps` its link, in Mbit/s.
pub fn compute_capacity(cores: f64, link_mbps: f64) -> f64 {
    (cores / FULL_CAPACITY.0).min(link_mbps / FULL_CAPACITY.1).clamp(0.0, 1.0)
}

/// Returns the time for which a host leaves a free lease to hosts with more capacity.
///
/// `largest` is the largest capacity of any host of the fleet, if it is known.
pub fn takeover_delay(capacity: f64, largest: Option<f64>) -> Duration {
    let largest = largest.unwrap_or(1.0).max(capacity).max(f64::MIN_POSITIVE);
    MAX_TAKEOVER_DELAY.mul_f64(1.0 - capacity / largest)
}
