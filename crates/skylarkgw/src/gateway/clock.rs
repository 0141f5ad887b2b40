//! A monotonic clock that includes the time for which the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the host booted, including time in suspension.
///
/// [`std::time::Instant`] does not advance while the host is suspended, so a
/// lease measured with it would still appear valid after it had expired.
pub fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}
