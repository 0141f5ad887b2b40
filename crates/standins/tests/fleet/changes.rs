//! Changes of the configuration: each is accepted as a whole or not at all, and
//! is applied once. Paused and new hosts reach the latest revision, and a host
//! without a configuration does not serve.

use std::sync::Arc;

use serde_json::json;
use skylarkgw::operator::{AcceptanceError, ChangeRequest, accept_change, read_head};

use crate::harness::{FleetOptions, TestFleet, wait_until};

fn build_change_request(id: &str) -> ChangeRequest {
    ChangeRequest { id: id.into(), author: "test".into(), summary: id.into() }
}

#[tokio::test]
async fn of_two_concurrent_changes_one_is_accepted_and_the_other_rejected() {
    let fleet = TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await;
    let platform = fleet.platform_client();
    let (_, head) = read_head(&platform).await.expect("the head can be read");
    let base_revision = head.configuration.revision;
    let change = async |id: &'static str, rate: u64| {
        let apply = move |next: &mut skylarkgw::configuration::FleetConfiguration| {
            next.workspaces.values_mut().for_each(|workspace| workspace.rate = rate);
        };
        accept_change(&platform, &build_change_request(id), base_revision, apply).await
    };
    let (first, second) = tokio::join!(change("one", 111), change("two", 222));
    let accepted_count = [&first, &second].into_iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted_count, 1, "{first:?} {second:?}");
    let rejected = if first.is_ok() { second } else { first };
    assert!(matches!(rejected, Err(AcceptanceError::RevisionConflict { .. })));
    fleet.wait_revision(base_revision + 1).await;
}

/// Guards against a change that is applied twice: the platform stores it but
/// its response is lost, so that `accept_change` must find its own change id in
/// the head.
#[tokio::test]
async fn accepted_change_whose_response_is_lost_is_applied_once() {
    let fleet = TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await;
    let platform = fleet.platform_client();
    for round in 0..3 {
        let (_, head) = read_head(&platform).await.expect("the head can be read");
        let base_revision = head.configuration.revision;
        fleet.platform.set_faults(json!({"lose_answers": 1})).await;
        let id: Arc<str> = format!("lost-{round}").into();
        let apply = |next: &mut skylarkgw::configuration::FleetConfiguration| {
            next.workspaces.values_mut().for_each(|workspace| workspace.rate += 1);
        };
        let change = build_change_request(&id);
        let accepted = accept_change(&platform, &change, base_revision, apply).await;
        assert_eq!(accepted.expect("the change is accepted").revision, base_revision + 1);
        let retried = accept_change(&platform, &change, base_revision, apply).await;
        assert!(retried.expect("the change was accepted before").already_accepted);
        let (_, head) = read_head(&platform).await.expect("the head can be read");
        assert_eq!(head.configuration.workspaces["shop"].rate, 1_000_001 + round);
    }
}

#[tokio::test]
async fn paused_host_is_reported_as_pending_and_catches_up_when_it_resumes() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.hosts[2].process.signal("STOP");
    let revision = fleet
        .change_configuration(|next| {
            next.adapters.clear();
            next.models.clear();
        })
        .await;
    let path = fleet.write_skylarkctl_settings(2, 300);
    let statement = format!("wait for revision {revision}");
    let mut client =
        crate::harness::TestProcess::start("skylarkctl", &["--settings", &path, &statement]);
    let status = client.wait_exit().await;
    assert_eq!(status.code(), Some(4), "{}", client.output());
    assert!(client.output().contains("host-03"), "{}", client.output());
    fleet.hosts[2].process.signal("CONT");
    wait_until("the resumed host has the revision in force", async || {
        fleet.hosts[2].status().await.is_some_and(|status| status.revision >= revision)
    })
    .await;
}

#[tokio::test]
async fn host_started_during_an_outage_does_not_serve_without_a_configuration() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    // A host that starts while the platform works reaches at least the revision
    // of the others. One that starts during an outage can read neither the list
    // of hosts nor the shared objects, and must refuse requests.
    let current_revision = fleet.hosts[0].status().await.expect("a status").revision;
    let new_host = fleet.start_host();
    new_host.wait_ready().await;
    assert!(new_host.status().await.expect("a status").revision >= current_revision);
    fleet.platform.set_faults(json!({"refuse": true})).await;
    let isolated_host = fleet.start_host();
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    assert!(!isolated_host.is_ready().await);
    assert_eq!(fleet.send_chat(&isolated_host, "hello", 1).await.status(), 503);
}
