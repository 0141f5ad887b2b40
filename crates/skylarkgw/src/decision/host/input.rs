//! What goes into a host's state machine and what comes out of it.

use std::sync::Arc;
use std::time::Duration;

use crate::configuration::FleetConfiguration;
use crate::decision::keys::WithdrawnKeys;
use crate::decision::membership::{MemberEntry, MemberPhase};
use crate::decision::message::PeerMessage;
use crate::decision::placement::{EngineOrder, OrderNumber, OrderOutcome};
use crate::decision::routing::{LoadReport, RouteRefusal, RouteTarget, RoutingPolicy};
use crate::decision::shares::{PlatformCall, PlatformOutcome};
use crate::ids::{EndpointId, HostId, KeyHash, ModelName, Tokens, WorkspaceId};

/// Identifies a request between the traffic threads and the control thread.
pub type TicketId = u64;

/// What one process is told at its start.
#[derive(Clone, Debug)]
pub struct HostParameters {
    /// This host's entry; its phase and counter are set by the machine.
    pub own_entry: MemberEntry,
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the lease on this host's shares.
    pub allowance_lease: Duration,
    /// How endpoints are chosen.
    pub routing: RoutingPolicy,
    /// Whether hosts lend each other shares; off for the static split.
    pub lending: bool,
}

/// A request that wants to run.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Workspace that pays; none on open routes.
    pub workspace: Option<WorkspaceId>,
    /// What it needs of an endpoint.
    pub target: RouteTarget,
    /// Tokens to reserve.
    pub tokens: Tokens,
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AdmissionReason {
    /// The workspace's allowance is used up.
    #[error("the workspace's allowance is used up")]
    Allowance,
    /// The request can never fit the workspace's burst.
    #[error("the request needs more tokens than the workspace's burst")]
    TooLarge,
    /// No endpoint can take it.
    #[error(transparent)]
    Route(RouteRefusal),
}

/// A refusal with the time after which to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: AdmissionReason,
    /// When to come back; `None` where waiting does not help.
    pub retry_after: Option<Duration>,
}

/// What happens to a host.
#[derive(Clone, Debug)]
pub enum HostInput {
    /// Time passes.
    Tick,
    /// A request wants to run.
    Admit {
        /// Names the request in the answer.
        ticket: TicketId,
        /// The request.
        request: AdmissionRequest,
    },
    /// A request needs another endpoint; its tokens stay reserved.
    Reroute {
        /// Names the request in the answer.
        ticket: TicketId,
        /// What it needs.
        target: RouteTarget,
        /// Endpoints that were tried.
        excluded: Vec<EndpointId>,
    },
    /// An endpoint is done with a request.
    EndpointFinished {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it failed.
        failed: bool,
    },
    /// A request is over.
    Settle {
        /// Workspace that pays.
        workspace: WorkspaceId,
        /// Tokens that were reserved.
        reserved: Tokens,
        /// Tokens that were used.
        used: Tokens,
    },
    /// An engine's load report, or that it could not be had.
    Report {
        /// The engine.
        endpoint: EndpointId,
        /// When it was asked.
        asked_at: Duration,
        /// What it says.
        report: Option<LoadReport>,
    },
    /// The sending of an order ended.
    OrderDone {
        /// The engine.
        engine: EndpointId,
        /// Number of the order.
        number: OrderNumber,
        /// How.
        outcome: OrderOutcome,
    },
    /// A call of the placement ended.
    PlacementCallDone {
        /// Name of the object.
        name: Arc<str>,
        /// How.
        outcome: PlatformOutcome,
    },
    /// Another host says something.
    Message {
        /// The sender.
        from: HostId,
        /// What it says.
        message: PeerMessage,
    },
    /// The platform answered a watch, and all it told was handed in.
    PlatformAnswered {
        /// When the watch was sent, which is how old the news may be.
        sent_at: Duration,
    },
    /// The platform told the accepted configuration, if there is one.
    PlatformConfiguration {
        /// The configuration.
        configuration: Arc<FleetConfiguration>,
    },
    /// The platform told the withdrawn keys that it keeps.
    PlatformWithdrawn {
        /// Their hashes.
        hashes: Vec<KeyHash>,
    },
    /// The platform listed hosts.
    PlatformHosts {
        /// Their entries.
        entries: Vec<MemberEntry>,
    },
    /// A call of the share keeper ended.
    ShareCallDone {
        /// How.
        outcome: PlatformOutcome,
    },
    /// An operator withdrew keys at this host.
    Withdraw {
        /// Their hashes.
        hashes: Vec<KeyHash>,
    },
    /// The process was told to stop.
    Drain,
    /// All requests have ended; the process is about to exit.
    Leave,
}

/// What a host does.
#[derive(Clone, Debug)]
pub enum HostEffect {
    /// A request may run.
    Admitted {
        /// The request.
        ticket: TicketId,
        /// Where.
        endpoint: EndpointId,
    },
    /// A request does not run.
    Refused {
        /// The request.
        ticket: TicketId,
        /// Why, and when to come back.
        refusal: AdmissionRefusal,
    },
    /// A message to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// Its address.
        address: Arc<str>,
        /// The message.
        message: PeerMessage,
    },
    /// A call of the share keeper to the platform.
    ShareCall(PlatformCall),
    /// A call of the placement to the platform.
    PlacementCall(PlatformCall),
    /// An order to an engine.
    Order {
        /// The engine.
        engine: EndpointId,
        /// Its address.
        address: Arc<str>,
        /// The order.
        order: EngineOrder,
    },
    /// Models whose next version serves everywhere and may be switched to.
    SwitchVersions(Vec<ModelName>),
    /// Keys that the platform does not know to be withdrawn.
    StoreWithdrawn(Vec<KeyHash>),
}

/// What traffic threads may read without asking.
#[derive(Clone, Debug)]
pub struct HostSnapshot {
    /// Configuration in force.
    pub configuration: Arc<FleetConfiguration>,
    /// Keys that were withdrawn.
    pub withdrawn: WithdrawnKeys,
    /// Whether this host may take requests.
    pub serving: bool,
    /// Phase of this host's life.
    pub phase: MemberPhase,
    /// Members known, this host first.
    pub members: Vec<MemberEntry>,
    /// Time at which the snapshot was made.
    pub made_at: Duration,
}
