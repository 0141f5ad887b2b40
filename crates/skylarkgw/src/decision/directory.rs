//! The engine directory: the registry, corrected for outages of its store.
//!
//! Engines renew their registry entries, so the entries of running engines expire
//! during an outage of the store. The directory keeps the entries from before the
//! outage until the engines have had time to register again, and removes only those
//! that are still missing then.
//!
//! A host that is suspended or cut off from the store cannot tell this from an outage.
//! The gap between two of its reads counts as an outage only if entries could expire in
//! it, and no other host takes back an engine that it has seen removed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::retired_engines::RetiredEngines;
use crate::decision::store_order::StoreStamp;
use crate::gateway::registry::EngineEntry;
use crate::ids::EndpointId;

/// Interval at which engines renew their entries, if the settings state none.
pub const DEFAULT_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);
/// Number of renewal intervals after which an entry that is not renewed expires.
const EXPIRY_INTERVALS: u32 = 3;
/// Reciprocal of the share of an interval by which an engine may renew its entry early
/// or late.
const RENEWAL_JITTER: u32 = 4;
/// Time without an answer from the store, with failed calls, after which some renewals
/// may have failed.
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
#[derive(Debug)]
pub struct EngineDirectory {
    /// Shortest outage in which an entry can expire.
    shortest_expiry: Duration,
    /// Interval at which engines renew their entries.
    renewal_interval: Duration,
    entries: HashMap<EndpointId, Arc<EngineEntry>>,
    stamp: StoreStamp,
    /// Entries that were known before an outage and are not registered now, each with the
    /// time from which its engine may register again. They are marked as awaited.
    missing: HashMap<EndpointId, (Duration, Arc<EngineEntry>)>,
    /// Engines that the store may list as ready again in its next era.
    retired: RetiredEngines,
    /// Whether a call to the store has failed since its last answer.
    has_failed: bool,
    /// Start and end of the last time in which renewals may have failed.
    last_gap: Option<(Duration, Duration)>,
    /// Time of the first answer after an outage.
    settling_since: Option<Duration>,
    /// Time of the first copy of the present era, if a former one is known.
    era_since: Option<Duration>,
    /// Number of updates that changed the entries.
    change_count: u64,
}

impl Default for EngineDirectory {
    fn default() -> EngineDirectory {
        EngineDirectory::new(DEFAULT_RENEWAL_INTERVAL)
    }
}

impl EngineDirectory {
    /// Creates a directory of engines that renew their entries at an interval.
    pub fn new(renewal_interval: Duration) -> EngineDirectory {
        let jitter = renewal_interval / RENEWAL_JITTER;
        EngineDirectory {
            // An outage may begin when the next renewal is due.
            shortest_expiry: renewal_interval * (EXPIRY_INTERVALS - 1) - jitter,
            renewal_interval,
            entries: HashMap::new(),
            stamp: StoreStamp::default(),
            missing: HashMap::new(),
            retired: RetiredEngines::default(),
            has_failed: false,
            last_gap: None,
            settling_since: None,
            era_since: None,
            change_count: 0,
        }
    }

    /// Replaces the entries by a list that this host read from the store, received
    /// at `now`, and returns whether it was used.
    pub fn update_from_store(
        &mut self,
        now: Duration,
        stamp: StoreStamp,
        listed: Vec<EngineEntry>,
    ) -> bool {
        let (known, has_failed) = (self.stamp, self.has_failed);
        let is_first = known == StoreStamp::default();
        if !self.advance(now, stamp) {
            return false;
        }
        if !is_first && self.ends_outage(known.as_of, stamp.as_of, has_failed) {
            self.settling_since = Some(now);
            self.await_missing(now);
        }
        let copy = CopyOrigin {
            is_new_era: stamp.position.era != known.position.era,
            may_have_expired: self.is_settling(now),
            is_own: true,
            awaited: HashMap::new(),
        };
        self.replace(now, listed, copy);
        true
    }

