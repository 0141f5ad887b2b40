//! Logs in JSON lines, and metrics.

mod bounded;
mod fleet_metrics;
mod metrics;
mod wait_metrics;

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Logger, info, warn};

pub use bounded::{allow_request_log, init_bounded_logger};
pub use fleet_metrics::{CoordinatorWork, FleetMetrics};
pub use metrics::{Metrics, RequestClass, RequestOutcome};
pub use wait_metrics::WaitMetrics;

/// An error in setting up the log.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum TelemetryError {
    /// The logger cannot be built.
    #[error("cannot build the logger")]
    Log(#[from] spdlog::Error),
}

/// Installs the default logger, which writes JSON lines to standard output.
///
/// # Errors
///
/// Returns [`TelemetryError::Log`] if the logger cannot be built.
pub fn init_logger() -> Result<(), TelemetryError> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger =
        Logger::builder().sink(sink).flush_level_filter(spdlog::LevelFilter::All).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Logs that a supervised task ended early and is restarted.
pub fn log_task_end(name: &'static str, panicked: bool) {
    if panicked {
        warn!("task panicked and is restarted", kv: { task = name });
    } else {
        info!("task ended and is restarted", kv: { task = name });
    }
}
