//! Measures the work of the coordinator.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use tokio::time::{Instant, sleep};

use crate::decision::coordinator::CoordinatorReply;
use crate::decision::dispatch::engine_loads::EngineLoads;
use crate::decision::dispatch::pace_board::{LimitedEngine, PacePage};
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::{ControlContext, lock};
use crate::telemetry::CoordinatorWork;

/// Interval at which the coordinator logs its work.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of engines in one log line.
const MAX_LOGGED_ENGINES: usize = 16;

impl ControlContext {
    /// Runs a part of the coordinator's work and records the time that it takes.
    pub(super) fn measure_work<T>(&self, work: CoordinatorWork, action: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = action();
        self.state.metrics.fleet.add_coordinator_work(work, started.elapsed());
        result
    }

    /// Counts the entries of a reply.
    pub(super) fn count_reply(&self, reply: &CoordinatorReply) {
        let count = |part, items| self.state.metrics.fleet.count_reply_items(part, items);
        count("counts", reply.loads.as_ref().map_or(0, EngineLoads::len));
        count("paces", reply.paces.as_ref().map_or(0, PacePage::len));
        count("grants", reply.grants.len());
        if let Some(delta) = &reply.notices {
            count("notices", delta.changed.len());
        }
        if let Some(delta) = &reply.registry {
            count("registry", delta.changed.len());
        }
    }
}

/// Logs the work of this host while it is the coordinator, until the task is
/// cancelled.
pub async fn log_coordinator_load(control: Arc<ControlContext>) {
    const WORK: [CoordinatorWork; 4] = [
        CoordinatorWork::Exchange,
        CoordinatorWork::Draw,
        CoordinatorWork::Placement,
        CoordinatorWork::Registry,
    ];
    let read_work_ms =
        || WORK.map(|work| control.state.metrics.fleet.coordinator_work_s(work) * 1_000.0);
    let mut before = read_work_ms();
    loop {
        sleep(LOAD_LOG_INTERVAL).await;
        let current = read_work_ms();
        let [exchange_ms, draw_ms, placement_ms, registry_ms] =
            std::array::from_fn(|index| (current[index] - before[index]) as u64);
        before = current;
        log_limited_engines(&control);
        let Some(token) = lock(&control.lease).token(time_since_boot()) else { continue };
        let hosts = control.state.host_count();
        info!("coordinator load", kv: {
            token, hosts, exchange_ms, draw_ms, placement_ms, registry_ms
        });
    }
}

/// Logs and publishes which engines take less than others of their service, if this host
/// is the coordinator.
fn log_limited_engines(control: &ControlContext) {
    let limited = control.with_coordinator(|_, coordinator| coordinator.find_limited_engines());
    let limited = limited.unwrap_or_default();
    control.state.metrics.fleet.set_limited_engines(&limited);
    if limited.is_empty() {
        return;
    }
    let format_engine = |limited: &LimitedEngine| {
        let pace = &limited.pace;
        let (useful, slots) = (pace.useful_slots(limited.slots), limited.slots);
        format!("{} slowdown={:.2} useful={useful}/{slots}", limited.id, pace.slowdown)
    };
    let engines = limited.iter().take(MAX_LOGGED_ENGINES).map(format_engine);
    let engines = engines.collect::<Vec<_>>().join("; ");
    let count = limited.len();
    info!("engines take less", kv: { count, engines });
}
