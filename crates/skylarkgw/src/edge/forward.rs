//! Reverse proxy that forwards HTTP requests to the endpoints of declared routes.
//!
//! A request passes through these modules in order: `admit` reads it, finds its
//! route and workspace and reserves its quota tokens; `select` selects an engine;
//! `send` sends it and evaluates the response; `relay` relays an event stream.

mod admit;
mod body;
mod client_memory;
mod connection;
mod crash;
mod record;
mod refusal;
mod relay;
mod select;
mod send;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{HeaderMap, Request, Response, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::decision::connection_clock::announced_reuse_s;
use crate::edge::forward::admit::admit_request;
use crate::edge::forward::body::refuse_for_memory;
use crate::edge::forward::client_memory::ClientMemory;
use crate::edge::forward::connection::{buffer_bytes, current_limits, serve_connection};
use crate::edge::forward::record::RequestRecord;
use crate::edge::forward::refusal::RefusalReason;
use crate::edge::forward::send::{closes_connection, serve_admitted};
use crate::gateway::state::GatewayState;
use crate::gateway::wire::ClientHeaders;

pub use record::format_parts;

/// Body of a response to a client.
type ResponseBody = UnsyncBoxBody<Bytes, ResponseAborted>;

/// Delay after a failed accept, and between two checks for open connections while
/// the proxy shuts down.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time for which a refusal waits for the rest of the request's body.
const DISCARD_TIME: Duration = Duration::from_millis(250);

/// Error that aborts the connection to the client, so that a partial response does
/// not appear complete.
#[derive(Debug, Error)]
pub enum ResponseAborted {
    /// The response of the engine was cut off.
    #[error("the answer of the engine was cut off")]
    CutOff,
}

/// Marks the response to a request whose body has not been read to its end.
#[derive(Clone, Copy, Debug)]
struct UnreadBody;

/// Serves clients until `shutdown` is set and all connections have been closed.
///
/// Connections are accepted until then, since a client whose connection waits in the
/// queue of the listener would get no answer.
///
/// # Errors
///
/// The error of the operating system if the listener cannot be used.
pub async fn serve_proxy(
    listener: std::net::TcpListener,
    state: Arc<GatewayState>,
    shutdown: watch::Receiver<bool>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let mut end = std::pin::pin!(wait_for_end(&state, shutdown.clone()));
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let buffer_bytes = buffer_bytes(&state);
                    let memory = ClientMemory::open(&state.held_bodies, buffer_bytes);
                    let Some(memory) = memory else {
                        // The client learns at once that its request was not read.
                        state.metrics.fleet.count_closed_connection("no-room");
                        continue;
                    };
                    // Without TCP_NODELAY the connection works, but with a
                    // higher latency.
                    let _ = stream.set_nodelay(true);
                    let (state, signal) = (state.clone(), shutdown.clone());
                    let guard = ConnectionGuard::new(state.clone());
                    tokio::spawn(async move {
                        let _guard = guard;
                        serve_connection(stream, memory, state, signal).await;
                    });
                }
                Err(_) => sleep(RETRY_DELAY).await,
            },
            () = end.as_mut() => return Ok(()),
        }
    }
}

/// Waits until `shutdown` is set and no connection is open.
async fn wait_for_end(state: &GatewayState, mut shutdown: watch::Receiver<bool>) {
    // An error means that the sender was dropped, so the process is exiting as well.
    let _ = shutdown.wait_for(|shutdown| *shutdown).await;
    while state.open_connections.load(Ordering::Relaxed) > 0 {
        sleep(RETRY_DELAY).await;
    }
}

/// Counts an open client connection until it is dropped.
struct ConnectionGuard {
    state: Arc<GatewayState>,
}

impl ConnectionGuard {
    fn new(state: Arc<GatewayState>) -> ConnectionGuard {
        state.open_connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard { state }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.state.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles one request, from its arrival to the start of its response.
async fn handle_request(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    header: ClientHeaders,
    memory: Arc<ClientMemory>,
) -> Result<Response<ResponseBody>, ResponseAborted> {
    let mut record = RequestRecord::new(state.clone(), header.request_id.clone());
    let closes = closes_connection(request.headers()) || request.version() < Version::HTTP_11;
    let (parts, mut body) = request.into_parts();
    let admitted = if memory.begin_request() {
        admit_request(&state, parts, &mut body, header, &memory, &mut record).await
    } else {
        Err(refuse_for_memory())
    };
    let result = match admitted {
        Ok(admitted) => serve_admitted(admitted, record).await,
        Err(refusal) => {
            // A connection whose request gave way is closed, and its body is not read on.
            let is_kept = refusal.reason != RefusalReason::MemoryFull;
            let is_read = is_kept && discard_body(&state, &mut body).await;
            let mut response = refusal.into_response(record);
            if !is_read {
                response.extensions_mut().insert(UnreadBody);
            }
            Ok(response)
        }
    };
    result.map(|mut response| {
        let is_unread = response.extensions().get::<UnreadBody>().is_some();
        let is_last = closes || is_unread || state.is_draining();
        announce_reuse(&state, response.headers_mut(), is_last);
        response
    })
}

/// Reads the rest of the body of a refused request, so that its connection can be kept,
/// and returns whether it has ended.
async fn discard_body(state: &GatewayState, body: &mut Incoming) -> bool {
    if body.is_end_stream() {
        return true;
    }
    let limit = current_limits(state).body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return false;
    }
    let mut body = Limited::new(body, limit);
    let discard = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    timeout(DISCARD_TIME, discard).await.unwrap_or(false)
}

/// Tells the client in the headers of a response whether, and for how long, it may reuse
/// the connection.
fn announce_reuse(state: &GatewayState, headers: &mut HeaderMap, is_last: bool) {
    let limits = current_limits(state);
    let reuse_s = announced_reuse_s(&limits).filter(|_| !is_last);
    let value = reuse_s.and_then(|s| HeaderValue::try_from(format!("timeout={s}")).ok());
    if let Some(value) = value {
        headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
        headers.insert("keep-alive", value);
    } else if is_last {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
