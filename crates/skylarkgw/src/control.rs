//! The control thread: owns the host's state machine and carries its effects.

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

/// Time between two ticks of the state machine.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Age at which a snapshot is no longer trusted, as after a pause.
pub const SNAPSHOT_VALIDITY: Duration = Duration::from_millis(1_500);
/// Age at which an admission is no longer trusted, as after a pause.
pub const ADMISSION_VALIDITY: Duration = Duration::from_millis(250);

const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
const BATCH_LENGTH: usize = 256;

/// Why a question to the control thread has no answer.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The control thread has ended.
    #[error("the control thread has ended")]
    Ended,
    /// The thread could not be started.
    #[error("the control thread could not be started")]
    Start(#[source] std::io::Error),
}

/// What the control thread hands to tasks that do I/O.
#[derive(Debug)]
pub struct ControlOutput {
    /// What to do.
    pub effect: HostEffect,
    /// When it was decided.
    pub decided_at: Duration,
}

enum ControlInput {
    Step(HostInput),
    Admit(AdmissionRequest, oneshot::Sender<Result<Admission, AdmissionRefusal>>),
    Reroute(RouteTarget, Vec<EndpointId>, oneshot::Sender<Result<RouteGrant, AdmissionRefusal>>),
    HoldsNoShare(oneshot::Sender<bool>),
    Watches(oneshot::Sender<bool>),
    EndpointViews(oneshot::Sender<Vec<EndpointView>>),
}

enum WaitingReply {
    Admission(AdmissionRequest, oneshot::Sender<Result<Admission, AdmissionRefusal>>),
    Route(oneshot::Sender<Result<RouteGrant, AdmissionRefusal>>),
}

/// The right to send one request to one endpoint.
///
/// Dropping it takes the request off the endpoint's count.
#[derive(Debug)]
pub struct RouteGrant {
    endpoint: EndpointId,
    failed: bool,
    control: ControlHandle,
}

impl RouteGrant {
    /// Returns the endpoint.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Notes that the endpoint failed.
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

/// An admitted request: its reservation and its first endpoint.
///
/// Dropping it gives back the tokens that were not used.
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
    /// Takes the right to send to the first endpoint.
    pub fn take_route(&mut self) -> Option<RouteGrant> {
        self.route.take()
    }

    /// Notes how many tokens the request has used.
    pub fn set_used_tokens(&mut self, tokens: Tokens) {
        self.used = tokens;
    }

    /// Returns whether the admission is too old to be acted upon.
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

/// How other threads reach the control thread.
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

    /// Returns the latest snapshot, or `None` if it is too old to be trusted.
    pub fn fresh_snapshot(&self) -> Option<Arc<HostSnapshot>> {
        let snapshot = self.snapshot.load_full();
        (self.now().saturating_sub(snapshot.made_at) < SNAPSHOT_VALIDITY).then_some(snapshot)
    }

    /// Hands an input to the state machine; it is lost once the thread ended.
    pub fn send(&self, input: HostInput) {
        let _ = self.sender.send(ControlInput::Step(input));
    }

    /// Asks for a request to be admitted.
    ///
    /// # Errors
    ///
    /// [`ControlError::Ended`] if the process is about to exit.
    pub async fn admit(
        &self,
        request: AdmissionRequest,
    ) -> Result<Result<Admission, AdmissionRefusal>, ControlError> {
        self.ask(|reply| ControlInput::Admit(request, reply)).await
    }

    /// Asks for another endpoint for a request that was admitted.
    ///
    /// # Errors
    ///
    /// [`ControlError::Ended`] if the process is about to exit.
    pub async fn reroute(
        &self,
        target: RouteTarget,
        excluded: Vec<EndpointId>,
    ) -> Result<Result<RouteGrant, AdmissionRefusal>, ControlError> {
        self.ask(|reply| ControlInput::Reroute(target, excluded, reply)).await
    }

    /// Asks whether this host's shares have all been given away.
    ///
    /// # Errors
    ///
    /// [`ControlError::Ended`] if the process is about to exit.
    pub async fn holds_no_share(&self) -> Result<bool, ControlError> {
        self.ask(ControlInput::HoldsNoShare).await
    }

    /// Asks whether this host should hold a watch on the platform.
    ///
    /// # Errors
    ///
    /// [`ControlError::Ended`] if the process is about to exit.
    pub async fn watches(&self) -> Result<bool, ControlError> {
        self.ask(ControlInput::Watches).await
    }

    /// Asks what this host knows of the declared endpoints.
    ///
    /// # Errors
    ///
    /// [`ControlError::Ended`] if the process is about to exit.
    pub async fn endpoint_views(&self) -> Result<Vec<EndpointView>, ControlError> {
        self.ask(ControlInput::EndpointViews).await
    }

