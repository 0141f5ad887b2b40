//! The engine registry that a coordinator passes on.

use skylarkgw::decision::coordinator::HostReport;
use skylarkgw::decision::store_order::StorePosition;
use skylarkgw::gateway::clock::time_since_boot;
use skylarkgw::gateway::ports::StoreUpdate;
use skylarkgw::gateway::registry::{EnginePhase, RegistryCopy};
use tokio::time::sleep;

use crate::standin::{ControlHarness, LEASE_DURATION, engine};

/// Guards against requests to an engine that has reported to drain: a coordinator
/// passed on a registry from before the report, with the age and revision of a
/// newer one.
#[tokio::test]
async fn registry_that_changes_while_a_renewal_is_late_is_passed_on() {
    let mut harness = ControlHarness::start();
    let send_registry = async |harness: &ControlHarness, revision, phase| {
        let entries = vec![engine("e1", phase)];
        let value = RegistryCopy { entries, unusable: Vec::new() };
        let position = StorePosition { era: None, revision };
        let update = StoreUpdate::Current { value, position, as_of: time_since_boot() };
        harness.registry.send(update).await.expect("the registry task should run");
    };
    send_registry(&harness, 1, EnginePhase::Ready).await;
    // The record is read, found missing and created.
    for _ in 0..2 {
        let call = harness.next_lease_call().await;
        harness.answer_lease_call(call);
    }
    let renewal = harness.next_lease_call().await;
    sleep(LEASE_DURATION / 4).await;
    send_registry(&harness, 2, EnginePhase::Draining).await;
    sleep(LEASE_DURATION / 24).await;
    harness.answer_lease_call(renewal);
    sleep(LEASE_DURATION / 24).await;
    let report = HostReport { host: "edge-2".into(), ..HostReport::default() };
    let reply = harness.control.handle_report(report).expect("the host should hold the lease");
    let changed = reply.registry.expect("the host has no registry yet").changed;
    assert_eq!(changed[0].1.entry.phase, EnginePhase::Draining, "sent with {:?}", reply.age);
}
