//! Remote procedure calls from hosts to the coordinator.

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

use crate::decision::coordinator::{
    CoordinatorReply, EngineLimits, HostReport, KnowledgeAge, QuotaAnswer,
};
use crate::decision::evacuations::DeclaredEvacuation;
use crate::decision::fleet_planner::AdapterRequest;
use crate::decision::freshness::EXCHANGE_TIMEOUT;
use crate::decision::quota_pool::QuotaDraw;
use crate::decision::store_order::StorePosition;
use crate::gateway::control::ControlContext;
use crate::gateway::declaration::FleetDeclaration;
use crate::gateway::registry::EngineEntry;
use crate::ids::{EndpointId, HostId, Revision};
use serde::{Deserialize, Serialize};

/// Longest time to open a connection to the coordinator.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time to wait for the declaration; a host that has not received it
/// reads it from the store.
const DECLARATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to wait for the reply to one call for quota tokens.
const QUOTA_CALL_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time to wait for the reply to one call that places an adapter.
const ADAPTER_CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest frame, in bytes, that either side accepts.
const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;
/// Delay before the next `accept` after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without a call after which the server closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a host knows when it asks a deputy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeputyQuestion {
    /// Revision of its declaration.
    pub revision: Revision,
    /// Position of the store up to which its registry contains all changes.
    pub registry_position: StorePosition,
}

/// What a deputy knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeputyAnswer {
    /// The coordinator, if it answers the deputy.
    pub coordinator: Option<(HostId, SocketAddr)>,
    /// Revisions and ages of the deputy's declaration and registry.
    pub age: KnowledgeAge,
    /// The declaration, if it is newer than that of the asking host.
    pub declaration: Option<Arc<FleetDeclaration>>,
    /// All engines, if the registry is newer than that of the asking host.
    pub engines: Option<Vec<Arc<EngineEntry>>>,
    /// All evacuations, if the deputy has heard of them.
    pub evacuations: Option<Vec<DeclaredEvacuation>>,
}

/// Calls that the coordinator answers for other hosts, and one that any host answers.
///
/// A host that is not the coordinator returns `None` for every call.
#[tarpc::service]
pub trait CoordinationService {
    /// Accepts a host's report and returns load counts, quota tokens and placement.
    async fn exchange(report: HostReport) -> Option<CoordinatorReply>;
    /// Returns the declaration in force.
    async fn declaration() -> Option<Arc<FleetDeclaration>>;
    /// Returns what this host knows, also if it is not the coordinator.
    async fn ask(question: DeputyQuestion) -> DeputyAnswer;
    /// Draws quota tokens for one client request.
    async fn draw(host: HostId, draw: QuotaDraw) -> Option<QuotaAnswer>;
    /// Draws one request to an engine from its limits.
    async fn draw_request(
        host: HostId,
        engine: EndpointId,
        limits: EngineLimits,
    ) -> Option<QuotaAnswer>;
    /// Returns an engine that holds an adapter, having it loaded if necessary.
    async fn adapter(request: AdapterRequest) -> Option<EndpointId>;
}

#[derive(Clone)]
struct CoordinationServer {
    control: Arc<ControlContext>,
}

impl CoordinationService for CoordinationServer {
    async fn exchange(self, _: context::Context, report: HostReport) -> Option<CoordinatorReply> {
        self.control.handle_report(report)
    }

    async fn declaration(self, _: context::Context) -> Option<Arc<FleetDeclaration>> {
        self.control.declaration_as_coordinator()
    }

    async fn ask(self, _: context::Context, question: DeputyQuestion) -> DeputyAnswer {
        self.control.answer_question(question)
    }

    async fn draw(self, _: context::Context, host: HostId, draw: QuotaDraw) -> Option<QuotaAnswer> {
        self.control.draw_tokens(&host, &draw)
    }

    async fn draw_request(
        self,
        _: context::Context,
        host: HostId,
        engine: EndpointId,
        limits: EngineLimits,
    ) -> Option<QuotaAnswer> {
        self.control.draw_request(&host, &engine, limits)
    }

    async fn adapter(self, _: context::Context, request: AdapterRequest) -> Option<EndpointId> {
        self.control.place_adapter(&request).await
    }
}

/// Serves calls of other hosts until the task is cancelled.
pub async fn serve_peers(listener: TcpListener, control: Arc<ControlContext>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let server = CoordinationServer { control: control.clone() };
        tokio::spawn(async move {
            let transport =
                serde_transport::new(frame_codec().new_framed(stream), Bincode::default());
            let channel = BaseChannel::with_defaults(transport).execute(server.serve());
            let mut calls = Box::pin(channel);
            while let Ok(Some(call)) = timeout(IDLE_TIMEOUT, calls.next()).await {
                tokio::spawn(call);
            }
        });
    }
}

/// A connection to the coordinator.
#[derive(Clone)]
pub struct CoordinatorClient {
    /// Address of the coordinator.
    pub address: SocketAddr,
    client: CoordinationServiceClient,
}

impl CoordinatorClient {
    /// Opens a connection, or returns `None` if that fails or takes longer than
    /// the timeout.
    pub async fn open(address: SocketAddr) -> Option<CoordinatorClient> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let transport = serde_transport::new(frame_codec().new_framed(stream), Bincode::default());
        let client = CoordinationServiceClient::new(client::Config::default(), transport).spawn();
        Some(CoordinatorClient { address, client })
    }

    /// Sends a report and returns the reply.
    ///
    /// The outer `None` means that no answer arrived, the inner one that the host
    /// is not the coordinator.
    pub async fn exchange(&self, report: HostReport) -> Option<Option<CoordinatorReply>> {
        self.client.exchange(context_with_timeout(EXCHANGE_TIMEOUT), report).await.ok()
    }

    /// Fetches the coordinator's declaration, or returns `None` if it did not
    /// arrive.
    pub async fn fetch_declaration(&self) -> Option<Arc<FleetDeclaration>> {
        self.client.declaration(context_with_timeout(DECLARATION_TIMEOUT)).await.ok()?
    }

    /// Asks what the host knows, or returns `None` if no answer arrived.
    pub async fn ask_deputy(&self, question: DeputyQuestion) -> Option<DeputyAnswer> {
        self.client.ask(context_with_timeout(DECLARATION_TIMEOUT), question).await.ok()
    }

    /// Draws quota tokens for one client request.
    ///
    /// `None` means that the outcome is unknown, or that the host is not the
    /// coordinator.
    pub async fn draw_tokens(&self, host: HostId, draw: QuotaDraw) -> Option<QuotaAnswer> {
        self.client.draw(context_with_timeout(QUOTA_CALL_TIMEOUT), host, draw).await.ok()?
    }

    /// Draws one request to an engine from its limits.
    ///
    /// `None` means that the outcome is unknown, or that the host is not the
    /// coordinator.
    pub async fn draw_request(
        &self,
        host: HostId,
        engine: EndpointId,
        limits: EngineLimits,
    ) -> Option<QuotaAnswer> {
        self.client
            .draw_request(context_with_timeout(QUOTA_CALL_TIMEOUT), host, engine, limits)
            .await
            .ok()?
    }

    /// Returns an engine that holds an adapter, having it loaded if necessary.
    ///
    /// `None` means that no engine was found, that no answer arrived, or that the
    /// host is not the coordinator.
    pub async fn place_adapter(&self, request: AdapterRequest) -> Option<EndpointId> {
        self.client.adapter(context_with_timeout(ADAPTER_CALL_TIMEOUT), request).await.ok()?
    }
}

/// Returns an RPC context whose deadline is `timeout` from now.
fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

fn frame_codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
