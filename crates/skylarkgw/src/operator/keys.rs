//! Generates API keys.

use rand::TryRngCore;
use rand::rngs::OsRng;

use crate::decision::keys::KeyHasher;
use crate::ids::KeyHash;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 24;

/// A newly generated API key. Only its hash is stored.
pub struct IssuedKey {
    /// The key in plain text, for the client.
    pub key: String,
    /// Keyed hash of the key, for the configuration.
    pub hash: KeyHash,
}

/// Generates an API key from the operating system's random number generator.
///
/// # Errors
///
/// Returns [`OsError`](rand::rand_core::OsError) if the operating system provides
/// no random bytes.
pub fn issue_key(hasher: &KeyHasher) -> Result<IssuedKey, rand::rand_core::OsError> {
    let mut bytes = [0_u8; KEY_BYTES];
    OsRng.try_fill_bytes(&mut bytes)?;
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let key = format!("sk-{digits}");
    let hash = hasher.hash(&key);
    Ok(IssuedKey { key, hash })
}
