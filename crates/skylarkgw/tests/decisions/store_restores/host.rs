//! A simulated host that follows the store, the coordinator and its peers.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::decision::coordinator::{Coordinator, CoordinatorReply, HostReport, KnowledgeAge};
use skylarkgw::decision::coordinator_lease::CoordinatorLease;
use skylarkgw::decision::declaration_confirmation::{DeclarationConfirmation, is_confirmed_by};
use skylarkgw::decision::directory::EngineDirectory;
use skylarkgw::decision::dispatch::engine_loads::RegisteredEngine;
use skylarkgw::decision::freshness::{
    can_check_keys, contact_timeout, is_searching_coordinator, needs_store_read,
};
use skylarkgw::decision::quota_pool::{PoolStart, QuotaTolerance};
use skylarkgw::decision::shared_map::version_token;
use skylarkgw::decision::store_order::{StorePosition, StoreStamp};
use skylarkgw::gateway::ports::LeaseAnswer;
use skylarkgw::gateway::registry::EngineEntry;
use skylarkgw::ids::{EndpointId, HostId, Revision, StoreEra};

use crate::samples::ms;
use crate::store_restores::store::KeyDeclaration;

/// Lease duration, and shortest pause between the orders of two holders.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_000);
/// Time within which a withdrawn key must be refused everywhere.
pub const REVOCATION: Duration = Duration::from_millis(5_000);

/// Answer of a host to a question of another one.
#[derive(Clone, Debug)]
pub struct PeerAnswer {
    age: KnowledgeAge,
    declaration: Option<KeyDeclaration>,
    engines: Option<Vec<Arc<EngineEntry>>>,
    coordinator: Option<(HostId, std::net::SocketAddr)>,
}

/// One process of a host, and what the checks remember of it.
pub struct SimulatedHost {
    pub name: HostId,
    pub incarnation: u64,
    /// Time of the start in ms; the host is down before it.
    pub started_at: u64,
    pub frozen_until: u64,
    pub store_cut_until: u64,
    pub peers_cut_until: u64,
    /// Time until which answers of the store and of peers come late, in ms.
    pub late_until: u64,
    pub lease: CoordinatorLease,
    pub directory: EngineDirectory,
    pub declaration: KeyDeclaration,
    confirmation: DeclarationConfirmation,
    pub has_lease_call: bool,
    pub exchange_due: u64,
    pub read_due: u64,
    /// Time at which the last report was sent, in ms.
    pub report_sent: u64,
    address: std::net::SocketAddr,
    coordinator: Option<Coordinator>,
    declared_as_of: Duration,
    report: HostReport,
    /// Engines as the coordinator sent them.
    registered: HashMap<EndpointId, RegisteredEngine>,
    has_coordinator_copy: bool,
    last_reply: Option<(Duration, KnowledgeAge)>,
    /// Token that the host held when it was last checked.
    pub checked_token: Option<u64>,
    /// Where the last copy of the registry came from.
    pub source: &'static str,
    /// What the host lists of engines that are retired.
    pub views: HashMap<(EndpointId, u64), &'static str>,
    /// Engines that the host has known as retired, by name and start time.
    pub known_retired: HashSet<(EndpointId, u64)>,
    /// Engines that the host has listed, by name and start time.
    pub known_engines: HashSet<(EndpointId, u64)>,
    /// Keys that a declaration in force has lacked.
    pub known_withdrawn: BTreeSet<u32>,
    pub highest_revision: Revision,
}

impl SimulatedHost {
    pub fn new(index: usize, incarnation: u64, started_at: u64) -> SimulatedHost {
        let name: HostId = format!("edge-{index}").into();
        let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
        SimulatedHost {
            lease: CoordinatorLease::new(name.clone(), incarnation, address, LEASE_DURATION),
            report: HostReport { host: name.clone(), capacity: 1.0, ..HostReport::default() },
            name,
            incarnation,
            started_at,
            frozen_until: 0,
            store_cut_until: 0,
            peers_cut_until: 0,
            late_until: 0,
            directory: EngineDirectory::default(),
            declaration: KeyDeclaration::default(),
            confirmation: DeclarationConfirmation::default(),
            has_lease_call: false,
            exchange_due: started_at,
            read_due: started_at,
            report_sent: 0,
            address,
            coordinator: None,
            declared_as_of: Duration::ZERO,
            registered: HashMap::new(),
            has_coordinator_copy: false,
            last_reply: None,
            checked_token: None,
            source: "none",
            views: HashMap::new(),
            known_retired: HashSet::new(),
            known_engines: HashSet::new(),
            known_withdrawn: BTreeSet::new(),
            highest_revision: 0,
        }
    }

