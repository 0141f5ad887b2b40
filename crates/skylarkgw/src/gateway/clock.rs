//! Time that goes on while the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the host booted, suspension included.
///
/// [`std::time::Instant`] stands still while a host is suspended, so a lease
/// dated by it would outlive its end.
pub fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}
