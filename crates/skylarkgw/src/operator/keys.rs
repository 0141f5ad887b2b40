//! Makes new keys.

use rand::TryRngCore;
use rand::rngs::OsRng;

use crate::decision::keys::KeyHasher;
use crate::ids::KeyHash;

const KEY_BYTES: usize = 24;

/// A new key; only its hash is ever stored.
pub struct IssuedKey {
    /// The key, to be handed to the caller.
    pub key: String,
    /// Its keyed hash, for the configuration.
    pub hash: KeyHash,
}

/// Draws a new key from the system's randomness.
///
/// # Errors
///
/// The system's error if it gives no randomness.
pub fn issue_key(hasher: &KeyHasher) -> Result<IssuedKey, rand::rand_core::OsError> {
    let mut bytes = [0_u8; KEY_BYTES];
    OsRng.try_fill_bytes(&mut bytes)?;
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let key = format!("sk-{digits}");
    let hash = hasher.hash(&key);
    Ok(IssuedKey { key, hash })
}
