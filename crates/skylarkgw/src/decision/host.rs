//! The state machine of one host: every input goes in here, effects come out.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::configuration::FleetConfiguration;
use crate::decision::allowance::{
    AllowanceBucket, LOAN_DURATION, LoanOffer, LoanPurpose, ONWARD_DURATION,
};
use crate::decision::invariant::Invariant;
use crate::decision::keys::WithdrawnSet;
use crate::decision::membership::{
    CONTACT_WINDOW, MemberEntry, MemberPhase, MemberTable, OutgoingBeat,
};
use crate::decision::message::{LoanId, PeerMessage};
use crate::decision::placement::{
    EngineOrder, OrderNumber, OrderOutcome, PlacementEffect, PlacementMachine,
};
use crate::decision::routing::{
    EndpointView, FULL_RETRY_AFTER, LoadReport, RouteRefusal, RouteTable, RouteTarget,
    RoutingPolicy,
};
use crate::decision::shares::{KeeperView, PlatformCall, PlatformOutcome, ShareKeeper, share_key};
use crate::ids::{
    EndpointId, HostId, Incarnation, KeyHash, ModelName, Revision, Tokens, WorkspaceId,
};

/// Longest wait for a loan before a request is refused.
pub const LOAN_WAIT: Duration = Duration::from_millis(60);
/// Time after which another member is asked in place of one that is silent.
pub const LOAN_PATIENCE: Duration = Duration::from_millis(20);
/// Members that are asked one after the other for a request that waits.
pub const LOAN_ROUNDS: u32 = 8;
/// Members that are asked at once when demand outgrows the share.
pub const PREFETCH_FANOUT: usize = 3;
/// Remaining time at which a loan that is still needed is extended.
pub const EXTEND_BEFORE: Duration = Duration::from_millis(2_500);
/// Time that a starting host waits for members that do not answer, before it
/// takes the platform's word alone.
pub const JOIN_GRACE: Duration = Duration::from_millis(4_000);
/// Shortest pause after asking brought nothing; it doubles each time.
pub const SHORTEST_LOAN_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after asking brought nothing.
pub const LONGEST_LOAN_PAUSE: Duration = Duration::from_millis(320);
/// Time ahead that a loan for a waiting request also covers.
pub const LOAN_AHEAD: Duration = Duration::from_millis(500);
/// Time for which a member that refused a loan is passed over.
pub const LENDER_PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks at whether demand outgrows the share.
pub const PREFETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Requests of one workspace that wait for a loan at once.
pub const WAITING_LIMIT: usize = 1_024;
/// Hosts of one data centre that watch the platform; others hear from them.
pub const WATCHERS_PER_DATA_CENTRE: usize = 4;
/// Time between two looks at whether a rollout may be switched.
pub const SWITCH_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time named in a refusal.
pub const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Identifies a request between the traffic threads and the control thread.
pub type TicketId = u64;

