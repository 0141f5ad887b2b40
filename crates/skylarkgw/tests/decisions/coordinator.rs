//! The coordinator of a large fleet, on a host with a slow link.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bincode::Options;
use skylarkgw::decision::coordinator::{Coordinator, HostReport};
use skylarkgw::decision::freshness::exchange_interval;
use skylarkgw::decision::quota_pool::{PoolStart, QuotaTolerance};
use skylarkgw::decision::store_order::StoreStamp;
use skylarkgw::gateway::declaration::FleetDeclaration;
use skylarkgw::gateway::ports::EngineReport;
use skylarkgw::gateway::registry::{EngineEntry, HeldModel};

use crate::samples::{declaration, engine, ms, workspace};

/// Size of the largest deployments.
const HOSTS: usize = 133;
const ENGINES: usize = 90;
const WORKSPACES: usize = 16;
/// Models that an engine holds, and models of which it keeps copies.
const MODELS_PER_ENGINE: usize = 2;
const COPIES_PER_ENGINE: usize = 6;
const ADAPTERS_PER_ENGINE: usize = 8;
/// Bytes per second on the link of the smallest hosts, of 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 10_000_000.0 / 8.0;
/// Time within which a change must be in force on all hosts of a large fleet.
const IN_FORCE_BOUND: Duration = Duration::from_millis(3_000);

/// The coordinator and the versions that each host has received.
struct LargeFleet {
    coordinator: Coordinator,
    declaration: FleetDeclaration,
    hosts: Vec<HostReport>,
    now: u64,
}

fn engine_name(number: usize) -> Arc<str> {
    format!("i-{number:010x}").into()
}

fn model_name(number: usize) -> Arc<str> {
    format!("model{number:06}").into()
}

fn adapter_names(first: usize) -> Vec<Arc<str>> {
    (first..first + ADAPTERS_PER_ENGINE).map(|number| format!("a{number}").into()).collect()
}

fn full_engine(number: usize, first_adapter: usize) -> Arc<EngineEntry> {
    let held = |model: usize| HeldModel {
        name: model_name(number + model),
        adapters: if model == 0 { adapter_names(first_adapter) } else { Vec::new() },
    };
    Arc::new(EngineEntry {
        models: (0..MODELS_PER_ENGINE).map(held).collect(),
        copies_on_disk: (0..COPIES_PER_ENGINE).map(|copy| model_name(number + copy)).collect(),
        ..(*engine(&engine_name(number), &[])).clone()
    })
}

impl LargeFleet {
    fn new(hosts: usize) -> LargeFleet {
        let tolerance =
            QuotaTolerance { window: ms(8_000), overshoot: 0.1, slack_tokens: 17_000.0 };
        let mut coordinator = Coordinator::new(ms(0), 1, tolerance, PoolStart::AfterLoss);
        let workspaces = (0..WORKSPACES)
            .map(|number| workspace(&format!("workspace-{number}"), "key", 10_000))
            .collect();
        let declaration =
            FleetDeclaration { workspaces: Some(workspaces), ..declaration(&["sage"]) };
        coordinator.apply_declaration(ms(0), &declaration);
        let engines: Vec<_> = (0..ENGINES).map(|number| full_engine(number, 0)).collect();
        coordinator.update_registry(StoreStamp::default(), &engines);
        let report = |number: usize| HostReport {
            host: format!("edge-muscat-a-{number}").into(),
            running: (0..ENGINES).map(|engine| (engine as u32, 3)).collect(),
            wanted: declaration
                .iter_workspaces()
                .map(|workspace| (workspace.name.clone(), 100))
                .collect(),
            ..HostReport::default()
        };
        let hosts = (0..hosts).map(report).collect();
        LargeFleet { coordinator, declaration, hosts, now: 0 }
    }

    /// Exchanges with every host once and returns the bytes of all replies.
    fn exchange_round(&mut self) -> u64 {
        self.begin_round();
        (0..self.hosts.len()).map(|number| self.exchange_with(number)).sum()
    }

    fn begin_round(&mut self) {
        self.now += exchange_interval(self.hosts.len() as u32).as_millis() as u64;
    }

    /// Exchanges with one host and returns the bytes of the reply.
    fn exchange_with(&mut self, number: usize) -> u64 {
        let at = self.now + number as u64 * 100 / self.hosts.len() as u64;
        let host = &mut self.hosts[number];
        let reply = self.coordinator.exchange(ms(at), host.clone());
        if let Some(delta) = &reply.notices {
            host.notice_version = delta.version;
        }
        if let Some(delta) = &reply.registry {
            host.registry_version = delta.version;
        }
        bincode::options().serialized_size(&reply).expect("a reply has a size")
    }

    /// Replaces the adapters of an engine, as its report and its registry entry
    /// show.
    fn change_adapters(&mut self, number: usize, first_adapter: usize) {
        let entry = full_engine(number, first_adapter);
        let models = entry.models.iter().map(|held| (held.name.clone(), held.adapters.clone()));
        let report = EngineReport {
            models: models.collect(),
            started_ms: entry.started_ms,
            ..EngineReport::default()
        };
        self.coordinator.record_report(ms(self.now), &entry.id, report);
        let mut engines: Vec<_> = (0..ENGINES).map(|number| full_engine(number, 0)).collect();
        engines[number] = entry;
        self.coordinator.update_registry(StoreStamp::default(), &engines);
    }
}

/// Guards against a service that does not return after a restart because a change
/// of one adapter is sent to every host with all others.
#[test]
fn replies_of_one_round_fit_the_link_while_adapters_change() {
    let mut fleet = LargeFleet::new(HOSTS);
    fleet.exchange_round();
    let capacity = LINK_BYTES_PER_S * exchange_interval(HOSTS as u32).as_secs_f64();
    for round in 1..=5 {
        (0..10).for_each(|engine| fleet.change_adapters(engine, round * 10));
        let bytes = fleet.exchange_round();
        assert!(
            (bytes as f64) < capacity,
            "round {round} sends {bytes} bytes, the link carries {capacity:.0}"
        );
    }
}

/// Guards against a service that does not return after a restart of all hosts
/// because they cannot get the placement over the coordinator's link.
#[test]
fn placement_reaches_all_hosts_in_time_after_they_restart_together() {
    let mut fleet = LargeFleet::new(HOSTS);
    let bytes = fleet.exchange_round();
    let time = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
    assert!(time < IN_FORCE_BOUND, "{bytes} bytes take {time:?}");
}

/// Guards against a coordinator whose processor is used up by the exchanges of a
/// large fleet, so that draws of tokens and its own lease renewals time out.
#[test]
fn work_of_one_exchange_does_not_grow_with_the_number_of_hosts() {
    let measure_exchange = |hosts: usize| {
        let mut fleet = LargeFleet::new(hosts);
        assert_eq!(fleet.declaration.iter_workspaces().count(), WORKSPACES);
        fleet.exchange_round();
        // The median excludes exchanges during which the thread did not run.
        let mut times = Vec::new();
        for _ in 0..5 {
            fleet.begin_round();
            for number in 0..hosts {
                let started = Instant::now();
                fleet.exchange_with(number);
                times.push(started.elapsed());
            }
        }
        times.sort();
        times[times.len() / 2]
    };
    let (small, large) = (measure_exchange(HOSTS / 8), measure_exchange(HOSTS));
    assert!(large < small * 3, "{small:?} with {} hosts, {large:?} with {HOSTS}", HOSTS / 8);
}
