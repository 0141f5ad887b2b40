//! Several hosts' state machines on one queue, for tests and long runs.
//!
//! The queue loses, delays, doubles and reorders messages; the platform has
//! outages, loses answers and lets writes take effect late; hosts are killed,
//! frozen and cut from each other. There is no model of load or hardware: only
//! what the invariants need.

mod delivery;
mod demand;
mod engines;
mod judge;
mod platform;
mod scenario;
mod withdrawal;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use skylarkgw::configuration::{
    EndpointKind, EndpointSpec, FleetConfiguration, KeySpec, ModelSpec, RouteSpec, WorkspaceSpec,
};
use skylarkgw::decision::HostMachine;
use skylarkgw::decision::host::{
    AdmissionReason, AdmissionRequest, HostEffect, HostInput, HostParameters,
};
use skylarkgw::decision::membership::{MemberEntry, MemberPhase};
use skylarkgw::decision::message::PeerMessage;
use skylarkgw::decision::placement::EngineOrder;
use skylarkgw::decision::routing::{RouteTarget, RoutingPolicy};
use skylarkgw::decision::shares::PlatformCall;
use skylarkgw::ids::{EndpointId, KeyHash, Revision, Tokens, WorkspaceId};

pub use demand::{DemandPattern, SchemeReport, ShareScheme, measure_scheme};
pub use engines::{EngineFaults, QueueEngine, QueueEngines};
pub use judge::{AdmissionJudge, RequestCounts};
pub use platform::SimulatedPlatform;
pub use scenario::{FaultEvent, ScenarioReport, random_fault, run_random_scenario, run_scenario};
pub use withdrawal::WITHDRAWAL_LIMIT;

/// Time between two ticks of a machine.
pub const TICK: Duration = Duration::from_millis(25);
/// The workspace that all requests run for.
pub const WORKSPACE: &str = "shop";
/// A second workspace, for one that is over its rate.
pub const OTHER_WORKSPACE: &str = "office";

const WATCH_INTERVAL: Duration = Duration::from_millis(500);
const HELD_INPUTS: usize = 24;
const POLL_INTERVAL: Duration = Duration::from_millis(400);
const ROUTE: &str = "stock";

/// What goes wrong on the way of a message.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Share of messages that arrive twice.
    pub doubled: f64,
    /// Longest delay of a message.
    pub delay: Duration,
    /// Largest difference of a host's clock rate from the true one.
    pub drift: f64,
}

impl Default for NetworkFaults {
    fn default() -> NetworkFaults {
        NetworkFaults { loss_rate: 0.0, doubled: 0.0, delay: Duration::from_millis(2), drift: 0.0 }
    }
}

/// How a network is set up.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Hosts at the start.
    pub hosts: usize,
    /// Tokens a second of each workspace.
    pub rate: Tokens,
    /// Burst of each workspace.
    pub burst: Tokens,
    /// Length of the lease on shares.
    pub lease: Duration,
    /// Whether hosts lend each other shares.
    pub lending: bool,
    /// Faults of messages.
    pub faults: NetworkFaults,
}

impl Default for NetworkSettings {
    fn default() -> NetworkSettings {
        NetworkSettings {
            seed: 1,
            hosts: 4,
            rate: 10_000,
            burst: 20_000,
            lease: Duration::from_secs(20),
            lending: true,
            faults: NetworkFaults::default(),
        }
    }
}

/// A request as a test makes it.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// Workspace that pays.
    pub workspace: WorkspaceId,
    /// Tokens to reserve.
    pub reserve: Tokens,
    /// Tokens that it uses in the end.
    pub used: Tokens,
    /// Time that it runs.
    pub duration: Duration,
}

#[derive(Debug)]
enum QueueEvent {
    Input { host: usize, life: u64, input: HostInput },
    Tick { host: usize, life: u64 },
    Watch { host: usize, life: u64 },
    Call { host: usize, life: u64, call: PlatformCall },
    LateWrite { call: PlatformCall },
    Placement { host: usize, life: u64, call: PlatformCall },
    Order { host: usize, life: u64, engine: EndpointId, order: EngineOrder },
    Poll { host: usize, life: u64 },
}

