//! The engine directory: the registry, corrected for outages of its store.
//!
//! Engines renew the leases on their registry entries, so the entries of running
//! engines expire together during an outage of the store. The directory keeps
//! the entries from before the outage until the engines have had time to
//! register again, and removes only those that are still missing then.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::store_order::StoreStamp;
use crate::gateway::registry::EngineEntry;
use crate::ids::EndpointId;

/// Time without an answer from the store, with failed calls, after which entries may
/// have expired.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Time without an answer from the store after which entries may have expired
/// although no call failed. A host that follows the coordinator makes none.
pub const UNSEEN_OUTAGE_THRESHOLD: Duration = Duration::from_millis(3_000);
/// Time allowed for running engines to register again after an outage. Engines
/// are guaranteed to do so within about two seconds; the rest covers the delay of
/// a watch.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_400);

/// The engines that may receive requests and orders.
///
/// Copies of the registry come from the store and from the coordinator, in any
/// order. One that is older than the entries is ignored.
#[derive(Debug, Default)]
pub struct EngineDirectory {
    entries: HashMap<EndpointId, Arc<EngineEntry>>,
    stamp: StoreStamp,
    /// Entries that were known before an outage and are not registered now.
    missing: HashMap<EndpointId, Arc<EngineEntry>>,
    /// Whether a call to the store has failed since its last answer.
    has_failed: bool,
    /// Time of the first answer after an outage.
    settling_since: Option<Duration>,
    /// Number of updates that changed the entries.
    change_count: u64,
}

impl EngineDirectory {
    /// Replaces the entries by a list that this host read from the store, received
    /// at `now`, and returns whether it was used.
    pub fn update_from_store(
        &mut self,
        now: Duration,
        stamp: StoreStamp,
        listed: Vec<EngineEntry>,
    ) -> bool {
        if stamp.position.revision < self.stamp.position.revision {
            return false;
        }
        let gap = stamp.as_of.saturating_sub(self.stamp.as_of);
        let limit = if self.has_failed { OUTAGE_THRESHOLD } else { UNSEEN_OUTAGE_THRESHOLD };
        let is_first = self.stamp == StoreStamp::default();
        if !is_first && gap > limit {
            self.settling_since = Some(now);
        }
        let may_have_expired = self.is_settling(now);
        let previous = self.replace(stamp, listed);
        if may_have_expired {
            self.missing.extend(previous);
        }
        let registered = &self.entries;
        let missing = self.missing.len();
        self.missing.retain(|id, _| may_have_expired && !registered.contains_key(id));
        if self.missing.len() != missing {
            self.change_count += 1;
        }
        true
    }

    /// Removes engines whose entries exist and name no engine to use, so that they
    /// have not expired in an outage.
    pub fn drop_missing(&mut self, unusable: &[EndpointId]) {
        unusable.iter().for_each(|id| {
            self.missing.remove(id);
        });
        self.change_count += 1;
    }

    /// Replaces the entries by a list of the coordinator and returns whether it was
    /// used.
    ///
    /// The list includes entries that the coordinator kept because of an outage.
    pub fn update_from_coordinator(
        &mut self,
        stamp: StoreStamp,
        listed: impl IntoIterator<Item: Into<Arc<EngineEntry>>>,
    ) -> bool {
        if stamp.position.revision < self.stamp.position.revision {
            return false;
        }
        self.replace(stamp, listed);
        if !self.missing.is_empty() {
            self.missing.clear();
            self.change_count += 1;
        }
        self.settling_since = None;
        true
    }

    /// Replaces the entries and returns the previous ones.
    fn replace(
        &mut self,
        stamp: StoreStamp,
        listed: impl IntoIterator<Item: Into<Arc<EngineEntry>>>,
    ) -> HashMap<EndpointId, Arc<EngineEntry>> {
        self.record_unchanged(stamp);
        // An entry that has not changed stays the same value, which is fast to compare.
        let listed = listed.into_iter().map(|entry| {
            let entry: Arc<EngineEntry> = entry.into();
            let known = self.entries.get(&entry.id).filter(|known| **known == entry);
            (entry.id.clone(), known.cloned().unwrap_or(entry))
        });
        let listed: HashMap<EndpointId, Arc<EngineEntry>> = listed.collect();
        if listed != self.entries {
            self.change_count += 1;
        }
        std::mem::replace(&mut self.entries, listed)
    }

    /// Records that the entries were confirmed to be current up to `stamp`.
    pub fn record_unchanged(&mut self, stamp: StoreStamp) {
        if stamp.position.revision >= self.stamp.position.revision {
            self.stamp.position = stamp.position;
        }
        self.stamp.as_of = self.stamp.as_of.max(stamp.as_of);
        self.has_failed = false;
    }

    /// Records that the store could not be reached.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Returns a number that changes with the engines, or `None` while they also depend
    /// on the time.
    pub fn change_count(&self) -> Option<u64> {
        self.missing.is_empty().then_some(self.change_count)
    }

    /// Returns up to when the entries contain all changes.
    pub fn stamp(&self) -> StoreStamp {
        self.stamp
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
