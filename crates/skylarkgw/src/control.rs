//! The control thread, which owns the host's state machine and forwards its
//! effects to the tasks that do I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::decision::HostMachine;
use crate::decision::host::{
    AdmissionRefusal, AdmissionRequest, HostEffect, HostInput, HostParameters, HostSnapshot,
    TicketId,
};
use crate::decision::message::PeerMessage;
use crate::decision::routing::{EndpointView, RouteTarget};
use crate::ids::{EndpointId, Tokens, WorkspaceId};

/// Interval between two ticks of the state machine.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Age from which a snapshot is too old to act on, for example after the process
/// was paused.
pub const SNAPSHOT_VALIDITY: Duration = Duration::from_millis(1_500);
/// Age above which an admission or an order to an engine is too old to act on, for
/// example after the process was paused.
pub const ADMISSION_VALIDITY: Duration = Duration::from_millis(250);

/// Interval between two published snapshots. Urgent changes are published earlier.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of inputs that are received at once.
const BATCH_SIZE: usize = 256;

/// An error in starting the control thread or in a request to it.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The control thread has ended, which happens when the process stops.
    #[error("the control thread has ended")]
    Ended,
    /// The control thread cannot be started.
    #[error("cannot start the control thread")]
    Start(#[source] std::io::Error),
}

/// An effect for the tasks that do I/O.
#[derive(Debug)]
pub struct ControlOutput {
    /// Effect to perform.
    pub effect: HostEffect,
    /// Time of the decision, since the start of the process.
    pub decided_at: Duration,
}

/// A message to the control thread.
enum ControlInput {
    Step(HostInput),
    Admit(AdmissionRequest, oneshot::Sender<Result<Admission, AdmissionRefusal>>),
    Reroute(RouteTarget, Vec<EndpointId>, oneshot::Sender<Result<RouteGrant, AdmissionRefusal>>),
    HasNoShare(oneshot::Sender<bool>),
    ShouldWatch(oneshot::Sender<bool>),
    EndpointViews(oneshot::Sender<Vec<EndpointView>>),
}

/// The reply channel of a request that waits for a decision.
enum PendingReply {
    Admission(AdmissionRequest, oneshot::Sender<Result<Admission, AdmissionRefusal>>),
    Route(oneshot::Sender<Result<RouteGrant, AdmissionRefusal>>),
}

/// Permission to send one request to one endpoint.
///
/// Dropping the grant removes the request from the endpoint's count.
#[derive(Debug)]
pub struct RouteGrant {
    endpoint: EndpointId,
    failed: bool,
    control: ControlHandle,
}

impl RouteGrant {
    /// Returns the granted endpoint.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Records that the endpoint failed.
    pub fn mark_failed(&mut self) {
        self.failed = true;
    }
}

impl Drop for RouteGrant {
    fn drop(&mut self) {
        self.control.send(HostInput::EndpointFinished {
            endpoint: self.endpoint.clone(),
            failed: self.failed,
        });
    }
}

/// An admitted request with its token reservation and its first endpoint.
///
/// Dropping the admission returns the reserved tokens that were not used.
#[derive(Debug)]
pub struct Admission {
    workspace: Option<WorkspaceId>,
    reserved: Tokens,
    used: Tokens,
    admitted_at: Duration,
    route: Option<RouteGrant>,
    control: ControlHandle,
}

impl Admission {
    /// Takes the grant for the first endpoint, or `None` if it was taken before.
    pub fn take_route(&mut self) -> Option<RouteGrant> {
        self.route.take()
    }

    /// Sets the number of tokens that the request has used.
    pub fn set_used_tokens(&mut self, tokens: Tokens) {
        self.used = tokens;
    }

    /// Returns whether the admission is older than [`ADMISSION_VALIDITY`].
    pub fn is_stale(&self) -> bool {
        self.control.now().saturating_sub(self.admitted_at) > ADMISSION_VALIDITY
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(workspace) = self.workspace.take() {
            let (reserved, used) = (self.reserved, self.used);
            self.control.send(HostInput::Settle { workspace, reserved, used });
        }
    }
}

