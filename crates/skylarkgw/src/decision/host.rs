//! The state machine of one host: it takes every input and returns the effects.

mod admission;
mod input;
mod knowledge;
mod lending;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::configuration::FleetConfiguration;
use crate::decision::allowance::{LOAN_DURATION, LoanOffer};
use crate::decision::host::admission::WorkspaceState;
use crate::decision::host::knowledge::HeartbeatAck;
use crate::decision::host::lending::{LoanRequest, PendingLoan};
use crate::decision::invariant::Invariant;
use crate::decision::keys::WithdrawnKeys;
use crate::decision::membership::{
    CONTACT_WINDOW, MemberEntry, MemberPhase, MemberTable, OutgoingHeartbeat,
};
use crate::decision::message::PeerMessage;
use crate::decision::placement::{PlacementEffect, PlacementMachine};
use crate::decision::routing::{EndpointSelector, EndpointView};
use crate::decision::shares::{PlatformOutcome, ShareContext, ShareMachine, share_key};
use crate::ids::{HostId, Revision, WorkspaceId};

pub use admission::{LOAN_WAIT, MAX_WAITING_REQUESTS, MIN_RETRY_AFTER};
pub use input::{
    AdmissionReason, AdmissionRefusal, AdmissionRequest, HostEffect, HostInput, HostParameters,
    HostSnapshot, TicketId,
};

/// Time for which a host that starts or has lost all contact waits for replies of
/// members, before it relies on the platform's state alone.
pub const JOIN_GRACE: Duration = Duration::from_millis(4_000);
/// Number of hosts in a data centre that watch the platform. The others receive
/// changes from them.
pub const WATCHERS_PER_DATA_CENTRE: usize = 4;
/// Time between two checks for models that can be switched to their next
/// version.
pub const ROLLOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts that try to acquire the placement lease. The others make no
/// calls for it.
pub const PLACEMENT_CANDIDATES: usize = 3;

/// A period without contact with either the platform or a quorum of members. Keys
/// withdrawn during it may be recorded by other members only.
#[derive(Clone, Copy, Debug, Default)]
struct ContactOutage {
    /// Local time since which the platform answers again.
    platform_reachable_since: Option<Duration>,
}

/// The state of one host and all decisions based on it.
#[derive(Debug)]
pub struct HostMachine {
    parameters: HostParameters,
    rng: ChaCha8Rng,
    members: MemberTable,
    selector: EndpointSelector,
    share_machine: ShareMachine,
    workspaces: BTreeMap<WorkspaceId, WorkspaceState>,
    pending_loans: BTreeMap<u64, PendingLoan>,
    /// Number of the last loan request sent.
    last_loan_request: u64,
    configuration: Arc<FleetConfiguration>,
    /// Highest revision that was in force.
    highest_revision: Revision,
    /// Withdrawn keys recorded by this host.
    withdrawn: WithdrawnKeys,
    /// Withdrawn keys that the platform is known to store.
    platform_withdrawn: WithdrawnKeys,
    /// Local time at which the last answered watch was sent.
    platform_answered_at: Option<Duration>,
    has_platform_configuration: bool,
    /// Local time at which the platform first listed the hosts.
    hosts_listed_at: Option<Duration>,
    /// Set from the loss of both the platform and the quorum of members until
    /// [`update_contact_outage`](Self::update_contact_outage) ends the outage.
    contact_outage: Option<ContactOutage>,
    placement: PlacementMachine,
    next_rollout_check: Duration,
    phase: MemberPhase,
    /// Base share in use, in parts of the allowance.
    base_parts: u64,
    effects: Vec<HostEffect>,
}

impl HostMachine {
    /// Creates the machine of a process that has just started.
    pub fn new(parameters: HostParameters) -> HostMachine {
        let mut own = parameters.own_entry.clone();
        own.share_key = share_key(&own.host, own.incarnation, 0);
        HostMachine {
            rng: ChaCha8Rng::seed_from_u64(parameters.seed),
            selector: EndpointSelector::new(parameters.routing),
            share_machine: ShareMachine::new(
                own.host.clone(),
                own.incarnation,
                parameters.allowance_lease,
            ),
            placement: PlacementMachine::new(own.share_key.clone()),
            next_rollout_check: Duration::ZERO,
            members: MemberTable::new(own),
            workspaces: BTreeMap::new(),
            pending_loans: BTreeMap::new(),
            last_loan_request: 0,
            configuration: Arc::default(),
            highest_revision: 0,
            withdrawn: WithdrawnKeys::default(),
            platform_withdrawn: WithdrawnKeys::default(),
            platform_answered_at: None,
            has_platform_configuration: false,
            hosts_listed_at: None,
            contact_outage: None,
            phase: MemberPhase::Joining,
            base_parts: 0,
            effects: Vec::new(),
            parameters,
        }
    }

