//! One client connection: serves its requests and records why it was closed.

use std::future::{Future, poll_fn};
use std::io::{Error, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rustix::net::{RecvFlags, Shutdown};
use spdlog::info;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

use crate::decision::connection_clock::{ConnectionClock, DueReason};
use crate::edge::forward::client_memory::ClientMemory;
use crate::edge::forward::{ResponseAborted, ResponseBody, UnreadBody, handle_request};
use crate::gateway::clock::time_since_boot;
use crate::gateway::declaration::ClientLimits;
use crate::gateway::state::GatewayState;
use crate::ids::RequestId;
use crate::telemetry::allow_request_log;

/// Limits of client connections until the first declaration is received.
const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    header_bytes: 16 * 1024,
    body_bytes: 0,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Lower limit of the configured buffer size.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Longest time for which a closed connection discards what its client still sends.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The same for a connection that gave way to others, which wait for its memory.
const REFUSED_LINGER_TIME: Duration = Duration::from_millis(100);
/// Size of the buffer for discarded bytes.
const LINGER_BUFFER_BYTES: usize = 4 * 1024;
/// Answer to a request head that does not arrive completely in time.
const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

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
    /// It gave way to others, which needed its memory or descriptor.
    Evicted,
    /// Either side announced the close with the last answer.
    Answered,
    /// A request was refused before its body had arrived.
    UnreadBody,
    /// A response was broken off, so that it does not appear complete.
    ResponseAborted,
    /// The client sent something that is no request.
    Malformed,
    /// The connection failed.
    Failed,
}

impl From<DueReason> for CloseReason {
    fn from(reason: DueReason) -> CloseReason {
        match reason {
            DueReason::Idle => CloseReason::Idle,
            DueReason::HeadTimeout => CloseReason::HeadTimeout,
            DueReason::Stop => CloseReason::Stop,
        }
    }
}

impl CloseReason {
    fn label(self) -> &'static str {
        match self {
            CloseReason::Client => "client",
            CloseReason::Idle => "idle",
            CloseReason::HeadTimeout => "head-timeout",
            CloseReason::Stop => "stop",
            CloseReason::Evicted => "evicted",
            CloseReason::Answered => "answered",
            CloseReason::UnreadBody => "unread-body",
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
    /// Time of the last byte in either direction, since the connection was accepted.
    last_byte_at: Duration,
    clock: ConnectionClock,
    /// Whether the last request was refused before its body had arrived.
    has_unread_body: bool,
    /// Whether the client has closed its side or reset the connection.
    is_closed_by_client: bool,
    /// Whether the client does not take what was last written.
    is_blocked: bool,
    /// Length of the answer that is sent, in bytes, if it is held completely.
    answer_bytes: usize,
}

/// A client connection and its record.
struct ClientConnection {
    stream: TcpStream,
    accepted_at: Instant,
    memory: Arc<ClientMemory>,
    record: Mutex<ConnectionRecord>,
}

impl ClientConnection {
    fn new(stream: TcpStream, memory: ClientMemory) -> ClientConnection {
        let record = ConnectionRecord {
            requests: 0,
            last_request: None,
            last_byte_at: Duration::ZERO,
            clock: ConnectionClock::new(Duration::ZERO),
            has_unread_body: false,
            is_closed_by_client: false,
            is_blocked: false,
            answer_bytes: 0,
        };
        let (memory, record) = (Arc::new(memory), Mutex::new(record));
        ClientConnection { stream, accepted_at: Instant::now(), memory, record }
    }

    /// Returns the time since the connection was accepted.
    fn age(&self) -> Duration {
        self.accepted_at.elapsed()
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
        record.clock.begin_request();
    }

    /// Records what the head of an answer announces.
    fn record_answer(&self, response: &Response<ResponseBody>, limits: &ClientLimits) {
        let mut record = self.lock_record();
        record.clock.record_announcement(limits);
        record.answer_bytes = response.body().size_hint().exact().unwrap_or(0) as usize;
        record.has_unread_body = response.extensions().get::<UnreadBody>().is_some();
    }

