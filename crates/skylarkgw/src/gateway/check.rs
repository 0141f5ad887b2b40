//! Checks a declaration before it is sent to the platform.
//!
//! A declaration that can be decoded may still hold entries that no request ever uses,
//! and limits that contradict each other. The check needs the declaration alone.

mod difference;

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

use crate::gateway::declaration::{
    ClientLimits, FleetDeclaration, GenerationRule, RetryPolicy, RouteRule, ServiceRule,
    WorkspaceRule,
};
use crate::ids::{ModelName, RegionName, Tokens, WorkspaceId};

pub use difference::{DeclarationChange, compare_declarations};

/// Smallest request head that common clients send, in bytes.
const MIN_HEADER_BYTES: usize = 1_024;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FindingSeverity {
    /// An entry has no effect, or a limit can never be reached.
    Warning,
    /// Requests will be refused, or routed otherwise than the entry says.
    Error,
}

/// The entry of a declaration that a finding or a change is about.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeclarationEntry {
    /// The declaration as a whole.
    Declaration,
    /// A route, by its name.
    Route(Arc<str>),
    /// A service, by its name.
    Service(Arc<str>),
    /// A model of a service, by the names of both.
    Model(Arc<str>, ModelName),
    /// A workspace, by its name.
    Workspace(WorkspaceId),
    /// The limits for clients.
    Limits,
}

impl fmt::Display for DeclarationEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeclarationEntry::Declaration => formatter.write_str("declaration"),
            DeclarationEntry::Route(name) => write!(formatter, "route {name}"),
            DeclarationEntry::Service(name) => write!(formatter, "service {name}"),
            DeclarationEntry::Model(service, name) => {
                write!(formatter, "model {name} of service {service}")
            }
            DeclarationEntry::Workspace(name) => write!(formatter, "workspace {name}"),
            DeclarationEntry::Limits => formatter.write_str("limits"),
        }
    }
}

/// What is wrong with an entry.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum DeclarationProblem {
    /// Another entry of the same kind has the same name.
    #[error("another entry has the same name")]
    DuplicateName,
    /// An earlier route has the same host and path prefix.
    #[error("never matches: route {0} has the same host and path prefix")]
    ShadowedRoute(Arc<str>),
    /// The host of a route is empty or contains a port or a path.
    #[error("never matches: {0:?} is not a host name without a port")]
    InvalidHost(Arc<str>),
    /// The path prefix does not begin and end with a slash.
    #[error("never matches as meant: the path prefix {0:?} must begin and end with a slash")]
    InvalidPrefix(Arc<str>),
    /// A route sends requests to no service.
    #[error("has no service to send requests to")]
    NoTarget,
    /// A route sends requests to a service that is not declared.
    #[error("sends requests to service {0}, which is not declared")]
    UnknownService(Arc<str>),
    /// A target of a route has the weight zero.
    #[error("never sends requests to service {0}, whose weight is zero")]
    ZeroWeight(Arc<str>),
    /// No route sends requests to a service.
    #[error("gets no requests: no route names it")]
    UnusedService,
    /// A service generates tokens and declares no model.
    #[error("generates tokens and declares no model")]
    NoModel,
    /// A model is larger than the memory of an engine.
    #[error("can never be loaded: {needed_mb} MB do not fit in the {memory_mb} MB of an engine")]
    ModelTooLarge {
        /// Size of the weights, in megabytes.
        needed_mb: f64,
        /// Memory of one engine, in megabytes.
        memory_mb: f64,
    },
    /// Models are declared and nothing may be loaded.
    #[error("no model can be loaded: the rate of loads is zero")]
    NoLoads,
    /// Endpoints accept no connection.
    #[error("gets no requests: no connection is allowed")]
    NoConnections,
    /// Engines are cold after their start and take no requests while they are.
    #[error("engines take no requests for {} s after their start", .0.as_secs_f64())]
    ColdWithoutRate(Duration),
    /// The latency objective exceeds the time limit of the route.
    #[error("the latency objective of {} ms exceeds the time limit of {} ms", objective.as_millis(), timeout.as_millis())]
    ObjectiveBeyondTimeout {
        /// Latency objective.
        objective: Duration,
        /// Time limit.
        timeout: Duration,
    },
    /// Requests have no time at all.
    #[error("every request is refused: the time limit is zero")]
    NoTime,
    /// Requests may be sent to no endpoint.
    #[error("every request is refused: the number of attempts is zero")]
    NoAttempts,
    /// Requests must not be repeated, so further attempts are never made.
    #[error("{0} attempts are allowed, but a request must not run more than once")]
    UnusedAttempts(u32),
    /// A workspace has no key, so no request belongs to it.
    #[error("never matches: it has no key")]
    NoKey,
    /// Two workspaces have the same key.
    #[error("one of its keys belongs to workspace {0} as well")]
    SharedKey(WorkspaceId),
    /// A workspace has a rate and no burst.
    #[error("every request is refused: the rate has no burst")]
    NoBurst,
    /// A request without a token count exceeds the burst.
    #[error("a request without a token count costs {cost} tokens, the burst is {burst}")]
    RequestBeyondBurst {
        /// Tokens charged for the request.
        cost: Tokens,
        /// Burst of the workspace, in tokens.
        burst: Tokens,
    },
    /// The regions of a route and of a workspace have none in common.
    #[error("its requests on route {0} are refused: the allowed regions have none in common")]
    DisjointRegions(Arc<str>),
    /// No data centre of the deployment is in a region.
    #[error("no data centre is in region {0}")]
    UnknownRegion(RegionName),
    /// No public route exists and no workspace has a key.
    #[error("every request is refused: no route is public and no workspace has a key")]
    NoCallers,
    /// A limit is too small for any request.
    #[error("{limit} of {value} refuses requests of common clients")]
    TightLimit {
        /// Name of the limit.
        limit: &'static str,
        /// Its value.
        value: u64,
    },
}

