//! Inputs and effects of a host's state machine.

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

/// Identifier of a request in messages between the traffic threads and the
/// control thread.
pub type TicketId = u64;

/// Parameters of a host's state machine, fixed when the process starts.
#[derive(Clone, Debug)]
pub struct HostParameters {
    /// Member entry of this host. The machine sets its phase, counter, revision
    /// and share key.
    pub own_entry: MemberEntry,
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the lease on this host's base share.
    pub allowance_lease: Duration,
    /// Policy by which endpoints are chosen.
    pub routing: RoutingPolicy,
    /// Whether hosts lend each other shares; `false` for the static split.
    pub lending: bool,
}

/// A request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Workspace whose allowance is charged; `None` on open routes.
    pub workspace: Option<WorkspaceId>,
    /// Requirements on the endpoint.
    pub target: RouteTarget,
    /// Number of tokens to reserve.
    pub tokens: Tokens,
}

/// The reason for which a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AdmissionReason {
    /// The workspace's allowance is used up.
    #[error("the workspace's allowance is used up")]
    Allowance,
    /// The request needs more tokens than the workspace's burst.
    #[error("the request needs more tokens than the workspace's burst")]
    TooLarge,
    /// No endpoint can accept the request.
    #[error(transparent)]
    Route(RouteRefusal),
}

/// A refusal, with the time after which the client may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Reason for the refusal.
    pub reason: AdmissionReason,
    /// Time after which to retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

/// An event that a host's state machine handles.
#[derive(Clone, Debug)]
pub enum HostInput {
    /// A timer has fired.
    Tick,
    /// A request is to be admitted.
    Admit {
        /// Identifier of the request, returned in the effect.
        ticket: TicketId,
        /// The request.
        request: AdmissionRequest,
    },
    /// A request needs another endpoint. Its tokens remain reserved.
    Reroute {
        /// Identifier of the request, returned in the effect.
        ticket: TicketId,
        /// Requirements on the endpoint.
        target: RouteTarget,
        /// Endpoints that were already tried.
        excluded: Vec<EndpointId>,
    },
    /// An endpoint has finished a request.
    EndpointFinished {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the endpoint failed.
        failed: bool,
    },
    /// A request has ended, and its reservation is to be settled.
    Settle {
        /// Workspace whose allowance is charged.
        workspace: WorkspaceId,
        /// Number of tokens reserved.
        reserved: Tokens,
        /// Number of tokens used.
        used: Tokens,
    },
    /// An engine's load report, or the failure to obtain it.
    Report {
        /// The engine.
        endpoint: EndpointId,
        /// Local time at which the report was requested.
        requested_at: Duration,
        /// The report; `None` if it could not be obtained.
        report: Option<LoadReport>,
    },
    /// An attempt to send an order has ended.
    OrderDone {
        /// The engine.
        engine: EndpointId,
        /// Number of the order.
        number: OrderNumber,
        /// Outcome of the attempt.
        outcome: OrderOutcome,
    },
    /// A call of the placement to the platform has ended.
    PlacementCallDone {
        /// Name of the object.
        name: Arc<str>,
        /// Outcome of the call.
        outcome: PlatformOutcome,
    },
    /// A message has arrived from another host.
    Message {
        /// The sender.
        from: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// The platform has answered a watch, and all changes in the answer have
    /// been passed in.
    PlatformAnswered {
        /// Local time at which the watch was sent. The answer includes all earlier
        /// changes but may lack later ones.
        sent_at: Duration,
    },
    /// The accepted configuration was read from the platform.
    PlatformConfiguration {
        /// The configuration.
        configuration: Arc<FleetConfiguration>,
    },
    /// The withdrawn keys stored by the platform were read.
    PlatformWithdrawn {
        /// Keyed hashes of the withdrawn keys.
        hashes: Vec<KeyHash>,
    },
    /// The hosts registered in the platform were listed.
    PlatformHosts {
        /// Entries of the hosts.
        entries: Vec<MemberEntry>,
    },
    /// A call of the share machine to the platform has ended.
    ShareCallDone {
        /// Outcome of the call.
        outcome: PlatformOutcome,
    },
    /// An operator has withdrawn keys at this host.
    Withdraw {
        /// Keyed hashes of the withdrawn keys.
        hashes: Vec<KeyHash>,
    },
    /// The process was instructed to stop.
    Drain,
    /// All requests have ended, and the process is about to exit.
    Leave,
}

/// An action that a host's state machine requests.
#[derive(Clone, Debug)]
pub enum HostEffect {
    /// A request is admitted.
    Admitted {
        /// Identifier of the request.
        ticket: TicketId,
        /// Endpoint that the request is sent to.
        endpoint: EndpointId,
    },
    /// A request is refused.
    Refused {
        /// Identifier of the request.
        ticket: TicketId,
        /// Reason for the refusal, and the time after which to retry.
        refusal: AdmissionRefusal,
    },
    /// A message is to be sent to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// Address of the receiver.
        address: Arc<str>,
        /// The message.
        message: PeerMessage,
    },
    /// A call of the share machine to the platform.
    ShareCall(PlatformCall),
    /// A call of the placement to the platform.
    PlacementCall(PlatformCall),
    /// An order is to be sent to an engine.
    Order {
        /// The engine.
        engine: EndpointId,
        /// Address of the engine.
        address: Arc<str>,
        /// The order.
        order: EngineOrder,
    },
    /// Models that may be switched to their next version, because at least the
    /// declared number of replicas serves it.
    SwitchVersions(Vec<ModelName>),
    /// Keyed hashes of withdrawn keys that the platform is not known to store.
    StoreWithdrawn(Vec<KeyHash>),
}

/// The state that traffic threads read without a call to the control thread.
#[derive(Clone, Debug)]
pub struct HostSnapshot {
    /// Configuration in force.
    pub configuration: Arc<FleetConfiguration>,
    /// Keys that were withdrawn.
    pub withdrawn: WithdrawnKeys,
    /// Whether this host may accept requests.
    pub serving: bool,
    /// Membership phase of this host.
    pub phase: MemberPhase,
    /// This host, followed by the live members.
    pub members: Vec<MemberEntry>,
    /// Local time at which the snapshot was taken.
    pub made_at: Duration,
}
