//! A non-blocking logger with a bounded volume.
//!
//! Lines pass through a queue to a separate thread. A line is dropped and counted if
//! the queue is full. Request lines are also limited by a token bucket, which
//! reserves a part of its burst for requests that were not answered.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{ErrorHandler, Logger, ThreadPool};

use crate::telemetry::TelemetryError;

/// Largest number of queued lines.
const QUEUE_CAPACITY: NonZeroUsize = NonZeroUsize::new(512).expect("not zero");
/// Sustained rate of request lines, over all outcomes.
const LINES_PER_S: f64 = 60.0;
/// Largest number of request lines that may be written at once.
const LINE_BURST: f64 = 120.0;
/// Fraction of the burst that is reserved for requests that were not answered.
const RESERVED_FRACTION: f64 = 0.5;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static BUCKET: Mutex<LineBucket> =
    Mutex::new(LineBucket { lines: LINE_BURST, refilled_at: Duration::ZERO });

/// The token bucket of request lines.
struct LineBucket {
    lines: f64,
    refilled_at: Duration,
}

/// Installs the default logger, which writes JSON lines to standard output without
/// blocking the caller.
///
/// # Errors
///
/// Returns [`TelemetryError::Log`] if the logger cannot be built.
pub fn init_bounded_logger() -> Result<(), TelemetryError> {
    let output = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder().capacity(QUEUE_CAPACITY).build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(output)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }))
        .thread_pool(pool)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(queue)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }))
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Takes a token for a request line and returns whether the line may be written.
///
/// If the bucket has too few tokens, the line is counted as dropped. `now` is the
/// current time on a monotonic clock, and `is_answered` is true if the request was
/// answered.
pub fn allow_request_log(now: Duration, is_answered: bool) -> bool {
    let mut bucket = BUCKET.lock().unwrap_or_else(PoisonError::into_inner);
    let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
    bucket.refilled_at = now;
    bucket.lines = (bucket.lines + elapsed * LINES_PER_S).min(LINE_BURST);
    let reserved = if is_answered { LINE_BURST * RESERVED_FRACTION } else { 0.0 };
    let is_allowed = bucket.lines >= reserved + 1.0;
    if is_allowed {
        bucket.lines -= 1.0;
    } else {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
    is_allowed
}

/// Returns the number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}
