//! What hosts and the coordinator tell each other in an exchange.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::deputies::DeputyHost;
use crate::decision::dispatch::engine_loads::{EngineLoads, EngineNumber, RegisteredEngine};
use crate::decision::dispatch::engine_pace::{LoadLevel, PaceSum};
use crate::decision::dispatch::pace_board::PacePage;
use crate::decision::engine_statements::{EngineStatement, StatementReport};
use crate::decision::evacuations::{DeclaredEvacuation, EvacuationAge};
use crate::decision::fleet_planner::{EngineNotice, RecentLoads};
use crate::decision::model_demand::ModelUse;
use crate::decision::obligations::ServiceReport;
use crate::decision::prompt_guard::PromptReport;
use crate::decision::prompt_quarantine::QuarantineState;
use crate::decision::shared_map::MapDelta;
use crate::decision::store_order::StorePosition;
use crate::gateway::declaration::ServiceName;
use crate::ids::{
    EndpointId, HostId, MapVersion, ModelName, PartHash, Revision, Tokens, WorkspaceId,
};

/// Report that a host sends to the coordinator in each exchange.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostReport {
    /// Name of the reporting host.
    pub host: HostId,
    /// Number of requests of the host that run at each engine, by the numbers of the
    /// registry with `registry_version`.
    pub running: Vec<(EngineNumber, u32)>,
    /// Answers of each engine since the last report, by the same numbers and the load of
    /// the engine.
    pub paces: Vec<(EngineNumber, LoadLevel, PaceSum)>,
    /// Usage of each model since the last report.
    pub uses: Vec<(ServiceName, ModelName, ModelUse)>,
    /// Revision of the declaration of the host; zero for none.
    pub revision: Revision,
    /// Number of tokens that the host requests for each workspace.
    pub wanted: Vec<(WorkspaceId, Tokens)>,
    /// Number of tokens of each workspace that the host has drawn and returns.
    pub returned: Vec<(WorkspaceId, Tokens)>,
    /// Adapters used since the last report.
    pub adapter_uses: Vec<(EndpointId, ModelName, Arc<str>)>,
    /// Capacity of the host to coordinate the fleet, from 0 to 1.
    pub capacity: f64,
    /// The host as a deputy; `None` if it stops.
    pub deputy: Option<DeputyHost>,
    /// Version of the list of deputies that the host has.
    pub deputy_version: MapVersion,
    /// Version of the placement notices that the host has.
    pub notice_version: MapVersion,
    /// Version of the registry that the host has.
    pub registry_version: MapVersion,
    /// Evidence on prompt parts that crash engines.
    pub prompts: PromptReport,
    /// What engines state about themselves.
    pub statements: StatementReport,
    /// Version of the evacuations that the host has from a coordinator.
    pub evacuation_version: MapVersion,
    /// Whether models, adapters and engines serve the requests for them.
    pub service: ServiceReport,
    /// Loads from the weight store of which the last coordinator told; `None` if none did.
    pub store_loads: Option<RecentLoads>,
}

/// Decision on the tokens of one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaAnswer {
    /// The tokens are granted.
    Granted,
    /// The quota has too few tokens left.
    Refused {
        /// Time after which the tokens may be available.
        retry_after: Duration,
    },
}

/// Revision of the coordinator's declaration, and the ages of its declaration
/// and registry.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KnowledgeAge {
    /// Revision of the coordinator's newest declaration.
    pub revision: Revision,
    /// Time since the declaration was last confirmed to be the newest.
    pub declaration: Duration,
    /// Time since the registry was last confirmed to be current.
    pub registry: Duration,
    /// Position of the store up to which the registry contains all changes.
    pub registry_position: StorePosition,
    /// Age and position of the evacuations; `None` if the host has not heard of them, or the
    /// deployment has none.
    pub evacuations: Option<EvacuationAge>,
}

/// Reply of the coordinator to a [`HostReport`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CoordinatorReply {
    /// Number of hosts that the coordinator has not evicted, including the one
    /// that receives this reply.
    pub hosts: u32,
    /// Largest capacity of any of these hosts to coordinate the fleet.
    pub largest_capacity: f64,
    /// Number of requests of all hosts that run at each engine, by the numbers of the
    /// engines after the changes of the registry in this reply, if the last ones are old
    /// enough.
    pub loads: Option<EngineLoads>,
    /// Estimated pace of some of the engines, by the same numbers.
    pub paces: Option<PacePage>,
    /// For each workspace, the number of granted tokens and the rate, in tokens
    /// per second, at which the host may spend while it has no coordinator.
    pub grants: Vec<(WorkspaceId, Tokens, Tokens)>,
    /// Changes of the placement notices, if the host has a different version.
    pub notices: Option<MapDelta<Arc<EngineNotice>>>,
    /// Changes of the registry, if the host has a different version.
    pub registry: Option<MapDelta<RegisteredEngine>>,
    /// State of the prompt quarantine, if the host has a different version.
    pub prompts: Option<QuarantineState>,
    /// Changes of what engines state about themselves, if the host has a different
    /// version.
    pub statements: Option<MapDelta<EngineStatement>>,
    /// Refused prompt parts of which the host may forward one request.
    pub trials: Vec<PartHash>,
    /// Version and list of the deputies, if the host has a different version.
    pub deputies: Option<(MapVersion, Vec<DeputyHost>)>,
    /// Version and list of the evacuations, if the host has a different version.
    pub evacuations: Option<(MapVersion, Vec<DeclaredEvacuation>)>,
    /// Revision and ages of the coordinator's declaration, registry and evacuations.
    pub age: KnowledgeAge,
    /// Loads from the weight store that the next coordinator has to count; `None` while those
    /// of the predecessors are unknown.
    pub store_loads: Option<RecentLoads>,
    /// Position of the lease record and the remaining time of the lease, if the
    /// coordinator still holds it.
    pub lease: Option<(StorePosition, Duration)>,
}
