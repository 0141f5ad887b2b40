//! Membership of the fleet by gossiped heartbeats.
//!
//! Each host increments its own heartbeat counter and sends a bounded digest of
//! its member table to a few random members. A member counts as live while its
//! counter increases, whichever host relayed it (Van Renesse, Minsky and Hayden,
//! "A Gossip-Style Failure Detection Service", 1998). The host list of the
//! platform only provides seed addresses.
//!
//! Contact is a stronger condition than liveness. The receiver of a heartbeat
//! replies at once with the counter, its revision and a fingerprint of its
//! withdrawn keys, so the sender can date that state by the time at which it sent
//! the heartbeat, on its own clock. A reply that waited in a socket buffer while
//! the process was paused is therefore not taken for recent state. Echoes of the
//! counter in later heartbeats, without an immediate reply, are too old: with 20
//! hosts, their age alone made a host lose contact during a platform outage.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, HostId, Incarnation, Revision};

/// Interval between two heartbeats of a host.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Number of members that receive each heartbeat.
pub const HEARTBEAT_FANOUT: usize = 3;
/// Maximum number of entries of other members in one heartbeat.
pub const DIGEST_ENTRIES: usize = 9;
/// Time without a new heartbeat after which a member is suspected to have failed.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after which a contact no longer counts as evidence that this host has
/// received all withdrawals.
pub const CONTACT_WINDOW: Duration = Duration::from_millis(4_000);
/// Number of own heartbeats whose send times are kept to match replies.
pub const HEARTBEAT_HISTORY: usize = 64;
/// Time without a new heartbeat after which a member is evicted from the table.
pub const EVICTION_TIMEOUT: Duration = Duration::from_secs(60);

/// Phase in the life cycle of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberPhase {
    /// The host may not yet have received the configuration in force and all
    /// withdrawn keys.
    Joining,
    /// The host serves clients.
    Live,
    /// The host is draining before a planned stop.
    Leaving,
    /// The host has stopped.
    Left,
}

/// State of a host as it publishes it and other members relay it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberEntry {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the host that this entry describes.
    pub incarnation: Incarnation,
    /// Heartbeat counter within the incarnation.
    pub counter: u64,
    /// IP address and port at which the host accepts messages from other hosts.
    pub address: Arc<str>,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Phase in the life cycle of the host.
    pub phase: MemberPhase,
    /// Revision of the configuration in force on the host.
    pub revision: Revision,
    /// Key of the host's entry in the share ledger.
    pub share_key: Arc<str>,
}

/// Whether a host is known to have the latest configuration and withdrawn keys.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KnowledgeStatus {
    /// The host has just started and has only what other hosts sent to it.
    Joining,
    /// The host lost contact with the platform and the members, and has not yet
    /// caught up.
    Lapsed,
    /// The host has been in contact since it joined, or has caught up after a loss
    /// of contact.
    Current,
}

#[derive(Clone, Copy, Debug)]
struct MemberContact {
    /// Local time at which the heartbeat that the member answered was sent.
    sent_at: Duration,
    standing: KnowledgeStatus,
}

/// A known member with the time of its latest update.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Latest entry of the member.
    pub entry: MemberEntry,
    /// Local time at which the entry last advanced or the seed was added.
    pub updated_at: Duration,
    /// Whether the member is known only from the platform's host list.
    pub is_seed: bool,
}

impl MemberRecord {
    /// Returns whether the member counts towards the quorum: it has joined and
    /// its heartbeats were received, so it may have withdrawals or a revision
    /// that this host lacks.
    fn is_quorum_member(&self) -> bool {
        !self.is_seed && matches!(self.entry.phase, MemberPhase::Live | MemberPhase::Leaving)
    }
}

/// The members of the fleet in the view of one host.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberEntry,
    others: BTreeMap<HostId, MemberRecord>,
    contacts: BTreeMap<HostId, MemberContact>,
    /// Whether a quorum member was evicted since the last contact. It may have
    /// withdrawals or a revision that this host lacks.
    evicted_quorum_member: bool,
    /// Counters and send times of the latest own heartbeats.
    sent_heartbeats: VecDeque<(u64, Duration)>,
    next_heartbeat_at: Duration,
}

