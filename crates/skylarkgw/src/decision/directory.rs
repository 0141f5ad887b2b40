//! The engine directory: the registry, corrected for outages of its store.
//!
//! Engines renew the leases on their registry entries, so the entries of running
//! engines expire together during an outage of the store. The directory keeps
//! the entries from before the outage until the engines have had time to
//! register again, and removes only those that are still missing then.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::registry::EngineEntry;
use crate::ids::{EndpointId, ObjectVersion};

/// Time without an answer from the store after which entries may have expired.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Time allowed for running engines to register again after an outage. Engines
/// are guaranteed to do so within about two seconds; the rest covers the delay of
/// a watch.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_400);

/// The engines that may receive requests and orders.
#[derive(Debug, Default)]
pub struct EngineDirectory {
    entries: HashMap<EndpointId, Arc<EngineEntry>>,
    /// Revision of the store up to which the entries contain all changes.
    revision: ObjectVersion,
    /// Entries that were known before an outage and are not registered now.
    missing: HashMap<EndpointId, Arc<EngineEntry>>,
    /// Time of the last answer from the store.
    answered_at: Option<Duration>,
    /// Time of the last failure, or of the first answer after an outage.
    settling_since: Option<Duration>,
}

impl EngineDirectory {
    /// Replaces the registered entries by a list that arrived at `now`.
    ///
    /// The list contains all changes up to `revision` of the store. Lists come from
    /// the store and from the coordinator, in any order; an older one than the
    /// entries is ignored. Returns whether the list was used.
    pub fn update(
        &mut self,
        now: Duration,
        revision: ObjectVersion,
        listed: Vec<EngineEntry>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        let gap = self.answered_at.map(|answered_at| now.saturating_sub(answered_at));
        if gap.is_some_and(|gap| gap > OUTAGE_THRESHOLD) {
            self.settling_since = Some(now);
        }
        self.answered_at = Some(now);
        let listed: HashMap<EndpointId, Arc<EngineEntry>> =
            listed.into_iter().map(|entry| (entry.id.clone(), Arc::new(entry))).collect();
        let may_have_expired = self.is_settling(now);
        for (id, entry) in std::mem::take(&mut self.entries) {
            if may_have_expired && !listed.contains_key(&id) {
                self.missing.insert(id, entry);
            }
        }
        self.missing.retain(|id, _| may_have_expired && !listed.contains_key(id));
        self.entries = listed;
        true
    }

    /// Records that the registry was confirmed to be unchanged up to `revision` of
    /// the store.
    pub fn record_unchanged(&mut self, now: Duration, revision: ObjectVersion) {
        self.answered_at = Some(now);
        self.revision = self.revision.max(revision);
    }

    /// Records that the store could not be reached.
    pub fn record_failure(&mut self, now: Duration) {
        // The next answer may follow before OUTAGE_THRESHOLD has passed and lack
        // entries that expired meanwhile.
        if self.answered_at.is_some() {
            self.settling_since = Some(now);
        }
    }

    /// Returns the revision of the store up to which the entries contain all
    /// changes.
    pub fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// Iterates over the registered engines and, shortly after an outage, those
    /// whose entries may have expired because of it.
    pub fn engines(&self, now: Duration) -> impl Iterator<Item = &Arc<EngineEntry>> {
        let settling = self.is_settling(now);
        self.entries.values().chain(self.missing.values().filter(move |_| settling))
    }

    /// Returns whether entries may still be missing because of a recent outage.
    pub fn is_settling(&self, now: Duration) -> bool {
        self.settling_since.is_some_and(|at| now.saturating_sub(at) < REREGISTRATION_TIME)
    }
}
