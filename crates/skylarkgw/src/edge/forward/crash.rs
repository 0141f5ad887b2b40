//! Tells engines that have ended from those that only broke off an answer.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;

use crate::decision::prompt_evidence::AnswerProgress;
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::record::format_parts;
use crate::endpoint::{ConnectionError, HttpConnection};
use crate::gateway::clock::time_since_boot;
use crate::gateway::registry::EngineEntry;

/// Time limit for opening a connection to an engine that broke off an answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Counts an interrupted answer and returns whether the request must not be sent to
/// another engine.
///
/// If the engine had not begun to stream the answer, this checks whether the engine has
/// ended, and records the prompt as evidence if so. A request whose answer had begun is
/// then not repeated, unless all parts of its prompt were answered of late: it may have
/// ended the engine, and would end the next one.
pub async fn examine_interruption(
    admitted: &AdmittedRequest,
    entry: &Arc<EngineEntry>,
    progress: AnswerProgress,
) -> bool {
    let (state, parts) = (&admitted.state, &admitted.shared_parts);
    state.metrics.fleet.count_interruption(progress);
    if progress == AnswerProgress::Streaming || parts.is_empty() {
        return false;
    }
    let has_ended = examine_engine(admitted, entry).await;
    let is_proven = || state.lock_prompt_guard().is_proven(time_since_boot(), parts);
    has_ended && progress == AnswerProgress::Begun && !is_proven()
}

/// Records a crash if the engine refuses a new connection, and returns whether it does.
///
/// An engine that accepts it has only broken off an answer. One that does not
/// respond may be cut off from this host.
async fn examine_engine(admitted: &AdmittedRequest, entry: &Arc<EngineEntry>) -> bool {
    let (state, parts) = (&admitted.state, &admitted.shared_parts);
    match HttpConnection::connect(entry.address, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            state.pool.release(entry.address, connection, None);
            false
        }
        Err(ConnectionError::Connect { .. }) => {
            state.lock_prompt_guard().record_crash(time_since_boot(), &entry.id, parts);
            let request = admitted.header.request_id.as_deref().unwrap_or_default().to_owned();
            let engine = entry.id.to_string();
            let parts = format_parts(parts.iter().copied());
            info!("engine ended before an answer", kv: { engine, request, parts });
            true
        }
        Err(_) => false,
    }
}
