//! Tests of the order of requests under a service that batches and live requests share.

use std::time::Duration;

use skylarkgw::decision::dispatch::urgency::{
    LEAST_URGENT_LEVEL, RequestUrgency, UrgencyTable, yields_to,
};
use skylarkgw::gateway::declaration::{FleetDeclaration, RouteRule};

use crate::samples::{MODEL_SERVICE, declaration, ms, route, workspace};

/// Returns a route of the service that generates tokens.
pub fn kind(name: &str, rank: u8, objective: Duration) -> RouteRule {
    let rule = route(name, "a.example", &format!("/{name}/"));
    RouteRule { rank, latency_objective: objective, ..rule }
}

/// Declares a live, a sorting and a batch kind, for workspaces of the given ranks.
pub fn shared_service(ranks: &[Option<u8>]) -> FleetDeclaration {
    let workspaces = ranks.iter().enumerate().map(|(index, rank)| {
        let name = format!("workspace-{index}");
        let mut rule = workspace(&name, &name, 0);
        rule.rank = *rank;
        rule
    });
    FleetDeclaration {
        routes: vec![
            kind("batch", 2, ms(2_500)),
            kind("live", 0, ms(250)),
            kind("sorting", 1, ms(400)),
        ],
        workspaces: Some(workspaces.collect()),
        ..declaration(&["sage"])
    }
}

/// Returns the levels of the live, sorting and batch kind in each workspace.
fn levels(declaration: &FleetDeclaration) -> Vec<Vec<u8>> {
    let table = UrgencyTable::new(declaration);
    let level = |name: &str, index: usize| {
        let route = declaration.routes.iter().find(|route| &*route.name == name);
        let urgency =
            RequestUrgency::new(route.expect("a route"), declaration.iter_workspaces().nth(index));
        table.level(MODEL_SERVICE, &urgency)
    };
    let kinds = ["live", "sorting", "batch"];
    let workspaces = 0..declaration.iter_workspaces().count();
    workspaces.map(|index| kinds.iter().map(|name| level(name, index)).collect()).collect()
}

#[test]
fn batch_and_live_requests_of_one_workspace_keep_the_ranks_of_their_routes() {
    let levels = levels(&shared_service(&[Some(0), Some(1), Some(2)]));
    assert_eq!(levels, [[0, 1, 2], [3, 4, 5], [6, 7, 8]]);
}

#[test]
fn workspace_without_a_rank_takes_those_of_the_routes() {
    let levels = levels(&shared_service(&[None]));
    assert_eq!(levels, [[0, 1, 2]]);
}

#[test]
fn ranks_of_workspaces_are_kept_first_when_the_levels_do_not_suffice() {
    let ranks: Vec<Option<u8>> = (0..5).map(Some).collect();
    let levels = levels(&shared_service(&ranks));
    // Five workspace ranks take four steps, and five remain for the most urgent routes.
    assert_eq!(levels, [[0, 1, 2], [3, 4, 5], [6, 7, 7], [8, 8, 8], [9, 9, 9]]);
    assert!(levels.iter().flatten().all(|level| *level <= LEAST_URGENT_LEVEL));
}

#[test]
fn urgency_of_another_declaration_keeps_its_place() {
    let table = UrgencyTable::new(&shared_service(&[Some(0), Some(2)]));
    let mut other = workspace("other", "key", 0);
    other.rank = Some(1);
    let urgency = RequestUrgency::new(&kind("live", 0, ms(250)), Some(&other));
    assert_eq!(table.level(MODEL_SERVICE, &urgency), 2);
    assert_eq!(table.level("unknown", &urgency), 5);
}

// A kind with a longer objective yields only if it is also the less urgent one.
#[test]
fn only_less_urgent_kinds_with_time_to_spare_yield() {
    let live = kind("live", 0, ms(400));
    assert!(yields_to(&kind("batch", 1, ms(4_000)), &live));
    assert!(!yields_to(&kind("sorting", 2, ms(500)), &live));
    assert!(!yields_to(&kind("verdict", 0, ms(1_500)), &kind("hint", 1, ms(300))));
    let mut declaration = shared_service(&[None]);
    let names = |declaration: &FleetDeclaration, route: &str| -> Vec<(String, bool)> {
        let table = UrgencyTable::new(declaration);
        let precedents = table.precedents(MODEL_SERVICE, route).iter();
        precedents.map(|first| (first.route.to_string(), first.is_yielded_to)).collect()
    };
    let expected = [("live".to_owned(), true), ("sorting".to_owned(), true)];
    assert_eq!(names(&declaration, "batch"), expected);
    assert_eq!(names(&declaration, "sorting"), [("live".to_owned(), false)]);
    // Without the batch no kind has time to spare, and the service is served as before.
    declaration.routes.remove(0);
    assert!(names(&declaration, "sorting").is_empty());
}