/// A host and its process.
#[derive(Debug)]
pub struct NetworkHost {
    /// The process's machine.
    pub machine: HostMachine,
    life: u64,
    started: Duration,
    drift: f64,
    frozen: bool,
    held: Vec<HostInput>,
    highest: Revision,
}

/// What the machines of all hosts together have cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkCosts {
    /// Messages between hosts.
    pub messages: u64,
    /// Their duration as they are encoded, in bytes.
    pub bytes: u64,
    /// Calls of shares and placement to the platform.
    pub platform_calls: u64,
    /// Time spent in the machines.
    pub busy: Duration,
}

/// All hosts, the queue between them and the platform.
#[derive(Debug)]
pub struct TestNetwork {
    /// True time.
    pub now: Duration,
    /// Hosts by number; none where the process is dead.
    pub hosts: Vec<Option<NetworkHost>>,
    /// Pairs of hosts that cannot reach each other, lower number first.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Hosts that cannot reach the platform.
    pub platform_partitions: BTreeSet<usize>,
    /// The platform.
    pub platform: SimulatedPlatform,
    /// The engines.
    pub engines: QueueEngines,
    /// What was admitted and refused.
    pub admissions: AdmissionJudge,
    /// Source of all random choices.
    pub source: ChaCha8Rng,
    /// Events that were taken.
    pub events: u64,
    /// What the machines have cost.
    pub costs: NetworkCosts,
    settings: NetworkSettings,
    queue: BTreeMap<(Duration, u64), QueueEvent>,
    sequence: u64,
    lives: u64,
    ticket: u64,
    waiting: BTreeMap<(usize, u64), TestRequest>,
    falls: u64,
}

/// Returns a configuration with two workspaces and one route.
pub fn test_configuration(rate: Tokens, burst: Tokens) -> FleetConfiguration {
    let endpoint = EndpointSpec {
        address: "127.0.0.1:1".into(),
        data_centre: "muscat-a".into(),
        kind: EndpointKind::Service,
        leaving: false,
        checks_fence: false,
        slots: 1_000_000,
    };
    let route = RouteSpec { endpoints: vec![ROUTE.into()], open: false, idempotent: Vec::new() };
    let workspace = WorkspaceSpec { rate, burst, cut_streams: false };
    let names = [WORKSPACE, OTHER_WORKSPACE];
    FleetConfiguration {
        revision: 1,
        workspaces: names.map(|name| (name.into(), workspace.clone())).into(),
        endpoints: [(ROUTE.into(), endpoint)].into(),
        routes: [(ROUTE.into(), route)].into(),
        ..FleetConfiguration::default()
    }
}

impl TestNetwork {
    /// Creates a network and starts its hosts.
    pub fn new(settings: NetworkSettings) -> TestNetwork {
        let configuration = test_configuration(settings.rate, settings.burst);
        let mut network = TestNetwork {
            now: Duration::from_secs(1),
            hosts: Vec::new(),
            partitions: BTreeSet::new(),
            platform_partitions: BTreeSet::new(),
            platform: SimulatedPlatform::new(configuration),
            engines: QueueEngines::default(),
            admissions: AdmissionJudge::default(),
            source: ChaCha8Rng::seed_from_u64(settings.seed),
            events: 0,
            costs: NetworkCosts::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            lives: 0,
            ticket: 0,
            waiting: BTreeMap::new(),
            falls: 0,
            settings,
        };
        (0..network.settings.hosts).for_each(|_| {
            network.start_host();
        });
        network
    }

    /// Returns how the network was set up.
    pub fn settings(&self) -> &NetworkSettings {
        &self.settings
    }

    /// Starts a host under a new name and returns its number.
    pub fn start_host(&mut self) -> usize {
        let number = self.hosts.len();
        self.hosts.push(None);
        self.start_process(number);
        number
    }

