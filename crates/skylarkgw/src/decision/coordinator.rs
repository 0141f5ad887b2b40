//! What the holder of the lease knows and gives out; soft state only.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::fleet_planner::{FleetPlanner, PlacementNotice, PlannerCall};
use crate::decision::model_demand::{DemandEstimate, ModelUse};
use crate::decision::quota_bank::{QuotaBank, QuotaPromise, SILENT_AFTER};
use crate::gateway::declaration::{FleetDeclaration, ServiceName};
use crate::gateway::registry::EngineEntry;
use crate::ids::{EndpointId, HostId, ModelName, ObjectVersion, Revision, Tokens, WorkspaceId};

/// Time after which a host that says nothing is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(5);
/// Time in which a new holder gathers demand before it moves models.
const GATHER_TIME: Duration = Duration::from_millis(1_200);

/// Time constant of the average of requests at engines, in seconds.
const RUNNING_MEMORY_S: f64 = 0.6;

/// What a host reports with each exchange.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// Requests that it has at engines.
    pub running: Vec<(EndpointId, u32)>,
    /// What was seen of each model since the last report.
    pub uses: Vec<(ServiceName, ModelName, ModelUse)>,
    /// Tokens that it wants for its purses.
    pub wanted: Vec<(WorkspaceId, Tokens)>,
    /// Adapters used since the last report.
    pub adapter_uses: Vec<(EndpointId, ModelName, Arc<str>)>,
    /// Version of the placement notice that it has.
    pub notice_version: u64,
    /// Version of the registry that it has.
    pub registry_version: u64,
}

/// Whether one request has its tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaAnswer {
    /// They are granted.
    Granted,
    /// They are not there.
    Refused {
        /// Time after which they may be.
        retry_after: Duration,
    },
}

/// What has changed in the registry.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RegistryDelta {
    /// Version of the registry.
    pub version: u64,
    /// Engines that are new or have changed.
    pub changed: Vec<EngineEntry>,
    /// All engines; others are gone.
    pub engines: Vec<EndpointId>,
}

/// How current the coordinator's own knowledge is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KnowledgeAge {
    /// Newest declaration that it knows.
    pub revision: Revision,
    /// Time since that declaration was proven to be the newest.
    pub declaration: Duration,
    /// Time since the registry was proven current.
    pub registry: Duration,
}

/// What a host gets back.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CoordinatorReply {
    /// Hosts that are heard from.
    pub hosts: u32,
    /// Requests of other hosts at engines.
    pub running_elsewhere: Vec<(EndpointId, u32)>,
    /// Tokens for the purses.
    pub grants: Vec<(WorkspaceId, Tokens, f64)>,
    /// Placement notice with its version, if the host has another one.
    pub notice: Option<(u64, PlacementNotice)>,
    /// Changes of the registry, if the host has another one.
    pub registry: Option<RegistryDelta>,
    /// How current the coordinator's knowledge is.
    pub age: KnowledgeAge,
    /// Version of the lease record and the time that the lease still lasts.
    pub lease: Option<(ObjectVersion, Duration)>,
}

#[derive(Debug)]
struct HostState {
    running: HashMap<EndpointId, u32>,
    heard_at: Duration,
}

/// The coordinator's state.
#[derive(Debug)]
pub struct Coordinator {
    token: u64,
    started_at: Duration,
    hosts: HashMap<HostId, HostState>,
    demand: DemandEstimate,
    /// Requests at each engine, averaged over [`RUNNING_MEMORY_S`].
    running: HashMap<EndpointId, f64>,
    running_at: Duration,
    bank: QuotaBank,
    planner: FleetPlanner,
    notice: PlacementNotice,
    notice_version: u64,
    registry: HashMap<EndpointId, (u64, Arc<EngineEntry>)>,
    registry_version: u64,
}

impl Coordinator {
    /// Creates the state of a new holder.
    ///
    /// `is_first` says that nobody can have held the lease before, and
    /// `quota` how exactly quotas are kept.
    pub fn new(now: Duration, token: u64, quota: QuotaPromise, is_first: bool) -> Coordinator {
        Coordinator {
            token,
            started_at: now,
            hosts: HashMap::new(),
            demand: DemandEstimate::default(),
            running: HashMap::new(),
            running_at: now,
            bank: QuotaBank::new(now, quota, is_first),
            planner: FleetPlanner::default(),
            notice: PlacementNotice::default(),
            // Versions of different holders never meet.
            notice_version: token << 32,
            registry: HashMap::new(),
            registry_version: token << 32,
        }
    }

    /// Returns the fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Takes in the declared workspaces.
    pub fn apply_declaration(&mut self, now: Duration, declaration: &FleetDeclaration) {
        self.bank.set_workspaces(now, &declaration.workspaces);
    }

    /// Takes in the registry.
    pub fn update_engines(&mut self, engines: &[Arc<EngineEntry>]) {
        let ids: HashSet<&EndpointId> = engines.iter().map(|entry| &entry.id).collect();
        for host in self.hosts.values_mut() {
            host.running.retain(|engine, _| ids.contains(engine));
        }
        let next = self.registry_version + 1;
        let has_changed = |entry: &Arc<EngineEntry>| {
            self.registry.get(&entry.id).is_none_or(|(_, known)| known != entry)
        };
        let changed: Vec<Arc<EngineEntry>> =
            engines.iter().filter(|entry| has_changed(entry)).cloned().collect();
        let count = self.registry.len();
        self.registry.retain(|id, _| ids.contains(id));
        if !changed.is_empty() || self.registry.len() != count {
            self.registry_version = next;
        }
        for entry in changed {
            self.registry.insert(entry.id.clone(), (next, entry));
        }
        self.planner.observe(engines);
        self.refresh_notice();
    }