/// A heartbeat to send to one member.
#[derive(Clone, Debug)]
pub struct OutgoingHeartbeat {
    /// Host that receives the heartbeat.
    pub to: HostId,
    /// Entry of this host, followed by the most recently updated others.
    pub entries: Vec<MemberEntry>,
}

impl MemberTable {
    /// Creates a table that contains only this host.
    pub fn new(own: MemberEntry) -> MemberTable {
        MemberTable {
            own,
            others: BTreeMap::new(),
            contacts: BTreeMap::new(),
            evicted_quorum_member: false,
            sent_heartbeats: VecDeque::new(),
            next_heartbeat_at: Duration::ZERO,
        }
    }

    /// Returns the entry of this host.
    pub fn own(&self) -> &MemberEntry {
        &self.own
    }

    /// Updates the mutable fields of this host's entry.
    pub fn update_own(&mut self, phase: MemberPhase, revision: Revision, share_key: &Arc<str>) {
        self.own.phase = phase;
        self.own.revision = revision;
        self.own.share_key = share_key.clone();
    }

    /// Merges a received entry into the table if it is newer than the known one.
    ///
    /// An entry is newer if its incarnation is higher, or its counter within the
    /// same incarnation. Any received entry replaces a seed. Returns whether the
    /// member was unknown before.
    pub fn merge_entry(&mut self, now: Duration, entry: MemberEntry) -> bool {
        if entry.host == self.own.host {
            return false;
        }
        match self.others.get_mut(&entry.host) {
            Some(record) => {
                let known = (record.entry.incarnation, record.entry.counter);
                if record.is_seed || (entry.incarnation, entry.counter) > known {
                    *record = MemberRecord { entry, updated_at: now, is_seed: false };
                }
                false
            }
            None => {
                let record = MemberRecord { entry, updated_at: now, is_seed: false };
                self.others.insert(record.entry.host.clone(), record);
                true
            }
        }
    }

    /// Adds a host from the platform's list as a seed, unless it is known.
    ///
    /// A seed receives heartbeats, but does not count as live or as joined.
    pub fn add_seed(&mut self, now: Duration, entry: MemberEntry) {
        if entry.host != self.own.host && !self.others.contains_key(&entry.host) {
            let record = MemberRecord { entry, updated_at: now, is_seed: true };
            self.others.insert(record.entry.host.clone(), record);
        }
    }

