//! Measurements of an experiment.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::call::{CallResult, LoadError, RequestOutcome};
use crate::load::experiment::{FlowSettings, LoadSettings};

const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Accumulated measurements of one flow.
#[derive(Debug)]
pub struct FlowReport {
    flow: FlowSettings,
    counts: [u64; 5],
    attained: u64,
    tokens: u64,
    first_latencies: Histogram<u64>,
    total_latencies: Histogram<u64>,
}

/// Summary of one flow, as printed in JSON.
///
/// Times are in milliseconds and cover complete responses only. They are
/// measured from the intended start of a request.
#[derive(Clone, Debug, Serialize)]
pub struct FlowSummary {
    /// Name of the flow.
    pub name: String,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete responses.
    pub answered: u64,
    /// Fraction of the requests sent whose response met the latency objectives.
    pub attainment: f64,
    /// Number of requests refused because the allowance was used up.
    pub refused_allowance: u64,
    /// Number of requests refused for other reasons.
    pub refused_other: u64,
    /// Number of requests with an unknown outcome.
    pub unknown: u64,
    /// Number of failed connections and incomplete responses.
    pub failed: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Median time to the first token.
    pub first_p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_p95_ms: f64,
    /// 99th percentile of the time to the first token.
    pub first_p99_ms: f64,
    /// Median time to the end of the response.
    pub whole_p50_ms: f64,
    /// 99th percentile of the time to the end of the response.
    pub whole_p99_ms: f64,
}

/// Accumulated measurements of all flows.
#[derive(Debug)]
pub struct LoadReport {
    flows: Vec<FlowReport>,
}

impl LoadReport {
    /// Creates an empty report.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Histogram`] if a histogram cannot be built.
    pub fn new(settings: &LoadSettings) -> Result<LoadReport, LoadError> {
        let flows = settings.flows.iter().map(FlowReport::new);
        Ok(LoadReport { flows: flows.collect::<Result<_, _>>()? })
    }

    /// Records a result of the flow at the index `flow_index` of the settings.
    ///
    /// # Panics
    ///
    /// Panics if the settings have no flow at this index.
    pub fn record(&mut self, flow_index: usize, result: &CallResult) {
        self.flows[flow_index].record(result);
    }

    /// Returns the summaries of all flows.
    pub fn summarize(&self) -> Vec<FlowSummary> {
        self.flows.iter().map(FlowReport::summarize).collect()
    }

    /// Returns the summaries as an aligned table.
    pub fn to_table(&self) -> String {
        let header = format!(
            "{:<16} {:>7} {:>8} {:>8} {:>9} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9}",
            "flow",
            "sent",
            "answered",
            "attained",
            "allowance",
            "refused",
            "unknown",
            "failed",
            "first p50",
            "first p99",
            "whole p99"
        );
        let lines = self.summarize().into_iter().map(|summary| {
            format!(
                "{:<16} {:>7} {:>8} {:>7.1}% {:>9} {:>7} {:>7} {:>9} {:>7.2}ms {:>7.2}ms {:>7.2}ms",
                summary.name,
                summary.sent,
                summary.answered,
                summary.attainment * 100.0,
                summary.refused_allowance,
                summary.refused_other,
                summary.unknown,
                summary.failed,
                summary.first_p50_ms,
                summary.first_p99_ms,
                summary.whole_p99_ms,
            )
        });
        std::iter::once(header).chain(lines).collect::<Vec<_>>().join("\n")
    }
}

impl FlowReport {
    fn new(flow: &FlowSettings) -> Result<FlowReport, LoadError> {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Ok(FlowReport {
            flow: flow.clone(),
            counts: [0; 5],
            attained: 0,
            tokens: 0,
            first_latencies: histogram()?,
            total_latencies: histogram()?,
        })
    }

    fn record(&mut self, result: &CallResult) {
        self.counts[result.outcome as usize] += 1;
        self.tokens += result.tokens;
        if result.outcome != RequestOutcome::Answered {
            return;
        }
        let first_latency = result.first_latency.unwrap_or(result.total_latency);
        self.first_latencies.saturating_record(first_latency.as_micros() as u64);
        self.total_latencies.saturating_record(result.total_latency.as_micros() as u64);
        self.attained += u64::from(self.meets_objectives(first_latency, result));
    }

    fn meets_objectives(&self, first_latency: Duration, result: &CallResult) -> bool {
        let gaps = result.tokens.saturating_sub(1).max(1) as f64;
        let mean_gap_ms =
            result.total_latency.saturating_sub(first_latency).as_secs_f64() * 1_000.0 / gaps;
        first_latency.as_millis() as u64 <= self.flow.first_token_ms
            && mean_gap_ms <= self.flow.token_gap_ms as f64
    }

    fn summarize(&self) -> FlowSummary {
        let count = |outcome: RequestOutcome| self.counts[outcome as usize];
        let sent: u64 = self.counts.iter().sum();
        let quantile_ms = |histogram: &Histogram<u64>, quantile: f64| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        FlowSummary {
            name: self.flow.name.to_string(),
            sent,
            answered: count(RequestOutcome::Answered),
            attainment: self.attained as f64 / sent.max(1) as f64,
            refused_allowance: count(RequestOutcome::RefusedAllowance),
            refused_other: count(RequestOutcome::RefusedOther),
            unknown: count(RequestOutcome::Unknown),
            failed: count(RequestOutcome::Failed),
            tokens: self.tokens,
            first_p50_ms: quantile_ms(&self.first_latencies, 0.5),
            first_p95_ms: quantile_ms(&self.first_latencies, 0.95),
            first_p99_ms: quantile_ms(&self.first_latencies, 0.99),
            whole_p50_ms: quantile_ms(&self.total_latencies, 0.5),
            whole_p99_ms: quantile_ms(&self.total_latencies, 0.99),
        }
    }
}
