//! Logs that never block and whose volume is bounded.
//!
//! Lines go through a queue to a thread of their own; a line that finds the
//! queue full is dropped and counted. Lines of requests are bounded beside
//! that: those that did not end well come first.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{ErrorHandler, Logger, ThreadPool};

use crate::telemetry::TelemetryError;

/// Lines that wait at most.
const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(512).expect("not zero");
/// Request lines a second, over all outcomes.
const LINES_PER_S: f64 = 60.0;
/// Request lines that may be written at once.
const LINE_BURST: f64 = 120.0;
/// Part of the burst that is kept for requests that did not end well.
const KEPT_SHARE: f64 = 0.5;

static DROPPED: AtomicU64 = AtomicU64::new(0);
static ALLOWANCE: Mutex<LineAllowance> =
    Mutex::new(LineAllowance { level: LINE_BURST, at: Duration::ZERO });

struct LineAllowance {
    level: f64,
    at: Duration,
}

/// Sends log lines to standard output as JSON, without ever waiting for it.
///
/// # Errors
///
/// [`TelemetryError::Log`] if the logger cannot be built.
pub fn init_bounded_logger() -> Result<(), TelemetryError> {
    let output = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder().capacity(QUEUE_LINES).build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(output)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }))
        .thread_pool(pool)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(queue)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }))
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Returns whether the line of a request may be written, and counts it if not.
pub fn allow_request_log(now: Duration, ended_well: bool) -> bool {
    let mut allowance = ALLOWANCE.lock().unwrap_or_else(PoisonError::into_inner);
    let elapsed = now.saturating_sub(allowance.at).as_secs_f64();
    allowance.at = now;
    allowance.level = (allowance.level + elapsed * LINES_PER_S).min(LINE_BURST);
    let kept = if ended_well { LINE_BURST * KEPT_SHARE } else { 0.0 };
    let is_allowed = allowance.level >= kept + 1.0;
    if is_allowed {
        allowance.level -= 1.0;
    } else {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
    is_allowed
}

/// Returns the lines that were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}
