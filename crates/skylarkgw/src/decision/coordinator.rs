//! State of the coordinator, the host that holds the coordinator lease.
//!
//! The coordinator collects the reports of all hosts, grants tokens of the
//! workspaces' quotas and plans the placement of models. All its state is soft:
//! a new holder of the lease rebuilds it from the reports of hosts and engines.

mod draws;
mod evacuations;
mod messages;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::cold_engines::pool::ColdPool;
use crate::decision::deputies::{DeputyHost, choose_deputies};
use crate::decision::dispatch::engine_loads::{
    EngineLoads, EngineNumber, LoadTable, RegisteredEngine,
};
use crate::decision::dispatch::pace_board::{LimitedEngine, PaceBoard};
use crate::decision::engine_statements::{StatedFact, StatementBook};
use crate::decision::fleet_planner::{EngineNotice, FleetPlanner, PlacementEvent, PlannerCall};
use crate::decision::freshness::{EXCHANGE_TIMEOUT, exchange_interval, silence_timeout};
use crate::decision::model_demand::DemandEstimate;
use crate::decision::obligations::{ObligationBook, ObligationEvent};
use crate::decision::prompt_quarantine::{PromptQuarantine, QuarantineEvent, QuarantineState};
use crate::decision::quota_pool::{PoolStart, QuotaDraw, QuotaPool, QuotaTolerance};
use crate::decision::shared_map::{SharedMap, first_version, version_token};
use crate::decision::store_order::StoreStamp;
use crate::gateway::declaration::{FleetDeclaration, ServiceName};
use crate::gateway::ports::{EngineOrder, EngineReport, OrderAnswer};
use crate::gateway::registry::EngineEntry;
use crate::ids::{EndpointId, HostId, MapVersion, PartHash, Tokens};

pub use draws::EngineLimits;
pub use messages::{CoordinatorReply, HostReport, KnowledgeAge, QuotaAnswer};

/// Time without a report after which the coordinator evicts a host: it discards
/// the last report and no longer counts the host.
const HOST_EVICTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a new coordinator collects demand before it moves models.
const WARM_UP_TIME: Duration = Duration::from_millis(1_200);

/// Minimum time between two choices of the deputies.
const DEPUTY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of counts of engines that a host gets per second. In a fleet with thousands of
/// engines not every reply contains them.
const LOAD_COUNTS_PER_S: f64 = 4_500.0;
/// Time constant of the moving average of each engine's running requests, in
/// seconds.
const RUNNING_TIME_CONSTANT_S: f64 = 0.6;

#[derive(Debug)]
struct HostState {
    running: Vec<(EngineNumber, u32)>,
    reported_at: Duration,
    /// Time at which the loads were last sent to the host.
    loads_sent_at: Option<Duration>,
    capacity: f64,
    deputy: Option<DeputyHost>,
    /// Whether `running` is part of the totals. A host that no longer reports may
    /// have stopped, and its requests with it.
    is_counted: bool,
}

/// State of the coordinator during one term of its lease.
#[derive(Debug)]
pub struct Coordinator {
    token: u64,
    started_at: Duration,
    hosts: HashMap<HostId, HostState>,
    demand: DemandEstimate,
    obligations: ObligationBook,
    /// Number of requests that run at each engine, over all hosts that report.
    loads: LoadTable,
    paces: PaceBoard,
    /// Moving average of the requests running at each engine, with the time
    /// constant [`RUNNING_TIME_CONSTANT_S`].
    running: HashMap<EndpointId, f64>,
    averaged_at: Duration,
    quota_pool: QuotaPool,
    cold_pool: ColdPool,
    planner: FleetPlanner,
    notices: SharedMap<Arc<EngineNotice>>,
    registry: SharedMap<RegisteredEngine>,
    /// Complete entries from which those of `registry` were made.
    listed: HashMap<EndpointId, Arc<EngineEntry>>,
    registry_stamp: StoreStamp,
    quarantine: PromptQuarantine,
    statements: StatementBook,
    deputies: Vec<DeputyHost>,
    deputy_version: MapVersion,
    deputies_chosen_at: Option<Duration>,
}

