//! Messages between hosts, delivered by a tarpc service.
//!
//! Delivery is best effort. Each member has a bounded queue, and messages that do
//! not fit are dropped. The protocol tolerates the loss of any message, so no
//! message is retransmitted.

mod tls;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

pub use tls::{PEER_SERVER_NAME, PeerTls, TlsError};

use crate::control::ControlHandle;
use crate::decision::host::HostInput;
use crate::decision::message::PeerMessage;
use crate::ids::HostId;
use crate::telemetry::Metrics;

/// Largest number of queued messages per peer.
const QUEUE_CAPACITY: usize = 512;
/// Longest time to open a connection to a peer, and, separately, for each TLS
/// handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time to wait until a peer confirms a message.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a message after which the sender closes a connection. The receiver
/// closes it after twice this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortest time between two attempts to connect to a peer, and delay after a failed
/// accept.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Longest frame, in bytes, that either side accepts.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of unconfirmed messages per peer.
const MAX_CALLS_IN_FLIGHT: usize = 64;

/// The service that receives messages from other hosts.
#[tarpc::service]
pub trait PeerService {
    /// Delivers one message. The response only confirms that it was received.
    async fn deliver(from: HostId, message: PeerMessage);
}

/// An error of a connection to another host.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection failed.
    #[error("the connection to the host failed")]
    Connection(#[from] std::io::Error),
    /// The connection was not established in time.
    #[error("the host did not answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

#[derive(Clone)]
struct PeerReceiver {
    control: ControlHandle,
}

impl PeerService for PeerReceiver {
    async fn deliver(self, _: context::Context, from: HostId, message: PeerMessage) {
        self.control.send(HostInput::Message { from, message });
    }
}

/// Accepts connections from other hosts until the task is aborted.
pub async fn serve_peers(listener: Arc<TcpListener>, tls: Option<PeerTls>, control: ControlHandle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let receiver = PeerReceiver { control: control.clone() };
        let tls = tls.clone();
        tokio::spawn(async move {
            match tls {
                Some(tls) => {
                    if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, tls.accept(stream)).await {
                        serve_connection(stream, receiver).await;
                    }
                }
                None => serve_connection(stream, receiver).await,
            }
        });
    }
}

async fn serve_connection<S>(stream: S, receiver: PeerReceiver)
where
    S: AsyncRead + AsyncWrite + Send + 'static,
{
    let transport = serde_transport::new(build_codec().new_framed(stream), Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(receiver.serve());
    // Closes idle connections, since the peer may have disappeared without closing
    // the connection.
    let mut requests = Box::pin(requests);
    while let Ok(Some(response)) = timeout(IDLE_TIMEOUT * 2, requests.next()).await {
        response.await;
    }
}

/// Sends messages to other hosts.
#[derive(Debug)]
pub struct PeerSender {
    own_host: HostId,
    tls: Option<PeerTls>,
    metrics: Arc<Metrics>,
    queues: HashMap<Arc<str>, mpsc::Sender<PeerMessage>>,
}

impl PeerSender {
    /// Creates a sender for the host named `own_host`.
    pub fn new(own_host: HostId, tls: Option<PeerTls>, metrics: Arc<Metrics>) -> PeerSender {
        PeerSender { own_host, tls, metrics, queues: HashMap::new() }
    }

    /// Queues a message for a peer, or drops it if the queue is full.
    pub fn send(&mut self, address: Arc<str>, message: PeerMessage) {
        self.queues.retain(|_, queue| !queue.is_closed());
        let queue = self.queues.entry(address.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            let connection = PeerConnection {
                own_host: self.own_host.clone(),
                address,
                tls: self.tls.clone(),
                metrics: self.metrics.clone(),
            };
            tokio::spawn(connection.run(receiver));
            sender
        });
        if queue.try_send(message).is_err() {
            self.metrics.peer_drops.inc();
        }
    }
}

/// Delivers the messages of one queue.
struct PeerConnection {
    own_host: HostId,
    address: Arc<str>,
    tls: Option<PeerTls>,
    metrics: Arc<Metrics>,
}

impl PeerConnection {
    /// Delivers messages until the queue closes or is idle for [`IDLE_TIMEOUT`].
    async fn run(self, mut queue: mpsc::Receiver<PeerMessage>) {
        let call_permits = Arc::new(tokio::sync::Semaphore::new(MAX_CALLS_IN_FLIGHT));
        let (failure_sender, mut failures) = mpsc::channel::<()>(1);
        let mut client: Option<PeerServiceClient> = None;
        let mut retry_at = Instant::now();
        while let Ok(Some(message)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
            if failures.try_recv().is_ok() {
                client = None;
            }
            if client.is_none() && Instant::now() >= retry_at {
                client = self.connect().await.ok();
                retry_at = Instant::now() + RECONNECT_DELAY;
            }
            let Some(client) = client.clone() else {
                self.metrics.peer_drops.inc();
                continue;
            };
            let Ok(permit) = call_permits.clone().acquire_owned().await else { return };
            let (own_host, metrics) = (self.own_host.clone(), self.metrics.clone());
            let failures = failure_sender.clone();
            tokio::spawn(async move {
                let mut context = context::current();
                context.deadline = Instant::now() + DELIVERY_TIMEOUT;
                if client.deliver(context, own_host, message).await.is_err() {
                    metrics.peer_drops.inc();
                    let _ = failures.try_send(());
                }
                drop(permit);
            });
        }
    }

    async fn connect(&self) -> Result<PeerServiceClient, PeerError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(&*self.address)).await??;
        stream.set_nodelay(true)?;
        match &self.tls {
            Some(tls) => {
                let stream = timeout(CONNECT_TIMEOUT, tls.connect(stream)).await??;
                Ok(start_client(stream))
            }
            None => Ok(start_client(stream)),
        }
    }
}

fn start_client<S>(stream: S) -> PeerServiceClient
where
    S: AsyncRead + AsyncWrite + Send + 'static,
{
    let transport = serde_transport::new(build_codec().new_framed(stream), Bincode::default());
    PeerServiceClient::new(client::Config::default(), transport).spawn()
}

fn build_codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
