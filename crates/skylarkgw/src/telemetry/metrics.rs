//! Prometheus metrics of a host.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::decision::invariant::Invariant;
use crate::telemetry::bounded::dropped_lines;
use crate::telemetry::fleet_metrics::FleetMetrics;
use crate::telemetry::wait_metrics::WaitMetrics;

/// Upper bounds of the buckets for the time to the first token and to the end of a
/// response.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.32, 0.48, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0];
/// Upper bounds of the buckets for the time between two tokens.
const TOKEN_GAP_BUCKETS_S: [f64; 10] =
    [0.002, 0.005, 0.01, 0.016, 0.024, 0.032, 0.05, 0.1, 0.25, 1.0];

/// The class of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestClass {
    /// A chat or text completion.
    Model,
    /// A call to a plain service.
    Service,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The client received the complete response.
    Answered,
    /// The request was refused and was not executed.
    NotRun,
    /// The request may have been executed, but the client received an error instead of
    /// the complete response.
    Unknown,
    /// The client closed the connection before the response was complete.
    Abandoned,
}

impl RequestClass {
    fn label(self) -> &'static str {
        match self {
            RequestClass::Model => "model",
            RequestClass::Service => "service",
        }
    }
}

impl RequestOutcome {
    fn label(self) -> &'static str {
        match self {
            RequestOutcome::Answered => "answered",
            RequestOutcome::NotRun => "not-run",
            RequestOutcome::Unknown => "unknown",
            RequestOutcome::Abandoned => "abandoned",
        }
    }
}

/// The metrics of a host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    first_token: HistogramVec,
    token_gap: HistogramVec,
    whole_answer: HistogramVec,
    violations: IntCounterVec,
    /// Number of calls to the platform.
    pub platform_calls: IntCounter,
    /// Number of calls to the platform without a usable response.
    pub platform_failures: IntCounter,
    /// Number of messages to other hosts that were dropped or not delivered.
    pub peer_drops: IntCounter,
    /// Number of messages, reports and objects that could not be decoded.
    pub decode_failures: IntCounter,
    /// Number of streams resumed on a new connection.
    pub resumes: IntCounter,
    log_drops: IntCounter,
    /// Number of requests that are running.
    pub running: IntGauge,
    /// Revision of the configuration in force.
    pub revision: IntGauge,
    /// 1 if this host accepts requests, otherwise 0.
    pub serving: IntGauge,
    /// Number of live members, without this host.
    pub members: IntGauge,
    /// Calls to the store, the coordinator and engines.
    pub fleet: FleetMetrics,
    /// Requests that wait at this host.
    pub waits: WaitMetrics,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if two metrics have the same name, which is a
    /// defect.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let counter_vector = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let vector = HistogramVec::new(options, &["workspace", "class"])?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        Ok(Metrics {
            requests: counter_vector(
                "skylark_requests_total",
                "Requests by workspace, class and outcome",
                &["workspace", "class", "outcome"],
            )?,
            refusals: counter_vector(
                "skylark_refusals_total",
                "Refusals by workspace and reason",
                &["workspace", "reason"],
            )?,
            first_token: histogram(
                "skylark_first_token_seconds",
                "Time from the request to its first token",
                &LATENCY_BUCKETS_S,
            )?,
            token_gap: histogram(
                "skylark_token_gap_seconds",
                "Time between two tokens of a stream",
                &TOKEN_GAP_BUCKETS_S,
            )?,
            whole_answer: histogram(
                "skylark_whole_answer_seconds",
                "Time from the request to the end of its answer",
                &LATENCY_BUCKETS_S,
            )?,
            violations: counter_vector(
                "skylark_invariant_violations_total",
                "Invariants found violated; any value above zero is a defect",
                &["invariant"],
            )?,
            platform_calls: counter("skylark_platform_calls_total", "Calls to the platform")?,
            platform_failures: counter(
                "skylark_platform_failures_total",
                "Calls to the platform without a usable answer",
            )?,
            peer_drops: counter(
                "skylark_peer_drops_total",
                "Messages to other hosts that were not delivered",
            )?,
            decode_failures: counter(
                "skylark_decode_failures_total",
                "Messages, reports and objects that could not be decoded",
            )?,
            resumes: counter(
                "skylark_stream_resumes_total",
                "Streams resumed on a new connection",
            )?,
            log_drops: counter(
                "skylark_log_lines_dropped_total",
                "Log lines that were not written, to keep the volume bounded",
            )?,
            running: gauge("skylark_requests_running", "Requests that run now")?,
            revision: gauge("skylark_revision_in_force", "Configuration in force")?,
            serving: gauge("skylark_serving", "Whether this host takes requests")?,
            members: gauge("skylark_members", "Other hosts that are heard from")?,
            fleet: FleetMetrics::new(&registry)?,
            waits: WaitMetrics::new(&registry)?,
            registry,
        })
    }

    /// Counts a request that has ended.
    pub fn count_request(&self, workspace: &str, class: RequestClass, outcome: RequestOutcome) {
        self.requests.with_label_values(&[workspace, class.label(), outcome.label()]).inc();
    }

    /// Counts a refusal by its reason.
    pub fn count_refusal(&self, workspace: &str, reason: &'static str) {
        self.refusals.with_label_values(&[workspace, reason]).inc();
    }

    /// Records the time to the first token, in seconds.
    pub fn observe_first_token(&self, workspace: &str, class: RequestClass, seconds: f64) {
        self.first_token.with_label_values(&[workspace, class.label()]).observe(seconds);
    }

    /// Records the time between two tokens, in seconds.
    pub fn observe_token_gap(&self, workspace: &str, class: RequestClass, seconds: f64) {
        self.token_gap.with_label_values(&[workspace, class.label()]).observe(seconds);
    }

    /// Records the time to the end of a response, in seconds.
    pub fn observe_whole_answer(&self, workspace: &str, class: RequestClass, seconds: f64) {
        self.whole_answer.with_label_values(&[workspace, class.label()]).observe(seconds);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        for invariant in Invariant::ALL {
            let counter = self.violations.with_label_values(&[invariant.label()]);
            counter.inc_by(invariant.violations().saturating_sub(counter.get()));
        }
        let new_drops = dropped_lines().saturating_sub(self.log_drops.get());
        self.log_drops.inc_by(new_drops);
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