impl DeclarationProblem {
    /// Returns how much the problem matters.
    pub fn severity(&self) -> FindingSeverity {
        match self {
            DeclarationProblem::ZeroWeight(_)
            | DeclarationProblem::UnusedService
            | DeclarationProblem::UnusedAttempts(_)
            | DeclarationProblem::NoKey => FindingSeverity::Warning,
            _ => FindingSeverity::Error,
        }
    }
}

/// A problem and the entry that has it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclarationFinding {
    /// The entry.
    pub entry: DeclarationEntry,
    /// The problem.
    pub problem: DeclarationProblem,
}

/// Checks all entries of a declaration, and returns what is wrong in the order of the
/// entries.
///
/// `regions` are the regions of the deployment, if they are known.
pub fn check_declaration(
    declaration: &FleetDeclaration,
    regions: Option<&HashSet<RegionName>>,
) -> Vec<DeclarationFinding> {
    let mut check = DeclarationCheck { declaration, regions, findings: Vec::new() };
    check.check_routes();
    check.check_services();
    check.check_workspaces();
    check.check_limits(&declaration.limits);
    check.findings
}

struct DeclarationCheck<'a> {
    declaration: &'a FleetDeclaration,
    regions: Option<&'a HashSet<RegionName>>,
    findings: Vec<DeclarationFinding>,
}

