//! Fencing tokens that no two holders of the lease share.

use crate::ids::{ObjectVersion, StoreEra};

/// Lowest token that no host can have taken, since the era and the version of a record
/// stay below it. It follows a record that another writer has damaged.
const TOKEN_LIMIT: u64 = (1 << 53) - (1 << 32);

/// Returns a token that is no lower than any that was taken up to a version of an era.
///
/// The era in the upper bits keeps apart the tokens of versions that the store has given
/// out again.
fn compose_token(era: Option<StoreEra>, version: Option<ObjectVersion>) -> u64 {
    (u64::from(era.unwrap_or_default()) << u32::BITS).saturating_add(version.unwrap_or_default())
}

/// The highest fencing token that a host has seen.
#[derive(Debug, Default)]
pub struct TokenSource {
    highest: u64,
}

impl TokenSource {
    /// Records a token that may be in use.
    pub fn record(&mut self, token: u64) {
        if token < TOKEN_LIMIT {
            self.highest = self.highest.max(token);
        }
    }

    /// Returns the token of a host that takes the lease by writing on a version of the
    /// record, `None` if there is none, with the token `record_token` if it could be
    /// decoded.
    ///
    /// Within the first era the store has lost nothing, so the record's token is the
    /// latest.
    pub fn next(
        &self,
        era: Option<StoreEra>,
        version: Option<ObjectVersion>,
        record_token: Option<u64>,
    ) -> u64 {
        let record_token = record_token.filter(|token| *token < TOKEN_LIMIT);
        let is_first_era = era.unwrap_or_default() == 0;
        let taken = record_token.filter(|_| is_first_era);
        let taken = taken.unwrap_or_else(|| compose_token(era, version));
        taken.max(self.highest).saturating_add(1)
    }
}
