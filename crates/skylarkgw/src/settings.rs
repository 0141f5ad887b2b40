//! Settings: JSON with comments, checked before anything starts.

mod document;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

pub use document::{SettingsError, parse_document, read_document};

use crate::decision::routing::RoutingPolicy;
use crate::ids::{DataCentre, HostId};

/// Shortest lease on shares that leaves room for renewals, in milliseconds.
pub const SHORTEST_ALLOWANCE_LEASE_MS: u64 = 1_000;
/// Shortest secret for key hashes, in bytes.
pub const SHORTEST_SECRET_BYTES: usize = 16;

/// Settings of `skylarkd`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of this host, unique in the fleet.
    pub host: HostId,
    /// Data centre that this host stands in.
    pub data_centre: DataCentre,
    /// IP address and port for callers.
    pub callers: std::net::SocketAddr,
    /// IP address and port for other hosts.
    pub peers: std::net::SocketAddr,
    /// IP address and port for health, metrics and operators.
    pub operators: std::net::SocketAddr,
    /// URL of the platform's object API.
    pub platform: Arc<str>,
    /// File with the secret that callers' keys are hashed with.
    pub key_secret_file: PathBuf,
    /// File with the token that operators present; none leaves orders to the
    /// operators' port open to everyone who reaches it.
    #[serde(default)]
    pub operator_token_file: Option<PathBuf>,
    /// Length of the lease on this host's shares, in milliseconds.
    #[serde(default = "default_allowance_lease_ms")]
    pub allowance_lease_ms: u64,
    /// Time between readiness turning off and the end of accepting, in
    /// milliseconds.
    #[serde(default = "default_drain_notice_ms")]
    pub drain_notice_ms: u64,
    /// Longest time that a graceful stop may take, in milliseconds.
    #[serde(default = "default_drain_deadline_ms")]
    pub drain_deadline_ms: u64,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Requests that this host runs at once.
    #[serde(default = "default_request_limit")]
    pub request_limit: usize,
    /// Traffic threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Seed of random choices; drawn at the start when absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// How endpoints are chosen.
    #[serde(default)]
    pub routing: RoutingPolicy,
    /// Whether hosts lend each other shares of allowances.
    #[serde(default = "default_lending")]
    pub lending: bool,
    /// Certificates; absent means plain connections.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
}

/// Certificate files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain of this host, PEM.
    pub certificate_file: PathBuf,
    /// Private key of this host, PEM.
    pub private_key_file: PathBuf,
    /// Authority that other hosts' certificates must come from, PEM.
    pub peer_authority_file: PathBuf,
}

const DEFAULT_ALLOWANCE_LEASE_MS: u64 = 900_000;
const DEFAULT_DRAIN_NOTICE_MS: u64 = 2_000;
const DEFAULT_DRAIN_DEADLINE_MS: u64 = 120_000;
const DEFAULT_BODY_LIMIT: usize = 2 * 1024 * 1024;
const DEFAULT_REQUEST_LIMIT: usize = 8_192;
const DEFAULT_THREADS: usize = 2;

fn default_allowance_lease_ms() -> u64 {
    DEFAULT_ALLOWANCE_LEASE_MS
}

fn default_drain_notice_ms() -> u64 {
    DEFAULT_DRAIN_NOTICE_MS
}

fn default_drain_deadline_ms() -> u64 {
    DEFAULT_DRAIN_DEADLINE_MS
}

fn default_body_limit() -> usize {
    DEFAULT_BODY_LIMIT
}

fn default_request_limit() -> usize {
    DEFAULT_REQUEST_LIMIT
}

fn default_threads() -> usize {
    DEFAULT_THREADS
}

fn default_lending() -> bool {
    true
}

impl HostSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the place in the file and what to write instead.
    pub fn read(path: &Path) -> Result<HostSettings, SettingsError> {
        let text = document::read_text(path)?;
        let settings: HostSettings = parse_document(path, &text)?;
        settings.check(path, &text)?;
        Ok(settings)
    }

    /// Returns the length of the lease on this host's shares.
    pub fn allowance_lease(&self) -> Duration {
        Duration::from_millis(self.allowance_lease_ms)
    }

    /// Returns the time between readiness turning off and not accepting.
    pub fn drain_notice(&self) -> Duration {
        Duration::from_millis(self.drain_notice_ms)
    }

    /// Returns the longest time that a graceful stop may take.
    pub fn drain_deadline(&self) -> Duration {
        Duration::from_millis(self.drain_deadline_ms)
    }

    fn check(&self, path: &Path, text: &str) -> Result<(), SettingsError> {
        let wrong = |field: &str, help: &str| document::wrong_value(path, text, field, help);
        if self.host.is_empty() || self.host.contains(['~', '/']) {
            return Err(wrong("host", "a name without '~' and '/'"));
        }
        if self.data_centre.is_empty() {
            return Err(wrong("data_centre", "the name of the data centre"));
        }
        if reqwest::Url::parse(&self.platform).is_err() {
            return Err(wrong("platform", "a URL such as \"http://127.0.0.1:7000\""));
        }
        if self.allowance_lease_ms < SHORTEST_ALLOWANCE_LEASE_MS {
            return Err(wrong("allowance_lease_ms", "at least 1000 milliseconds"));
        }
        if self.drain_deadline_ms <= self.drain_notice_ms {
            return Err(wrong("drain_deadline_ms", "more than drain_notice_ms"));
        }
        if self.threads == 0 {
            return Err(wrong("threads", "at least 1"));
        }
        if self.body_limit == 0 || self.request_limit == 0 {
            return Err(wrong("body_limit", "limits above 0"));
        }
        let ports = [self.callers, self.peers, self.operators];
        let clash =
            |left: usize, right: usize| ports[left].port() != 0 && ports[left] == ports[right];
        if clash(0, 1) || clash(0, 2) || clash(1, 2) {
            return Err(wrong("operators", "a port of its own for each of the three interfaces"));
        }
        Ok(())
    }
}