impl DeclarationCheck<'_> {
    fn report(&mut self, entry: &DeclarationEntry, problem: DeclarationProblem) {
        self.findings.push(DeclarationFinding { entry: entry.clone(), problem });
    }

    fn check_routes(&mut self) {
        let mut names = HashSet::new();
        let mut prefixes: HashMap<(String, Arc<str>), Arc<str>> = HashMap::new();
        for route in &self.declaration.routes {
            let entry = DeclarationEntry::Route(route.name.clone());
            if !names.insert(&route.name) {
                self.report(&entry, DeclarationProblem::DuplicateName);
            }
            let place = (route.host.to_ascii_lowercase(), route.path_prefix.clone());
            match prefixes.get(&place) {
                Some(first) => {
                    self.report(&entry, DeclarationProblem::ShadowedRoute(first.clone()));
                }
                None => {
                    prefixes.insert(place, route.name.clone());
                }
            }
            self.check_match(&entry, route);
            self.check_targets(&entry, route);
            self.check_times(&entry, route);
            self.check_regions(&entry, &route.allowed_regions);
        }
    }

    fn check_match(&mut self, entry: &DeclarationEntry, route: &RouteRule) {
        if route.host.is_empty() || route.host.contains(['/', ':', ' ']) {
            self.report(entry, DeclarationProblem::InvalidHost(route.host.clone()));
        }
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            self.report(entry, DeclarationProblem::InvalidPrefix(prefix.clone()));
        }
    }

    fn check_targets(&mut self, entry: &DeclarationEntry, route: &RouteRule) {
        for target in &route.targets {
            if !self.declaration.services.contains_key(&target.service) {
                self.report(entry, DeclarationProblem::UnknownService(target.service.clone()));
            }
            if target.weight == 0 {
                self.report(entry, DeclarationProblem::ZeroWeight(target.service.clone()));
            }
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            self.report(entry, DeclarationProblem::NoTarget);
        }
    }

    fn check_times(&mut self, entry: &DeclarationEntry, route: &RouteRule) {
        let (objective, timeout) = (route.latency_objective, route.timeout);
        if timeout.is_zero() {
            self.report(entry, DeclarationProblem::NoTime);
        } else if objective > timeout {
            self.report(entry, DeclarationProblem::ObjectiveBeyondTimeout { objective, timeout });
        }
        if route.attempt_limit == 0 {
            self.report(entry, DeclarationProblem::NoAttempts);
        } else if route.repeat == RetryPolicy::AtMostOnce && route.attempt_limit > 1 {
            self.report(entry, DeclarationProblem::UnusedAttempts(route.attempt_limit));
        }
    }

    fn check_regions(&mut self, entry: &DeclarationEntry, allowed: &[RegionName]) {
        let Some(known) = self.regions else { return };
        for region in allowed.iter().filter(|region| !known.contains(*region)) {
            self.report(entry, DeclarationProblem::UnknownRegion(region.clone()));
        }
    }

    fn check_services(&mut self) {
        let targets = self.declaration.routes.iter().flat_map(|route| &route.targets);
        let used: HashSet<_> = targets.map(|target| &target.service).collect();
        let mut services: Vec<&ServiceRule> = self.declaration.services.values().collect();
        services.sort_by(|one, other| one.name.cmp(&other.name));
        for service in services {
            let entry = DeclarationEntry::Service(service.name.clone());
            if !used.contains(&service.name) {
                self.report(&entry, DeclarationProblem::UnusedService);
            }
            if service.connection_limit == 0 {
                self.report(&entry, DeclarationProblem::NoConnections);
            }
            if !service.cold_start.is_zero() && service.cold_requests_per_s == 0.0 {
                self.report(&entry, DeclarationProblem::ColdWithoutRate(service.cold_start));
            }
            if let Some(generation) = &service.generation {
                self.check_models(&entry, &service.name, generation);
            }
        }
    }

    fn check_models(
        &mut self,
        entry: &DeclarationEntry,
        service: &Arc<str>,
        generation: &GenerationRule,
    ) {
        if generation.models.is_empty() {
            self.report(entry, DeclarationProblem::NoModel);
        } else if generation.store_loads_per_s == 0.0 {
            self.report(entry, DeclarationProblem::NoLoads);
        }
        let mut names = HashSet::new();
        for model in &generation.models {
            let entry = DeclarationEntry::Model(service.clone(), model.name.clone());
            if !names.insert(&model.name) {
                self.report(&entry, DeclarationProblem::DuplicateName);
            }
            let (needed_mb, memory_mb) = (model.weights_mb, generation.weights_mb);
            if needed_mb > memory_mb {
                self.report(&entry, DeclarationProblem::ModelTooLarge { needed_mb, memory_mb });
            }
        }
    }

    fn check_workspaces(&mut self) {
        let mut names = HashSet::new();
        let mut owners: HashMap<&Arc<str>, &WorkspaceId> = HashMap::new();
        for workspace in self.declaration.iter_workspaces() {
            let entry = DeclarationEntry::Workspace(workspace.name.clone());
            if !names.insert(&workspace.name) {
                self.report(&entry, DeclarationProblem::DuplicateName);
            }
            if workspace.keys.is_empty() {
                self.report(&entry, DeclarationProblem::NoKey);
            }
            for key in &workspace.keys {
                let owner = *owners.entry(key).or_insert(&workspace.name);
                if owner != &workspace.name {
                    self.report(&entry, DeclarationProblem::SharedKey(owner.clone()));
                }
            }
            self.check_quota(&entry, workspace);
            self.check_regions(&entry, &workspace.allowed_regions);
            self.check_common_regions(&entry, workspace);
        }
        if !self.declaration.has_callers() {
            self.report(&DeclarationEntry::Declaration, DeclarationProblem::NoCallers);
        }
    }

    fn check_quota(&mut self, entry: &DeclarationEntry, workspace: &WorkspaceRule) {
        if workspace.tokens_per_s == 0 {
            return;
        }
        let cost = if workspace.counts_requests { 1 } else { workspace.default_tokens };
        let burst = workspace.burst_tokens;
        if burst == 0 {
            self.report(entry, DeclarationProblem::NoBurst);
        } else if cost > burst {
            self.report(entry, DeclarationProblem::RequestBeyondBurst { cost, burst });
        }
    }

    fn check_common_regions(&mut self, entry: &DeclarationEntry, workspace: &WorkspaceRule) {
        let allowed = &workspace.allowed_regions;
        if allowed.is_empty() {
            return;
        }
        for route in &self.declaration.routes {
            let regions = &route.allowed_regions;
            let is_bound = !route.is_public && !regions.is_empty();
            if is_bound && !regions.iter().any(|region| allowed.contains(region)) {
                self.report(entry, DeclarationProblem::DisjointRegions(route.name.clone()));
            }
        }
    }

    fn check_limits(&mut self, limits: &ClientLimits) {
        let mut tight = |limit, value: u64, least: u64| {
            if value < least {
                let problem = DeclarationProblem::TightLimit { limit, value };
                self.report(&DeclarationEntry::Limits, problem);
            }
        };
        tight("the longest head, in bytes,", limits.header_bytes as u64, MIN_HEADER_BYTES as u64);
        tight("the longest body, in bytes,", limits.body_bytes as u64, 1);
        tight("the time for a head, in ms,", limits.header_timeout.as_millis() as u64, 1);
        tight("the idle time, in ms,", limits.idle_timeout.as_millis() as u64, 1);
    }
}
