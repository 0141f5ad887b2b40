//! When an answer of the store proves that the declaration in force is the newest.
//!
//! A store that is restored from an older copy may have lost the newest declaration. It
//! is written again soon; until then, the store returns an older one.

use std::time::Duration;

use crate::decision::freshness::ABSENCE_MAX_AGE;
use crate::decision::store_order::StoreStamp;
use crate::ids::{Revision, StoreEra};

/// Time after the first sight of a new era within which a declaration that the store has
/// lost is written again.
pub const DECLARATION_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time for which the store must go on returning an older declaration than the one in force
/// until that counts as the newest. It exceeds the age of a copy from which the store is
/// restored.
pub const OLDER_SETTLE_TIME: Duration = Duration::from_secs(15);

/// What one host knows of the eras of the store from which it reads the declaration.
#[derive(Debug, Default)]
pub struct DeclarationConfirmation {
    /// Last known era.
    era: Option<StoreEra>,
    /// Time at which the store was first seen in that era, if a former one is known.
    changed_at: Option<Duration>,
    /// Whether the declaration in force was recent at that time.
    was_recent: bool,
    /// Time since which the store has returned an older declaration than the one in force.
    older_since: Option<Duration>,
}

impl DeclarationConfirmation {
    /// Records an era in which another host or the lease record places the store. They may
    /// lag behind, so a lower one does not count.
    ///
    /// `age` is the age of the declaration in force.
    pub fn record_named_era(&mut self, now: Duration, era: Option<StoreEra>, age: Duration) {
        if era > self.era {
            self.change_era(now, era, age);
        }
    }

    /// Records that the lease record, which a host reads when it starts, does not belong to
    /// the present era, so that the store may have begun anew just before.
    pub fn record_unsettled_start(&mut self, now: Duration) {
        self.changed_at.get_or_insert(now);
    }

    /// Records an answer of the store with the declaration `answered`, received at `now`, and
    /// returns whether it proves that none is newer.
    ///
    /// `in_force` is the revision in force before the answer, or zero, and `age` its age. An
    /// answer without an era counts as one of the last known era.
    pub fn record_answer(
        &mut self,
        now: Duration,
        stamp: StoreStamp,
        answered: Revision,
        in_force: Revision,
        age: Duration,
    ) -> bool {
        let era = stamp.position.era;
        if era.is_some() && era != self.era {
            self.change_era(now, era, age);
        }
        if answered < in_force {
            // The declaration in force is kept. If the store never gets it again, its keys
            // must not be refused for ever.
            let older_since = *self.older_since.get_or_insert(now);
            return stamp.as_of >= older_since + OLDER_SETTLE_TIME;
        }
        self.older_since = None;
        let settled_at = self.changed_at.map(|at| at + DECLARATION_SETTLE_TIME);
        let is_settled = settled_at.is_none_or(|settled_at| stamp.as_of >= settled_at);
        // A host that had not heard of the newest declaration may take one for newer that
        // is only restored.
        let is_new = self.was_recent && answered > in_force;
        is_settled || is_new
    }

    fn change_era(&mut self, now: Duration, era: Option<StoreEra>, age: Duration) {
        if self.era.is_some() {
            self.changed_at = Some(now);
            self.was_recent = age <= ABSENCE_MAX_AGE;
        }
        self.era = era;
    }
}

/// Returns whether the statement that the declaration `stated` is the newest confirms the
/// declaration `in_force`. One that is older or newer says nothing about it.
pub fn is_confirmed_by(in_force: Revision, stated: Revision) -> bool {
    in_force > 0 && in_force == stated
}
