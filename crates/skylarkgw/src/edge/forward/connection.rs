//! One client connection: serves its requests and records why it was closed.

use std::io::{Error, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::net::{RecvFlags, Shutdown};
use spdlog::info;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge::forward::{ResponseAborted, ResponseBody, handle_request};
use crate::gateway::clock::time_since_boot;
use crate::gateway::state::GatewayState;
use crate::ids::RequestId;
use crate::telemetry::allow_request_log;

/// Idle timeout of client connections until the first declaration is received.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum buffer size of a client connection until the first declaration is
/// received; the buffer has to hold a request head.
const DEFAULT_BUFFER_BYTES: usize = 16 * 1024;
/// Lower limit of the configured buffer size.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Who closed a client connection, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CloseReason {
    /// The client closed or reset it.
    Client,
    /// The client sent nothing for the idle limit.
    Idle,
    /// A request head did not arrive completely in time.
    HeadTimeout,
    /// The host stops.
    Stop,
    /// Either side announced the close with the last answer.
    Answered,
    /// A response was broken off, so that it does not appear complete.
    ResponseAborted,
    /// The client sent something that is no request.
    Malformed,
    /// The connection failed.
    Failed,
}

impl CloseReason {
    fn label(self) -> &'static str {
        match self {
            CloseReason::Client => "client",
            CloseReason::Idle => "idle",
            CloseReason::HeadTimeout => "head-timeout",
            CloseReason::Stop => "stop",
            CloseReason::Answered => "answered",
            CloseReason::ResponseAborted => "response-aborted",
            CloseReason::Malformed => "malformed",
            CloseReason::Failed => "failed",
        }
    }
}

/// What has happened on a client connection.
#[derive(Debug)]
struct ConnectionRecord {
    /// Number of requests whose heads have arrived.
    requests: u64,
    /// Identifier of the last one.
    last_request: Option<RequestId>,
    /// Time of the last byte in either direction.
    last_byte_at: Instant,
    /// Whether the answer to the last request has not ended.
    is_serving: bool,
    /// Whether bytes have arrived after the last answer.
    has_partial_request: bool,
    /// Whether the client has closed its side or reset the connection.
    is_closed_by_client: bool,
}

/// A client connection and its record.
struct ClientConnection {
    stream: TcpStream,
    record: Mutex<ConnectionRecord>,
}

impl ClientConnection {
    fn new(stream: TcpStream) -> ClientConnection {
        let record = ConnectionRecord {
            requests: 0,
            last_request: None,
            last_byte_at: Instant::now(),
            is_serving: false,
            has_partial_request: false,
            is_closed_by_client: false,
        };
        ClientConnection { stream, record: Mutex::new(record) }
    }

    fn lock_record(&self) -> MutexGuard<'_, ConnectionRecord> {
        // A panic leaves at most one event out.
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request head has arrived.
    fn begin_request(&self, id: Option<RequestId>) {
        let mut record = self.lock_record();
        record.requests += 1;
        record.last_request = id;
        record.is_serving = true;
        record.has_partial_request = false;
    }

    /// Records that the answer to the last request has ended.
    fn end_answer(&self) {
        self.lock_record().is_serving = false;
    }

    /// Returns whether bytes of the client have arrived and not been read.
    fn has_unread_bytes(&self) -> bool {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        rustix::net::recv(&self.stream, &mut [0_u8; 1], flags).is_ok_and(|(_, length)| length > 0)
    }

    /// Counts the close of the connection, and logs it unless the client closed it.
    fn log_close(&self, state: &GatewayState, reason: CloseReason) {
        state.metrics.fleet.count_closed_connection(reason.label());
        if reason == CloseReason::Client || !allow_request_log(time_since_boot(), true) {
            return;
        }
        let record = self.lock_record();
        let last_request = record.last_request.as_deref().unwrap_or_default().to_owned();
        let (requests, has_partial_request) = (record.requests, record.has_partial_request);
        let idle_ms = record.last_byte_at.elapsed().as_millis() as u64;
        let has_unread_bytes = self.has_unread_bytes();
        let declaration = state.snapshot.load().declaration.clone();
        let revision = declaration.map_or(0, |declaration| declaration.revision);
        info!("client connection closed", kv: {
            reason = reason.label(), requests, last_request, idle_ms, has_partial_request,
            has_unread_bytes, revision
        });
    }
}