    /// Handles one input and returns the resulting effects.
    ///
    /// `now` is the time since the start of the process.
    pub fn step(&mut self, now: Duration, input: HostInput) -> Vec<HostEffect> {
        self.update_base(now);
        self.update_contact_outage(now);
        match input {
            HostInput::Tick => self.handle_tick(now),
            HostInput::Admit { ticket, request } => self.admit_request(now, ticket, request),
            HostInput::Reroute { ticket, target, excluded } => {
                self.route_request(now, ticket, &target, &excluded, None);
            }
            HostInput::EndpointFinished { endpoint, failed } => {
                self.selector.finish_request(now, &endpoint, failed);
            }
            HostInput::Settle { workspace, reserved, used } => {
                self.settle_request(now, &workspace, reserved, used);
            }
            HostInput::Report { endpoint, requested_at, report } => {
                if let Some(report) = &report {
                    self.placement.record_report(requested_at, &endpoint, &report.engine);
                }
                self.selector.record_report(now, endpoint, report);
            }
            HostInput::OrderDone { engine, number, outcome } => {
                self.placement.record_outcome(&engine, number, outcome);
            }
            HostInput::PlacementCallDone { name, outcome } => {
                let effects = self.placement.complete_call(now, &name, outcome);
                self.apply_placement_effects(effects);
            }
            HostInput::Message { from, message } => self.handle_message(now, from, message),
            HostInput::PlatformAnswered { sent_at } => {
                self.platform_answered_at = self.platform_answered_at.max(Some(sent_at));
            }
            HostInput::PlatformConfiguration { configuration } => {
                self.has_platform_configuration = true;
                self.apply_configuration(now, configuration);
            }
            HostInput::PlatformWithdrawn { hashes } => {
                self.platform_withdrawn.merge(hashes.iter().cloned());
                self.withdraw_keys(hashes);
            }
            HostInput::PlatformHosts { entries } => {
                self.hosts_listed_at = self.hosts_listed_at.or(Some(now));
                entries.into_iter().for_each(|entry| self.members.add_seed(now, entry));
            }
            HostInput::ShareCallDone { outcome } => self.handle_share_call(now, outcome),
            HostInput::Withdraw { hashes } => self.withdraw_keys(hashes),
            HostInput::Drain => self.phase = MemberPhase::Leaving,
            HostInput::Leave => self.announce_departure(),
        }
        self.update_phase(now);
        let revision = self.configuration.revision;
        Invariant::RevisionNeverFalls.check(revision >= self.highest_revision);
        self.highest_revision = self.highest_revision.max(revision);
        std::mem::take(&mut self.effects)
    }

    /// Returns the state that traffic threads read.
    pub fn snapshot(&self, now: Duration) -> HostSnapshot {
        HostSnapshot {
            configuration: self.configuration.clone(),
            withdrawn: self.withdrawn.clone(),
            serving: self.is_serving(now),
            phase: self.phase,
            members: std::iter::once(self.members.own().clone())
                .chain(self.members.live_members(now).cloned())
                .collect(),
            made_at: now,
        }
    }

    /// Returns the fencing token if this host holds the placement lease at
    /// `now`.
    pub fn placement_fence(&self, now: Duration) -> Option<u64> {
        self.placement.token(now)
    }

    /// Returns this host's own member entry.
    pub fn own_entry(&self) -> &MemberEntry {
        self.members.own()
    }

    /// Returns the revision in force on this host.
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// Returns this host's view of the declared endpoints.
    pub fn endpoint_views(&self, now: Duration) -> Vec<EndpointView> {
        self.selector.endpoint_views(now, &self.configuration)
    }

    /// Returns whether this host should keep a watch on the platform.
    pub fn is_watcher(&self, now: Duration) -> bool {
        self.members.rank_in_data_centre(now) < WATCHERS_PER_DATA_CENTRE
    }

