//! The check of a declaration before it is sent, and what differs between two of them.

use std::collections::HashSet;
use std::time::Duration;

use skylarkgw::gateway::check::{
    DeclarationProblem, FindingSeverity, check_declaration, compare_declarations,
};
use skylarkgw::gateway::declaration::{FleetDeclaration, RetryPolicy, RouteTarget};
use skylarkgw::ids::RegionName;

use crate::samples::{declaration, only_workspace, route, workspace};

type Mistake = (&'static str, fn(&mut FleetDeclaration));

/// Mistakes of operators, each with the words by which the report names it.
const MISTAKES: [Mistake; 18] = [
    ("route again: never matches: route chat", |declaration| {
        declaration.routes.push(route("again", "A.example", "/chat/"));
    }),
    ("route chat: another entry has the same name", |declaration| {
        declaration.routes.push(route("chat", "b.example", "/chat/"));
    }),
    ("route chat: never matches: \"a.example:80\"", |declaration| {
        declaration.routes[0].host = "a.example:80".into();
    }),
    ("route chat: never matches as meant: the path prefix \"chat\"", |declaration| {
        declaration.routes[0].path_prefix = "chat".into();
    }),
    ("route chat: sends requests to service tools, which is not declared", |declaration| {
        let target = RouteTarget { service: "tools".into(), weight: 1 };
        declaration.routes[0].targets.push(target);
    }),
    ("route chat: has no service", |declaration| declaration.routes[0].targets.clear()),
    ("route chat: the latency objective of 20000 ms exceeds", |declaration| {
        declaration.routes[0].latency_objective = Duration::from_secs(20);
    }),
    ("route chat: 2 attempts are allowed, but", |declaration| {
        declaration.routes[0].repeat = RetryPolicy::AtMostOnce;
    }),
    ("route chat: every request is refused: the number of attempts is zero", |declaration| {
        declaration.routes[0].attempt_limit = 0;
    }),
    ("service models: gets no requests: no route names it", |declaration| {
        declaration.routes.clear();
    }),
    ("can never be loaded: 300000 MB do not fit", |declaration| {
        let service = declaration.services.values_mut().next().expect("a service");
        let generation = service.generation.as_mut().expect("a service with models");
        generation.models[0].weights_mb = 300_000.0;
    }),
    ("generates tokens and declares no model", |declaration| {
        let service = declaration.services.values_mut().next().expect("a service");
        service.generation.as_mut().expect("a service with models").models.clear();
    }),
    ("engines take no requests for 3 s after their start", |declaration| {
        let service = declaration.services.values_mut().next().expect("a service");
        service.cold_start = Duration::from_secs(3);
    }),
    ("workspace yard: one of its keys belongs to workspace shop", |declaration| {
        let workspaces = declaration.workspaces.as_mut().expect("workspaces");
        workspaces.push(workspace("yard", "key-1", 1_000));
    }),
    ("every request is refused: no route is public and no workspace has a key", |declaration| {
        only_workspace(declaration).keys.clear();
    }),
    ("every request is refused: no route is public and no workspace has a key", |declaration| {
        declaration.workspaces = Some(Vec::new());
    }),
    ("costs 200 tokens, the burst is 100", |declaration| {
        only_workspace(declaration).burst_tokens = 100;
    }),
    ("workspace shop: its requests on route chat are refused: the allowed", |declaration| {
        declaration.routes[0].allowed_regions = vec!["north".into()];
        only_workspace(declaration).allowed_regions = vec!["south".into()];
    }),
];

fn describe(declaration: &FleetDeclaration) -> Vec<String> {
    let findings = check_declaration(declaration, None).into_iter();
    findings.map(|finding| format!("{}: {}", finding.entry, finding.problem)).collect()
}

#[test]
fn sound_declaration_has_no_findings() {
    assert_eq!(describe(&declaration(&["sage", "thyme"])), Vec::<String>::new());
}

// Guards against a report that calls a declaration closed to all which needs no keys.
#[test]
fn declaration_without_workspaces_refuses_no_request_for_its_key() {
    let open = FleetDeclaration { workspaces: None, ..declaration(&["sage"]) };
    assert_eq!(describe(&open), Vec::<String>::new());
    let changes = compare_declarations(&declaration(&["sage"]), &open);
    let is_told =
        changes.iter().any(|change| &*change.text == "keys required changes from true to false");
    assert!(is_told, "{changes:?}");
}

#[test]
fn each_mistake_is_found() {
    for (words, make) in MISTAKES {
        let mut declaration = declaration(&["sage"]);
        make(&mut declaration);
        let findings = describe(&declaration);
        assert!(findings.iter().any(|text| text.contains(words)), "{words}: {findings:?}");
    }
}

#[test]
fn region_without_a_data_centre_is_found_where_regions_are_known() {
    let mut declaration = declaration(&["sage"]);
    declaration.routes[0].allowed_regions = vec!["north".into(), "nroth".into()];
    let regions = HashSet::from([RegionName::from("north")]);
    let findings = check_declaration(&declaration, Some(&regions));
    let problems: Vec<_> = findings.into_iter().map(|finding| finding.problem).collect();
    assert_eq!(problems, [DeclarationProblem::UnknownRegion("nroth".into())]);
    assert_eq!(problems[0].severity(), FindingSeverity::Error);
}

#[test]
fn differences_are_told_in_words_and_without_keys() {
    let former = declaration(&["sage"]);
    let mut latter = declaration(&["sage", "thyme"]);
    latter.revision = 2;
    latter.routes[0].timeout = Duration::from_secs(5);
    latter.routes.push(route("deep", "a.example", "/deep/"));
    only_workspace(&mut latter).keys = vec!["key-2".into()];
    latter.limits.body_bytes = 1;
    let changes = compare_declarations(&former, &latter);
    let text: Vec<String> =
        changes.iter().map(|change| format!("{}: {}", change.entry, change.text)).collect();
    let expected = [
        "declaration: version changes from 1 to 2",
        "route chat: time limit changes from 10s to 5s",
        "route deep: is added",
        "model thyme of service models: is added",
        "workspace shop: 1 keys are added",
        "workspace shop: 1 keys are withdrawn",
        "limits: longest body in bytes changes from 1048576 to 1",
    ];
    assert_eq!(text, expected);
    let back = compare_declarations(&latter, &former);
    assert!(back.iter().any(|change| change.text.contains("does not rise")));
}