    pub fn is_running(&self, now: u64) -> bool {
        now >= self.started_at && now >= self.frozen_until
    }

    /// Returns the time since which nothing has disturbed the host, in ms.
    pub fn healthy_since(&self) -> u64 {
        let ends = [self.frozen_until, self.store_cut_until, self.peers_cut_until, self.late_until];
        ends.into_iter().fold(self.started_at, u64::max)
    }

    pub fn has_contact(&self, now: u64) -> bool {
        self.last_reply.as_ref().is_some_and(|(at, _)| ms(now) - *at < contact_timeout(5))
    }

    /// Returns whether the host reads the store, or asks other hosts for its contents.
    pub fn needs_read(&self, now: u64) -> bool {
        let is_coordinator = self.lease.token(ms(now)).is_some();
        if !is_coordinator && is_searching_coordinator(ms(now - self.started_at)) {
            return false;
        }
        let age = self.last_reply.as_ref().filter(|_| self.has_contact(now)).map(|(_, age)| age);
        age.is_none_or(|age| {
            let is_behind = self.declaration.revision < age.revision;
            needs_store_read(is_coordinator, is_behind, age.declaration.max(age.registry))
        })
    }

    /// Returns the time since the declaration was last confirmed.
    pub fn confirmed_age(&self, now: u64) -> Duration {
        ms(now).saturating_sub(self.declared_as_of)
    }

    fn has_confirmed_declaration(&self) -> bool {
        self.declared_as_of > Duration::ZERO
    }