    /// Starts a process on a host whose last one is dead.
    pub fn start_process(&mut self, number: usize) {
        self.lives += 1;
        let life = self.lives;
        let parameters = HostParameters {
            own: MemberEntry {
                host: host_name(number),
                incarnation: life,
                counter: 0,
                address: number.to_string().into(),
                data_centre: "muscat-a".into(),
                phase: MemberPhase::Joining,
                revision: 0,
                share_key: "".into(),
            },
            seed: self.settings.seed.wrapping_mul(31).wrapping_add(life),
            allowance_lease: self.settings.lease,
            routing: RoutingPolicy::LeastOutstanding,
            lending: self.settings.lending,
        };
        let drift = self.settings.faults.drift;
        self.hosts[number] = Some(NetworkHost {
            machine: HostMachine::new(parameters),
            life,
            started: self.now,
            drift: 1.0 + self.source.random_range(-drift..=drift),
            frozen: false,
            held: Vec::new(),
            highest: 0,
        });
        self.push(TICK, QueueEvent::Tick { host: number, life });
        self.push(TICK, QueueEvent::Watch { host: number, life });
        self.push(TICK, QueueEvent::Poll { host: number, life });
    }

    /// Ends a host's process without a word.
    pub fn kill(&mut self, number: usize) {
        self.hosts[number] = None;
        self.waiting.retain(|(host, _), _| *host != number);
    }

    /// Stops or resumes a host's process; what reaches it meanwhile waits.
    pub fn set_paused(&mut self, number: usize, frozen: bool) {
        let Some(host) = &mut self.hosts[number] else { return };
        host.frozen = frozen;
        if !frozen {
            let held = std::mem::take(&mut host.held);
            held.into_iter().for_each(|input| self.step(number, input));
        }
    }

    /// Returns whether a host's process runs.
    pub fn is_running(&self, number: usize) -> bool {
        self.hosts[number].as_ref().is_some_and(|host| !host.frozen)
    }

    /// Returns whether a host takes requests.
    pub fn is_serving(&self, number: usize) -> bool {
        let local = self.local_time(number);
        let host = self.hosts[number].as_ref().filter(|host| !host.frozen);
        host.is_some_and(|host| host.machine.serving(local))
    }

    /// Returns whether a host takes requests and would accept a key.
    pub fn accepts_key(&self, number: usize, hash: &KeyHash) -> bool {
        let snapshot = |host: &NetworkHost| host.machine.snapshot(Duration::ZERO);
        let snapshot = self.hosts[number].as_ref().map(snapshot);
        self.is_serving(number)
            && snapshot.is_some_and(|snapshot| {
                let (configuration, withdrawn) = (&snapshot.configuration, &snapshot.withdrawn);
                skylarkgw::decision::keys::check_key(configuration, withdrawn, Some(hash)).is_ok()
            })
    }

    /// Returns the parts that all hosts together may use now, frozen ones as if
    /// they went on at this moment.
    pub fn parts_in_use(&self) -> u64 {
        let hosts = self.hosts.iter().enumerate();
        let parts = hosts.filter_map(|(number, host)| {
            let machine = &host.as_ref()?.machine;
            Some(machine.parts(self.local_time(number), WORKSPACE))
        });
        parts.sum()
    }

    /// Returns how often a host's revision was seen to fall.
    pub fn revision_falls(&self) -> u64 {
        self.falls
    }

    /// Returns the local time of a host.
    pub fn local_time(&self, number: usize) -> Duration {
        self.hosts[number].as_ref().map_or(Duration::ZERO, |host| {
            self.now.saturating_sub(host.started).mul_f64(host.drift)
        })
    }

    /// Makes a request at a host, if it takes any.
    pub fn request(&mut self, number: usize, request: TestRequest) {
        if !self.is_serving(number) {
            return;
        }
        self.admissions.ask(&request.workspace);
        self.ticket += 1;
        let ticket = self.ticket;
        let admission = AdmissionRequest {
            workspace: Some(request.workspace.clone()),
            target: RouteTarget::Service { route: ROUTE.into() },
            tokens: request.reserve,
        };
        self.waiting.insert((number, ticket), request);
        self.step(number, HostInput::Admit { ticket, request: admission });
    }

