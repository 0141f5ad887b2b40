//! What hosts tell each other: configuration, withdrawn keys, liveness.

use std::sync::Arc;
use std::time::Duration;

use crate::configuration::FleetConfiguration;
use crate::decision::allowance::AllowanceBucket;
use crate::decision::host::HostMachine;
use crate::decision::host::admission::WorkspaceState;
use crate::decision::membership::{KnowledgeStatus, MemberEntry, MemberPhase};
use crate::decision::message::PeerMessage;
use crate::ids::{HostId, Incarnation, KeyHash, Revision};

pub(super) struct HeartbeatEcho {
    pub(super) incarnation: Incarnation,
    pub(super) counter: u64,
    pub(super) revision: Revision,
    pub(super) withdrawn: u64,
    pub(super) standing: KnowledgeStatus,
}

impl HostMachine {
    /// Takes a configuration into force if its revision is higher.
    pub(super) fn adopt(&mut self, now: Duration, configuration: Arc<FleetConfiguration>) {
        if configuration.revision <= self.configuration.revision {
            return;
        }
        for (name, spec) in &configuration.workspaces {
            let base = self.base;
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

    /// Takes in withdrawn keys and passes on those that were new.
    pub(super) fn withdraw(&mut self, hashes: Vec<KeyHash>) {
        let fresh = self.withdrawn.merge(hashes);
        if fresh.is_empty() {
            return;
        }
        let targets: Vec<HostId> =
            self.members.known_members().map(|record| record.entry.host.clone()).collect();
        for to in targets {
            self.send(to, PeerMessage::Withdrawn { hashes: fresh.clone() });
        }
    }

    /// Returns the withdrawn keys that the platform is not known to keep.
    pub(super) fn unstored_keys(&self) -> Vec<KeyHash> {
        let unstored = |hash: &&KeyHash| !self.platform_withdrawn.contains(hash);
        self.withdrawn.iter().filter(unstored).cloned().collect()
    }

    fn standing(&self) -> KnowledgeStatus {
        match (self.phase, self.lapse) {
            (MemberPhase::Joining, _) => KnowledgeStatus::Joining,
            (_, Some(_)) => KnowledgeStatus::Lapsed,
            _ => KnowledgeStatus::Current,
        }
    }

    pub(super) fn heartbeat(
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
        self.compare_knowledge(&from, sender.revision, withdrawn);
        if sender.phase != MemberPhase::Left {
            let reply = PeerMessage::HeartbeatReply {
                incarnation: sender.incarnation,
                counter: sender.counter,
                revision: self.configuration.revision,
                withdrawn: self.withdrawn.fingerprint(),
                standing: self.standing(),
            };
            self.send(from, reply);
        }
    }

    /// Counts the sender as in contact if it knows nothing that this host does
    /// not, and otherwise asks for it.
    pub(super) fn heartbeat_reply(&mut self, from: &HostId, echo: HeartbeatEcho) {
        let HeartbeatEcho { incarnation, counter, revision, withdrawn, standing } = echo;
        if self.compare_knowledge(from, revision, withdrawn) {
            self.members.note_contact(from, incarnation, counter, standing);
        }
    }

    /// Asks for a newer configuration, passes withdrawals on where the sets
    /// differ, and returns whether neither was needed.
    pub(super) fn compare_knowledge(
        &mut self,
        from: &HostId,
        revision: Revision,
        withdrawn: u64,
    ) -> bool {
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

    pub(super) fn revision_request(&mut self, from: HostId, known: Revision) {
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

    pub(super) fn leave(&mut self) {
        self.phase = MemberPhase::Left;
        self.members.update_own(self.phase, self.configuration.revision, self.keeper.key());
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
