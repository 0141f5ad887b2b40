//! The engine directory: the registry, corrected for outages of its store.
//!
//! Engines renew the leases on their registry entries, so the entries of running
//! engines expire together during an outage of the store. The directory keeps
//! the entries from before the outage until the engines have had time to
//! register again, and removes only those that are still missing then.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::retired_engines::RetiredEngines;
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
/// Copies of the registry come from the store, the coordinator and deputies, in any
/// order. One that is older than the entries is ignored.
#[derive(Debug, Default)]
pub struct EngineDirectory {
    entries: HashMap<EndpointId, Arc<EngineEntry>>,
    stamp: StoreStamp,
    /// Entries that were known before an outage and are not registered now, each with the
    /// time from which its engine may register again.
    missing: HashMap<EndpointId, (Duration, Arc<EngineEntry>)>,
    /// Engines that the store may list as ready again in its next era.
    retired: RetiredEngines,
    /// Whether a call to the store has failed since its last answer.
    has_failed: bool,
    /// Time of the first answer after an outage.
    settling_since: Option<Duration>,
    /// Time of the first copy of the present era, if a former one is known.
    era_since: Option<Duration>,
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
        let gap = stamp.as_of.saturating_sub(self.stamp.as_of);
        let limit = if self.has_failed { OUTAGE_THRESHOLD } else { UNSEEN_OUTAGE_THRESHOLD };
        let (is_first, era) = (self.stamp == StoreStamp::default(), self.stamp.position.era);
        if !self.advance(now, stamp) {
            return false;
        }
        if !is_first && gap > limit {
            self.settling_since = Some(now);
            self.await_missing(now);
        }
        let may_have_expired = self.is_settling(now);
        self.replace(now, listed, stamp.position.era != era, may_have_expired, true);
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

    /// Replaces the entries by a list of the coordinator or a deputy, received at `now`,
    /// and returns whether it was used.
    ///
    /// The list includes entries that the other host kept because of an outage. It may
    /// know less than this one of what a store has lost.
    pub fn update_from_coordinator(
        &mut self,
        now: Duration,
        stamp: StoreStamp,
        listed: impl IntoIterator<Item: Into<Arc<EngineEntry>>>,
    ) -> bool {
        let era = self.stamp.position.era;
        if !self.advance(now, stamp) {
            return false;
        }
        self.settling_since = None;
        let is_new_era = stamp.position.era != era;
        self.replace(now, listed, is_new_era, is_new_era, false);
        true
    }

    /// Takes over the stamp of a copy if it may replace the entries, and returns whether
    /// it may.
    fn advance(&mut self, now: Duration, stamp: StoreStamp) -> bool {
        let is_first = self.stamp == StoreStamp::default();
        if !is_first && !stamp.replaces(&self.stamp) {
            return false;
        }
        let (era, known) = (stamp.position.era, self.stamp.position.era);
        if era != known {
            self.stamp = stamp;
            let is_later = known.is_some() && era > known;
            if !is_first {
                self.era_since = Some(now);
                self.retired.record_new_era(now, is_later);
            }
            if is_later {
                self.await_missing(now);
            }
        }
        self.record_unchanged(stamp);
        true
    }

    /// Allows the engines of all missing entries whose time is not over the whole time to
    /// register again.
    fn await_missing(&mut self, now: Duration) {
        self.missing.retain(|_, (since, entry)| {
            let is_awaited = is_recent(now, *since);
            if !is_awaited {
                self.retired.record_removed(now, entry);
            }
            *since = now;
            is_awaited
        });
    }

