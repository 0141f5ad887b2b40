//! Records how long engines take for their answers.

use std::time::Duration;

use tokio::time::Instant;

use crate::decision::dispatch::host_pace::{PaceSample, hedge_delay};
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::record::AttemptRecord;
use crate::gateway::clock::time_since_boot;
use crate::gateway::registry::EngineEntry;

/// Records a complete answer of an engine, whose first part arrived at `first_at` and
/// which has `rest_parts` further ones.
pub fn record_answer_pace(
    admitted: &AdmittedRequest,
    entry: &EngineEntry,
    attempt: &AttemptRecord,
    first_at: Instant,
    rest_parts: u32,
) {
    let first = first_at.saturating_duration_since(attempt.sent_at);
    let rest = if rest_parts == 0 { Duration::ZERO } else { first_at.elapsed() };
    let sample = PaceSample {
        engine: entry.id.clone(),
        started_ms: entry.started_ms,
        service: entry.service.clone(),
        model: admitted.header.target.as_ref().map(|target| target.model.clone()),
        running: attempt.running,
        slots: entry.slots,
        first,
        rest,
        rest_parts,
    };
    admitted.state.lock_traffic().pace.record(time_since_boot(), &sample);
}

/// Returns the time after which an answer to a request that may be repeated takes clearly
/// longer than usual, if the usual time is known.
pub fn find_hedge_delay(admitted: &AdmittedRequest, wait_ms: f64) -> Option<Duration> {
    let model = admitted.header.target.as_ref().map(|target| &target.model);
    let traffic = admitted.state.lock_traffic();
    let usual = traffic.pace.usual_first(&admitted.service, model)?;
    Some(hedge_delay(usual, Duration::from_secs_f64(wait_ms / 1_000.0)))
}