impl Coordinator {
    /// Creates the state of a new lease holder with the given fencing token.
    ///
    /// `tolerance` is the window over which quotas are counted and the excess
    /// that is tolerated. `start` is what is known about the coordinators before.
    pub fn new(
        now: Duration,
        token: u64,
        tolerance: QuotaTolerance,
        start: PoolStart,
    ) -> Coordinator {
        Coordinator {
            token,
            started_at: now,
            hosts: HashMap::new(),
            demand: DemandEstimate::default(),
            obligations: ObligationBook::new(now),
            loads: LoadTable::default(),
            paces: PaceBoard::default(),
            running: HashMap::new(),
            averaged_at: now,
            quota_pool: QuotaPool::new(now, tolerance, start),
            cold_pool: ColdPool::new(now),
            planner: match start {
                PoolStart::First => FleetPlanner::default(),
                PoolStart::AfterRelease | PoolStart::AfterLoss => {
                    FleetPlanner::after_predecessor(now)
                }
            },
            notices: SharedMap::new(token),
            registry: SharedMap::new(token),
            listed: HashMap::new(),
            registry_stamp: StoreStamp::default(),
            quarantine: PromptQuarantine::new(token),
            statements: StatementBook::new(token),
            deputies: Vec::new(),
            deputy_version: first_version(token),
            deputies_chosen_at: None,
        }
    }

    /// Returns the fencing token of the lease.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Updates the quotas from the declared workspaces.
    pub fn apply_declaration(&mut self, now: Duration, declaration: &FleetDeclaration) {
        let workspaces = declaration.iter_workspaces();
        self.quota_pool.set_workspaces(now, declaration.revision, workspaces);
    }

    /// Returns up to when the registry in replies contains all changes.
    pub fn registry_stamp(&self) -> StoreStamp {
        self.registry_stamp
    }

    /// Records that the registry was confirmed to be current up to `stamp`.
    pub fn confirm_registry(&mut self, stamp: StoreStamp) {
        self.registry_stamp = stamp;
    }

    /// Updates the registry with the complete list of engines.
    pub fn update_registry(&mut self, stamp: StoreStamp, engines: &[Arc<EngineEntry>]) {
        if stamp.position.era != self.registry_stamp.position.era {
            self.planner.record_new_era();
        }
        self.registry_stamp = stamp;
        let listed: HashMap<EndpointId, Arc<EngineEntry>> =
            engines.iter().map(|entry| (entry.id.clone(), entry.clone())).collect();
        for engine in self.registry.retain(|engine| listed.contains_key(engine)) {
            let Some(number) = self.loads.remove_engine(&engine) else { continue };
            self.paces.remove_engine(number);
            for host in self.hosts.values_mut() {
                host.running.retain(|(running, _)| *running != number);
            }
        }
        for entry in engines {
            if self.listed.get(&entry.id) != Some(entry) {
                let (id, number) = (&entry.id, self.loads.add_engine(&entry.id));
                self.paces.set_engine(number, entry);
                let entry = Arc::new(entry.without_inventory());
                self.registry.set(id, RegisteredEngine { number, entry });
            }
        }
        self.listed = listed;
        let find_start = |engine: &EndpointId| Some(self.registry.get(engine)?.entry.started_ms);
        let is_kept = |engine: &EndpointId, started_ms: u64| find_start(engine) == Some(started_ms);
        for engine in self.statements.retain(is_kept) {
            self.quota_pool.set_engine_limit(stamp.as_of, &engine, None);
            self.planner.set_engine_limit(&engine, None);
        }
        self.quota_pool.retain_engines(|engine| self.listed.contains_key(engine));
        self.obligations.update_engines(stamp.as_of, engines);
        self.planner.update_registry(engines);
        self.refresh_notices();
    }

    /// Returns a mutable reference to the planner.
    ///
    /// After a change of the planner, the caller must call
    /// [`Coordinator::refresh_notices`].
    pub fn planner_mut(&mut self) -> &mut FleetPlanner {
        &mut self.planner
    }

