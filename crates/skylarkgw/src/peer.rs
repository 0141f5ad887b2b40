//! Host to host: one tarpc service that delivers messages.
//!
//! Delivery is best effort. A queue per member is bounded and drops what does
//! not fit; every message may be lost without harm, so nothing is sent twice.

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

const QUEUE_LENGTH: usize = 512;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
const CALLS_IN_FLIGHT: usize = 64;

/// Delivers messages to a host.
#[tarpc::service]
pub trait PeerService {
    /// Hands one message over; the answer only says that it arrived.
    async fn deliver(from: HostId, message: PeerMessage);
}

/// Why the peer interface cannot start.
#[derive(Debug, Error)]
pub enum PeerError {
    /// A connection failed.
    #[error("the connection to the host failed")]
    Connection(#[from] std::io::Error),
    /// The host did not answer in time.
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

/// Accepts connections of other hosts until the task is ended.
pub async fn serve_peers(listener: Arc<TcpListener>, tls: Option<PeerTls>, control: ControlHandle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
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
    let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(receiver.serve());
    // An idle connection is one whose other end may be gone without a word.
    let mut requests = Box::pin(requests);
    while let Ok(Some(response)) = timeout(IDLE_TIMEOUT * 2, requests.next()).await {
        response.await;
    }
}

/// Sends messages to other hosts.
#[derive(Debug)]
pub struct PeerSender {
    own: HostId,
    tls: Option<PeerTls>,
    metrics: Arc<Metrics>,
    queues: HashMap<Arc<str>, mpsc::Sender<PeerMessage>>,
}

impl PeerSender {
    /// Creates a sender for a host.
    pub fn new(own: HostId, tls: Option<PeerTls>, metrics: Arc<Metrics>) -> PeerSender {
        PeerSender { own, tls, metrics, queues: HashMap::new() }
    }

    /// Queues a message; drops it if the queue is full.
    pub fn send(&mut self, address: Arc<str>, message: PeerMessage) {
        self.queues.retain(|_, queue| !queue.is_closed());
        let queue = self.queues.entry(address.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            let link = PeerLink {
                own: self.own.clone(),
                address,
                tls: self.tls.clone(),
                metrics: self.metrics.clone(),
            };
            tokio::spawn(link.run(receiver));
            sender
        });
        if queue.try_send(message).is_err() {
            self.metrics.peer_drops.inc();
        }
    }
}

struct PeerLink {
    own: HostId,
    address: Arc<str>,
    tls: Option<PeerTls>,
    metrics: Arc<Metrics>,
}

impl PeerLink {
    /// Delivers until the queue closes or nothing was sent for a while.
    async fn run(self, mut queue: mpsc::Receiver<PeerMessage>) {
        let slots = Arc::new(tokio::sync::Semaphore::new(CALLS_IN_FLIGHT));
        let (broken_sender, mut broken) = mpsc::channel::<()>(1);
        let mut connection: Option<PeerServiceClient> = None;
        let mut retry_at = Instant::now();
        while let Ok(Some(message)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
            if broken.try_recv().is_ok() {
                connection = None;
            }
            if connection.is_none() && Instant::now() >= retry_at {
                connection = self.connect().await.ok();
                retry_at = Instant::now() + RECONNECT_PAUSE;
            }
            let Some(client) = connection.clone() else {
                self.metrics.peer_drops.inc();
                continue;
            };
            let Ok(permit) = slots.clone().acquire_owned().await else { return };
            let (own, metrics) = (self.own.clone(), self.metrics.clone());
            let broken = broken_sender.clone();
            tokio::spawn(async move {
                let mut context = context::current();
                context.deadline = Instant::now() + DELIVERY_TIMEOUT;
                if client.deliver(context, own, message).await.is_err() {
                    metrics.peer_drops.inc();
                    let _ = broken.try_send(());
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
    let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
    PeerServiceClient::new(client::Config::default(), transport).spawn()
}

fn codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_LIMIT_BYTES);
    builder
}