    fn registry_since(&self, version: u64) -> Option<RegistryDelta> {
        let current = self.registry_version;
        // A version of another holder says nothing about this one's numbers.
        let is_own = version >> 32 == current >> 32;
        if is_own && version == current {
            return None;
        }
        let entries = self.registry.values();
        let changed = entries.filter(|(changed_at, _)| !is_own || *changed_at > version);
        Some(RegistryDelta {
            version: current,
            changed: changed.map(|(_, entry)| (**entry).clone()).collect(),
            engines: self.registry.keys().cloned().collect(),
        })
    }

    /// Returns the planner.
    pub fn planner_mut(&mut self) -> &mut FleetPlanner {
        &mut self.planner
    }

    /// Returns the orders and questions that are due.
    pub fn plan(
        &mut self,
        now: Duration,
        order_token: Option<u64>,
        declaration: &FleetDeclaration,
        window: Duration,
    ) -> Vec<PlannerCall> {
        let Some(token) = order_token else { return Vec::new() };
        if now.saturating_sub(self.started_at) < GATHER_TIME {
            return Vec::new();
        }
        self.follow_running(now);
        let (demand, running) = (&mut self.demand, &self.running);
        let calls = self.planner.step(now, token, declaration, demand, running, window);
        self.refresh_notice();
        calls
    }

    /// Averages the requests that all hosts report for each engine.
    fn follow_running(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.running_at).as_secs_f64();
        self.running_at = now;
        let keep = (-elapsed / RUNNING_MEMORY_S).exp();
        let mut reported: HashMap<&EndpointId, u32> = HashMap::new();
        // What a host that has ended said last is not running any more.
        let heard = |host: &&HostState| now.saturating_sub(host.heard_at) < SILENT_AFTER;
        let hosts = self.hosts.values().filter(heard);
        for (engine, running) in hosts.flat_map(|host| &host.running) {
            *reported.entry(engine).or_default() += running;
        }
        self.running.retain(|engine, _| self.registry.contains_key(engine));
        for engine in self.registry.keys() {
            let reported = f64::from(reported.get(engine).copied().unwrap_or_default());
            let running = self.running.entry(engine.clone()).or_insert(reported);
            *running = *running * keep + reported * (1.0 - keep);
        }
    }

    /// Notes that the planner's ledgers may have changed.
    pub fn refresh_notice(&mut self) {
        let notice = self.planner.notice();
        if notice != self.notice {
            self.notice = notice;
            self.notice_version += 1;
        }
    }

    /// Takes in a report and returns what the host needs.
    pub fn exchange(&mut self, now: Duration, report: HostReport) -> CoordinatorReply {
        self.bank.note_host(now, &report.host);
        for (service, model, seen) in report.uses {
            self.demand.take(now, service, model, &seen);
        }
        for (engine, model, adapter) in &report.adapter_uses {
            self.planner.note_use(now, engine, model, adapter);
        }
        let running = report.running.into_iter().collect();
        self.hosts.insert(report.host.clone(), HostState { running, heard_at: now });
        self.hosts.retain(|_, host| now.saturating_sub(host.heard_at) < FORGET_AFTER);
        let mut elsewhere: HashMap<&EndpointId, u32> = HashMap::new();
        let others = self.hosts.iter().filter(|(host, state)| {
            **host != report.host && now.saturating_sub(state.heard_at) < SILENT_AFTER
        });
        for (engine, running) in others.flat_map(|(_, state)| &state.running) {
            *elsewhere.entry(engine).or_default() += running;
        }
        let elsewhere = elsewhere.into_iter();
        let running_elsewhere = elsewhere.map(|(engine, count)| (engine.clone(), count)).collect();
        let wanted = report.wanted.into_iter();
        let grants = wanted.filter_map(|(workspace, wanted)| {
            let grant = self.bank.draw(now, &report.host, &workspace, wanted, 0)?;
            Some((workspace, grant.tokens, grant.coast_per_s))
        });
        let grants = grants.collect();
        let is_known = report.notice_version == self.notice_version;
        let notice = (!is_known).then(|| (self.notice_version, self.notice.clone()));
        CoordinatorReply {
            hosts: self.hosts.len() as u32,
            running_elsewhere,
            grants,
            notice,
            registry: self.registry_since(report.registry_version),
            age: KnowledgeAge::default(),
            lease: None,
        }
    }

    /// Draws tokens for one request.
    pub fn draw(
        &mut self,
        now: Duration,
        host: &HostId,
        workspace: &str,
        tokens: Tokens,
    ) -> QuotaAnswer {
        match self.bank.draw(now, host, workspace, tokens, tokens) {
            Some(grant) if grant.tokens < tokens => {
                QuotaAnswer::Refused { retry_after: grant.retry_after }
            }
            // A workspace without an account has no limit.
            _ => QuotaAnswer::Granted,
        }
    }
}