    async fn ask<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<T>) -> ControlInput,
    ) -> Result<T, ControlError> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(make(reply)).map_err(|_| ControlError::Ended)?;
        answer.await.map_err(|_| ControlError::Ended)
    }
}

/// Starts the control thread.
///
/// The thread ends once `outputs` is closed.
///
/// # Errors
///
/// [`ControlError::Start`] if the thread cannot be started.
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
        waiting: HashMap::new(),
        ticket: 0,
        published_at: Duration::ZERO,
        published_serving: false,
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control.run(receiver)))
        .map_err(ControlError::Start)?;
    Ok(handle)
}

struct ControlLoop {
    machine: HostMachine,
    handle: ControlHandle,
    outputs: mpsc::UnboundedSender<ControlOutput>,
    waiting: HashMap<TicketId, WaitingReply>,
    ticket: TicketId,
    published_at: Duration,
    published_serving: bool,
}

impl ControlLoop {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<ControlInput>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH_LENGTH);
        while !self.outputs.is_closed() {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.step(HostInput::Tick),
                count = receiver.recv_many(&mut batch, BATCH_LENGTH) => {
                    if count == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|input| self.take(input));
                }
            }
            self.publish();
        }
    }

    fn take(&mut self, input: ControlInput) {
        match input {
            ControlInput::Step(input) => {
                let urgent = matches!(
                    input,
                    HostInput::PlatformConfiguration { .. }
                        | HostInput::Withdraw { .. }
                        | HostInput::Message { message: PeerMessage::Withdrawn { .. }, .. }
                );
                self.step(input);
                if urgent {
                    self.published_at = Duration::ZERO;
                }
            }
            ControlInput::Admit(request, reply) => {
                self.ticket += 1;
                let ticket = self.ticket;
                self.waiting.insert(ticket, WaitingReply::Admission(request.clone(), reply));
                self.step(HostInput::Admit { ticket, request });
            }
            ControlInput::Reroute(target, excluded, reply) => {
                self.ticket += 1;
                let ticket = self.ticket;
                self.waiting.insert(ticket, WaitingReply::Route(reply));
                self.step(HostInput::Reroute { ticket, target, excluded });
            }
            ControlInput::HoldsNoShare(reply) => {
                let _ = reply.send(self.machine.holds_no_share());
            }
            ControlInput::Watches(reply) => {
                let _ = reply.send(self.machine.watches(self.handle.now()));
            }
            ControlInput::EndpointViews(reply) => {
                let _ = reply.send(self.machine.endpoint_views(self.handle.now()));
            }
        }
    }

    fn step(&mut self, input: HostInput) {
        let now = self.handle.now();
        for effect in self.machine.step(now, input) {
            self.carry(now, effect);
        }
    }

    fn carry(&mut self, now: Duration, effect: HostEffect) {
        match effect {
            HostEffect::Admitted { ticket, endpoint } => self.grant(now, ticket, endpoint),
            HostEffect::Refused { ticket, refusal } => self.refuse(ticket, refusal),
            effect => {
                let _ = self.outputs.send(ControlOutput { effect, decided_at: now });
            }
        }
    }

    /// Answers an admitted request; a grant that nobody takes undoes itself.
    fn grant(&mut self, now: Duration, ticket: TicketId, endpoint: EndpointId) {
        let control = self.handle.clone();
        let route = RouteGrant { endpoint, failed: false, control: control.clone() };
        match self.waiting.remove(&ticket) {
            Some(WaitingReply::Admission(request, reply)) => {
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
            Some(WaitingReply::Route(reply)) => {
                let _ = reply.send(Ok(route));
            }
            None => {}
        }
    }

    fn refuse(&mut self, ticket: TicketId, refusal: AdmissionRefusal) {
        match self.waiting.remove(&ticket) {
            Some(WaitingReply::Admission(_, reply)) => {
                let _ = reply.send(Err(refusal));
            }
            Some(WaitingReply::Route(reply)) => {
                let _ = reply.send(Err(refusal));
            }
            None => {}
        }
    }

    fn publish(&mut self) {
        let now = self.handle.now();
        let serving = self.machine.serving(now);
        let due = now.saturating_sub(self.published_at) >= PUBLISH_INTERVAL
            || self.published_at == Duration::ZERO;
        if due || serving != self.published_serving {
            self.handle.snapshot.store(Arc::new(self.machine.snapshot(now)));
            self.published_at = now;
            self.published_serving = serving;
        }
    }
}
