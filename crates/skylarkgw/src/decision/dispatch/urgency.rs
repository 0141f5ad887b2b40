//! The order in which requests of one service go first.
//!
//! The rank of the workspace goes before the rank of the route, and that before the
//! latency objective. Engines admit by this order, hosts keep their queues in it, and a
//! kind of request yields places by the ranks and objectives of the routes.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::declaration::{FleetDeclaration, RouteRule, ServiceName, WorkspaceRule};

/// Position of a request at its engine, from 0 (first) to [`LEAST_URGENT_LEVEL`].
pub type UrgencyLevel = u8;

/// Level of the least urgent requests.
pub const LEAST_URGENT_LEVEL: UrgencyLevel = 9;
/// Level of a request whose service declares no route.
const UNKNOWN_LEVEL: UrgencyLevel = 5;
/// Ratio of two latency objectives from which the longer one leaves time to wait until
/// requests with the shorter one are served.
const YIELD_RATIO: u32 = 4;

/// Urgency of a request; the least value goes first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestUrgency {
    workspace_rank: u8,
    route_rank: u8,
    objective: Duration,
}

impl RequestUrgency {
    /// Returns the urgency of a request. A workspace without a rank takes the rank of the
    /// route.
    pub fn new(route: &RouteRule, workspace: Option<&WorkspaceRule>) -> RequestUrgency {
        let workspace_rank = workspace.and_then(|workspace| workspace.rank).unwrap_or(route.rank);
        RequestUrgency {
            workspace_rank,
            route_rank: route.rank,
            objective: route.latency_objective,
        }
    }

    /// Returns how much two successive urgencies differ, the least value for the most.
    fn step_to(&self, next: &RequestUrgency) -> UrgencyStep {
        if self.workspace_rank != next.workspace_rank {
            UrgencyStep::Workspace
        } else if self.route_rank != next.route_rank {
            UrgencyStep::Route
        } else {
            UrgencyStep::Objective
        }
    }
}

/// What two successive urgencies first differ in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum UrgencyStep {
    Workspace,
    Route,
    Objective,
}

/// A route whose requests go before those of another route of the same service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutePrecedent {
    /// Name of the route that goes first.
    pub route: Arc<str>,
    /// Its latency objective.
    pub objective: Duration,
    /// Whether the other route leaves places free for it.
    pub is_yielded_to: bool,
}

/// Urgencies that the declaration allows at one service.
#[derive(Clone, Debug, Default)]
struct ServiceUrgency {
    /// Urgencies in ascending order, with their levels.
    levels: Vec<(RequestUrgency, UrgencyLevel)>,
    /// For each route, the routes that go before it. Empty unless one route of the service
    /// yields to another one.
    precedents: HashMap<Arc<str>, Vec<RoutePrecedent>>,
}

/// Urgencies of the requests of all services, derived from a declaration.
#[derive(Clone, Debug, Default)]
pub struct UrgencyTable {
    services: HashMap<ServiceName, ServiceUrgency>,
}

impl UrgencyTable {
    /// Builds the table from a declaration.
    pub fn new(declaration: &FleetDeclaration) -> UrgencyTable {
        let ranks: BTreeSet<Option<u8>> =
            declaration.iter_workspaces().map(|workspace| workspace.rank).collect();
        let mut routes: HashMap<ServiceName, Vec<&RouteRule>> = HashMap::new();
        for route in &declaration.routes {
            for target in &route.targets {
                routes.entry(target.service.clone()).or_default().push(route);
            }
        }
        let services = routes.into_iter().map(|(service, routes)| {
            let urgencies = list_urgencies(&routes, &ranks);
            let levels = assign_levels(&urgencies);
            let levels = urgencies.into_iter().zip(levels).collect();
            (service, ServiceUrgency { levels, precedents: find_precedents(&routes) })
        });
        UrgencyTable { services: services.collect() }
    }

    /// Returns the level of a request at the engines of a service.
    pub fn level(&self, service: &str, urgency: &RequestUrgency) -> UrgencyLevel {
        let Some(service) = self.services.get(service) else { return UNKNOWN_LEVEL };
        // An urgency of another declaration takes the level of the next one before it.
        let after = service.levels.partition_point(|(other, _)| other <= urgency);
        let found = service.levels.get(after.saturating_sub(1));
        found.map_or(UNKNOWN_LEVEL, |(_, level)| *level)
    }

