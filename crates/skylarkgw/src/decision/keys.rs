//! Client keys: keyed hashes, withdrawal, and the check of a request's key.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::configuration::FleetConfiguration;
use crate::ids::{KeyHash, WorkspaceId};

/// Length of the secret that keys are hashed with, in bytes.
pub const HASH_SECRET_BYTES: usize = 32;

/// Computes the keyed hashes of client keys.
#[derive(Clone)]
pub struct KeyHasher {
    secret: [u8; HASH_SECRET_BYTES],
}

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyHasher(..)")
    }
}

impl KeyHasher {
    /// Derives a hasher from the secret text in the settings.
    pub fn new(secret: &str) -> KeyHasher {
        KeyHasher { secret: blake3::derive_key("skylarkgw caller keys v1", secret.as_bytes()) }
    }

    /// Returns the keyed hash of a client key, in hexadecimal.
    pub fn hash(&self, key: &str) -> KeyHash {
        blake3::keyed_hash(&self.secret, key.as_bytes()).to_hex().as_str().into()
    }
}

/// The reason for which a key is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyRefusal {
    /// The request has no key.
    #[error("no key came with the request")]
    Missing,
    /// The key is not declared, or was withdrawn.
    #[error("the key is not valid")]
    Invalid,
}

/// The keyed hashes of withdrawn keys that the configuration may still list.
///
/// Hashes are removed only if the configuration in force no longer lists them.
/// Such keys are refused anyway, and the revision in force never decreases.
#[derive(Clone, Debug, Default)]
pub struct WithdrawnKeys {
    hashes: Arc<BTreeSet<KeyHash>>,
    fingerprint: u64,
}

/// Returns the contribution of one hash to the fingerprint of a set.
fn compute_fingerprint(hash: &str) -> u64 {
    let bytes = blake3::hash(hash.as_bytes());
    bytes.as_bytes()[..8].try_into().map(u64::from_le_bytes).unwrap_or_default()
}

impl WithdrawnKeys {
    /// Adds hashes and returns those that were not in the set.
    pub fn merge(&mut self, hashes: impl IntoIterator<Item = KeyHash>) -> Vec<KeyHash> {
        let added: Vec<KeyHash> =
            hashes.into_iter().filter(|hash| !self.hashes.contains(hash)).collect();
        if !added.is_empty() {
            self.fingerprint =
                added.iter().fold(self.fingerprint, |sum, hash| sum ^ compute_fingerprint(hash));
            Arc::make_mut(&mut self.hashes).extend(added.iter().cloned());
        }
        added
    }

    /// Removes the keys that the configuration in force no longer lists.
    pub fn prune(&mut self, configuration: &FleetConfiguration) {
        let is_listed = |hash: &KeyHash| configuration.keys.contains_key(hash);
        if self.hashes.iter().all(is_listed) {
            return;
        }
        let kept: BTreeSet<KeyHash> =
            self.hashes.iter().filter(|hash| is_listed(hash)).cloned().collect();
        self.fingerprint = kept.iter().fold(0, |sum, hash| sum ^ compute_fingerprint(hash));
        self.hashes = Arc::new(kept);
    }

    /// Returns a fingerprint that is the same for equal sets and, with high
    /// probability, differs for different ones.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns whether the set contains the hash of a key.
    pub fn contains(&self, hash: &str) -> bool {
        self.hashes.contains(hash)
    }

    /// Returns the number of hashes in the set.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Returns an iterator over the hashes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = &KeyHash> {
        self.hashes.iter()
    }
}

/// Returns the workspace of a key, given its keyed hash.
///
/// # Errors
///
/// Returns [`KeyRefusal::Missing`] if there is no key, and
/// [`KeyRefusal::Invalid`] if the key is undeclared, withdrawn, or belongs to a
/// workspace that does not exist. These cases share one error so that the
/// response does not reveal whether a guessed key ever existed.
pub fn check_key(
    configuration: &FleetConfiguration,
    withdrawn: &WithdrawnKeys,
    hash: Option<&str>,
) -> Result<WorkspaceId, KeyRefusal> {
    let hash = hash.ok_or(KeyRefusal::Missing)?;
    if withdrawn.contains(hash) {
        return Err(KeyRefusal::Invalid);
    }
    let spec = configuration.keys.get(hash).ok_or(KeyRefusal::Invalid)?;
    if !configuration.workspaces.contains_key(&spec.workspace) {
        return Err(KeyRefusal::Invalid);
    }
    Ok(spec.workspace.clone())
}