    /// Returns the parts of a workspace's allowance that this host may use.
    pub fn parts(&self, now: Duration, workspace: &str) -> u64 {
        let base_parts = self.share_machine.usable_base(now);
        let state = self.workspaces.get(workspace);
        state.map_or(0, |state| state.bucket.parts_at(now, base_parts))
    }

    /// Returns the base share that this host may use now, in parts of the
    /// allowance.
    pub fn base_parts(&self) -> u64 {
        self.base_parts
    }

    /// Returns whether the ledger certainly has no entry for this host.
    pub fn has_no_share(&self) -> bool {
        self.share_machine.has_no_entry()
    }

    /// Returns whether this host may accept requests.
    ///
    /// A host that has contact neither with the platform nor with half of its
    /// members may have missed a withdrawn key, so it accepts no requests. After
    /// such an outage, it first exchanges state with its members, as a joining
    /// host does, or waits [`JOIN_GRACE`] for them.
    pub fn is_serving(&self, now: Duration) -> bool {
        let has_platform_contact = self.is_platform_reachable(now) && self.contact_outage.is_none();
        matches!(self.phase, MemberPhase::Live | MemberPhase::Leaving)
            && (has_platform_contact || self.members.has_quorum(now))
    }

    /// Records the start of an outage of both the platform and the members, and
    /// ends it on contact with a quorum of members, or once the platform has been
    /// reachable for [`JOIN_GRACE`].
    fn update_contact_outage(&mut self, now: Duration) {
        if self.phase == MemberPhase::Joining || self.members.has_quorum(now) {
            self.contact_outage = None;
        } else if !self.is_platform_reachable(now) {
            self.contact_outage = Some(ContactOutage::default());
        } else if let Some(contact_outage) = &mut self.contact_outage {
            let since = *contact_outage.platform_reachable_since.get_or_insert(now);
            if now.saturating_sub(since) >= JOIN_GRACE {
                self.contact_outage = None;
            }
        }
    }

    /// Returns whether a watch sent within the last [`CONTACT_WINDOW`] was
    /// answered.
    fn is_platform_reachable(&self, now: Duration) -> bool {
        self.platform_answered_at.is_some_and(|at| now.saturating_sub(at) < CONTACT_WINDOW)
    }

    /// Moves from joining to live once this host cannot have missed an accepted
    /// configuration or a withdrawn key.
    ///
    /// While other hosts exist, the platform's state alone is not enough before
    /// [`JOIN_GRACE`] has passed: they may have recorded keys withdrawn during an
    /// outage of the platform, which it does not store yet.
    fn update_phase(&mut self, now: Duration) {
        if self.phase == MemberPhase::Joining && self.configuration.revision > 0 {
            let has_waited = |since: Duration| now.saturating_sub(since) >= JOIN_GRACE;
            let is_alone = self.members.known_members().next().is_none();
            let has_current_quorum = self.members.has_current_quorum(now);
            let has_platform_state =
                self.has_platform_configuration && self.hosts_listed_at.is_some();
            if has_current_quorum
                || (has_platform_state
                    && (is_alone || self.hosts_listed_at.is_some_and(has_waited)))
            {
                self.phase = MemberPhase::Live;
            }
        }
        self.members.update_own(self.phase, self.configuration.revision, self.share_machine.key());
    }

    fn handle_tick(&mut self, now: Duration) {
        let withdrawn = self.withdrawn.fingerprint();
        for OutgoingHeartbeat { to, entries } in self.members.poll_heartbeats(now, &mut self.rng) {
            self.send(to, PeerMessage::Heartbeat { entries, withdrawn });
        }
        let context = self.build_share_context(now);
        if let Some(call) = self.share_machine.poll(now, &context) {
            self.effects.push(HostEffect::ShareCall(call));
        }
        self.run_placement(now);
        let unstored = self.unstored_keys();
        if !unstored.is_empty() && self.is_platform_reachable(now) {
            self.effects.push(HostEffect::StoreWithdrawn(unstored));
        }
        self.pending_loans.retain(|_, loan| now.saturating_sub(loan.requested_at) < LOAN_DURATION);
        let names: Vec<WorkspaceId> = self.workspaces.keys().cloned().collect();
        for name in names {
            self.expire_waiting(now, &name);
            self.prefetch_loans(now, &name);
        }
    }

