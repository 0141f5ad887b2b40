//! Open-loop load: requests start when they are due, whatever came before.
//!
//! Latency counts from the intended start, so that a stalled system cannot
//! hide its stall by delaying the next request.

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

pub use call::{CallResult, CallVerdict, LoadError, LoadTarget};
pub use experiment::{FlowKind, FlowSettings, LoadSettings, RateStep};
pub use report::{FlowReport, LoadReport};

const REST_INTERVAL: Duration = Duration::from_millis(100);

/// Runs an experiment and reports what came of it.
///
/// # Errors
///
/// [`LoadError`] if a client cannot be built.
pub async fn run_load(settings: Arc<LoadSettings>) -> Result<LoadReport, LoadError> {
    let started = Instant::now() + Duration::from_millis(50);
    let (sender, mut results) = mpsc::unbounded_channel();
    for (number, flow) in settings.flows.iter().enumerate() {
        let target = LoadTarget::new(flow.clone(), &settings)?;
        let source = ChaCha8Rng::seed_from_u64(settings.seed ^ (number as u64) << 32);
        let run = FlowRun {
            number,
            target: Arc::new(target),
            source,
            started,
            duration: settings.duration(),
        };
        tokio::spawn(run.drive(sender.clone()));
    }
    drop(sender);
    let mut report = LoadReport::new(&settings)?;
    while let Some((number, result)) = results.recv().await {
        report.add(number, &result);
    }
    Ok(report)
}

struct FlowRun {
    number: usize,
    target: Arc<LoadTarget>,
    source: ChaCha8Rng,
    started: Instant,
    duration: Duration,
}

impl FlowRun {
    /// Starts every request at its time and lets it run on its own.
    async fn drive(mut self, results: mpsc::UnboundedSender<(usize, CallResult)>) {
        let mut at = Duration::ZERO;
        let mut count = 0_u64;
        loop {
            let rate = self.target.flow().rate_at(at);
            // A flow that rests is looked at again after a while.
            let Some(pauses) = Exp::new(rate).ok().filter(|_| rate > 0.0) else {
                at += REST_INTERVAL;
                if at >= self.duration {
                    return;
                }
                continue;
            };
            at += Duration::from_secs_f64(self.source.sample(pauses));
            if at >= self.duration {
                return;
            }
            let intended = self.started + at;
            sleep_until(intended).await;
            count += 1;
            let (target, results) = (self.target.clone(), results.clone());
            let (number, draw) = (self.number, self.source.random());
            tokio::spawn(async move {
                let result = target.call(count, draw, intended).await;
                let _ = results.send((number, result));
            });
        }
    }
}
