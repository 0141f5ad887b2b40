//! Holds requests at this host until there is a free place for them at an engine.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::decision::dispatch::engine_choice::{compute_first_patience, compute_patience};
use crate::decision::dispatch::wait_queue::{
    EnterError, UrgentPressure, WaitOutcome, WaitRequest, WaitTicket,
};
use crate::edge::forward::admit::{AdmittedRequest, STOP_RETRY_AFTER};
use crate::edge::forward::record::RequestRecord;
use crate::edge::forward::refusal::{RefusalReason, RequestRefusal};
use crate::edge::forward::select::{
    PlaceTerms, SelectedEngine, SelectionError, refuse_without_place, select_place,
};
use crate::gateway::clock::time_since_boot;
use crate::ids::EndpointId;

/// Interval at which a waiting request looks for a place if nothing wakes it.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Age of the counts of other hosts from which the places that become free are unknown. In
/// a large fleet the counts come once a second.
const MAX_COUNTS_AGE: Duration = Duration::from_secs(2);

/// A request in the queue of this host, which it leaves when the guard is dropped.
struct QueuedRequest<'a> {
    admitted: &'a AdmittedRequest,
    record: &'a mut RequestRecord,
    request: WaitRequest,
    /// Position in the queue; `None` while the request does not wait.
    ticket: Option<(WaitTicket, Instant)>,
    waker: Arc<Notify>,
    outcome: WaitOutcome,
}

impl QueuedRequest<'_> {
    /// Begins to wait, unless the request waits already.
    fn enter(&mut self) -> Result<(), EnterError> {
        if self.ticket.is_some() {
            return Ok(());
        }
        let state = &self.admitted.state;
        let (ticket, displaced) = state.lock_wait_queue().enter(
            time_since_boot(),
            self.request.clone(),
            self.waker.clone(),
        )?;
        displaced.iter().for_each(|waker| waker.notify_one());
        state.metrics.waits.record_begin(self.request.level);
        self.ticket = Some((ticket, Instant::now()));
        Ok(())
    }

    /// Returns the time since the request began to wait, if it waits.
    fn waited(&self) -> Option<Duration> {
        self.ticket.map(|(_, entered)| entered.elapsed())
    }

    /// Returns whether a more urgent request has taken the place in the queue.
    fn is_displaced(&self) -> bool {
        let queue = self.admitted.state.lock_wait_queue();
        self.ticket.is_some_and(|(ticket, _)| !queue.is_waiting(&ticket))
    }

    /// Returns whether no request that waits for the same model goes first.
    fn may_go(&self) -> bool {
        let (urgency, last_moment) = (self.request.urgency, self.request.last_moment);
        let queue = self.admitted.state.lock_wait_queue();
        self.ticket.is_some() || queue.may_go(urgency, last_moment, &self.request.target)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let Some((ticket, entered)) = self.ticket else { return };
        let (state, waited) = (&self.admitted.state, entered.elapsed());
        let mut queue = state.lock_wait_queue();
        queue.remove(&ticket);
        queue.record_outcome(time_since_boot(), &self.request.target, self.outcome);
        drop(queue);
        state.metrics.waits.record_end(self.request.level, waited, self.outcome);
        self.record.wait = Some((waited, self.outcome));
    }
}

/// Selects an engine that is not in `tried`, and waits for a free place if the request
/// yields to more urgent ones.
///
/// # Errors
///
/// [`RequestRefusal`] if no engine can start the request in time.
pub async fn wait_for_engine(
    admitted: &AdmittedRequest,
    tried: &HashSet<EndpointId>,
    record: &mut RequestRecord,
) -> Result<SelectedEngine, RequestRefusal> {
    let started = record.started();
    let request = build_wait_request(admitted, started);
    record.urgency = Some(request.level);
    record_arrival(admitted);
    let mut queued = QueuedRequest {
        admitted,
        record,
        request,
        ticket: None,
        waker: Arc::default(),
        outcome: WaitOutcome::Abandoned,
    };
    let selection = wait_for_place(&mut queued, tried, started).await;
    queued.outcome = match &selection {
        Ok(_) => WaitOutcome::Sent,
        Err(refusal) if refusal.reason == RefusalReason::QueueFull => WaitOutcome::Displaced,
        Err(refusal) if refusal.reason == RefusalReason::Stopping => WaitOutcome::Stopped,
        Err(_) => WaitOutcome::Refused,
    };
    selection
}

