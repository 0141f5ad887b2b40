//! The state machine of one host: every input goes in here, effects come out.

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
use crate::decision::host::knowledge::HeartbeatEcho;
use crate::decision::host::lending::{LoanRequest, PendingLoan};
use crate::decision::invariant::Invariant;
use crate::decision::keys::WithdrawnSet;
use crate::decision::membership::{
    CONTACT_WINDOW, MemberEntry, MemberPhase, MemberTable, OutgoingHeartbeat,
};
use crate::decision::message::PeerMessage;
use crate::decision::placement::{PlacementEffect, PlacementMachine};
use crate::decision::routing::{EndpointView, RouteTable};
use crate::decision::shares::{KeeperView, PlatformOutcome, ShareKeeper, share_key};
use crate::ids::{HostId, Revision, WorkspaceId};

pub use admission::{LOAN_WAIT, SHORTEST_RETRY_AFTER, WAITING_LIMIT};
pub use input::{
    AdmissionReason, AdmissionRefusal, AdmissionRequest, HostEffect, HostInput, HostParameters,
    HostSnapshot, TicketId,
};

/// Time that a host which starts, or lost all contact, waits for members that do
/// not answer before it takes the platform's word alone.
pub const JOIN_GRACE: Duration = Duration::from_millis(4_000);
/// Hosts of one data centre that watch the platform; others hear from them.
pub const WATCHERS_PER_DATA_CENTRE: usize = 4;
/// Time between two looks at whether a rollout may be switched.
pub const SWITCH_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts that try to take the placement lease; the others make no calls for it.
pub const PLACEMENT_CANDIDATES: usize = 3;

/// A time without news from platform and members; withdrawals of that time may
/// be known to members alone.
#[derive(Clone, Copy, Debug, Default)]
struct KnowledgeLapse {
    /// Local time since which the platform answers again.
    platform_since: Option<Duration>,
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
    highest_revision: Revision,
    withdrawn: WithdrawnSet,
    platform_withdrawn: WithdrawnSet,
    platform_heard: Option<Duration>,
    synced: bool,
    listed_at: Option<Duration>,
    lapse: Option<KnowledgeLapse>,
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
            highest_revision: 0,
            withdrawn: WithdrawnSet::default(),
            platform_withdrawn: WithdrawnSet::default(),
            platform_heard: None,
            synced: false,
            listed_at: None,
            lapse: None,
            phase: MemberPhase::Joining,
            base: 0,
            effects: Vec::new(),
            parameters,
        }
    }

    /// Takes in one input at a time since the start and returns what to do.
    pub fn step(&mut self, now: Duration, input: HostInput) -> Vec<HostEffect> {
        self.follow_base(now);
        self.follow_lapse(now);
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
                entries.into_iter().for_each(|entry| self.members.add_seed(now, entry));
            }
            HostInput::PlatformDone { outcome } => self.platform_done(now, outcome),
            HostInput::Withdraw { hashes } => self.withdraw(hashes),
            HostInput::Drain => self.phase = MemberPhase::Leaving,
            HostInput::Leave => self.leave(),
        }
        self.update_phase(now);
        let revision = self.configuration.revision;
        Invariant::RevisionNeverFalls.check(revision >= self.highest_revision);
        self.highest_revision = self.highest_revision.max(revision);
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
                .chain(self.members.live_members(now).cloned())
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
        self.members.rank_in_data_centre(now) < WATCHERS_PER_DATA_CENTRE
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
    /// members cannot know of a withdrawn key, and takes none. After such a
    /// time it asks its members first, as a host that joins does.
    pub fn serving(&self, now: Duration) -> bool {
        let platform = self.platform_fresh(now) && self.lapse.is_none();
        matches!(self.phase, MemberPhase::Live | MemberPhase::Leaving)
            && (platform || self.members.has_quorum(now))
    }

    /// Notes when neither platform nor members were heard, and ends that state
    /// on contact, or after [`JOIN_GRACE`] of a platform that answers.
    fn follow_lapse(&mut self, now: Duration) {
        if self.phase == MemberPhase::Joining || self.members.has_quorum(now) {
            self.lapse = None;
        } else if !self.platform_fresh(now) {
            self.lapse = Some(KnowledgeLapse::default());
        } else if let Some(lapse) = &mut self.lapse {
            let since = *lapse.platform_since.get_or_insert(now);
            if now.saturating_sub(since) >= JOIN_GRACE {
                self.lapse = None;
            }
        }
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
            let alone = self.members.known_members().next().is_none();
            let agreed = self.members.has_current_quorum(now);
            let platform = self.synced && self.listed_at.is_some();
            if agreed || (platform && (alone || self.listed_at.is_some_and(waited))) {
                self.phase = MemberPhase::Live;
            }
        }
        self.members.update_own(self.phase, self.configuration.revision, self.keeper.key());
    }

    fn tick(&mut self, now: Duration) {
        let withdrawn = self.withdrawn.fingerprint();
        for OutgoingHeartbeat { to, entries } in self.members.poll_heartbeats(now, &mut self.source)
        {
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
        let wants = self.phase == MemberPhase::Live
            && self.members.rank_in_fleet(now) < PLACEMENT_CANDIDATES;
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

    fn keeper_view(&self, now: Duration) -> KeeperView {
        let lent = self.workspaces.values().map(|state| state.bucket.lent_parts()).max();
        let own = self.members.own();
        let live = || {
            self.members
                .live_members(now)
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
            .live_members(now)
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
            PeerMessage::HeartbeatReply { incarnation, counter, revision, withdrawn, standing } => {
                let echo = HeartbeatEcho { incarnation, counter, revision, withdrawn, standing };
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
}
