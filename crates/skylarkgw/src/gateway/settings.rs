//! Settings of a gateway host, as an adapter decodes them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::quota_pool::QuotaTolerance;
use crate::ids::{DataCentre, HostId};

/// Times and shares that the deployment promises.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct GatewayBounds {
    /// Time after which a withdrawn key is refused everywhere, also by hosts
    /// without contact.
    pub revocation: Duration,
    /// Time after which an accepted declaration is in force.
    pub declaration: Duration,
    /// Time that must pass between the orders of two holders.
    pub lease: Duration,
    /// Repeats for each request to a service.
    pub retry_ratio: f64,
    /// Repeats beyond that, over all hosts and one window.
    pub retry_slack: f64,
    /// How exactly quotas are kept.
    pub quota: QuotaTolerance,
    /// Time in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
}

/// Everything that a gateway host is told at its start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address that readiness is asked at.
    pub readiness: SocketAddr,
    /// Address for other hosts.
    pub peers: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// What the deployment promises.
    pub bounds: GatewayBounds,
}
