//! Which engines there are: the registry, corrected for its outages.
//!
//! An engine renews its entry, so an outage of the store makes entries of live
//! engines lapse. The directory keeps what it knew until the engines have had
//! time to register again; only an entry that is missing after that is gone.
//! This answers the mass expiry of leases that follows an outage.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::registry::EngineEntry;
use crate::ids::EndpointId;

/// Time without an answer of the store after which entries may have lapsed.
pub const OUTAGE_AFTER: Duration = Duration::from_millis(1_000);
/// Time that live engines need to register again after an outage: about two
/// seconds are promised, and the rest covers the delay of a watch.
pub const REGISTER_AGAIN: Duration = Duration::from_millis(2_400);

/// All engines that may be used or told to leave.
#[derive(Debug, Default)]
pub struct EngineDirectory {
    entries: HashMap<EndpointId, Arc<EngineEntry>>,
    missing: HashMap<EndpointId, Arc<EngineEntry>>,
    heard_at: Option<Duration>,
    regained_at: Option<Duration>,
}

impl EngineDirectory {
    /// Takes in the registry as read at `now`.
    pub fn update(&mut self, now: Duration, listed: Vec<EngineEntry>) {
        let silence = self.heard_at.map(|heard_at| now.saturating_sub(heard_at));
        if silence.is_some_and(|silence| silence > OUTAGE_AFTER) {
            self.regained_at = Some(now);
        }
        self.heard_at = Some(now);
        let listed: HashMap<EndpointId, Arc<EngineEntry>> =
            listed.into_iter().map(|entry| (entry.id.clone(), Arc::new(entry))).collect();
        let may_have_lapsed = self.is_settling(now);
        for (id, entry) in std::mem::take(&mut self.entries) {
            if may_have_lapsed && !listed.contains_key(&id) {
                self.missing.insert(id, entry);
            }
        }
        self.missing.retain(|id, _| may_have_lapsed && !listed.contains_key(id));
        self.entries = listed;
    }

    /// Notes that the registry has not changed.
    pub fn note_unchanged(&mut self, now: Duration) {
        self.heard_at = Some(now);
    }

    /// Notes that the store could not be reached.
    pub fn note_failure(&mut self, now: Duration) {
        // The next answer may follow at once, with entries that lapsed before.
        if self.heard_at.is_some() {
            self.regained_at = Some(now);
        }
    }

    /// Returns the engines, those included whose entries may only have lapsed.
    pub fn engines(&self, now: Duration) -> impl Iterator<Item = &Arc<EngineEntry>> {
        let settling = self.is_settling(now);
        self.entries.values().chain(self.missing.values().filter(move |_| settling))
    }

    /// Returns whether entries may still be missing because of an outage.
    pub fn is_settling(&self, now: Duration) -> bool {
        self.regained_at.is_some_and(|at| now.saturating_sub(at) < REGISTER_AGAIN)
    }
}
