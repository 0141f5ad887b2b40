//! Scenarios of random faults under alternating low and heavy traffic, with
//! checks of all invariants.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use skylarkgw::decision::host::HostInput;
use skylarkgw::decision::invariant::total_violations;
use skylarkgw::decision::shares::{LEDGER_OBJECT, ShareLedger};
use skylarkgw::ids::{KeyHash, PARTS_PER_ALLOWANCE};

use crate::network::withdrawal::WithdrawalChecker;
use crate::network::{
    EngineFaults, NetworkFaults, NetworkSettings, OTHER_WORKSPACE, TestNetwork, TestRequest,
    WORKSPACE,
};

const TRAFFIC_CYCLE: Duration = Duration::from_millis(4_000);
const LOW_TRAFFIC_TIME: Duration = Duration::from_millis(3_000);
const LOW_TRAFFIC_INTERVAL: Duration = Duration::from_millis(20);
const FLOOD_INTERVAL: Duration = Duration::from_millis(5);
const MAX_SMALL_REQUEST_TOKENS: u64 = 200;
const MAX_LARGE_REQUEST_TOKENS: u64 = 4_000;
const KEY_COUNT: u64 = 20;
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
const ENGINE_COUNT: usize = 5;
const ENGINE_MEMORY_MB: u64 = 1_000;
const MODEL_COUNT: usize = 6;
const MODEL_MEMORY_MB: u64 = 300;
/// Covers the lease, the wait for late orders, and loads within the rate limits
/// of the weight store.
const RECOVERY_TIME: Duration = Duration::from_secs(60);

/// A fault to inject, the end of one, or an operation to run between faults.
///
/// Hosts, engines and models are identified by their numbers from 0, taken
/// modulo the number that exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultEvent {
    /// Kills a host's process without a graceful shutdown.
    Kill(usize),
    /// Starts a process on a host whose previous process has ended.
    Restart(usize),
    /// Starts a host under a new name.
    Join,
    /// Drains a host and ends its process seven seconds later.
    Leave(usize),
    /// Pauses a host's process.
    Pause(usize),
    /// Resumes a host's process.
    Resume(usize),
    /// Partitions two hosts from each other.
    Partition(usize, usize),
    /// Partitions a host from the platform.
    PlatformPartition(usize),
    /// Ends all partitions, between hosts and from the platform.
    HealPartitions,
    /// Starts a platform outage, in which no call is served.
    PlatformOutage,
    /// Ends the platform outage.
    PlatformRecovery,
    /// Changes the configuration to half of the initial rate.
    HalveRate,
    /// Changes the configuration back to the initial rate.
    RestoreRate,
    /// Withdraws the next key at a host, as an operator does.
    ///
    /// Skips the key if the host is not serving or hosts are partitioned from
    /// each other.
    WithdrawKey(usize),
    /// Kills an engine's process, which loses its models, its fencing token and
    /// its record of the last order.
    KillEngine(usize),
    /// Restarts all engines that are not running.
    RestartEngines,
    /// Starts the rollout of a new version of a model.
    Rollout(usize),
    /// Cancels a rollout whose version has not been switched yet.
    Rollback(usize),
}

/// Result of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioReport {
    /// Number of events handled.
    pub events: u64,
    /// Number of requests for [`WORKSPACE`] sent to serving hosts.
    pub asked: u64,
    /// Number of requests for [`WORKSPACE`] refused because the allowance was
    /// used up.
    pub refused: u64,
    /// Tokens admitted beyond the bound; zero or negative if the bound holds.
    pub excess: f64,
    /// Number of violations detected by the invariant checks of the program
    /// itself.
    pub violations: u64,
    /// Number of observed decreases of a host's configuration revision.
    pub revision_falls: u64,
    /// Maximum number of parts beyond [`PARTS_PER_ALLOWANCE`] that hosts could
    /// use at any one time, or that the ledger assigned.
    pub surplus_parts: u64,
    /// Number of observations of a host that accepted a withdrawn key later
    /// than [`WITHDRAWAL_LIMIT`], without those in `lost_withdrawals`.
    ///
    /// [`WITHDRAWAL_LIMIT`]: crate::network::WITHDRAWAL_LIMIT
    pub late_keys: u64,
    /// Number of observations of a host that accepted a withdrawn key later
    /// than [`WITHDRAWAL_LIMIT`], although it had recent contact with the
    /// platform or with half of the other hosts, because neither the platform
    /// nor a process that it could reach had been able to report the withdrawal
    /// for long enough.
    ///
    /// [`WITHDRAWAL_LIMIT`]: crate::network::WITHDRAWAL_LIMIT
    pub lost_withdrawals: u64,
    /// Numbers of harmful orders that the engines have applied.
    pub engine_faults: EngineFaults,
    /// Number of models that no engine served at the end, with all engines
    /// running.
    pub unreachable_models: u64,
    /// Number of orders applied by engines.
    pub orders: u64,
}