/// What one process is told at its start.
#[derive(Clone, Debug)]
pub struct HostParameters {
    /// This host's entry; its phase and counter are set by the machine.
    pub own: MemberEntry,
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
    PlacementDone {
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
    PlatformHeard {
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
    PlatformDone {
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
    Platform(PlatformCall),
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
    pub withdrawn: WithdrawnSet,
    /// Whether this host may take requests.
    pub serving: bool,
    /// Phase of this host's life.
    pub phase: MemberPhase,
    /// Members known, this host first.
    pub members: Vec<MemberEntry>,
    /// Time at which the snapshot was made.
    pub made_at: Duration,
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: TicketId,
    request: AdmissionRequest,
    deadline: Duration,
}

struct HeartbeatEcho {
    incarnation: Incarnation,
    counter: u64,
    revision: Revision,
    withdrawn: u64,
}

struct LoanRequest {
    request: u64,
    loan: LoanId,
    purpose: LoanPurpose,
    workspace: WorkspaceId,
    wanted: LoanOffer,
}

#[derive(Debug)]
struct PendingLoan {
    loan: LoanId,
    asked_at: Duration,
    workspace: WorkspaceId,
    purpose: LoanPurpose,
}

#[derive(Debug)]
struct WorkspaceState {
    bucket: AllowanceBucket,
    waiting: VecDeque<WaitingRequest>,
    rounds: u32,
    asked_at: Duration,
    ask_at: Duration,
    pause: Duration,
    refused_by: BTreeMap<HostId, Duration>,
    last_lender: Option<HostId>,
    prefetch_at: Duration,
}

impl WorkspaceState {
    fn pause_asking(&mut self, now: Duration) {
        self.ask_at = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_LOAN_PAUSE);
    }
}

/// Everything that one host decides.
#[derive(Debug)]
pub struct HostMachine {
    parameters: HostParameters,
    source: ChaCha8Rng,
    members: MemberTable,
    routes: RouteTable,
    keeper: ShareKeeper,
    workspaces: BTreeMap<WorkspaceId, WorkspaceState>,
    pending: BTreeMap<u64, PendingLoan>,
    loan_number: u64,
    configuration: Arc<FleetConfiguration>,
    withdrawn: WithdrawnSet,
    platform_withdrawn: WithdrawnSet,
    platform_heard: Option<Duration>,
    synced: bool,
    listed_at: Option<Duration>,
    placement: PlacementMachine,
    switch_at: Duration,
    phase: MemberPhase,
    base: u64,
    effects: Vec<HostEffect>,
}

impl HostMachine {
    /// Creates the machine of a process that has just started.
    pub fn new(parameters: HostParameters) -> HostMachine {
        let mut own = parameters.own.clone();
        own.share_key = share_key(&own.host, own.incarnation, 0);
        HostMachine {
            source: ChaCha8Rng::seed_from_u64(parameters.seed),
            routes: RouteTable::new(parameters.routing),
            keeper: ShareKeeper::new(own.host.clone(), own.incarnation, parameters.allowance_lease),
            placement: PlacementMachine::new(own.share_key.clone()),
            switch_at: Duration::ZERO,
            members: MemberTable::new(own),
            workspaces: BTreeMap::new(),
            pending: BTreeMap::new(),
            loan_number: 0,
            configuration: Arc::default(),
            withdrawn: WithdrawnSet::default(),
            platform_withdrawn: WithdrawnSet::default(),
            platform_heard: None,
            synced: false,
            listed_at: None,
            phase: MemberPhase::Joining,
            base: 0,
            effects: Vec::new(),
            parameters,
        }
    }

    /// Takes in one input at a time since the start and returns what to do.
    pub fn step(&mut self, now: Duration, input: HostInput) -> Vec<HostEffect> {
        self.follow_base(now);
        match input {
            HostInput::Tick => self.tick(now),
            HostInput::Admit { ticket, request } => self.admit(now, ticket, request),
            HostInput::Reroute { ticket, target, excluded } => {
                self.route(now, ticket, &target, &excluded, None);
            }
            HostInput::EndpointFinished { endpoint, failed } => {
                self.routes.finish(now, &endpoint, failed);
            }
            HostInput::Settle { workspace, reserved, used } => {
                self.settle(now, &workspace, reserved, used);
            }
            HostInput::Report { endpoint, asked_at, report } => {
                if let Some(report) = &report {
                    self.placement.report(asked_at, &endpoint, &report.engine);
                }
                self.routes.report(now, endpoint, report);
            }
            HostInput::OrderDone { engine, number, outcome } => {
                self.placement.order_done(&engine, number, outcome);
            }
            HostInput::PlacementDone { name, outcome } => {
                let effects = self.placement.complete(now, &name, outcome);
                self.carry_placement(effects);
            }
            HostInput::Message { from, message } => self.message(now, from, message),
            HostInput::PlatformHeard { sent_at } => {
                self.platform_heard = self.platform_heard.max(Some(sent_at));
            }
            HostInput::PlatformConfiguration { configuration } => {
                self.synced = true;
                self.adopt(now, configuration);
            }
            HostInput::PlatformWithdrawn { hashes } => {
                self.platform_withdrawn.merge(hashes.iter().cloned());
                self.withdraw(hashes);
            }
            HostInput::PlatformHosts { entries } => {
                self.listed_at = self.listed_at.or(Some(now));
                entries.into_iter().for_each(|entry| self.members.seed(now, entry));
            }
            HostInput::PlatformDone { outcome } => self.platform_done(now, outcome),
            HostInput::Withdraw { hashes } => self.withdraw(hashes),
            HostInput::Drain => self.phase = MemberPhase::Leaving,
            HostInput::Leave => self.leave(),
        }
        self.update_phase(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns what traffic threads may read.
    pub fn snapshot(&self, now: Duration) -> HostSnapshot {
        HostSnapshot {
            configuration: self.configuration.clone(),
            withdrawn: self.withdrawn.clone(),
            serving: self.serving(now),
            phase: self.phase,
            members: std::iter::once(self.members.own().clone())
                .chain(self.members.live(now).cloned())
                .collect(),
            made_at: now,
        }
    }

    /// Returns the fencing number if this host places models at `now`.
    pub fn placement_fence(&self, now: Duration) -> Option<u64> {
        self.placement.fence(now)
    }

    /// Returns this host's own entry.
    pub fn own(&self) -> &MemberEntry {
        self.members.own()
    }

    /// Returns the revision in force on this host.
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// Returns what this host knows of the declared endpoints.
    pub fn endpoint_views(&self, now: Duration) -> Vec<EndpointView> {
        self.routes.views(now, &self.configuration)
    }

    /// Returns whether this host should hold a watch on the platform.
    pub fn watches(&self, now: Duration) -> bool {
        self.members.rank(now) < WATCHERS_PER_DATA_CENTRE
    }

    /// Returns the parts of a workspace's allowance that this host may use.
    pub fn parts(&self, now: Duration, workspace: &str) -> u64 {
        let base = self.keeper.usable_base(now);
        let state = self.workspaces.get(workspace);
        state.map_or(0, |state| state.bucket.parts_at(now, base))
    }

    /// Returns the base share that this host may use now.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Returns whether the ledger lists nothing for this host any more.
    pub fn holds_no_share(&self) -> bool {
        self.keeper.is_settled()
    }

    /// Returns whether this host may take requests.
    ///
    /// A host that hears neither from the platform nor from half of its
    /// members cannot know of a withdrawn key, and takes none.
    pub fn serving(&self, now: Duration) -> bool {
        matches!(self.phase, MemberPhase::Live | MemberPhase::Leaving)
            && (self.platform_fresh(now) || self.members.in_contact(now))
    }

    fn platform_fresh(&self, now: Duration) -> bool {
        self.platform_heard.is_some_and(|at| now.saturating_sub(at) < CONTACT_WINDOW)
    }

    /// Goes live once nothing that was accepted or withdrawn can be unknown.
    ///
    /// The platform alone is not enough while other hosts are there: they may
    /// hold withdrawals from an outage that it does not know yet.
    fn update_phase(&mut self, now: Duration) {
        if self.phase == MemberPhase::Joining && self.configuration.revision > 0 {
            let waited = |since: Duration| now.saturating_sub(since) >= JOIN_GRACE;
            let alone = self.members.known().next().is_none();
            let agreed = self.members.has_heard() && self.members.in_contact(now);
            let platform = self.synced && self.listed_at.is_some();
            if agreed || (platform && (alone || self.listed_at.is_some_and(waited))) {
                self.phase = MemberPhase::Live;
            }
        }
        self.members.set_own(self.phase, self.configuration.revision, self.keeper.key());
    }

    fn tick(&mut self, now: Duration) {
        let withdrawn = self.withdrawn.fingerprint();
        for OutgoingBeat { to, entries } in self.members.beat(now, &mut self.source) {
            self.send(to, PeerMessage::Heartbeat { entries, withdrawn });
        }
        let view = self.keeper_view(now);
        if let Some(call) = self.keeper.poll(now, &view) {
            self.effects.push(HostEffect::Platform(call));
        }
        self.place(now);
        let unstored = self.unstored_keys();
        if !unstored.is_empty() && self.platform_fresh(now) {
            self.effects.push(HostEffect::StoreWithdrawn(unstored));
        }
        self.pending.retain(|_, loan| now.saturating_sub(loan.asked_at) < LOAN_DURATION);
        let names: Vec<WorkspaceId> = self.workspaces.keys().cloned().collect();
        for name in names {
            self.expire_waiting(now, &name);
            self.prefetch(now, &name);
        }
    }

    /// Places models while this host holds the lease, or tries to take it.
    fn place(&mut self, now: Duration) {
        let wants = self.phase == MemberPhase::Live;
        let effects = self.placement.tick(now, &self.configuration, wants);
        self.carry_placement(effects);
        if now >= self.switch_at {
            self.switch_at = now + SWITCH_INTERVAL;
            let models = self.placement.rolled_out(now, &self.configuration);
            if !models.is_empty() {
                self.effects.push(HostEffect::SwitchVersions(models));
            }
        }
    }

    fn carry_placement(&mut self, effects: Vec<PlacementEffect>) {
        for effect in effects {
            match effect {
                PlacementEffect::Platform(call) => {
                    self.effects.push(HostEffect::PlacementCall(call));
                }
                PlacementEffect::Order { engine, order } => {
                    let spec = self.configuration.endpoints.get(&engine);
                    if let Some(address) = spec.map(|spec| spec.address.clone()) {
                        self.effects.push(HostEffect::Order { engine, address, order });
                    }
                }
            }
        }
    }

    /// Returns the withdrawn keys that the platform is not known to keep.
    fn unstored_keys(&self) -> Vec<KeyHash> {
        let unstored = |hash: &&KeyHash| !self.platform_withdrawn.contains(hash);
        self.withdrawn.iter().filter(unstored).cloned().collect()
    }

    fn keeper_view(&self, now: Duration) -> KeeperView {
        let lent = self.workspaces.values().map(|state| state.bucket.lent_parts()).max();
        let own = self.members.own();
        let live = || {
            self.members
                .live(now)
                .filter(|entry| matches!(entry.phase, MemberPhase::Live | MemberPhase::Joining))
        };
        KeeperView {
            live: live().map(|entry| entry.share_key.clone()).collect(),
            unlent: self.base.saturating_sub(lent.unwrap_or(0)),
            leaving: self.phase == MemberPhase::Leaving,
            reclaims: live().all(|entry| own.host < entry.host),
        }
    }

    fn platform_done(&mut self, now: Duration, outcome: PlatformOutcome) {
        let view = self.keeper_view(now);
        if let Some(call) = self.keeper.complete(now, &view, outcome) {
            self.effects.push(HostEffect::Platform(call));
        }
        let receivers = self.keeper.take_receivers();
        let told: Vec<HostId> = self
            .members
            .live(now)
            .filter(|entry| receivers.contains(&entry.share_key))
            .map(|entry| entry.host.clone())
            .collect();
        told.into_iter().for_each(|to| self.send(to, PeerMessage::SharesChanged));
        self.follow_base(now);
    }

    /// Passes the usable base share on to the buckets when it has changed.
    fn follow_base(&mut self, now: Duration) {
        let base = self.keeper.usable_base(now);
        if base != self.base {
            self.base = base;
            self.workspaces.values_mut().for_each(|state| state.bucket.set_base(now, base));
        }
    }

    fn adopt(&mut self, now: Duration, configuration: Arc<FleetConfiguration>) {
        if configuration.revision <= self.configuration.revision {
            return;
        }
        let risen = configuration.revision > self.configuration.revision;
        if !Invariant::RevisionNeverFalls.check(risen) {
            return;
        }
        for (name, spec) in &configuration.workspaces {
            let base = self.base;
            self.workspaces
                .entry(name.clone())
                .and_modify(|state| state.bucket.set_allowance(now, spec.rate, spec.burst))
                .or_insert_with(|| WorkspaceState {
                    bucket: AllowanceBucket::new(now, spec.rate, spec.burst, base),
                    waiting: VecDeque::new(),
                    rounds: 0,
                    asked_at: Duration::ZERO,
                    ask_at: Duration::ZERO,
                    pause: SHORTEST_LOAN_PAUSE,
                    refused_by: BTreeMap::new(),
                    last_lender: None,
                    prefetch_at: Duration::ZERO,
                });
        }
        for (name, state) in &mut self.workspaces {
            if !configuration.workspaces.contains_key(name) {
                state.bucket.set_allowance(now, 0, 0);
            }
        }
        self.configuration = configuration;
        self.withdrawn.prune(&self.configuration);
        self.platform_withdrawn.prune(&self.configuration);
    }

    /// Takes in withdrawn keys and passes on those that were new.
    fn withdraw(&mut self, hashes: Vec<KeyHash>) {
        let fresh = self.withdrawn.merge(hashes);
        if fresh.is_empty() {
            return;
        }
        let targets: Vec<HostId> =
            self.members.known().map(|record| record.entry.host.clone()).collect();
        for to in targets {
            self.send(to, PeerMessage::Withdrawn { hashes: fresh.clone() });
        }
    }

    fn leave(&mut self) {
        self.phase = MemberPhase::Left;
        self.members.set_own(self.phase, self.configuration.revision, self.keeper.key());
        let entries = vec![self.members.own().clone()];
        let targets: Vec<HostId> =
            self.members.known().map(|record| record.entry.host.clone()).collect();
        for to in targets {
            let message = PeerMessage::Heartbeat {
                entries: entries.clone(),
                withdrawn: self.withdrawn.fingerprint(),
            };
            self.send(to, message);
        }
    }

    fn send(&mut self, to: HostId, message: PeerMessage) {
        if let Some(address) = self.members.address(&to) {
            self.effects.push(HostEffect::Send { to, address, message });
        }
    }

    fn message(&mut self, now: Duration, from: HostId, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat { entries, withdrawn } => {
                self.heartbeat(now, from, entries, withdrawn);
            }
            PeerMessage::HeartbeatReply { incarnation, counter, revision, withdrawn } => {
                let echo = HeartbeatEcho { incarnation, counter, revision, withdrawn };
                self.heartbeat_reply(&from, echo);
            }
            PeerMessage::Withdrawn { hashes } => self.withdraw(hashes),
            PeerMessage::SharesChanged => self.keeper.expect_change(now),
            PeerMessage::RevisionRequest { known } => self.revision_request(from, known),
            PeerMessage::RevisionReply { configuration } => {
                self.adopt(now, configuration);
            }
            PeerMessage::LoanRequest { request, loan, purpose, workspace, parts, tokens } => {
                let wanted = LoanOffer { parts, tokens, duration: LOAN_DURATION };
                let asked = LoanRequest { request, loan, purpose, workspace, wanted };
                self.loan_request(now, from, asked);
            }
            PeerMessage::LoanReturn { loan, workspace, tokens } => {
                if let Some(state) = self.workspaces.get_mut(&workspace) {
                    state.bucket.take_back(now, &loan, tokens);
                }
            }
            PeerMessage::LoanReply { request, loan, parts, tokens, duration, .. } => {
                let offer = LoanOffer { parts, tokens, duration };
                self.loan_reply(now, request, &loan, offer);
            }
        }
    }

    fn heartbeat(
        &mut self,
        now: Duration,
        from: HostId,
        entries: Vec<MemberEntry>,
        withdrawn: u64,
    ) {
        let Some(sender) = entries.first().filter(|entry| entry.host == from).cloned() else {
            return;
        };
        let own = self.members.own().host.clone();
        for entry in entries.into_iter().filter(|entry| entry.host != own) {
            self.members.merge(now, entry);
        }
        self.compare_knowledge(&from, sender.revision, withdrawn);
        if sender.phase != MemberPhase::Left {
            let reply = PeerMessage::HeartbeatReply {
                incarnation: sender.incarnation,
                counter: sender.counter,
                revision: self.configuration.revision,
                withdrawn: self.withdrawn.fingerprint(),
            };
            self.send(from, reply);
        }
    }

    /// Counts the sender as in contact if it knows nothing that this host does
    /// not, and otherwise asks for it.
    fn heartbeat_reply(&mut self, from: &HostId, echo: HeartbeatEcho) {
        let HeartbeatEcho { incarnation, counter, revision, withdrawn } = echo;
        if self.compare_knowledge(from, revision, withdrawn) {
            self.members.note_contact(from, incarnation, counter);
        }
    }

    /// Asks for a newer configuration, passes withdrawals on where the sets
    /// differ, and returns whether neither was needed.
    fn compare_knowledge(&mut self, from: &HostId, revision: Revision, withdrawn: u64) -> bool {
        let known = self.configuration.revision;
        let same_keys = withdrawn == self.withdrawn.fingerprint();
        if revision > known {
            self.send(from.clone(), PeerMessage::RevisionRequest { known });
        }
        if !same_keys {
            let hashes = self.withdrawn.iter().cloned().collect();
            self.send(from.clone(), PeerMessage::Withdrawn { hashes });
        }
        same_keys && revision <= known
    }

    fn revision_request(&mut self, from: HostId, known: Revision) {
        if self.configuration.revision <= known {
            return;
        }
        // The withdrawn keys go first: a host that goes live on the
        // configuration must not bring one of them back.
        let hashes = self.withdrawn.iter().cloned().collect();
        self.send(from.clone(), PeerMessage::Withdrawn { hashes });
        let configuration = self.configuration.clone();
        self.send(from, PeerMessage::RevisionReply { configuration });
    }

    fn admit(&mut self, now: Duration, ticket: TicketId, request: AdmissionRequest) {
        let Some(workspace) = request.workspace.clone() else {
            self.route(now, ticket, &request.target, &[], None);
            return;
        };
        let Some(state) = self.workspaces.get_mut(&workspace) else {
            self.refuse(ticket, AdmissionReason::Allowance, Some(FULL_RETRY_AFTER));
            return;
        };
        state.bucket.note_demand(request.tokens);
        if request.tokens > state.bucket.burst() {
            self.refuse(ticket, AdmissionReason::TooLarge, None);
            return;
        }
        let first = state.waiting.is_empty();
        if first && state.bucket.reserve(now, request.tokens) {
            let paid = Some((workspace, request.tokens));
            self.route(now, ticket, &request.target, &[], paid);
            return;
        }
        if !self.parameters.lending || state.waiting.len() >= WAITING_LIMIT || now < state.ask_at {
            self.refuse_allowance(now, ticket, &workspace, request.tokens);
            return;
        }
        let deadline = now + LOAN_WAIT;
        state.waiting.push_back(WaitingRequest { ticket, request, deadline });
        if first {
            state.rounds = 0;
            self.ask_for_loan(now, &workspace);
        }
    }

    /// Chooses an endpoint; `paid` is given back if there is none.
    fn route(
        &mut self,
        now: Duration,
        ticket: TicketId,
        target: &RouteTarget,
        excluded: &[EndpointId],
        paid: Option<(WorkspaceId, Tokens)>,
    ) {
        match self.routes.choose(now, &self.configuration, target, excluded) {
            Ok(endpoint) => self.effects.push(HostEffect::Admitted { ticket, endpoint }),
            Err(refusal) => {
                if let Some((workspace, tokens)) = paid {
                    self.settle(now, &workspace, tokens, 0);
                }
                self.refuse(ticket, AdmissionReason::Route(refusal), Some(FULL_RETRY_AFTER));
            }
        }
    }

    fn refuse(&mut self, ticket: TicketId, reason: AdmissionReason, retry_after: Option<Duration>) {
        let refusal = AdmissionRefusal { reason, retry_after };
        self.effects.push(HostEffect::Refused { ticket, refusal });
    }

    fn refuse_allowance(
        &mut self,
        now: Duration,
        ticket: TicketId,
        workspace: &str,
        tokens: Tokens,
    ) {
        let retry_after = self.workspaces.get_mut(workspace).and_then(|state| {
            state.bucket.advance(now);
            state.bucket.refill_time(tokens)
        });
        let retry_after = retry_after.unwrap_or(FULL_RETRY_AFTER).max(SHORTEST_RETRY_AFTER);
        self.refuse(ticket, AdmissionReason::Allowance, Some(retry_after));
    }

    fn settle(&mut self, now: Duration, workspace: &WorkspaceId, reserved: Tokens, used: Tokens) {
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.bucket.settle(now, reserved, used);
        }
        self.serve_waiting(now, workspace);
    }

    /// Admits waiting requests in order for as long as tokens are there.
    fn serve_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        while let Some(state) = self.workspaces.get_mut(workspace) {
            let Some(first) = state.waiting.front() else { return };
            let tokens = first.request.tokens;
            if !state.bucket.reserve(now, tokens) {
                return;
            }
            if let Some(WaitingRequest { ticket, request, .. }) = state.waiting.pop_front() {
                let paid = Some((workspace.clone(), tokens));
                self.route(now, ticket, &request.target, &[], paid);
            }
        }
    }

    fn expire_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        self.serve_waiting(now, workspace);
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        let mut expired = Vec::new();
        while let Some(first) = state.waiting.pop_front_if(|first| first.deadline <= now) {
            expired.push(first);
        }
        if !expired.is_empty() {
            state.pause_asking(now);
        }
        let silent = !state.waiting.is_empty() && now >= state.asked_at + LOAN_PATIENCE;
        let rounds = state.rounds;
        for WaitingRequest { ticket, request, .. } in expired {
            self.refuse_allowance(now, ticket, workspace, request.tokens);
        }
        if silent && rounds < LOAN_ROUNDS {
            self.ask_for_loan(now, workspace);
        }
    }