/// Waits until there is a place for a request, or it cannot make its objective any more.
async fn wait_for_place(
    queued: &mut QueuedRequest<'_>,
    tried: &HashSet<EndpointId>,
    started: Instant,
) -> Result<SelectedEngine, RequestRefusal> {
    let admitted = queued.admitted;
    let mut wait_ms = 0.0;
    loop {
        let terms = build_terms(admitted, started, queued.waited());
        if terms.must_yield && terms.waited >= terms.patience {
            return Err(refuse_without_place(admitted, wait_ms));
        }
        if queued.is_displaced() {
            let refusal = refuse_without_place(admitted, wait_ms);
            return Err(RequestRefusal { reason: RefusalReason::QueueFull, ..refusal });
        }
        if !terms.must_yield || queued.may_go() {
            match select_place(admitted, tried, terms).await {
                Ok(selected) => return Ok(selected),
                Err(SelectionError::Refused(refusal)) => return Err(refusal),
                Err(SelectionError::NoPlace(shortest_ms)) => wait_ms = shortest_ms,
            }
        }
        if admitted.state.is_draining() {
            // Any other host can take the request at once.
            let reason = RefusalReason::Stopping;
            return Err(RequestRefusal::with_retry_after(reason, STOP_RETRY_AFTER));
        }
        if let Err(error) = queued.enter() {
            let refusal = refuse_without_place(admitted, wait_ms);
            return Err(match error {
                EnterError::Closed => refusal,
                EnterError::Full => RequestRefusal { reason: RefusalReason::QueueFull, ..refusal },
            });
        }
        let time_left = terms.patience.saturating_sub(terms.waited);
        // A check without a wake-up finds what no message tells, such as the end of a load.
        let _ = timeout(CHECK_INTERVAL.min(time_left), queued.waker.notified()).await;
    }
}

/// Builds the entry of a request in the queue.
fn build_wait_request(admitted: &AdmittedRequest, started: Instant) -> WaitRequest {
    let time_left = admitted.deadline.saturating_duration_since(started);
    let patience = compute_first_patience(admitted.route.latency_objective, time_left);
    let last_moment = (time_since_boot() + patience).saturating_sub(started.elapsed());
    let model = admitted.header.target.as_ref().map(|target| target.model.clone());
    let headers = admitted.parts.headers.iter();
    let head_bytes: usize =
        headers.map(|(name, value)| name.as_str().len() + value.as_bytes().len()).sum();
    WaitRequest {
        urgency: admitted.urgency(),
        level: admitted.urgency_level(),
        last_moment,
        target: (admitted.service.clone(), model),
        bytes: admitted.body.len() + head_bytes,
    }
}

/// Records the arrival of a request to which others may yield.
fn record_arrival(admitted: &AdmittedRequest) {
    let snapshot = admitted.state.snapshot.load();
    if snapshot.route_table.urgencies().has_yielding_route(&admitted.service) {
        let (now, route) = (time_since_boot(), &admitted.route.name);
        admitted.state.lock_wait_queue().record_arrival(now, &admitted.service, route);
    }
}

/// Returns the terms on which a request takes a place now.
///
/// `waited` is the time that it has spent in the queue, if it is there. Only a request in
/// the queue is bound to what its objective allows: one that comes late to this point, such
/// as one whose body arrived slowly, is sent or refused at once.
fn build_terms(
    admitted: &AdmittedRequest,
    started: Instant,
    waited: Option<Duration>,
) -> PlaceTerms {
    let pressure = find_pressure(admitted);
    let objective = admitted.route.latency_objective;
    let time_limit = admitted.deadline.saturating_duration_since(started);
    let (patience, age) = (compute_first_patience(objective, time_limit), started.elapsed());
    let is_queued = waited.is_some();
    if pressure.must_yield && (is_queued || age < patience) {
        return PlaceTerms { patience, waited: age, must_yield: true, is_queued };
    }
    let objective = pressure.shortest_objective.map_or(objective, |other| objective.min(other));
    let time_left = admitted.deadline.saturating_duration_since(Instant::now());
    let snapshot = admitted.state.snapshot.load();
    let urgencies = snapshot.route_table.urgencies();
    let goes_first = urgencies.is_yielded_to(&admitted.service, &admitted.route.name);
    let compute = if goes_first { compute_first_patience } else { compute_patience };
    PlaceTerms {
        patience: compute(objective, time_left),
        waited: waited.unwrap_or_default(),
        must_yield: false,
        is_queued,
    }
}

/// Returns what more urgent requests ask of a request.
///
/// Nothing yields while this host does not receive the counts of the others, because it
/// cannot see the places that become free.
fn find_pressure(admitted: &AdmittedRequest) -> UrgentPressure {
    let (now, snapshot) = (time_since_boot(), admitted.state.snapshot.load());
    let urgencies = snapshot.route_table.urgencies();
    let precedents = urgencies.precedents(&admitted.service, &admitted.route.name);
    let counts_age = now.saturating_sub(snapshot.view.loads_at);
    if precedents.is_empty() || counts_age > MAX_COUNTS_AGE {
        return UrgentPressure::default();
    }
    admitted.state.lock_wait_queue().find_pressure(now, &admitted.service, precedents)
}
