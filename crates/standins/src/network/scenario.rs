//! Random faults under heavy demand, with every invariant looked at after.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use skylarkgw::decision::host::HostInput;
use skylarkgw::decision::invariant::total_violations;
use skylarkgw::decision::shares::{LEDGER_OBJECT, ShareLedger};
use skylarkgw::ids::{ALL_PARTS, KeyHash};

use crate::network::withdrawal::WithdrawalJudge;
use crate::network::{
    EngineFaults, NetworkFaults, NetworkSettings, OTHER_WORKSPACE, TestNetwork, TestRequest,
    WORKSPACE,
};

const PHASE: Duration = Duration::from_millis(4_000);
const LULL: Duration = Duration::from_millis(3_000);
const LULL_PAUSE: Duration = Duration::from_millis(20);
const FLOOD_PAUSE: Duration = Duration::from_millis(5);
const SMALL_REQUEST: u64 = 200;
const LARGE_REQUEST: u64 = 4_000;
const KEYS: u64 = 20;
const SPREAD_TIME: Duration = Duration::from_secs(2);
const ENGINES: usize = 5;
const ENGINE_MEMORY_MB: u64 = 1_000;
const MODELS: usize = 6;
const MODEL_MEMORY_MB: u64 = 300;
/// Lease, wait for late orders, and loads within the weight store's limits.
const RECOVERY_TIME: Duration = Duration::from_secs(60);

/// Something that goes wrong, or is set right again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultEvent {
    /// A host's process ends without a word.
    Kill(usize),
    /// A process starts on a host whose last one is dead.
    Restart(usize),
    /// A host starts under a new name.
    Join,
    /// A host is told to stop and ends some seconds later.
    Leave(usize),
    /// A host's process is stopped.
    Pause(usize),
    /// A host's process goes on.
    Resume(usize),
    /// Two hosts cannot reach each other.
    Partition(usize, usize),
    /// A host cannot reach the platform.
    PlatformPartition(usize),
    /// All hosts can reach each other and the platform.
    HealPartitions,
    /// The platform serves no call.
    PlatformOutage,
    /// The platform serves calls again.
    PlatformRecovery,
    /// The allowance is declared anew with half the rate.
    HalveRate,
    /// The allowance is declared anew with the first rate.
    RestoreRate,
    /// An operator withdraws the next key at a host.
    WithdrawKey(usize),
    /// An engine's process ends and its memory is lost.
    KillEngine(usize),
    /// All engines run again.
    RestartEngines,
    /// A model's next version is rolled out.
    Rollout(usize),
    /// A rollout that is not switched yet is taken back.
    Rollback(usize),
}

/// What a scenario came to.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioReport {
    /// Events that were taken.
    pub events: u64,
    /// Requests that were made.
    pub asked: u64,
    /// Requests that were refused for the allowance.
    pub refused: u64,
    /// Tokens by which the bound was exceeded; zero or less is within it.
    pub excess: f64,
    /// Invariants that the program itself found violated.
    pub violations: u64,
    /// Revisions that were seen to fall.
    pub revision_falls: u64,
    /// Parts beyond the whole that hosts could use at any one moment, or that
    /// the ledger gave.
    pub surplus_parts: u64,
    /// Looks at which a host accepted a withdrawn key too late.
    pub late_keys: u64,
    /// Looks at which a host accepted a withdrawn key that the platform never
    /// stored and that no process in reach could tell it of.
    pub lost_withdrawals: u64,
    /// What engines found wrong.
    pub engine_faults: EngineFaults,
    /// Models that no engine served at the end, with all engines running.
    pub unreachable_models: u64,
    /// Orders that engines applied.
    pub orders: u64,
}

