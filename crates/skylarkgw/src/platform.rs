//! The client of the platform's object API: versioned objects, conditional writes,
//! lists and watches.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::decision::shares::{PlatformCall, PlatformOutcome};
use crate::ids::ObjectVersion;
use crate::telemetry::Metrics;

/// Name of the object that holds the accepted configuration.
pub const HEAD_OBJECT: &str = "shared/head";
/// Name of the object that holds the withdrawn keys.
pub const WITHDRAWN_OBJECT: &str = "shared/withdrawn";
/// Prefix of the names of the objects that hosts watch.
pub const SHARED_PREFIX: &str = "shared/";
/// Prefix of the names of the objects that list the hosts.
pub const HOSTS_PREFIX: &str = "hosts/";
/// Largest value of an object, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// Longest time to open a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest duration of a call; for a watch, in addition to its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a call after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// An object of the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlatformObject {
    /// Name of the object.
    pub name: Arc<str>,
    /// Version, which increases with every write.
    pub version: ObjectVersion,
    /// Value, as JSON text.
    pub value: Arc<str>,
}

/// The response to a list or watch request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectList {
    /// Position of the store at the time of the response. A watch continues from it.
    pub position: u64,
    /// Objects, ordered by name.
    pub objects: Vec<PlatformObject>,
}

/// An error of a call to the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The HTTP client cannot be built.
    #[error("cannot build the platform client")]
    Client(#[source] reqwest::Error),
    /// The connection failed, so the call had no effect.
    #[error("cannot connect to the platform")]
    Unreachable(#[source] reqwest::Error),
    /// The response was lost, so a write may have taken effect.
    #[error("the platform's answer was lost")]
    ResponseLost(#[source] reqwest::Error),
    /// The platform responded with an unexpected status.
    #[error("the platform answered with status {0}")]
    Status(u16),
    /// A response or object value is not the expected JSON.
    #[error("cannot decode the answer of the platform")]
    InvalidJson(#[source] serde_json::Error),
}

/// A client of the object API.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base_url: Arc<str>,
    metrics: Arc<Metrics>,
}

#[derive(Debug, Deserialize)]
struct WriteResponse {
    version: ObjectVersion,
}

impl PlatformClient {
    /// Creates a client for the API at a base URL.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Client`] if the HTTP client cannot be built.
    pub fn new(base_url: &str, metrics: Arc<Metrics>) -> Result<PlatformClient, PlatformError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry(reqwest::retry::never())
            .build()
            .map_err(PlatformError::Client)?;
        Ok(PlatformClient { http, base_url: base_url.trim_end_matches('/').into(), metrics })
    }

    /// Reads an object, or returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform did not return a usable response.
    pub async fn read(&self, name: &str) -> Result<Option<PlatformObject>, PlatformError> {
        let request =
            self.http.get(format!("{}/objects/{name}", self.base_url)).timeout(CALL_TIMEOUT);
        match self.send_request(request).await? {
            (200, body) => decode(&body, &self.metrics).map(Some),
            (404, _) => Ok(None),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Writes an object if it has the expected version. Version 0 creates the object.
    ///
    /// Returns the new version, or `None` if the object has another version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform did not return a usable response.
    /// [`PlatformError::ResponseLost`] means that the write may have taken effect.
    pub async fn write(
        &self,
        name: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> Result<Option<ObjectVersion>, PlatformError> {
        let request = self
            .http
            .put(format!("{}/objects/{name}?expected={expected}", self.base_url))
            .timeout(CALL_TIMEOUT)
            .body(value.to_owned());
        match self.send_request(request).await? {
            (200, body) => {
                decode::<WriteResponse>(&body, &self.metrics).map(|response| Some(response.version))
            }
            (409, _) => Ok(None),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Deletes an object if it has the expected version.
    ///
    /// Returns whether the object had that version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform did not return a usable response.
    /// [`PlatformError::ResponseLost`] means that the object may be deleted.
    pub async fn delete(&self, name: &str, expected: ObjectVersion) -> Result<bool, PlatformError> {
        let url = format!("{}/objects/{name}?expected={expected}", self.base_url);
        match self.send_request(self.http.delete(url).timeout(CALL_TIMEOUT)).await? {
            (200, _) => Ok(true),
            (409, _) => Ok(false),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Lists the objects whose names have a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform did not return a usable response.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let url = format!("{}/list?prefix={prefix}", self.base_url);
        self.send_list_request(self.http.get(url).timeout(CALL_TIMEOUT)).await
    }

    /// Waits until an object whose name has a prefix changes after a position.
    ///
    /// A watch from position 0 returns all objects. Returns a list without objects if
    /// nothing changes within `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the platform did not return a usable response.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ObjectList, PlatformError> {
        let url = format!(
            "{}/watch?prefix={prefix}&after={after}&wait_ms={}",
            self.base_url,
            wait.as_millis()
        );
        self.send_list_request(self.http.get(url).timeout(wait + CALL_TIMEOUT)).await
    }

    /// Performs a platform call that a state machine requested.
    pub async fn perform(&self, call: PlatformCall) -> PlatformOutcome {
        match call {
            PlatformCall::Read { name } => match self.read(&name).await {
                Ok(Some(object)) => {
                    PlatformOutcome::Found { version: object.version, value: object.value }
                }
                Ok(None) => PlatformOutcome::Missing,
                Err(error) => error.to_outcome(),
            },
            PlatformCall::Write { name, expected, value } => {
                match self.write(&name, expected, &value).await {
                    Ok(Some(version)) => PlatformOutcome::Written { version },
                    Ok(None) => PlatformOutcome::Conflict,
                    Err(error) => error.to_outcome(),
                }
            }
        }
    }

    async fn send_list_request(
        &self,
        request: reqwest::RequestBuilder,
    ) -> Result<ObjectList, PlatformError> {
        match self.send_request(request).await? {
            (200, body) => decode(&body, &self.metrics),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    async fn send_request(
        &self,
        request: reqwest::RequestBuilder,
    ) -> Result<(u16, bytes::Bytes), PlatformError> {
        self.metrics.platform_calls.inc();
        let exchange = async {
            let response = request.send().await?;
            let status = response.status().as_u16();
            Ok((status, response.bytes().await?))
        };
        let result: Result<_, reqwest::Error> = exchange.await;
        result.map_err(|error| {
            self.metrics.platform_failures.inc();
            if error.is_connect() {
                PlatformError::Unreachable(error)
            } else {
                PlatformError::ResponseLost(error)
            }
        })
    }
}

impl PlatformError {
    fn to_outcome(&self) -> PlatformOutcome {
        match self {
            // The API specifies that a call had no effect if the status of its response
            // is 503.
            PlatformError::Unreachable(_) | PlatformError::Status(503) => PlatformOutcome::NotRun,
            _ => PlatformOutcome::Unknown,
        }
    }
}

/// Decodes a response body and counts failures.
fn decode<'a, T: Deserialize<'a>>(body: &'a [u8], metrics: &Metrics) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| {
        metrics.decode_failures.inc();
        PlatformError::InvalidJson(error)
    })
}