    /// Asks one member for what the waiting requests lack.
    fn ask_for_loan(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        let wanted: Tokens = state.waiting.iter().map(|waiting| waiting.request.tokens).sum();
        let ahead = state.bucket.expected_tokens(LOAN_AHEAD);
        let tokens = wanted.saturating_sub(state.bucket.available()) + ahead;
        let for_rate = state.bucket.wanted_parts().saturating_sub(state.bucket.parts());
        let for_room = state.bucket.missing_parts(wanted);
        let parts = state.bucket.parts_holding(tokens).max(for_rate).max(for_room);
        state.rounds += 1;
        state.asked_at = now;
        let wanted = LoanOffer { parts, tokens, duration: LOAN_DURATION };
        self.request_loans(now, workspace, LoanPurpose::Waiting, wanted, 1);
    }

    fn request_loans(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        purpose: LoanPurpose,
        wanted: LoanOffer,
        fanout: usize,
    ) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.refused_by.retain(|_, until| *until > now);
        let last = state.last_lender.as_ref().filter(|_| purpose == LoanPurpose::Waiting);
        let open = || {
            self.members
                .live(now)
                .filter(|entry| matches!(entry.phase, MemberPhase::Live | MemberPhase::Leaving))
                .filter(|entry| !state.refused_by.contains_key(&entry.host))
                .map(|entry| &entry.host)
        };
        let targets: Vec<HostId> = match open().find(|host| Some(*host) == last) {
            Some(host) => vec![host.clone()],
            None => open().cloned().choose_multiple(&mut self.source, fanout),
        };
        if targets.is_empty() && purpose == LoanPurpose::Waiting {
            self.wait_or_give_up(now, workspace);
            return;
        }
        for lender in targets {
            let own = self.members.own();
            let loan = LoanId {
                borrower: own.host.clone(),
                incarnation: own.incarnation,
                number: self.loan_number,
                lender,
            };
            self.request_loan(now, workspace, purpose, loan, wanted);
        }
    }

    fn request_loan(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        purpose: LoanPurpose,
        loan: LoanId,
        wanted: LoanOffer,
    ) {
        self.loan_number += 1;
        let request = self.loan_number;
        let lender = loan.lender.clone();
        let pending = PendingLoan {
            loan: loan.clone(),
            asked_at: now,
            workspace: workspace.clone(),
            purpose,
        };
        self.pending.insert(request, pending);
        let message = PeerMessage::LoanRequest {
            request,
            loan,
            purpose,
            workspace: workspace.clone(),
            parts: wanted.parts,
            tokens: wanted.tokens,
        };
        self.send(lender, message);
    }

    /// Borrows ahead of refusals when the demand outgrows the share, and
    /// extends the loans that are still needed.
    fn prefetch(&mut self, now: Duration, workspace: &WorkspaceId) {
        let lending = self.parameters.lending;
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.bucket.advance(now);
        if !lending || now < state.prefetch_at {
            return;
        }
        state.prefetch_at = now + PREFETCH_INTERVAL;
        let parts = state.bucket.wanted_parts().saturating_sub(state.bucket.parts());
        let returned = state.bucket.return_loans(now);
        for loan in state.bucket.loans_to_extend(now + EXTEND_BEFORE) {
            let wanted = LoanOffer::default();
            self.request_loan(now, workspace, LoanPurpose::Demand, loan, wanted);
        }
        for (loan, tokens) in returned {
            // An answer that extends it must not bring it back to life.
            self.pending.retain(|_, pending| pending.loan != loan);
            let (to, workspace) = (loan.lender.clone(), workspace.clone());
            self.send(to, PeerMessage::LoanReturn { loan, workspace, tokens });
        }
        if parts > 0 {
            let wanted = LoanOffer { parts, tokens: 0, duration: LOAN_DURATION };
            self.request_loans(now, workspace, LoanPurpose::Demand, wanted, PREFETCH_FANOUT);
        }
    }

    fn loan_request(&mut self, now: Duration, from: HostId, asked: LoanRequest) {
        let LoanRequest { request, loan, purpose, workspace, wanted } = asked;
        let leaving = self.phase == MemberPhase::Leaving;
        let lends = self.parameters.lending
            && !(leaving && purpose == LoanPurpose::Demand)
            && now < self.keeper.valid_until()
            && loan.lender == self.members.own().host;
        let offer = match self.workspaces.get_mut(&workspace) {
            Some(state) if lends && state.waiting.is_empty() => {
                // What a leaving host lends delays the end of its hand-over.
                let longest = if leaving { ONWARD_DURATION } else { LOAN_DURATION };
                state.bucket.lend(now, &loan, purpose, LoanOffer { duration: longest, ..wanted })
            }
            _ => LoanOffer::default(),
        };
        let LoanOffer { parts, tokens, duration } = offer;
        let reply = PeerMessage::LoanReply { request, loan, workspace, parts, tokens, duration };
        self.send(from, reply);
    }

    fn loan_reply(&mut self, now: Duration, request: u64, loan: &LoanId, offer: LoanOffer) {
        if self.pending.get(&request).is_none_or(|pending| pending.loan != *loan) {
            return;
        }
        let Some(pending) = self.pending.remove(&request) else { return };
        let workspace = pending.workspace;
        let Some(state) = self.workspaces.get_mut(&workspace) else { return };
        state.bucket.borrow_loan(now, pending.asked_at, loan, offer);
        let wants_tokens = pending.purpose == LoanPurpose::Waiting;
        if offer.parts == 0 || (wants_tokens && offer.tokens == 0) {
            state.refused_by.insert(loan.lender.clone(), now + LENDER_PAUSE);
        } else if offer.tokens > 0 {
            state.last_lender = Some(loan.lender.clone());
            state.pause = SHORTEST_LOAN_PAUSE;
        }
        let rounds = state.rounds;
        self.serve_waiting(now, &workspace);
        let waits = self.workspaces.get(&workspace).is_some_and(|state| !state.waiting.is_empty());
        if !waits || pending.purpose != LoanPurpose::Waiting {
            return;
        }
        if rounds < LOAN_ROUNDS {
            self.ask_for_loan(now, &workspace);
        } else {
            self.wait_or_give_up(now, &workspace);
        }
    }

    /// Goes on waiting where that helps although nobody lends: the own share
    /// refills soon enough, or shares are just changing hands.
    fn wait_or_give_up(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get(workspace) else { return };
        let Some(first) = state.waiting.front() else { return };
        let refill = state.bucket.refill_time(first.request.tokens);
        if refill.is_some_and(|refill| refill > LOAN_WAIT) {
            self.give_up_waiting(now, workspace);
        }
    }

    /// Refuses at once all that waits, since no member has anything to lend.
    fn give_up_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.pause_asking(now);
        let waiting = std::mem::take(&mut state.waiting);
        for WaitingRequest { ticket, request, .. } in waiting {
            self.refuse_allowance(now, ticket, workspace, request.tokens);
        }
    }
}
