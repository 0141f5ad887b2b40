//! Sample declarations and engines shared by several tests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::decision::dispatch::engine_choice::EngineCandidate;
use skylarkgw::decision::dispatch::engine_pace::EnginePace;
use skylarkgw::decision::fleet_planner::AdapterRequest;
use skylarkgw::gateway::declaration::{
    ClientLimits, FleetDeclaration, GenerationRule, ModelRule, RetryPolicy, RouteRule, RouteTarget,
    ServiceRule, WorkspaceRule,
};
use skylarkgw::gateway::registry::{EngineEntry, EnginePhase, HeldModel};

/// Name of the service that generates tokens.
pub const MODEL_SERVICE: &str = "models";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn model(name: &str) -> ModelRule {
    ModelRule {
        name: name.into(),
        weights_mb: 70_000.0,
        store_load: Duration::from_secs(5),
        adapter_mb: 60.0,
    }
}

pub fn generation(models: &[&str]) -> GenerationRule {
    GenerationRule {
        weights_mb: 200_000.0,
        adapter_slots: 2,
        store_loads_per_s: 2.0,
        models: models.iter().map(|name| model(name)).collect(),
    }
}

pub fn workspace(name: &str, key: &str, tokens_per_s: u64) -> WorkspaceRule {
    WorkspaceRule {
        name: name.into(),
        keys: vec![key.into()],
        rank: None,
        tokens_per_s,
        burst_tokens: tokens_per_s,
        default_tokens: 200,
        counts_requests: false,
        allowed_regions: Vec::new(),
    }
}

pub fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        targets: vec![RouteTarget { service: MODEL_SERVICE.into(), weight: 1 }],
        is_stream: true,
        repeat: RetryPolicy::Resumable,
        timeout: Duration::from_secs(10),
        latency_objective: ms(400),
        attempt_limit: 2,
        rank: 1,
        is_public: false,
        allowed_regions: Vec::new(),
    }
}

pub fn declaration(models: &[&str]) -> FleetDeclaration {
    let service = ServiceRule {
        name: MODEL_SERVICE.into(),
        connection_limit: 400,
        cold_start: Duration::ZERO,
        cold_requests_per_s: 0.0,
        generation: Some(generation(models)),
    };
    FleetDeclaration {
        revision: 1,
        routes: vec![route("chat", "a.example", "/chat/")],
        services: HashMap::from([(MODEL_SERVICE.into(), service)]),
        workspaces: Some(vec![workspace("shop", "key-1", 10_000)]),
        limits: ClientLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

pub fn engine(id: &str, models: &[&str]) -> Arc<EngineEntry> {
    Arc::new(EngineEntry {
        id: id.into(),
        service: MODEL_SERVICE.into(),
        address: "127.0.0.1:9".parse().expect("the address should be valid"),
        data_centre: "muscat-a".into(),
        slots: 4,
        phase: EnginePhase::Ready,
        leaves_in: None,
        models: models
            .iter()
            .map(|name| HeldModel { name: (*name).into(), adapters: Vec::new() })
            .collect(),
        started_ms: 1,
        copies_in_memory: Vec::new(),
        copies_on_disk: Vec::new(),
        cold_for: None,
        is_awaited: false,
    })
}

/// Returns the only workspace of a sample declaration.
pub fn only_workspace(declaration: &mut FleetDeclaration) -> &mut WorkspaceRule {
    let workspaces = declaration.workspaces.as_mut().expect("workspaces");
    workspaces.first_mut().expect("a workspace")
}

/// Returns a candidate for a request, about which nothing is known but its places and the
/// requests that run there.
pub fn candidate(slots: u32, running: u32) -> EngineCandidate {
    EngineCandidate {
        slots,
        running,
        is_local: true,
        failure_share: 0.0,
        is_avoided: false,
        pace: EnginePace::default(),
        first_ms: None,
        unseen: 0.0,
    }
}

/// Returns a request for an adapter that any engine may serve.
pub fn adapter_request(model: &Arc<str>, adapter: &Arc<str>) -> AdapterRequest {
    AdapterRequest {
        service: MODEL_SERVICE.into(),
        model: model.clone(),
        adapter: adapter.clone(),
        allowed: None,
        resting: Vec::new(),
    }
}
