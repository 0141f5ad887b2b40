//! Reverse proxy that forwards HTTP requests to the endpoints of declared routes.
//!
//! A request passes through these modules in order: `admit` reads it, finds its
//! route and workspace and reserves its quota tokens; `select` selects an engine;
//! `send` sends it and evaluates the response; `relay` relays an event stream.

mod admit;
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
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::edge::forward::admit::admit_request;
use crate::edge::forward::record::RequestRecord;
use crate::edge::forward::send::serve_admitted;
use crate::gateway::state::GatewayState;

pub use record::format_parts;

/// Body of a response to a client.
type ResponseBody = UnsyncBoxBody<Bytes, ResponseAborted>;

/// Idle timeout of client connections until the first declaration is received.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum buffer size of a client connection until the first declaration is
/// received; the buffer has to hold a request head.
const DEFAULT_BUFFER_BYTES: usize = 16 * 1024;
/// Lower limit of the configured buffer size.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Delay after a failed accept, and between two checks for open connections while
/// the proxy shuts down.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Error that aborts the connection to the client, so that a partial response does
/// not appear complete.
#[derive(Debug, Error)]
pub enum ResponseAborted {
    /// The response of the engine was cut off.
    #[error("the answer of the engine was cut off")]
    CutOff,
}

/// Serves clients until `shutdown` is set and all connections have been closed.
///
/// # Errors
///
/// The error of the operating system if the listener cannot be used.
pub async fn serve_proxy(
    listener: std::net::TcpListener,
    state: Arc<GatewayState>,
    mut shutdown: watch::Receiver<bool>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let shutdown_signal = shutdown.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    // Without TCP_NODELAY the connection works, but with a
                    // higher latency.
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(serve_connection(stream, state.clone(), shutdown_signal.clone()));
                }
                Err(_) => sleep(RETRY_DELAY).await,
            },
            // An error means that the sender was dropped, so the process is
            // exiting as well.
            _ = shutdown.wait_for(|shutdown| *shutdown) => break,
        }
    }
    while state.open_connections.load(Ordering::Relaxed) > 0 {
        sleep(RETRY_DELAY).await;
    }
    Ok(())
}

/// Counts an open client connection until it is dropped.
struct ConnectionGuard {
    state: Arc<GatewayState>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.state.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(
    stream: TcpStream,
    state: Arc<GatewayState>,
    mut shutdown: watch::Receiver<bool>,
) {
    state.open_connections.fetch_add(1, Ordering::Relaxed);
    let _guard = ConnectionGuard { state: state.clone() };
    let limits =
        state.snapshot.load().declaration.as_ref().map(|declaration| declaration.limits.clone());
    let idle_timeout = limits.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let buffer_bytes =
        limits.map_or(DEFAULT_BUFFER_BYTES, |limits| limits.header_bytes.max(MIN_BUFFER_BYTES));
    let service = service_fn(|request: Request<Incoming>| handle_request(state.clone(), request));
    // hyper counts the idle time before a request as part of the time for reading
    // its head, so this timeout also limits how long a connection may be idle.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // The result is ignored, as failures are in the records of the requests.
        _ = connection.as_mut() => return,
        _ = shutdown.wait_for(|shutdown| *shutdown) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Handles one request, from its arrival to the start of its response.
async fn handle_request(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ResponseAborted> {
    let header = (state.codec.decode_client_headers)(request.headers());
    let mut record = RequestRecord::new(state.clone(), header.request_id.clone());
    let result = match admit_request(&state, request, header, &mut record).await {
        Ok(admitted) => serve_admitted(admitted, record).await,
        Err(refusal) => Ok(refusal.into_response(record)),
    };
    result.map(|mut response| {
        if state.is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    })
}
