//! The evacuations that one host knows: the data centres to whose engines nothing is sent.
//!
//! An operator declares an evacuation in the store and removes it again. Copies of all
//! evacuations come from the store, the coordinator and deputies, in any order; an older
//! one never undoes a newer one. While the store cannot be reached, the last copy stays in
//! force. A store that was restored from a backup may have lost an evacuation that is
//! written again soon, so one that is missing there stays in force for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::store_order::{StorePosition, StoreStamp};
use crate::ids::{DataCentre, ObjectVersion};

/// Time for which an evacuation that a restored store does not list stays in force. The
/// operator's entries are written again within about two seconds; the rest covers the
/// delay of a watch.
pub const EVACUATION_SETTLE_TIME: Duration = Duration::from_millis(2_400);

/// Share of the bound on an evacuation for which a watch waits for a change.
const WATCH_SHARE: f64 = 0.2;
/// Age of the coordinator's copy, as a share of the bound, above which a host reads the
/// store itself. It exceeds the wait of a watch; the rest of the bound is left for the
/// failure of calls.
const STORE_READ_SHARE: f64 = 0.3;
/// Age of its copy, as a share of the bound, up to which a host is ready.
const READY_SHARE: f64 = 0.75;

/// Returns the time for which a watch of the evacuations waits for a change, under a bound
/// on the time until an evacuation is obeyed.
pub fn evacuation_watch_wait(bound: Duration) -> Duration {
    bound.mul_f64(WATCH_SHARE)
}

/// Returns whether a host must read the evacuations from the store itself.
///
/// `age` is the age of the coordinator's copy, or `None` if it has none.
pub fn needs_evacuation_read(is_coordinator: bool, bound: Duration, age: Option<Duration>) -> bool {
    is_coordinator || age.is_none_or(|age| age > bound.mul_f64(STORE_READ_SHARE))
}

/// Returns whether a host whose evacuations were confirmed to be current `age` ago is ready.
pub fn is_evacuation_copy_ready(bound: Duration, age: Duration) -> bool {
    age <= bound.mul_f64(READY_SHARE)
}

/// One evacuation, as the store lists it and as hosts tell it each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeclaredEvacuation {
    /// Evacuated data centre.
    pub data_centre: DataCentre,
    /// Revision of the store since which the evacuation holds.
    pub revision: ObjectVersion,
    /// Whether the store does not list the evacuation, and a host keeps it because the
    /// store may have lost it.
    pub is_awaited: bool,
}

/// Age and position of a host's copy of the evacuations.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationAge {
    /// Time since the copy was last confirmed to be current.
    pub age: Duration,
    /// Position of the store up to which the copy contains all changes.
    pub position: StorePosition,
}

/// A change of the evacuations, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationEvent {
    /// Data centre of the evacuation.
    pub data_centre: DataCentre,
    /// Revision of the store since which the evacuation holds or held.
    pub revision: ObjectVersion,
    /// Whether the evacuation is in force now; otherwise it has ended.
    pub is_in_force: bool,
}

/// The data centres to which nothing may be sent, as requests and placement see them.
///
/// The default is that of a deployment without evacuations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationView {
    /// Whether this host has not heard of the evacuations yet, so that each data centre may
    /// be evacuated.
    pub is_unknown: bool,
    evacuated: BTreeSet<DataCentre>,
    returned: BTreeMap<DataCentre, Duration>,
}

impl EvacuationView {
    /// Creates the view of a host that has not heard of the evacuations yet.
    pub fn unknown() -> EvacuationView {
        EvacuationView { is_unknown: true, ..EvacuationView::default() }
    }

    /// Returns whether requests, orders and questions may be sent to the engines of a data
    /// centre.
    pub fn allows(&self, data_centre: &DataCentre) -> bool {
        !self.is_unknown && !self.evacuated.contains(data_centre)
    }

    /// Returns the number of evacuated data centres.
    pub fn evacuated_count(&self) -> usize {
        self.evacuated.len()
    }

    /// Returns when the last evacuation of a data centre ended, in time since boot as this
    /// host heard of it. `None` if it is evacuated, or never was.
    ///
    /// Its engines may have become cold shortly before.
    pub fn returned_at(&self, data_centre: &DataCentre) -> Option<Duration> {
        self.returned.get(data_centre).copied()
    }
}

/// An evacuation in force.
#[derive(Clone, Debug)]
struct HeldEvacuation {
    revision: ObjectVersion,
    /// Time since which the store, begun anew, does not list it.
    awaited_since: Option<Duration>,
}

impl HeldEvacuation {
    fn is_expired(&self, now: Duration) -> bool {
        self.awaited_since.is_some_and(|since| now >= since + EVACUATION_SETTLE_TIME)
    }
}

/// The evacuations that one host knows.
#[derive(Debug, Default)]
pub struct EvacuationBook {
    /// Stamp of the copy in force; `None` before the first one.
    stamp: Option<StoreStamp>,
    /// Whether a copy has told all evacuations.
    is_known: bool,
    /// Time from which an answer of the store proves that there is no other evacuation.
    conclusive_from: Option<Duration>,
    in_force: BTreeMap<DataCentre, HeldEvacuation>,
    returned: BTreeMap<DataCentre, Duration>,
    /// Number of changes of the copy that other hosts get.
    change_count: u64,
    events: Vec<EvacuationEvent>,
}

impl EvacuationBook {
    /// Records that the store may have begun anew just before this host started, so that it
    /// may not list all evacuations yet.
    pub fn record_unsettled_start(&mut self, now: Duration) {
        if !self.is_known {
            self.conclusive_from.get_or_insert(now + EVACUATION_SETTLE_TIME);
        }
    }

