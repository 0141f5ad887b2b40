//! JSON-line logs and metrics.

mod bounded;
mod metrics;

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Logger, info, warn};

pub use bounded::{allow_request_log, init_bounded_logger};
pub use metrics::{Metrics, RequestClass, RequestOutcome};

/// Why logs cannot be written.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum TelemetryError {
    /// The log cannot be set up.
    #[error("the log cannot be set up")]
    Log(#[from] spdlog::Error),
}

/// Sends all log lines to standard output as JSON.
///
/// # Errors
///
/// [`TelemetryError::Log`] if the logger cannot be built.
pub fn start_log() -> Result<(), TelemetryError> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger =
        Logger::builder().sink(sink).flush_level_filter(spdlog::LevelFilter::All).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Logs that a supervised task ended early.
pub fn task_ended(name: &'static str, panicked: bool) {
    if panicked {
        warn!("task panicked and is started again", kv: { task = name });
    } else {
        info!("task ended and is started again", kv: { task = name });
    }
}
