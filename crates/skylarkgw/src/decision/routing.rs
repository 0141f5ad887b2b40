//! Selects the endpoint that runs a request.
//!
//! The load of an endpoint is the number of requests that it reported last plus
//! those that this host has sent since, and at least the number that this host has
//! in flight on it. Prompts with a common prefix go to the same engine while its load
//! exceeds that of the least busy one by at most [`AFFINITY_SLACK_REQUESTS`]. The
//! engine is chosen by rendezvous hashing (Thaler and Ravishankar, 1998), so that
//! hosts agree without exchanging messages.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::{EndpointKind, EndpointSpec, FleetConfiguration, ResolvedModel};
use crate::decision::placement::{EngineReport, ModelPhase};
use crate::ids::{EndpointId, ModelName};

/// Number of requests by which an engine may exceed the least busy one and still
/// be chosen for prefix affinity.
pub const AFFINITY_SLACK_REQUESTS: u32 = 4;
/// Time for which a failed endpoint is used only if no healthy endpoint serves the
/// target. It is doubled after a report that could not be fetched.
pub const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);
/// Number of running or waiting requests per slot at which an endpoint counts as
/// full.
pub const MAX_LOAD_PER_SLOT: u32 = 4;
/// Retry delay for clients if no endpoint can run a request, or if the delay cannot
/// be estimated.
pub const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Policy for selecting an endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Prefix affinity, bounded by load.
    #[default]
    Affinity,
    /// The endpoint with the fewest requests.
    LeastOutstanding,
    /// Each endpoint in turn.
    RoundRobin,
}

/// Engine's report of its load and contents.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Number of requests that run or wait inside the engine.
    pub requests: u32,
    /// Whether the engine is shutting down.
    pub leaving: bool,
    /// Replicas, memory and orders of the engine.
    pub engine: EngineReport,
}

impl LoadReport {
    /// Returns the models that the engine serves, each with its version.
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

/// Model or route to which a request is addressed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteTarget {
    /// Any engine that serves a model.
    Model {
        /// Requested model and adapter.
        model: ResolvedModel,
        /// Hash of the prompt prefix.
        prefix: u64,
    },
    /// Any endpoint of a route to a plain service.
    Service {
        /// Name of the route.
        route: Arc<str>,
    },
}

/// Reason that no endpoint was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RouteRefusal {
    /// No endpoint currently serves the target.
    #[error("no endpoint serves it now")]
    NoneServing,
    /// All endpoints that serve the target are full.
    #[error("all endpoints that serve it are full")]
    AllFull,
}

/// Load and health of one endpoint, as one host observes them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointView {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,
    /// Whether the endpoint is considered reachable: false during the backoff after
    /// a failed request or report.
    pub reachable: bool,
    /// Number of requests in the last report of the endpoint.
    pub requests: u32,
    /// Number of requests of this host that run on the endpoint.
    pub in_flight: u32,
    /// Models that the endpoint serves according to its last report, each with its
    /// version.
    pub models: BTreeSet<(ModelName, Arc<str>)>,
}

/// Requests, last report and backoff of one endpoint.
#[derive(Debug, Default)]
struct EndpointState {
    /// Number of requests of this host that run on the endpoint.
    in_flight: u32,
    /// Value of `in_flight` when the last report was recorded.
    in_flight_at_report: u32,
    report: Option<LoadReport>,
    /// End of the backoff after a failure.
    failed_until: Duration,
}

/// Selects endpoints by their load and health, as one host observes them.
#[derive(Debug)]
pub struct EndpointSelector {
    policy: RoutingPolicy,
    states: BTreeMap<EndpointId, EndpointState>,
    selection_count: usize,
}

impl EndpointSelector {
    /// Creates a selector with a policy and without any reports.
    pub fn new(policy: RoutingPolicy) -> EndpointSelector {
        EndpointSelector { policy, states: BTreeMap::new(), selection_count: 0 }
    }

