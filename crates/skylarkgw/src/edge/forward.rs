//! The forwarding interface: HTTP passed to an endpoint of a declared route.
//!
//! The way of a request, in order: [`accept`] reads it, finds route and
//! workspace and draws its tokens; [`place`] chooses an engine; [`send`] sends
//! it and judges what came back; [`relay`] passes an event stream on.

mod admit;
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

use crate::edge::forward::admit::admit;
use crate::edge::forward::record::RequestRecord;
use crate::edge::forward::send::serve_admitted;
use crate::gateway::state::GatewayState;

/// Body of an answer to a caller.
type AnswerBody = UnsyncBoxBody<Bytes, AnswerAbort>;

/// Longest idle time of a connection before the first declaration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Buffer of a caller's connection; holds a request head, in bytes.
const HEAD_BUFFER: usize = 16 * 1024;
const SMALLEST_BUFFER: usize = 8 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Ends a caller's connection so that the answer does not look complete.
#[derive(Debug, Error)]
pub enum AnswerAbort {
    /// The engine's answer broke off.
    #[error("the answer of the engine broke off")]
    Broken,
}

/// Serves callers until `close` is set and all connections have ended.
///
/// # Errors
///
/// The system's error if the listener cannot be used.
pub async fn serve_proxy(
    listener: std::net::TcpListener,
    state: Arc<GatewayState>,
    mut close: watch::Receiver<bool>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let for_connections = close.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    // A connection without it works as well, only slower.
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(serve_connection(stream, state.clone(), for_connections.clone()));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            // An error means that the process is ending, too.
            _ = close.wait_for(|close| *close) => break,
        }
    }
    while state.connections.load(Ordering::Relaxed) > 0 {
        sleep(ACCEPT_PAUSE).await;
    }
    Ok(())
}

struct OpenConnection {
    state: Arc<GatewayState>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.state.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(
    stream: TcpStream,
    state: Arc<GatewayState>,
    mut close: watch::Receiver<bool>,
) {
    state.connections.fetch_add(1, Ordering::Relaxed);
    let _open = OpenConnection { state: state.clone() };
    let limits = state.snapshot.load().declaration.as_ref().map(|known| known.limits.clone());
    let idle = limits.as_ref().map_or(DEFAULT_IDLE, |limits| limits.idle_timeout);
    let buffer = limits.map_or(HEAD_BUFFER, |limits| limits.header_bytes.max(SMALLEST_BUFFER));
    let service = service_fn(|request: Request<Incoming>| forward(state.clone(), request));
    // The library counts idle time towards the time of a head.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // How a connection ends is in the records of its requests.
        _ = connection.as_mut() => return,
        _ = close.wait_for(|close| *close) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn forward(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, AnswerAbort> {
    let header = (state.codec.decode_caller)(request.headers());
    let mut record = RequestRecord::new(state.clone(), header.id.clone());
    let answer = match admit(&state, request, header, &mut record).await {
        Ok(admitted) => serve_admitted(admitted, record).await,
        Err(refusal) => Ok(refusal.answer(record)),
    };
    answer.map(|mut response| {
        if state.draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    })
}