    /// Replaces the entries. `is_new_era` is whether the list is the first one of an era,
    /// `may_have_expired` whether entries that are not listed any more may have been lost
    /// with an outage, and `is_own` whether this host has read the list from the store.
    fn replace(
        &mut self,
        now: Duration,
        listed: impl IntoIterator<Item: Into<Arc<EngineEntry>>>,
        is_new_era: bool,
        may_have_expired: bool,
        is_own: bool,
    ) {
        // An entry that has not changed stays the same value, which is fast to compare.
        let listed = listed.into_iter().map(|entry| {
            let entry: Arc<EngineEntry> = entry.into();
            let known = self.entries.get(&entry.id).filter(|known| **known == entry);
            (entry.id.clone(), known.cloned().unwrap_or(entry))
        });
        let listed: HashMap<EndpointId, Arc<EngineEntry>> = listed.collect();
        let could_change = self.change_count().is_none();
        if could_change || listed != self.entries {
            self.change_count += 1;
        }
        let previous = std::mem::replace(&mut self.entries, listed);
        let is_kept = may_have_expired && self.is_settling(now);
        let gone = previous.into_values().filter(|entry| !is_listed(&self.entries, entry));
        for entry in gone {
            if let Some(former) = self.entries.get(&entry.id) {
                self.retired.record_leaving(now, former);
            }
            if is_kept && !self.retired.contains(&entry) {
                self.missing.insert(entry.id.clone(), (now, entry));
            } else if !is_new_era {
                self.retired.record_removed(now, &entry);
            }
        }
        let is_settling = self.is_settling(now);
        self.missing.retain(|_, (since, entry)| {
            if is_listed(&self.entries, entry) {
                return false;
            }
            let is_awaited = is_settling && is_recent(now, *since);
            if !is_awaited {
                self.retired.record_removed(now, entry);
            }
            is_awaited
        });
        self.retired.record_listed(now, self.stamp.as_of, self.entries.values(), is_own);
    }

    /// Records that the entries were confirmed to be current up to `stamp`, unless it is
    /// of another era.
    pub fn record_unchanged(&mut self, stamp: StoreStamp) {
        if stamp.position.era != self.stamp.position.era {
            return;
        }
        let revision = &mut self.stamp.position.revision;
        *revision = stamp.position.revision.max(*revision);
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
        let depends_on_time = !self.missing.is_empty() || self.retired.holds_engines();
        (!depends_on_time).then_some(self.change_count)
    }

    /// Returns up to when the entries contain all changes.
    pub fn stamp(&self) -> StoreStamp {
        self.stamp
    }

    /// Iterates over the registered engines and, shortly after an outage, those
    /// whose entries may have expired because of it.
    ///
    /// An engine that had left service in the former era of the store is draining.
    pub fn engines(&self, now: Duration) -> impl Iterator<Item = &Arc<EngineEntry>> {
        let settling = self.is_settling(now);
        let is_awaited = move |since: Duration| settling && is_recent(now, since);
        let missing = self.missing.values().filter(move |(since, _)| is_awaited(*since));
        // What is listed under the identifier of a missing entry is a former instance, which
        // has ended, whether the later one is still awaited or not.
        let listed = self.entries.iter().filter(|(id, _)| !self.missing.contains_key(*id));
        let listed = listed
            .map(move |(id, entry)| self.retired.find_held(self.stamp.as_of, id).unwrap_or(entry));
        listed.chain(missing.map(|(_, entry)| entry))
    }

    /// Returns whether entries may still be missing because of a recent outage or of a
    /// new era of the store.
    pub fn is_settling(&self, now: Duration) -> bool {
        let since = self.settling_since.max(self.era_since);
        since.is_some_and(|since| is_recent(now, since))
    }
}

/// Returns whether engines may still register again after an outage at `since`.
fn is_recent(now: Duration, since: Duration) -> bool {
    now.saturating_sub(since) < REREGISTRATION_TIME
}

/// Returns whether a copy lists an engine, or a later instance of it.
fn is_listed(listed: &HashMap<EndpointId, Arc<EngineEntry>>, entry: &EngineEntry) -> bool {
    listed.get(&entry.id).is_some_and(|listed| listed.started_ms >= entry.started_ms)
}