    /// Records that the answer to the last request has ended.
    fn end_answer(&self) {
        let now = self.age();
        let mut record = self.lock_record();
        record.clock.end_answer(now);
        self.memory.end_request(record.is_blocked);
    }

    /// Records that the client takes no bytes for now.
    fn record_blocked(&self) {
        let now = self.age();
        let mut record = self.lock_record();
        record.clock.record_blocked(now);
        if !std::mem::replace(&mut record.is_blocked, true) {
            self.memory.begin_blocked(record.answer_bytes);
        }
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
        let (requests, has_partial_request) = (record.requests, record.clock.has_partial_head());
        let idle_ms = self.age().saturating_sub(record.last_byte_at).as_millis() as u64;
        let has_unread_bytes = self.has_unread_bytes();
        let revision = state.snapshot.load().revision();
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
        let now = self.connection.age();
        let mut record = self.connection.lock_record();
        match result {
            Ok(_) if is_end => record.is_closed_by_client = true,
            Ok(_) if is_read => {
                record.last_byte_at = now;
                if record.clock.record_bytes(now) {
                    self.connection.memory.begin_head();
                }
            }
            Ok(_) => {
                record.last_byte_at = now;
                record.clock.record_sent_bytes(now);
                if record.is_blocked {
                    self.connection.memory.begin_blocked(record.answer_bytes);
                }
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
            if stream.poll_write_ready(context)?.is_pending() {
                self.connection.record_blocked();
                return Poll::Pending;
            }
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

    /// hyper flushes the stream once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        let now = self.connection.age();
        let mut record = self.connection.lock_record();
        record.clock.record_flush(now);
        if std::mem::take(&mut record.is_blocked) {
            self.connection.memory.end_blocked(record.clock.has_request());
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        let stream = &self.connection.stream;
        let result = rustix::net::shutdown(stream, Shutdown::Write);
        Poll::Ready(result.map_err(Error::from))
    }
}

/// How far a connection has come.
enum ConnectionStep {
    /// The connection has ended.
    Ended(std::result::Result<(), hyper::Error>),
    /// The connection has given way to others.
    Evicted,
    /// The connection is due to be closed since the given age.
    Due(Duration, DueReason),
}

/// Serves the requests of a client connection until either side closes it.
pub async fn serve_connection(
    stream: TcpStream,
    memory: ClientMemory,
    state: Arc<GatewayState>,
    shutdown: watch::Receiver<bool>,
) {
    let client = Arc::new(ClientConnection::new(stream, memory));
    let reason = serve_requests(&client, &state, shutdown).await;
    client.log_close(&state, reason);
    match reason {
        CloseReason::HeadTimeout => {
            // The connection is closed without an answer if it takes no bytes.
            let _ = client.stream.try_write(HEAD_TIMEOUT_ANSWER);
            linger(&client).await;
        }
        CloseReason::UnreadBody | CloseReason::Malformed => linger(&client).await,
        _ => {}
    }
}

/// Serves requests and returns why the connection is to be closed. What the requests held
/// is free then.
async fn serve_requests(
    client: &Arc<ClientConnection>,
    state: &Arc<GatewayState>,
    mut shutdown: watch::Receiver<bool>,
) -> CloseReason {
    let service = service_fn(|request: Request<Incoming>| {
        let header = (state.codec.decode_client_headers)(request.headers());
        client.begin_request(header.request_id.clone());
        let guard = AnswerGuard { connection: client.clone() };
        let state = state.clone();
        // An idle connection does not hold the memory of a request's state.
        Box::pin(async move {
            let memory = guard.connection.memory.clone();
            let response = handle_request(state.clone(), request, header, memory).await?;
            guard.connection.record_answer(&response, &current_limits(&state));
            Ok::<_, ResponseAborted>(response.map(|body| GuardedBody { body, _guard: guard }))
        })
    });
    let stream = TokioIo::new(RecordedStream { connection: client.clone() });
    // The connection clock limits these times, since hyper counts idle time as part of
    // the time for reading a head.
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).max_buf_size(buffer_bytes(state));
    let mut connection = std::pin::pin!(builder.serve_connection(stream, service));
    let mut timer = std::pin::pin!(sleep_until(client.accepted_at));
    let mut eviction = std::pin::pin!(client.memory.eviction());
    let mut is_stopping = false;
    let mut confirmed_due = None;
    loop {
        let step = poll_fn(|context| {
            if let Poll::Ready(result) = connection.as_mut().poll(context) {
                return Poll::Ready(ConnectionStep::Ended(result));
            }
            // A request whose body gave way is answered.
            if !client.memory.is_refusing() && eviction.as_mut().poll(context).is_ready() {
                return Poll::Ready(ConnectionStep::Evicted);
            }
            let limits = current_limits(state);
            let Some((due, reason)) = client.lock_record().clock.due(&limits, is_stopping) else {
                return Poll::Pending;
            };
            let due_at = client.accepted_at + due;
            if timer.deadline() != due_at {
                timer.as_mut().reset(due_at);
            }
            timer.as_mut().poll(context).map(|()| ConnectionStep::Due(due, reason))
        });
        let step = tokio::select! {
            biased;
            step = step => step,
            // An error means that the sender was dropped, so the process is exiting.
            _ = shutdown.wait_for(|shutdown| *shutdown), if !is_stopping => {
                is_stopping = true;
                continue;
            }
        };
        match step {
            ConnectionStep::Ended(result) => return classify_end(&result, &client.lock_record()),
            ConnectionStep::Evicted => return CloseReason::Evicted,
            ConnectionStep::Due(due, reason) if confirmed_due == Some(due) => {
                return CloseReason::from(reason);
            }
            // Bytes that are due together with the timer are read first.
            ConnectionStep::Due(due, _) => {
                confirmed_due = Some(due);
                yield_now().await;
            }
        }
    }
}

/// Returns the size of the buffer for the bytes of a connection.
pub fn buffer_bytes(state: &GatewayState) -> usize {
    current_limits(state).header_bytes.max(MIN_BUFFER_BYTES)
}

/// Returns the limits in force, or the default ones until the first declaration.
pub fn current_limits(state: &GatewayState) -> ClientLimits {
    let snapshot = state.snapshot.load();
    let declaration = snapshot.declaration.as_ref();
    declaration.map_or(DEFAULT_LIMITS, |declaration| declaration.limits.clone())
}

/// Closes the sending side and discards what the client still sends, until it closes its
/// side or for [`LINGER_TIME`].
///
/// A connection that is closed with unread bytes is reset, which can take back an answer
/// that the client has not read.
async fn linger(client: &ClientConnection) {
    let stream = &client.stream;
    // It fails if the client has reset the connection, which the next read shows.
    let _ = rustix::net::shutdown(stream, Shutdown::Write);
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    let discard = async {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                // Reads without a pause would delay other connections and the timeout.
                _ => yield_now().await,
            }
        }
    };
    let limit = match client.memory.is_refusing() {
        true => REFUSED_LINGER_TIME,
        false => LINGER_TIME,
    };
    // The client has had the time to read the answer.
    let _ = timeout(limit, async {
        tokio::select! {
            () = discard => {}
            () = client.memory.eviction(), if !client.memory.is_refusing() => {}
        }
    })
    .await;
}

/// Returns who closed a connection that has ended, and why.
fn classify_end(
    result: &std::result::Result<(), hyper::Error>,
    record: &ConnectionRecord,
) -> CloseReason {
    match result {
        Err(error) if error.is_user() => CloseReason::ResponseAborted,
        _ if record.is_closed_by_client => CloseReason::Client,
        Err(error) if error.is_parse() => CloseReason::Malformed,
        Err(_) => CloseReason::Failed,
        Ok(()) if record.has_unread_body => CloseReason::UnreadBody,
        Ok(()) => CloseReason::Answered,
    }
}