impl ScenarioReport {
    /// Returns whether all invariants held.
    ///
    /// Lost withdrawals do not count as violations.
    pub fn all_invariants_hold(&self) -> bool {
        self.excess <= 0.0
            && self.violations == 0
            && self.revision_falls == 0
            && self.surplus_parts == 0
            && self.late_keys == 0
            && self.engine_faults == EngineFaults::default()
            && self.unreachable_models == 0
    }
}

/// Returns a random fault for a network of about `hosts` hosts.
pub fn random_fault(rng: &mut ChaCha8Rng, hosts: usize) -> FaultEvent {
    let host = rng.random_range(0..hosts);
    match rng.random_range(0..25) {
        0 => FaultEvent::Kill(host),
        1 | 2 => FaultEvent::Restart(host),
        3 => FaultEvent::Join,
        4 => FaultEvent::Leave(host),
        5 | 6 => FaultEvent::Pause(host),
        7..=9 => FaultEvent::Resume(host),
        10 | 11 => FaultEvent::Partition(host, rng.random_range(0..hosts)),
        12 => FaultEvent::PlatformPartition(host),
        13 | 14 => FaultEvent::HealPartitions,
        15 => FaultEvent::PlatformOutage,
        16 | 17 => FaultEvent::PlatformRecovery,
        18 => {
            if rng.random_bool(0.5) {
                FaultEvent::HalveRate
            } else {
                FaultEvent::RestoreRate
            }
        }
        19 => FaultEvent::WithdrawKey(host),
        20 => FaultEvent::KillEngine(host),
        21 | 22 => FaultEvent::RestartEngines,
        23 => FaultEvent::Rollout(host),
        _ => FaultEvent::Rollback(host),
    }
}

/// Runs a scenario of `faults` random faults drawn from a seed.
pub fn run_random_scenario(seed: u64, faults: usize) -> ScenarioReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let hosts = rng.random_range(2..9);
    let events: Vec<(Duration, FaultEvent)> = (0..faults)
        .map(|_| {
            let pause = Duration::from_millis(rng.random_range(50..6_000));
            (pause, random_fault(&mut rng, hosts))
        })
        .collect();
    run_scenario(seed, hosts, &events)
}

/// Runs a scenario of given faults on a network that starts with `hosts` hosts.
///
/// Each fault is paired with the pause between the previous fault and itself.
/// Throughout the scenario, messages are lost, duplicated and delayed, and
/// responses of the platform are lost. After the last fault, all faults end
/// except those of messages.
pub fn run_scenario(seed: u64, hosts: usize, events: &[(Duration, FaultEvent)]) -> ScenarioReport {
    let settings = NetworkSettings {
        seed,
        hosts,
        lease: Duration::from_secs(8),
        faults: NetworkFaults {
            loss_rate: 0.05,
            duplicate_rate: 0.05,
            max_delay: Duration::from_millis(300),
            max_drift: 0.0,
        },
        ..NetworkSettings::default()
    };
    let mut network = TestNetwork::new(settings);
    network.platform.lost_answer_rate = 0.1;
    network.platform.late_write_rate = 0.5;
    let violations_before = total_violations();
    let mut run = ScenarioRun {
        network,
        draining_hosts: Vec::new(),
        withdrawals: WithdrawalChecker::default(),
        withdrawn_keys: 0,
        last_version: 1,
        surplus_parts: 0,
    };
    run.declare_models();
    run.declare_keys();
    run.run_traffic(Duration::from_secs(5));
    for (pause, event) in events {
        run.run_traffic(*pause);
        run.apply_fault(*event);
    }
    run.recover();
    run.into_report(violations_before)
}

struct ScenarioRun {
    network: TestNetwork,
    draining_hosts: Vec<(Duration, usize)>,
    withdrawals: WithdrawalChecker,
    withdrawn_keys: u64,
    last_version: u64,
    surplus_parts: u64,
}

