//! Tells engines that have ended from those that only broke off an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::decision::prompt_evidence::AnswerProgress;
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::record::format_parts;
use crate::endpoint::{ConnectionError, HttpConnection};
use crate::gateway::clock::time_since_boot;
use crate::gateway::registry::EngineEntry;
use crate::gateway::state::GatewayState;
use crate::ids::PartHash;

/// Time limit for opening a connection to an engine that broke off an answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an engine has to keep a new connection open to count as alive.
const ALIVE_PERIOD: Duration = Duration::from_millis(120);
/// Interval between two checks of that connection, and between two connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an engine that closes each new connection counts as alive, since it
/// may be at its connection limit.
const EXAMINATION_TIME: Duration = Duration::from_millis(400);

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
    let request = admitted.header.request_id.as_deref().unwrap_or_default().to_owned();
    let examination = examine_engine(state.clone(), entry.clone(), parts.clone(), request);
    // The evidence must not be lost if the client leaves meanwhile.
    let examination = tokio::spawn(examination);
    if progress == AnswerProgress::Waiting {
        return false;
    }
    let has_ended = examination.await.unwrap_or_else(|error| {
        let error = error.to_string();
        warn!("examination of an engine failed", kv: { error });
        true
    });
    has_ended && !state.lock_prompt_guard().is_proven(time_since_boot(), parts)
}

/// Records a crash if an engine has ended, and returns whether it has.
async fn examine_engine(
    state: Arc<GatewayState>,
    entry: Arc<EngineEntry>,
    parts: Vec<PartHash>,
    request: String,
) -> bool {
    let interrupted_at = time_since_boot();
    let has_ended = has_ended(&state, entry.address).await;
    if has_ended {
        state.lock_prompt_guard().record_crash(interrupted_at, &entry.id, &parts);
        let engine = entry.id.to_string();
        let parts = format_parts(parts.into_iter());
        info!("engine ended before an answer", kv: { engine, request, parts });
    }
    has_ended
}

/// Returns whether an engine that broke off an answer refuses new connections.
///
/// An engine that keeps a new connection open has only broken off the answer. One that
/// closes it may be ending, so it gets another. One that does not respond may be cut off
/// from this host.
async fn has_ended(state: &GatewayState, address: SocketAddr) -> bool {
    let started = Instant::now();
    while started.elapsed() < EXAMINATION_TIME {
        match HttpConnection::connect(address, CONNECT_TIMEOUT).await {
            Ok(connection) if stays_open(&connection).await => {
                state.pool.release(address, connection, None);
                return false;
            }
            Ok(_) => sleep(CHECK_INTERVAL).await,
            Err(ConnectionError::Connect { .. }) => return true,
            Err(_) => return false,
        }
    }
    false
}

/// Returns whether an idle connection stays open for [`ALIVE_PERIOD`].
async fn stays_open(connection: &HttpConnection) -> bool {
    let opened = Instant::now();
    while opened.elapsed() < ALIVE_PERIOD {
        sleep(CHECK_INTERVAL).await;
        if !connection.is_usable() {
            return false;
        }
    }
    true
}
