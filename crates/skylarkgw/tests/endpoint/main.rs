//! Tests of the HTTP clients of endpoints against a server that sends bytes without
//! end.

mod answers;
mod budgets;
mod replays;
mod segments;
mod statuses;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use skylarkgw::endpoint::{EngineClient, GenerateCall, next_event};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Time within which a call must fail; that of the longest call with a margin.
const MAX_CALL_TIME: Duration = Duration::from_millis(3_000);
/// Number of bytes that an endpoint may get rid of in one call, with the buffers of
/// both sockets.
const MAX_SENT_BYTES: usize = 16 * 1024 * 1024;

/// A server that answers each connection with a start and then a repeated text.
struct EndlessServer {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    is_closed: Arc<AtomicBool>,
}

async fn start_server(start: &'static str, repeated: &'static str) -> EndlessServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let server = EndlessServer {
        address: listener.local_addr().expect("an address"),
        sent: Arc::default(),
        is_closed: Arc::default(),
    };
    let (sent, is_closed) = (server.sent.clone(), server.is_closed.clone());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let block = repeated.repeat(8_192 / repeated.len());
        let _ = stream.write_all(start.as_bytes()).await;
        while stream.write_all(block.as_bytes()).await.is_ok() {
            sent.fetch_add(block.len(), Ordering::Relaxed);
        }
        is_closed.store(true, Ordering::Relaxed);
    });
    server
}

impl EndlessServer {
    /// Checks the time of a call that has failed, the bytes that the server sent, and
    /// that the connection is closed.
    async fn check_end(&self, started: Instant) {
        assert!(started.elapsed() < MAX_CALL_TIME, "{:?}", started.elapsed());
        let sent = self.sent.load(Ordering::Relaxed);
        assert!(sent < MAX_SENT_BYTES, "{sent} bytes were read");
        let closed = timeout(MAX_CALL_TIME, async {
            while !self.is_closed.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(10)).await;
            }
        });
        closed.await.expect("the connection should be closed");
    }
}

fn build_call() -> GenerateCall {
    GenerateCall {
        request: "r1".into(),
        model: "sage".into(),
        adapter: None,
        prompt: "a prompt".into(),
        max_tokens: 4,
        offset: 0,
        generated: "".into(),
    }
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Guards against a host that runs out of memory when an engine sends one event
/// without end.
#[tokio::test]
async fn endless_event_ends_the_generation() {
    for repeated in ["data: piece\n", "a"] {
        let server = start_server(STREAM_HEAD, repeated).await;
        let started = Instant::now();
        let client = EngineClient::new().expect("a client");
        let address = server.address.to_string();
        let mut stream = client.generate(&address, &build_call()).await.expect("a stream");
        next_event(&mut stream).await.expect_err("the event has no end");
        drop(stream);
        server.check_end(started).await;
    }
}

/// Guards against a host that runs out of memory when an engine sends a load report
/// without end.
#[tokio::test]
async fn endless_load_report_ends_the_call() {
    let server = start_server("HTTP/1.1 200 OK\r\n\r\n", "body").await;
    let started = Instant::now();
    let client = EngineClient::new().expect("a client");
    client.fetch_load(&server.address.to_string()).await.expect_err("the body has no end");
    server.check_end(started).await;
}

/// Guards against a host that waits for, or stores, a head without end.
#[tokio::test]
async fn endless_head_ends_the_call() {
    for repeated in ["HTTP/1.1 100 Continue\r\n\r\n", "a"] {
        let start = if repeated == "a" { "HTTP/1.1 200 OK\r\nx-a: " } else { "" };
        let server = start_server(start, repeated).await;
        let started = Instant::now();
        let client = EngineClient::new().expect("a client");
        let address = server.address.to_string();
        assert!(client.generate(&address, &build_call()).await.is_err());
        drop(client);
        assert!(started.elapsed() < MAX_CALL_TIME, "{:?}", started.elapsed());
    }
}
