//! A map that the coordinator shares with all hosts by sending changes.
//!
//! Every change increases the version of the map. A host reports the version that
//! it has and receives what changed since. A host whose version was issued by
//! another holder of the lease, or precedes the recorded removals, receives the
//! complete map. A large delta is sent in parts, each of which the host reports as its
//! version, so that a part that is lost does not cost the others.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, MapVersion};

/// Maximum number of removals that are recorded.
const MAX_REMOVALS: usize = 256;
/// Maximum number of entries in one part of a delta. With entries of up to 300 bytes, a
/// slow link carries a part well within the time for a reply.
pub const MAX_PART_ENTRIES: usize = 400;

/// Returns the first version that the holder with a fencing token issues.
///
/// The token in the upper bits keeps versions of different holders distinct.
pub fn first_version(token: u64) -> MapVersion {
    MapVersion::from(token) << u64::BITS
}

/// Returns the fencing token of the holder that issued a version.
pub fn version_token(version: MapVersion) -> u64 {
    (version >> u64::BITS) as u64
}

/// Changes of a shared map since a version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct MapDelta<T> {
    /// Version of the map after the changes.
    pub version: MapVersion,
    /// Whether the complete map is sent, of which this is the first part. Entries from
    /// before are dropped.
    pub is_complete: bool,
    /// Whether no further part follows, so that the copy is consistent.
    pub is_last: bool,
    /// Entries that were added or changed.
    pub changed: Vec<(EndpointId, T)>,
    /// Entries that were removed.
    pub removed: Vec<EndpointId>,
}

impl<T> MapDelta<T> {
    /// Applies the changes to a copy of the map.
    pub fn apply_to(self, copy: &mut HashMap<EndpointId, T>) {
        if self.is_complete {
            copy.clear();
        }
        for engine in &self.removed {
            copy.remove(engine);
        }
        copy.extend(self.changed);
    }
}

/// The coordinator's side of a shared map, with one entry for each engine.
#[derive(Debug)]
pub struct SharedMap<T> {
    /// Entries, each with the version in which it last changed.
    entries: HashMap<EndpointId, (MapVersion, T)>,
    version: MapVersion,
    /// Removed entries with the version of their removal, oldest first.
    removals: VecDeque<(MapVersion, EndpointId)>,
    /// Version from which on all removals are recorded.
    recorded_from: MapVersion,
}

impl<T: Clone + PartialEq> SharedMap<T> {
    /// Creates an empty map of the holder with the given fencing token.
    pub fn new(token: u64) -> SharedMap<T> {
        let version = first_version(token);
        SharedMap {
            entries: HashMap::new(),
            version,
            removals: VecDeque::new(),
            recorded_from: version,
        }
    }

    /// Replaces all entries, and returns the keys that were removed.
    ///
    /// The version increases if anything changes.
    pub fn replace(&mut self, entries: Vec<(EndpointId, T)>) -> Vec<EndpointId> {
        let kept: HashSet<EndpointId> = entries.iter().map(|(engine, _)| engine.clone()).collect();
        for (engine, entry) in entries {
            self.set(&engine, entry);
        }
        self.retain(|engine| kept.contains(engine))
    }

    /// Sets the entry of one engine. The version increases if that changes it.
    pub fn set(&mut self, engine: &EndpointId, entry: T) {
        if self.get(engine) != Some(&entry) {
            self.version += 1;
            self.entries.insert(engine.clone(), (self.version, entry));
        }
    }

    /// Removes the entries for which `is_kept` returns false, and returns their keys.
    pub fn retain(&mut self, is_kept: impl Fn(&EndpointId) -> bool) -> Vec<EndpointId> {
        let removed: Vec<EndpointId> =
            self.entries.keys().filter(|engine| !is_kept(engine)).cloned().collect();
        if removed.is_empty() {
            return removed;
        }
        self.version += 1;
        for engine in &removed {
            self.entries.remove(engine);
            self.removals.push_back((self.version, engine.clone()));
        }
        while self.removals.len() > MAX_REMOVALS {
            self.recorded_from = self.removals.pop_front().map_or(self.version, |(at, _)| at);
        }
        removed
    }

    /// Returns the entry of an engine.
    pub fn get(&self, engine: &EndpointId) -> Option<&T> {
        self.entries.get(engine).map(|(_, entry)| entry)
    }

    /// Returns whether the map has an entry for an engine.
    pub fn contains(&self, engine: &EndpointId) -> bool {
        self.entries.contains_key(engine)
    }

    /// Returns the changes since `version`, or `None` if it is the current one.
    pub fn delta_since(&self, version: MapVersion) -> Option<MapDelta<T>> {
        if version == self.version {
            return None;
        }
        let is_recorded = (self.recorded_from..self.version).contains(&version);
        let is_sent = |changed_at: MapVersion| !is_recorded || changed_at > version;
        let entries = self.entries.iter().filter(|(_, (changed_at, _))| is_sent(*changed_at));
        let mut entries: Vec<(MapVersion, &EndpointId, &T)> =
            entries.map(|(engine, (changed_at, entry))| (*changed_at, engine, entry)).collect();
        let is_last = entries.len() <= MAX_PART_ENTRIES;
        if !is_last {
            // Each change has a version of its own, so a part ends at one of them.
            entries
                .select_nth_unstable_by_key(MAX_PART_ENTRIES - 1, |(changed_at, ..)| *changed_at);
            entries.truncate(MAX_PART_ENTRIES);
        }
        let part_version = entries.iter().map(|(changed_at, ..)| *changed_at).max();
        let part_version = part_version.filter(|_| !is_last).unwrap_or(self.version);
        let removals = self.removals.iter().filter(|(at, engine)| {
            let is_new = *at > version && *at <= part_version;
            is_recorded && is_new && !self.entries.contains_key(engine)
        });
        Some(MapDelta {
            version: part_version,
            is_complete: !is_recorded,
            is_last,
            removed: removals.map(|(_, engine)| engine.clone()).collect(),
            changed: entries
                .into_iter()
                .map(|(_, engine, entry)| (engine.clone(), entry.clone()))
                .collect(),
        })
    }
}
