//! Which hosts are there: heartbeats spread by gossip.
//!
//! Each host raises its own counter and sends a bounded digest to a few random
//! members. A member is heard from when its counter rises, whoever brought the
//! news (Van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection
//! Service", 1998). The platform's list only seeds addresses.
//!
//! Being in contact is a stronger claim: a heartbeat is answered at once with
//! its counter, which dates the answering host's knowledge by the clock of the
//! host that sent it. News that waited in a socket while the process was paused
//! does not count. Echoes that only came with later heartbeats were tried
//! first: at 20 hosts their age alone cost a host its contact in an outage.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, HostId, Incarnation, Revision};

/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Members that each heartbeat is sent to.
pub const HEARTBEAT_FANOUT: usize = 3;
/// Entries of other members that one heartbeat carries.
pub const DIGEST_ENTRIES: usize = 9;
/// Silence after which a member counts as suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(3_000);
/// Silence after which contact no longer vouches for withdrawals.
pub const CONTACT_WINDOW: Duration = Duration::from_millis(4_000);
/// Own heartbeats whose times are kept for echoes.
pub const REMEMBERED_BEATS: usize = 64;
/// Silence after which a member is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Where a host stands in its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberPhase {
    /// It has not yet learnt the configuration in force.
    Joining,
    /// It serves callers.
    Live,
    /// It drains before a planned stop.
    Leaving,
    /// It has stopped.
    Left,
}

/// What a host says of itself, and others pass on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberEntry {
    /// Name of the host.
    pub host: HostId,
    /// Process life that the entry speaks of.
    pub incarnation: Incarnation,
    /// Heartbeat counter within that life.
    pub counter: u64,
    /// IP address and port for other hosts.
    pub address: Arc<str>,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Phase of its life.
    pub phase: MemberPhase,
    /// Configuration in force on it.
    pub revision: Revision,
    /// Name under which the ledger of shares lists it.
    pub share_key: Arc<str>,
}

/// How far a host's knowledge of configuration and keys can be relied on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KnowledgeStatus {
    /// It has just started and knows what others told it.
    Joining,
    /// It was without news from platform and members, and is not yet back.
    Lapsed,
    /// It has had news all along.
    Current,
}

#[derive(Clone, Copy, Debug)]
struct MemberContact {
    at: Duration,
    standing: KnowledgeStatus,
}

/// A known member and when news of it last came.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Latest entry.
    pub entry: MemberEntry,
    /// Local time of the last rise of its counter, or of the hint.
    pub heard_at: Duration,
    /// Whether only the platform's list speaks of it.
    pub hinted: bool,
}

impl MemberRecord {
    /// Returns whether the member may know what this host does not: it has
    /// joined and was heard from.
    fn is_informed(&self) -> bool {
        !self.hinted && matches!(self.entry.phase, MemberPhase::Live | MemberPhase::Leaving)
    }
}

/// The members that one host knows.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberEntry,
    others: BTreeMap<HostId, MemberRecord>,
    contacts: BTreeMap<HostId, MemberContact>,
    /// Whether a member was forgotten that may know what this host does not.
    forgotten: bool,
    beats: VecDeque<(u64, Duration)>,
    beat_at: Duration,
}

/// One heartbeat to send.
#[derive(Clone, Debug)]
pub struct OutgoingHeartbeat {
    /// The receiver.
    pub to: HostId,
    /// This host's entry and the freshest of the others.
    pub entries: Vec<MemberEntry>,
}

impl MemberTable {
    /// Creates a table that knows only its own host.
    pub fn new(own: MemberEntry) -> MemberTable {
        MemberTable {
            own,
            others: BTreeMap::new(),
            contacts: BTreeMap::new(),
            forgotten: false,
            beats: VecDeque::new(),
            beat_at: Duration::ZERO,
        }
    }

    /// Returns the entry of this host.
    pub fn own(&self) -> &MemberEntry {
        &self.own
    }

    /// Sets what changes in this host's entry.
    pub fn update_own(&mut self, phase: MemberPhase, revision: Revision, share_key: &Arc<str>) {
        self.own.phase = phase;
        self.own.revision = revision;
        self.own.share_key = share_key.clone();
    }

    /// Takes in an entry heard from anyone, if it is newer than the known one.
    ///
    /// Returns whether the member was unknown before.
    pub fn merge_entry(&mut self, now: Duration, entry: MemberEntry) -> bool {
        if entry.host == self.own.host {
            return false;
        }
        match self.others.get_mut(&entry.host) {
            Some(record) => {
                let known = (record.entry.incarnation, record.entry.counter);
                if record.hinted || (entry.incarnation, entry.counter) > known {
                    *record = MemberRecord { entry, heard_at: now, hinted: false };
                }
                false
            }
            None => {
                let record = MemberRecord { entry, heard_at: now, hinted: false };
                self.others.insert(record.entry.host.clone(), record);
                true
            }
        }
    }

    /// Adds an address from the platform's list as a hint, not as news.
    pub fn add_seed(&mut self, now: Duration, entry: MemberEntry) {
        if entry.host != self.own.host && !self.others.contains_key(&entry.host) {
            let record = MemberRecord { entry, heard_at: now, hinted: true };
            self.others.insert(record.entry.host.clone(), record);
        }
    }

