//! The host process: builds the task tree, runs it, and stops it gracefully.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use miette::Diagnostic;
use poem::listener::{Listener, RustlsCertificate, RustlsConfig};
use rand::Rng;
use spdlog::info;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Mutex, Semaphore, mpsc};
use tokio::time::{Instant, sleep, sleep_until};

use crate::control::{ControlError, ControlHandle, start_control};
use crate::decision::host::{HostInput, HostParameters};
use crate::decision::keys::KeyHasher;
use crate::decision::membership::{MemberEntry, MemberPhase};
use crate::edge::{
    ClientAcceptor, ClientListener, EdgeContext, build_client_routes, serve_until_stopped,
};
use crate::endpoint::{EngineClient, EngineError, ServiceClient, ServiceError, poll_engines};
use crate::operator_api::{OperatorContext, operator_routes};
use crate::peer::{PeerSender, PeerTls, TlsError, serve_peers};
use crate::platform::{PlatformClient, PlatformError};
use crate::settings::{HostSettings, SHORTEST_SECRET_BYTES};
use crate::supervisor::TaskSupervisor;
use crate::sync::PlatformSync;
use crate::telemetry::Metrics;

const SHARE_HANDOVER: Duration = Duration::from_secs(8);
const SHARE_POLL: Duration = Duration::from_millis(50);
const FAREWELL_PAUSE: Duration = Duration::from_millis(200);

