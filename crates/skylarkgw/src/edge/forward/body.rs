//! Reads the body of a request within the memory of the process.

use std::time::Duration;

use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::edge::forward::client_memory::ClientMemory;
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::endpoint::{SegmentBuffer, SegmentedBytes};

/// Retry delay reported to the client if there is no memory for its request.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the refusal of a request that gave way to others or found no room.
pub fn refuse_for_memory() -> RequestRefusal {
    RequestRefusal::with_retry_after(RefusalReason::MemoryFull, MEMORY_RETRY_AFTER)
}

/// Reads the complete request body, of at most `limit` bytes.
///
/// # Errors
///
/// [`RequestRefusal`] if the body is too long, does not arrive completely before `deadline`
/// or gives way to others.
pub async fn read_body(
    memory: &ClientMemory,
    headers: &HeaderMap,
    body: &mut Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<SegmentedBytes, RequestRefusal> {
    let declared = headers.get(http::header::CONTENT_LENGTH);
    let declared = declared.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(RequestRefusal::new(RefusalReason::BodyTooLarge));
    }
    if body.is_end_stream() {
        return Ok(SegmentedBytes::default());
    }
    memory.begin_body();
    let read = timeout_at(deadline, async {
        tokio::select! {
            biased;
            () = memory.eviction() => Err(refuse_for_memory()),
            read = collect_body(memory, body, limit) => read,
        }
    });
    let read = read.await.unwrap_or(Err(RequestRefusal::new(RefusalReason::BodyIncomplete)));
    let is_kept = memory.end_body();
    let read = if is_kept { read } else { Err(refuse_for_memory()) };
    if read.is_err() {
        memory.hold_body(0);
    }
    read
}

/// Collects the parts of a body in segments.
async fn collect_body(
    memory: &ClientMemory,
    body: &mut Incoming,
    limit: usize,
) -> Result<SegmentedBytes, RequestRefusal> {
    let mut buffer = SegmentBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestRefusal::new(RefusalReason::BodyIncomplete))?;
        let Ok(part) = frame.into_data() else { continue };
        if part.len() > limit - buffer.len() {
            return Err(RequestRefusal::new(RefusalReason::BodyTooLarge));
        }
        if buffer.is_empty() {
            // The memory of the first part is that of the connection's buffer.
            buffer.push_shared(part);
            continue;
        }
        let capacity = buffer.capacity_with(part.len());
        if capacity > buffer.capacity() {
            if !memory.hold_body(capacity) {
                return Err(refuse_for_memory());
            }
            memory.budget().settle().await;
        }
        buffer.push(&part);
    }
    Ok(buffer.finish())
}
