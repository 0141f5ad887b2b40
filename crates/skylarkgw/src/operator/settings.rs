//! Settings of `skylarkctl`.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::settings::{SettingsError, read_document};

/// Settings of the operators' client.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// URL of the platform's object API.
    pub platform: Arc<str>,
    /// Operators' addresses of some hosts; any one of them is enough.
    pub hosts: Vec<Arc<str>>,
    /// Name that changes are recorded under.
    pub author: Arc<str>,
    /// File with the secret that callers' keys are hashed with.
    pub key_secret_file: PathBuf,
    /// File with the token for orders to hosts.
    #[serde(default)]
    pub operator_token_file: Option<PathBuf>,
    /// Longest wait for a change to be in force everywhere, in milliseconds.
    #[serde(default = "default_wait_ms")]
    pub wait_ms: u64,
}

const DEFAULT_WAIT_MS: u64 = 10_000;

fn default_wait_ms() -> u64 {
    DEFAULT_WAIT_MS
}

impl OperatorSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the place in the file.
    pub fn read(path: &Path) -> Result<OperatorSettings, SettingsError> {
        read_document(path)
    }

    /// Returns the longest wait for a change to be in force everywhere.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }
}