    /// Declares an engine and starts it.
    pub fn add_engine(&mut self, name: &str, checks_fence: bool, memory_mb: u64) {
        let spec = EndpointSpec {
            address: "127.0.0.1:2".into(),
            data_centre: "muscat-a".into(),
            kind: EndpointKind::Engine,
            leaving: false,
            checks_fence,
            slots: 32,
        };
        let engine = QueueEngine::new(checks_fence, memory_mb);
        self.engines.engines.insert(name.into(), engine);
        self.accept(|next| {
            next.endpoints.insert(name.into(), spec);
        });
    }

    /// Declares a model.
    pub fn add_model(&mut self, name: &str, memory_mb: u64, replicas: u32) {
        let spec = ModelSpec { version: "1".into(), next: None, memory_mb, replicas };
        self.accept(|next| {
            next.models.insert(name.into(), spec);
        });
    }

    /// Accepts the next revision of the configuration.
    pub fn accept(&mut self, change: impl FnOnce(&mut FleetConfiguration)) {
        let mut next = FleetConfiguration::clone(&self.platform.configuration);
        change(&mut next);
        next.revision += 1;
        self.platform.configuration = Arc::new(next);
    }

    /// Declares a key of the first workspace.
    pub fn declare_key(&mut self, hash: &KeyHash) {
        let spec = KeySpec { workspace: WORKSPACE.into() };
        self.accept(|next| {
            next.keys.insert(hash.clone(), spec);
        });
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.take(event);
        }
        self.now = end;
    }

    /// Hands an input to a host and carries its effects.
    pub fn step(&mut self, number: usize, input: HostInput) {
        let local = self.local_time(number);
        let Some(host) = &mut self.hosts[number] else { return };
        if host.frozen {
            let is_message = matches!(input, HostInput::Message { .. });
            // What a socket holds arrives after the pause; senders give up
            // the rest.
            if !is_message || host.held.len() < HELD_INPUTS {
                host.held.push(input);
            }
            return;
        }
        let life = host.life;
        let started = Instant::now();
        let effects = host.machine.step(local, input);
        self.costs.busy += started.elapsed();
        let revision = host.machine.revision();
        self.falls += u64::from(revision < host.highest);
        host.highest = host.highest.max(revision);
        effects.into_iter().for_each(|effect| self.carry(number, life, effect));
    }

    fn push(&mut self, delay: Duration, event: QueueEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn alive(&self, host: usize, life: u64) -> bool {
        self.hosts[host].as_ref().is_some_and(|found| found.life == life)
    }

    fn take(&mut self, event: QueueEvent) {
        self.events += 1;
        match event {
            QueueEvent::Input { host, life, input } if self.alive(host, life) => {
                self.step(host, input);
            }
            QueueEvent::Tick { host, life } if self.alive(host, life) => {
                if self.is_running(host) {
                    self.step(host, HostInput::Tick);
                }
                self.push(TICK, QueueEvent::Tick { host, life });
            }
            QueueEvent::Watch { host, life } if self.alive(host, life) => {
                self.watch(host);
                self.push(WATCH_INTERVAL, QueueEvent::Watch { host, life });
            }
            QueueEvent::Call { host, life, call } => self.perform(host, life, call),
            QueueEvent::LateWrite { call } => {
                self.platform.apply(&call);
            }
            QueueEvent::Placement { host, life, call } => self.perform_placement(host, life, call),
            QueueEvent::Order { host, life, engine, order } => {
                self.deliver_order(host, life, &engine, &order);
            }
            QueueEvent::Poll { host, life } if self.alive(host, life) => {
                self.poll_engines(host, life);
                self.push(POLL_INTERVAL, QueueEvent::Poll { host, life });
            }
            _ => {}
        }
    }

    fn watch(&mut self, host: usize) {
        if self.platform.outage
            || self.platform_partitions.contains(&host)
            || !self.is_running(host)
        {
            return;
        }
        let sent_at = self.local_time(host);
        let hashes = self.platform.withdrawn.iter().cloned().collect();
        self.step(host, HostInput::PlatformWithdrawn { hashes });
        let configuration = self.platform.configuration.clone();
        self.step(host, HostInput::PlatformConfiguration { configuration });
        let own = |found: &NetworkHost| found.machine.own().clone();
        let entries = self.hosts.iter().flatten().map(own).collect();
        self.step(host, HostInput::PlatformHosts { entries });
        self.step(host, HostInput::PlatformHeard { sent_at });
    }

    fn carry(&mut self, host: usize, life: u64, effect: HostEffect) {
        match effect {
            HostEffect::Admitted { ticket, endpoint } => {
                let Some(request) = self.waiting.remove(&(host, ticket)) else { return };
                self.admissions.admit(self.now, &request);
                let TestRequest { workspace, reserve, used, duration } = request;
                let input = HostInput::Settle { workspace, reserved: reserve, used };
                self.push(duration, QueueEvent::Input { host, life, input });
                let input = HostInput::EndpointFinished { endpoint, failed: false };
                self.push(duration, QueueEvent::Input { host, life, input });
            }
            HostEffect::Refused { ticket, refusal } => {
                let Some(request) = self.waiting.remove(&(host, ticket)) else { return };
                if refusal.reason == AdmissionReason::Allowance {
                    self.admissions.refuse(&request.workspace);
                }
            }
            HostEffect::Send { address, message, .. } => {
                if let Ok(to) = address.parse() {
                    self.send(host, to, &message);
                }
            }
            HostEffect::Platform(call) => {
                self.costs.platform_calls += 1;
                let delay = self.delay();
                self.push(delay, QueueEvent::Call { host, life, call });
            }
            HostEffect::PlacementCall(call) => {
                self.costs.platform_calls += 1;
                let delay = self.delay();
                self.push(delay, QueueEvent::Placement { host, life, call });
            }
            HostEffect::Order { engine, order, .. } => self.send_order(host, life, engine, order),
            HostEffect::SwitchVersions(models) => self.switch_versions(&models),
            HostEffect::StoreWithdrawn(hashes) => {
                if !self.platform.outage && !self.platform_partitions.contains(&host) {
                    self.platform.withdrawn.extend(hashes);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &PeerMessage) {
        self.costs.messages += 1;
        self.costs.bytes += bincode::serialized_size(message).unwrap_or(0);
        let cut = self.partitions.contains(&(from.min(to), from.max(to)));
        let faults = self.settings.faults;
        if cut || self.source.random_bool(faults.loss_rate) {
            return;
        }
        let copies = 1 + usize::from(self.source.random_bool(faults.doubled));
        for _ in 0..copies {
            let Some(life) = self.hosts[to].as_ref().map(|host| host.life) else { return };
            let delay = self.delay();
            let input = HostInput::Message { from: host_name(from), message: message.clone() };
            self.push(delay, QueueEvent::Input { host: to, life, input });
        }
    }

    fn delay(&mut self) -> Duration {
        let longest = self.settings.faults.delay.as_micros() as u64;
        Duration::from_micros(100 + self.source.random_range(0..=longest))
    }

    fn perform(&mut self, host: usize, life: u64, call: PlatformCall) {
        let reachable = !self.platform_partitions.contains(&host);
        let (outcome, late) = self.platform.perform(&mut self.source, reachable, call);
        if let Some((delay, call)) = late {
            self.push(delay, QueueEvent::LateWrite { call });
        }
        let delay = self.delay();
        let input = HostInput::PlatformDone { outcome };
        self.push(delay, QueueEvent::Input { host, life, input });
    }
}

fn host_name(number: usize) -> Arc<str> {
    format!("host-{number:03}").into()
}
