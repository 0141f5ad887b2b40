//! The platform's object API: versions, conditional updates, lists, watches.

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
/// Start of the names that hosts watch.
pub const SHARED_PREFIX: &str = "shared/";
/// Start of the names of host entries.
pub const HOSTS_PREFIX: &str = "hosts/";
/// Largest value of an object, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlatformObject {
    /// Its name.
    pub name: Arc<str>,
    /// Its version; rises with every write.
    pub version: ObjectVersion,
    /// Its value, text of JSON.
    pub value: Arc<str>,
}

/// Answer of a list or a watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectList {
    /// Position of the store at the answer.
    pub position: u64,
    /// Objects by name.
    pub objects: Vec<PlatformObject>,
}

/// Why a call to the platform brought nothing.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The client cannot be built.
    #[error("the platform client cannot be built")]
    Client(#[source] reqwest::Error),
    /// The connection failed, so the call had no effect.
    #[error("the platform cannot be reached")]
    Unreachable(#[source] reqwest::Error),
    /// No answer came; a write may have taken effect.
    #[error("the platform's answer was lost")]
    Lost(#[source] reqwest::Error),
    /// The platform refused to serve the call.
    #[error("the platform answered with status {0}")]
    Status(u16),
    /// The answer is not what the interface says.
    #[error("the platform's answer cannot be decoded")]
    Garbage(#[source] serde_json::Error),
}

/// Client of the object API.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base: Arc<str>,
    metrics: Arc<Metrics>,
}

#[derive(Debug, Deserialize)]
struct WriteAnswer {
    version: ObjectVersion,
}

impl PlatformClient {
    /// Creates a client for the API at a URL.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Client`] if the HTTP client cannot be built.
    pub fn new(base: &str, metrics: Arc<Metrics>) -> Result<PlatformClient, PlatformError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry(reqwest::retry::never())
            .build()
            .map_err(PlatformError::Client)?;
        Ok(PlatformClient { http, base: base.trim_end_matches('/').into(), metrics })
    }

    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no usable answer came.
    pub async fn read(&self, name: &str) -> Result<Option<PlatformObject>, PlatformError> {
        let request = self.http.get(format!("{}/objects/{name}", self.base)).timeout(CALL_TIMEOUT);
        match self.call(request).await? {
            (200, body) => decode(&body, &self.metrics).map(Some),
            (404, _) => Ok(None),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Writes an object that must have a version; zero creates it.
    ///
    /// Returns the new version, or `None` if the object has another version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] means that the write may have taken effect.
    pub async fn write(
        &self,
        name: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> Result<Option<ObjectVersion>, PlatformError> {
        let request = self
            .http
            .put(format!("{}/objects/{name}?expected={expected}", self.base))
            .timeout(CALL_TIMEOUT)
            .body(value.to_owned());
        match self.call(request).await? {
            (200, body) => {
                decode::<WriteAnswer>(&body, &self.metrics).map(|answer| Some(answer.version))
            }
            (409, _) => Ok(None),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Deletes an object that must have a version.
    ///
    /// Returns whether it had that version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] means that it may be deleted.
    pub async fn delete(&self, name: &str, expected: ObjectVersion) -> Result<bool, PlatformError> {
        let url = format!("{}/objects/{name}?expected={expected}", self.base);
        match self.call(self.http.delete(url).timeout(CALL_TIMEOUT)).await? {
            (200, _) => Ok(true),
            (409, _) => Ok(false),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    /// Lists the objects whose names start with a prefix.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no usable answer came.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let url = format!("{}/list?prefix={prefix}", self.base);
        self.list_call(self.http.get(url).timeout(CALL_TIMEOUT)).await
    }

    /// Waits until an object under a prefix changes after a position.
    ///
    /// Returns at the latest after `wait`, then with no objects.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if no usable answer came.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ObjectList, PlatformError> {
        let url = format!(
            "{}/watch?prefix={prefix}&after={after}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        self.list_call(self.http.get(url).timeout(wait + CALL_TIMEOUT)).await
    }

    /// Carries out a call of the share keeper or an order.
    pub async fn perform(&self, call: PlatformCall) -> PlatformOutcome {
        match call {
            PlatformCall::Read { name } => match self.read(&name).await {
                Ok(Some(object)) => {
                    PlatformOutcome::Found { version: object.version, value: object.value }
                }
                Ok(None) => PlatformOutcome::Missing,
                Err(error) => error.outcome(),
            },
            PlatformCall::Write { name, expected, value } => {
                match self.write(&name, expected, &value).await {
                    Ok(Some(version)) => PlatformOutcome::Written { version },
                    Ok(None) => PlatformOutcome::Conflict,
                    Err(error) => error.outcome(),
                }
            }
        }
    }

    async fn list_call(
        &self,
        request: reqwest::RequestBuilder,
    ) -> Result<ObjectList, PlatformError> {
        match self.call(request).await? {
            (200, body) => decode(&body, &self.metrics),
            (status, _) => Err(PlatformError::Status(status)),
        }
    }

    async fn call(
        &self,
        request: reqwest::RequestBuilder,
    ) -> Result<(u16, bytes::Bytes), PlatformError> {
        self.metrics.platform_calls.inc();
        let answer = async {
            let response = request.send().await?;
            let status = response.status().as_u16();
            Ok((status, response.bytes().await?))
        };
        let answer: Result<_, reqwest::Error> = answer.await;
        answer.map_err(|error| {
            self.metrics.platform_failures.inc();
            if error.is_connect() {
                PlatformError::Unreachable(error)
            } else {
                PlatformError::Lost(error)
            }
        })
    }
}

impl PlatformError {
    fn outcome(&self) -> PlatformOutcome {
        match self {
            // The interface says that a 503 had no effect.
            PlatformError::Unreachable(_) | PlatformError::Status(503) => PlatformOutcome::NotRun,
            _ => PlatformOutcome::Unknown,
        }
    }
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8], metrics: &Metrics) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| {
        metrics.decode_failures.inc();
        PlatformError::Garbage(error)
    })
}
