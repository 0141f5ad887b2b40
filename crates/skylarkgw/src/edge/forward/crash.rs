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
use crate::gateway::state::GatewayState;
use crate::ids::{PartHash, RequestId};

/// Time limit for opening a connection to an engine that broke off an answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Counts an interrupted answer. If the engine had not begun to stream it, checks
/// in the background whether the engine has ended, and records the prompt as
/// evidence if so.
pub fn examine_interruption(
    admitted: &AdmittedRequest,
    entry: &Arc<EngineEntry>,
    progress: AnswerProgress,
) {
    let state = &admitted.state;
    state.metrics.fleet.count_interruption(progress);
    let parts = &admitted.shared_parts;
    if progress == AnswerProgress::Streaming || parts.is_empty() {
        return;
    }
    let (state, entry, parts) = (state.clone(), entry.clone(), parts.clone());
    let request = admitted.header.request_id.clone();
    tokio::spawn(async move { examine_engine(state, entry, parts, request).await });
}

/// Records a crash if the engine refuses a new connection.
///
/// An engine that accepts it has only broken off an answer. One that does not
/// respond may be cut off from this host.
async fn examine_engine(
    state: Arc<GatewayState>,
    entry: Arc<EngineEntry>,
    parts: Vec<PartHash>,
    request: Option<RequestId>,
) {
    match HttpConnection::connect(entry.address, CONNECT_TIMEOUT).await {
        Ok(connection) => state.pool.release(entry.address, connection, None),
        Err(ConnectionError::Connect { .. }) => {
            state.lock_prompt_guard().record_crash(time_since_boot(), &entry.id, &parts);
            let (engine, request) = (entry.id.to_string(), request.unwrap_or_default().to_string());
            let parts = format_parts(parts.into_iter());
            info!("engine ended before an answer", kv: { engine, request, parts });
        }
        Err(_) => {}
    }
}