/// A handle through which other threads use the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    sender: mpsc::UnboundedSender<ControlInput>,
    snapshot: Arc<ArcSwap<HostSnapshot>>,
    origin: Instant,
}

impl std::fmt::Debug for ControlHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ControlHandle(..)")
    }
}

impl ControlHandle {
    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the latest snapshot, whatever its age.
    pub fn snapshot(&self) -> Arc<HostSnapshot> {
        self.snapshot.load_full()
    }

    /// Returns the latest snapshot, or `None` if it has reached the age of
    /// [`SNAPSHOT_VALIDITY`].
    pub fn fresh_snapshot(&self) -> Option<Arc<HostSnapshot>> {
        let snapshot = self.snapshot.load_full();
        (self.now().saturating_sub(snapshot.made_at) < SNAPSHOT_VALIDITY).then_some(snapshot)
    }

    /// Sends an input to the state machine. The input is dropped if the control
    /// thread has ended.
    pub fn send(&self, input: HostInput) {
        let _ = self.sender.send(ControlInput::Step(input));
    }

    /// Requests the admission of a request.
    ///
    /// The inner result has the reason if the request is refused.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::Ended`] if the control thread has ended.
    pub async fn admit(
        &self,
        request: AdmissionRequest,
    ) -> Result<Result<Admission, AdmissionRefusal>, ControlError> {
        self.request(|reply| ControlInput::Admit(request, reply)).await
    }

    /// Requests another endpoint for an admitted request, other than those in
    /// `excluded`.
    ///
    /// The inner result has the reason if no endpoint is granted.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::Ended`] if the control thread has ended.
    pub async fn reroute(
        &self,
        target: RouteTarget,
        excluded: Vec<EndpointId>,
    ) -> Result<Result<RouteGrant, AdmissionRefusal>, ControlError> {
        self.request(|reply| ControlInput::Reroute(target, excluded, reply)).await
    }

    /// Returns whether the ledger certainly has no entry for this host, so that all
    /// its shares have been transferred to other hosts.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::Ended`] if the control thread has ended.
    pub async fn has_no_share(&self) -> Result<bool, ControlError> {
        self.request(ControlInput::HasNoShare).await
    }

    /// Returns whether this host should watch the platform's shared objects.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::Ended`] if the control thread has ended.
    pub async fn should_watch(&self) -> Result<bool, ControlError> {
        self.request(ControlInput::ShouldWatch).await
    }

    /// Returns the state of the declared endpoints as observed by this host.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::Ended`] if the control thread has ended.
    pub async fn endpoint_views(&self) -> Result<Vec<EndpointView>, ControlError> {
        self.request(ControlInput::EndpointViews).await
    }

    /// Sends a message to the control thread and waits for its reply.
    async fn request<T>(
        &self,
        build_input: impl FnOnce(oneshot::Sender<T>) -> ControlInput,
    ) -> Result<T, ControlError> {
        let (reply, response) = oneshot::channel();
        self.sender.send(build_input(reply)).map_err(|_| ControlError::Ended)?;
        response.await.map_err(|_| ControlError::Ended)
    }
}

/// Starts the control thread.
///
/// The thread ends when the receiver of `outputs` is closed.
///
/// # Errors
///
/// Returns [`ControlError::Start`] if the thread cannot be started.
pub fn start_control(
    parameters: HostParameters,
    outputs: mpsc::UnboundedSender<ControlOutput>,
) -> Result<ControlHandle, ControlError> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let machine = HostMachine::new(parameters);
    let handle = ControlHandle {
        sender,
        snapshot: Arc::new(ArcSwap::from_pointee(machine.snapshot(Duration::ZERO))),
        origin: Instant::now(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .map_err(ControlError::Start)?;
    let control = ControlLoop {
        machine,
        handle: handle.clone(),
        outputs,
        pending: HashMap::new(),
        last_ticket: 0,
        published_at: Duration::ZERO,
        published_serving: false,
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control.run(receiver)))
        .map_err(ControlError::Start)?;
    Ok(handle)
}

