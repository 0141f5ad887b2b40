//! Planned orders for engines that are drained.

use std::collections::BTreeMap;
use std::sync::Arc;

use skylarkgw::configuration::WeightStoreSpec;
use skylarkgw::configuration::{EndpointKind, EndpointSpec, FleetConfiguration, ModelSpec};
use skylarkgw::decision::placement::{
    EngineReport, FleetLedger, ModelPhase, OrderAction, ReplicaReport, plan_orders,
};

use crate::samples::ms;

const MODEL: &str = "sage";
const REPLICA_MB: u64 = 1_000;

/// Returns a configuration with one replica of a model, and engines of which the
/// first is drained.
fn configuration_with_drained_engine(engines: usize) -> FleetConfiguration {
    let endpoint = |number: usize| EndpointSpec {
        address: format!("127.0.0.1:{number}").into(),
        data_centre: "muscat-a".into(),
        kind: EndpointKind::Engine,
        leaving: number == 0,
        checks_fence: false,
        slots: 4,
    };
    let spec = ModelSpec { version: "1".into(), next: None, memory_mb: REPLICA_MB, replicas: 1 };
    FleetConfiguration {
        models: BTreeMap::from([(MODEL.into(), spec)]),
        endpoints: (0..engines).map(|number| (engine_name(number), endpoint(number))).collect(),
        weight_store: WeightStoreSpec { in_flight: 2, loads_per_minute: 60 },
        ..FleetConfiguration::default()
    }
}

fn engine_name(number: usize) -> Arc<str> {
    format!("engine-{number}").into()
}

/// Returns a ledger in which each engine has reported, and `holders` hold the model.
fn ledger_with_holders(engines: usize, holders: &[usize]) -> FleetLedger {
    let mut ledger = FleetLedger::default();
    for number in 0..engines {
        let replica = ReplicaReport {
            model: MODEL.into(),
            version: "1".into(),
            memory_mb: REPLICA_MB,
            phase: ModelPhase::Serving,
        };
        let report = EngineReport {
            memory_mb: 4_000,
            replicas: holders.contains(&number).then_some(replica).into_iter().collect(),
            ..EngineReport::default()
        };
        ledger.record_report(ms(100), &engine_name(number), &report);
    }
    ledger.drop_expired_orders(ms(200));
    ledger
}

/// Guards against requests without an engine after a drain: the only replica besides
/// that on the drained engine was unloaded as surplus.
#[test]
fn replica_on_a_drained_engine_does_not_make_another_one_surplus() {
    let configuration = configuration_with_drained_engine(2);
    let ledger = ledger_with_holders(2, &[0, 1]);
    assert_eq!(plan_orders(&configuration, &ledger, 1), Vec::new());
}

/// Guards against requests without an engine after a drain: the replica on the drained
/// engine counted as the declared one, so none was loaded elsewhere.
#[test]
fn model_that_only_a_drained_engine_holds_is_loaded_elsewhere() {
    let configuration = configuration_with_drained_engine(2);
    let ledger = ledger_with_holders(2, &[0]);
    let orders = plan_orders(&configuration, &ledger, 1);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0].engine, engine_name(1));
    assert!(matches!(orders[0].action, OrderAction::Load { .. }));
}