    /// Records the answer to an order in the planner.
    pub fn record_answer(&mut self, now: Duration, order: &EngineOrder, answer: OrderAnswer) {
        self.planner.record_answer(now, order, answer);
        self.refresh_notice(&order.engine);
    }

    /// Records the report of an engine in the planner.
    pub fn record_report(&mut self, now: Duration, engine: &EndpointId, report: EngineReport) {
        self.planner.record_report(now, engine, report);
        self.refresh_notice(engine);
    }

    /// Returns the orders to engines and the report requests that are due.
    ///
    /// Orders carry the fencing token `order_token`, and `window` is the period
    /// over which the rate of loads from the weight store is limited. The result
    /// contains no orders if `order_token` is `None`, or while a new coordinator still
    /// collects demand.
    pub fn plan(
        &mut self,
        now: Duration,
        order_token: Option<u64>,
        declaration: &FleetDeclaration,
        window: Duration,
    ) -> Vec<PlannerCall> {
        self.planner.observe_replicas(now, declaration);
        let is_warm = now.saturating_sub(self.started_at) >= WARM_UP_TIME;
        let token = order_token.filter(|_| is_warm);
        let find_rule = |service: &ServiceName| {
            declaration.services.get(service).and_then(|service| service.generation.as_ref())
        };
        self.obligations.check(now, token.is_some(), find_rule);
        let Some(token) = token else {
            self.planner.observe_idle_planner(now);
            return self.planner.plan_reports(now, declaration);
        };
        self.update_running_average(now);
        let (demand, running) = (&mut self.demand, &self.running);
        let obligations = &self.obligations;
        let calls =
            self.planner.plan_calls(now, token, declaration, demand, obligations, running, window);
        self.planner.observe_replicas(now, declaration);
        self.planner.observe_waits(now, declaration, demand, running, window);
        self.refresh_notices();
        calls
    }

