//! Metrics of the requests that wait at a host for a free place.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};

use crate::decision::dispatch::urgency::UrgencyLevel;
use crate::decision::dispatch::wait_queue::WaitOutcome;

/// Upper bounds of the buckets for the time that requests wait.
const WAIT_BUCKETS_S: [f64; 8] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// Metrics of the queue of a host, by the urgency of the requests.
#[derive(Debug)]
pub struct WaitMetrics {
    waiting: IntGaugeVec,
    ended: IntCounterVec,
    seconds: HistogramVec,
}

impl WaitMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if a name is already registered, which is a
    /// defect.
    pub fn new(registry: &Registry) -> Result<WaitMetrics, prometheus::Error> {
        let waiting = Opts::new("skylark_waiting_requests", "Requests that wait, by urgency");
        let waiting = IntGaugeVec::new(waiting, &["urgency"])?;
        let ended = Opts::new("skylark_waits_total", "Ended waits by urgency and outcome");
        let ended = IntCounterVec::new(ended, &["urgency", "outcome"])?;
        let seconds = HistogramOpts::new("skylark_wait_seconds", "Time that requests waited")
            .buckets(WAIT_BUCKETS_S.to_vec());
        let seconds = HistogramVec::new(seconds, &["urgency", "outcome"])?;
        registry.register(Box::new(waiting.clone()))?;
        registry.register(Box::new(ended.clone()))?;
        registry.register(Box::new(seconds.clone()))?;
        Ok(WaitMetrics { waiting, ended, seconds })
    }

    /// Records that a request begins to wait.
    pub fn record_begin(&self, level: UrgencyLevel) {
        self.waiting.with_label_values(&[&level.to_string()]).inc();
    }

    /// Records that a request has waited.
    pub fn record_end(&self, level: UrgencyLevel, waited: Duration, outcome: WaitOutcome) {
        let level = level.to_string();
        self.waiting.with_label_values(&[&level]).dec();
        self.ended.with_label_values(&[&*level, outcome.label()]).inc();
        let seconds = self.seconds.with_label_values(&[&*level, outcome.label()]);
        seconds.observe(waited.as_secs_f64());
    }
}