    /// Places models while this host holds the placement lease, and tries to
    /// acquire it if this host is a candidate. Also requests the version switch
    /// of models that are rolled out.
    fn run_placement(&mut self, now: Duration) {
        let is_candidate = self.phase == MemberPhase::Live
            && self.members.rank_in_fleet(now) < PLACEMENT_CANDIDATES;
        let effects = self.placement.tick(now, &self.configuration, is_candidate);
        self.apply_placement_effects(effects);
        if now >= self.next_rollout_check {
            self.next_rollout_check = now + ROLLOUT_CHECK_INTERVAL;
            let models = self.placement.rolled_out_models(now, &self.configuration);
            if !models.is_empty() {
                self.effects.push(HostEffect::SwitchVersions(models));
            }
        }
    }

    fn apply_placement_effects(&mut self, effects: Vec<PlacementEffect>) {
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

    fn build_share_context(&self, now: Duration) -> ShareContext {
        let lent = self.workspaces.values().map(|state| state.bucket.lent_parts()).max();
        let own = self.members.own();
        let live = || {
            self.members
                .live_members(now)
                .filter(|entry| matches!(entry.phase, MemberPhase::Live | MemberPhase::Joining))
        };
        ShareContext {
            live: live().map(|entry| entry.share_key.clone()).collect(),
            unlent_parts: self.base_parts.saturating_sub(lent.unwrap_or(0)),
            is_leaving: self.phase == MemberPhase::Leaving,
            is_reclaimer: live().all(|entry| own.host < entry.host),
        }
    }

    fn handle_share_call(&mut self, now: Duration, outcome: PlatformOutcome) {
        let context = self.build_share_context(now);
        if let Some(call) = self.share_machine.complete(now, &context, outcome) {
            self.effects.push(HostEffect::ShareCall(call));
        }
        let receivers = self.share_machine.take_receivers();
        let live_receivers: Vec<HostId> = self
            .members
            .live_members(now)
            .filter(|entry| receivers.contains(&entry.share_key))
            .map(|entry| entry.host.clone())
            .collect();
        live_receivers.into_iter().for_each(|to| self.send(to, PeerMessage::SharesChanged));
        self.update_base(now);
    }

    /// Passes the usable base share to the buckets when it changes.
    fn update_base(&mut self, now: Duration) {
        let base_parts = self.share_machine.usable_base(now);
        if base_parts != self.base_parts {
            self.base_parts = base_parts;
            self.workspaces.values_mut().for_each(|state| state.bucket.set_base(now, base_parts));
        }
    }

    fn send(&mut self, to: HostId, message: PeerMessage) {
        if let Some(address) = self.members.address(&to) {
            self.effects.push(HostEffect::Send { to, address, message });
        }
    }

    fn handle_message(&mut self, now: Duration, from: HostId, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat { entries, withdrawn } => {
                self.handle_heartbeat(now, from, entries, withdrawn);
            }
            PeerMessage::HeartbeatReply { incarnation, counter, revision, withdrawn, standing } => {
                let ack = HeartbeatAck { incarnation, counter, revision, withdrawn, standing };
                self.handle_heartbeat_reply(&from, ack);
            }
            PeerMessage::Withdrawn { hashes } => self.withdraw_keys(hashes),
            PeerMessage::SharesChanged => self.share_machine.read_ledger_soon(now),
            PeerMessage::RevisionRequest { known } => self.handle_revision_request(from, known),
            PeerMessage::RevisionReply { configuration } => {
                self.apply_configuration(now, configuration);
            }
            PeerMessage::LoanRequest { request, loan, purpose, workspace, parts, tokens } => {
                let wanted = LoanOffer { parts, tokens, duration: LOAN_DURATION };
                let loan_request = LoanRequest { request, loan, purpose, workspace, wanted };
                self.handle_loan_request(now, from, loan_request);
            }
            PeerMessage::LoanReturn { loan, workspace, tokens } => {
                if let Some(state) = self.workspaces.get_mut(&workspace) {
                    state.bucket.end_loan(now, &loan, tokens);
                }
            }
            PeerMessage::LoanReply { request, loan, parts, tokens, duration, .. } => {
                let offer = LoanOffer { parts, tokens, duration };
                self.handle_loan_reply(now, request, &loan, offer);
            }
        }
    }
}