    /// Applies a list that this host read from the store, received at `now`, and returns
    /// whether it was used.
    ///
    /// `may_conclude` is whether this host knows by now if the store has begun anew.
    pub fn update_from_store(
        &mut self,
        now: Duration,
        stamp: StoreStamp,
        listed: &[DeclaredEvacuation],
        may_conclude: bool,
    ) -> bool {
        let is_settled = self.conclusive_from.is_none_or(|from| stamp.as_of >= from);
        self.update(now, stamp, listed, may_conclude && is_settled)
    }

    /// Applies the list of the coordinator or of a deputy, which have heard of all
    /// evacuations, and returns whether it was used.
    pub fn update_from_host(
        &mut self,
        now: Duration,
        stamp: StoreStamp,
        listed: &[DeclaredEvacuation],
    ) -> bool {
        self.update(now, stamp, listed, true)
    }

    fn update(
        &mut self,
        now: Duration,
        stamp: StoreStamp,
        listed: &[DeclaredEvacuation],
        is_conclusive: bool,
    ) -> bool {
        self.end_expired(now);
        if self.stamp.is_some_and(|known| !stamp.replaces(&known)) {
            return false;
        }
        let is_new_era = self.stamp.is_some_and(|known| known.position.era != stamp.position.era);
        let known_as_of = self.stamp.filter(|_| !is_new_era).map(|known| known.as_of);
        self.stamp =
            Some(StoreStamp { as_of: known_as_of.unwrap_or_default().max(stamp.as_of), ..stamp });
        self.is_known |= is_conclusive;
        let names: BTreeSet<&DataCentre> = listed.iter().map(|entry| &entry.data_centre).collect();
        let is_missing = |centre: &DataCentre| !names.contains(centre);
        if is_new_era {
            for (_, held) in self.in_force.iter_mut().filter(|(centre, _)| is_missing(centre)) {
                held.awaited_since = Some(now);
                self.change_count += 1;
            }
        } else {
            let is_ended = |centre: &DataCentre, held: &HeldEvacuation| {
                is_missing(centre) && held.awaited_since.is_none()
            };
            self.end_evacuations(now, is_ended);
        }
        listed.iter().for_each(|entry| self.put_in_force(now, entry));
        true
    }

    /// Puts a listed evacuation into force, or takes over what is new about it.
    fn put_in_force(&mut self, now: Duration, entry: &DeclaredEvacuation) {
        let (centre, revision) = (&entry.data_centre, entry.revision);
        let is_recent = |at: &Duration| now < *at + EVACUATION_SETTLE_TIME;
        if entry.is_awaited && self.returned.get(centre).is_some_and(is_recent) {
            return;
        }
        let known = self.in_force.get(centre);
        let awaited_since = match known {
            // Another host may have begun to wait later than this one.
            Some(known) if entry.is_awaited => known.awaited_since.or(Some(now)),
            _ => entry.is_awaited.then_some(now),
        };
        let is_same = known.is_some_and(|known| known.revision == revision);
        if is_same && known.is_some_and(|known| known.awaited_since == awaited_since) {
            return;
        }
        self.change_count += 1;
        if !is_same {
            let data_centre = centre.clone();
            self.events.push(EvacuationEvent { data_centre, revision, is_in_force: true });
        }
        self.returned.remove(centre);
        self.in_force.insert(centre.clone(), HeldEvacuation { revision, awaited_since });
    }

    /// Ends the evacuations that the store has not listed again in time.
    fn end_expired(&mut self, now: Duration) {
        self.end_evacuations(now, |_, held| held.is_expired(now));
    }

    fn end_evacuations(
        &mut self,
        now: Duration,
        is_ended: impl Fn(&DataCentre, &HeldEvacuation) -> bool,
    ) {
        let ended = self.in_force.extract_if(.., |centre, held| is_ended(centre, held));
        for (data_centre, held) in ended {
            self.change_count += 1;
            self.returned.insert(data_centre.clone(), now);
            let revision = held.revision;
            self.events.push(EvacuationEvent { data_centre, revision, is_in_force: false });
        }
    }

    /// Returns what may be sent where at `now`.
    pub fn view(&mut self, now: Duration) -> EvacuationView {
        self.end_expired(now);
        EvacuationView {
            is_unknown: !self.is_known,
            evacuated: self.in_force.keys().cloned().collect(),
            returned: self.returned.clone(),
        }
    }

    /// Returns the copy that other hosts get, with its age and a number that changes with
    /// it. `None` if this host has not heard of the evacuations yet.
    pub fn share(&mut self, now: Duration) -> Option<SharedEvacuations> {
        self.end_expired(now);
        let stamp = self.stamp.filter(|_| self.is_known)?;
        let declare = |(centre, held): (&DataCentre, &HeldEvacuation)| DeclaredEvacuation {
            data_centre: centre.clone(),
            revision: held.revision,
            is_awaited: held.awaited_since.is_some(),
        };
        Some(SharedEvacuations {
            age: EvacuationAge { age: now.saturating_sub(stamp.as_of), position: stamp.position },
            change_count: self.change_count,
            evacuations: self.in_force.iter().map(declare).collect(),
        })
    }

    /// Returns up to when the evacuations contain all changes, or `None` if this host has
    /// not heard of them yet.
    pub fn known_until(&self) -> Option<Duration> {
        self.stamp.filter(|_| self.is_known).map(|stamp| stamp.as_of)
    }

    /// Returns what has changed since the last call.
    pub fn take_events(&mut self) -> Vec<EvacuationEvent> {
        std::mem::take(&mut self.events)
    }
}

/// A copy of the evacuations for another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedEvacuations {
    /// Age and position of the copy.
    pub age: EvacuationAge,
    /// Number of changes of the copy so far.
    pub change_count: u64,
    /// All evacuations in force.
    pub evacuations: Vec<DeclaredEvacuation>,
}