    /// Updates the moving average of the requests that hosts report for each
    /// engine.
    fn update_running_average(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.averaged_at).as_secs_f64();
        self.averaged_at = now;
        let decay = (-elapsed / RUNNING_TIME_CONSTANT_S).exp();
        self.remove_silent_hosts(now);
        self.running.retain(|engine, _| self.registry.contains(engine));
        for (engine, total) in self.loads.totals() {
            let reported = f64::from(total);
            match self.running.get_mut(engine) {
                Some(running) => *running = *running * decay + reported * (1.0 - decay),
                None => {
                    self.running.insert(engine.clone(), reported);
                }
            }
        }
    }

    /// Rebuilds the placement notices after a possible change of the planner.
    pub fn refresh_notices(&mut self) {
        let (notices, planner) = (&mut self.notices, &self.planner);
        notices.retain(|engine| planner.has_engine(engine));
        for (engine, notice) in planner.build_notices() {
            notices.set(engine, Arc::new(notice));
        }
    }

    /// Rebuilds the placement notice of one engine.
    fn refresh_notice(&mut self, engine: &EndpointId) {
        if let Some(notice) = self.planner.build_notice(engine) {
            self.notices.set(engine, Arc::new(notice));
        }
    }

    /// Removes the requests of hosts that no longer report from the totals, and
    /// evicts hosts after [`HOST_EVICTION_TIMEOUT`].
    fn remove_silent_hosts(&mut self, now: Duration) {
        let timeout = silence_timeout(self.hosts.len() as u32);
        for host in self.hosts.values_mut() {
            let is_silent = now.saturating_sub(host.reported_at) >= timeout;
            if host.is_counted && is_silent {
                host.is_counted = false;
                self.loads.subtract(&host.running);
            }
        }
        self.hosts.retain(|_, host| now.saturating_sub(host.reported_at) < HOST_EVICTION_TIMEOUT);
    }

    /// Replaces the requests that a host runs, and returns the loads if they are due.
    fn record_running(
        &mut self,
        now: Duration,
        host: &HostId,
        capacity: f64,
        deputy: Option<DeputyHost>,
        running: Vec<(EngineNumber, u32)>,
    ) -> Option<EngineLoads> {
        self.remove_silent_hosts(now);
        let previous = self.hosts.remove(host);
        if let Some(previous) = previous.as_ref().filter(|previous| previous.is_counted) {
            self.loads.subtract(&previous.running);
        }
        self.loads.add(&running);
        let sent_at = previous.and_then(|previous| previous.loads_sent_at);
        let interval = Duration::from_secs_f64(self.loads.len() as f64 / LOAD_COUNTS_PER_S);
        let is_due = sent_at.is_none_or(|sent_at| now.saturating_sub(sent_at) >= interval);
        let loads_sent_at = if is_due { Some(now) } else { sent_at };
        let reported_at = now;
        let state =
            HostState { running, reported_at, loads_sent_at, capacity, deputy, is_counted: true };
        self.hosts.insert(host.clone(), state);
        is_due.then(|| self.loads.loads())
    }

    /// Chooses the deputies anew, at most once in [`DEPUTY_INTERVAL`].
    fn update_deputies(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < DEPUTY_INTERVAL;
        if self.deputies_chosen_at.is_some_and(is_recent) {
            return;
        }
        self.deputies_chosen_at = Some(now);
        let hosts = self.hosts.values().filter(|host| host.is_counted);
        let hosts = hosts.filter_map(|host| Some((host.deputy.as_ref()?, host.capacity)));
        let deputies = choose_deputies(hosts);
        if deputies != self.deputies {
            self.deputies = deputies;
            self.deputy_version += 1;
        }
    }

    /// Processes the report of a host and returns the reply.
    ///
    /// The fields `age`, `evacuations` and `lease` of the reply are not set; the caller
    /// sets them.
    pub fn exchange(&mut self, now: Duration, report: HostReport) -> CoordinatorReply {
        self.quota_pool.record_report(now, &report.host);
        for (service, model, usage) in report.uses {
            self.demand.record_use(now, service, model, &usage);
        }
        self.obligations.record_report(now, report.service);
        for (engine, model, adapter) in &report.adapter_uses {
            self.planner.record_adapter_use(now, engine, model, adapter);
        }
        // The numbers of a predecessor mean other engines.
        let is_numbered = version_token(report.registry_version) == self.token;
        if let Some(told) = report.store_loads.filter(|_| !is_numbered) {
            self.planner.adopt_store_loads(now, told);
        }
        let (running, paces) =
            if is_numbered { (report.running, report.paces) } else { Default::default() };
        self.paces.record(now, &paces);
        let (host, capacity) = (&report.host, report.capacity);
        let loads = self.record_running(now, host, capacity, report.deputy, running);
        let paces = self.paces.take_page(now, host);
        self.update_deputies(now);
        for observation in report.statements.observations {
            let at = now.saturating_sub(observation.age);
            let (engine, started_ms) = (&observation.engine, observation.started_ms);
            self.record_statement(now, engine, started_ms, at, observation.fact);
        }
        self.statements.expire(now);
        for (workspace, tokens) in &report.returned {
            self.quota_pool.return_tokens(now, workspace, *tokens);
        }
        let wanted = report.wanted.into_iter();
        let (host, revision) = (&report.host, report.revision);
        let grants = wanted.filter_map(|(workspace, wanted)| {
            let grant = self.quota_pool.draw_in_advance(now, host, &workspace, wanted, revision)?;
            Some((workspace, grant.tokens, grant.fallback_per_s as Tokens))
        });
        let grants = grants.collect();
        let quarantine_version = report.prompts.version;
        // A host that exchanges a suspect part needs one more exchange to clear it.
        let clearing_time = exchange_interval(self.hosts.len() as u32) * 2 + EXCHANGE_TIMEOUT;
        let trials = self.quarantine.record_report(now, report.prompts, clearing_time);
        CoordinatorReply {
            hosts: self.hosts.len() as u32,
            largest_capacity: self.hosts.values().map(|host| host.capacity).fold(0.0, f64::max),
            loads,
            paces,
            deputies: (report.deputy_version != self.deputy_version)
                .then(|| (self.deputy_version, self.deputies.clone())),
            grants,
            notices: self.notices.delta_since(report.notice_version),
            registry: self.registry.delta_since(report.registry_version),
            prompts: self.quarantine.state_since(quarantine_version),
            trials,
            statements: self.statements.delta_since(now, report.statements.version),
            evacuations: None,
            store_loads: self.planner.recent_store_loads(now),
            age: KnowledgeAge::default(),
            lease: None,
        }
    }

    /// Adds prompt parts that a predecessor refused, each with the time until a trial is
    /// due.
    pub fn adopt_refused(&mut self, now: Duration, refused: &[(PartHash, Duration)]) {
        self.quarantine.adopt_refused(now, refused);
    }

    /// Returns the prompt quarantine as it is sent to hosts.
    pub fn quarantine_state(&self) -> QuarantineState {
        self.quarantine.state()
    }

    /// Returns what has changed in the prompt quarantine since the last call.
    pub fn take_quarantine_events(&mut self) -> Vec<QuarantineEvent> {
        self.quarantine.take_events()
    }

    /// Returns what has changed in the placement of models since the last call.
    pub fn take_placement_events(&mut self) -> Vec<PlacementEvent> {
        self.planner.take_placement_events()
    }

    /// Returns what has changed since the last call about targets that are requested and
    /// not served.
    pub fn take_obligation_events(&mut self) -> Vec<ObligationEvent> {
        self.obligations.take_events()
    }

    /// Returns the engines that take less than others of their service.
    pub fn find_limited_engines(&self) -> Vec<LimitedEngine> {
        self.paces.find_limited()
    }

    /// Returns the number of models and adapters that are requested and not served.
    pub fn count_unserved_targets(&self) -> usize {
        self.obligations.count_unserved()
    }

    /// Records a fact that an engine in the registry stated at `at`. One about another
    /// instance, which started at a different time, is dropped.
    fn record_statement(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        started_ms: u64,
        at: Duration,
        fact: StatedFact,
    ) {
        let listed = self.registry.get(engine);
        if listed.is_none_or(|listed| listed.entry.started_ms != started_ms)
            || !self.statements.record(engine, started_ms, at, fact)
        {
            return;
        }
        match fact {
            StatedFact::Limit(_) => {
                let limit = self.statements.limit(engine);
                self.quota_pool.set_engine_limit(now, engine, limit);
                self.planner.set_engine_limit(engine, limit);
            }
            StatedFact::Leaving => self.planner.set_engine_leaving(engine),
            StatedFact::TurnedAway(_) => {}
        }
    }

    /// Draws one request to an engine from the limit that it named.
    ///
    /// `limit` is the limit that the host knows, in requests per second. It applies if
    /// this coordinator has not heard of the engine or of its limit yet.
    pub fn draw_request(
        &mut self,
        now: Duration,
        host: &HostId,
        engine: &EndpointId,
        limit: f64,
    ) -> QuotaAnswer {
        match self.registry.get(engine).map(|listed| listed.entry.started_ms) {
            Some(started_ms) if !self.statements.has_observed(engine) => {
                let fact = StatedFact::Limit(Some(limit));
                self.record_statement(now, engine, started_ms, Duration::ZERO, fact);
            }
            Some(_) => {}
            // The registry of this coordinator may be older than that of the host.
            None => self.quota_pool.set_engine_limit(now, engine, Some(limit)),
        }
        match self.quota_pool.draw_request(now, host, engine) {
            Some(grant) if grant.tokens == 0 => {
                QuotaAnswer::Refused { retry_after: grant.retry_after }
            }
            // A listed engine without a token bucket has no limit any more.
            _ => QuotaAnswer::Granted,
        }
    }

    /// Draws tokens from a workspace's quota for one request.
    pub fn draw(&mut self, now: Duration, host: &HostId, draw: &QuotaDraw) -> QuotaAnswer {
        match self.quota_pool.draw_for_request(now, host, draw) {
            Some(grant) if grant.tokens < draw.tokens => {
                QuotaAnswer::Refused { retry_after: grant.retry_after }
            }
            _ => QuotaAnswer::Granted,
        }
    }
}
