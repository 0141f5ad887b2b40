//! Open-loop load generator: every request starts at its scheduled time, no
//! matter how long earlier ones take.
//!
//! Latency is measured from the intended start. A stall of the system is thus
//! measured in every request that is due during it, which avoids coordinated
//! omission.

mod call;
mod experiment;
mod report;

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

pub use call::{CallResult, LoadError, LoadTarget, RequestOutcome};
pub use experiment::{FlowKind, FlowSettings, LoadSettings, RateStep};
pub use report::{FlowReport, LoadReport};

const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Runs an experiment and returns its measurements.
///
/// # Errors
///
/// Returns [`LoadError`] if a client or a histogram cannot be built or the
/// authority file cannot be read.
pub async fn run_load(settings: Arc<LoadSettings>) -> Result<LoadReport, LoadError> {
    let started = Instant::now() + Duration::from_millis(50);
    let (sender, mut results) = mpsc::unbounded_channel();
    for (flow_index, flow) in settings.flows.iter().enumerate() {
        let target = LoadTarget::new(flow.clone(), &settings)?;
        let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ (flow_index as u64) << 32);
        let flow_run = FlowRun {
            flow_index,
            target: Arc::new(target),
            rng,
            started,
            duration: settings.duration(),
        };
        tokio::spawn(flow_run.send_requests(sender.clone()));
    }
    drop(sender);
    let mut report = LoadReport::new(&settings)?;
    while let Some((flow_index, result)) = results.recv().await {
        report.record(flow_index, &result);
    }
    Ok(report)
}

struct FlowRun {
    flow_index: usize,
    target: Arc<LoadTarget>,
    rng: ChaCha8Rng,
    started: Instant,
    duration: Duration,
}

impl FlowRun {
    /// Starts every request at its scheduled time, without waiting for earlier
    /// ones.
    async fn send_requests(mut self, results: mpsc::UnboundedSender<(usize, CallResult)>) {
        let mut offset = Duration::ZERO;
        let mut request_number = 0_u64;
        loop {
            let rate = self.target.flow().rate_at(offset);
            // A later step may raise a rate of zero.
            let Some(inter_arrival_times) = Exp::new(rate).ok().filter(|_| rate > 0.0) else {
                offset += IDLE_INTERVAL;
                if offset >= self.duration {
                    return;
                }
                continue;
            };
            offset += Duration::from_secs_f64(self.rng.sample(inter_arrival_times));
            if offset >= self.duration {
                return;
            }
            let intended_start = self.started + offset;
            sleep_until(intended_start).await;
            request_number += 1;
            let (target, results) = (self.target.clone(), results.clone());
            let (flow_index, draw) = (self.flow_index, self.rng.random());
            tokio::spawn(async move {
                let result = target.call(request_number, draw, intended_start).await;
                let _ = results.send((flow_index, result));
            });
        }
    }
}
