//! Settings files, in JSON with comments, validated before the program starts.

mod document;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

pub use document::{SettingsError, parse_document, read_document};

use crate::decision::routing::RoutingPolicy;
use crate::ids::{DataCentre, HostId};

/// Shortest allowed lease on shares, in milliseconds. A shorter lease leaves no
/// time for renewals.
pub const MIN_ALLOWANCE_LEASE_MS: u64 = 1_000;
/// Shortest allowed secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// The settings of `skylarkd`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of this host, unique in the fleet.
    pub host: HostId,
    /// Data centre of this host.
    pub data_centre: DataCentre,
    /// IP address and port for clients.
    pub callers: std::net::SocketAddr,
    /// IP address and port for other hosts.
    pub peers: std::net::SocketAddr,
    /// IP address and port for health checks, metrics and operators.
    pub operators: std::net::SocketAddr,
    /// Base URL of the platform's object API.
    pub platform: Arc<str>,
    /// File with the secret for hashing API keys.
    pub key_secret_file: PathBuf,
    /// File with the bearer token of operators. Without one, any client that can
    /// connect to the operator port can withdraw keys.
    #[serde(default)]
    pub operator_token_file: Option<PathBuf>,
    /// Duration of the lease on this host's shares, in milliseconds.
    #[serde(default = "default_allowance_lease_ms")]
    pub allowance_lease_ms: u64,
    /// Time from reporting that the host is not ready until it stops accepting
    /// connections, in milliseconds.
    #[serde(default = "default_drain_notice_ms")]
    pub drain_notice_ms: u64,
    /// Longest duration of a graceful shutdown, from the signal to stop, in
    /// milliseconds.
    #[serde(default = "default_drain_deadline_ms")]
    pub drain_deadline_ms: u64,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Largest number of concurrent requests.
    #[serde(default = "default_request_limit")]
    pub request_limit: usize,
    /// Number of threads that serve requests.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Seed of the random number generator. A random seed is used if absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Policy for selecting endpoints.
    #[serde(default)]
    pub routing: RoutingPolicy,
    /// Whether hosts lend each other shares of allowances; `false` for the static
    /// split.
    #[serde(default = "default_lending")]
    pub lending: bool,
    /// TLS certificates. Connections are not encrypted if absent.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
}

/// The TLS certificate files of a host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain of this host.
    pub certificate_file: PathBuf,
    /// PEM file with the private key of this host.
    pub private_key_file: PathBuf,
    /// PEM file with the certificate authority of all hosts.
    pub peer_authority_file: PathBuf,
}

/// Default duration of the lease on a host's shares, in milliseconds.
const DEFAULT_ALLOWANCE_LEASE_MS: u64 = 900_000;
/// Default time from reporting that the host is not ready until it stops accepting
/// connections, in milliseconds.
const DEFAULT_DRAIN_NOTICE_MS: u64 = 2_000;
/// Default longest duration of a graceful shutdown, in milliseconds.
const DEFAULT_DRAIN_DEADLINE_MS: u64 = 120_000;
/// Default largest request body, in bytes.
const DEFAULT_BODY_LIMIT_BYTES: usize = 2 * 1024 * 1024;
/// Default largest number of concurrent requests.
const DEFAULT_REQUEST_LIMIT: usize = 8_192;
/// Default number of threads that serve requests.
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
    DEFAULT_BODY_LIMIT_BYTES
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read or is invalid. The error
    /// has the position in the file and the expected value.
    pub fn read(path: &Path) -> Result<HostSettings, SettingsError> {
        let text = document::read_text(path)?;
        let settings: HostSettings = parse_document(path, &text)?;
        settings.validate(path, &text)?;
        Ok(settings)
    }

    /// Returns the duration of the lease on this host's shares.
    pub fn allowance_lease(&self) -> Duration {
        Duration::from_millis(self.allowance_lease_ms)
    }

    /// Returns the time from reporting that the host is not ready until it stops
    /// accepting connections.
    pub fn drain_notice(&self) -> Duration {
        Duration::from_millis(self.drain_notice_ms)
    }

    /// Returns the longest duration of a graceful shutdown, from the signal to stop.
    pub fn drain_deadline(&self) -> Duration {
        Duration::from_millis(self.drain_deadline_ms)
    }

    fn validate(&self, path: &Path, text: &str) -> Result<(), SettingsError> {
        let invalid = |field: &str, expected: &str| {
            document::invalid_value_error(path, text, field, expected)
        };
        if self.host.is_empty() || self.host.contains(['~', '/']) {
            return Err(invalid("host", "a name that contains neither '~' nor '/'"));
        }
        if self.data_centre.is_empty() {
            return Err(invalid("data_centre", "the name of the data centre"));
        }
        if reqwest::Url::parse(&self.platform).is_err() {
            return Err(invalid("platform", "a URL such as \"http://127.0.0.1:7000\""));
        }
        if self.allowance_lease_ms < MIN_ALLOWANCE_LEASE_MS {
            return Err(invalid("allowance_lease_ms", "a duration of at least 1000 milliseconds"));
        }
        if self.drain_deadline_ms <= self.drain_notice_ms {
            return Err(invalid("drain_deadline_ms", "more than drain_notice_ms"));
        }
        if self.threads == 0 {
            return Err(invalid("threads", "at least 1"));
        }
        if self.body_limit == 0 || self.request_limit == 0 {
            return Err(invalid("body_limit", "limits above 0 for body_limit and request_limit"));
        }
        let addresses = [self.callers, self.peers, self.operators];
        let is_same = |left: usize, right: usize| {
            addresses[left].port() != 0 && addresses[left] == addresses[right]
        };
        if is_same(0, 1) || is_same(0, 2) || is_same(1, 2) {
            return Err(invalid(
                "operators",
                "a different port for each of callers, peers and operators",
            ));
        }
        Ok(())
    }
}