/// The state of the control thread.
struct ControlLoop {
    machine: HostMachine,
    handle: ControlHandle,
    outputs: mpsc::UnboundedSender<ControlOutput>,
    pending: HashMap<TicketId, PendingReply>,
    last_ticket: TicketId,
    published_at: Duration,
    published_serving: bool,
}

impl ControlLoop {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<ControlInput>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH_SIZE);
        while !self.outputs.is_closed() {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.step(HostInput::Tick),
                count = receiver.recv_many(&mut batch, BATCH_SIZE) => {
                    if count == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|input| self.handle_input(input));
                }
            }
            self.publish_snapshot();
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Step(input) => {
                let is_urgent = matches!(
                    input,
                    HostInput::PlatformConfiguration { .. }
                        | HostInput::Withdraw { .. }
                        | HostInput::Message { message: PeerMessage::Withdrawn { .. }, .. }
                );
                self.step(input);
                // A zero time makes `publish_snapshot` publish without delay.
                if is_urgent {
                    self.published_at = Duration::ZERO;
                }
            }
            ControlInput::Admit(request, reply) => {
                self.last_ticket += 1;
                let ticket = self.last_ticket;
                self.pending.insert(ticket, PendingReply::Admission(request.clone(), reply));
                self.step(HostInput::Admit { ticket, request });
            }
            ControlInput::Reroute(target, excluded, reply) => {
                self.last_ticket += 1;
                let ticket = self.last_ticket;
                self.pending.insert(ticket, PendingReply::Route(reply));
                self.step(HostInput::Reroute { ticket, target, excluded });
            }
            ControlInput::HasNoShare(reply) => {
                let _ = reply.send(self.machine.has_no_share());
            }
            ControlInput::ShouldWatch(reply) => {
                let _ = reply.send(self.machine.is_watcher(self.handle.now()));
            }
            ControlInput::EndpointViews(reply) => {
                let _ = reply.send(self.machine.endpoint_views(self.handle.now()));
            }
        }
    }

    fn step(&mut self, input: HostInput) {
        let now = self.handle.now();
        for effect in self.machine.step(now, input) {
            self.emit_effect(now, effect);
        }
    }

    fn emit_effect(&mut self, now: Duration, effect: HostEffect) {
        match effect {
            HostEffect::Admitted { ticket, endpoint } => self.reply_granted(now, ticket, endpoint),
            HostEffect::Refused { ticket, refusal } => self.reply_refused(ticket, refusal),
            effect => {
                let _ = self.outputs.send(ControlOutput { effect, decided_at: now });
            }
        }
    }

    /// Replies to an admitted request. If the receiver is gone, dropping the reply
    /// releases the grant and the reservation.
    fn reply_granted(&mut self, now: Duration, ticket: TicketId, endpoint: EndpointId) {
        let control = self.handle.clone();
        let route = RouteGrant { endpoint, failed: false, control: control.clone() };
        match self.pending.remove(&ticket) {
            Some(PendingReply::Admission(request, reply)) => {
                let admission = Admission {
                    workspace: request.workspace,
                    reserved: request.tokens,
                    used: 0,
                    admitted_at: now,
                    route: Some(route),
                    control,
                };
                let _ = reply.send(Ok(admission));
            }
            Some(PendingReply::Route(reply)) => {
                let _ = reply.send(Ok(route));
            }
            None => {}
        }
    }

    fn reply_refused(&mut self, ticket: TicketId, refusal: AdmissionRefusal) {
        match self.pending.remove(&ticket) {
            Some(PendingReply::Admission(_, reply)) => {
                let _ = reply.send(Err(refusal));
            }
            Some(PendingReply::Route(reply)) => {
                let _ = reply.send(Err(refusal));
            }
            None => {}
        }
    }

    fn publish_snapshot(&mut self) {
        let now = self.handle.now();
        let is_serving = self.machine.is_serving(now);
        let is_due = now.saturating_sub(self.published_at) >= PUBLISH_INTERVAL
            || self.published_at == Duration::ZERO;
        if is_due || is_serving != self.published_serving {
            self.handle.snapshot.store(Arc::new(self.machine.snapshot(now)));
            self.published_at = now;
            self.published_serving = is_serving;
        }
    }
}
