//! Deterministic simulation of a fleet, for tests and long randomised runs.
//!
//! Runs the state machines of several hosts on one event queue. The queue
//! loses, delays, duplicates and reorders messages. The platform has outages,
//! loses responses and applies writes late. Hosts are killed, paused and
//! partitioned from each other. The simulation models neither load nor hardware
//! beyond what the checks of the invariants need.

mod admissions;
mod delivery;
mod demand;
mod engines;
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

pub use admissions::{AdmissionRecorder, RequestCounts};
pub use demand::{DemandPattern, SchemeReport, ShareScheme, measure_scheme};
pub use engines::{EngineFaults, SimulatedEngine, SimulatedEngines};
pub use platform::SimulatedPlatform;
pub use scenario::{FaultEvent, ScenarioReport, random_fault, run_random_scenario, run_scenario};
pub use withdrawal::WITHDRAWAL_LIMIT;

/// Interval between two ticks of a host's state machine.
pub const TICK: Duration = Duration::from_millis(25);
/// Name of the workspace whose requests the reports count.
pub const WORKSPACE: &str = "shop";
/// Name of a second workspace, which has its own allowance.
///
/// Requests for it beyond its rate must not affect [`WORKSPACE`].
pub const OTHER_WORKSPACE: &str = "office";

const WATCH_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PENDING_INPUTS: usize = 24;
const POLL_INTERVAL: Duration = Duration::from_millis(400);
const ROUTE: &str = "stock";

/// Faults of the transport between hosts and engines, and of the hosts' clocks.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    /// Fraction of messages, orders, responses to orders and engine reports
    /// that are lost, from 0 to 1.
    ///
    /// The same fraction of the orders that are not lost is delivered late.
    pub loss_rate: f64,
    /// Fraction of messages that are delivered twice, from 0 to 1.
    pub duplicate_rate: f64,
    /// Maximum random part of the delay of a message, an engine report, or a
    /// call to the platform.
    ///
    /// A fixed delay of 0.1 ms comes on top.
    pub max_delay: Duration,
    /// Maximum relative deviation of a host's clock rate from true time.
    pub max_drift: f64,
}

impl Default for NetworkFaults {
    fn default() -> NetworkFaults {
        NetworkFaults {
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            max_delay: Duration::from_millis(2),
            max_drift: 0.0,
        }
    }
}

/// Settings of a simulated network.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of hosts at the start.
    pub hosts: usize,
    /// Rate of each workspace's allowance, in tokens per second.
    pub rate: Tokens,
    /// Burst of each workspace's allowance, in tokens.
    pub burst: Tokens,
    /// Duration of the lease on allowance shares.
    pub lease: Duration,
    /// Whether hosts lend each other shares.
    pub lending: bool,
    /// Faults of messages and clocks.
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

/// A simulated client request.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// Workspace that the request is charged to.
    pub workspace: WorkspaceId,
    /// Number of tokens to reserve at admission.
    pub reserve: Tokens,
    /// Number of tokens used when the request ends.
    pub used: Tokens,
    /// Time from admission to the end of the request.
    pub duration: Duration,
}

#[derive(Debug)]
enum NetworkEvent {
    Input { host: usize, pid: u64, input: HostInput },
    Tick { host: usize, pid: u64 },
    PlatformWatch { host: usize, pid: u64 },
    ShareCall { host: usize, pid: u64, call: PlatformCall },
    LateWrite { call: PlatformCall },
    PlacementCall { host: usize, pid: u64, call: PlatformCall },
    Order { host: usize, pid: u64, engine: EndpointId, order: EngineOrder },
    EnginePoll { host: usize, pid: u64 },
}

/// A host and the state of its current process.
#[derive(Debug)]
pub struct NetworkHost {
    /// State machine of the process.
    pub machine: HostMachine,
    pid: u64,
    started: Duration,
    clock_rate: f64,
    paused: bool,
    pending_inputs: Vec<HostInput>,
    highest_revision: Revision,
}

/// Accumulated cost of the control traffic and state machines of all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkCosts {
    /// Number of messages sent between hosts.
    pub messages: u64,
    /// Total encoded size of the messages, in bytes.
    pub bytes: u64,
    /// Number of calls to the platform for shares and placement.
    pub platform_calls: u64,
    /// Wall-clock time spent in the state machines.
    pub machine_time: Duration,
}