    /// Raises the counter when a heartbeat is due and forgets silent members.
    ///
    /// Returns the heartbeats to send; none if none is due.
    pub fn poll_heartbeats(
        &mut self,
        now: Duration,
        source: &mut ChaCha8Rng,
    ) -> Vec<OutgoingHeartbeat> {
        if now < self.beat_at {
            return Vec::new();
        }
        self.beat_at = now + HEARTBEAT_INTERVAL;
        self.own.counter += 1;
        self.beats.push_back((self.own.counter, now));
        if self.beats.len() > REMEMBERED_BEATS {
            self.beats.pop_front();
        }
        let silent: Vec<MemberRecord> = self
            .others
            .extract_if(.., |_, record| now.saturating_sub(record.heard_at) >= FORGET_AFTER)
            .map(|(_, record)| record)
            .collect();
        self.forgotten |= silent.iter().any(MemberRecord::is_informed);
        self.contacts.retain(|host, _| self.others.contains_key(host));
        let targets = self
            .known_members()
            .map(|record| record.entry.host.clone())
            .choose_multiple(source, HEARTBEAT_FANOUT);
        let beat = |to: HostId| OutgoingHeartbeat { entries: self.digest(&to), to };
        targets.into_iter().map(beat).collect()
    }

    /// Returns the entries for a heartbeat to a host.
    pub fn digest(&self, to: &HostId) -> Vec<MemberEntry> {
        let mut records: Vec<&MemberRecord> =
            self.others.values().filter(|record| record.entry.host != *to).collect();
        records.sort_by_key(|record| std::cmp::Reverse(record.heard_at));
        std::iter::once(&self.own)
            .chain(records.into_iter().take(DIGEST_ENTRIES).map(|record| &record.entry))
            .cloned()
            .collect()
    }

    /// Takes in that a host answered a heartbeat and knew nothing of
    /// configuration and keys that this host does not.
    ///
    /// A host that joins knows nothing of its own, so its answer is no contact.
    pub fn note_contact(
        &mut self,
        from: &HostId,
        incarnation: Incarnation,
        echo: u64,
        standing: KnowledgeStatus,
    ) {
        if incarnation != self.own.incarnation || standing == KnowledgeStatus::Joining {
            return;
        }
        let sent = self.beats.iter().find(|(counter, _)| *counter == echo);
        if let Some((_, sent_at)) = sent {
            self.forgotten = false;
            let contact = MemberContact { at: *sent_at, standing };
            let known = self.contacts.entry(from.clone()).or_insert(contact);
            if *sent_at >= known.at {
                *known = contact;
            }
        }
    }

    /// Returns the address of a member.
    pub fn address(&self, host: &str) -> Option<Arc<str>> {
        self.others.get(host).map(|record| record.entry.address.clone())
    }

    /// Iterates over the other members that are heard from and not stopped.
    pub fn live_members(&self, now: Duration) -> impl Iterator<Item = &MemberEntry> {
        self.others
            .values()
            .filter(move |record| {
                now.saturating_sub(record.heard_at) < SUSPECT_AFTER
                    && !record.hinted
                    && record.entry.phase != MemberPhase::Left
            })
            .map(|record| &record.entry)
    }

    /// Iterates over all other members that are not forgotten or stopped.
    pub fn known_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.others.values().filter(|record| record.entry.phase != MemberPhase::Left)
    }

    /// Returns whether at least half of the members that have joined were in
    /// contact with this host lately.
    ///
    /// A host that never heard from another member has nobody to hear from;
    /// members that only the platform's list names do not count.
    pub fn has_quorum(&self, now: Duration) -> bool {
        let (informed, fresh) = self.count_contacts(now, |_| true);
        if informed == 0 { !self.forgotten } else { fresh * 2 >= informed }
    }

    /// Returns whether a host that joins has contact with at least half of the
    /// members that have joined, all of them with news of their own.
    pub fn has_current_quorum(&self, now: Duration) -> bool {
        let is_current = |contact: &MemberContact| contact.standing == KnowledgeStatus::Current;
        let (informed, fresh) = self.count_contacts(now, is_current);
        informed > 0 && fresh * 2 >= informed
    }

    /// Counts the members that have joined, and those in contact lately.
    fn count_contacts(
        &self,
        now: Duration,
        counts: impl Fn(&MemberContact) -> bool,
    ) -> (usize, usize) {
        let is_fresh = |record: &&MemberRecord| {
            let contact = self.contacts.get(&record.entry.host);
            let contact = contact.filter(|contact| counts(contact));
            contact.is_some_and(|contact| now.saturating_sub(contact.at) < CONTACT_WINDOW)
        };
        let informed: Vec<&MemberRecord> =
            self.others.values().filter(|record| record.is_informed()).collect();
        (informed.len(), informed.iter().filter(|record| is_fresh(record)).count())
    }

    /// Returns this host's place among all live hosts, by name.
    pub fn rank_in_fleet(&self, now: Duration) -> usize {
        self.live_members(now)
            .filter(|entry| entry.phase == MemberPhase::Live && entry.host < self.own.host)
            .count()
    }

    /// Returns this host's rank among the live members of its data centre.
    pub fn rank_in_data_centre(&self, now: Duration) -> usize {
        self.live_members(now)
            .filter(|entry| entry.data_centre == self.own.data_centre)
            .filter(|entry| entry.phase == MemberPhase::Live && entry.host < self.own.host)
            .count()
    }
}