    /// Returns the heartbeats to send at `now`, or none if none is due.
    ///
    /// When heartbeats are due, this increments the counter and evicts the members
    /// and seeds without an update for [`EVICTION_TIMEOUT`].
    pub fn poll_heartbeats(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<OutgoingHeartbeat> {
        if now < self.next_heartbeat_at {
            return Vec::new();
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        self.own.counter += 1;
        self.sent_heartbeats.push_back((self.own.counter, now));
        if self.sent_heartbeats.len() > HEARTBEAT_HISTORY {
            self.sent_heartbeats.pop_front();
        }
        let evicted: Vec<MemberRecord> = self
            .others
            .extract_if(.., |_, record| now.saturating_sub(record.updated_at) >= EVICTION_TIMEOUT)
            .map(|(_, record)| record)
            .collect();
        self.evicted_quorum_member |= evicted.iter().any(MemberRecord::is_quorum_member);
        self.contacts.retain(|host, _| self.others.contains_key(host));
        let targets = self
            .known_members()
            .map(|record| record.entry.host.clone())
            .choose_multiple(rng, HEARTBEAT_FANOUT);
        let heartbeat = |to: HostId| OutgoingHeartbeat { entries: self.build_digest(&to), to };
        targets.into_iter().map(heartbeat).collect()
    }

    /// Returns the entries to send to a host: the entry of this host, followed
    /// by up to [`DIGEST_ENTRIES`] others, the most recently updated first.
    pub fn build_digest(&self, to: &HostId) -> Vec<MemberEntry> {
        let mut records: Vec<&MemberRecord> =
            self.others.values().filter(|record| record.entry.host != *to).collect();
        records.sort_by_key(|record| std::cmp::Reverse(record.updated_at));
        std::iter::once(&self.own)
            .chain(records.into_iter().take(DIGEST_ENTRIES).map(|record| &record.entry))
            .cloned()
            .collect()
    }

    /// Records that a host replied to the heartbeat with the counter
    /// `echoed_counter`.
    ///
    /// The caller must have checked that the host has no configuration and no
    /// withdrawn keys that this host lacks. A reply to a heartbeat of an earlier
    /// incarnation, or to one that is no longer in the history, is ignored. So is
    /// a reply of a joining host, which has only state that it received from other
    /// hosts.
    pub fn record_contact(
        &mut self,
        from: &HostId,
        incarnation: Incarnation,
        echoed_counter: u64,
        standing: KnowledgeStatus,
    ) {
        if incarnation != self.own.incarnation || standing == KnowledgeStatus::Joining {
            return;
        }
        let sent = self.sent_heartbeats.iter().find(|(counter, _)| *counter == echoed_counter);
        if let Some((_, sent_at)) = sent {
            self.evicted_quorum_member = false;
            let contact = MemberContact { sent_at: *sent_at, standing };
            let latest = self.contacts.entry(from.clone()).or_insert(contact);
            if *sent_at >= latest.sent_at {
                *latest = contact;
            }
        }
    }

    /// Returns the address of another member, or `None` if the member is unknown.
    pub fn address(&self, host: &str) -> Option<Arc<str>> {
        self.others.get(host).map(|record| record.entry.address.clone())
    }

    /// Iterates over the other members that are neither suspected nor stopped,
    /// without seeds.
    pub fn live_members(&self, now: Duration) -> impl Iterator<Item = &MemberEntry> {
        self.others
            .values()
            .filter(move |record| {
                now.saturating_sub(record.updated_at) < SUSPICION_TIMEOUT
                    && !record.is_seed
                    && record.entry.phase != MemberPhase::Left
            })
            .map(|record| &record.entry)
    }

    /// Iterates over the other members that have not stopped, including seeds
    /// and suspected members.
    pub fn known_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.others.values().filter(|record| record.entry.phase != MemberPhase::Left)
    }

    /// Returns whether at least half of the other joined members were in contact
    /// with this host within [`CONTACT_WINDOW`].
    ///
    /// Without other joined members, there is none to contact, and the result is
    /// true unless one was evicted since the last contact. Seeds do not count as
    /// joined.
    pub fn has_quorum(&self, now: Duration) -> bool {
        let (joined, reachable) = self.count_quorum(now, |_| true);
        if joined == 0 { !self.evicted_quorum_member } else { reachable * 2 >= joined }
    }

    /// Returns whether at least half of the other joined members, and at least one,
    /// were in contact with this host within [`CONTACT_WINDOW`] and reported
    /// [`KnowledgeStatus::Current`].
    ///
    /// A joining host that meets this condition can go live without the platform.
    pub fn has_current_quorum(&self, now: Duration) -> bool {
        let is_current = |contact: &MemberContact| contact.standing == KnowledgeStatus::Current;
        let (joined, reachable) = self.count_quorum(now, is_current);
        joined > 0 && reachable * 2 >= joined
    }

    /// Returns the number of other joined members, and the number of those with a
    /// contact within [`CONTACT_WINDOW`] for which `is_accepted` returns true.
    fn count_quorum(
        &self,
        now: Duration,
        is_accepted: impl Fn(&MemberContact) -> bool,
    ) -> (usize, usize) {
        let is_reachable = |record: &&MemberRecord| {
            let contact = self.contacts.get(&record.entry.host);
            let contact = contact.filter(|contact| is_accepted(contact));
            contact.is_some_and(|contact| now.saturating_sub(contact.sent_at) < CONTACT_WINDOW)
        };
        let joined: Vec<&MemberRecord> =
            self.others.values().filter(|record| record.is_quorum_member()).collect();
        (joined.len(), joined.iter().filter(|record| is_reachable(record)).count())
    }

    /// Returns the zero-based rank of this host, by name, among all live hosts.
    pub fn rank_in_fleet(&self, now: Duration) -> usize {
        self.live_members(now)
            .filter(|entry| entry.phase == MemberPhase::Live && entry.host < self.own.host)
            .count()
    }

    /// Returns the zero-based rank of this host, by name, among the live hosts
    /// of its data centre.
    pub fn rank_in_data_centre(&self, now: Duration) -> usize {
        self.live_members(now)
            .filter(|entry| entry.data_centre == self.own.data_centre)
            .filter(|entry| entry.phase == MemberPhase::Live && entry.host < self.own.host)
            .count()
    }
}
