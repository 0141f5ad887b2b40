//! State exchanged between hosts: configuration, withdrawn keys and liveness.

use std::sync::Arc;
use std::time::Duration;

use crate::configuration::FleetConfiguration;
use crate::decision::allowance::AllowanceBucket;
use crate::decision::host::HostMachine;
use crate::decision::host::admission::WorkspaceState;
use crate::decision::membership::{KnowledgeStatus, MemberEntry, MemberPhase};
use crate::decision::message::PeerMessage;
use crate::ids::{HostId, Incarnation, KeyHash, Revision};

/// The fields of a heartbeat reply.
pub(super) struct HeartbeatAck {
    pub(super) incarnation: Incarnation,
    pub(super) counter: u64,
    pub(super) revision: Revision,
    pub(super) withdrawn: u64,
    pub(super) standing: KnowledgeStatus,
}

impl HostMachine {
    /// Puts a configuration into force if its revision is higher.
    pub(super) fn apply_configuration(
        &mut self,
        now: Duration,
        configuration: Arc<FleetConfiguration>,
    ) {
        if configuration.revision <= self.configuration.revision {
            return;
        }
        for (name, spec) in &configuration.workspaces {
            let base = self.base_parts;
            self.workspaces
                .entry(name.clone())
                .and_modify(|state| state.bucket.set_allowance(now, spec.rate, spec.burst))
                .or_insert_with(|| {
                    let bucket = AllowanceBucket::new(now, spec.rate, spec.burst, base);
                    WorkspaceState::new(bucket)
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

    /// Records withdrawn keys and sends those that were not recorded before to
    /// all members.
    pub(super) fn withdraw_keys(&mut self, hashes: Vec<KeyHash>) {
        let added = self.withdrawn.merge(hashes);
        if added.is_empty() {
            return;
        }
        let targets: Vec<HostId> =
            self.members.known_members().map(|record| record.entry.host.clone()).collect();
        for to in targets {
            self.send(to, PeerMessage::Withdrawn { hashes: added.clone() });
        }
    }

    /// Returns the withdrawn keys that the platform is not known to store.
    pub(super) fn unstored_keys(&self) -> Vec<KeyHash> {
        let unstored = |hash: &&KeyHash| !self.platform_withdrawn.contains(hash);
        self.withdrawn.iter().filter(unstored).cloned().collect()
    }

    /// Returns how far other hosts can rely on this host's state.
    fn knowledge_status(&self) -> KnowledgeStatus {
        match (self.phase, self.contact_outage) {
            (MemberPhase::Joining, _) => KnowledgeStatus::Joining,
            (_, Some(_)) => KnowledgeStatus::Lapsed,
            _ => KnowledgeStatus::Current,
        }
    }

    /// Merges the received member entries, reconciles state with the sender,
    /// and replies to it unless it has left.
    pub(super) fn handle_heartbeat(
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
            self.members.merge_entry(now, entry);
        }
        self.reconcile_state(&from, sender.revision, withdrawn);
        if sender.phase != MemberPhase::Left {
            let reply = PeerMessage::HeartbeatReply {
                incarnation: sender.incarnation,
                counter: sender.counter,
                revision: self.configuration.revision,
                withdrawn: self.withdrawn.fingerprint(),
                standing: self.knowledge_status(),
            };
            self.send(from, reply);
        }
    }

    /// Records contact with the sender if it has no state that this host lacks.
    /// Otherwise requests the missing state.
    pub(super) fn handle_heartbeat_reply(&mut self, from: &HostId, ack: HeartbeatAck) {
        let HeartbeatAck { incarnation, counter, revision, withdrawn, standing } = ack;
        if self.reconcile_state(from, revision, withdrawn) {
            self.members.record_contact(from, incarnation, counter, standing);
        }
    }

    /// Requests a newer configuration and sends the withdrawn keys if the sets
    /// differ. Returns whether neither was needed.
    pub(super) fn reconcile_state(
        &mut self,
        from: &HostId,
        revision: Revision,
        withdrawn: u64,
    ) -> bool {
        let known = self.configuration.revision;
        let has_same_keys = withdrawn == self.withdrawn.fingerprint();
        if revision > known {
            self.send(from.clone(), PeerMessage::RevisionRequest { known });
        }
        if !has_same_keys {
            let hashes = self.withdrawn.iter().cloned().collect();
            self.send(from.clone(), PeerMessage::Withdrawn { hashes });
        }
        has_same_keys && revision <= known
    }

    /// Sends the withdrawn keys and the configuration in force to a host with a
    /// lower revision.
    pub(super) fn handle_revision_request(&mut self, from: HostId, known: Revision) {
        if self.configuration.revision <= known {
            return;
        }
        // The withdrawn keys go first. Otherwise a host could go live on the
        // configuration and accept a withdrawn key again.
        let hashes = self.withdrawn.iter().cloned().collect();
        self.send(from.clone(), PeerMessage::Withdrawn { hashes });
        let configuration = self.configuration.clone();
        self.send(from, PeerMessage::RevisionReply { configuration });
    }

    /// Marks this host as left and notifies all members.
    pub(super) fn announce_departure(&mut self) {
        self.phase = MemberPhase::Left;
        self.members.update_own(self.phase, self.configuration.revision, self.share_machine.key());
        let entries = vec![self.members.own().clone()];
        let targets: Vec<HostId> =
            self.members.known_members().map(|record| record.entry.host.clone()).collect();
        for to in targets {
            let message = PeerMessage::Heartbeat {
                entries: entries.clone(),
                withdrawn: self.withdrawn.fingerprint(),
            };
            self.send(to, message);
        }
    }
}
