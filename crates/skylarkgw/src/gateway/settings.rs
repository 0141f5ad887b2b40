//! Settings of a gateway host, as decoded by the platform adapter.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::quota_pool::QuotaTolerance;
use crate::ids::{DataCentre, HostId, RegionName};

/// Limits that the deployment guarantees.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct GatewayBounds {
    /// Time within which every host rejects a withdrawn API key, including hosts that
    /// reach neither the store nor the coordinator.
    pub revocation: Duration,
    /// Time within which an accepted declaration is in force.
    pub declaration: Duration,
    /// Duration of the coordinator lease: the least time between the last order of
    /// one holder and the first order of the next.
    pub lease: Duration,
    /// Retry budget: number of retries allowed per request to a service.
    pub retry_ratio: f64,
    /// Number of additional retries allowed in one window, over all hosts.
    pub retry_slack: f64,
    /// Accuracy with which quotas are enforced.
    pub quota: QuotaTolerance,
    /// Length of the window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Time after an engine has said that it leaves within which every host stops sending
    /// requests to it.
    pub drain: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time after the confirmation of an evacuation within which every host stops sending
    /// requests to the engines of the data centre. `None` if the deployment has no
    /// evacuations.
    pub evacuation: Option<Duration>,
    /// Accuracy with which the request rate of cold engines is limited. `None` if the
    /// deployment does not limit it.
    pub cold: Option<ColdTolerance>,
}

/// Accuracy with which the request rate of cold engines is limited, over all hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ColdTolerance {
    /// Factor by which the requests of one second may exceed the rate.
    pub overshoot: f64,
    /// Number of requests in one second that are allowed in addition.
    pub slack: f64,
}

/// Settings that a gateway host reads at startup.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Regions of the deployment's data centres; empty if the settings name none.
    pub regions: HashMap<DataCentre, RegionName>,
    /// Address that accepts client requests.
    pub callers: SocketAddr,
    /// Address that serves readiness checks.
    pub readiness: SocketAddr,
    /// Address that accepts calls from other hosts.
    pub peers: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether this is the first start of the whole fleet, so that no earlier
    /// coordinator can have granted quota tokens.
    pub is_first_start: bool,
    /// Share of processor cores of the host.
    pub cores: f64,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Descriptors that the process may use, with those for files. `None` if the settings
    /// name no number.
    pub max_fds: Option<usize>,
    /// Interval at which engines renew their entries in the registry.
    pub renewal_interval: Duration,
    /// Limits that the deployment guarantees.
    pub bounds: GatewayBounds,
}
