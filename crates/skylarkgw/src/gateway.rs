//! A gateway for fleets whose platform keeps declarations, registry and leases.
//!
//! Every host runs the same process. The platform's store names one of them
//! coordinator, for soft state alone: it gathers the hosts' counts, divides
//! quotas and orders models to engines. An adapter decodes the platform's names
//! and calls; see [`ports`] and [`wire`] for what it has to offer.

pub mod clock;
pub mod control;
pub mod declaration;
pub mod peers;
pub mod ports;
mod probe;
pub mod registry;
pub mod settings;
pub mod state;
pub mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use miette::Diagnostic;
use spdlog::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::edge::forward::serve_proxy;
use crate::gateway::control::{ControlContext, ControlPorts};
use crate::gateway::ports::GatewayPorts;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::state::{CoordinatorAsk, GatewayState};
use crate::gateway::wire::WireCodec;
use crate::supervisor::TaskSupervisor;
use crate::telemetry::Metrics;

/// Questions to the coordinator that wait at most.
const ASK_QUEUE: usize = 256;
/// Time after SIGTERM in which idle connections of callers stay open: the
/// balancer needs two readiness checks a second apart to stop using this host.
const IDLE_GRACE: Duration = Duration::from_millis(2_600);
/// Time before SIGKILL at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(700);
/// Time that giving the lease up may take.
const RETIRE_LIMIT: Duration = Duration::from_millis(1_500);
const END_POLL: Duration = Duration::from_millis(50);
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why a gateway cannot run.
#[derive(Debug, Diagnostic, Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("{address} cannot be listened on")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        #[source]
        source: std::io::Error,
    },
    /// A runtime, thread or signal cannot be set up.
    #[error("the process cannot be set up")]
    Setup(#[from] std::io::Error),
    /// Two metrics clash.
    #[error("the metrics cannot be registered")]
    Metrics(#[from] prometheus::Error),
    /// The traffic thread ended by itself.
    #[error("the traffic thread ended")]
    Traffic,
}

/// Runs the gateway of one host until SIGTERM.
///
/// `open_ports` starts the adapter's tasks on the control thread's runtime.
///
/// # Errors
///
/// [`GatewayError`] if the process cannot be set up.
pub fn run_gateway(
    settings: GatewaySettings,
    codec: WireCodec,
    open_ports: fn(&GatewaySettings) -> GatewayPorts,
) -> Result<(), GatewayError> {
    let metrics = Arc::new(Metrics::new()?);
    let (ask_sender, asks) = mpsc::channel(ASK_QUEUE);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = since_epoch.as_millis() as u64;
    let state = Arc::new(GatewayState::new(settings, codec, incarnation, metrics, ask_sender));
    let callers = bind(state.settings.callers)?;
    let (host, centre) = (state.settings.host.to_string(), state.settings.data_centre.to_string());
    info!("host started", kv: { host, data_centre = centre, incarnation });
    let (close_sender, close) = watch::channel(false);
    let traffic_state = state.clone();
    let (traffic_sender, traffic_end) = oneshot::channel::<()>();
    std::thread::Builder::new().name("traffic".to_owned()).spawn(move || {
        // Closes the channel when the thread ends, in a panic as well.
        let _ends = traffic_sender;
        let runtime = runtime()?;
        runtime.block_on(serve_proxy(callers, traffic_state, close))
    })?;
    runtime()?.block_on(run_control(state, asks, open_ports, close_sender, traffic_end))
}

fn runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

fn bind(address: SocketAddr) -> Result<std::net::TcpListener, GatewayError> {
    let listener = std::net::TcpListener::bind(address);
    listener.map_err(|source| GatewayError::Listen { address, source })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|source| GatewayError::Listen { address, source })
}

async fn run_control(
    state: Arc<GatewayState>,
    asks: mpsc::Receiver<CoordinatorAsk>,
    open_ports: fn(&GatewaySettings) -> GatewayPorts,
    close: watch::Sender<bool>,
    mut traffic_end: oneshot::Receiver<()>,
) -> Result<(), GatewayError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let peers = listen(state.settings.peers).await?;
    let readiness = listen(state.settings.readiness).await?;
    let scrape = listen(state.settings.metrics).await?;
    let ports = open_ports(&state.settings);
    let senders = ControlPorts {
        lease: ports.lease,
        orders: ports.orders,
        watch_declarations: ports.watch_declarations,
        watch_engines: ports.watch_engines,
    };
    let context = Arc::new(ControlContext::new(state.clone(), senders));
    tokio::spawn(control::follow_declarations(context.clone(), ports.declarations));
    tokio::spawn(control::follow_engines(context.clone(), ports.engines));
    tokio::spawn(control::answer_asks(context.clone(), asks));
    tokio::spawn(peers::serve_peers(peers, context.clone()));
    tokio::spawn(probe::serve_probe(readiness, state.clone()));
    tokio::spawn(probe::serve_probe(scrape, state.clone()));
    let (mut tasks, tasks_stop) = TaskSupervisor::new();
    let task = context.clone();
    tasks.keep("lease", move || control::keep_lease(task.clone()));
    let task = context.clone();
    tasks.keep("exchange", move || control::keep_exchange(task.clone()));
    let task = context.clone();
    tasks.keep("placement", move || control::keep_placement(task.clone()));
    let task = state.clone();
    tasks.keep("pool", move || sweep_pool(task.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = &mut traffic_end => return Err(GatewayError::Traffic),
            // Addresses and bounds hold for the life of the process.
            _ = hangup.recv() => info!("settings changed; they are read at the next start"),
        }
    }
    drain(&state, &context, &close).await;
    tasks_stop.stop();
    Ok(())
}

async fn sweep_pool(state: Arc<GatewayState>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        state.pool.close_expired();
    }
}

/// Ends what runs: not ready at once, then no idle connections, then the end.
async fn drain(state: &GatewayState, context: &ControlContext, close: &watch::Sender<bool>) {
    let started = Instant::now();
    state.is_draining.store(true, Ordering::Relaxed);
    let open = state.connections.load(Ordering::Relaxed);
    info!("host stops", kv: { connections = open });
    context.retire(RETIRE_LIMIT).await;
    sleep_until(started + IDLE_GRACE).await;
    close.send_replace(true);
    let end = started + state.settings.bounds.grace.saturating_sub(END_MARGIN);
    while state.connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(END_POLL).await;
    }
    let open = state.connections.load(Ordering::Relaxed);
    info!("host stopped", kv: { connections = open });
}
