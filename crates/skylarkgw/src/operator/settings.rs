//! Settings file of `skylarkctl`.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::settings::{SettingsError, read_document};

/// Settings of the operator client.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Base URL of the platform's object API.
    pub platform: Arc<str>,
    /// Addresses, with port, of the operator interface of one or more hosts. One
    /// reachable host is enough for queries and changes. Withdrawals of keys are sent to
    /// all of these hosts.
    pub hosts: Vec<Arc<str>>,
    /// Author recorded with each change.
    pub author: Arc<str>,
    /// File with the secret for hashing API keys.
    pub key_secret_file: PathBuf,
    /// File with the bearer token for withdrawing keys at the hosts.
    #[serde(default)]
    pub operator_token_file: Option<PathBuf>,
    /// Longest time to wait until a change is in force on every live host, in
    /// milliseconds.
    #[serde(default = "default_wait_ms")]
    pub wait_ms: u64,
}

/// Default longest wait for a change to be in force, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 10_000;

fn default_wait_ms() -> u64 {
    DEFAULT_WAIT_MS
}

impl OperatorSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read or is invalid. The error
    /// has the position in the file.
    pub fn read(path: &Path) -> Result<OperatorSettings, SettingsError> {
        read_document(path)
    }

    /// Returns the longest time to wait until a change is in force on every live host.
    pub fn wait_timeout(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }
}