impl ScenarioReport {
    /// Returns whether everything held.
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

/// Draws a fault for a network of about as many hosts.
pub fn random_fault(source: &mut ChaCha8Rng, hosts: usize) -> FaultEvent {
    let host = source.random_range(0..hosts);
    match source.random_range(0..25) {
        0 => FaultEvent::Kill(host),
        1 | 2 => FaultEvent::Restart(host),
        3 => FaultEvent::Join,
        4 => FaultEvent::Leave(host),
        5 | 6 => FaultEvent::Pause(host),
        7..=9 => FaultEvent::Resume(host),
        10 | 11 => FaultEvent::Partition(host, source.random_range(0..hosts)),
        12 => FaultEvent::PlatformPartition(host),
        13 | 14 => FaultEvent::HealPartitions,
        15 => FaultEvent::PlatformOutage,
        16 | 17 => FaultEvent::PlatformRecovery,
        18 => {
            if source.random_bool(0.5) {
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

/// Runs a scenario whose faults are drawn from a seed.
pub fn run_random_scenario(seed: u64, faults: usize) -> ScenarioReport {
    let mut source = ChaCha8Rng::seed_from_u64(seed);
    let hosts = source.random_range(2..9);
    let events: Vec<(Duration, FaultEvent)> = (0..faults)
        .map(|_| {
            let pause = Duration::from_millis(source.random_range(50..6_000));
            (pause, random_fault(&mut source, hosts))
        })
        .collect();
    run_scenario(seed, hosts, &events)
}

/// Runs a scenario: each fault strikes a pause after the one before.
pub fn run_scenario(seed: u64, hosts: usize, events: &[(Duration, FaultEvent)]) -> ScenarioReport {
    let settings = NetworkSettings {
        seed,
        hosts,
        lease: Duration::from_secs(8),
        faults: NetworkFaults {
            loss_rate: 0.05,
            doubled: 0.05,
            delay: Duration::from_millis(300),
            drift: 0.0,
        },
        ..NetworkSettings::default()
    };
    let mut network = TestNetwork::new(settings);
    network.platform.lost_answers = 0.1;
    network.platform.late_writes = 0.5;
    let violations = total_violations();
    let mut run = ScenarioRun {
        network,
        leaving: Vec::new(),
        withdrawals: WithdrawalJudge::default(),
        keys: 0,
        versions: 1,
        surplus_parts: 0,
    };
    run.declare_models();
    run.declare_keys();
    run.pass(Duration::from_secs(5));
    for (pause, event) in events {
        run.pass(*pause);
        run.strike(*event);
    }
    run.recover();
    run.report(violations)
}

struct ScenarioRun {
    network: TestNetwork,
    leaving: Vec<(Duration, usize)>,
    withdrawals: WithdrawalJudge,
    keys: u64,
    versions: u64,
    surplus_parts: u64,
}

impl ScenarioRun {
    /// Declares engines of both kinds and models that nearly fill them.
    fn declare_models(&mut self) {
        for number in 0..ENGINES {
            let name = format!("engine-{number}");
            self.network.add_engine(&name, number % 2 == 0, ENGINE_MEMORY_MB);
        }
        for number in 0..MODELS {
            let replicas = 1 + (number % 2) as u32;
            self.network.add_model(&format!("model-{number}"), MODEL_MEMORY_MB, replicas);
        }
    }

    /// Declares the keys that are withdrawn later, also in outages.
    fn declare_keys(&mut self) {
        for number in 1..=KEYS {
            self.network.declare_key(&format!("key-{number}").into());
        }
    }

    /// Lets everything run again and waits until all models can be back.
    fn recover(&mut self) {
        self.network.platform.outage = false;
        self.network.platform.lost_answers = 0.0;
        self.network.partitions.clear();
        self.network.platform_partitions.clear();
        (0..ENGINES).for_each(|number| self.network.engines.restart(&format!("engine-{number}")));
        for host in 0..self.network.hosts.len() {
            if self.network.hosts[host].is_none() {
                self.network.start_process(host);
            }
            self.network.set_paused(host, false);
        }
        self.pass(RECOVERY_TIME);
    }

    fn strike(&mut self, event: FaultEvent) {
        let count = self.network.hosts.len();
        match event {
            FaultEvent::Kill(host) => self.network.kill(host % count),
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
                self.leaving.push((self.network.now + Duration::from_secs(7), host % count));
            }
            FaultEvent::Pause(host) => self.network.set_paused(host % count, true),
            FaultEvent::Resume(host) => self.network.set_paused(host % count, false),
            FaultEvent::Partition(one, other) if one % count != other % count => {
                let (one, other) = (one % count, other % count);
                self.network.partitions.insert((one.min(other), one.max(other)));
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
            FaultEvent::WithdrawKey(host) => self.withdraw(host % count),
            FaultEvent::KillEngine(engine) => {
                let name = format!("engine-{}", engine % ENGINES);
                self.network.engines.kill(self.network.now, &name);
            }
            FaultEvent::RestartEngines => (0..ENGINES).for_each(|number| {
                self.network.engines.restart(&format!("engine-{number}"));
            }),
            FaultEvent::Rollout(model) => {
                self.versions += 1;
                let version: std::sync::Arc<str> = self.versions.to_string().into();
                self.set_next(model, Some(version));
            }
            FaultEvent::Rollback(model) => self.set_next(model, None),
        }
    }

    fn set_next(&mut self, model: usize, version: Option<std::sync::Arc<str>>) {
        if self.network.platform.outage {
            return;
        }
        let model = format!("model-{}", model % MODELS);
        self.network.accept(|next| {
            if let Some(spec) = next.models.get_mut(model.as_str()) {
                spec.next = version;
            }
        });
    }

    fn declare_rate(&mut self, divisor: u64) {
        let rate = self.network.settings().rate / divisor;
        self.network.accept(|next| {
            next.workspaces.values_mut().for_each(|workspace| workspace.rate = rate);
        });
    }

    /// Withdraws a key at a host that others can reach, with or without the
    /// platform.
    ///
    /// A host that is cut off can pass nothing on, and one that dies at once
    /// takes the withdrawal with it, so it is left alone for a moment.
    fn withdraw(&mut self, host: usize) {
        self.keys += 1;
        let hash: KeyHash = format!("key-{}", self.keys).into();
        if self.network.partitions.is_empty() && self.network.is_serving(host) {
            let hashes = vec![hash.clone()];
            self.network.step(host, HostInput::Withdraw { hashes });
            self.withdrawals.add(self.network.now, hash);
            self.network.run(SPREAD_TIME);
        }
    }

    /// Lets time pass: buckets fill in a lull, then all hosts are flooded.
    fn pass(&mut self, time: Duration) {
        let end = self.network.now + time;
        while self.network.now < end {
            let flooded = self.network.now.as_millis() % PHASE.as_millis() >= LULL.as_millis();
            if flooded {
                (0..self.network.hosts.len()).for_each(|host| self.small_request(host));
            }
            if self.network.source.random_bool(0.05) {
                self.large_request();
            }
            self.network.run(if flooded { FLOOD_PAUSE } else { LULL_PAUSE });
            let surplus = self.network.parts_in_use().saturating_sub(ALL_PARTS);
            self.surplus_parts = self.surplus_parts.max(surplus);
            self.end_leaving();
            self.withdrawals.look(&self.network);
        }
    }

    /// Makes a request that uses all that it reserves, almost at once.
    fn small_request(&mut self, host: usize) {
        let tokens = self.network.source.random_range(1..SMALL_REQUEST);
        let duration = Duration::from_millis(self.network.source.random_range(0..20));
        let request =
            TestRequest { workspace: WORKSPACE.into(), reserve: tokens, used: tokens, duration };
        self.network.request(host, request);
    }

    /// Makes a request that runs long and gives a part of its tokens back.
    fn large_request(&mut self) {
        let source = &mut self.network.source;
        let host = source.random_range(0..self.network.hosts.len());
        let workspace = if source.random_bool(0.5) { WORKSPACE } else { OTHER_WORKSPACE };
        let reserve = source.random_range(1..LARGE_REQUEST);
        let used = source.random_range(0..=reserve);
        let duration = Duration::from_millis(source.random_range(1..8_000));
        let request = TestRequest { workspace: workspace.into(), reserve, used, duration };
        self.network.request(host, request);
    }

    fn end_leaving(&mut self) {
        let now = self.network.now;
        let due = |(at, _): &(Duration, usize)| *at <= now;
        let ended: Vec<usize> =
            self.leaving.iter().filter(|entry| due(entry)).map(|(_, host)| *host).collect();
        self.leaving.retain(|entry| !due(entry));
        for host in ended {
            self.network.step(host, HostInput::Leave);
            self.network.kill(host);
        }
    }

    fn report(self, violations: u64) -> ScenarioReport {
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
            excess: self.network.admissions.excess(rate, burst),
            violations: total_violations() - violations,
            revision_falls: self.network.revision_falls(),
            surplus_parts: self.surplus_parts.max(parts.saturating_sub(ALL_PARTS)),
            late_keys: self.withdrawals.late,
            lost_withdrawals: self.withdrawals.lost,
            engine_faults: self.network.engines.faults,
            unreachable_models: unreachable as u64,
            orders: self.network.engines.applied,
        }
    }
}