    /// Returns the routes of a service that go before `route`, or nothing if no route of
    /// the service yields to another one.
    pub fn precedents(&self, service: &str, route: &str) -> &[RoutePrecedent] {
        let service = self.services.get(service);
        let precedents = service.and_then(|service| service.precedents.get(route));
        precedents.map_or(&[], Vec::as_slice)
    }

    /// Returns whether another route of the service yields to `route`.
    pub fn is_yielded_to(&self, service: &str, route: &str) -> bool {
        self.services.get(service).is_some_and(|service| {
            let mut precedents = service.precedents.values().flatten();
            precedents.any(|first| first.is_yielded_to && &*first.route == route)
        })
    }

    /// Returns whether a route of the service yields to another one.
    pub fn has_yielding_route(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| !service.precedents.is_empty())
    }
}

/// Returns whether requests of `route` leave places free for those of `urgent`: these go
/// first by the ranks and objectives of the routes, and are due so much sooner that the
/// others can wait for them.
///
/// The rank of a workspace is no part of this: it decides who goes first among those that
/// wait, and yielding costs a request none of its objective.
pub fn yields_to(route: &RouteRule, urgent: &RouteRule) -> bool {
    goes_before(urgent, route) && urgent.latency_objective * YIELD_RATIO <= route.latency_objective
}

/// Returns whether requests of `first` go before those of `second` within one workspace.
fn goes_before(first: &RouteRule, second: &RouteRule) -> bool {
    (first.rank, first.latency_objective) < (second.rank, second.latency_objective)
}

/// Returns the distinct urgencies of the routes in workspaces of the given ranks, in
/// ascending order.
fn list_urgencies(routes: &[&RouteRule], ranks: &BTreeSet<Option<u8>>) -> Vec<RequestUrgency> {
    let urgencies = routes.iter().flat_map(|route| {
        let ranked = ranks.iter().flatten().map(|rank| RequestUrgency {
            workspace_rank: *rank,
            ..RequestUrgency::new(route, None)
        });
        let is_unranked = ranks.is_empty() || ranks.contains(&None) || route.is_public;
        ranked.chain(is_unranked.then(|| RequestUrgency::new(route, None)))
    });
    urgencies.collect::<BTreeSet<_>>().into_iter().collect()
}

/// Returns the level of each of some urgencies in ascending order.
///
/// If there are more urgencies than levels, the steps between ranks of workspaces are kept
/// first, then those between ranks of routes, then those between objectives, and among
/// equal ones those of the more urgent requests.
fn assign_levels(urgencies: &[RequestUrgency]) -> Vec<UrgencyLevel> {
    let mut steps: Vec<(UrgencyStep, usize)> =
        urgencies.windows(2).map(|pair| pair[0].step_to(&pair[1])).zip(1..).collect();
    steps.sort_unstable();
    steps.truncate(usize::from(LEAST_URGENT_LEVEL));
    let kept: BTreeSet<usize> = steps.into_iter().map(|(_, index)| index).collect();
    let levels = (0..urgencies.len()).scan(0, |level, index| {
        *level += UrgencyLevel::from(kept.contains(&index));
        Some(*level)
    });
    levels.collect()
}

/// Returns the routes that go before each route, or nothing if none yields to another.
fn find_precedents(routes: &[&RouteRule]) -> HashMap<Arc<str>, Vec<RoutePrecedent>> {
    let precedents: HashMap<Arc<str>, Vec<RoutePrecedent>> = routes
        .iter()
        .map(|route| {
            let first = routes.iter().filter(|first| goes_before(first, route));
            let first = first.map(|first| RoutePrecedent {
                route: first.name.clone(),
                objective: first.latency_objective,
                is_yielded_to: yields_to(route, first),
            });
            (route.name.clone(), first.collect())
        })
        .collect();
    let has_yielding = precedents.values().flatten().any(|precedent| precedent.is_yielded_to);
    if has_yielding { precedents } else { HashMap::new() }
}