/// Why a host cannot start.
#[derive(Debug, Diagnostic, Error)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[error("{address} cannot be listened on")]
    #[diagnostic(help("another process may hold the port"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        #[source]
        source: std::io::Error,
    },
    /// A secret or certificate cannot be read.
    #[error("{} cannot be read", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        #[source]
        source: std::io::Error,
    },
    /// The secret for key hashes is too short.
    #[error("{} holds less than {SHORTEST_SECRET_BYTES} bytes", path.display())]
    #[diagnostic(help("write at least {SHORTEST_SECRET_BYTES} random characters into it"))]
    ShortSecret {
        /// The file.
        path: PathBuf,
    },
    /// Certificates cannot be used.
    #[error("the certificates cannot be used")]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// The control thread cannot be started.
    #[error("the control thread cannot be started")]
    Control(#[from] ControlError),
    /// A client cannot be built.
    #[error("the platform client cannot be built")]
    Platform(#[from] PlatformError),
    /// A client cannot be built.
    #[error("the engine client cannot be built")]
    Engine(#[from] EngineError),
    /// A client cannot be built.
    #[error("the service client cannot be built")]
    Service(#[from] ServiceError),
    /// Metrics clash.
    #[error("the metrics cannot be registered")]
    Metrics(#[from] prometheus::Error),
    /// Signals or sockets cannot be set up.
    #[error("the process cannot be set up")]
    Setup(#[from] std::io::Error),
}

/// Runs a host until it is told to stop.
///
/// SIGTERM or SIGINT stops it gracefully: readiness turns off, running
/// requests end, shares go to the other hosts. A second signal, or
/// `drain_deadline_ms`, ends it at once.
///
/// # Errors
///
/// [`DaemonError`] if it cannot start.
pub async fn run_host(settings: HostSettings) -> Result<(), DaemonError> {
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let host = HostProcess::start(settings).await?;
    host.run(terminate, interrupt).await;
    Ok(())
}

struct HostProcess {
    settings: HostSettings,
    control: ControlHandle,
    traffic: tokio::task::JoinHandle<std::io::Result<()>>,
    traffic_stop: crate::supervisor::StopHandle,
    background: TaskSupervisor,
    background_stop: crate::supervisor::StopHandle,
}

struct BoundSockets {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

impl BoundSockets {
    fn bind(settings: &HostSettings) -> Result<BoundSockets, DaemonError> {
        let bind = |address: SocketAddr| {
            let listen = |source| DaemonError::Listen { address, source };
            let listener = TcpListener::bind(address).map_err(listen)?;
            listener.set_nonblocking(true).map_err(listen)?;
            Ok::<_, DaemonError>(listener)
        };
        Ok(BoundSockets {
            callers: bind(settings.callers)?,
            peers: bind(settings.peers)?,
            operators: bind(settings.operators)?,
        })
    }
}

impl HostProcess {
    async fn start(settings: HostSettings) -> Result<HostProcess, DaemonError> {
        let secret = read_secret(&settings.key_secret_file)?;
        let token = settings.operator_token_file.as_deref().map(read_secret).transpose()?;
        let tls = settings.tls.as_ref().map(PeerTls::load).transpose()?;
        let metrics = Arc::new(Metrics::new()?);
        let platform = PlatformClient::new(&settings.platform, metrics.clone())?;
        let engines = EngineClient::new()?;
        let services = ServiceClient::new()?;
        let sockets = BoundSockets::bind(&settings)?;
        log_addresses(&settings, &sockets)?;

        let (sender, outputs) = mpsc::unbounded_channel();
        let control = start_control(parameters(&settings, &sockets)?, sender)?;
        let (mut background, background_stop) = TaskSupervisor::new();

        let sync = PlatformSync {
            control: control.clone(),
            platform: platform.clone(),
            engines: engines.clone(),
            metrics: metrics.clone(),
        };
        let outputs = Arc::new(Mutex::new(outputs));
        let (own, peer_tls) = (settings.host.clone(), tls.clone());
        let (carrying, peer_metrics) = (sync.clone(), metrics.clone());
        background.supervise("outputs", move || {
            let peers = PeerSender::new(own.clone(), peer_tls.clone(), peer_metrics.clone());
            carrying.clone().carry_outputs(peers, outputs.clone())
        });
        let watching = sync.clone();
        background.supervise("watch", move || watching.clone().watch_shared());
        background.supervise("hosts", move || sync.clone().follow_hosts());
        let (polling, polled) = (control.clone(), engines.clone());
        background.supervise("engines", move || poll_engines(polling.clone(), polled.clone()));
        let peers = Arc::new(tokio::net::TcpListener::from_std(sockets.peers)?);
        let serving = control.clone();
        background
            .supervise("peers", move || serve_peers(peers.clone(), tls.clone(), serving.clone()));

        let operators = operator_routes(OperatorContext {
            control: control.clone(),
            metrics: metrics.clone(),
            token: token.map(Into::into),
        });
        let operator_acceptor = ClientAcceptor::new(sockets.operators)?;
        let operator_stop = background.stop_signal();
        tokio::spawn(serve_until_stopped(
            operator_acceptor,
            operators,
            operator_stop,
            Duration::ZERO,
        ));

        let routes = build_client_routes(EdgeContext {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            control: control.clone(),
            hasher: KeyHasher::new(&secret),
            engines,
            services,
            platform,
            metrics,
            body_limit: settings.body_limit,
            permits: Arc::new(Semaphore::new(settings.request_limit)),
        });
        let (traffic_tasks, traffic_stop) = TaskSupervisor::new();
        let (stop, deadline) = (traffic_tasks.stop_signal(), settings.drain_deadline());
        let acceptor = ClientAcceptor::new(sockets.callers)?;
        let traffic = match caller_tls(&settings)? {
            Some(config) => {
                let acceptor = ClientListener::new(acceptor).rustls(config).into_acceptor().await?;
                tokio::spawn(serve_until_stopped(acceptor, routes, stop, deadline))
            }
            None => tokio::spawn(serve_until_stopped(acceptor, routes, stop, deadline)),
        };
        Ok(HostProcess { settings, control, traffic, traffic_stop, background, background_stop })
    }

    async fn run(self, mut terminate: Signal, mut interrupt: Signal) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let deadline = Instant::now() + self.settings.drain_deadline();
        info!("stopping: draining");
        tokio::select! {
            () = self.drain() => info!("stopped"),
            _ = terminate.recv() => info!("stopped at once: second signal"),
            _ = interrupt.recv() => info!("stopped at once: second signal"),
            () = sleep_until(deadline) => info!("stopped at once: drain deadline"),
        }
    }

    async fn drain(self) {
        self.control.send(HostInput::Drain);
        // The balancer learns from /readyz that no more connections may come.
        sleep(self.settings.drain_notice()).await;
        self.traffic_stop.stop();
        let _ = self.traffic.await;
        hand_over_shares(&self.control).await;
        self.control.send(HostInput::Leave);
        sleep(FAREWELL_PAUSE).await;
        self.background_stop.stop();
        self.background.join().await;
    }
}

/// Waits until the shares have gone to other hosts, for as long as it helps.
async fn hand_over_shares(control: &ControlHandle) {
    let give_up = Instant::now() + SHARE_HANDOVER;
    while Instant::now() < give_up {
        if control.holds_no_share().await.unwrap_or(true) {
            return;
        }
        sleep(SHARE_POLL).await;
    }
}

fn parameters(
    settings: &HostSettings,
    sockets: &BoundSockets,
) -> Result<HostParameters, DaemonError> {
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |elapsed| elapsed.as_micros() as u64);
    Ok(HostParameters {
        own: MemberEntry {
            host: settings.host.clone(),
            incarnation,
            counter: 0,
            address: sockets.peers.local_addr()?.to_string().into(),
            data_centre: settings.data_centre.clone(),
            phase: MemberPhase::Joining,
            revision: 0,
            share_key: "".into(),
        },
        seed: settings.seed.unwrap_or_else(|| rand::rng().random()),
        allowance_lease: settings.allowance_lease(),
        routing: settings.routing,
        lending: settings.lending,
    })
}

fn log_addresses(settings: &HostSettings, sockets: &BoundSockets) -> Result<(), DaemonError> {
    info!("listening", kv: {
        host = &*settings.host,
        data_centre = &*settings.data_centre,
        callers = sockets.callers.local_addr()?.to_string().as_str(),
        peers = sockets.peers.local_addr()?.to_string().as_str(),
        operators = sockets.operators.local_addr()?.to_string().as_str(),
    });
    Ok(())
}

fn read_secret(path: &Path) -> Result<String, DaemonError> {
    let text = read_file(path)?;
    let secret = String::from_utf8_lossy(&text).trim().to_owned();
    if secret.len() < SHORTEST_SECRET_BYTES {
        return Err(DaemonError::ShortSecret { path: path.into() });
    }
    Ok(secret)
}

fn read_file(path: &Path) -> Result<Vec<u8>, DaemonError> {
    std::fs::read(path).map_err(|source| DaemonError::File { path: path.into(), source })
}

fn caller_tls(settings: &HostSettings) -> Result<Option<RustlsConfig>, DaemonError> {
    let Some(tls) = &settings.tls else { return Ok(None) };
    let certificate = RustlsCertificate::new()
        .cert(read_file(&tls.certificate_file)?)
        .key(read_file(&tls.private_key_file)?);
    Ok(Some(RustlsConfig::new().fallback(certificate)))
}