    /// Selects an endpoint and counts the request as in flight on it.
    ///
    /// Endpoints in `excluded` are not considered. Endpoints in backoff after a
    /// failure are considered only if no others serve the target.
    ///
    /// # Errors
    ///
    /// Returns [`RouteRefusal::NoneServing`] if no endpoint serves the target, and
    /// [`RouteRefusal::AllFull`] if all that serve it are full.
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
                !excluded.contains(id) && self.can_serve(configuration, target, id, spec)
            })
            .collect();
        let healthy: Vec<_> =
            candidates.iter().copied().filter(|(id, _)| self.is_healthy(now, id)).collect();
        let candidates = if healthy.is_empty() { candidates } else { healthy };
        if candidates.is_empty() {
            return Err(RouteRefusal::NoneServing);
        }
        let available: Vec<(u32, &EndpointId)> = candidates
            .into_iter()
            .map(|(id, spec)| (self.estimate_load(id), id, spec))
            .filter(|(load, _, spec)| *load < spec.slots.saturating_mul(MAX_LOAD_PER_SLOT))
            .map(|(load, id, _)| (load, id))
            .collect();
        let id = self.select_candidate(target, &available).ok_or(RouteRefusal::AllFull)?.clone();
        self.states.entry(id.clone()).or_default().in_flight += 1;
        Ok(id)
    }

    /// Removes a request that ended from the count of its endpoint, and starts a
    /// backoff if the endpoint failed.
    pub fn finish_request(&mut self, now: Duration, endpoint: &str, failed: bool) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if failed {
                state.failed_until = now + FAILURE_BACKOFF;
            }
        }
    }

    /// Records the report of an endpoint, which ends its backoff.
    ///
    /// `None` means that no valid report arrived. It starts a backoff of twice
    /// [`FAILURE_BACKOFF`].
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
            None => state.failed_until = now + FAILURE_BACKOFF * 2,
        }
    }

    /// Returns the number of requests of this host that run on an endpoint.
    pub fn in_flight(&self, endpoint: &str) -> u32 {
        self.states.get(endpoint).map_or(0, |state| state.in_flight)
    }

    /// Returns the load and health of all declared endpoints.
    pub fn endpoint_views(
        &self,
        now: Duration,
        configuration: &FleetConfiguration,
    ) -> Vec<EndpointView> {
        let view = |endpoint: &EndpointId| {
            let report = self.states.get(endpoint).and_then(|state| state.report.clone());
            let report = report.unwrap_or_default();
            EndpointView {
                reachable: self.is_healthy(now, endpoint),
                requests: report.requests,
                in_flight: self.in_flight(endpoint),
                models: report.serving_models(),
                endpoint: endpoint.clone(),
            }
        };
        configuration.endpoints.keys().map(view).collect()
    }

    /// Returns whether an endpoint is not in backoff after a failure.
    fn is_healthy(&self, now: Duration, id: &str) -> bool {
        self.states.get(id).is_none_or(|state| state.failed_until <= now)
    }

    /// Returns whether an endpoint serves the target and is not leaving.
    fn can_serve(
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

    /// Returns the number of requests that an endpoint reported last plus those
    /// that this host has sent since, but at least the number that this host has in
    /// flight on it.
    fn estimate_load(&self, id: &str) -> u32 {
        self.states.get(id).map_or(0, |state| {
            let reported = state.report.as_ref().map_or(0, |report| report.requests);
            let sent_since = state.in_flight.saturating_sub(state.in_flight_at_report);
            (reported + sent_since).max(state.in_flight)
        })
    }

    /// Selects one of the endpoints in `available`, which are listed with their
    /// load, according to the policy.
    fn select_candidate<'a>(
        &mut self,
        target: &RouteTarget,
        available: &[(u32, &'a EndpointId)],
    ) -> Option<&'a EndpointId> {
        self.selection_count = self.selection_count.wrapping_add(1);
        let selection = self.selection_count;
        let lowest_load = available.iter().map(|(load, _)| *load).min()?;
        match (self.policy, target) {
            (RoutingPolicy::RoundRobin, _) => Some(available[selection % available.len()].1),
            (RoutingPolicy::Affinity, RouteTarget::Model { prefix, .. }) => available
                .iter()
                .filter(|(load, _)| *load <= lowest_load + AFFINITY_SLACK_REQUESTS)
                .max_by_key(|(_, id)| compute_rendezvous_weight(*prefix, id))
                .map(|(_, id)| *id),
            _ => {
                let least_loaded: Vec<_> =
                    available.iter().filter(|(load, _)| *load == lowest_load).collect();
                Some(least_loaded[selection % least_loaded.len()].1)
            }
        }
    }
}

/// Returns the rendezvous hashing weight of an endpoint for a prefix; the endpoint
/// with the highest weight is selected.
fn compute_rendezvous_weight(prefix: u64, endpoint: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&prefix.to_le_bytes()).update(endpoint.as_bytes());
    let bytes = hasher.finalize();
    u64::from_le_bytes(bytes.as_bytes()[..8].try_into().unwrap_or_default())
}
