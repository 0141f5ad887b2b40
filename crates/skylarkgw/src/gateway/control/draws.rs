//! Draws tokens from the coordinator, and answers the draws of other hosts as one.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::decision::coordinator::{EngineLimits, QuotaAnswer};
use crate::decision::quota_pool::QuotaDraw;
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::{ControlContext, lock};
use crate::gateway::state::CoordinatorRequest;
use crate::ids::{EndpointId, HostId};
use crate::telemetry::CoordinatorWork;

/// Longest time that a client request waits for quota tokens, including retries
/// while no coordinator is reachable.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(450);
/// Delay between two attempts to draw tokens from a coordinator.
const QUOTA_RETRY_DELAY: Duration = Duration::from_millis(40);

impl ControlContext {
    /// Draws quota tokens for one client request, or returns `None` if this host
    /// is not the coordinator.
    pub fn draw_tokens(&self, host: &HostId, draw: &QuotaDraw) -> Option<QuotaAnswer> {
        let revision = self.state.snapshot.load().revision();
        let answer = self.with_coordinator(|now, coordinator| {
            self.measure_work(CoordinatorWork::Draw, || coordinator.draw(now, host, draw))
        })?;
        self.state.metrics.fleet.count_coordinator_draw(match revision.cmp(&draw.revision) {
            Ordering::Less => "older",
            Ordering::Equal => "same",
            Ordering::Greater => "newer",
        });
        Some(answer)
    }

    /// Draws one request to an engine from its limits, or returns `None` if this host is
    /// not the coordinator.
    pub fn draw_request(
        &self,
        host: &HostId,
        engine: &EndpointId,
        limits: EngineLimits,
    ) -> Option<QuotaAnswer> {
        self.with_coordinator(|now, coordinator| {
            self.measure_work(CoordinatorWork::Draw, || {
                coordinator.draw_engine(now, host, engine, limits)
            })
        })
    }

    /// Draws tokens from the current coordinator, retrying until one answers.
    ///
    /// It never returns while there is no coordinator, so the caller must set a
    /// timeout. After a release of the lease another host takes it within a few
    /// hundred milliseconds; after a failure of the coordinator the lease must
    /// expire first.
    async fn draw_tokens_with_retry(&self, host: HostId, draw: QuotaDraw) -> QuotaAnswer {
        loop {
            if let Some(answer) = self.draw_tokens(&host, &draw) {
                return answer;
            }
            if let Some(client) = self.connect_coordinator().await
                && let Some(answer) = client.draw_tokens(host.clone(), draw.clone()).await
            {
                return answer;
            }
            sleep(QUOTA_RETRY_DELAY).await;
        }
    }

    /// Answers one request of the traffic thread.
    async fn handle_request(self: &Arc<Self>, request: CoordinatorRequest) {
        match request {
            CoordinatorRequest::Quota { draw, reply } => {
                let host = self.state.settings.host.clone();
                let answer = timeout(QUOTA_TIMEOUT, self.draw_tokens_with_retry(host, draw)).await;
                self.state.metrics.fleet.count_quota_draw(match &answer {
                    Ok(QuotaAnswer::Granted) => "granted",
                    Ok(QuotaAnswer::Refused { .. }) => "refused",
                    Err(_) => "no-reply",
                });
                if let Ok(answer) = answer {
                    // If the client request has been abandoned, the tokens are not
                    // returned to the bucket.
                    let _ = reply.send(answer);
                }
            }
            CoordinatorRequest::EngineRequest { engine, limits, reply } => {
                let host = self.state.settings.host.clone();
                let answer = match self.draw_request(&host, &engine, limits) {
                    Some(answer) => Some(answer),
                    None => match self.connect_coordinator().await {
                        Some(client) => client.draw_request(host, engine, limits).await,
                        None => None,
                    },
                };
                let outcome = match &answer {
                    Some(QuotaAnswer::Granted) => "granted",
                    Some(QuotaAnswer::Refused { .. }) => "refused",
                    None => "no-reply",
                };
                self.state.metrics.fleet.count_engine_draw(limits.cold.is_some(), outcome);
                if let Some(answer) = answer {
                    // If the client request has been abandoned, its token is lost.
                    let _ = reply.send(answer);
                }
            }
            CoordinatorRequest::Adapter { request, reply } => {
                let is_coordinator = lock(&self.lease).token(time_since_boot()).is_some();
                let engine = if is_coordinator {
                    self.place_adapter(&request).await
                } else {
                    match self.connect_coordinator().await {
                        Some(client) => client.place_adapter(request).await,
                        None => None,
                    }
                };
                if let Some(engine) = engine {
                    let _ = reply.send(engine);
                }
            }
        }
    }
}

/// Answers requests of the traffic thread, each in a task of its own, until the
/// sending half of the channel is dropped.
pub async fn serve_coordinator_requests(
    control: Arc<ControlContext>,
    mut requests: mpsc::Receiver<CoordinatorRequest>,
) {
    while let Some(request) = requests.recv().await {
        let control = control.clone();
        tokio::spawn(async move { control.handle_request(request).await });
    }
}
