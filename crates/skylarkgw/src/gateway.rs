//! A gateway for fleets whose platform stores the declaration, the engine
//! registry and the coordinator lease.
//!
//! Every host runs the same process. A lease in the platform's store makes one
//! of them the coordinator. The coordinator collects load counts from the hosts,
//! divides quotas and sends model placement orders to engines. All of its state
//! is soft: a new coordinator rebuilds it. An adapter translates the formats and
//! calls of the platform; [`ports`] and [`wire`] define its interface.

pub mod clock;
pub mod control;
pub mod declaration;
pub mod engine_index;
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

use crate::decision::stop_plan::StopPlan;
use crate::edge::forward::serve_proxy;
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::{ControlContext, ControlPorts};
use crate::gateway::ports::GatewayPorts;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::state::{CoordinatorRequest, GatewayState};
use crate::gateway::wire::HeaderCodec;
use crate::supervisor::TaskSupervisor;
use crate::telemetry::Metrics;

/// Capacity of the queue of requests to the coordinator.
const REQUEST_QUEUE_CAPACITY: usize = 256;
/// Time after SIGTERM for which idle client connections stay open. The load
/// balancer needs two readiness checks, one second apart, before it stops
/// sending connections to this host.
const IDLE_GRACE: Duration = Duration::from_millis(2_600);
/// Time before SIGKILL at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time before the exit at which requests that still run are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Longest time to wait for the release of the coordinator lease.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which a draining host checks whether connections are still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which expired idle connections to engines are closed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An error that stops the gateway.
#[derive(Debug, Diagnostic, Error)]
pub enum GatewayError {
    /// A listener could not be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error from the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A runtime, thread or signal handler could not be created.
    #[error("cannot set up the process")]
    Setup(#[from] std::io::Error),
    /// A metric could not be registered, for example because its name is taken.
    #[error("cannot register the metrics")]
    Metrics(#[from] prometheus::Error),
    /// The traffic thread ended before shutdown.
    #[error("the traffic thread ended unexpectedly")]
    TrafficThreadEnded,
}

/// Runs the gateway of one host until it receives SIGTERM.
///
/// Client requests are served on a thread of their own. The calling thread
/// becomes the control thread; `open_ports` is called on its runtime and starts
/// the tasks of the adapter there.
///
/// # Errors
///
/// Returns a [`GatewayError`] if the process cannot be set up or the traffic
/// thread ends before shutdown.
pub fn run_gateway(
    settings: GatewaySettings,
    codec: HeaderCodec,
    open_ports: fn(&GatewaySettings, &Arc<Metrics>) -> GatewayPorts,
) -> Result<(), GatewayError> {
    let metrics = Arc::new(Metrics::new()?);
    let (request_sender, coordinator_requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = since_epoch.as_millis() as u64;
    let state = Arc::new(GatewayState::new(settings, codec, incarnation, metrics, request_sender));
    let client_listener = bind_listener(state.settings.callers)?;
    let (host, centre) = (state.settings.host.to_string(), state.settings.data_centre.to_string());
    info!("host started", kv: { host, data_centre = centre, incarnation });
    let (close_sender, close) = watch::channel(false);
    let traffic_state = state.clone();
    let (traffic_sender, traffic_end) = oneshot::channel::<()>();
    std::thread::Builder::new().name("traffic".to_owned()).spawn(move || {
        // Dropping the sender closes the channel when the thread ends, also by
        // a panic.
        let _end_guard = traffic_sender;
        let runtime = build_runtime()?;
        runtime.block_on(serve_proxy(client_listener, traffic_state, close))
    })?;
    build_runtime()?.block_on(run_control(
        state,
        coordinator_requests,
        open_ports,
        close_sender,
        traffic_end,
    ))
}

fn build_runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

fn bind_listener(address: SocketAddr) -> Result<std::net::TcpListener, GatewayError> {
    let listener = std::net::TcpListener::bind(address);
    listener.map_err(|source| GatewayError::Listen { address, source })
}

async fn bind_async_listener(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|source| GatewayError::Listen { address, source })
}

async fn run_control(
    state: Arc<GatewayState>,
    coordinator_requests: mpsc::Receiver<CoordinatorRequest>,
    open_ports: fn(&GatewaySettings, &Arc<Metrics>) -> GatewayPorts,
    close: watch::Sender<bool>,
    mut traffic_end: oneshot::Receiver<()>,
) -> Result<(), GatewayError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let peer_listener = bind_async_listener(state.settings.peers).await?;
    let readiness_listener = bind_async_listener(state.settings.readiness).await?;
    let metrics_listener = bind_async_listener(state.settings.metrics).await?;
    let ports = open_ports(&state.settings, &state.metrics);
    let control_ports = ControlPorts {
        lease_calls: ports.lease_calls,
        engine_calls: ports.engine_calls,
        watch_declarations: ports.watch_declarations,
        watch_engines: ports.watch_engines,
    };
    let context = Arc::new(ControlContext::new(state.clone(), control_ports));
    tokio::spawn(control::follow_declarations(context.clone(), ports.declarations));
    tokio::spawn(control::follow_engines(context.clone(), ports.engines));
    tokio::spawn(control::serve_coordinator_requests(context.clone(), coordinator_requests));
    tokio::spawn(peers::serve_peers(peer_listener, context.clone()));
    tokio::spawn(probe::serve_probe(readiness_listener, state.clone()));
    tokio::spawn(probe::serve_probe(metrics_listener, state.clone()));
    let (mut tasks, stop_tasks) = TaskSupervisor::new();
    let task = context.clone();
    tasks.supervise("lease", move || control::maintain_lease(task.clone()));
    let task = context.clone();
    tasks.supervise("exchange", move || control::run_exchange(task.clone()));
    let task = context.clone();
    tasks.supervise("placement", move || control::run_placement(task.clone()));
    let task = context.clone();
    tasks.supervise("load", move || control::log_coordinator_load(task.clone()));
    let task = state.clone();
    tasks.supervise("pool", move || sweep_pool(task.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = &mut traffic_end => return Err(GatewayError::TrafficThreadEnded),
            // Addresses and bounds cannot change while the process runs.
            _ = hangup.recv() => info!("received SIGHUP; changed settings take effect at the next start"),
        }
    }
    drain(&state, &context, &close).await;
    stop_tasks.stop();
    Ok(())
}

async fn sweep_pool(state: Arc<GatewayState>) {
    loop {
        sleep(POOL_SWEEP_INTERVAL).await;
        state.pool.close_expired();
        report_client_memory(&state);
    }
}

/// Publishes what is held for clients, and logs who gave way since the last call.
fn report_client_memory(state: &GatewayState) {
    let counts = state.held_bodies.take_counts();
    let (bytes, descriptors) = (counts.used.bytes, counts.used.descriptors);
    state.metrics.fleet.set_client_use(bytes, descriptors);
    for (phase, evictions) in counts.evictions {
        state.metrics.fleet.count_evictions(phase, evictions);
        info!("clients gave way", kv: { phase, evictions, bytes, descriptors });
    }
}

/// Drains the host before the process exits.
///
/// Readiness checks fail at once and the lease is released. After
/// [`IDLE_GRACE`] idle connections are closed. The function returns when no
/// connection is open, or [`EXIT_MARGIN`] before SIGKILL; [`ANSWER_MARGIN`] before that,
/// requests without a response are answered as having perhaps been executed.
async fn drain(state: &GatewayState, context: &ControlContext, close: &watch::Sender<bool>) {
    let started = Instant::now();
    let lifetime = state.settings.bounds.grace.saturating_sub(EXIT_MARGIN);
    let now = time_since_boot();
    let plan = StopPlan { closes_at: now + IDLE_GRACE, ends_at: now + lifetime };
    // Nothing else sets the plan.
    let _ = state.stop_plan.set(plan);
    let open = state.open_connections.load(Ordering::Relaxed);
    info!("host stops", kv: { connections = open });
    context.release_lease(LEASE_RELEASE_TIMEOUT).await;
    sleep_until(started + IDLE_GRACE).await;
    close.send_replace(true);
    let end = started + lifetime;
    while state.open_connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(DRAIN_POLL_INTERVAL).await;
        if Instant::now() + ANSWER_MARGIN >= end {
            state.process_end.send_replace(true);
        }
    }
    let open = state.open_connections.load(Ordering::Relaxed);
    info!("host stopped", kv: { connections = open });
}