impl ScenarioRun {
    /// Declares engines with and without fencing checks, and models that nearly
    /// fill them.
    fn declare_models(&mut self) {
        for number in 0..ENGINE_COUNT {
            let name = format!("engine-{number}");
            self.network.add_engine(&name, number % 2 == 0, ENGINE_MEMORY_MB);
        }
        for number in 0..MODEL_COUNT {
            let replicas = 1 + (number % 2) as u32;
            self.network.add_model(&format!("model-{number}"), MODEL_MEMORY_MB, replicas);
        }
    }

    /// Declares the keys in advance, so that they can also be withdrawn during
    /// outages.
    fn declare_keys(&mut self) {
        for number in 1..=KEY_COUNT {
            self.network.declare_key(&format!("key-{number}").into());
        }
    }

    /// Ends all faults and waits until all models can be served again.
    fn recover(&mut self) {
        self.network.platform.outage = false;
        self.network.platform.lost_answer_rate = 0.0;
        self.network.partitions.clear();
        self.network.platform_partitions.clear();
        (0..ENGINE_COUNT)
            .for_each(|number| self.network.engines.restart(&format!("engine-{number}")));
        for host in 0..self.network.hosts.len() {
            if self.network.hosts[host].is_none() {
                self.network.start_process(host);
            }
            self.network.set_paused(host, false);
        }
        self.run_traffic(RECOVERY_TIME);
    }

    fn apply_fault(&mut self, event: FaultEvent) {
        let count = self.network.hosts.len();
        match event {
            FaultEvent::Kill(host) => self.network.kill_process(host % count),
            FaultEvent::Restart(host) => {
                if self.network.hosts[host % count].is_none() {
                    self.network.start_process(host % count);
                }
            }
            FaultEvent::Join => {
                if count < 24 {
                    self.network.start_host();
                }
            }
            FaultEvent::Leave(host) => {
                self.network.step(host % count, HostInput::Drain);
                self.draining_hosts.push((self.network.now + Duration::from_secs(7), host % count));
            }
            FaultEvent::Pause(host) => self.network.set_paused(host % count, true),
            FaultEvent::Resume(host) => self.network.set_paused(host % count, false),
            FaultEvent::Partition(first, second) if first % count != second % count => {
                let (first, second) = (first % count, second % count);
                self.network.partitions.insert((first.min(second), first.max(second)));
            }
            FaultEvent::Partition(..) => {}
            FaultEvent::PlatformPartition(host) => {
                self.network.platform_partitions.insert(host % count);
            }
            FaultEvent::HealPartitions => {
                self.network.partitions.clear();
                self.network.platform_partitions.clear();
            }
            FaultEvent::PlatformOutage => self.network.platform.outage = true,
            FaultEvent::PlatformRecovery => self.network.platform.outage = false,
            FaultEvent::HalveRate => self.declare_rate(2),
            FaultEvent::RestoreRate => self.declare_rate(1),
            FaultEvent::WithdrawKey(host) => self.withdraw_key(host % count),
            FaultEvent::KillEngine(engine) => {
                let name = format!("engine-{}", engine % ENGINE_COUNT);
                self.network.engines.kill(self.network.now, &name);
            }
            FaultEvent::RestartEngines => (0..ENGINE_COUNT).for_each(|number| {
                self.network.engines.restart(&format!("engine-{number}"));
            }),
            FaultEvent::Rollout(model) => {
                self.last_version += 1;
                let version: std::sync::Arc<str> = self.last_version.to_string().into();
                self.set_next_version(model, Some(version));
            }
            FaultEvent::Rollback(model) => self.set_next_version(model, None),
        }
    }

    fn set_next_version(&mut self, model: usize, version: Option<std::sync::Arc<str>>) {
        if self.network.platform.outage {
            return;
        }
        let model = format!("model-{}", model % MODEL_COUNT);
        self.network.change_configuration(|next| {
            if let Some(spec) = next.models.get_mut(model.as_str()) {
                spec.next = version;
            }
        });
    }

    fn declare_rate(&mut self, divisor: u64) {
        let rate = self.network.settings().rate / divisor;
        self.network.change_configuration(|next| {
            next.workspaces.values_mut().for_each(|workspace| workspace.rate = rate);
        });
    }

