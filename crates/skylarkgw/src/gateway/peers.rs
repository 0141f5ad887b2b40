//! Calls between hosts: the exchange with the coordinator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::LengthDelimitedCodec;

use crate::decision::coordinator::{CoordinatorReply, HostReport, QuotaAnswer};
use crate::gateway::control::ControlContext;
use crate::gateway::declaration::{FleetDeclaration, ServiceName};
use crate::ids::{EndpointId, HostId, ModelName, Tokens, WorkspaceId};

const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time for an exchange; a frozen coordinator does not answer.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(300);
/// Time for a whole declaration; after it the store is asked.
const DECLARATION_LIMIT: Duration = Duration::from_millis(400);
/// Time that a request may wait for tokens of the bank.
const QUOTA_LIMIT: Duration = Duration::from_millis(120);
/// Time that a request may wait for an adapter.
const ADAPTER_LIMIT: Duration = Duration::from_millis(200);
const FRAME_LIMIT_BYTES: usize = 512 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time without a call after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// What a coordinator does for other hosts; `None` says that it is not one.
#[tarpc::service]
pub trait CoordinationService {
    /// Takes a report and gives counts, tokens and placement.
    async fn exchange(report: HostReport) -> Option<CoordinatorReply>;
    /// Returns the declaration in force.
    async fn declaration() -> Option<Arc<FleetDeclaration>>;
    /// Draws tokens for one request.
    async fn draw(host: HostId, workspace: WorkspaceId, tokens: Tokens) -> Option<QuotaAnswer>;
    /// Finds or makes a place for an adapter.
    async fn adapter(
        service: ServiceName,
        model: ModelName,
        adapter: Arc<str>,
    ) -> Option<EndpointId>;
}

#[derive(Clone)]
struct CoordinationServer {
    control: Arc<ControlContext>,
}

impl CoordinationService for CoordinationServer {
    async fn exchange(self, _: context::Context, report: HostReport) -> Option<CoordinatorReply> {
        self.control.exchange(report)
    }

    async fn declaration(self, _: context::Context) -> Option<Arc<FleetDeclaration>> {
        self.control.coordinated_declaration()
    }

    async fn draw(
        self,
        _: context::Context,
        host: HostId,
        workspace: WorkspaceId,
        tokens: Tokens,
    ) -> Option<QuotaAnswer> {
        self.control.draw(&host, &workspace, tokens)
    }

    async fn adapter(
        self,
        _: context::Context,
        service: ServiceName,
        model: ModelName,
        adapter: Arc<str>,
    ) -> Option<EndpointId> {
        self.control.place_adapter(&service, &model, &adapter).await
    }
}

/// Serves other hosts until the task is ended.
pub async fn serve_peers(listener: TcpListener, control: Arc<ControlContext>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let server = CoordinationServer { control: control.clone() };
        tokio::spawn(async move {
            let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
            let channel = BaseChannel::with_defaults(transport).execute(server.serve());
            let mut calls = Box::pin(channel);
            while let Ok(Some(call)) = timeout(IDLE_LIMIT, calls.next()).await {
                tokio::spawn(call);
            }
        });
    }
}

/// A connection to the coordinator.
#[derive(Clone)]
pub struct CoordinatorClient {
    /// Address that it was opened to.
    pub address: SocketAddr,
    client: CoordinationServiceClient,
}

impl CoordinatorClient {
    /// Opens a connection; `None` if it cannot be made in time.
    pub async fn open(address: SocketAddr) -> Option<CoordinatorClient> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
        let client = CoordinationServiceClient::new(client::Config::default(), transport).spawn();
        Some(CoordinatorClient { address, client })
    }

    /// Exchanges a report; the outer `None` says that no answer came.
    pub async fn exchange(&self, report: HostReport) -> Option<Option<CoordinatorReply>> {
        self.client.exchange(within(EXCHANGE_LIMIT), report).await.ok()
    }

    /// Returns the coordinator's declaration; `None` if it did not come.
    pub async fn declaration(&self) -> Option<Arc<FleetDeclaration>> {
        self.client.declaration(within(DECLARATION_LIMIT)).await.ok()?
    }

    /// Draws tokens; `None` says that nothing is known.
    pub async fn draw(
        &self,
        host: HostId,
        workspace: WorkspaceId,
        tokens: Tokens,
    ) -> Option<QuotaAnswer> {
        self.client.draw(within(QUOTA_LIMIT), host, workspace, tokens).await.ok()?
    }

    /// Finds an engine that holds an adapter.
    pub async fn adapter(
        &self,
        service: ServiceName,
        model: ModelName,
        adapter: Arc<str>,
    ) -> Option<EndpointId> {
        self.client.adapter(within(ADAPTER_LIMIT), service, model, adapter).await.ok()?
    }
}

fn within(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

fn codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_LIMIT_BYTES);
    builder
}
