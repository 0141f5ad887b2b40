//! Routing: which endpoint runs a request.
//!
//! Load is what an endpoint reported last, corrected by what this host has
//! sent since. Prompts with a common start go to the same engine while it is
//! no busier than [`AFFINITY_SLACK`] above the least busy one, chosen by
//! rendezvous hashing (Thaler and Ravishankar, 1998), so that hosts agree
//! without talking.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::{EndpointKind, EndpointSpec, FleetConfiguration, ResolvedModel};
use crate::decision::placement::{EngineReport, ModelPhase};
use crate::ids::{EndpointId, ModelName};

/// Requests above the least busy engine that affinity may cost.
pub const AFFINITY_SLACK: u32 = 4;
/// Time for which a failed endpoint is tried only if there is no other.
pub const FAILURE_PENALTY: Duration = Duration::from_millis(1_000);
/// Queue length, in multiples of an endpoint's slots, that is still accepted.
pub const QUEUE_FACTOR: u32 = 4;
/// Time to come back after, when every endpoint is full.
pub const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Prefix affinity bounded by load.
    #[default]
    Affinity,
    /// The endpoint with the fewest requests.
    LeastOutstanding,
    /// One endpoint after the other.
    RoundRobin,
}

/// What an engine says of its own load.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Requests running or waiting inside the engine.
    pub requests: u32,
    /// Whether the engine is about to stop.
    pub leaving: bool,
    /// What the engine holds in memory.
    pub engine: EngineReport,
}

impl LoadReport {
    /// Returns the models that serve, each with its version.
    pub fn serving_models(&self) -> BTreeSet<(ModelName, Arc<str>)> {
        let replicas = self.engine.replicas.iter();
        let serving = replicas.filter(|replica| replica.phase == ModelPhase::Serving);
        serving.map(|replica| (replica.model.clone(), replica.version.clone())).collect()
    }

    /// Returns whether the engine serves a version of a model.
    pub fn serves(&self, model: &str, version: &str) -> bool {
        self.engine.replicas.iter().any(|replica| {
            &*replica.model == model
                && &*replica.version == version
                && replica.phase == ModelPhase::Serving
        })
    }
}

/// What a request needs of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteTarget {
    /// A model on any engine that serves it.
    Model {
        /// Model and adapter.
        model: ResolvedModel,
        /// Hash of the start of the prompt.
        prefix: u64,
    },
    /// Any of the endpoints of a plain route.
    Service {
        /// Name of the route.
        route: Arc<str>,
    },
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RouteRefusal {
    /// No endpoint serves the target now.
    #[error("no endpoint serves it now")]
    NoneServing,
    /// All endpoints that serve the target are full.
    #[error("all endpoints that serve it are full")]
    AllFull,
}

/// One endpoint as a host sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether it answered lately.
    pub reachable: bool,
    /// Requests that it reported last.
    pub requests: u32,
    /// Requests that this host runs on it.
    pub in_flight: u32,
    /// Models that it reported last as serving, each with its version.
    pub models: BTreeSet<(ModelName, Arc<str>)>,
}

#[derive(Debug, Default)]
struct EndpointState {
    in_flight: u32,
    in_flight_at_report: u32,
    report: Option<LoadReport>,
    failed_until: Duration,
}

/// Load and health of all endpoints, as one host sees them.
#[derive(Debug)]
pub struct EndpointSelector {
    policy: RoutingPolicy,
    states: BTreeMap<EndpointId, EndpointState>,
    turn: usize,
}

impl EndpointSelector {
    /// Creates a table for a policy.
    pub fn new(policy: RoutingPolicy) -> EndpointSelector {
        EndpointSelector { policy, states: BTreeMap::new(), turn: 0 }
    }

    /// Chooses an endpoint and counts the request as in flight on it.
    ///
    /// # Errors
    ///
    /// [`RouteRefusal`] says whether nothing serves the target or all is full.
    pub fn choose_endpoint(
        &mut self,
        now: Duration,
        configuration: &FleetConfiguration,
        target: &RouteTarget,
        excluded: &[EndpointId],
    ) -> Result<EndpointId, RouteRefusal> {
        let candidates: Vec<(&EndpointId, &EndpointSpec)> = configuration
            .endpoints
            .iter()
            .filter(|(id, spec)| {
                !excluded.contains(id) && self.serves(configuration, target, id, spec)
            })
            .collect();
        let healthy: Vec<_> =
            candidates.iter().copied().filter(|(id, _)| self.healthy(now, id)).collect();
        let candidates = if healthy.is_empty() { candidates } else { healthy };
        if candidates.is_empty() {
            return Err(RouteRefusal::NoneServing);
        }
        let open: Vec<(u32, &EndpointId)> = candidates
            .into_iter()
            .map(|(id, spec)| (self.load(id), id, spec))
            .filter(|(load, _, spec)| *load < spec.slots.saturating_mul(QUEUE_FACTOR))
            .map(|(load, id, _)| (load, id))
            .collect();
        let id = self.pick(target, &open).ok_or(RouteRefusal::AllFull)?.clone();
        self.states.entry(id.clone()).or_default().in_flight += 1;
        Ok(id)
    }