/// All hosts, the event queue between them, the platform and the engines.
#[derive(Debug)]
pub struct TestNetwork {
    /// Simulated time, from which the hosts' local clocks may drift.
    pub now: Duration,
    /// Hosts by number, with `None` where no process runs.
    pub hosts: Vec<Option<NetworkHost>>,
    /// Pairs of hosts that cannot reach each other, lower number first.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Hosts that cannot reach the platform.
    pub platform_partitions: BTreeSet<usize>,
    /// Simulated platform.
    pub platform: SimulatedPlatform,
    /// Simulated engines.
    pub engines: SimulatedEngines,
    /// Record of admitted and refused requests.
    pub admissions: AdmissionRecorder,
    /// Random number generator for all random choices.
    pub rng: ChaCha8Rng,
    /// Number of events handled.
    pub events: u64,
    /// Accumulated cost of all hosts.
    pub costs: NetworkCosts,
    settings: NetworkSettings,
    queue: BTreeMap<(Duration, u64), NetworkEvent>,
    last_sequence: u64,
    last_pid: u64,
    last_ticket: u64,
    pending_requests: BTreeMap<(usize, u64), TestRequest>,
    revision_falls: u64,
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
            engines: SimulatedEngines::default(),
            admissions: AdmissionRecorder::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            events: 0,
            costs: NetworkCosts::default(),
            queue: BTreeMap::new(),
            last_sequence: 0,
            last_pid: 0,
            last_ticket: 0,
            pending_requests: BTreeMap::new(),
            revision_falls: 0,
            settings,
        };
        (0..network.settings.hosts).for_each(|_| {
            network.start_host();
        });
        network
    }

    /// Returns the settings that the network was created with.
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

    /// Starts a new process on a host that has none running.
    pub fn start_process(&mut self, number: usize) {
        self.last_pid += 1;
        let pid = self.last_pid;
        let parameters = HostParameters {
            own_entry: MemberEntry {
                host: host_name(number),
                incarnation: pid,
                counter: 0,
                address: number.to_string().into(),
                data_centre: "muscat-a".into(),
                phase: MemberPhase::Joining,
                revision: 0,
                share_key: "".into(),
            },
            seed: self.settings.seed.wrapping_mul(31).wrapping_add(pid),
            allowance_lease: self.settings.lease,
            routing: RoutingPolicy::LeastOutstanding,
            lending: self.settings.lending,
        };
        let max_drift = self.settings.faults.max_drift;
        self.hosts[number] = Some(NetworkHost {
            machine: HostMachine::new(parameters),
            pid,
            started: self.now,
            clock_rate: 1.0 + self.rng.random_range(-max_drift..=max_drift),
            paused: false,
            pending_inputs: Vec::new(),
            highest_revision: 0,
        });
        self.push(TICK, NetworkEvent::Tick { host: number, pid });
        self.push(TICK, NetworkEvent::PlatformWatch { host: number, pid });
        self.push(TICK, NetworkEvent::EnginePoll { host: number, pid });
    }

    /// Kills a host's process without a graceful shutdown, and drops its
    /// requests that await a decision on their admission.
    pub fn kill_process(&mut self, number: usize) {
        self.hosts[number] = None;
        self.pending_requests.retain(|(host, _), _| *host != number);
    }

    /// Pauses or resumes a host's process.
    ///
    /// Inputs that arrive during the pause are handled when the process
    /// resumes.
    pub fn set_paused(&mut self, number: usize, paused: bool) {
        let Some(host) = &mut self.hosts[number] else { return };
        host.paused = paused;
        if !paused {
            let pending_inputs = std::mem::take(&mut host.pending_inputs);
            pending_inputs.into_iter().for_each(|input| self.step(number, input));
        }
    }

    /// Returns whether a host's process runs and is not paused.
    pub fn is_running(&self, number: usize) -> bool {
        self.hosts[number].as_ref().is_some_and(|host| !host.paused)
    }

    /// Returns whether a host accepts requests.
    pub fn is_serving(&self, number: usize) -> bool {
        let local = self.local_time(number);
        let host = self.hosts[number].as_ref().filter(|host| !host.paused);
        host.is_some_and(|host| host.machine.is_serving(local))
    }

    /// Returns whether a host accepts requests and would accept a key.
    pub fn accepts_key(&self, number: usize, hash: &KeyHash) -> bool {
        let take_snapshot = |host: &NetworkHost| host.machine.snapshot(Duration::ZERO);
        let snapshot = self.hosts[number].as_ref().map(take_snapshot);
        self.is_serving(number)
            && snapshot.is_some_and(|snapshot| {
                let (configuration, withdrawn) = (&snapshot.configuration, &snapshot.withdrawn);
                skylarkgw::decision::keys::check_key(configuration, withdrawn, Some(hash)).is_ok()
            })
    }

    /// Returns the number of parts of [`WORKSPACE`]'s allowance that all hosts
    /// together may use now.
    ///
    /// Paused hosts are counted as if they resumed at this moment.
    pub fn parts_in_use(&self) -> u64 {
        let hosts = self.hosts.iter().enumerate();
        let parts = hosts.filter_map(|(number, host)| {
            let machine = &host.as_ref()?.machine;
            Some(machine.parts(self.local_time(number), WORKSPACE))
        });
        parts.sum()
    }

    /// Returns how often a host's configuration revision was observed to
    /// decrease.
    pub fn revision_falls(&self) -> u64 {
        self.revision_falls
    }

    /// Returns a host's local time, measured from the start of its process, or
    /// zero if no process runs.
    pub fn local_time(&self, number: usize) -> Duration {
        self.hosts[number].as_ref().map_or(Duration::ZERO, |host| {
            self.now.saturating_sub(host.started).mul_f64(host.clock_rate)
        })
    }

    /// Sends a request to a host.
    ///
    /// The request is neither sent nor counted if the host is not serving.
    pub fn send_request(&mut self, number: usize, request: TestRequest) {
        if !self.is_serving(number) {
            return;
        }
        self.admissions.record_request(&request.workspace);
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let admission = AdmissionRequest {
            workspace: Some(request.workspace.clone()),
            target: RouteTarget::Service { route: ROUTE.into() },
            tokens: request.reserve,
        };
        self.pending_requests.insert((number, ticket), request);
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
        let engine = SimulatedEngine::new(checks_fence, memory_mb);
        self.engines.engines.insert(name.into(), engine);
        self.change_configuration(|next| {
            next.endpoints.insert(name.into(), spec);
        });
    }

    /// Declares a model.
    pub fn add_model(&mut self, name: &str, memory_mb: u64, replicas: u32) {
        let spec = ModelSpec { version: "1".into(), next: None, memory_mb, replicas };
        self.change_configuration(|next| {
            next.models.insert(name.into(), spec);
        });
    }

    /// Applies a change to the accepted configuration as its next revision.
    pub fn change_configuration(&mut self, change: impl FnOnce(&mut FleetConfiguration)) {
        let mut next = FleetConfiguration::clone(&self.platform.configuration);
        change(&mut next);
        next.revision += 1;
        self.platform.configuration = Arc::new(next);
    }

    /// Declares a key of [`WORKSPACE`].
    pub fn declare_key(&mut self, hash: &KeyHash) {
        let spec = KeySpec { workspace: WORKSPACE.into() };
        self.change_configuration(|next| {
            next.keys.insert(hash.clone(), spec);
        });
    }

    /// Advances simulated time and handles all events that become due.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Passes an input to a host's state machine and applies the resulting
    /// effects.
    ///
    /// An input to a paused host waits until the host resumes. An input to a
    /// host without a process is dropped.
    pub fn step(&mut self, number: usize, input: HostInput) {
        let local = self.local_time(number);
        let Some(host) = &mut self.hosts[number] else { return };
        if host.paused {
            let is_message = matches!(input, HostInput::Message { .. });
            // Messages that fit into the socket buffers are read after the
            // pause. The others are dropped, because their senders time out.
            if !is_message || host.pending_inputs.len() < MAX_PENDING_INPUTS {
                host.pending_inputs.push(input);
            }
            return;
        }
        let pid = host.pid;
        let started = Instant::now();
        let effects = host.machine.step(local, input);
        self.costs.machine_time += started.elapsed();
        let revision = host.machine.revision();
        self.revision_falls += u64::from(revision < host.highest_revision);
        host.highest_revision = host.highest_revision.max(revision);
        effects.into_iter().for_each(|effect| self.apply_effect(number, pid, effect));
    }

    fn push(&mut self, delay: Duration, event: NetworkEvent) {
        self.last_sequence += 1;
        self.queue.insert((self.now + delay, self.last_sequence), event);
    }

    fn is_current_process(&self, host: usize, pid: u64) -> bool {
        self.hosts[host].as_ref().is_some_and(|found| found.pid == pid)
    }

    fn handle_event(&mut self, event: NetworkEvent) {
        self.events += 1;
        match event {
            NetworkEvent::Input { host, pid, input } if self.is_current_process(host, pid) => {
                self.step(host, input);
            }
            NetworkEvent::Tick { host, pid } if self.is_current_process(host, pid) => {
                if self.is_running(host) {
                    self.step(host, HostInput::Tick);
                }
                self.push(TICK, NetworkEvent::Tick { host, pid });
            }
            NetworkEvent::PlatformWatch { host, pid } if self.is_current_process(host, pid) => {
                self.deliver_platform_state(host);
                self.push(WATCH_INTERVAL, NetworkEvent::PlatformWatch { host, pid });
            }
            NetworkEvent::ShareCall { host, pid, call } => self.perform_share_call(host, pid, call),
            NetworkEvent::LateWrite { call } => {
                self.platform.apply(&call);
            }
            NetworkEvent::PlacementCall { host, pid, call } => {
                self.perform_placement(host, pid, call)
            }
            NetworkEvent::Order { host, pid, engine, order } => {
                self.deliver_order(host, pid, &engine, &order);
            }
            NetworkEvent::EnginePoll { host, pid } if self.is_current_process(host, pid) => {
                self.poll_engines(host, pid);
                self.push(POLL_INTERVAL, NetworkEvent::EnginePoll { host, pid });
            }
            _ => {}
        }
    }

    fn deliver_platform_state(&mut self, host: usize) {
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
        let clone_entry = |found: &NetworkHost| found.machine.own_entry().clone();
        let entries = self.hosts.iter().flatten().map(clone_entry).collect();
        self.step(host, HostInput::PlatformHosts { entries });
        self.step(host, HostInput::PlatformAnswered { sent_at });
    }

    fn apply_effect(&mut self, host: usize, pid: u64, effect: HostEffect) {
        match effect {
            HostEffect::Admitted { ticket, endpoint } => {
                let Some(request) = self.pending_requests.remove(&(host, ticket)) else { return };
                self.admissions.record_admission(self.now, &request);
                let TestRequest { workspace, reserve, used, duration } = request;
                let input = HostInput::Settle { workspace, reserved: reserve, used };
                self.push(duration, NetworkEvent::Input { host, pid, input });
                let input = HostInput::EndpointFinished { endpoint, failed: false };
                self.push(duration, NetworkEvent::Input { host, pid, input });
            }
            HostEffect::Refused { ticket, refusal } => {
                let Some(request) = self.pending_requests.remove(&(host, ticket)) else { return };
                if refusal.reason == AdmissionReason::Allowance {
                    self.admissions.record_refusal(&request.workspace);
                }
            }
            HostEffect::Send { address, message, .. } => {
                if let Ok(to) = address.parse() {
                    self.send_message(host, to, &message);
                }
            }
            HostEffect::ShareCall(call) => {
                self.costs.platform_calls += 1;
                let delay = self.sample_delay();
                self.push(delay, NetworkEvent::ShareCall { host, pid, call });
            }
            HostEffect::PlacementCall(call) => {
                self.costs.platform_calls += 1;
                let delay = self.sample_delay();
                self.push(delay, NetworkEvent::PlacementCall { host, pid, call });
            }
            HostEffect::Order { engine, order, .. } => self.send_order(host, pid, engine, order),
            HostEffect::SwitchVersions(models) => self.switch_versions(&models),
            HostEffect::StoreWithdrawn(hashes) => {
                if !self.platform.outage && !self.platform_partitions.contains(&host) {
                    self.platform.withdrawn.extend(hashes);
                }
            }
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: &PeerMessage) {
        self.costs.messages += 1;
        self.costs.bytes += bincode::serialized_size(message).unwrap_or(0);
        let is_partitioned = self.partitions.contains(&(from.min(to), from.max(to)));
        let faults = self.settings.faults;
        if is_partitioned || self.rng.random_bool(faults.loss_rate) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(faults.duplicate_rate));
        for _ in 0..copies {
            let Some(pid) = self.hosts[to].as_ref().map(|host| host.pid) else { return };
            let delay = self.sample_delay();
            let input = HostInput::Message { from: host_name(from), message: message.clone() };
            self.push(delay, NetworkEvent::Input { host: to, pid, input });
        }
    }

    fn sample_delay(&mut self) -> Duration {
        let max_delay_us = self.settings.faults.max_delay.as_micros() as u64;
        Duration::from_micros(100 + self.rng.random_range(0..=max_delay_us))
    }

    fn perform_share_call(&mut self, host: usize, pid: u64, call: PlatformCall) {
        let reachable = !self.platform_partitions.contains(&host);
        let (outcome, late_write) = self.platform.perform(&mut self.rng, reachable, call);
        if let Some((delay, call)) = late_write {
            self.push(delay, NetworkEvent::LateWrite { call });
        }
        let delay = self.sample_delay();
        let input = HostInput::ShareCallDone { outcome };
        self.push(delay, NetworkEvent::Input { host, pid, input });
    }
}

fn host_name(number: usize) -> Arc<str> {
    format!("host-{number:03}").into()
}
