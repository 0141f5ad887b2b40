//! The host process: starts the tasks, runs them and shuts down gracefully.

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
use crate::endpoint::{EngineClient, EngineError, ServiceClient, poll_engines};
use crate::operator_api::{OperatorContext, build_operator_routes};
use crate::peer::{PeerSender, PeerTls, TlsError, serve_peers};
use crate::platform::{PlatformClient, PlatformError};
use crate::settings::{HostSettings, MIN_SECRET_BYTES};
use crate::supervisor::TaskSupervisor;
use crate::sync::PlatformSync;
use crate::telemetry::Metrics;

/// Longest time to wait during shutdown until this host's shares are transferred.
const SHARE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two checks of whether the shares are transferred.
const SHARE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between leaving the fleet and stopping the peer tasks, so that the last
/// messages are sent.
const LEAVE_DELAY: Duration = Duration::from_millis(200);

/// Interval at which expired idle connections to services are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An error that prevents a host from starting.
#[derive(Debug, Diagnostic, Error)]
pub enum DaemonError {
    /// A socket cannot listen on an address.
    #[error("cannot listen on {address}")]
    #[diagnostic(help("another process may use the port"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A secret or certificate cannot be read.
    #[error("cannot read {}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A secret is too short.
    #[error("the secret in {} is shorter than {MIN_SECRET_BYTES} bytes", path.display())]
    #[diagnostic(help("write at least {MIN_SECRET_BYTES} random bytes into the file"))]
    ShortSecret {
        /// The file.
        path: PathBuf,
    },
    /// The TLS certificates or keys are invalid.
    #[error("cannot use the certificates")]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
    /// The control thread cannot be started.
    #[error("cannot start the control thread")]
    Control(#[from] ControlError),
    /// The platform client cannot be built.
    #[error("cannot build the platform client")]
    Platform(#[from] PlatformError),
    /// The engine client cannot be built.
    #[error("cannot build the engine client")]
    Engine(#[from] EngineError),
    /// Two metrics have the same name.
    #[error("cannot register the metrics")]
    Metrics(#[from] prometheus::Error),
    /// Signal handlers or sockets cannot be set up.
    #[error("cannot set up signal handlers or sockets")]
    Setup(#[from] std::io::Error),
}

/// Runs a host until it receives a signal to stop.
///
/// SIGTERM or SIGINT starts a graceful shutdown: the host reports that it is not
/// ready, completes running requests and transfers its shares to other hosts. A
/// second signal, or the end of `drain_deadline_ms`, stops it immediately. SIGHUP,
/// which also reaches a host that is paused while its shell ends, has no effect.
///
/// # Errors
///
/// Returns [`DaemonError`] if the host cannot start.
pub async fn run_host(settings: HostSettings) -> Result<(), DaemonError> {
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    // Without a handler, the signal would end the process without draining.
    let _hangup = signal(SignalKind::hangup())?;
    let host = HostProcess::start(settings).await?;
    host.run(terminate, interrupt).await;
    Ok(())
}

/// A running host.
struct HostProcess {
    settings: HostSettings,
    control: ControlHandle,
    client_server: tokio::task::JoinHandle<std::io::Result<()>>,
    client_stop: crate::supervisor::StopHandle,
    background: TaskSupervisor,
    background_stop: crate::supervisor::StopHandle,
}

/// The listening sockets of a host.
struct BoundSockets {
    clients: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

impl BoundSockets {
    fn bind(settings: &HostSettings) -> Result<BoundSockets, DaemonError> {
        let bind = |address: SocketAddr| {
            let listen_error = |source| DaemonError::Listen { address, source };
            let listener = TcpListener::bind(address).map_err(listen_error)?;
            listener.set_nonblocking(true).map_err(listen_error)?;
            Ok::<_, DaemonError>(listener)
        };
        Ok(BoundSockets {
            clients: bind(settings.callers)?,
            peers: bind(settings.peers)?,
            operators: bind(settings.operators)?,
        })
    }
}

async fn close_idle_connections(services: Arc<ServiceClient>) {
    loop {
        sleep(IDLE_SWEEP_INTERVAL).await;
        services.close_expired();
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
        let services = Arc::new(ServiceClient::new());
        let sockets = BoundSockets::bind(&settings)?;
        log_addresses(&settings, &sockets)?;

        let (sender, outputs) = mpsc::unbounded_channel();
        let control = start_control(build_parameters(&settings, &sockets)?, sender)?;
        let (mut background, background_stop) = TaskSupervisor::new();

        let sync = PlatformSync {
            control: control.clone(),
            platform: platform.clone(),
            engines: engines.clone(),
            metrics: metrics.clone(),
        };
        let outputs = Arc::new(Mutex::new(outputs));
        let (own_host, peer_tls) = (settings.host.clone(), tls.clone());
        let (effect_sync, peer_metrics) = (sync.clone(), metrics.clone());
        background.supervise("outputs", move || {
            let peers = PeerSender::new(own_host.clone(), peer_tls.clone(), peer_metrics.clone());
            effect_sync.clone().perform_effects(peers, outputs.clone())
        });
        let watch_sync = sync.clone();
        background.supervise("watch", move || watch_sync.clone().watch_shared_objects());
        background.supervise("hosts", move || sync.clone().maintain_host_list());
        let (poll_control, poll_client) = (control.clone(), engines.clone());
        background
            .supervise("engines", move || poll_engines(poll_control.clone(), poll_client.clone()));
        let idle_services = services.clone();
        background.supervise("services", move || close_idle_connections(idle_services.clone()));
        let peers = Arc::new(tokio::net::TcpListener::from_std(sockets.peers)?);
        let peer_control = control.clone();
        background.supervise("peers", move || {
            serve_peers(peers.clone(), tls.clone(), peer_control.clone())
        });

        let operator_endpoint = build_operator_routes(OperatorContext {
            control: control.clone(),
            metrics: metrics.clone(),
            token: token.map(Into::into),
        });
        let operator_acceptor = ClientAcceptor::new(sockets.operators)?;
        let operator_stop = background.stop_signal();
        tokio::spawn(serve_until_stopped(
            operator_acceptor,
            operator_endpoint,
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
        let (client_tasks, client_stop) = TaskSupervisor::new();
        let (stop, deadline) = (client_tasks.stop_signal(), settings.drain_deadline());
        let acceptor = ClientAcceptor::new(sockets.clients)?;
        let client_server = match load_client_tls(&settings)? {
            Some(config) => {
                let acceptor = ClientListener::new(acceptor).rustls(config).into_acceptor().await?;
                tokio::spawn(serve_until_stopped(acceptor, routes, stop, deadline))
            }
            None => tokio::spawn(serve_until_stopped(acceptor, routes, stop, deadline)),
        };
        Ok(HostProcess {
            settings,
            control,
            client_server,
            client_stop,
            background,
            background_stop,
        })
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
            _ = terminate.recv() => info!("stopped immediately: second signal"),
            _ = interrupt.recv() => info!("stopped immediately: second signal"),
            () = sleep_until(deadline) => info!("stopped immediately: drain deadline"),
        }
    }

    async fn drain(self) {
        self.control.send(HostInput::Drain);
        // Gives the load balancer time to observe through /readyz that this host is not
        // ready, so that it opens no more connections before the host refuses them.
        sleep(self.settings.drain_notice()).await;
        self.client_stop.stop();
        let _ = self.client_server.await;
        wait_for_share_transfer(&self.control).await;
        self.control.send(HostInput::Leave);
        sleep(LEAVE_DELAY).await;
        self.background_stop.stop();
        self.background.join().await;
    }
}

/// Waits until all shares are transferred to other hosts, for at most
/// [`SHARE_TRANSFER_TIMEOUT`].
async fn wait_for_share_transfer(control: &ControlHandle) {
    let deadline = Instant::now() + SHARE_TRANSFER_TIMEOUT;
    while Instant::now() < deadline {
        if control.has_no_share().await.unwrap_or(true) {
            return;
        }
        sleep(SHARE_POLL_INTERVAL).await;
    }
}

fn build_parameters(
    settings: &HostSettings,
    sockets: &BoundSockets,
) -> Result<HostParameters, DaemonError> {
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |elapsed| elapsed.as_micros() as u64);
    Ok(HostParameters {
        own_entry: MemberEntry {
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
        callers = sockets.clients.local_addr()?.to_string().as_str(),
        peers = sockets.peers.local_addr()?.to_string().as_str(),
        operators = sockets.operators.local_addr()?.to_string().as_str(),
    });
    Ok(())
}

fn read_secret(path: &Path) -> Result<String, DaemonError> {
    let bytes = read_file(path)?;
    let secret = String::from_utf8_lossy(&bytes).trim().to_owned();
    if secret.len() < MIN_SECRET_BYTES {
        return Err(DaemonError::ShortSecret { path: path.into() });
    }
    Ok(secret)
}

fn read_file(path: &Path) -> Result<Vec<u8>, DaemonError> {
    std::fs::read(path).map_err(|source| DaemonError::File { path: path.into(), source })
}

fn load_client_tls(settings: &HostSettings) -> Result<Option<RustlsConfig>, DaemonError> {
    let Some(tls) = &settings.tls else { return Ok(None) };
    let certificate = RustlsCertificate::new()
        .cert(read_file(&tls.certificate_file)?)
        .key(read_file(&tls.private_key_file)?);
    Ok(Some(RustlsConfig::new().fallback(certificate)))
}
