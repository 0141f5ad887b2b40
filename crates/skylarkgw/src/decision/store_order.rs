//! The order of copies of the store's contents.
//!
//! The store counts its changes with revisions. After a restore from a backup it
//! counts on from the backup's revision in a new era, so revisions order its
//! contents within an era only.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ObjectVersion, StoreEra};

/// Time by which a copy of an earlier or unknown era must be newer than the known one
/// to replace it. No call or watch of the store takes longer, so an answer that was
/// given in an earlier era is never that much newer.
pub const ERA_DOUBT: Duration = Duration::from_secs(2);

/// A position in the history of the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StorePosition {
    /// Era of the store, or `None` if the store did not state a valid one.
    pub era: Option<StoreEra>,
    /// Revision of the store within the era.
    pub revision: ObjectVersion,
}

impl StorePosition {
    /// Returns whether the events between `earlier` and this position are complete.
    ///
    /// They are not if the store began anew between the two, or may have done so.
    pub fn continues(&self, earlier: &StorePosition) -> bool {
        self.era == earlier.era && self.revision >= earlier.revision
    }

    /// Returns whether the store may have reached this position from `earlier` within one
    /// era. An unknown era may be any.
    pub fn may_follow(&self, earlier: &StorePosition) -> bool {
        let is_unknown = self.era.is_none() || earlier.era.is_none();
        (is_unknown || self.era == earlier.era) && self.revision >= earlier.revision
    }
}

/// Up to when a copy of the store's contents contains all changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreStamp {
    /// Position of the store up to which the copy contains all changes.
    pub position: StorePosition,
    /// Time at which the copy was last confirmed to be current.
    pub as_of: Duration,
}

impl StoreStamp {
    /// Returns whether a copy with this stamp may replace one with the stamp `known`.
    ///
    /// Within an era the revisions decide. A later era replaces an earlier one. A copy
    /// of an earlier era, or one without an era on either side, must be newer by more
    /// than [`ERA_DOUBT`], so that a store whose era decreases is followed after that
    /// time.
    pub fn replaces(&self, known: &StoreStamp) -> bool {
        let (position, known_position) = (self.position, known.position);
        match (position.era, known_position.era) {
            (era, known_era) if era == known_era => position.revision >= known_position.revision,
            (Some(era), Some(known_era)) if era > known_era => true,
            _ => self.as_of > known.as_of + ERA_DOUBT,
        }
    }
}