/// Records the end of an answer when it is dropped.
struct AnswerGuard {
    connection: Arc<ClientConnection>,
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.connection.end_answer();
    }
}

/// Body of an answer, which hyper drops when it has read the last frame.
struct GuardedBody {
    body: ResponseBody,
    _guard: AnswerGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client connection as hyper reads and writes it.
struct RecordedStream {
    connection: Arc<ClientConnection>,
}

impl RecordedStream {
    /// Records the result of a transfer of bytes; `is_end` is whether it shows that the
    /// client has closed its side.
    fn record_transfer(&self, result: &Result<usize>, is_read: bool, is_end: bool) {
        let mut record = self.connection.lock_record();
        match result {
            Ok(_) if is_end => record.is_closed_by_client = true,
            Ok(_) => {
                record.last_byte_at = Instant::now();
                record.has_partial_request |= is_read && !record.is_serving;
            }
            Err(_) => record.is_closed_by_client = true,
        }
    }

    /// Calls `write` as soon as the connection accepts bytes.
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        let stream = &self.connection.stream;
        loop {
            ready!(stream.poll_write_ready(context))?;
            match write(stream) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                result => {
                    self.record_transfer(&result, false, false);
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let stream = &self.connection.stream;
        loop {
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read(buffer.initialize_unfilled()) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                result => {
                    let is_end = matches!(result, Ok(0)) && buffer.remaining() > 0;
                    self.record_transfer(&result, true, is_end);
                    buffer.advance(result?);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        let stream = &self.connection.stream;
        let result = rustix::net::shutdown(stream, Shutdown::Write);
        Poll::Ready(result.map_err(Error::from))
    }
}

/// Serves the requests of a client connection until either side closes it.
pub async fn serve_connection(
    stream: TcpStream,
    state: Arc<GatewayState>,
    mut shutdown: watch::Receiver<bool>,
) {
    let limits =
        state.snapshot.load().declaration.as_ref().map(|declaration| declaration.limits.clone());
    let idle_timeout = limits.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let buffer_bytes =
        limits.map_or(DEFAULT_BUFFER_BYTES, |limits| limits.header_bytes.max(MIN_BUFFER_BYTES));
    let client = Arc::new(ClientConnection::new(stream));
    let service = service_fn(|request: Request<Incoming>| {
        let header = (state.codec.decode_client_headers)(request.headers());
        client.begin_request(header.request_id.clone());
        let guard = AnswerGuard { connection: client.clone() };
        let answer = handle_request(state.clone(), request, header);
        async move {
            let response = answer.await?;
            Ok::<_, ResponseAborted>(response.map(|body| GuardedBody { body, _guard: guard }))
        }
    });
    // hyper counts the idle time before a request as part of the time for reading
    // its head, so this timeout also limits how long a connection may be idle.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(RecordedStream { connection: client.clone() }), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        result = connection.as_mut() => Some(result),
        _ = shutdown.wait_for(|shutdown| *shutdown) => None,
    };
    let is_stopping = ended.is_none();
    let result = match ended {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    let reason = classify_end(&result, &client.lock_record(), is_stopping);
    client.log_close(&state, reason);
}

/// Returns who closed a connection that has ended, and why.
fn classify_end(
    result: &std::result::Result<(), hyper::Error>,
    record: &ConnectionRecord,
    is_stopping: bool,
) -> CloseReason {
    match result {
        Err(error) if error.is_user() => CloseReason::ResponseAborted,
        _ if record.is_closed_by_client => CloseReason::Client,
        Err(error) if error.is_timeout() && record.has_partial_request => CloseReason::HeadTimeout,
        Err(error) if error.is_timeout() => CloseReason::Idle,
        Err(error) if error.is_parse() => CloseReason::Malformed,
        Err(_) => CloseReason::Failed,
        Ok(()) if is_stopping => CloseReason::Stop,
        Ok(()) => CloseReason::Answered,
    }
}
