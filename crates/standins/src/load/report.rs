//! What an experiment measured.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::call::{CallResult, CallVerdict, LoadError};
use crate::load::experiment::{FlowSettings, LoadSettings};

const LONGEST_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Figures of one flow.
#[derive(Debug)]
pub struct FlowReport {
    flow: FlowSettings,
    counts: [u64; 5],
    attained: u64,
    tokens: u64,
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

/// Figures of one flow as JSON; times in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct FlowFigures {
    /// Name of the flow.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Answers within the objectives, as a fraction of those sent.
    pub attainment: f64,
    /// Refused for the allowance.
    pub refused_allowance: u64,
    /// Refused for other reasons.
    pub refused_other: u64,
    /// Unknown outcomes.
    pub unknown: u64,
    /// Failed connections and cut answers.
    pub failed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Median time to the first token.
    pub first_p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_p95_ms: f64,
    /// 99th percentile of the time to the first token.
    pub first_p99_ms: f64,
    /// Median time to the end.
    pub whole_p50_ms: f64,
    /// 99th percentile of the time to the end.
    pub whole_p99_ms: f64,
}

/// Figures of all flows.
#[derive(Debug)]
pub struct LoadReport {
    flows: Vec<FlowReport>,
}

impl LoadReport {
    /// Creates an empty report.
    ///
    /// # Errors
    ///
    /// [`LoadError::Histogram`] if a histogram cannot be built.
    pub fn new(settings: &LoadSettings) -> Result<LoadReport, LoadError> {
        let flows = settings.flows.iter().map(FlowReport::new);
        Ok(LoadReport { flows: flows.collect::<Result<_, _>>()? })
    }

    /// Adds a result of the flow with a number.
    pub fn add(&mut self, number: usize, result: &CallResult) {
        self.flows[number].add(result);
    }

    /// Returns the figures of all flows.
    pub fn figures(&self) -> Vec<FlowFigures> {
        self.flows.iter().map(FlowReport::figures).collect()
    }

    /// Writes the figures as an aligned table.
    pub fn table(&self) -> String {
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
        let lines = self.figures().into_iter().map(|figures| {
            format!(
                "{:<16} {:>7} {:>8} {:>7.1}% {:>9} {:>7} {:>7} {:>9} {:>7.2}ms {:>7.2}ms {:>7.2}ms",
                figures.name,
                figures.sent,
                figures.answered,
                figures.attainment * 100.0,
                figures.refused_allowance,
                figures.refused_other,
                figures.unknown,
                figures.failed,
                figures.first_p50_ms,
                figures.first_p99_ms,
                figures.whole_p99_ms,
            )
        });
        std::iter::once(header).chain(lines).collect::<Vec<_>>().join("\n")
    }
}

impl FlowReport {
    fn new(flow: &FlowSettings) -> Result<FlowReport, LoadError> {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS);
        Ok(FlowReport {
            flow: flow.clone(),
            counts: [0; 5],
            attained: 0,
            tokens: 0,
            first: histogram()?,
            whole: histogram()?,
        })
    }

    fn add(&mut self, result: &CallResult) {
        self.counts[result.verdict as usize] += 1;
        self.tokens += result.tokens;
        if result.verdict != CallVerdict::Answered {
            return;
        }
        let first = result.first.unwrap_or(result.whole);
        self.first.saturating_record(first.as_micros() as u64);
        self.whole.saturating_record(result.whole.as_micros() as u64);
        self.attained += u64::from(self.attains(first, result));
    }

    fn attains(&self, first: Duration, result: &CallResult) -> bool {
        let gaps = result.tokens.saturating_sub(1).max(1) as f64;
        let gap = result.whole.saturating_sub(first).as_secs_f64() * 1_000.0 / gaps;
        first.as_millis() as u64 <= self.flow.first_token_ms && gap <= self.flow.token_gap_ms as f64
    }

    fn figures(&self) -> FlowFigures {
        let count = |verdict: CallVerdict| self.counts[verdict as usize];
        let sent: u64 = self.counts.iter().sum();
        let milliseconds =
            |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1_000.0;
        FlowFigures {
            name: self.flow.name.to_string(),
            sent,
            answered: count(CallVerdict::Answered),
            attainment: self.attained as f64 / sent.max(1) as f64,
            refused_allowance: count(CallVerdict::RefusedAllowance),
            refused_other: count(CallVerdict::RefusedOther),
            unknown: count(CallVerdict::Unknown),
            failed: count(CallVerdict::Failed),
            tokens: self.tokens,
            first_p50_ms: milliseconds(&self.first, 0.5),
            first_p95_ms: milliseconds(&self.first, 0.95),
            first_p99_ms: milliseconds(&self.first, 0.99),
            whole_p50_ms: milliseconds(&self.whole, 0.5),
            whole_p99_ms: milliseconds(&self.whole, 0.99),
        }
    }
}