    /// Withdraws a key at a serving host while no hosts are partitioned from
    /// each other, with or without the platform.
    ///
    /// A partitioned host could not pass the withdrawal on, and a host that is
    /// killed at once loses it. So no fault is injected until the withdrawal
    /// has had time to propagate.
    fn withdraw_key(&mut self, host: usize) {
        self.withdrawn_keys += 1;
        let hash: KeyHash = format!("key-{}", self.withdrawn_keys).into();
        if self.network.partitions.is_empty() && self.network.is_serving(host) {
            let hashes = vec![hash.clone()];
            self.network.step(host, HostInput::Withdraw { hashes });
            self.withdrawals.record_withdrawal(self.network.now, hash);
            self.network.run(PROPAGATION_TIME);
        }
    }

    /// Advances time under alternating traffic.
    ///
    /// Buckets fill during low traffic. All hosts are then flooded with
    /// requests.
    fn run_traffic(&mut self, time: Duration) {
        let end = self.network.now + time;
        while self.network.now < end {
            let is_flooding = self.network.now.as_millis() % TRAFFIC_CYCLE.as_millis()
                >= LOW_TRAFFIC_TIME.as_millis();
            if is_flooding {
                (0..self.network.hosts.len()).for_each(|host| self.send_small_request(host));
            }
            if self.network.rng.random_bool(0.05) {
                self.send_large_request();
            }
            self.network.run(if is_flooding { FLOOD_INTERVAL } else { LOW_TRAFFIC_INTERVAL });
            let surplus = self.network.parts_in_use().saturating_sub(PARTS_PER_ALLOWANCE);
            self.surplus_parts = self.surplus_parts.max(surplus);
            self.stop_drained_hosts();
            self.withdrawals.check(&self.network);
        }
    }

    /// Sends a short request that uses all of its reserved tokens.
    fn send_small_request(&mut self, host: usize) {
        let tokens = self.network.rng.random_range(1..MAX_SMALL_REQUEST_TOKENS);
        let duration = Duration::from_millis(self.network.rng.random_range(0..20));
        let request =
            TestRequest { workspace: WORKSPACE.into(), reserve: tokens, used: tokens, duration };
        self.network.send_request(host, request);
    }

    /// Sends a long request that returns a part of its reserved tokens.
    fn send_large_request(&mut self) {
        let rng = &mut self.network.rng;
        let host = rng.random_range(0..self.network.hosts.len());
        let workspace = if rng.random_bool(0.5) { WORKSPACE } else { OTHER_WORKSPACE };
        let reserve = rng.random_range(1..MAX_LARGE_REQUEST_TOKENS);
        let used = rng.random_range(0..=reserve);
        let duration = Duration::from_millis(rng.random_range(1..8_000));
        let request = TestRequest { workspace: workspace.into(), reserve, used, duration };
        self.network.send_request(host, request);
    }

    fn stop_drained_hosts(&mut self) {
        let now = self.network.now;
        let is_due = |(at, _): &(Duration, usize)| *at <= now;
        let drained: Vec<usize> = self
            .draining_hosts
            .iter()
            .filter(|entry| is_due(entry))
            .map(|(_, host)| *host)
            .collect();
        self.draining_hosts.retain(|entry| !is_due(entry));
        for host in drained {
            self.network.step(host, HostInput::Leave);
            self.network.kill_process(host);
        }
    }

    fn into_report(self, violations_before: u64) -> ScenarioReport {
        let settings = self.network.settings();
        let (rate, burst) = (settings.rate as f64, settings.burst as f64);
        let ledger = self.network.platform.value(LEDGER_OBJECT).unwrap_or_default();
        let ledger: ShareLedger = serde_json::from_str(&ledger).unwrap_or_default();
        let parts: u64 = ledger.parts.values().sum();
        let counts = self.network.admissions.counts(WORKSPACE);
        let models = self.network.platform.configuration.models.keys();
        let unreachable = models.filter(|model| !self.network.engines.is_reachable(model)).count();
        ScenarioReport {
            events: self.network.events,
            asked: counts.asked,
            refused: counts.refused,
            excess: self.network.admissions.max_excess(rate, burst),
            violations: total_violations() - violations_before,
            revision_falls: self.network.revision_falls(),
            surplus_parts: self.surplus_parts.max(parts.saturating_sub(PARTS_PER_ALLOWANCE)),
            late_keys: self.withdrawals.late_keys,
            lost_withdrawals: self.withdrawals.lost_withdrawals,
            engine_faults: self.network.engines.faults,
            unreachable_models: unreachable as u64,
            orders: self.network.engines.applied_orders,
        }
    }
}