    /// Returns the keys that the host accepts.
    pub fn accepted_keys(&self, now: u64) -> impl Iterator<Item = u32> + '_ {
        let is_usable = can_check_keys(REVOCATION, self.confirmed_age(now));
        self.declaration.keys.iter().copied().filter(move |_| is_usable)
    }

    fn apply_declaration(&mut self, declaration: KeyDeclaration) {
        if declaration.revision > self.declaration.revision {
            self.declaration = declaration;
        }
    }

    pub fn apply_store_declaration(
        &mut self,
        now: u64,
        stamp: StoreStamp,
        declaration: KeyDeclaration,
    ) {
        let (answered, in_force) = (declaration.revision, self.declaration.revision);
        let age = self.confirmed_age(now);
        let is_confirmed = self.confirmation.record_answer(ms(now), stamp, answered, in_force, age);
        self.apply_declaration(declaration);
        let may_confirm = self.has_confirmed_declaration() || self.lease.is_era_settled().is_some();
        if is_confirmed && may_confirm {
            self.declared_as_of = self.declared_as_of.max(stamp.as_of);
        }
    }

    fn record_named_era(&mut self, now: u64, era: Option<StoreEra>) {
        let age = self.confirmed_age(now);
        self.confirmation.record_named_era(ms(now), era, age);
    }

    /// Applies the answer to a call on the lease record.
    pub fn apply_lease_answer(&mut self, now: u64, sent_at: u64, answer: LeaseAnswer) {
        if let LeaseAnswer::Found { era, record: Some(record), .. } = &answer {
            self.record_named_era(now, record.era);
            self.record_named_era(now, *era);
        }
        self.lease.handle_answer(ms(now), ms(sent_at), answer);
        let is_settled = self.lease.is_era_settled();
        if is_settled == Some(false) && !self.has_confirmed_declaration() {
            self.confirmation.record_unsettled_start(ms(now));
        }
    }

    pub fn apply_store_registry(&mut self, now: u64, stamp: StoreStamp, entries: Vec<EngineEntry>) {
        if self.directory.update_from_store(ms(now), stamp, entries) {
            self.has_coordinator_copy = false;
            self.source = "the store";
        }
        self.publish_engines(now);
    }

    /// Passes the engines on to the coordinator state of this host.
    pub fn publish_engines(&mut self, now: u64) {
        if let Some(coordinator) = &mut self.coordinator {
            let engines: Vec<_> = self.directory.engines(ms(now)).cloned().collect();
            coordinator.update_registry(self.directory.stamp(), &engines);
        }
    }

    /// Creates the coordinator state when the host takes the lease, and drops it when
    /// the lease ends.
    pub fn apply_token(&mut self, now: u64) {
        let token = self.lease.token(ms(now));
        if self.coordinator.as_ref().map(Coordinator::token) != token {
            self.coordinator = token.map(|token| {
                let tolerance = QuotaTolerance::default();
                Coordinator::new(ms(now), token, tolerance, PoolStart::AfterLoss)
            });
            self.publish_engines(now);
        }
    }

    pub fn build_report(&self) -> HostReport {
        self.report.clone()
    }

    /// Answers the report of another host if this one is the coordinator.
    pub fn handle_report(
        &mut self,
        now: u64,
        report: HostReport,
    ) -> Option<(CoordinatorReply, KeyDeclaration)> {
        let token = self.lease.token(ms(now))?;
        let age = self.knowledge_age(now);
        let lease = self.lease.remaining(ms(now));
        let coordinator = self.coordinator.as_mut().filter(|state| state.token() == token)?;
        let stamp = coordinator.registry_stamp();
        let reply = coordinator.exchange(ms(now), report);
        let age = KnowledgeAge {
            registry: ms(now).saturating_sub(stamp.as_of),
            registry_position: stamp.position,
            ..age
        };
        Some((CoordinatorReply { age, lease, ..reply }, self.declaration.clone()))
    }

    fn knowledge_age(&self, now: u64) -> KnowledgeAge {
        let stamp = self.directory.stamp();
        KnowledgeAge {
            revision: self.declaration.revision,
            declaration: self.confirmed_age(now),
            registry: ms(now).saturating_sub(stamp.as_of),
            registry_position: stamp.position,
            evacuations: None,
        }
    }

    pub fn apply_reply(
        &mut self,
        now: u64,
        sent_at: u64,
        reply: CoordinatorReply,
        declaration: KeyDeclaration,
    ) {
        self.apply_declaration(declaration);
        if let Some((version, remaining)) = reply.lease {
            self.lease.record_remaining(ms(now), version, remaining);
        }
        self.confirm_declaration(sent_at, &reply.age);
        let stamp = stamp_of(sent_at, &reply.age);
        self.record_named_era(now, stamp.position.era);
        let is_changed = reply.registry.is_some();
        if let Some(delta) = reply.registry {
            self.lease.record_token(version_token(delta.version));
            self.report.registry_version = delta.version;
            delta.apply_to(&mut self.registered);
        }
        self.last_reply = Some((ms(now), reply.age));
        if self.lease.token(ms(now)).is_some() {
            return;
        }
        // In another era, the same list is a copy of its own.
        let is_confirmation = self.directory.stamp().position.era == stamp.position.era;
        if !is_changed && self.has_coordinator_copy && is_confirmation {
            self.directory.record_unchanged(stamp);
            return;
        }
        let entries = self.registered.values().map(|listed| listed.entry.clone());
        if self.directory.update_from_coordinator(ms(now), stamp, entries) {
            self.has_coordinator_copy = true;
            self.source = "the coordinator";
        }
    }

    fn confirm_declaration(&mut self, sent_at: u64, age: &KnowledgeAge) {
        if is_confirmed_by(self.declaration.revision, age.revision) {
            let as_of = ms(sent_at).saturating_sub(age.declaration);
            self.declared_as_of = self.declared_as_of.max(as_of);
        }
    }

    pub fn lose_contact(&mut self) {
        self.last_reply = None;
    }

    /// Answers a host whose copy of the registry is at a position.
    pub fn answer_peer(&self, now: u64, position: StorePosition) -> PeerAnswer {
        let engines = self.directory.engines(ms(now)).cloned().collect();
        let own = self.directory.stamp().position;
        let is_newer = own.era != position.era || own.revision > position.revision;
        let coordinator = if self.lease.token(ms(now)).is_some() {
            Some((self.name.clone(), self.address))
        } else {
            self.lease.coordinator().filter(|_| self.has_contact(now))
        };
        PeerAnswer {
            age: self.knowledge_age(now),
            declaration: Some(self.declaration.clone()),
            engines: is_newer.then_some(engines),
            coordinator,
        }
    }

    pub fn apply_peer_answer(&mut self, now: u64, sent_at: u64, answer: PeerAnswer) {
        if let Some((holder, address)) = answer.coordinator {
            self.lease.record_coordinator(holder, address);
        }
        if let Some(declaration) = answer.declaration {
            self.apply_declaration(declaration);
        }
        self.confirm_declaration(sent_at, &answer.age);
        let stamp = stamp_of(sent_at, &answer.age);
        self.record_named_era(now, stamp.position.era);
        let Some(engines) = answer.engines else {
            if self.directory.stamp().position == stamp.position {
                self.directory.record_unchanged(stamp);
            }
            return;
        };
        if self.directory.update_from_coordinator(ms(now), stamp, engines) {
            self.has_coordinator_copy = false;
            self.source = "a peer";
        }
    }
}

fn stamp_of(sent_at: u64, age: &KnowledgeAge) -> StoreStamp {
    let as_of = ms(sent_at).saturating_sub(age.registry);
    StoreStamp { position: age.registry_position, as_of }
}
