//! Keys: keyed hashes, withdrawal and the check at the caller edge.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::configuration::FleetConfiguration;
use crate::ids::{KeyHash, WorkspaceId};

/// Length of the secret that keys are hashed with, in bytes.
pub const HASH_SECRET_BYTES: usize = 32;

/// Secret that turns keys into keyed hashes.
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
    /// Derives a hasher from the secret text of the settings.
    pub fn new(secret: &str) -> KeyHasher {
        KeyHasher { secret: blake3::derive_key("skylarkgw caller keys v1", secret.as_bytes()) }
    }

    /// Returns the keyed hash of a caller's key.
    pub fn hash(&self, key: &str) -> KeyHash {
        blake3::keyed_hash(&self.secret, key.as_bytes()).to_hex().as_str().into()
    }
}

/// Why a key was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyRefusal {
    /// No key came with the request.
    #[error("no key came with the request")]
    Missing,
    /// The key is not declared, or it was withdrawn.
    #[error("the key is not valid")]
    Invalid,
}

/// Keys that were withdrawn and that the configuration may still list.
///
/// The set only grows, but for keys that the configuration in force no longer
/// lists: these are refused anyway, and a revision never falls.
#[derive(Clone, Debug, Default)]
pub struct WithdrawnKeys {
    hashes: Arc<BTreeSet<KeyHash>>,
    fingerprint: u64,
}

fn fingerprint(hash: &str) -> u64 {
    let bytes = blake3::hash(hash.as_bytes());
    bytes.as_bytes()[..8].try_into().map(u64::from_le_bytes).unwrap_or_default()
}

impl WithdrawnKeys {
    /// Adds hashes and returns those that were not known before.
    pub fn merge(&mut self, hashes: impl IntoIterator<Item = KeyHash>) -> Vec<KeyHash> {
        let fresh: Vec<KeyHash> =
            hashes.into_iter().filter(|hash| !self.hashes.contains(hash)).collect();
        if !fresh.is_empty() {
            self.fingerprint =
                fresh.iter().fold(self.fingerprint, |sum, hash| sum ^ fingerprint(hash));
            Arc::make_mut(&mut self.hashes).extend(fresh.iter().cloned());
        }
        fresh
    }

    /// Drops the keys that a configuration in force no longer lists.
    pub fn prune(&mut self, configuration: &FleetConfiguration) {
        let lists = |hash: &KeyHash| configuration.keys.contains_key(hash);
        if self.hashes.iter().all(lists) {
            return;
        }
        let kept: BTreeSet<KeyHash> =
            self.hashes.iter().filter(|hash| lists(hash)).cloned().collect();
        self.fingerprint = kept.iter().fold(0, |sum, hash| sum ^ fingerprint(hash));
        self.hashes = Arc::new(kept);
    }

    /// Returns a number that tells two sets apart.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns whether a key was withdrawn.
    pub fn contains(&self, hash: &str) -> bool {
        self.hashes.contains(hash)
    }

    /// Returns the number of withdrawn keys.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Returns whether no key was withdrawn.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Iterates over the hashes in order.
    pub fn iter(&self) -> impl Iterator<Item = &KeyHash> {
        self.hashes.iter()
    }
}

/// Returns the workspace that a request with this key hash runs for.
///
/// # Errors
///
/// [`KeyRefusal::Missing`] without a key; [`KeyRefusal::Invalid`] for a key
/// that is undeclared, withdrawn, or of a workspace that does not exist. The
/// cases are one to the caller, so that an answer does not tell whether a
/// guessed key ever existed.
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
