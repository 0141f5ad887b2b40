//! The lease record as a host last saw it.

use std::time::Duration;

use crate::gateway::ports::LeaseRecord;
use crate::ids::{ObjectVersion, StoreEra};

/// The answer of the store to the last call that returned or missed the record.
#[derive(Clone, Debug)]
pub struct SeenRecord {
    /// Version of the record, or `None` if it does not exist.
    pub version: Option<ObjectVersion>,
    /// Era that the store is taken to have.
    pub era: Option<StoreEra>,
    /// Whether the store has stated that era with this version.
    pub is_era_stated: bool,
    /// The record, or `None` if it does not exist or could not be decoded.
    pub record: Option<LeaseRecord>,
    /// Whether the record tells who holds the lease. Otherwise the store may have lost
    /// a later one, and any other host may hold it.
    pub is_settled: bool,
    /// Upper bound of the time at which the holder stops.
    pub expires_by: Duration,
}

impl SeenRecord {
    /// Returns whether no record can have existed before.
    pub fn is_first_start(&self) -> bool {
        self.is_settled && self.version.is_none()
    }

    /// Returns whether the holder has released the lease.
    pub fn is_released(&self) -> bool {
        self.is_settled && self.record.as_ref().is_some_and(|record| record.is_released)
    }
}