    /// Returns whether entries may have expired before a read of the store at `end`, after
    /// one at `start`. `has_failed` is whether a call has failed in between.
    fn ends_outage(&mut self, start: Duration, end: Duration, has_failed: bool) -> bool {
        let gap = end.saturating_sub(start);
        if !has_failed {
            return gap > UNSEEN_OUTAGE_THRESHOLD.max(self.shortest_expiry);
        }
        if gap <= OUTAGE_THRESHOLD {
            return false;
        }
        // An engine whose renewal was not due between two gaps misses those of both.
        let former = self
            .last_gap
            .filter(|(_, former_end)| start.saturating_sub(*former_end) < self.renewal_interval);
        let start = former.map_or(start, |(former_start, _)| former_start);
        self.last_gap = Some((start, end));
        end.saturating_sub(start) > self.shortest_expiry
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
    /// The list includes entries that the other host awaits after an outage. It may know
    /// less than this one of what a store has lost, and may take its own loss of the store
    /// for an outage: an awaited engine that this host has seen removed stays removed.
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
        let (awaited, listed): (Vec<_>, Vec<_>) =
            listed.into_iter().map(Into::into).partition(|entry| entry.is_awaited);
        let awaited = awaited.into_iter().filter(|entry| !self.retired.contains(entry));
        let awaited: HashMap<_, _> = awaited.map(|entry| (entry.id.clone(), entry)).collect();
        let since = |id| self.missing.get(id).map_or(now, |(since, _)| *since);
        self.settling_since = awaited.keys().map(since).min();
        let is_new_era = stamp.position.era != era;
        let copy = CopyOrigin { is_new_era, may_have_expired: is_new_era, is_own: false, awaited };
        self.replace(now, listed, copy);
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

    /// Replaces the entries by the registered ones of a copy.
    fn replace(
        &mut self,
        now: Duration,
        listed: impl IntoIterator<Item: Into<Arc<EngineEntry>>>,
        copy: CopyOrigin,
    ) {
        let CopyOrigin { is_new_era, may_have_expired, is_own, awaited } = copy;
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
            if awaited.contains_key(&entry.id) {
                continue;
            }
            if is_kept && !self.retired.contains(&entry) {
                let entry = EngineEntry { is_awaited: true, ..(*entry).clone() };
                self.missing.insert(entry.id.clone(), (now, Arc::new(entry)));
            } else if !is_new_era {
                self.retired.record_removed(now, &entry);
            }
        }
        for (id, entry) in &awaited {
            self.missing.entry(id.clone()).or_insert_with(|| (now, entry.clone()));
        }
        // After an outage, the host that has read the copy decides which engines it awaits.
        let is_settling = self.is_settling(now);
        let is_new_beginning = self.era_since.is_some_and(|since| is_recent(now, since));
        let awaits_all = is_new_beginning || is_own;
        self.missing.retain(|id, (since, entry)| {
            if is_listed(&self.entries, entry) {
                return false;
            }
            let is_expected = awaits_all || awaited.contains_key(id);
            let is_awaited = is_settling && is_expected && is_recent(now, *since);
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

    /// Returns the number of engines that may register again.
    pub fn awaited_count(&self) -> usize {
        self.missing.len()
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

/// Where a copy of the registry comes from, and what may be missing in it.
struct CopyOrigin {
    /// Whether it is the first copy of an era.
    is_new_era: bool,
    /// Whether entries that are not listed any more may have expired in an outage.
    may_have_expired: bool,
    /// Whether this host has read the copy from the store.
    is_own: bool,
    /// Entries that the host which has read the copy awaits after an outage.
    awaited: HashMap<EndpointId, Arc<EngineEntry>>,
}

/// Returns whether engines may still register again after an outage at `since`.
fn is_recent(now: Duration, since: Duration) -> bool {
    now.saturating_sub(since) < REREGISTRATION_TIME
}

/// Returns whether a copy lists an engine, or a later instance of it.
fn is_listed(listed: &HashMap<EndpointId, Arc<EngineEntry>>, entry: &EngineEntry) -> bool {
    listed.get(&entry.id).is_some_and(|listed| listed.started_ms >= entry.started_ms)
}