    /// Takes a request that ended off its endpoint's count.
    pub fn finish_request(&mut self, now: Duration, endpoint: &str, failed: bool) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if failed {
                state.failed_until = now + FAILURE_PENALTY;
            }
        }
    }

    /// Takes in an engine's report, or that it could not be had.
    pub fn record_report(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        report: Option<LoadReport>,
    ) {
        let state = self.states.entry(endpoint).or_default();
        match report {
            Some(report) => {
                state.in_flight_at_report = state.in_flight;
                state.report = Some(report);
                state.failed_until = Duration::ZERO;
            }
            None => state.failed_until = now + FAILURE_PENALTY * 2,
        }
    }

    /// Returns the requests of this host that run on an endpoint.
    pub fn in_flight(&self, endpoint: &str) -> u32 {
        self.states.get(endpoint).map_or(0, |state| state.in_flight)
    }

    /// Returns what this host knows of the declared endpoints.
    pub fn endpoint_views(
        &self,
        now: Duration,
        configuration: &FleetConfiguration,
    ) -> Vec<EndpointView> {
        let view = |endpoint: &EndpointId| {
            let report = self.states.get(endpoint).and_then(|state| state.report.clone());
            let report = report.unwrap_or_default();
            EndpointView {
                reachable: self.healthy(now, endpoint),
                requests: report.requests,
                in_flight: self.in_flight(endpoint),
                models: report.serving_models(),
                endpoint: endpoint.clone(),
            }
        };
        configuration.endpoints.keys().map(view).collect()
    }

    fn healthy(&self, now: Duration, id: &str) -> bool {
        self.states.get(id).is_none_or(|state| state.failed_until <= now)
    }

    fn serves(
        &self,
        configuration: &FleetConfiguration,
        target: &RouteTarget,
        id: &EndpointId,
        spec: &EndpointSpec,
    ) -> bool {
        let report = self.states.get(id).and_then(|state| state.report.as_ref());
        if spec.leaving || report.is_some_and(|report| report.leaving) {
            return false;
        }
        match target {
            RouteTarget::Model { model, .. } => {
                let version = configuration.models.get(&model.model).map(|spec| &spec.version);
                spec.kind == EndpointKind::Engine
                    && version
                        .zip(report)
                        .is_some_and(|(version, report)| report.serves(&model.model, version))
            }
            RouteTarget::Service { route } => {
                configuration.routes.get(route).is_some_and(|route| route.endpoints.contains(id))
            }
        }
    }

    /// Returns the reported load plus what this host has sent since.
    fn load(&self, id: &str) -> u32 {
        self.states.get(id).map_or(0, |state| {
            let reported = state.report.as_ref().map_or(0, |report| report.requests);
            let since = state.in_flight.saturating_sub(state.in_flight_at_report);
            (reported + since).max(state.in_flight)
        })
    }

    fn pick<'a>(
        &mut self,
        target: &RouteTarget,
        open: &[(u32, &'a EndpointId)],
    ) -> Option<&'a EndpointId> {
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        let least = open.iter().map(|(load, _)| *load).min()?;
        match (self.policy, target) {
            (RoutingPolicy::RoundRobin, _) => Some(open[turn % open.len()].1),
            (RoutingPolicy::Affinity, RouteTarget::Model { prefix, .. }) => open
                .iter()
                .filter(|(load, _)| *load <= least + AFFINITY_SLACK)
                .max_by_key(|(_, id)| rendezvous_weight(*prefix, id))
                .map(|(_, id)| *id),
            _ => {
                let equal: Vec<_> = open.iter().filter(|(load, _)| *load == least).collect();
                Some(equal[turn % equal.len()].1)
            }
        }
    }
}

/// Returns the weight of an endpoint for a prefix; the highest one wins.
fn rendezvous_weight(prefix: u64, endpoint: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&prefix.to_le_bytes()).update(endpoint.as_bytes());
    let bytes = hasher.finalize();
    u64::from_le_bytes(bytes.as_bytes()[..8].try_into().unwrap_or_default())
}
